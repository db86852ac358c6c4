// Leader election: the leader is the node named under a key that is attached to a lease of the
// key-value store. The key's revision is the leader's fencing token, so tokens only ever grow. See
// docs/design.md and docs/design/meetings.md.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "kv/client.h"
#include "leadership/holder.h"
#include "settings/settings.h"

namespace reachramp::leadership {

// What this node knows of the leadership at one moment.
struct LeadershipStatus {
  std::uint64_t fencing_token = 0;  // of this node; 0: it does not lead
  std::string leader;               // node that leads, as last observed; empty: none known
  // This node has stepped down because it is isolated, and has not read the leader's key since: a
  // worker's heartbeat must not wait here for a leader.
  bool isolated = false;
  std::uint64_t highest_seen_revision = 0;  // largest revision observed of the leader's key
  bool operator==(const LeadershipStatus&) const = default;
};

// Whether another live process should lead rather than this one: one that has completed a rolling
// upgrade is preferred, so that an upgrade changes leaders once or twice. Called on the thread of
// `LeaderElection::run`.
using ShouldDefer = std::function<bool()>;

// Whether a leader must step down without proof that it was replaced: `since_renewal_s` seconds ago
// it asked for the last renewal that was granted, of a lease of `lease_duration_s` seconds. May ask
// other nodes and so take a while. Called on the thread of `LeaderElection::run`.
using IsIsolated = std::function<bool(double since_renewal_s, double lease_duration_s,
                                      std::uint64_t fencing_token)>;

// Owns this node's lease in the key-value store, its claim of the leader's key, and what the node
// knows of the leadership.
//
// One thread calls `run`; all other functions may be called from any thread. None throws for a
// key-value store that fails: the step is tried again after a pause.
class LeaderElection {
 public:
  // Keeps references to `store` and `platform`, which must outlive it.
  LeaderElection(kv::Client& store, const settings::Platform& platform, ShouldDefer should_defer,
                 IsIsolated is_isolated);

  // Campaigns, renews the lease and watches the leader's key, on the calling thread. Never returns.
  void run();

  // Returns what this node knows of the leadership now.
  LeadershipStatus status();
  // Whether leadership with that fencing token is beyond doubt: its last renewal was asked for less
  // than the lease's duration ago. A process that was suspended may have been replaced, and learns
  // it only with its next renewal.
  bool is_leadership_certain(std::uint64_t fencing_token);
  // Blocks until the status differs from `from`, for at most `seconds`.
  void wait_for_change(const LeadershipStatus& from, double seconds);
  // Blocks until this node leads with a fencing token other than `last`, and returns that token.
  std::uint64_t wait_until_leader(std::uint64_t last);
  // Ends the leadership of `fencing_token` because it was found to be superseded. Nothing happens
  // if it has ended already. The lease is not revoked: should the key still have it, reading the
  // key makes this node leader again, with the key's revision as a new fencing token.
  void on_deposed(std::uint64_t fencing_token);
  // Ends the leadership of `fencing_token` in favour of others: revokes the lease, and pauses
  // before taking part in elections again. Nothing happens if it has ended already.
  void resign(std::uint64_t fencing_token);
  // While disabled it neither campaigns nor leads: stored records are of a schema that this version
  // cannot write.
  void set_disabled(bool disabled);

 private:
  // Steps of `run`, on its thread.
  void revoke_and_pause();
  void keep_leading();
  void campaign();
  void watch_leader_key();

  void on_lease_expired(std::uint64_t fencing_token);
  void step_down_isolated(std::uint64_t fencing_token);
  bool defer_to_others();
  void claim_leader_key(double asked_at);
  void read_leader_key();
  void observe_leader(const kv::Json& value, std::uint64_t revision);
  void observe_vacancy();
  // Removes the key of an earlier process of this node, if its revision is still `revision`.
  void remove_dead_leader(std::uint64_t revision);
  // Asks for one renewal, and notes when it was asked for if it is granted.
  kv::Outcome renew_lease();
  void note_renewed(double asked_at);
  void note_revision(std::uint64_t revision);
  // `fencing_token`: 0 if `leader` is another node, or empty for none.
  void set_leader(std::uint64_t fencing_token, const std::string& leader);
  // Ends the leadership; the highest observed revision stays known. The caller holds `mutex_`.
  void clear_leadership(bool isolated = false);
  // Ends early when the fencing token changes or `resign` is called.
  void pause(double seconds);
  void pause_before_retry();

  kv::Client& store_;
  const settings::Platform& platform_;
  const double lease_duration_s_;
  const Identity self_;
  const ShouldDefer should_defer_;
  const IsIsolated is_isolated_;

  std::mutex mutex_;  // guards the status, `renewed_at_`, `stepping_down_` and `disabled_`
  std::condition_variable changed_;
  LeadershipStatus status_;
  std::optional<double> renewed_at_;  // when the last renewal that was granted was asked for
  bool stepping_down_ = false;        // the lease is yet to be revoked
  bool disabled_ = false;

  // Of the thread of `run`. `clear_leadership` resets the watch from any thread, but only while
  // this node leads, when that thread does not use it.
  std::uint64_t lease_id_ = 0;        // 0: none
  std::uint64_t watch_revision_ = 0;  // to watch from; 0: the key must be read first
  bool leaderless_ = false;           // the key was observed to be absent
  bool has_deferred_ = false;         // since the key is absent: this node defers only once
  // The last leader was an earlier process of this node: other nodes, which have kept running, may
  // claim the key first.
  bool defers_to_others_ = false;
};

}  // namespace reachramp::leadership
