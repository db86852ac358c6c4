#include <sexp.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "levels/table.h"
#include "settings/settings.h"

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

using Refuse = std::function<void(const std::string& field, const std::string& why)>;

struct Freed {
  void operator()(sexp_t* tree) const { destroy_sexp(tree); }
};

// The one number of (name number).
double number_in(const sexp_t* name, const Refuse& refuse) {
  const sexp_t* value = name->next;
  if (value == nullptr || value->ty != SEXP_VALUE || value->next != nullptr) {
    refuse(name->val, "expected one number");
  }
  const std::string digits = value->val;
  double number = 0;
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || stop != digits.data() + digits.size()) {
    refuse(name->val, "not a number: " + digits);
  }
  return number;
}

// (levels (hold-at N))
void read_levels(const sexp_t* section, Policy& policy, const Refuse& refuse) {
  for (const sexp_t* entry = section->next; entry != nullptr; entry = entry->next) {
    const sexp_t* name = entry->ty == SEXP_LIST ? entry->list : nullptr;
    if (name == nullptr || name->ty != SEXP_VALUE) refuse("levels", "expected (name value)");
    if (std::string(name->val) != "hold-at") continue;  // a newer version's setting
    const double level = number_in(name, refuse);
    if (!(level >= levels::kCompact && level <= levels::kNewest) || level != std::floor(level)) {
      std::ostringstream why;
      why << "must be a level from " << levels::kCompact << " to " << levels::kNewest;
      refuse("hold-at", why.str());
    }
    policy.hold_at = static_cast<unsigned>(level);
  }
}

}  // namespace

Policy parse_policy(const std::string& text, const std::string& path) {
  const Refuse refuse = [&](const std::string& field, const std::string& why) {
    throw BadSettings(path + ": " + field + ": " + why);
  };
  std::string copy = text;
  const std::unique_ptr<sexp_t, Freed> tree(parse_sexp(copy.data(), copy.size()));
  if (!tree || tree->ty != SEXP_LIST || tree->list == nullptr || tree->list->ty != SEXP_VALUE ||
      std::string(tree->list->val) != "policy") {
    refuse("policy", "expected (policy (name value) ...)");
  }
  Policy policy;
  std::set<std::string> given;
  for (const sexp_t* entry = tree->list->next; entry != nullptr; entry = entry->next) {
    const sexp_t* name = entry->ty == SEXP_LIST ? entry->list : nullptr;
    if (name == nullptr || name->ty != SEXP_VALUE) refuse("policy", "expected (name value)");
    if (std::string(name->val) == "levels") {
      if (!given.insert("levels").second) refuse("levels", "given twice");
      read_levels(name, policy, refuse);
      continue;
    }
    const auto knob = knobs().find(name->val);
    if (knob == knobs().end()) continue;  // a newer version's setting
    if (!given.insert(knob->first).second) refuse(knob->first, "given twice");
    const double number = number_in(name, refuse);
    if (!(number >= knob->second.least && number <= knob->second.most)) {
      std::ostringstream why;
      why << "must lie between " << knob->second.least << " and " << knob->second.most;
      refuse(knob->first, why.str());
    }
    policy.*(knob->second.field) = number;
  }
  return policy;
}

Policy load_policy(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw BadSettings(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return parse_policy(text.str(), path);
}

}  // namespace reachramp::settings
