// The leader's part in draining machines: it reads the operators' rules from their record and acts
// on the decisions of drains::Drains.
#include <spdlog/spdlog.h>

#include "controller/leader.h"
#include "settings/s_expression.h"

namespace reachramp::controller {

namespace {

constexpr double kReadDrainsInterval_s = 5;
constexpr double kAdvanceDrainsInterval_s = 0.5;
constexpr double kStoreDrainBudgetsInterval_s = 10;

}  // namespace

void Leader::end_drains() {
  if (!drains_.has_policy()) return;
  drains_.cancel_all(cluster_);
  update_closed_pools();
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
    const drains::AcceptedPolicy accepted = drains::decode_accepted_policy(entry->value);
    const std::string source = std::string("record ") + drains::kPolicyKey;
    drains::DrainPolicy rules = drains::parse_drain_policy(
        settings::parse_s_expression(accepted.text, source), platform_, source);
    std::map<std::uint64_t, double> times;
    for (const auto& [serial, revision] : accepted.earlier_revisions) {
      times[serial] = revision_clock_.time_of(revision, now);
    }
    times[accepted.serial] = revision_clock_.time_of(entry->revision, now);
    std::set<std::string> types, zones;
    for (const auto& type : cluster_.catalog) {
      types.insert(type.name);
      zones.insert(type.zones.begin(), type.zones.end());
    }
    for (const std::string& problem : drains::find_unknown_names(rules, types, zones)) {
      if (!types.empty()) spdlog::error("drains: {}", problem);
    }
    drains_.apply_policy(std::move(rules), std::move(times), now);
    drains_revision_ = entry->revision;
    last_drain_error_.clear();
    needs_placement_ = needs_scaling_ = true;
  } catch (const std::exception& error) {
    if (last_drain_error_ == error.what()) return;
    last_drain_error_ = error.what();
    spdlog::error("record {}: {}: the previous rules stay in force", drains::kPolicyKey,
                  last_drain_error_);
  }
}

void Leader::advance_drains(double now) {
  if (!schema::has_level(schema_, schema::kDrains)) {
    end_drains();
    return;
  }
  if (now - drains_read_at_ >= kReadDrainsInterval_s) {
    drains_read_at_ = now;
    effects_.read_drains = true;
  }
  if (!drains_.has_policy() || now - drains_advanced_at_ < kAdvanceDrainsInterval_s ||
      !hosts_listed_)
    return;
  drains_advanced_at_ = now;
  const drains::FleetConditions conditions{
      rolling_upgrade_,
      [&](const placement::Pool& pool) { return autoscaler_.recently_refused(pool, now); },
      [&](const placement::Pool& pool) { return autoscaler_.hourly_price(cluster_, pool); },
  };
  const drains::DrainActions actions = drains_.advance(cluster_, conditions, now);
  for (const Index index : actions.hosts_to_return) scale_in(index, "it is drained");
  for (const Index index : actions.hosts_to_notify) {
    const placement::Host& host = *cluster_.hosts[index];
    if (host.address.empty()) continue;
    const auto stops = workers::stop_commands_for(cluster_, index);
    wire::Json body = workers::encode_response(cluster_.fencing_token, stops);
    body["tenure"] = host.incarnation;
    effects_.urgent_stops.emplace_back(host.address, std::move(body));
  }
  if (!actions.hosts_to_return.empty() || !actions.hosts_to_notify.empty())
    needs_placement_ = needs_scaling_ = true;
  if (!drains_.has_unwritten_changes() || now - drains_stored_at_ < kStoreDrainBudgetsInterval_s)
    return;
  drains_stored_at_ = now;
  drains_.note_written();
  const kv::Json value = drains_.encode(cluster_, now);
  if (kv::fits(value, platform_.strictest_store_limits().value_kb))
    transaction_builder_.queue_write({drains::kUsageKey, value});
}

}  // namespace reachramp::controller
