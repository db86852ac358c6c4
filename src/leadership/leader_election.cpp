#include "leadership/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <utility>

#include "kv/steady_clock.h"

namespace reachramp::leadership {

namespace {

using kv::Outcome;
using namespace std::chrono_literals;

constexpr const char* kLeaderKey = "leader";
// The lease of the leader's key as a fraction of a worker's lease. Without a leader nobody answers
// workers, so after a leader's death a new one must be elected well within a worker's lease.
constexpr double kLeasePerWorkerLease = 0.3;
constexpr double kMinLease_s = 1;
// Nothing starts while a dead leader's key remains, so its lease stays short even if worker leases
// are long.
constexpr double kMaxLease_s = 4;
constexpr double kRenewalsPerLease = 4;
constexpr double kElectionRetryDelay_s = 0.3;
constexpr double kDeferral_s = 0.3;
// For how long a node that has resigned leaves the election to others, as a fraction of a worker's
// lease.
constexpr double kPauseAfterResigning = 0.1;

std::chrono::milliseconds millis(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

std::string random_nonce() {
  std::random_device device;
  return std::to_string((static_cast<std::uint64_t>(device()) << 32) | device());
}

}  // namespace

LeaderElection::LeaderElection(kv::Client& store, const settings::Platform& platform,
                               ShouldDefer should_defer, IsIsolated is_isolated)
    : store_(store),
      platform_(platform),
      lease_duration_s_(std::clamp(platform.worker_timings.lease_s * kLeasePerWorkerLease,
                                   kMinLease_s, kMaxLease_s)),
      self_{platform.node_name,
            platform.cluster_listen.host + ":" + std::to_string(platform.cluster_listen.port),
            random_nonce()},
      should_defer_(std::move(should_defer)),
      is_isolated_(std::move(is_isolated)) {}

LeadershipStatus LeaderElection::status() {
  std::lock_guard lock(mutex_);
  return status_;
}

bool LeaderElection::is_leadership_certain(std::uint64_t fencing_token) {
  std::lock_guard lock(mutex_);
  return status_.fencing_token == fencing_token && renewed_at_ &&
         kv::steady_now() - *renewed_at_ < lease_duration_s_;
}

void LeaderElection::wait_for_change(const LeadershipStatus& from, double seconds) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::duration<double>(seconds), [&] { return status_ != from; });
}

std::uint64_t LeaderElection::wait_until_leader(std::uint64_t last) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return status_.fencing_token != 0 && status_.fencing_token != last; });
  return status_.fencing_token;
}

void LeaderElection::on_deposed(std::uint64_t fencing_token) {
  std::lock_guard lock(mutex_);
  if (status_.fencing_token != fencing_token) return;
  clear_leadership();
}

void LeaderElection::resign(std::uint64_t fencing_token) {
  std::lock_guard lock(mutex_);
  if (status_.fencing_token != fencing_token) return;
  stepping_down_ = true;
  clear_leadership();
}

void LeaderElection::set_disabled(bool disabled) {
  std::uint64_t fencing_token = 0;
  {
    std::lock_guard lock(mutex_);
    disabled_ = disabled;
    fencing_token = status_.fencing_token;
  }
  if (disabled && fencing_token != 0) resign(fencing_token);
}

void LeaderElection::clear_leadership(bool isolated) {
  status_ = {0, "", isolated, status_.highest_seen_revision};
  watch_revision_ = 0;
  changed_.notify_all();
}

void LeaderElection::note_revision(std::uint64_t revision) {
  std::lock_guard lock(mutex_);
  status_.highest_seen_revision = std::max(status_.highest_seen_revision, revision);
}

void LeaderElection::note_renewed(double asked_at) {
  std::lock_guard lock(mutex_);
  renewed_at_ = asked_at;
}

void LeaderElection::set_leader(std::uint64_t fencing_token, const std::string& leader) {
  std::lock_guard lock(mutex_);
  if (status_.leader != leader) {
    if (fencing_token != 0) {
      spdlog::info("became leader fencing_token={}", fencing_token);
    } else {
      spdlog::info("leader changed leader={}", leader.empty() ? "none" : leader);
    }
  }
  status_ = {fencing_token, leader, false, std::max(status_.highest_seen_revision, fencing_token)};
  changed_.notify_all();
}

