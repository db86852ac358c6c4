#include "schema/schema.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace reachramp::schema {

namespace {

constexpr std::uint64_t kMostLevel = 1000;

std::uint32_t level_in(const kv::Json& map, const char* field) {
  return static_cast<std::uint32_t>(wire::count(map, field, kMostLevel));
}

std::vector<int> numbers(const std::string& version) {
  std::vector<int> found;
  const char* at = version.data();
  const char* const end = at + version.size();
  while (at < end) {
    int number = 0;
    const auto [stop, error] = std::from_chars(at, end, number);
    if (error != std::errc()) break;
    found.push_back(number);
    at = stop < end ? stop + 1 : stop;
  }
  return found;
}

}  // namespace

std::string claim_key(const std::string& node) { return kClaims + node; }

kv::Json encode_claim(const Claim& claim) {
  return {{"version", claim.version},
          {"oldest", claim.oldest},
          {"newest", claim.newest},
          {"hold", claim.hold_at},
          {"digest", claim.digest}};
}

Claim decode_claim(const kv::Entry& entry) {
  if (!entry.key.starts_with(kClaims) || !entry.value.is_object()) {
    throw wire::BadMessage("not a claim");
  }
  Claim claim;
  claim.node = entry.key.substr(std::string(kClaims).size());
  claim.version = wire::text(entry.value, "version");
  claim.oldest = level_in(entry.value, "oldest");
  claim.newest = level_in(entry.value, "newest");
  claim.hold_at = wire::find(entry.value, "hold") != nullptr ? level_in(entry.value, "hold") : 0;
  claim.digest =
      wire::find(entry.value, "digest") != nullptr ? wire::count(entry.value, "digest") : 0;
  claim.revision = entry.revision;
  if (claim.oldest > claim.newest || claim.newest == 0) throw wire::BadMessage("newest: too low");
  return claim;
}

PredecessorClaim disposition_of(const kv::Entry& before, const Claim& own) {
  try {
    decode_claim(before);
  } catch (const std::exception&) {
    return PredecessorClaim::leave_alone;
  }
  return before.lease_id != 0 && before.value == encode_claim(own) ? PredecessorClaim::adopt
                                                                   : PredecessorClaim::replace;
}

std::vector<Claim> decode_claims(const std::vector<kv::Entry>& entries) {
  std::vector<Claim> claims;
  for (const kv::Entry& entry : entries) {
    try {
      claims.push_back(decode_claim(entry));
    } catch (const std::exception& error) {
      spdlog::error("record {}: {}", entry.key, error.what());
    }
  }
  return claims;
}

bool is_later(const std::string& version, const std::string& than) {
  return numbers(version) > numbers(than);
}

kv::Json encode_stored(const StoredSchema& stored) {
  return {{"level", stored.level}, {"writes", stored.writes}, {"settled", stored.settled}};
}

StoredSchema decode_stored(const std::optional<kv::Json>& value) {
  if (!value) return {};
  if (!value->is_object()) throw wire::BadMessage("level: not a map");
  StoredSchema stored;
  stored.level = level_in(*value, "level");
  stored.writes = level_in(*value, "writes");
  stored.settled = wire::flag(*value, "settled");
  if (stored.writes < kCompact || stored.level < stored.writes ||
      stored.level > stored.writes + 1 || (stored.settled && stored.level != stored.writes)) {
    throw wire::BadMessage("level: cannot be");
  }
  return stored;
}

std::string incompatibility(const StoredSchema& stored, const SupportedVersions& speech) {
  if (stored.level >= speech.oldest && stored.level <= speech.newest) return {};
  return fmt::format(
      "the stored state is at level {}, version {} speaks {} to {}: start a {} version",
      stored.level, speech.version, speech.oldest, speech.newest,
      stored.level > speech.newest ? "later" : "former");
}

std::optional<SchemaMigration> next_migration(const StoredSchema& stored,
                                              const std::vector<Claim>& claims,
                                              const std::vector<std::string>& nodes) {
  SchemaMigration step;
  bool all = true;
  std::uint32_t speak = kMostLevel, hold = kMostLevel;
  for (const std::string& node : nodes) {
    const auto claim = std::find_if(claims.begin(), claims.end(),
                                    [&](const Claim& one) { return one.node == node; });
    if (claim == claims.end()) {
      all = false;
      continue;
    }
    step.preconditions.emplace_back(claim_key(node), claim->revision);
    speak = std::min(speak, claim->newest);
    if (claim->hold_at > 0) hold = std::min(hold, claim->hold_at);
  }
  step.to = stored;
  step.to.settled = false;
  // Back: whoever cannot be heard now would be let in by it, not locked out.
  if (hold < stored.writes) {
    if (stored.level > kNewest || *row(stored.writes).back == 0) {
      step.refused =
          stored.level > kNewest ? "this version does not know the level" : row(stored.writes).why;
      return step;
    }
    if (stored.writes < stored.level) return std::nullopt;  // one at a time
    step.to.writes = stored.writes - 1;
    return step;
  }
  if (!all) return std::nullopt;
  if (stored.writes < stored.level) {  // the hold is off again before the step back was through
    if (std::min(speak, hold) < stored.level) return std::nullopt;
    step.to.writes = stored.level;
    return step;
  }
  if (!stored.settled || std::min({speak, hold, kNewest}) <= stored.level) return std::nullopt;
  step.to.level = step.to.writes = stored.level + 1;
  return step;
}

StoredSchema settled_form(const StoredSchema& stored) {
  return {stored.writes, stored.writes, true};
}

std::vector<std::string> differing(const std::vector<Claim>& claims, std::uint64_t own) {
  std::vector<std::string> nodes;
  for (const Claim& claim : claims) {
    if (claim.digest != 0 && claim.digest != own) nodes.push_back(claim.node);
  }
  return nodes;
}

}  // namespace reachramp::schema
