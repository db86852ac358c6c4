// The records that this module stores, and their codecs. `level` holds the schema level of the
// stored records and outlives all processes. `claim/<node>` holds which levels the live process on
// a node supports; it is attached to a lease, so that it ends with the process.
//
// Pure functions on values, for any thread. No other module uses the field names of the records.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kv/client.h"
#include "schema/schema_levels.h"

namespace reachramp::schema {

// The key of the one record of StoredSchema.
inline constexpr const char* kLevelKey = "level";
// The prefix of the keys of claims, before the node's name.
inline constexpr const char* kClaimPrefix = "claim/";

// Which schema levels a process supports. The defaults are this program's; tests narrow the range
// to act as an older version, or widen it.
struct SupportedLevels {
  std::uint32_t oldest = kOldestLevel;
  std::uint32_t newest = kNewestLevel;
  std::uint32_t hold_at = 0;  // the operator wants the schema at or below this level; 0: no limit
  std::string version = REACHRAMP_VERSION;  // of the program
};

// What the live process on a node supports, as announced to the other nodes.
struct Claim {
  std::string node;
  std::string version;  // of the program
  std::uint32_t oldest = kOldestLevel;
  std::uint32_t newest = kUncompacted;
  std::uint32_t hold_at = 0;          // as in SupportedLevels
  std::uint64_t settings_digest = 0;  // of the settings that nodes must share; 0: not announced
  std::uint64_t revision = 0;         // of the record itself; not part of its value
};

// The schema level of what is stored.
struct StoredSchema {
  // The level that a reader must support.
  std::uint32_t level = kCompact;
  // The level in whose form records are written; one below `level` during a downgrade.
  std::uint32_t written_level = kCompact;
  // No record in the form of another level remains.
  bool settled = true;
  bool operator==(const StoredSchema&) const = default;
};

// The key of the claim of `node`.
std::string claim_key(const std::string& node);

// Returns the value of the record of a claim, which holds neither its node nor its revision.
kv::Json encode_claim(const Claim& claim);
// Throws wire::BadMessage for a record that is not a well-formed claim. Unknown fields are ignored:
// later versions may add some.
Claim decode_claim(const kv::Entry& entry);
// Decodes all claims that are well-formed. The others are logged and left out, which makes their
// nodes count as absent.
std::vector<Claim> decode_claims(const std::vector<kv::Entry>& entries);

// The value of the record `level`.
kv::Json encode_stored(const StoredSchema& stored);
// Returns the default if there is no record: the level is then 1 or 2, which the records
// member/<node> distinguish (peers/members.h). Throws wire::BadMessage for a malformed record:
// nothing may be written while the level is unknown.
StoredSchema decode_stored(const std::optional<kv::Json>& value);

}  // namespace reachramp::schema
