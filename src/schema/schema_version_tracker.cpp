#include "schema/schema_version_tracker.h"

#define XXH_INLINE_ALL
#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "kv/steady_clock.h"

namespace reachramp::schema {

namespace {

using kv::Outcome;

// A turn renews the claim once; three may fail before it ends.
constexpr double kTurn_s = kClaimLife_s / 4;
constexpr double kRetry_s = 0.5;
constexpr int kLookAtOthersEvery = 3;  // turns

std::chrono::milliseconds millis(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

}  // namespace

// Over the JSON form, whose fields are sorted: the same on every node and in every version.
std::uint64_t digest_of(const settings::Platform& platform) {
  kv::Json shared = kv::Json::object();
  std::vector<std::string> nodes{platform.node_name};
  for (const settings::Member& member : platform.members) nodes.push_back(member.name);
  std::sort(nodes.begin(), nodes.end());
  shared["nodes"] = nodes;
  for (const settings::Team& team : platform.teams) {
    shared["teams"].push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max});
  }
  for (const settings::ServiceLevelObjective& aim : platform.objectives) {
    shared["objectives"].push_back(
        {static_cast<int>(aim.kind), aim.job_class, aim.within_s, aim.times});
  }
  const settings::Workers& workers = platform.workers;
  shared["workers"] = {workers.report_s, workers.lease_s, workers.gang_wait_s, workers.gang_peer_s,
                       workers.cancel_s};
  const settings::StateLimits& limits = platform.state_limits;
  shared["state"] = {limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops};
  const std::string text = shared.dump();
  return XXH3_64bits(text.data(), text.size());
}

SchemaVersionTracker::SchemaVersionTracker(kv::Client& state, const settings::Platform& platform,
                                           const SupportedVersions& speech)
    : state_(state), speech_(speech), node_(platform.node_name), digest_(digest_of(platform)) {}

// The claim of the process before us on this node may still stand. Where it says what we would say
// it goes on under the same lease: a process that ends again and again writes nothing and leaves
// no leases behind, and the claim does not flicker. Else it is replaced.
bool SchemaVersionTracker::announce() {
  const kv::ReadResult before = state_.get(claim_key(node_));
  if (before.outcome != Outcome::ok && before.outcome != Outcome::absent) return false;
  const Claim claim{
      node_, speech_.version, speech_.oldest, speech_.newest, speech_.hold_at, digest_, 0};
  switch (before.outcome == Outcome::ok ? disposition_of(before.entry, claim)
                                        : PredecessorClaim::replace) {
    case PredecessorClaim::leave_alone:
      if (!std::exchange(told_unreadable_, true)) {
        spdlog::error("record {}: cannot be read, and is left alone", claim_key(node_));
      }
      return false;
    case PredecessorClaim::adopt:
      if (state_.renew_lease(before.entry.lease_id) == Outcome::ok) {
        lease_id_ = before.entry.lease_id;
        return true;
      }
      return false;  // it has just ended; the next look shows it
    case PredecessorClaim::replace:
      break;
  }
  const kv::LeaseGrant lease_id = state_.grant_lease(millis(kClaimLife_s));
  if (lease_id.outcome != Outcome::ok) return false;
  lease_id_ = lease_id.id;
  kv::Transaction announcement;
  announcement.preconditions = {
      {claim_key(node_), before.outcome == Outcome::ok ? before.entry.revision : 0}};
  announcement.writes.push_back({claim_key(node_), encode_claim(claim), lease_id_});
  const Outcome outcome = state_.commit(announcement).outcome;
  if (outcome != Outcome::ok && outcome != Outcome::unknown) lease_id_ = 0;
  return outcome == Outcome::ok;
}

void SchemaVersionTracker::learn(const std::optional<kv::Json>& value, std::uint64_t revision) {
  std::string reason;
  StoredSchema stored;
  try {
    stored = decode_stored(value);
    reason = incompatibility(stored, speech_);
  } catch (const std::exception& error) {
    reason =
        fmt::format("record {}: {}: nothing is written on its strength", kLevelKey, error.what());
  }
  std::lock_guard lock(mutex_);
  incompatible_ = !reason.empty();
  revision_ = revision;
  stored_ = stored;
  if (reason != told_) {
    if (reason.empty()) {
      spdlog::info("serves again");
    } else {
      spdlog::error("serves nobody: {}", reason);
    }
    told_ = reason;
  }
}

// A list, since it tells the store revision too: the record's own revision may be older than any
// watch can reach.
bool SchemaVersionTracker::read(std::uint64_t* store_revision) {
  const kv::ListResult page = state_.list(kLevelKey, "");
  if (page.outcome != Outcome::ok) return false;
  const auto entry = std::find_if(page.entries.begin(), page.entries.end(),
                                  [](const kv::Entry& one) { return one.key == kLevelKey; });
  if (entry == page.entries.end()) {
    learn(std::nullopt, 0);
  } else {
    learn(entry->value, entry->revision);
  }
  *store_revision = page.store_revision;
  return true;
}

std::optional<std::uint64_t> SchemaVersionTracker::read_revision() {
  std::uint64_t store_revision = 0;
  if (!read(&store_revision)) return std::nullopt;
  std::lock_guard lock(mutex_);
  return incompatible_ ? std::nullopt : revision_;
}

std::optional<SchemaView> SchemaVersionTracker::view() {
  if (!revision()) return std::nullopt;
  std::lock_guard lock(mutex_);
  return incompatible_ ? std::nullopt : std::optional(SchemaView{stored_, revision_.value_or(0)});
}

std::optional<std::uint64_t> SchemaVersionTracker::revision() {
  {
    std::lock_guard lock(mutex_);
    if (incompatible_) return std::nullopt;
    if (revision_) return revision_;
  }
  return read_revision();
}

void SchemaVersionTracker::look_at_others() {
  const kv::ListResult page = state_.list(kClaims, "");
  if (page.outcome != Outcome::ok) return;
  const std::vector<Claim> claims = decode_claims(page.entries);
  defers_leadership_ = std::any_of(claims.begin(), claims.end(), [&](const Claim& claim) {
    return claim.node != node_ && is_later(claim.version, speech_.version);
  });
  std::string differ;
  for (const std::string& node : differing(claims, digest_)) differ += " " + node;
  if (differ != differ_ && !differ.empty()) {
    spdlog::error("settings that nodes must share differ from those of{}", differ);
  }
  differ_ = differ;
}

void SchemaVersionTracker::run(const std::function<void(bool)>& locked) {
  bool claimed = false;
  for (int turn = 0;; ++turn) {
    if (claimed && state_.renew_lease(lease_id_) == Outcome::absent) claimed = false;
    if (!claimed) claimed = announce();
    if (turn % kLookAtOthersEvery == 0) look_at_others();
    if (position_ == 0) read(&position_);
    locked(incompatible_);
    if (position_ == 0 || !claimed) {
      std::this_thread::sleep_for(kv::jittered(kRetry_s));
      if (position_ == 0) continue;
    }
    const kv::WatchResult changes = state_.watch(kLevelKey, position_, millis(kTurn_s));
    if (changes.outcome != Outcome::ok) {
      position_ = 0;
      std::this_thread::sleep_for(kv::jittered(kRetry_s));
      continue;
    }
    position_ = std::max(position_, changes.store_revision);
    for (const kv::KeyChange& change : changes.changes) {
      if (change.key == kLevelKey) learn(change.value, change.value ? change.revision : 0);
    }
    locked(incompatible_);
  }
}

}  // namespace reachramp::schema
