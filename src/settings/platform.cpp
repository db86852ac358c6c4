#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "settings/settings.h"

namespace reachramp::settings {

namespace {

// Reads the fields of one TOML table. Its errors name the file and the full path of the field.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string file, std::string prefix)
      : table_(table), file_(std::move(file)), prefix_(std::move(prefix)) {}

  [[noreturn]] void throw_bad_settings(const std::string& field, const std::string& reason) const {
    throw BadSettings(file_ + ": " + prefix_ + field + ": " + reason);
  }

  std::string text(const char* field) const {
    const auto value = table_[field].value<std::string>();
    if (!value || value->empty()) throw_bad_settings(field, "missing or not text");
    return *value;
  }

  std::string text_or(const char* field, const char* fallback) const {
    if (!table_.contains(field)) return fallback;
    const auto value = table_[field].value<std::string>();
    if (!value) throw_bad_settings(field, "not text");
    return *value;
  }

  double number(const char* field, double min) const {
    const auto value = table_[field].value<double>();
    if (!value) throw_bad_settings(field, "missing or not a number");
    if (!std::isfinite(*value) || *value < min || *value > 1e9)
      throw_bad_settings(field, "out of range");
    return *value;
  }

  double number_or(const char* field, double min, double fallback) const {
    return table_.contains(field) ? number(field, min) : fallback;
  }

  wire::Address address(const char* field) const {
    try {
      return wire::parse_address(text(field));
    } catch (const std::invalid_argument& error) {
      throw_bad_settings(field, error.what());
    }
  }

  bool has(const char* field) const { return table_.contains(field); }

  TableReader table(const char* field) const {
    const auto* inner = table_[field].as_table();
    if (inner == nullptr) throw_bad_settings(field, "missing or not a table");
    return TableReader(*inner, file_, prefix_ + field + ".");
  }

  std::vector<TableReader> tables(const char* field) const {
    std::vector<TableReader> readers;
    if (!table_.contains(field)) return readers;
    const auto* array = table_[field].as_array();
    if (array == nullptr) throw_bad_settings(field, "not a list of tables");
    for (std::size_t i = 0; i < array->size(); ++i) {
      const std::string name = std::string(field) + "[" + std::to_string(i) + "]";
      const auto* inner = array->get(i)->as_table();
      if (inner == nullptr) throw_bad_settings(name, "not a table");
      readers.emplace_back(*inner, file_, prefix_ + name + ".");
    }
    return readers;
  }

 private:
  const toml::table& table_;
  std::string file_;
  std::string prefix_;
};

WorkerTimings read_worker_timings(const TableReader& table) {
  WorkerTimings timings;
  timings.report_interval_s = table.number("report_s", 0.01);
  timings.lease_s = table.number("lease_s", 0.1);
  timings.gang_wait_s = table.number("gang_wait_s", 0.1);
  timings.gang_peer_s = table.number("gang_peer_s", 0.1);
  timings.cancel_s = table.number("cancel_s", 0.1);
  return timings;
}

StoreLimits read_store_limits(const TableReader& table) {
  StoreLimits limits;
  limits.rps = table.number("rps", 1);
  limits.write_rps = table.number("write_rps", 1);
  limits.value_kb = table.number("value_kb", 1);
  limits.txn_ops = static_cast<int>(table.number("txn_ops", 3));
  return limits;
}

StoreLimits read_upcoming_store_limits(const TableReader& table, const StoreLimits& current) {
  StoreLimits limits;
  limits.rps = table.number_or("rps", 1, current.rps);
  limits.write_rps = table.number_or("write_rps", 1, current.write_rps);
  limits.value_kb = table.number_or("value_kb", 1, current.value_kb);
  limits.txn_ops = static_cast<int>(table.number_or("txn_ops", 3, current.txn_ops));
  return limits;
}

}  // namespace

StoreLimits stricter_limits(const StoreLimits& current, const StoreLimits& upcoming) {
  return {std::min(current.rps, upcoming.rps), std::min(current.write_rps, upcoming.write_rps),
          std::min(current.value_kb, upcoming.value_kb),
          std::min(current.txn_ops, upcoming.txn_ops)};
}

Platform parse_platform(const std::string& text, const std::string& path) {
  toml::table parsed;
  try {
    parsed = toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << path << ": line " << error.source().begin.line << ": " << error.description();
    throw BadSettings(message.str());
  }
  const TableReader root(parsed, path, "");
  Platform platform;
  platform.node_name = root.text("node_name");
  platform.failure_domain = root.text_or("domain", "");
  platform.serve_on = root.address("serve_on");
  platform.cluster_listen = root.address("cluster_listen");
  for (const TableReader& member : root.tables("members")) {
    platform.members.push_back(
        {member.text("node_name"), member.text_or("domain", ""), member.address("addr")});
  }
  const TableReader services = root.table("services");
  platform.cloud_address = services.address("cloud");
  platform.store_address = services.address("state");

  const TableReader facts = root.table("facts");
  for (const TableReader& team : facts.tables("teams")) {
    platform.teams.push_back({team.text("name"), team.number_or("cpus", 0, 0),
                              team.number_or("cpus_max", 0, 0), team.number_or("gpus", 0, 0),
                              team.number_or("gpus_max", 0, 0)});
  }
  for (const TableReader& objective : facts.tables("objectives")) {
    // Objectives of an unknown kind are ignored: a later version may define it.
    const std::string kind = objective.text("kind");
    if (kind == "deadline") {
      platform.objectives.push_back({ServiceLevelObjective::Kind::deadline, objective.text("class"),
                                     0, objective.number_or("times", 0.01, 1)});
    } else if (kind == "wait" || kind == "finished") {
      platform.objectives.push_back({kind == "wait" ? ServiceLevelObjective::Kind::wait
                                                    : ServiceLevelObjective::Kind::finished,
                                     objective.text("class"), objective.number("within_s", 0), 1});
    }
  }
  platform.worker_timings = read_worker_timings(facts.table("workers"));
  const TableReader store = facts.table("state");
  platform.store_limits = read_store_limits(store);
  platform.upcoming_store_limits =
      store.has("next") ? read_upcoming_store_limits(store.table("next"), platform.store_limits)
                        : platform.store_limits;
  const TableReader cloud = facts.table("cloud");
  platform.cloud_limits = {cloud.number("rps", 0.1), cloud.number("list_lag_s", 0)};
  const TableReader limits = facts.table("limits");
  platform.fd_limit = static_cast<int>(limits.number("fd_limit", 32));
  platform.ram_mb = limits.number("ram_mb", 8);
  platform.thread_limit =
      static_cast<int>(limits.number_or("thread_limit", 128, platform.thread_limit));
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
