// The schema levels. "Version" is the version of the program; a schema version, the form of what is
// stored in the key-value store, is called a level. Levels are numbered from 1 and each contains
// the ones below it. Several program versions can read and write the same level, and every program
// version supports a contiguous range of levels.
//
// All modules that own records include this header, and it includes none of them. Each module
// decides next to its codec which of its records are obsolete at a level. Every change of a
// record's form, and all behaviour that depends on one, gets an entry in kSchemaLevels. Everything
// here is constant.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace reachramp::schema {

// Describes one level, for readers of the code and for log lines. Only `number` and
// `no_downgrade_because` take part in decisions.
struct SchemaLevel {
  std::uint32_t number = 0;
  std::string_view since_version;  // the first program version that supports it
  std::string_view written;        // what is written from this level on
  std::string_view upgrade;        // how stored records get here from the level below
  std::string_view downgrade;      // how they get back to the level below
  // Why the level cannot be downgraded; none where it can.
  std::optional<std::string_view> no_downgrade_because{};
};

// A record of tasks names each of its tasks.
inline constexpr std::uint32_t kUncompacted = 1;
// A record of tasks holds ranges. Nodes announce the level in member/<node>; see peers/members.h.
inline constexpr std::uint32_t kCompact = 2;
// The record "timeline" (kv/revision_clock.h); no level 1 record remains.
inline constexpr std::uint32_t kTimeline = 3;
inline constexpr std::uint32_t kClosedPools = 4;  // a pool without scale-out request has no record
inline constexpr std::uint32_t kShares = 5;       // the record "shares"
inline constexpr std::uint32_t kDrains = 6;       // the records "drains", "drains/used", "zones"
// Users are told that a waiting job is cancelled before this is stored in the job's own record;
// each node derives it from the records of the jobs that the job needs (jobs/dependency_graph.h).
inline constexpr std::uint32_t kDerivedCancellations = 7;
// The range that this program version supports.
inline constexpr std::uint32_t kOldestLevel = kUncompacted;
inline constexpr std::uint32_t kNewestLevel = kDerivedCancellations;

// All levels that this program version supports, in ascending order.
inline constexpr std::array<SchemaLevel, kNewestLevel> kSchemaLevels{{
    {kUncompacted, "0.2.0", "task/<job>/<chunk>", "", "", "it is the oldest level"},
    {kCompact, "0.3.0", "task/<job>/<first>-<end>, waits_on, the limits to come",
     "as records change", "", "0.2.0 drops records it does not know and restarts their tasks"},
    {kTimeline, "0.4.0", "timeline", "the leader rewrites level 1 records and removes the old ones",
     "timeline is removed; compact records remain, which 0.3.0 can read"},
    {kClosedPools, "0.4.0", "pool/ only while a request is pending",
     "the leader removes records of closed pools",
     "nothing to do: an absent record is read as a closed pool"},
    {kShares, "0.4.0", "shares", "nothing to do", "shares is removed"},
    {kDrains, "0.5.0", "drains, drains/used, zones", "nothing to do",
     "all three are removed, which ends all drains"},
    {kDerivedCancellations, "0.6.0", "no new record", "nothing to do",
     "the ends of all cancelled jobs are stored first"},
}};

// The description of `level`, which must be from kOldestLevel to kNewestLevel.
inline const SchemaLevel& schema_level(std::uint32_t level) { return kSchemaLevels[level - 1]; }

}  // namespace reachramp::schema
