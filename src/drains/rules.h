// What operators write of machines to be emptied, and of how much of it each team must bear: the
// section (drains ...) of the policy. Every field has a default; amounts are cores, seconds,
// shares.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "settings/tree.h"
#include "wire/message.h"

namespace reachramp::drains {

inline constexpr const char* kRulesKey = "drains";      // what is in force; written by any node
inline constexpr const char* kUsedKey = "drains/used";  // what it has cost; written by the leader
// Whether it is a record of this slice that the level does not have, or has in another form.
bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level);

// What a team must bear of voluntary stops.
struct Budget {
  double down = 0.1;                   // of its running cores, at a time; one task or gang at least
  double lost_core_s_an_hour = 36000;  // work that is done again
  double replicas_up = 0.75;           // of each service
  std::uint32_t stops_a_job = 3;
  bool operator==(const Budget&) const = default;
};

// All that is given must hold.
struct Match {
  std::set<std::string> names;
  std::optional<std::string> type;
  std::optional<std::string> zone;
  std::optional<bool> spot;
  std::optional<double> older_than_s;
  std::optional<std::uint64_t> before;  // rented before that serial was first accepted
  // Without names and ages it is a whole pool, or several: nothing is rented there either.
  bool is_of_pools() const { return names.empty() && !older_than_s && !before; }
  bool operator==(const Match&) const = default;
};

struct Entry {
  Match match;
  bool in_steps = false;  // (replace ...); else (machines ...)
  std::string text;       // as it was written, for the log
  bool operator==(const Entry&) const = default;
};

struct Steps {
  std::uint32_t first = 1;   // machines in the first step of a pool
  double most = 0.1;         // of the pool's machines in a step
  bool surge = true;         // the new ones are rented before the old ones are emptied
  double settle_s = 30;      // new machines work so long before the next step
  double again_s = 600;      // a step that failed is tried once more after so long
  double failures = 0.34;    // of a step's new machines that may fail
  double most_price = 1e12;  // steps begin only while all that is left costs no more
  bool operator==(const Steps&) const = default;
};

struct Rules {
  std::uint64_t serial = 0;
  Budget budget;  // of a team that has none of its own
  std::map<std::string, Budget> teams;
  std::vector<Entry> entries;
  Steps steps;
  double soon_s = 30;        // what is expected to end within this is left to end
  double attrition_s = 120;  // so long tasks that save nothing are left to end
  bool operator==(const Rules&) const = default;

  const Budget& budget_of(const std::string& team) const;
};

// Reads (drains ...). Throws settings::BadSettings that names line, field and reason. `platform`
// tells the teams; types and zones are known to the cloud alone and checked by check_names().
Rules read_rules(const settings::Tree& section, const settings::Platform& platform,
                 const std::string& path);
// Types and zones that the catalog does not have, one line each.
std::vector<std::string> check_names(const Rules& rules, const std::set<std::string>& types,
                                     const std::set<std::string>& zones);

// The record: the newest section that any node has read, and when the serials before it were
// accepted, as revisions.
struct Accepted {
  std::uint64_t serial = 0;
  std::string text;
  std::map<std::uint64_t, std::uint64_t> revisions;  // by serial; the record's own is its revision
};
wire::Json encode_accepted(const Accepted& accepted);
// Throws wire::BadMessage.
Accepted decode_accepted(const wire::Json& value);
// What takes the place of the record; nothing if it is as new already.
std::optional<Accepted> accept(const std::optional<Accepted>& stored, std::uint64_t stored_revision,
                               std::uint64_t serial, const std::string& text);

}  // namespace reachramp::drains