void LeaderElection::pause(double seconds) {
  std::unique_lock lock(mutex_);
  const std::uint64_t fencing_token = status_.fencing_token;
  changed_.wait_for(lock, std::chrono::duration<double>(seconds),
                    [&] { return status_.fencing_token != fencing_token || stepping_down_; });
}

void LeaderElection::pause_before_retry() { pause(kv::jittered(kElectionRetryDelay_s).count()); }

void LeaderElection::run() {
  for (;;) {
    bool step_down = false, disabled = false;
    {
      std::lock_guard lock(mutex_);
      step_down = std::exchange(stepping_down_, false);
      disabled = disabled_;
    }
    if (step_down) {
      revoke_and_pause();
    } else if (status().fencing_token != 0) {
      keep_leading();
    } else if (leaderless_ && !disabled) {
      campaign();
    } else {
      watch_leader_key();
    }
  }
}

void LeaderElection::revoke_and_pause() {
  store_.revoke_lease(lease_id_);
  lease_id_ = 0;
  pause(platform_.worker_timings.lease_s * kPauseAfterResigning);
}

kv::Outcome LeaderElection::renew_lease() {
  const double asked_at = kv::steady_now();
  const Outcome renewed = store_.renew_lease(lease_id_);
  if (renewed == Outcome::ok) note_renewed(asked_at);
  return renewed;
}

// Waits until the next renewal is due and renews the lease. While the key-value store does not
// respond, the leader goes on answering workers, so that their leases don't expire: nothing new
// starts, and a successor is recognized by its higher fencing token. But it steps down if this node
// alone is isolated: workers that it answers would never report to the leader that replaces it.
void LeaderElection::keep_leading() {
  pause(lease_duration_s_ / kRenewalsPerLease);
  const std::uint64_t fencing_token = status().fencing_token;
  if (fencing_token == 0) return;
  Outcome renewed = renew_lease();
  const bool isolated =
      renewed != Outcome::ok && renewed != Outcome::absent &&
      is_isolated_(kv::steady_now() - renewed_at_.value(), lease_duration_s_, fencing_token);
  // The outage may have ended while the other nodes were asked: tries once more.
  if (isolated) renewed = renew_lease();
  if (renewed == Outcome::absent) {
    on_lease_expired(fencing_token);
  } else if (isolated && renewed != Outcome::ok) {
    step_down_isolated(fencing_token);
  }
}

void LeaderElection::on_lease_expired(std::uint64_t fencing_token) {
  spdlog::info("leadership lost reason=lease_expired fencing_token={}", fencing_token);
  on_deposed(fencing_token);
  lease_id_ = 0;
}

void LeaderElection::step_down_isolated(std::uint64_t fencing_token) {
  spdlog::error("stepped down reason=isolated fencing_token={}", fencing_token);
  // If the key still exists, it counts as a predecessor's from now on, since its lease is given up.
  lease_id_ = 0;
  std::lock_guard lock(mutex_);
  clear_leadership(true);
}

void LeaderElection::campaign() {
  // Whatever the outcome, the key is read again. A watch only reports changes, and a key that stays
  // absent is no change: once all claims had failed, no node would campaign again.
  leaderless_ = false;
  watch_revision_ = 0;
  if (defer_to_others()) return;
  const double asked_at = kv::steady_now();
  const kv::LeaseGrant granted = store_.grant_lease(millis(lease_duration_s_));
  if (granted.outcome != Outcome::ok) {
    pause_before_retry();
    return;
  }
  lease_id_ = granted.id;
  claim_leader_key(asked_at);
}

// If other nodes should go first, pauses so that one of them may claim the key, but only once while
// the key stays absent. Returns whether it paused.
bool LeaderElection::defer_to_others() {
  const bool defers =
      (should_defer_() || std::exchange(defers_to_others_, false)) && !has_deferred_;
  has_deferred_ = defers;
  if (defers) pause(kDeferral_s);
  return defers;
}

