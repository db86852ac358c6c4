// The levels of the stored state: what is written from each on, how the data get there and come
// back. Every change of a record's form, and all behaviour that needs one, is a row here. Low down:
// which of its records are stale at a level is each slice's own to say, beside their codec.
#pragma once

#include <array>
#include <cstdint>

namespace reachramp::schema {

struct Level {
  std::uint32_t number = 0;
  const char* since = "";  // the first version that speaks it
  const char* what = "";   // what is written from it on
  const char* there = "";  // how what is stored gets there
  const char* back = "";   // how it comes back; empty: it does not, and `why` says why
  const char* why = "";
};

inline constexpr std::uint32_t kWhole = 1;        // records name tasks one by one
inline constexpr std::uint32_t kCompact = 2;      // member/ says it; see peers/members.h
inline constexpr std::uint32_t kAges = 3;         // "revision clock"; no whole record is left
inline constexpr std::uint32_t kClosedPools = 4;  // a pool that is asked for nothing has no record
inline constexpr std::uint32_t kShares = 5;       // "shares"
inline constexpr std::uint32_t kDrains = 6;       // "drains", "drains/used", "zones"
inline constexpr std::uint32_t kOldest = kWhole;  // the oldest level that this version speaks
inline constexpr std::uint32_t kNewest = kDrains;

inline constexpr std::array<Level, kNewest> kTable{{
    {kWhole, "0.2.0", "task/<job>/<chunk>", "", "", "nothing is older"},
    {kCompact, "0.3.0", "task/<job>/<first>-<end>, waits_on, the limits to come",
     "as records change", "", "0.2.0 drops what it does not know and starts those tasks again"},
    {kAges, "0.4.0", "timeline", "the leader writes whole records anew and removes them",
     "timeline is removed; compact records stay, which 0.3.0 reads", ""},
    {kClosedPools, "0.4.0", "pool/ only while a request is out", "the leader removes closed ones",
     "nothing to do: an absent record reads as a closed one", ""},
    {kShares, "0.4.0", "shares", "nothing to do", "shares is removed", ""},
    {kDrains, "0.5.0", "drains, drains/used, zones", "nothing to do",
     "all three are removed, and with them all drains end", ""},
}};

inline const Level& row(std::uint32_t level) { return kTable[level - 1]; }

}  // namespace reachramp::schema
