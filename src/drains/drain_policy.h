// The section (drains ...) of the operators' policy: which machines to drain, and how much
// voluntary disruption each team accepts. Every field but the serial has a default. Amounts are in
// cores or seconds, or shares between 0 and 1.
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

// The policy in force; written by any controller node.
inline constexpr const char* kPolicyKey = "drains";
// Usage of the budgets, and progress of replacement; written by the leader.
inline constexpr const char* kUsageKey = "drains/used";
// Whether the key belongs to a record of this directory that the schema level does not have, or has
// in another format.
bool is_obsolete(const std::string& key, const wire::Json& value, std::uint32_t level);

// Limits on the voluntary disruption of one team.
struct DisruptionBudget {
  // Share of the team's running cores that may be down at a time. If it is not 0, one task or gang
  // may be stopped while nothing else of the team is down.
  double max_down_share = 0.1;
  double max_lost_core_s_per_hour = 36000;  // work that has to be repeated
  double min_replicas_up_share = 0.75;      // of each service's replicas
  std::uint32_t max_stops_per_job = 3;
  bool operator==(const DisruptionBudget&) const = default;
};

// Selects machines; all given conditions must hold.
struct HostSelector {
  std::set<std::string> host_names;
  std::optional<std::string> type;
  std::optional<std::string> zone;
  std::optional<bool> spot;
  std::optional<double> older_than_s;
  std::optional<std::uint64_t> rented_before_serial;  // rented before this serial was accepted
  // A selector without names and ages selects whole pools, in which nothing is rented either.
  bool selects_whole_pools() const {
    return host_names.empty() && !older_than_s && !rented_before_serial;
  }
  bool operator==(const HostSelector&) const = default;
};

// One rule of the policy: machines that are to be drained or replaced.
struct DrainRule {
  HostSelector selector;
  bool is_rolling = false;  // written as (replace ...) if true, as (machines ...) if false
  std::string source_text;  // as written in the policy, for logs
  bool operator==(const DrainRule&) const = default;
};

// How machines are replaced in steps.
struct RolloutSettings {
  std::uint32_t first_step_size = 1;  // machines in the first step
  double max_step_share = 0.1;        // of the machines of one type, spot or ordinary, in a step
  bool surge = true;                  // rent new machines before the old ones are drained
  double soak_s = 30;                 // time that new machines must work before the next step
  double retry_after_s = 600;         // a failed step is tried once more after this time
  double max_failed_share = 0.34;     // a step fails if more of its new machines fail
  // Steps begin only while the remaining replacement costs at most this.
  double max_remaining_cost = 1e12;
  bool operator==(const RolloutSettings&) const = default;
};

// The parsed section (drains ...).
struct DrainPolicy {
  std::uint64_t serial = 0;
  DisruptionBudget default_budget;  // for teams without a budget of their own
  std::map<std::string, DisruptionBudget> team_budgets;
  std::vector<DrainRule> rules;
  RolloutSettings rollout;
  // Tasks that are expected to end within this time are not stopped during the grace period.
  double ending_soon_s = 30;
  // For this long after their machine is cordoned, tasks without checkpoints are left to end;
  // services are not.
  double grace_period_s = 120;
  bool operator==(const DrainPolicy&) const = default;

  // The budget of the team, or the default budget.
  const DisruptionBudget& budget_of(const std::string& team) const;
};

// Parses the section (drains ...). Throws settings::BadSettings, which names line, field and
// reason. `platform` gives the names of the teams. Only the cloud knows machine types and zones, so
// find_unknown_names() checks these.
DrainPolicy parse_drain_policy(const settings::SExpression& section,
                               const settings::Platform& platform, const std::string& path);
// Returns an error message for each machine type or zone of the policy that is not in the catalog.
std::vector<std::string> find_unknown_names(const DrainPolicy& policy,
                                            const std::set<std::string>& types,
                                            const std::set<std::string>& zones);

// The record `drains`: the section with the highest serial that any node has read, and the store
// revisions at which earlier serials were accepted.
struct AcceptedPolicy {
  std::uint64_t serial = 0;
  std::string text;
  // By serial. The current serial was accepted at the revision of the record itself.
  std::map<std::uint64_t, std::uint64_t> earlier_revisions;
};
wire::Json encode_accepted_policy(const AcceptedPolicy& accepted);
// Throws wire::BadMessage if the record is malformed.
AcceptedPolicy decode_accepted_policy(const wire::Json& value);
// Returns the record that replaces `stored`, or nothing if the stored serial is not lower than
// `serial`.
std::optional<AcceptedPolicy> next_accepted_policy(const std::optional<AcceptedPolicy>& stored,
                                                   std::uint64_t stored_revision,
                                                   std::uint64_t serial, const std::string& text);

}  // namespace reachramp::drains
