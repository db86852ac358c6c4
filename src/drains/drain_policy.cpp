#include "drains/drain_policy.h"

#include <algorithm>

#include "schema/schema_levels.h"

namespace reachramp::drains {

namespace {

using settings::parse_count;
using settings::parse_number;
using settings::parse_text;
using settings::SExpression;
using settings::throw_bad_settings;

constexpr double kMaxDuration_s = 1e9;
constexpr std::size_t kMaxRules = 50;
constexpr std::size_t kMaxHostNames = 2000;
constexpr std::size_t kMaxEarlierRevisions = 16;

bool parse_yes_no(const SExpression& entry, const std::string& path) {
  const std::string& word = parse_text(entry, path);
  if (word != "yes" && word != "no")
    throw_bad_settings(path, entry, entry.name(), "must be yes or no");
  return word == "yes";
}

// Calls `read` for each field (name value) of the list. Throws if an item is not a list or a field
// is given twice.
template <class Read>
void for_each_field(const SExpression& list, const std::string& path, Read read) {
  std::set<std::string> seen_fields;
  for (std::size_t i = 1; i < list.items.size(); ++i) {
    const SExpression& field = list.items[i];
    if (field.name().empty()) throw_bad_settings(path, field, list.name(), "expected (name value)");
    if (!seen_fields.insert(field.name()).second)
      throw_bad_settings(path, field, field.name(), "given twice");
    read(field);
  }
}

[[noreturn]] void refuse_unknown_field(const SExpression& field, const SExpression& in,
                                       const std::string& path) {
  throw_bad_settings(path, field, field.name(), "no such field of " + in.name());
}

HostSelector parse_selector(const SExpression& list, const std::string& path) {
  HostSelector selector;
  for_each_field(list, path, [&](const SExpression& field) {
    const std::string& name = field.name();
    if (name == "names") {
      for (std::size_t i = 1; i < field.items.size(); ++i) {
        if (field.items[i].is_list)
          throw_bad_settings(path, field.items[i], name, "expected machines' names");
        selector.host_names.insert(field.items[i].atom);
      }
      if (selector.host_names.empty() || selector.host_names.size() > kMaxHostNames) {
        throw_bad_settings(path, field, name, "none, or too many");
      }
    } else if (name == "type") {
      selector.type = parse_text(field, path);
    } else if (name == "zone") {
      selector.zone = parse_text(field, path);
    } else if (name == "spot") {
      selector.spot = parse_yes_no(field, path);
    } else if (name == "older-than-s") {
      selector.older_than_s = parse_number(field, 1, kMaxDuration_s, path);
    } else if (name == "before") {
      selector.rented_before_serial = parse_count(field, path);
    } else {
      refuse_unknown_field(field, list, path);
    }
  });
  if (selector == HostSelector{})
    throw_bad_settings(path, list, list.name(), "says of no machine that it should go");
  return selector;
}

DisruptionBudget parse_budget(const SExpression& list, DisruptionBudget budget, std::string* team,
                              const std::string& path) {
  for_each_field(list, path, [&](const SExpression& field) {
    const std::string& name = field.name();
    if (name == "team") {
      *team = parse_text(field, path);
    } else if (name == "down") {
      budget.max_down_share = parse_number(field, 0, 1, path);
    } else if (name == "lost-core-s-an-hour") {
      budget.max_lost_core_s_per_hour = parse_number(field, 0, 1e12, path);
    } else if (name == "replicas-up") {
      budget.min_replicas_up_share = parse_number(field, 0, 1, path);
    } else if (name == "stops-a-job") {
      budget.max_stops_per_job =
          static_cast<std::uint32_t>(std::min<std::uint64_t>(parse_count(field, path), 1000000));
    } else {
      refuse_unknown_field(field, list, path);
    }
  });
  return budget;
}

RolloutSettings parse_rollout_settings(const SExpression& list, const std::string& path) {
  RolloutSettings rollout;
  for_each_field(list, path, [&](const SExpression& field) {
    const std::string& name = field.name();
    if (name == "first") {
      rollout.first_step_size = static_cast<std::uint32_t>(parse_number(field, 1, 1000, path));
    } else if (name == "most") {
      rollout.max_step_share = parse_number(field, 0, 1, path);
    } else if (name == "surge") {
      rollout.surge = parse_yes_no(field, path);
    } else if (name == "settle-s") {
      rollout.soak_s = parse_number(field, 0, kMaxDuration_s, path);
    } else if (name == "again-s") {
      rollout.retry_after_s = parse_number(field, 1, kMaxDuration_s, path);
    } else if (name == "failures") {
      rollout.max_failed_share = parse_number(field, 0, 1, path);
    } else if (name == "most-price") {
      rollout.max_remaining_cost = parse_number(field, 0, 1e12, path);
    } else {
      refuse_unknown_field(field, list, path);
    }
  });
  return rollout;
}

}  // namespace

bool is_obsolete(const std::string& key, const wire::Json&, std::uint32_t level) {
  return (key == kPolicyKey || key == kUsageKey) && level < schema::kDrains;
}

const DisruptionBudget& DrainPolicy::budget_of(const std::string& team) const {
  const auto at = team_budgets.find(team);
  return at == team_budgets.end() ? default_budget : at->second;
}

DrainPolicy parse_drain_policy(const SExpression& section, const settings::Platform& platform,
                               const std::string& path) {
  DrainPolicy policy;
  std::set<std::string> seen_fields;
  std::vector<const SExpression*> budgets;
  for (std::size_t i = 1; i < section.items.size(); ++i) {
    const SExpression& field = section.items[i];
    const std::string& name = field.name();
    if (name.empty()) throw_bad_settings(path, field, "drains", "expected (name value)");
    if (name == "budget") {
      budgets.push_back(&field);
      continue;
    }
    if (name == "machines" || name == "replace") {
      if (policy.rules.size() == kMaxRules)
        throw_bad_settings(path, field, name, "too many entries");
      if (name == "replace" && parse_selector(field, path).selects_whole_pools()) {
        throw_bad_settings(path, field, name,
                           "the new ones would be replaced as well: say names or an age");
      }
      policy.rules.push_back({parse_selector(field, path), name == "replace", to_text(field)});
      continue;
    }
    if (!seen_fields.insert(name).second) throw_bad_settings(path, field, name, "given twice");
    if (name == "serial") {
      policy.serial = parse_count(field, path);
    } else if (name == "steps") {
      policy.rollout = parse_rollout_settings(field, path);
    } else if (name == "soon-s") {
      policy.ending_soon_s = parse_number(field, 0, kMaxDuration_s, path);
    } else if (name == "attrition-s") {
      policy.grace_period_s = parse_number(field, 0, kMaxDuration_s, path);
    } else {
      refuse_unknown_field(field, section, path);
    }
  }
  if (policy.serial == 0) throw_bad_settings(path, section, "serial", "missing, or 0");
  for (const DrainRule& entry : policy.rules) {
    if (entry.selector.rented_before_serial &&
        *entry.selector.rented_before_serial > policy.serial) {
      throw_bad_settings(path, section, "before",
                         "a serial that is yet to come: " + entry.source_text);
    }
  }
  // Fields that are not given in a team's own budget take the value of the default budget, so that
  // is parsed first.
  std::vector<std::pair<const SExpression*, std::string>> team_lists;
  bool has_default = false;
  for (const SExpression* list : budgets) {
    std::string team;
    const DisruptionBudget budget = parse_budget(*list, {}, &team, path);
    if (!team.empty()) {
      team_lists.emplace_back(list, team);
    } else if (std::exchange(has_default, true)) {
      throw_bad_settings(path, *list, "budget", "given twice for all teams");
    } else {
      policy.default_budget = budget;
    }
  }
  for (const auto& [list, team] : team_lists) {
    const bool known =
        std::any_of(platform.teams.begin(), platform.teams.end(),
                    [&team = team](const settings::Team& one) { return one.name == team; });
    if (!known) throw_bad_settings(path, *list, "team", "no such team: " + team);
    std::string parsed_team;
    if (!policy.team_budgets
             .emplace(team, parse_budget(*list, policy.default_budget, &parsed_team, path))
             .second) {
      throw_bad_settings(path, *list, "team", "given twice: " + team);
    }
  }
  return policy;
}

std::vector<std::string> find_unknown_names(const DrainPolicy& policy,
                                            const std::set<std::string>& types,
                                            const std::set<std::string>& zones) {
  std::vector<std::string> errors;
  for (const DrainRule& entry : policy.rules) {
    if (entry.selector.type && !types.contains(*entry.selector.type)) {
      errors.push_back(entry.source_text + ": no such type");
    }
    if (entry.selector.zone && !zones.contains(*entry.selector.zone)) {
      errors.push_back(entry.source_text + ": no such zone");
    }
  }
  return errors;
}

wire::Json encode_accepted_policy(const AcceptedPolicy& accepted) {
  wire::Json revisions = wire::Json::array();
  for (const auto& [serial, revision] : accepted.earlier_revisions)
    revisions.push_back({serial, revision});
  return {{"serial", accepted.serial}, {"text", accepted.text}, {"stamps", std::move(revisions)}};
}

AcceptedPolicy decode_accepted_policy(const wire::Json& value) {
  if (!value.is_object()) throw wire::BadMessage("drains: not a map");
  AcceptedPolicy accepted;
  accepted.serial = wire::count(value, "serial");
  accepted.text = wire::text(value, "text", wire::kMaxBody_bytes);
  for (const wire::Json& pair : wire::list(value, "stamps")) {
    if (!pair.is_array() || pair.size() != 2 || !pair[0].is_number_unsigned() ||
        !pair[1].is_number_unsigned()) {
      throw wire::BadMessage("stamps: not pairs of numbers");
    }
    accepted.earlier_revisions[pair[0].get<std::uint64_t>()] = pair[1].get<std::uint64_t>();
  }
  return accepted;
}

std::optional<AcceptedPolicy> next_accepted_policy(const std::optional<AcceptedPolicy>& stored,
                                                   std::uint64_t stored_revision,
                                                   std::uint64_t serial, const std::string& text) {
  if (stored && stored->serial >= serial) return std::nullopt;
  AcceptedPolicy next;
  next.serial = serial;
  next.text = text;
  if (stored) {
    next.earlier_revisions = stored->earlier_revisions;
    next.earlier_revisions[stored->serial] = stored_revision;
    while (next.earlier_revisions.size() > kMaxEarlierRevisions)
      next.earlier_revisions.erase(next.earlier_revisions.begin());
  }
  return next;
}

}  // namespace reachramp::drains
