// Who leads: a key attached to a lease. The key's revision is the fencing token, so it only ever
// grows.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

#include "kv/client.h"
#include "leadership/holder.h"
#include "settings/settings.h"

namespace reachramp::leadership {

struct LeadershipStatus {
  std::uint64_t fencing_token = 0;  // ours; 0 while we do not lead
  std::string leader;               // node that leads, as far as we know; empty: none
  // This node has let the lead go because it is cut off: it waits for nobody on workers' behalf.
  bool cut_off = false;
  std::uint64_t highest_seen_revision = 0;  // the largest that the key was seen with
  bool operator==(const LeadershipStatus&) const = default;
};

class LeaderElection {
 public:
  // `cut_off`: whether a leader whose lease of so many seconds (the second) was last renewed so
  // many seconds ago (the first), and whose fencing token is the third, must let go although nobody
  // told it that it has lost the lead. `another_should` lead: whether a process that is through
  // with a roll lives, which is given a moment's start where the lead is vacant, so that a roll
  // changes leaders once or twice.
  LeaderElection(kv::Client& state, const settings::Platform& platform,
                 std::function<bool()> another_should,
                 std::function<bool(double, double, std::uint64_t)> cut_off);

  // Stands, renews, watches; for a thread of its own. Never returns.
  void run();

  LeadershipStatus status();
  // Whether the lead with that fencing token is beyond doubt: its lease was renewed less than its
  // life ago. A process that stood still may have been replaced, and finds out with its next
  // renewal.
  bool is_leadership_certain(std::uint64_t fencing_token);
  // Waits until the standing is another, or the time is over.
  void wait_for_change(const LeadershipStatus& from, double seconds);
  // Waits until we lead with a fencing token other than `last`.
  std::uint64_t wait_until_leader(std::uint64_t last);
  // Gives the lead up because it has passed to another (who is known by a higher fencing token).
  void on_deposed(std::uint64_t fencing_token);
  // Gives the lead up for others to take; stays out of the next elections for a while.
  void resign(std::uint64_t fencing_token);
  // While barred it neither stands nor leads.
  void set_disabled(bool barred);

 private:
  void campaign();
  void keep_leading();
  kv::Outcome renew_lease();
  void watch_leader_key();
  void read_leader_key();
  void observe_leader(const kv::Json& value, std::uint64_t revision);
  void remove_dead_leader(std::uint64_t revision);
  void set_leader(std::uint64_t fencing_token, const std::string& leader);
  // No longer leading, or never: what was seen of the key stays known. Under the lock.
  void clear_leadership(bool cut_off = false);
  void note_seen(std::uint64_t revision);
  void pause(double seconds);
  void note_renewed(double asked_at);

  kv::Client& state_;
  const settings::Platform& platform_;
  const double lease_duration_s_;
  const Identity self_;
  std::mutex mutex_;
  std::condition_variable changed_;
  LeadershipStatus status_;
  const std::function<bool()> another_should_;
  const std::function<bool(double, double, std::uint64_t)> cut_off_;
  double renewed_at_ = 0;  // when the last renewal that was granted was asked for
  bool stepping_down_ = false;
  bool disabled_ = false;
  std::uint64_t lease_id_ = 0;
  std::uint64_t watch_revision_ = 0;
  bool leaderless_ = false;
  bool has_deferred_ = false;  // for another to stand first
  bool defers_to_others_ =
      false;  // this node's process before led: whoever stood through it goes first
};

}  // namespace reachramp::leadership
