#include "leadership/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "kv/steady_clock.h"

namespace reachramp::leadership {

namespace {

using kv::Outcome;
using namespace std::chrono_literals;

constexpr const char* kKey = "leader";
// Without a leader nobody answers workers: a new one must be there well within their lease.
constexpr double kLifeOfLease = 0.3;
// Long leases do not make a dead leader any better: meanwhile nothing starts. Sites with short ones
// have always lived with less.
constexpr double kLongestLife_s = 4;
constexpr double kRenewalsPerLife = 4;
constexpr double kRetry_s = 0.3;
constexpr double kAfterYou_s = 0.3;

std::chrono::milliseconds millis(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

std::string random_nonce() {
  std::random_device device;
  return std::to_string((static_cast<std::uint64_t>(device()) << 32) | device());
}

}  // namespace

LeaderElection::LeaderElection(kv::Client& state, const settings::Platform& platform,
                               std::function<bool()> another_should,
                               std::function<bool(double, double, std::uint64_t)> cut_off)
    : state_(state),
      platform_(platform),
      lease_duration_s_(std::clamp(platform.workers.lease_s * kLifeOfLease, 1.0, kLongestLife_s)),
      self_{platform.node_name,
            platform.cluster_listen.host + ":" + std::to_string(platform.cluster_listen.port),
            random_nonce()},
      another_should_(std::move(another_should)),
      cut_off_(std::move(cut_off)) {}

LeadershipStatus LeaderElection::status() {
  std::lock_guard lock(mutex_);
  return status_;
}

bool LeaderElection::is_leadership_certain(std::uint64_t fencing_token) {
  std::lock_guard lock(mutex_);
  return status_.fencing_token == fencing_token &&
         kv::steady_now() - renewed_at_ < lease_duration_s_;
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

void LeaderElection::clear_leadership(bool cut_off) {
  status_ = {0, "", cut_off, status_.highest_seen_revision};
  watch_revision_ = 0;
  changed_.notify_all();
}

void LeaderElection::note_seen(std::uint64_t revision) {
  std::lock_guard lock(mutex_);
  status_.highest_seen_revision = std::max(status_.highest_seen_revision, revision);
}

void LeaderElection::resign(std::uint64_t fencing_token) {
  std::lock_guard lock(mutex_);
  if (status_.fencing_token != fencing_token) return;
  stepping_down_ = true;
  clear_leadership();
}

void LeaderElection::set_disabled(bool barred) {
  std::uint64_t fencing_token = 0;
  {
    std::lock_guard lock(mutex_);
    disabled_ = barred;
    fencing_token = status_.fencing_token;
  }
  if (barred && fencing_token != 0) resign(fencing_token);
}

void LeaderElection::note_renewed(double asked_at) {
  std::lock_guard lock(mutex_);
  renewed_at_ = asked_at;
}

void LeaderElection::set_leader(std::uint64_t fencing_token, const std::string& leader) {
  std::lock_guard lock(mutex_);
  if (status_.leader != leader) {
    spdlog::info("leader: {}", leader.empty() ? "none" : leader);
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

void LeaderElection::run() {
  for (;;) {
    bool resign = false, barred = false;
    {
      std::lock_guard lock(mutex_);
      resign = std::exchange(stepping_down_, false);
      barred = disabled_;
    }
    if (resign) {
      state_.revoke_lease(lease_id_);
      lease_id_ = 0;
      pause(platform_.workers.lease_s * 0.1);
    } else if (status().fencing_token != 0) {
      keep_leading();
    } else if (leaderless_ && !barred) {
      campaign();
    } else {
      watch_leader_key();
    }
  }
}

kv::Outcome LeaderElection::renew_lease() {
  const double asked_at = kv::steady_now();
  const Outcome renewed = state_.renew_lease(lease_id_);
  if (renewed == Outcome::ok) note_renewed(asked_at);
  return renewed;
}

void LeaderElection::keep_leading() {
  pause(lease_duration_s_ / kRenewalsPerLife);
  const std::uint64_t fencing_token = status().fencing_token;
  if (fencing_token == 0) return;
  // While the key-value store does not answer we go on answering workers, for their leases' sake;
  // nothing new starts, and whoever takes over shows in a higher fencing token. Not when it is us
  // alone: workers that we answer never report to whoever leads instead.
  Outcome renewed = renew_lease();
  const bool alone = renewed != Outcome::ok && renewed != Outcome::absent &&
                     cut_off_(kv::steady_now() - renewed_at_, lease_duration_s_, fencing_token);
  // An outage may have ended while the others were asked.
  if (alone) renewed = renew_lease();
  if (renewed == Outcome::absent) {
    spdlog::info("the lead has run out");
    on_deposed(fencing_token);
    lease_id_ = 0;
  } else if (alone && renewed != Outcome::ok) {
    spdlog::error("cut off: the lead is let go, and workers are sent on to other nodes");
    // The key, should it still stand, counts as a predecessor's from now on.
    lease_id_ = 0;
    std::lock_guard lock(mutex_);
    clear_leadership(true);
  }
}

void LeaderElection::campaign() {
  // Whatever becomes of this, it is looked again whether the lead is vacant still. A watch would
  // tell only of changes, and of a vacancy that lasts there is none: when all claims had failed,
  // nobody ever stood again.
  leaderless_ = false;
  watch_revision_ = 0;
  if ((another_should_() || std::exchange(defers_to_others_, false)) && !has_deferred_) {
    has_deferred_ = true;
    pause(kAfterYou_s);
    return;
  }
  has_deferred_ = false;
  const double asked_at = kv::steady_now();
  const kv::LeaseGrant lease_id = state_.grant_lease(millis(lease_duration_s_));
  if (lease_id.outcome != Outcome::ok) {
    pause(kv::jittered(kRetry_s).count());
    return;
  }
  lease_id_ = lease_id.id;
  kv::Transaction claim;
  claim.preconditions = {{kKey, 0}};
  claim.writes.push_back({kKey, encode_holder(self_, lease_id_), lease_id_});
  const kv::CommitResult committed = state_.commit(claim);
  if (committed.outcome == Outcome::ok) {
    note_renewed(asked_at);
    set_leader(committed.store_revision, platform_.node_name);
    return;
  }
  // Without an answer the claim may have been granted; the next look at the key tells.
  if (committed.outcome == Outcome::conflict) {
    state_.revoke_lease(lease_id_);
    lease_id_ = 0;
  } else {
    pause(kv::jittered(kRetry_s).count());
  }
}

// A process that ended and is back at once finds its predecessor's key, which would stand for
// seconds, or for as long as the key-value store is out and a life more. Removed, not taken over:
// another node that stood through it leads first, so that one that ends again and again does not
// keep the lead from those that stand.
void LeaderElection::remove_dead_leader(std::uint64_t revision) {
  kv::Transaction burial;
  burial.preconditions = {{kKey, revision}};
  burial.writes.push_back({kKey, std::nullopt, std::nullopt});
  const kv::CommitResult committed = state_.commit(burial);
  watch_revision_ = 0;  // whatever has become of it, look anew
  if (committed.outcome == Outcome::ok) {
    spdlog::info("the lead of the process before this one is over");
    defers_to_others_ = !platform_.members.empty();
  } else if (committed.outcome != Outcome::conflict) {
    pause(kv::jittered(kRetry_s).count());
  }
}

void LeaderElection::observe_leader(const kv::Json& value, std::uint64_t revision) {
  has_deferred_ = leaderless_ = false;
  note_seen(revision);
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
      spdlog::error("record {}: cannot be read, and is left alone", kKey);
      set_leader(0, "");
      return;
    case Holder::other:
      set_leader(0, node_of(value));
  }
}

// A list, since it tells the store revision too. The key's own revision may be older than any watch
// can reach: a process that came back under a leader that had led for 10,000 changes asked for it
// and for the watch in turn, as fast as it could.
void LeaderElection::read_leader_key() {
  const kv::ListResult page = state_.list(kKey, "");
  if (page.outcome != Outcome::ok) {
    pause(kv::jittered(kRetry_s).count());
    return;
  }
  watch_revision_ = page.store_revision;
  const auto entry = std::find_if(page.entries.begin(), page.entries.end(),
                                  [](const kv::Entry& one) { return one.key == kKey; });
  if (entry == page.entries.end()) {
    leaderless_ = true;
    set_leader(0, "");
  } else {
    observe_leader(entry->value, entry->revision);
  }
}

void LeaderElection::watch_leader_key() {
  if (watch_revision_ == 0) {
    read_leader_key();
    return;
  }
  const kv::WatchResult changes = state_.watch(kKey, watch_revision_, millis(lease_duration_s_));
  if (changes.outcome != Outcome::ok) {
    watch_revision_ = 0;
    if (changes.outcome != Outcome::absent) pause(kv::jittered(kRetry_s).count());
    return;
  }
  watch_revision_ = changes.store_revision;
  const auto last = std::find_if(changes.changes.rbegin(), changes.changes.rend(),
                                 [](const kv::KeyChange& change) { return change.key == kKey; });
  if (last == changes.changes.rend()) return;
  if (last->value) {
    observe_leader(*last->value, last->revision);
  } else {
    leaderless_ = true;
    set_leader(0, "");
  }
}

}  // namespace reachramp::leadership
