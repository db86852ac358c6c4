#include "drains/rules.h"

#include <algorithm>

#include "schema/schema_levels.h"

namespace reachramp::drains {

namespace {

using settings::count_in;
using settings::number_in;
using settings::refuse;
using settings::Tree;
using settings::word_in;

constexpr double kLongest_s = 1e9;
constexpr std::size_t kMostEntries = 50;
constexpr std::size_t kMostNames = 2000;
constexpr std::size_t kMostRevisions = 16;

bool yes_or_no(const Tree& entry, const std::string& path) {
  const std::string& word = word_in(entry, path);
  if (word != "yes" && word != "no") refuse(path, entry, entry.name(), "must be yes or no");
  return word == "yes";
}

// Each (name value) below the list's own name; a word where a list should be is refused.
template <class Read>
void each_field(const Tree& list, const std::string& path, Read read) {
  std::set<std::string> given;
  for (std::size_t i = 1; i < list.items.size(); ++i) {
    const Tree& field = list.items[i];
    if (field.name().empty()) refuse(path, field, list.name(), "expected (name value)");
    if (!given.insert(field.name()).second) refuse(path, field, field.name(), "given twice");
    read(field);
  }
}

[[noreturn]] void unknown(const Tree& field, const Tree& in, const std::string& path) {
  refuse(path, field, field.name(), "no such field of " + in.name());
}

Match read_match(const Tree& list, const std::string& path) {
  Match match;
  each_field(list, path, [&](const Tree& field) {
    const std::string& name = field.name();
    if (name == "names") {
      for (std::size_t i = 1; i < field.items.size(); ++i) {
        if (field.items[i].is_list) refuse(path, field.items[i], name, "expected machines' names");
        match.names.insert(field.items[i].atom);
      }
      if (match.names.empty() || match.names.size() > kMostNames) {
        refuse(path, field, name, "none, or too many");
      }
    } else if (name == "type") {
      match.type = word_in(field, path);
    } else if (name == "zone") {
      match.zone = word_in(field, path);
    } else if (name == "spot") {
      match.spot = yes_or_no(field, path);
    } else if (name == "older-than-s") {
      match.older_than_s = number_in(field, 1, kLongest_s, path);
    } else if (name == "before") {
      match.before = count_in(field, path);
    } else {
      unknown(field, list, path);
    }
  });
  if (match == Match{}) refuse(path, list, list.name(), "says of no machine that it should go");
  return match;
}

Budget read_budget(const Tree& list, Budget budget, std::string* team, const std::string& path) {
  each_field(list, path, [&](const Tree& field) {
    const std::string& name = field.name();
    if (name == "team") {
      *team = word_in(field, path);
    } else if (name == "down") {
      budget.down = number_in(field, 0, 1, path);
    } else if (name == "lost-core-s-an-hour") {
      budget.lost_core_s_an_hour = number_in(field, 0, 1e12, path);
    } else if (name == "replicas-up") {
      budget.replicas_up = number_in(field, 0, 1, path);
    } else if (name == "stops-a-job") {
      budget.stops_a_job =
          static_cast<std::uint32_t>(std::min<std::uint64_t>(count_in(field, path), 1000000));
    } else {
      unknown(field, list, path);
    }
  });
  return budget;
}

Steps read_steps(const Tree& list, const std::string& path) {
  Steps steps;
  each_field(list, path, [&](const Tree& field) {
    const std::string& name = field.name();
    if (name == "first") {
      steps.first = static_cast<std::uint32_t>(number_in(field, 1, 1000, path));
    } else if (name == "most") {
      steps.most = number_in(field, 0, 1, path);
    } else if (name == "surge") {
      steps.surge = yes_or_no(field, path);
    } else if (name == "settle-s") {
      steps.settle_s = number_in(field, 0, kLongest_s, path);
    } else if (name == "again-s") {
      steps.again_s = number_in(field, 1, kLongest_s, path);
    } else if (name == "failures") {
      steps.failures = number_in(field, 0, 1, path);
    } else if (name == "most-price") {
      steps.most_price = number_in(field, 0, 1e12, path);
    } else {
      unknown(field, list, path);
    }
  });
  return steps;
}

}  // namespace

bool is_stale(const std::string& key, const wire::Json&, std::uint32_t level) {
  return (key == kRulesKey || key == kUsedKey) && level < schema::kDrains;
}

const Budget& Rules::budget_of(const std::string& team) const {
  const auto at = teams.find(team);
  return at == teams.end() ? budget : at->second;
}

Rules read_rules(const Tree& section, const settings::Platform& platform, const std::string& path) {
  Rules rules;
  std::set<std::string> given;
  std::vector<const Tree*> budgets;
  for (std::size_t i = 1; i < section.items.size(); ++i) {
    const Tree& field = section.items[i];
    const std::string& name = field.name();
    if (name.empty()) refuse(path, field, "drains", "expected (name value)");
    if (name == "budget") {
      budgets.push_back(&field);
      continue;
    }
    if (name == "machines" || name == "replace") {
      if (rules.entries.size() == kMostEntries) refuse(path, field, name, "too many entries");
      if (name == "replace" && read_match(field, path).is_of_pools()) {
        refuse(path, field, name, "the new ones would be replaced as well: say names or an age");
      }
      rules.entries.push_back({read_match(field, path), name == "replace", to_text(field)});
      continue;
    }
    if (!given.insert(name).second) refuse(path, field, name, "given twice");
    if (name == "serial") {
      rules.serial = count_in(field, path);
    } else if (name == "steps") {
      rules.steps = read_steps(field, path);
    } else if (name == "soon-s") {
      rules.soon_s = number_in(field, 0, kLongest_s, path);
    } else if (name == "attrition-s") {
      rules.attrition_s = number_in(field, 0, kLongest_s, path);
    } else {
      unknown(field, section, path);
    }
  }
  if (rules.serial == 0) refuse(path, section, "serial", "missing, or 0");
  for (const Entry& entry : rules.entries) {
    if (entry.match.before && *entry.match.before > rules.serial) {
      refuse(path, section, "before", "a serial that is yet to come: " + entry.text);
    }
  }
  // What a team's own budget does not say is as for all.
  std::vector<std::pair<const Tree*, std::string>> own;
  bool general = false;
  for (const Tree* list : budgets) {
    std::string team;
    const Budget budget = read_budget(*list, {}, &team, path);
    if (!team.empty()) {
      own.emplace_back(list, team);
    } else if (std::exchange(general, true)) {
      refuse(path, *list, "budget", "given twice for all teams");
    } else {
      rules.budget = budget;
    }
  }
  for (const auto& [list, team] : own) {
    const bool known =
        std::any_of(platform.teams.begin(), platform.teams.end(),
                    [&team = team](const settings::Team& one) { return one.name == team; });
    if (!known) refuse(path, *list, "team", "no such team: " + team);
    std::string same;
    if (!rules.teams.emplace(team, read_budget(*list, rules.budget, &same, path)).second) {
      refuse(path, *list, "team", "given twice: " + team);
    }
  }
  return rules;
}

std::vector<std::string> check_names(const Rules& rules, const std::set<std::string>& types,
                                     const std::set<std::string>& zones) {
  std::vector<std::string> wrong;
  for (const Entry& entry : rules.entries) {
    if (entry.match.type && !types.contains(*entry.match.type)) {
      wrong.push_back(entry.text + ": no such type");
    }
    if (entry.match.zone && !zones.contains(*entry.match.zone)) {
      wrong.push_back(entry.text + ": no such zone");
    }
  }
  return wrong;
}

wire::Json encode_accepted(const Accepted& accepted) {
  wire::Json revisions = wire::Json::array();
  for (const auto& [serial, revision] : accepted.revisions) revisions.push_back({serial, revision});
  return {{"serial", accepted.serial}, {"text", accepted.text}, {"stamps", std::move(revisions)}};
}

Accepted decode_accepted(const wire::Json& value) {
  if (!value.is_object()) throw wire::BadMessage("drains: not a map");
  Accepted accepted;
  accepted.serial = wire::count(value, "serial");
  accepted.text = wire::text(value, "text", wire::kBodyLimit);
  for (const wire::Json& pair : wire::list(value, "stamps")) {
    if (!pair.is_array() || pair.size() != 2 || !pair[0].is_number_unsigned() ||
        !pair[1].is_number_unsigned()) {
      throw wire::BadMessage("stamps: not pairs of numbers");
    }
    accepted.revisions[pair[0].get<std::uint64_t>()] = pair[1].get<std::uint64_t>();
  }
  return accepted;
}

std::optional<Accepted> accept(const std::optional<Accepted>& stored, std::uint64_t stored_revision,
                               std::uint64_t serial, const std::string& text) {
  if (stored && stored->serial >= serial) return std::nullopt;
  Accepted next;
  next.serial = serial;
  next.text = text;
  if (stored) {
    next.revisions = stored->revisions;
    next.revisions[stored->serial] = stored_revision;
    while (next.revisions.size() > kMostRevisions) next.revisions.erase(next.revisions.begin());
  }
  return next;
}

}  // namespace reachramp::drains
