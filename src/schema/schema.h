// Decisions about the schema level: whether a process is compatible with what is stored, and when
// the schema migrates to the next level or back. The leader carries migrations out; other modules
// only need has_level().
//
// Pure functions on values, for any thread. A new leader needs only the records of this module and
// those that it reads anyway: no migration cursor is stored, since a new leader reads every record
// and so finds those that remain to be migrated.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kv/client.h"
#include "schema/schema_levels.h"
#include "schema/schema_records.h"

namespace reachramp::schema {

// The duration of the lease of a claim, in seconds: a claim may outlive its process by as much.
inline constexpr double kClaimLease_s = 20;

// What a process does with the claim that an earlier process on the same node left behind.
enum class PredecessorClaim {
  adopt,       // it announces the same: renew its lease
  replace,     // it announces something else, or has no lease that would end it
  leave_alone  // it is malformed, possibly of a later version
};
// Decides what to do with `predecessor`, the record found under the key of the claim `own`.
PredecessorClaim disposition_of(const kv::Entry& predecessor, const Claim& own);

// Whether the program version `version` is later than `than`. Both are compared number by number; a
// text that does not begin with a number comes before all others.
bool is_later(const std::string& version, const std::string& than);

// The stored schema and the revision of its record, 0 if there is no record. Writes that depend on
// the schema level are conditional on this revision.
struct SchemaView {
  StoredSchema stored;
  std::uint64_t revision = 0;
};

// Whether records are written in the form of `level` or a later one.
inline bool has_level(const StoredSchema& stored, std::uint32_t level) {
  return stored.written_level >= level;
}
// Returns why a process that supports these levels must not serve requests; empty if it may.
std::string incompatibility(const StoredSchema& stored, const SupportedLevels& supported);

// A change of the record `level`, or the reason for which a requested one is rejected.
struct SchemaMigration {
  StoredSchema target;
  // Keys and revisions of the claims that the decision rests on: it is to be committed only if none
  // of them has changed. In the form that kv::Transaction takes.
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
  // If set, nothing is to be committed.
  std::optional<std::string> rejection_reason{};
};

// Returns the change that the leader should commit now, none if there is none; `nodes` are all
// nodes that its settings name.
//  - Upgrade: one level, when all nodes have a claim that supports it and none holds it back, and
//    the previous migration is settled.
//  - Downgrade: one level, when the claim of any node holds the schema below what is written. Nodes
//    without a claim do not prevent it, since a downgrade makes no process incompatible.
//  - Resumed upgrade: a downgrade is undone when the hold is withdrawn before it is settled.
std::optional<SchemaMigration> next_migration(const StoredSchema& stored,
                                              const std::vector<Claim>& claims,
                                              const std::vector<std::string>& nodes);
// Returns what to commit once strong reads have shown that no obsolete record remains.
StoredSchema settled_form(const StoredSchema& stored);

// Returns the nodes whose claims have another digest of the shared settings than `own_digest`.
// Claims without a digest are skipped.
std::vector<std::string> nodes_with_other_settings(const std::vector<Claim>& claims,
                                                   std::uint64_t own_digest);

}  // namespace reachramp::schema
