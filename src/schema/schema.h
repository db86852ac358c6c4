// Which form the stored state has, who speaks it, and when it steps on or back. Decisions alone;
// the leader carries them out, and peers ask one thing of them: has().
//
// Records: `level` says at which level the state is, for good; `claim/<node>` says what the living
// process on a node speaks, and ends with it (it hangs on a lease). What a new leader has to know
// is in them and in the records that it reads anyway: no cursor is stored, since taking over reads
// every record and so shows what is left to move.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kv/client.h"
#include "schema/schema_levels.h"

namespace reachramp::schema {

inline constexpr const char* kLevelKey = "level";
inline constexpr const char* kClaims = "claim/";
// A lease's life, in seconds: so long after a process has died its claim may stand.
inline constexpr double kClaimLife_s = 20;

// What this program speaks. Tests speak less, as older versions do, or more.
struct SupportedVersions {
  std::uint32_t oldest = kOldest;
  std::uint32_t newest = kNewest;
  std::uint32_t hold_at = 0;  // an operator's wish to stay at or below it; 0: none
  std::string version = REACHRAMP_VERSION;
};

// What the process on a node says of itself.
struct Claim {
  std::string node;
  std::string version;
  std::uint32_t oldest = kOldest;
  std::uint32_t newest = kWhole;
  std::uint32_t hold_at = 0;
  std::uint64_t digest = 0;  // of the settings that nodes must share
  std::uint64_t revision = 0;
};

std::string claim_key(const std::string& node);
kv::Json encode_claim(const Claim& claim);
// Throws wire::BadMessage.
Claim decode_claim(const kv::Entry& entry);
// What a process does with the claim that stands under its node's name, of a process that is dead:
// it goes on with one that says the same, replaces another, and leaves alone what it cannot read.
enum class PredecessorClaim { adopt, replace, leave_alone };
PredecessorClaim disposition_of(const kv::Entry& before, const Claim& own);
// Those that can be read; the others are as good as missing, and logged.
std::vector<Claim> decode_claims(const std::vector<kv::Entry>& entries);
// Whether another process is of a later version than `version`: it should lead, being through with
// the roll.
bool is_later(const std::string& version, const std::string& than);

// Where the stored state stands. Readers speak `level`; writers write the form of `writes`, which
// is lower while a step back is on its way. Settled: nothing else is left.
struct StoredSchema {
  std::uint32_t level = kCompact;
  std::uint32_t writes = kCompact;
  bool settled = true;
  bool operator==(const StoredSchema&) const = default;
};

kv::Json encode_stored(const StoredSchema& stored);
// Nothing stored: the levels that member/ tells of alone. Throws wire::BadMessage for what cannot
// be read, on whose strength nothing may be written.
StoredSchema decode_stored(const std::optional<kv::Json>& value);

// The stored level and its record's revision; 0: there is no record.
struct SchemaView {
  StoredSchema stored;
  std::uint64_t revision = 0;
};

inline bool has(const StoredSchema& stored, std::uint32_t level) { return stored.writes >= level; }
// Why a process that speaks so must serve nobody; empty: it may.
std::string incompatibility(const StoredSchema& stored, const SupportedVersions& speech);

// A change of `level`, to be written only if each of the claims still stands as it was.
struct SchemaMigration {
  StoredSchema to;
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
  std::string refused;  // instead of a step: why there is none although it was asked for
};

// What the leader should do, nodes being all that its settings name: one step up when all of them
// claim to speak it and none holds it back; back, when one of them holds below; nothing.
std::optional<SchemaMigration> next_migration(const StoredSchema& stored,
                                              const std::vector<Claim>& claims,
                                              const std::vector<std::string>& nodes);
// What is to be written when strong reads have shown that nothing stale is left.
StoredSchema settled_form(const StoredSchema& stored);

// The claims' digests that differ from `own`, by node.
std::vector<std::string> differing(const std::vector<Claim>& claims, std::uint64_t own);

}  // namespace reachramp::schema
