// The records that this module stores, and their codecs. `level` holds the schema level of the
// stored records and outlives all processes. `claim/<node>` holds which levels the live process on
// a node supports; it is attached to a lease, so that it ends with the process.
//
// Pure functions on values, for any thread. Field names of the records stand here alone.
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
  std::uint32_t level = kCompact;  // what a reader must support
  std::uint32_t written_level =
      kCompact;         // the form that writers use; below `level` during a downgrade
  bool settled = true;  // no record of another level remains
  bool operator==(const StoredSchema&) const = default;
};

// The key of the claim of `node`.
std::string claim_key(const std::string& node);

// The value of the record of a claim, without its node and revision.
kv::Json encode_claim(const Claim& claim);
// Throws wire::BadMessage for a record that is not a well-formed claim. Unknown fields are ignored:
// later versions may add some.
Claim decode_claim(const kv::Entry& entry);
// Decodes all claims that are well-formed. The others are logged and left out, which makes their
// nodes count as absent.
std::vector<Claim> decode_claims(const std::vector<kv::Entry>& entries);

// The value of the record `level`.
kv::Json encode_stored(const StoredSchema& stored);
// Without a record the schema is one of the levels that member/ alone distinguishes, and the
// default is returned. Throws wire::BadMessage for a malformed record: nothing may be written while
// the level is unknown.
StoredSchema decode_stored(const std::optional<kv::Json>& value);

}  // namespace reachramp::schema
