#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "settings/settings.h"

namespace reachramp::settings {

namespace {

// Reads fields of one table, naming the full path of whatever is wrong.
class Table {
 public:
  Table(const toml::table& table, std::string file, std::string path)
      : table_(table), file_(std::move(file)), path_(std::move(path)) {}

  [[noreturn]] void refuse(const std::string& field, const std::string& why) const {
    throw BadSettings(file_ + ": " + path_ + field + ": " + why);
  }

  std::string text(const char* field) const {
    const auto value = table_[field].value<std::string>();
    if (!value || value->empty()) refuse(field, "missing or not text");
    return *value;
  }

  std::string text_or(const char* field, const char* otherwise) const {
    if (!table_.contains(field)) return otherwise;
    const auto value = table_[field].value<std::string>();
    if (!value) refuse(field, "not text");
    return *value;
  }

  double amount(const char* field, double least) const {
    const auto value = table_[field].value<double>();
    if (!value) refuse(field, "missing or not a number");
    if (!std::isfinite(*value) || *value < least || *value > 1e9) refuse(field, "out of range");
    return *value;
  }

  double amount_or(const char* field, double least, double otherwise) const {
    return table_.contains(field) ? amount(field, least) : otherwise;
  }

  wire::Address address(const char* field) const {
    try {
      return wire::parse_address(text(field));
    } catch (const std::invalid_argument& error) {
      refuse(field, error.what());
    }
  }

  bool has(const char* field) const { return table_.contains(field); }

  Table table(const char* field) const {
    const auto* inner = table_[field].as_table();
    if (inner == nullptr) refuse(field, "missing or not a table");
    return Table(*inner, file_, path_ + field + ".");
  }

  std::vector<Table> tables(const char* field) const {
    std::vector<Table> found;
    if (!table_.contains(field)) return found;
    const auto* array = table_[field].as_array();
    if (array == nullptr) refuse(field, "not a list of tables");
    for (std::size_t i = 0; i < array->size(); ++i) {
      const std::string name = std::string(field) + "[" + std::to_string(i) + "]";
      const auto* inner = array->get(i)->as_table();
      if (inner == nullptr) refuse(name, "not a table");
      found.emplace_back(*inner, file_, path_ + name + ".");
    }
    return found;
  }

 private:
  const toml::table& table_;
  std::string file_;
  std::string path_;
};

Workers read_workers(const Table& from) {
  Workers workers;
  workers.report_s = from.amount("report_s", 0.01);
  workers.lease_s = from.amount("lease_s", 0.1);
  workers.gang_wait_s = from.amount("gang_wait_s", 0.1);
  workers.gang_peer_s = from.amount("gang_peer_s", 0.1);
  workers.cancel_s = from.amount("cancel_s", 0.1);
  return workers;
}

StateLimits read_state(const Table& from) {
  StateLimits limits;
  limits.rps = from.amount("rps", 1);
  limits.write_rps = from.amount("write_rps", 1);
  limits.value_kb = from.amount("value_kb", 1);
  limits.txn_ops = static_cast<int>(from.amount("txn_ops", 3));
  return limits;
}

StateLimits read_next(const Table& from, const StateLimits& present) {
  StateLimits limits;
  limits.rps = from.amount_or("rps", 1, present.rps);
  limits.write_rps = from.amount_or("write_rps", 1, present.write_rps);
  limits.value_kb = from.amount_or("value_kb", 1, present.value_kb);
  limits.txn_ops = static_cast<int>(from.amount_or("txn_ops", 3, present.txn_ops));
  return limits;
}

}  // namespace

StateLimits lasting(const StateLimits& present, const StateLimits& next) {
  return {std::min(present.rps, next.rps), std::min(present.write_rps, next.write_rps),
          std::min(present.value_kb, next.value_kb), std::min(present.txn_ops, next.txn_ops)};
}

Platform parse_platform(const std::string& text, const std::string& path) {
  toml::table parsed;
  try {
    parsed = toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    std::ostringstream where;
    where << path << ": line " << error.source().begin.line << ": " << error.description();
    throw BadSettings(where.str());
  }
  const Table root(parsed, path, "");
  Platform platform;
  platform.node_name = root.text("node_name");
  platform.domain = root.text_or("domain", "");
  platform.serve_on = root.address("serve_on");
  platform.cluster_listen = root.address("cluster_listen");
  for (const Table& member : root.tables("members")) {
    platform.members.push_back(
        {member.text("node_name"), member.text_or("domain", ""), member.address("addr")});
  }
  const Table services = root.table("services");
  platform.cloud = services.address("cloud");
  platform.state = services.address("state");

  const Table facts = root.table("facts");
  for (const Table& team : facts.tables("teams")) {
    platform.teams.push_back({team.text("name"), team.amount_or("cpus", 0, 0),
                              team.amount_or("cpus_max", 0, 0), team.amount_or("gpus", 0, 0),
                              team.amount_or("gpus_max", 0, 0)});
  }
  for (const Table& objective : facts.tables("objectives")) {
    // Kinds that we do not know say nothing to us.
    const std::string kind = objective.text("kind");
    if (kind == "deadline") {
      platform.objectives.push_back({ServiceLevelObjective::Kind::deadline, objective.text("class"),
                                     0, objective.amount_or("times", 0.01, 1)});
    } else if (kind == "wait" || kind == "finished") {
      platform.objectives.push_back({kind == "wait" ? ServiceLevelObjective::Kind::wait
                                                    : ServiceLevelObjective::Kind::finished,
                                     objective.text("class"), objective.amount("within_s", 0), 1});
    }
  }
  platform.workers = read_workers(facts.table("workers"));
  const Table state = facts.table("state");
  platform.state_limits = read_state(state);
  platform.state_next = state.has("next") ? read_next(state.table("next"), platform.state_limits)
                                          : platform.state_limits;
  const Table cloud = facts.table("cloud");
  platform.cloud_limits = {cloud.amount("rps", 0.1), cloud.amount("list_lag_s", 0)};
  const Table limits = facts.table("limits");
  platform.fd_limit = static_cast<int>(limits.amount("fd_limit", 32));
  platform.ram_mb = limits.amount("ram_mb", 8);
  platform.thread_limit =
      static_cast<int>(limits.amount_or("thread_limit", 128, platform.thread_limit));
  return platform;
}

Platform load_platform(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw BadSettings(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return parse_platform(text.str(), path);
}

}  // namespace reachramp::settings
