#include "schema/schema_version_tracker.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "kv/steady_clock.h"
#include "schema/shared_settings.h"

namespace reachramp::schema {

namespace {

using kv::Outcome;

// Each round of run() renews the claim once, so that three renewals may fail before its lease
// expires.
constexpr double kClaimRenewalInterval_s = kClaimLease_s / 4;
constexpr double kSchemaRetryDelay_s = 0.5;
constexpr int kRoundsPerClaimsRead = 3;

std::chrono::milliseconds millis(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

}  // namespace

SchemaVersionTracker::SchemaVersionTracker(kv::Client& store, const settings::Platform& platform,
                                           const SupportedLevels& supported)
    : store_(store),
      supported_(supported),
      node_(platform.node_name),
      settings_digest_(shared_settings_digest(platform)) {}

void SchemaVersionTracker::run(const std::function<void(bool incompatible)>& on_checked) {
  for (int round = 0;; ++round) {
    maintain_claim();
    if (round % kRoundsPerClaimsRead == 0) read_claims();
    if (watched_to_ == 0) watched_to_ = read_stored_schema().value_or(0);
    on_checked(incompatible_);
    const bool can_watch = watched_to_ != 0;
    if (!can_watch || !claim_lease_id_)
      std::this_thread::sleep_for(kv::jittered(kSchemaRetryDelay_s));
    if (!can_watch) continue;
    if (wait_for_change()) {
      on_checked(incompatible_);
    } else {
      std::this_thread::sleep_for(kv::jittered(kSchemaRetryDelay_s));
    }
  }
}

void SchemaVersionTracker::maintain_claim() {
  if (claim_lease_id_ && store_.renew_lease(*claim_lease_id_) == Outcome::absent) {
    claim_lease_id_.reset();
  }
  if (!claim_lease_id_) claim_lease_id_ = announce();
}

// Makes sure that this process's claim is stored. The claim of an earlier process on this node may
// still exist. If it announces the same, it is adopted with its lease: so a process that restarts
// again and again writes nothing, leaves no leases behind, and its claim exists all the time.
// Returns the lease of the claim, none if the claim is not known to be stored.
std::optional<std::uint64_t> SchemaVersionTracker::announce() {
  const kv::ReadResult found = store_.get(claim_key(node_));
  const Claim claim{node_,
                    supported_.version,
                    supported_.oldest,
                    supported_.newest,
                    supported_.hold_at,
                    settings_digest_,
                    0};
  if (found.outcome == Outcome::absent) return publish(claim, 0);
  if (found.outcome != Outcome::ok) return std::nullopt;
  switch (disposition_of(found.entry, claim)) {
    case PredecessorClaim::leave_alone:
      if (!std::exchange(logged_malformed_claim_, true)) {
        spdlog::error("record {}: malformed, not replaced", claim_key(node_));
      }
      return std::nullopt;
    case PredecessorClaim::adopt:
      // If the lease has just expired, the next round finds no claim and stores a new one.
      if (store_.renew_lease(found.entry.lease_id) != Outcome::ok) return std::nullopt;
      return found.entry.lease_id;
    case PredecessorClaim::replace:
      break;
  }
  return publish(claim, found.entry.revision);
}

// Stores the claim under a new lease. If the outcome is unknown, the next round finds the claim, if
// it was stored, and adopts it.
std::optional<std::uint64_t> SchemaVersionTracker::publish(const Claim& claim,
                                                           std::uint64_t predecessor_revision) {
  const kv::LeaseGrant lease = store_.grant_lease(millis(kClaimLease_s));
  if (lease.outcome != Outcome::ok) return std::nullopt;
  kv::Transaction transaction;
  transaction.preconditions = {{claim_key(node_), predecessor_revision}};
  transaction.writes.push_back({claim_key(node_), encode_claim(claim), lease.id});
  if (store_.commit(transaction).outcome != Outcome::ok) return std::nullopt;
  return lease.id;
}

void SchemaVersionTracker::read_claims() {
  const kv::ListResult page = store_.list(kClaimPrefix, "");
  if (page.outcome != Outcome::ok) return;
  const std::vector<Claim> claims = decode_claims(page.entries);
  defers_leadership_ = std::any_of(claims.begin(), claims.end(), [&](const Claim& claim) {
    return claim.node != node_ && is_later(claim.version, supported_.version);
  });
  check_shared_settings(claims);
}

void SchemaVersionTracker::check_shared_settings(const std::vector<Claim>& claims) {
  std::string nodes;
  for (const std::string& node : nodes_with_other_settings(claims, settings_digest_))
    nodes += " " + node;
  if (nodes != last_logged_nodes_ && !nodes.empty()) {
    spdlog::error("settings that nodes must share differ from those of{}", nodes);
  }
  last_logged_nodes_ = nodes;
}

// Waits for changes of the level, for one round at most. False if the watch has failed: the level
// must be read again.
bool SchemaVersionTracker::wait_for_change() {
  const kv::WatchResult result =
      store_.watch(kLevelKey, watched_to_, millis(kClaimRenewalInterval_s));
  if (result.outcome != Outcome::ok) {
    watched_to_ = 0;
    return false;
  }
  watched_to_ = std::max(watched_to_, result.store_revision);
  for (const kv::KeyChange& change : result.changes) {
    if (change.key == kLevelKey)
      update_stored_schema(change.value, change.value ? change.revision : 0);
  }
  return true;
}

std::optional<std::uint64_t> SchemaVersionTracker::revision() {
  {
    std::lock_guard lock(mutex_);
    if (incompatible_) return std::nullopt;
    if (latest_) return latest_->revision;
  }
  return read_revision();
}

std::optional<SchemaView> SchemaVersionTracker::view() {
  if (!revision()) return std::nullopt;
  std::lock_guard lock(mutex_);
  return incompatible_ ? std::nullopt : latest_;
}

std::optional<std::uint64_t> SchemaVersionTracker::read_revision() {
  if (!read_stored_schema()) return std::nullopt;
  std::lock_guard lock(mutex_);
  if (incompatible_) return std::nullopt;
  return latest_->revision;
}

// Uses a list rather than get(), since a list also returns the store revision: the revision of the
// record itself may be too old for a watch to start from.
std::optional<std::uint64_t> SchemaVersionTracker::read_stored_schema() {
  const kv::ListResult page = store_.list(kLevelKey, "");
  if (page.outcome != Outcome::ok) return std::nullopt;
  const auto record = std::find_if(page.entries.begin(), page.entries.end(),
                                   [](const kv::Entry& entry) { return entry.key == kLevelKey; });
  if (record == page.entries.end()) {
    update_stored_schema(std::nullopt, 0);
  } else {
    update_stored_schema(record->value, record->revision);
  }
  return page.store_revision;
}

void SchemaVersionTracker::update_stored_schema(const std::optional<kv::Json>& value,
                                                std::uint64_t revision) {
  std::string reason;
  StoredSchema stored;
  try {
    stored = decode_stored(value);
    reason = incompatibility(stored, supported_);
  } catch (const wire::BadMessage& error) {
    reason =
        fmt::format("record {}: {}: no writes while the level is unknown", kLevelKey, error.what());
  }
  std::lock_guard lock(mutex_);
  incompatible_ = !reason.empty();
  latest_ = SchemaView{stored, revision};
  log_compatibility(reason);
}

// Called with mutex_ held. The operators' documentation quotes the second log line.
void SchemaVersionTracker::log_compatibility(const std::string& reason) {
  if (reason == last_logged_reason_) return;
  if (reason.empty()) {
    spdlog::info("schema level compatible again: serving requests");
  } else {
    spdlog::error("serves nobody: {}", reason);
  }
  last_logged_reason_ = reason;
}

}  // namespace reachramp::schema
