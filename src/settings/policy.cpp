#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "schema/schema_levels.h"
#include "settings/settings.h"
#include "settings/tree.h"

namespace reachramp::settings {

namespace {

struct Knob {
  double Policy::*field;
  double least;
  double most;
};

const std::map<std::string, Knob>& knobs() {
  static const std::map<std::string, Knob> all{
      {"target", {&Policy::target, 0.5, 0.9999}},
      {"gamma", {&Policy::gamma, 1e-9, 1}},
      {"prior", {&Policy::prior, 0, 1}},
      {"price-window-s", {&Policy::price_window_s, 10, 86400}},
      {"tick-s", {&Policy::tick_s, 0.1, 600}},
      {"horizon-s", {&Policy::horizon_s, 1, 86400}}};
  return all;
}

// (levels (hold-at N))
void read_levels(const Tree& section, Policy& policy, const std::string& path) {
  for (std::size_t i = 1; i < section.items.size(); ++i) {
    const Tree& entry = section.items[i];
    if (entry.name().empty()) refuse(path, entry, "levels", "expected (name value)");
    if (entry.name() != "hold-at") continue;  // a newer version's setting
    const double level = number_in(entry, schema::kCompact, schema::kNewest, path);
    policy.hold_at = static_cast<unsigned>(level);
    if (policy.hold_at != level) refuse(path, entry, "hold-at", "not a whole number");
  }
}

}  // namespace

Policy parse_policy(const std::string& text, const std::string& path) {
  const Tree tree = parse_tree(text, path);
  if (tree.name() != "policy") refuse(path, tree, "policy", "expected (policy (name value) ...)");
  Policy policy;
  std::set<std::string> given;
  for (std::size_t i = 1; i < tree.items.size(); ++i) {
    const Tree& entry = tree.items[i];
    const std::string& name = entry.name();
    if (name.empty()) refuse(path, entry, "policy", "expected (name value)");
    const auto knob = knobs().find(name);
    if (knob == knobs().end() && name != "levels" && name != "drains") {
      continue;  // a newer version's setting
    }
    if (!given.insert(name).second) refuse(path, entry, name, "given twice");
    if (name == "levels") {
      read_levels(entry, policy, path);
    } else if (name == "drains") {
      policy.drains = std::make_shared<const Tree>(entry);
    } else {
      policy.*(knob->second.field) = number_in(entry, knob->second.least, knob->second.most, path);
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
