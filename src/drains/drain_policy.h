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

#include "settings/s_expression.h"
#include "wire/message.h"

namespace reachramp::drains {

inline constexpr const char* kPolicyKey = "drains";      // what is in force; written by any node
inline constexpr const char* kUsageKey = "drains/used";  // what it has cost; written by the leader
// Whether it is a record of this slice that the level does not have, or has in another form.
bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level);

// What a team must bear of voluntary stops.
struct DisruptionBudget {
  double max_down_share = 0.1;  // of its running cores, at a time; one task or gang at least
  double max_lost_core_s_per_hour = 36000;  // work that is done again
  double min_replicas_up_share = 0.75;      // of each service
  std::uint32_t max_stops_per_job = 3;
  bool operator==(const DisruptionBudget&) const = default;
};

// All that is given must hold.
struct HostSelector {
  std::set<std::string> host_names;
  std::optional<std::string> type;
  std::optional<std::string> zone;
  std::optional<bool> spot;
  std::optional<double> older_than_s;
  std::optional<std::uint64_t>
      rented_before_serial;  // rented before that serial was first accepted
  // Without names and ages it is a whole pool, or several: nothing is rented there either.
  bool selects_whole_pools() const {
    return host_names.empty() && !older_than_s && !rented_before_serial;
  }
  bool operator==(const HostSelector&) const = default;
};

struct DrainRule {
  HostSelector selector;
  bool is_rolling = false;  // (replace ...); else (machines ...)
  std::string source_text;  // as it was written, for the log
  bool operator==(const DrainRule&) const = default;
};

struct RolloutSettings {
  std::uint32_t first_step_size = 1;  // machines in the first step of a pool
  double max_step_share = 0.1;        // of the pool's machines in a step
  bool surge = true;                  // the new ones are rented before the old ones are emptied
  double soak_s = 30;                 // new machines work so long before the next step
  double retry_after_s = 600;         // a step that failed is tried once more after so long
  double max_failed_share = 0.34;     // of a step's new machines that may fail
  double max_remaining_cost = 1e12;   // steps begin only while all that is left costs no more
  bool operator==(const RolloutSettings&) const = default;
};

struct DrainPolicy {
  std::uint64_t serial = 0;
  DisruptionBudget default_budget;  // of a team that has none of its own
  std::map<std::string, DisruptionBudget> team_budgets;
  std::vector<DrainRule> rules;
  RolloutSettings rollout;
  double ending_soon_s = 30;    // what is expected to end within this is left to end
  double grace_period_s = 120;  // so long tasks that save nothing are left to end
  bool operator==(const DrainPolicy&) const = default;

  const DisruptionBudget& budget_of(const std::string& team) const;
};

// Reads (drains ...). Throws settings::BadSettings that names line, field and reason. `platform`
// tells the teams; types and zones are known to the cloud alone and checked by check_names().
DrainPolicy parse_drain_policy(const settings::SExpression& section,
                               const settings::Platform& platform, const std::string& path);
// Types and zones that the catalog does not have, one line each.
std::vector<std::string> find_unknown_names(const DrainPolicy& rules,
                                            const std::set<std::string>& types,
                                            const std::set<std::string>& zones);

// The record: the newest section that any node has read, and when the serials before it were
// accepted, as revisions.
struct AcceptedPolicy {
  std::uint64_t serial = 0;
  std::string text;
  std::map<std::uint64_t, std::uint64_t>
      earlier_revisions;  // by serial; the record's own is its revision
};
wire::Json encode_accepted_policy(const AcceptedPolicy& accepted);
// Throws wire::BadMessage.
AcceptedPolicy decode_accepted_policy(const wire::Json& value);
// What takes the place of the record; nothing if it is as new already.
std::optional<AcceptedPolicy> next_accepted_policy(const std::optional<AcceptedPolicy>& stored,
                                                   std::uint64_t stored_revision,
                                                   std::uint64_t serial, const std::string& text);

}  // namespace reachramp::drains
