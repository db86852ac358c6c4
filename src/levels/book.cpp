#include "levels/book.h"

#define XXH_INLINE_ALL
#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "state/clock.h"

namespace reachramp::levels {

namespace {

using state::Outcome;

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
  state::Json shared = state::Json::object();
  std::vector<std::string> nodes{platform.node_name};
  for (const settings::Member& member : platform.members) nodes.push_back(member.name);
  std::sort(nodes.begin(), nodes.end());
  shared["nodes"] = nodes;
  for (const settings::Team& team : platform.teams) {
    shared["teams"].push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max});
  }
  for (const settings::Objective& aim : platform.objectives) {
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

Book::Book(state::Client& state, const settings::Platform& platform, const Speech& speech)
    : state_(state), speech_(speech), node_(platform.node_name), digest_(digest_of(platform)) {}

// The claim of the process before us on this node may still stand. Where it says what we would say
// it goes on under the same permit: a process that ends again and again writes nothing and leaves
// no permits behind, and the claim does not flicker. Else it is replaced.
bool Book::announce() {
  const state::Found before = state_.get(claim_key(node_));
  if (before.outcome != Outcome::ok && before.outcome != Outcome::absent) return false;
  const Claim claim{
      node_, speech_.version, speech_.oldest, speech_.newest, speech_.hold_at, digest_, 0};
  switch (before.outcome == Outcome::ok ? heir_of(before.entry, claim) : Heir::replaces) {
    case Heir::leaves:
      if (!std::exchange(told_unreadable_, true)) {
        spdlog::error("record {}: cannot be read, and is left alone", claim_key(node_));
      }
      return false;
    case Heir::goes_on:
      if (state_.renew(before.entry.permit) == Outcome::ok) {
        permit_ = before.entry.permit;
        return true;
      }
      return false;  // it has just ended; the next look shows it
    case Heir::replaces:
      break;
  }
  const state::Permit permit = state_.hold(millis(kClaimLife_s));
  if (permit.outcome != Outcome::ok) return false;
  permit_ = permit.id;
  state::Transaction announcement;
  announcement.conditions = {
      {claim_key(node_), before.outcome == Outcome::ok ? before.entry.stamp : 0}};
  announcement.writes.push_back({claim_key(node_), encode_claim(claim), permit_});
  const Outcome outcome = state_.commit(announcement).outcome;
  if (outcome != Outcome::ok && outcome != Outcome::unknown) permit_ = 0;
  return outcome == Outcome::ok;
}

void Book::learn(const std::optional<state::Json>& value, std::uint64_t stamp) {
  std::string reason;
  Stored stored;
  try {
    stored = decode_stored(value);
    reason = locked_out(stored, speech_);
  } catch (const std::exception& error) {
    reason =
        fmt::format("record {}: {}: nothing is written on its strength", kLevelKey, error.what());
  }
  std::lock_guard lock(mutex_);
  locked_ = !reason.empty();
  stamp_ = stamp;
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

// A list, since it tells the epoch too: the record's own stamp may be older than any watch can
// reach.
bool Book::read(std::uint64_t* epoch) {
  const state::Page page = state_.list(kLevelKey, "");
  if (page.outcome != Outcome::ok) return false;
  const auto entry = std::find_if(page.entries.begin(), page.entries.end(),
                                  [](const state::Entry& one) { return one.key == kLevelKey; });
  if (entry == page.entries.end()) {
    learn(std::nullopt, 0);
  } else {
    learn(entry->value, entry->stamp);
  }
  *epoch = page.epoch;
  return true;
}

std::optional<std::uint64_t> Book::look() {
  std::uint64_t epoch = 0;
  if (!read(&epoch)) return std::nullopt;
  std::lock_guard lock(mutex_);
  return locked_ ? std::nullopt : stamp_;
}

std::optional<View> Book::view() {
  if (!stamp()) return std::nullopt;
  std::lock_guard lock(mutex_);
  return locked_ ? std::nullopt : std::optional(View{stored_, stamp_.value_or(0)});
}

std::optional<std::uint64_t> Book::stamp() {
  {
    std::lock_guard lock(mutex_);
    if (locked_) return std::nullopt;
    if (stamp_) return stamp_;
  }
  return look();
}

void Book::look_at_others() {
  const state::Page page = state_.list(kClaims, "");
  if (page.outcome != Outcome::ok) return;
  const std::vector<Claim> claims = decode_claims(page.entries);
  yields_ = std::any_of(claims.begin(), claims.end(), [&](const Claim& claim) {
    return claim.node != node_ && is_later(claim.version, speech_.version);
  });
  std::string differ;
  for (const std::string& node : differing(claims, digest_)) differ += " " + node;
  if (differ != differ_ && !differ.empty()) {
    spdlog::error("settings that nodes must share differ from those of{}", differ);
  }
  differ_ = differ;
}

void Book::run(const std::function<void(bool)>& locked) {
  bool claimed = false;
  for (int turn = 0;; ++turn) {
    if (claimed && state_.renew(permit_) == Outcome::absent) claimed = false;
    if (!claimed) claimed = announce();
    if (turn % kLookAtOthersEvery == 0) look_at_others();
    if (position_ == 0) read(&position_);
    locked(locked_);
    if (position_ == 0 || !claimed) {
      std::this_thread::sleep_for(state::jittered(kRetry_s));
      if (position_ == 0) continue;
    }
    const state::Changes changes = state_.follow(kLevelKey, position_, millis(kTurn_s));
    if (changes.outcome != Outcome::ok) {
      position_ = 0;
      std::this_thread::sleep_for(state::jittered(kRetry_s));
      continue;
    }
    position_ = std::max(position_, changes.epoch);
    for (const state::Change& change : changes.changes) {
      if (change.key == kLevelKey) learn(change.value, change.value ? change.stamp : 0);
    }
    locked(locked_);
  }
}

}  // namespace reachramp::levels
