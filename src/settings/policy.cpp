#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "schema/schema_levels.h"
#include "settings/s_expression.h"
#include "settings/settings.h"

namespace reachramp::settings {

namespace {

// A setting that is one number, with the range of its valid values.
struct NumericSetting {
  double Policy::*field;
  double min;
  double max;
};

// All settings of this kind, by their names in the policy file.
const std::map<std::string, NumericSetting>& numeric_settings() {
  static const std::map<std::string, NumericSetting> all{
      {"target", {&Policy::target_utility, 0.5, 0.9999}},
      {"gamma", {&Policy::gamma, 1e-9, 1}},
      {"prior", {&Policy::prior_reclaim_probability, 0, 1}},
      {"price-window-s", {&Policy::price_window_s, 10, 86400}},
      {"tick-s", {&Policy::scaling_interval_s, 0.1, 600}},
      {"horizon-s", {&Policy::horizon_s, 1, 86400}}};
  return all;
}

// Reads the section (levels (hold-at N)).
void read_levels(const SExpression& section, Policy& policy, const std::string& path) {
  for (std::size_t i = 1; i < section.items.size(); ++i) {
    const SExpression& entry = section.items[i];
    if (entry.name().empty()) throw_bad_settings(path, entry, "levels", "expected (name value)");
    if (entry.name() != "hold-at") continue;  // ignored: a later version may define it
    const double level = parse_number(entry, schema::kCompact, schema::kNewestLevel, path);
    policy.hold_at = static_cast<unsigned>(level);
    if (policy.hold_at != level) throw_bad_settings(path, entry, "hold-at", "not a whole number");
  }
}

}  // namespace

Policy parse_policy(const std::string& text, const std::string& path) {
  const SExpression tree = parse_s_expression(text, path);
  if (tree.name() != "policy")
    throw_bad_settings(path, tree, "policy", "expected (policy (name value) ...)");
  Policy policy;
  std::set<std::string> seen;
  for (std::size_t i = 1; i < tree.items.size(); ++i) {
    const SExpression& entry = tree.items[i];
    const std::string& name = entry.name();
    if (name.empty()) throw_bad_settings(path, entry, "policy", "expected (name value)");
    const auto setting = numeric_settings().find(name);
    if (setting == numeric_settings().end() && name != "levels" && name != "drains") {
      continue;  // ignored: a later version may define it
    }
    if (!seen.insert(name).second) throw_bad_settings(path, entry, name, "given twice");
    if (name == "levels") {
      read_levels(entry, policy, path);
    } else if (name == "drains") {
      policy.drains = std::make_shared<const SExpression>(entry);
    } else {
      policy.*(setting->second.field) =
          parse_number(entry, setting->second.min, setting->second.max, path);
    }
  }
  return policy;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw BadSettings(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Policy load_policy(const std::string& path) { return parse_policy(read_file(path), path); }

}  // namespace reachramp::settings