// `asked_at`: when the lease was asked for. Its duration began then at the earliest.
void LeaderElection::claim_leader_key(double asked_at) {
  kv::Transaction claim;
  claim.preconditions = {{kLeaderKey, 0}};
  claim.writes.push_back({kLeaderKey, encode_holder(self_, lease_id_), lease_id_});
  const kv::CommitResult committed = store_.commit(claim);
  if (committed.outcome == Outcome::ok) {
    note_renewed(asked_at);
    set_leader(committed.store_revision, platform_.node_name);
  } else if (committed.outcome == Outcome::conflict) {
    store_.revoke_lease(lease_id_);
    lease_id_ = 0;
  } else {
    // Without a response, the claim may have been applied. Keeps the lease; the key is read again
    // to find out.
    pause_before_retry();
  }
}

// A process that is restarted at once finds the key of its predecessor, which would remain for
// seconds, or until one lease duration after an outage of the key-value store. The key is removed
// and not taken over: nodes that have kept running go first, so that a node that crashes again and
// again does not keep them from leading.
void LeaderElection::remove_dead_leader(std::uint64_t revision) {
  kv::Transaction removal;
  removal.preconditions = {{kLeaderKey, revision}};
  removal.writes.push_back({kLeaderKey, std::nullopt, std::nullopt});
  const kv::CommitResult committed = store_.commit(removal);
  watch_revision_ = 0;  // the key is read again, whatever the outcome
  if (committed.outcome == Outcome::ok) {
    spdlog::info("removed dead predecessor's leader key revision={}", revision);
    defers_to_others_ = !platform_.members.empty();
  } else if (committed.outcome != Outcome::conflict) {
    pause_before_retry();
  }
}

void LeaderElection::observe_leader(const kv::Json& value, std::uint64_t revision) {
  has_deferred_ = leaderless_ = false;
  note_revision(revision);
  switch (holder_of(value, self_, lease_id_)) {
    case Holder::ours:
      note_renewed(kv::steady_now());
      set_leader(revision, platform_.node_name);
      return;
    case Holder::predecessor:
      set_leader(0, "");
      remove_dead_leader(revision);
      return;
    case Holder::unreadable:
      spdlog::error("unreadable record ignored key={}", kLeaderKey);
      set_leader(0, "");
      return;
    case Holder::other:
      set_leader(0, node_of(value));
  }
}

void LeaderElection::observe_vacancy() {
  leaderless_ = true;
  set_leader(0, "");
}

// Uses a list rather than get(), since a list also returns the store revision. The revision of the
// key itself may be too old to watch from: a node that starts while the same leader has led for
// many hours would alternate between reading the key and failing to watch it, without a pause.
void LeaderElection::read_leader_key() {
  const kv::ListResult page = store_.list(kLeaderKey, "");
  if (page.outcome != Outcome::ok) {
    pause_before_retry();
    return;
  }
  watch_revision_ = page.store_revision;
  const auto entry = std::find_if(page.entries.begin(), page.entries.end(),
                                  [](const kv::Entry& one) { return one.key == kLeaderKey; });
  if (entry == page.entries.end()) {
    observe_vacancy();
  } else {
    observe_leader(entry->value, entry->revision);
  }
}

void LeaderElection::watch_leader_key() {
  if (watch_revision_ == 0) {
    read_leader_key();
    return;
  }
  const kv::WatchResult changes =
      store_.watch(kLeaderKey, watch_revision_, millis(lease_duration_s_));
  if (changes.outcome != Outcome::ok) {
    watch_revision_ = 0;
    // `absent`: the revision is too old to watch from. Reading the key returns a newer one.
    if (changes.outcome != Outcome::absent) pause_before_retry();
    return;
  }
  watch_revision_ = changes.store_revision;
  const auto last =
      std::find_if(changes.changes.rbegin(), changes.changes.rend(),
                   [](const kv::KeyChange& change) { return change.key == kLeaderKey; });
  if (last == changes.changes.rend()) return;
  if (last->value) {
    observe_leader(*last->value, last->revision);
  } else {
    observe_vacancy();
  }
}

}  // namespace reachramp::leadership
