// How far a leader knows the cancellations that users were told, and for how long that entitles it
// to answer workers: bounded staleness, as with a lease on reads. Each answer keeps the worker's
// tasks alive for up to a lease from the sending of its report; so a leader that answers only while
//   now < known to + cancel_s - lease_s - a margin
// keeps no task alive for longer than cancel_s after its user was told, whatever it has not heard
// of.
//
// Known to: the latest moment of which it is certain that every cancellation told to anybody before
// it is in the leader's state. Two proofs advance it: the key-value store, by a view of the jobs
// asked for at that moment; and the word of all members, each for what it has told itself.
// docs/design/meetings.md.
//
// Not stored: a new leader reads all jobs, which is the first proof. Times are seconds of this
// process's steady clock; clocks of different machines drift apart by up to kDrift.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "settings/settings.h"

namespace reachramp::leadership {

// A steady clock runs up to so much fast (PROTOCOL, durations).
inline constexpr double kDrift = 0.0005;

// For so long after the moment up to which it knows all cancellations a leader may answer workers.
double staleness_bound(const settings::Workers& workers);
// Whether the bound keeps the promise: where a lease outlasts cancel_s, or nearly, nothing does.
bool bound_holds(const settings::Workers& workers);

// What a member says it has told users as cancelled.
struct CancellationDigest {
  std::size_t member = 0;
  double window_s = 0;   // that it was asked for
  double covered_s = 0;  // so far back, by its own clock, it knows all that it told
  double asked_at = 0;   // ours
  double received_at = 0;
  std::vector<std::string> cancelled;  // told within the window
};

class ReadFreshness {
 public:
  // `members`: all that can tell users, this node among them. `known_to`: when the jobs that this
  // leader began with were asked for.
  ReadFreshness(const settings::Workers& workers, std::size_t members, double known_to);

  // First proof: all jobs as they were when they were asked for are in the state.
  void on_jobs_read(double asked_at);
  // Second proof, with the others' words: its cancellations are in the state. Whether the word
  // reaches back to where the member was heard last; else it proves nothing.
  bool apply(const CancellationDigest& word);

  double cancellations_known_until() const;
  double last_jobs_read_at() const { return jobs_read_until_; }
  bool may_answer(double now) const;
  // Whether members should be asked: the key-value store has not told for a while.
  bool should_poll_members(double now);
  // How far back each member's word has to reach.
  std::vector<double> query_windows(double now) const;

 private:
  const double bound_s_;
  double jobs_read_until_;
  double asked_at_ = -1e9;
  std::vector<double> members_known_until_;  // by member: all that it told before is known
};

}  // namespace reachramp::leadership
