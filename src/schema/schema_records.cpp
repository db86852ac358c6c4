#include "schema/schema_records.h"

#include <spdlog/spdlog.h>

#include <string_view>

namespace reachramp::schema {

namespace {

// Above any future level. Keeps numbers from the store within 32 bits.
constexpr std::uint64_t kMaxLevel = 1000;

std::uint32_t read_level(const kv::Json& map, const char* field) {
  return static_cast<std::uint32_t>(wire::count(map, field, kMaxLevel));
}

// Whether a leader can have written these values: migrations move one level at a time.
bool is_consistent(const StoredSchema& stored) {
  if (stored.written_level < kCompact) return false;
  if (stored.level < stored.written_level || stored.level > stored.written_level + 1) return false;
  return !stored.settled || stored.level == stored.written_level;
}

}  // namespace

std::string claim_key(const std::string& node) { return kClaimPrefix + node; }

kv::Json encode_claim(const Claim& claim) {
  return {{"version", claim.version},
          {"oldest", claim.oldest},
          {"newest", claim.newest},
          {"hold", claim.hold_at},
          {"digest", claim.settings_digest}};
}

Claim decode_claim(const kv::Entry& entry) {
  if (!entry.key.starts_with(kClaimPrefix) || !entry.value.is_object()) {
    throw wire::BadMessage("not a claim");
  }
  Claim claim;
  claim.node = entry.key.substr(std::string_view(kClaimPrefix).size());
  claim.version = wire::text(entry.value, "version");
  claim.oldest = read_level(entry.value, "oldest");
  claim.newest = read_level(entry.value, "newest");
  claim.hold_at = wire::find(entry.value, "hold") != nullptr ? read_level(entry.value, "hold") : 0;
  claim.settings_digest =
      wire::find(entry.value, "digest") != nullptr ? wire::count(entry.value, "digest") : 0;
  claim.revision = entry.revision;
  if (claim.oldest > claim.newest || claim.newest == 0) throw wire::BadMessage("newest: too low");
  return claim;
}

std::vector<Claim> decode_claims(const std::vector<kv::Entry>& entries) {
  std::vector<Claim> claims;
  for (const kv::Entry& entry : entries) {
    try {
      claims.push_back(decode_claim(entry));
    } catch (const wire::BadMessage& error) {
      spdlog::error("record {}: {}", entry.key, error.what());
    }
  }
  return claims;
}

kv::Json encode_stored(const StoredSchema& stored) {
  return {{"level", stored.level}, {"writes", stored.written_level}, {"settled", stored.settled}};
}

StoredSchema decode_stored(const std::optional<kv::Json>& value) {
  if (!value) return {};
  if (!value->is_object()) throw wire::BadMessage("level: not a map");
  StoredSchema stored;
  stored.level = read_level(*value, "level");
  stored.written_level = read_level(*value, "writes");
  stored.settled = wire::flag(*value, "settled");
  if (!is_consistent(stored)) throw wire::BadMessage("level: inconsistent");
  return stored;
}

}  // namespace reachramp::schema
