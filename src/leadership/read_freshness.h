// Decides for how long a leader may answer workers: its knowledge of cancellations must not be
// older than a bound, similar to a read lease. Each answer keeps the worker's tasks alive for up to
// a worker's lease from the sending of its heartbeat; so a leader that answers only while
//   now < cancellations known until + cancel_s - lease_s - a margin
// keeps no task alive for longer than cancel_s after the cancellation was confirmed to its user,
// whatever the leader has not learned.
//
// Cancellations are known until the latest moment of which it is certain that every cancellation
// confirmed to any user before it is in the leader's state. Two proofs advance it: a read of all
// jobs from the key-value store, as of when it was asked for; and the cancellation digests of all
// members, each of which covers what that member has confirmed. See docs/design/meetings.md.
//
// Not stored: a new leader reads all jobs, which is the first proof. Times are seconds of this
// process's steady clock; clocks of different machines drift apart by up to kMaxClockDrift.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "settings/settings.h"

namespace reachramp::leadership {

// The fraction by which a steady clock may run fast (PROTOCOL, durations).
inline constexpr double kMaxClockDrift = 0.0005;

// Returns for how many seconds a leader may answer workers after the moment until which it knows
// all cancellations. Never less than normal operation of the key-value store needs, or no worker
// would be answered: see `staleness_bound_holds`.
double staleness_bound(const settings::WorkerTimings& workers);
// Whether `staleness_bound` is short enough that tasks end within cancel_s of a cancellation. No
// bound is short enough if a worker's lease lasts nearly as long as cancel_s or longer. A
// cancellation is then confirmed only once the job's end is stored.
bool staleness_bound_holds(const settings::WorkerTimings& workers);

// A member's response to the question which cancellations it has confirmed to users.
struct CancellationDigest {
  std::size_t member = 0;              // index among the members
  double window_s = 0;                 // how far back it was asked to report
  double covered_s = 0;                // how far back its list is complete, by its own clock
  double asked_at = 0;                 // by the leader's clock
  double received_at = 0;              // by the leader's clock
  std::vector<std::string> cancelled;  // jobs confirmed as cancelled within the window
};

// Keeps, for one leader, the moment until which it knows all cancellations: for each member, and
// for all together. Used only on the thread that runs the leader; no function blocks or throws.
class ReadFreshness {
 public:
  // `members`: how many nodes can confirm cancellations, this one among them. `known_until`: when
  // the jobs that this leader began with were asked for.
  ReadFreshness(const settings::WorkerTimings& workers, std::size_t members, double known_until);

  // First proof: all jobs, as they were when they were asked for, are in the leader's state.
  // Answers may overtake each other: an older one changes nothing.
  void on_jobs_read(double asked_at);
  // Second proof, together with the other members' digests: the cancellations in the digest are in
  // the leader's state. Returns false, and changes nothing, if the digest does not reach back to
  // where this member's cancellations are known; it then proves nothing.
  bool apply_digest(const CancellationDigest& digest);

  // Returns the moment before which the leader knows all confirmed cancellations.
  double cancellations_known_until() const;
  // Returns when the latest read of all jobs was asked for.
  double last_jobs_read_at() const { return jobs_read_until_; }
  // Whether the leader may answer workers now.
  bool may_answer(double now) const;
  // Whether members should be asked now, because the key-value store has not answered for a while.
  // Assumes that the caller then asks them: returns false until the next poll is due.
  bool should_poll_members(double now);
  // Returns how many seconds back each member's digest has to reach if the member is asked now.
  std::vector<double> query_windows(double now) const;

 private:
  const double bound_s_;
  double jobs_read_until_;
  std::optional<double> polled_at_;
  // By member: the moment before which all its confirmed cancellations are known.
  std::vector<double> members_known_until_;
};

}  // namespace reachramp::leadership
