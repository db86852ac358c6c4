// The leader's machines: what the cloud reports of them, which are rented and which are returned.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "controller/leader.h"
#include "pipelines/dependencies.h"
#include "placement/plan.h"
#include "workers/cancelled_tasks.h"

namespace reachramp::controller {

using placement::Host;
using placement::HostPhase;
using placement::kNone;
using placement::Pool;

namespace {

constexpr double kBootTimeoutFactor = 4;
constexpr double kReturnedHostRetention_s = 300;  // messages of a returned machine may arrive late
constexpr double kStoreZonesInterval_s = 1;
// A machine whose heartbeats arrive but that receives no responses is returned after this many
// leases. Its tasks end when the first lease does; the rest is time in which a one-way network
// fault may be repaired.
constexpr double kUnreachableTimeoutLeases = 2;
// When many machines are silent, a machine is returned once it has been silent for this many times
// the usual limit.
constexpr double kPartitionSilenceFactor = 4;

double silence_limit_s(const settings::WorkerTimings& workers) { return workers.lease_s * 1.1; }

}  // namespace

std::string Leader::pool_key(const Pool& pool) const {
  return "pool/" + cluster_.types[pool.type] + "/" + cluster_.zones[pool.zone] + "/" +
         (pool.spot ? "spot" : "ordinary");
}

void Leader::on_catalog(const cloud::Catalog& catalog, double now) {
  const auto encode_without_spot_prices = [](cloud::Catalog types) {
    for (auto& type : types) type.spot_price_per_hour = 0;
    return cloud::encode_catalog(types);
  };
  if (cluster_.catalog.empty() ||
      encode_without_spot_prices(catalog) != encode_without_spot_prices(cluster_.catalog)) {
    // If the catalog is too large for a record, each node reads it from the cloud.
    const kv::Json value = cloud::encode_catalog(catalog);
    if (kv::fits(value, platform_.strictest_store_limits().value_kb))
      transaction_builder_.queue_write({kCatalogKey, value});
    needs_scaling_ = needs_placement_ = true;
  }
  cluster_.set_catalog(catalog);
  autoscaler_.record_prices(cluster_, now);
}

void Leader::on_host_removed(const std::string& name, double now) {
  const auto at = cluster_.host_index.find(name);
  returned_hosts_[name] = now;
  if (at == cluster_.host_index.end()) return;
  cluster_.remove_host(at->second, now);
  needs_placement_ = needs_scaling_ = recheck_deferred_responses_ = true;
}

void Leader::on_host_list(const std::vector<cloud::ListedMachine>& listed, double requested_at,
                          double now) {
  hosts_listed_ = true;
  std::set<std::string> names;
  std::vector<std::string> failed;
  for (const cloud::ListedMachine& machine : listed) {
    names.insert(machine.name);
    if (returned_hosts_.contains(machine.name)) {
      if (is_listed_after_return(machine.name, requested_at, now)) failed.push_back(machine.name);
      continue;
    }
    update_listed_host(machine, now);
    if (machine.phase == cloud::MachinePhase::failed) failed.push_back(machine.name);
  }
  for (const std::string& name : failed) {
    spdlog::info("machine {} has failed", name);
    on_host_removed(name, now);
    effects_.cloud_requests.push_back({CloudRequest::Kind::scale_in, {}, {name}});
  }
  remove_unlisted_hosts(names, requested_at, now);
}

// Whether the machine is listed although it was returned so long before the list was requested that
// the list cannot be out of date. The machine must then be returned again: another machine may have
// the same name, or the machine has come back. If so, its time of return is set to `now`.
bool Leader::is_listed_after_return(const std::string& name, double requested_at, double now) {
  double& returned_at = returned_hosts_.at(name);
  if (requested_at - returned_at <= 3 * platform_.cloud_limits.list_lag_s + 5) return false;
  returned_at = now;
  return true;
}

void Leader::update_listed_host(const cloud::ListedMachine& machine, double now) {
  const bool is_new = !cluster_.host_index.contains(machine.name);
  const bool is_running = machine.phase == cloud::MachinePhase::running;
  const Index index = cluster_.add_host(machine.name, now);
  cluster_.set_host_type(index, machine.type, machine.zone, machine.spot);
  Host& host = *cluster_.hosts[index];
  host.identity_unconfirmed = false;
  // If the machine became known by a heartbeat or a record, its age was not known then.
  host.rented_at = std::min(host.rented_at, now - machine.rented_for_s);
  host.listed_as_running = is_running;
  if (is_new) needs_scaling_ = true;
  if (!machine.address.empty()) host.address = machine.address;
  if (!host.acknowledged_token && !host.address.empty() && is_running && is_new) {
    effects_.probes.push_back(host.address);
  }
}

// A list shows the machines as they were at most twice the lag before the list was requested. A
// machine that was known before then and is not listed is gone.
void Leader::remove_unlisted_hosts(const std::set<std::string>& listed, double requested_at,
                                   double now) {
  const double list_lag_s = platform_.cloud_limits.list_lag_s;
  std::vector<std::string> missing;
  for (const auto& host : cluster_.hosts) {
    if (host && !listed.contains(host->name) &&
        host->first_known_at < requested_at - 2 * list_lag_s - 1) {
      missing.push_back(host->name);
    }
  }
  for (const std::string& name : missing) {
    const Host& host = *cluster_.find_host(name);
    spdlog::info("machine {} is no longer listed by the cloud", name);
    if (host.spot && host.type != kNone && host.phase != HostPhase::terminating) {
      autoscaler_.record_reclaim(cluster_, {host.type, host.zone, true});
    }
    on_host_removed(name, now);
  }
}

void Leader::on_scale_out_completed(const cloud::ScaleOutRequest& request,
                                    const cloud::ScaleOutResult& result, double now) {
  const Pool pool{cluster_.types.add(request.type), cluster_.zones.add(request.zone), request.spot};
  autoscaler_.clear_pending_request(pool);
  const double requested_at =
      scale_out_requested_at_.contains(request.name) ? scale_out_requested_at_[request.name] : now;
  scale_out_requested_at_.erase(request.name);
  for (const std::string& name : result.machines) {
    if (returned_hosts_.contains(name)) continue;
    const Index index = cluster_.add_host(name, now);
    cluster_.set_host_type(index, request.type, request.zone, request.spot);
    cluster_.hosts[index]->rented_at = requested_at;
    cluster_.hosts[index]->identity_unconfirmed = false;
  }
  if (static_cast<int>(result.machines.size()) < request.count) {
    autoscaler_.record_refusal(pool, now);
  } else {
    autoscaler_.reset_refusals(pool);
  }
  spdlog::info("scale-out request {}: got {} of {} {} {} machines in {}", request.name,
               result.machines.size(), request.count, request.spot ? "spot" : "ordinary",
               request.type, request.zone);
  if (schema::has_level(schema_, schema::kClosedPools)) {
    transaction_builder_.queue_write({pool_key(pool), std::nullopt});
  } else {
    transaction_builder_.queue_write({pool_key(pool), kv::Json{{"open", false}}});
  }
  needs_scaling_ = needs_placement_ = true;
}

void Leader::on_scale_in_completed(const std::vector<std::string>& machines, double now) {
  for (const std::string& name : machines) on_host_removed(name, now);
}

void Leader::scale_in(Index index, const char* why) {
  Host& host = *cluster_.hosts[index];
  if (host.phase != HostPhase::terminating) request_scale_in(host, why);
}

void Leader::request_scale_in(Host& host, const std::string& why) {
  spdlog::info("machine {} is being returned: {}", host.name, why);
  host.phase = HostPhase::terminating;
  effects_.cloud_requests.push_back(
      {CloudRequest::Kind::scale_in, {}, {host.name}, host.urgent_return_requested});
}

void Leader::detect_own_pause(double now) {
  const bool was_suspended =
      now - advanced_at_ > workers::max_heartbeat_delay_s(platform_.worker_timings) / 2;
  if (was_suspended) listening_since_ = now;
  advanced_at_ = now;
}

// This step does not depend on the key-value store: a cancelled task must end in time whichever
// node is the leader, and returning a machine is safe under any leader.
void Leader::scale_in_for_cancellations(double now) {
  for (const auto& [host_index, job_index] :
       workers::overdue_machines(cluster_, listening_since_, now)) {
    Host& host = *cluster_.hosts[host_index];
    host.urgent_return_requested = true;
    request_scale_in(host, fmt::format("job {} is cancelled and may still run there",
                                       cluster_.jobs[job_index]->spec.id));
    needs_placement_ = needs_scaling_ = true;
  }
}

// Logs how long the change of leaders took for the workers: until all running machines have been
// heard from, or for the duration of a lease.
void Leader::log_failover_progress(double now) {
  if (failover_progress_logged_ || !hosts_listed_) return;
  std::size_t running = 0, silent = 0;
  for (const auto& host : cluster_.hosts) {
    if (!host || !host->listed_as_running ||
        host->first_known_at > leader_since_ + platform_.cloud_limits.list_lag_s)
      continue;
    ++running;
    silent += host->acknowledged_token ? 0 : 1;
  }
  const double passed = now - leader_since_;
  if (half_heard_after_s_ < 0 && silent * 2 <= running) half_heard_after_s_ = passed;
  if (percent_99_heard_after_s_ < 0 && silent * 100 <= running) percent_99_heard_after_s_ = passed;
  if (silent > 0 && passed < platform_.worker_timings.lease_s) return;
  failover_progress_logged_ = true;
  if (running == 0) return;
  const auto format_duration = [](double seconds) {
    return seconds < 0 ? std::string("not yet") : fmt::format("{:.1f} s", seconds);
  };
  spdlog::info(
      "{} of {} running machines heard from {:.1f} s into the term; half: {}, 99 of 100: {}",
      running - silent, running, passed, format_duration(half_heard_after_s_),
      format_duration(percent_99_heard_after_s_));
}

// Closes the pools that the operators' drain rules exclude and those in zones that are not healthy,
// and opens all others.
void Leader::update_closed_pools() {
  std::set<Pool> pools = zones_.closed_pools(cluster_);
  pools.merge(drains_.closed_pools(cluster_));
  autoscaler_.set_closed_pools(std::move(pools));
}

// Detects machines whose heartbeats arrive but that receive no responses: they get no new tasks and
// are returned after a while. If many are affected at once, the cause is the network or a delay
// of this process, and none is marked.
void Leader::detect_unreachable_hosts(double now) {
  int up = 0, unreachable = 0;
  for (const auto& host : cluster_.hosts) {
    if (!host || host->phase != HostPhase::up) continue;
    ++up;
    unreachable += host->ignored_responses >= workers::kUnreachableAfterIgnoredResponses ? 1 : 0;
  }
  const bool many_unreachable = unreachable > 1 && unreachable * 3 > up;
  for (const auto& host : cluster_.hosts) {
    if (!host || host->phase != HostPhase::up) continue;
    const bool unreachable =
        host->ignored_responses >= workers::kUnreachableAfterIgnoredResponses && !many_unreachable;
    if (unreachable == (host->unreachable_since >= 0)) continue;
    spdlog::info(
        "machine {} {}", host->name,
        unreachable ? "sends heartbeats but receives no responses" : "receives responses again");
    host->unreachable_since = unreachable ? now : -1;
    needs_placement_ = needs_scaling_ = true;
  }
}

void Leader::check_host_liveness(double now) {
  log_failover_progress(now);
  detect_unreachable_hosts(now);
  zones_.advance(cluster_, leader_since_, now);
  store_zones(now);
  update_closed_pools();
  for (const Index i : zones_.hosts_to_return(cluster_, leader_since_, now)) {
    scale_in(i, "its zone is lost");
    needs_scaling_ = needs_placement_ = true;
  }
  const bool many_are_silent = are_many_hosts_silent(now);
  for (Index i = 0; i < cluster_.hosts.size(); ++i) {
    if (const char* reason = reason_to_scale_in(i, many_are_silent, now)) scale_in(i, reason);
  }
  std::erase_if(returned_hosts_,
                [&](const auto& host) { return now - host.second > kReturnedHostRetention_s; });
}

void Leader::store_zones(double now) {
  if (!zones_.has_unwritten_changes() || !schema::has_level(schema_, schema::kDrains) ||
      now - zones_stored_at_ < kStoreZonesInterval_s) {
    return;
  }
  zones_stored_at_ = now;
  zones_.note_written();
  const kv::Json value = zones_.encode(cluster_);
  if (kv::fits(value, platform_.strictest_store_limits().value_kb)) {
    transaction_builder_.queue_write({zones::kZonesKey, value});
  }
}

// A single silent machine is presumed to have failed. If many fall silent together, a network
// partition is more likely, and their tasks go on behind it: on a recorded day a leader returned
// all such machines and lost half the fleet.
bool Leader::are_many_hosts_silent(double now) const {
  const double limit_s = silence_limit_s(platform_.worker_timings);
  int up = 0, silent = 0;
  for (const auto& host : cluster_.hosts) {
    if (!host || host->phase != HostPhase::up) continue;
    ++up;
    silent += now - std::max(host->last_heartbeat_at, leader_since_) > limit_s ? 1 : 0;
  }
  return silent > 1 && silent * 3 > up;
}

// Returns null if the machine is to be kept.
const char* Leader::reason_to_scale_in(Index index, bool many_are_silent, double now) const {
  const Host* host = cluster_.hosts[index].get();
  if (host == nullptr || host->phase == HostPhase::terminating) return nullptr;
  // Machines of a zone that is silent as a whole are left to zones::ZoneMonitor, and the time of
  // their silence counts anew once the zone is heard from again. When each machine was judged by
  // itself, a whole zone was returned within seconds: heartbeats are staggered, so less than a
  // third of all machines was silent at any one time.
  const bool has_zone = host->zone != kNone;
  const zones::ZoneState zone = has_zone ? zones_.state(host->zone) : zones::ZoneState::healthy;
  if (zone == zones::ZoneState::suspected || zone == zones::ZoneState::lost) return nullptr;
  const double silence_counts_from =
      has_zone ? std::max(leader_since_, zones_.reachable_since(host->zone)) : leader_since_;
  if (host->phase == HostPhase::booting) {
    const auto* type = cluster_.type_of(*host);
    const double boot_timeout_s = kBootTimeoutFactor * (type == nullptr ? 60 : type->boot_s);
    const double booting_since =
        std::max(host->rented_at, silence_counts_from - boot_timeout_s / 2);
    return now - booting_since > boot_timeout_s ? "it does not come up" : nullptr;
  }
  const double limit_s = silence_limit_s(platform_.worker_timings);
  const double silent_s = now - std::max(host->last_heartbeat_at, silence_counts_from);
  if (silent_s > limit_s && (!many_are_silent || silent_s > kPartitionSilenceFactor * limit_s)) {
    return "it is silent";
  }
  if (host->unreachable_since >= 0 &&
      now - host->unreachable_since >
          kUnreachableTimeoutLeases * platform_.worker_timings.lease_s) {
    return "our answers do not reach it";
  }
  const bool is_quarantined_and_idle =
      host->draining && host->reclaim_at == placement::kNever && host->attempts.empty();
  return is_quarantined_and_idle ? "it does not work" : nullptr;
}

void Leader::scale(double now) {
  if (cluster_.catalog.empty()) return;
  autoscaler_.update_exposure(cluster_, now);
  pipelines::estimate_unblock_times(cluster_, now);
  for (const Index index : autoscaler_.scale_in_candidates(cluster_, now)) {
    if (placement::try_backfill(cluster_, index)) {
      spdlog::info("machine {} is used for small tasks: no large ones need it",
                   cluster_.hosts[index]->name);
      needs_placement_ = true;
    } else {
      scale_in(index, "it is not needed");
    }
  }
  for (const acquire::ScaleOutRequest& demand : autoscaler_.scale_out_requests(cluster_, now)) {
    cloud::ScaleOutRequest request;
    request.name =
        "r-" + std::to_string(cluster_.fencing_token) + "-" + std::to_string(++scale_out_count_);
    request.type = cluster_.types[demand.pool.type];
    request.zone = cluster_.zones[demand.pool.zone];
    request.spot = demand.pool.spot;
    request.count = demand.machines;
    autoscaler_.set_pending_request(demand.pool, demand.machines);
    spdlog::info("scale-out request {}: asking for {} {} {} machines in {}", request.name,
                 request.count, request.spot ? "spot" : "ordinary", request.type, request.zone);
    const std::string key = pool_key(demand.pool);
    transaction_builder_.queue_write({key, kv::Json{{"open", true},
                                                    {"name", request.name},
                                                    {"type", request.type},
                                                    {"zone", request.zone},
                                                    {"spot", request.spot},
                                                    {"count", request.count}}});
    scale_out_requested_at_[request.name] = now;
    scale_outs_awaiting_record_.emplace_back(key, request);
  }
}

}  // namespace reachramp::controller
