// The leader and the machines that operators want emptied: the record that says so, and what comes
// of it.
#include <spdlog/spdlog.h>

#include "controller/leader.h"
#include "settings/tree.h"

namespace reachramp::controller {

namespace {

constexpr double kReadEvery_s = 5;
constexpr double kPassEvery_s = 0.5;
constexpr double kStoreEvery_s = 10;

}  // namespace

void Leader::end_drains() {
  if (!drains_.in_force()) return;
  drains_.end_all(cluster_);
  close_pools();
  drains_revision_ = 0;
  needs_placement_ = needs_scaling_ = true;
}

void Leader::on_drains(const std::optional<kv::Entry>& entry, double now) {
  if (!entry) {
    end_drains();
    return;
  }
  if (entry->revision == drains_revision_) return;
  try {
    const drains::Accepted accepted = drains::decode_accepted(entry->value);
    const std::string where = std::string("record ") + drains::kRulesKey;
    drains::Rules rules =
        drains::read_rules(settings::parse_tree(accepted.text, where), platform_, where);
    std::map<std::uint64_t, double> times;
    for (const auto& [serial, revision] : accepted.revisions) {
      times[serial] = revision_clock_.time_of(revision, now);
    }
    times[accepted.serial] = revision_clock_.time_of(entry->revision, now);
    std::set<std::string> types, zones;
    for (const auto& type : cluster_.catalog) {
      types.insert(type.name);
      zones.insert(type.zones.begin(), type.zones.end());
    }
    for (const std::string& wrong : drains::check_names(rules, types, zones)) {
      if (!types.empty()) spdlog::error("drains: {}", wrong);
    }
    drains_.rule(std::move(rules), std::move(times), now);
    drains_revision_ = entry->revision;
    last_drain_error_.clear();
    needs_placement_ = needs_scaling_ = true;
  } catch (const std::exception& error) {
    if (last_drain_error_ == error.what()) return;
    last_drain_error_ = error.what();
    spdlog::error("record {}: {}: what was in force goes on", drains::kRulesKey, last_drain_error_);
  }
}

void Leader::advance_drains(double now) {
  if (!schema::has(schema_, schema::kDrains)) {
    end_drains();
    return;
  }
  if (now - drains_read_at_ >= kReadEvery_s) {
    drains_read_at_ = now;
    effects_.read_drains = true;
  }
  if (!drains_.in_force() || now - drains_advanced_at_ < kPassEvery_s || !hosts_listed_) return;
  drains_advanced_at_ = now;
  const drains::Conditions conditions{
      rolling_,
      [&](const placement::Pool& pool) { return autoscaler_.refuses(pool, now); },
      [&](const placement::Pool& pool) { return autoscaler_.price(cluster_, pool); },
  };
  const drains::DrainActions actions = drains_.advance(cluster_, conditions, now);
  for (const Index index : actions.scale_in) scale_in(index, "it is drained");
  for (const Index index : actions.urgent_stops) {
    const placement::Host& host = *cluster_.hosts[index];
    if (host.address.empty()) continue;
    const auto stops = workers::stops_for(cluster_, index);
    wire::Json body = workers::encode_response(cluster_.fencing_token, stops);
    body["tenure"] = host.incarnation;
    effects_.urgent_stops.emplace_back(host.address, std::move(body));
  }
  if (!actions.scale_in.empty() || !actions.urgent_stops.empty())
    needs_placement_ = needs_scaling_ = true;
  if (!drains_.has_changed() || now - drains_stored_at_ < kStoreEvery_s) return;
  drains_stored_at_ = now;
  drains_.note_written();
  const kv::Json value = drains_.encode(cluster_, now);
  if (kv::fits(value, platform_.lasting().value_kb))
    transaction_builder_.write({drains::kUsedKey, value});
}

}  // namespace reachramp::controller
