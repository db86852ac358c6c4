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
  replan_ = rebuy_ = true;
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
      times[serial] = timeline_.time_of(revision, now);
    }
    times[accepted.serial] = timeline_.time_of(entry->revision, now);
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
    bad_drains_.clear();
    replan_ = rebuy_ = true;
  } catch (const std::exception& error) {
    if (bad_drains_ == error.what()) return;
    bad_drains_ = error.what();
    spdlog::error("record {}: {}: what was in force goes on", drains::kRulesKey, bad_drains_);
  }
}

void Leader::drain(double now) {
  if (!schema::has(level_, schema::kDrains)) {
    end_drains();
    return;
  }
  if (now - drains_asked_at_ >= kReadEvery_s) {
    drains_asked_at_ = now;
    out_.read_drains = true;
  }
  if (!drains_.in_force() || now - drained_at_ < kPassEvery_s || !listed_) return;
  drained_at_ = now;
  const drains::Conditions conditions{
      rolling_,
      [&](const placement::Pool& pool) { return buyer_.refuses(pool, now); },
      [&](const placement::Pool& pool) { return buyer_.price(cluster_, pool); },
  };
  const drains::DrainActions wishes = drains_.advance(cluster_, conditions, now);
  for (const Index index : wishes.scale_in) give_back(index, "it is drained");
  for (const Index index : wishes.urgent_stops) {
    const placement::Host& host = *cluster_.hosts[index];
    if (host.address.empty()) continue;
    const auto stops = workers::stops_for(cluster_, index);
    wire::Json body = workers::encode_response(cluster_.fencing_token, stops);
    body["tenure"] = host.incarnation;
    out_.urgent_stops.emplace_back(host.address, std::move(body));
  }
  if (!wishes.scale_in.empty() || !wishes.urgent_stops.empty()) replan_ = rebuy_ = true;
  if (!drains_.has_changed() || now - drains_stored_at_ < kStoreEvery_s) return;
  drains_stored_at_ = now;
  drains_.note_written();
  const kv::Json value = drains_.encode(cluster_, now);
  if (kv::fits(value, platform_.lasting().value_kb)) ledger_.write({drains::kUsedKey, value});
}

}  // namespace reachramp::controller
