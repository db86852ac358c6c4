// The leader and its machines: what the cloud tells of them, what is rented and what goes back.
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

constexpr double kNeverBoots = 4;  // boot times
constexpr double kTombstoneFor = 300;
constexpr double kStoreZones_s = 1;
// A machine that reports without hearing us goes back after so many leases: its tasks ended with
// the first, and a network that is cut one way may mend.
constexpr double kDeafLeases = 2;
constexpr double kCutLasts = 4;  // times the silence that is held against a single machine

}  // namespace

std::string Leader::pool_key(const Pool& pool) const {
  return "pool/" + cluster_.types[pool.type] + "/" + cluster_.zones[pool.zone] + "/" +
         (pool.spot ? "spot" : "ordinary");
}

void Leader::on_catalog(const cloud::Catalog& catalog, double now) {
  const auto frame = [](cloud::Catalog types) {
    for (auto& type : types) type.spot_price = 0;
    return cloud::encode_catalog(types);
  };
  if (cluster_.catalog.empty() || frame(catalog) != frame(cluster_.catalog)) {
    // Where it is too long, each node reads it from the cloud.
    const kv::Json value = cloud::encode_catalog(catalog);
    if (kv::fits(value, platform_.lasting().value_kb)) ledger_.write({kCatalogKey, value});
    rebuy_ = replan_ = true;
  }
  cluster_.set_catalog(catalog);
  buyer_.note_prices(cluster_, now);
}

void Leader::gone(const std::string& name, double now) {
  const auto at = cluster_.host_index.find(name);
  tombstones_[name] = now;
  if (at == cluster_.host_index.end()) return;
  cluster_.remove_host(at->second, now);
  replan_ = rebuy_ = look_at_parked_ = true;
}

void Leader::on_host_list(const std::vector<cloud::ListedMachine>& listed, double asked_at,
                          double now) {
  listed_ = true;
  const double lag = platform_.cloud_limits.list_lag_s;
  std::set<std::string> names;
  std::vector<std::string> failed;
  for (const cloud::ListedMachine& machine : listed) {
    names.insert(machine.name);
    const auto tomb = tombstones_.find(machine.name);
    if (tomb != tombstones_.end()) {
      // Still listed long after its return: it is not what we returned, or it came back.
      if (asked_at - tomb->second > 3 * lag + 5) {
        failed.push_back(machine.name);
        tomb->second = now;
      }
      continue;
    }
    const bool fresh = !cluster_.host_index.contains(machine.name);
    const Index index = cluster_.add_host(machine.name, now);
    cluster_.describe_host(index, machine.type, machine.zone, machine.spot);
    Host& host = *cluster_.hosts[index];
    host.unconfirmed = false;
    // Whoever learnt of the machine from a report or a record does not know its age.
    host.rented_at = std::min(host.rented_at, now - machine.held_s);
    host.runs = machine.phase == cloud::MachinePhase::running;
    if (fresh) rebuy_ = true;
    if (!machine.address.empty()) host.address = machine.address;
    if (!host.acknowledged_token && !host.address.empty() &&
        machine.phase == cloud::MachinePhase::running && fresh) {
      out_.probes.push_back(host.address);
    }
    if (machine.phase == cloud::MachinePhase::failed) failed.push_back(machine.name);
  }
  for (const std::string& name : failed) {
    spdlog::info("machine {} has failed", name);
    gone(name, now);
    out_.cloud_requests.push_back({CloudRequest::Kind::scale_in, {}, {name}});
  }

  // A list describes a moment at most twice the lag ago. A machine that was there before that
  // moment and is not listed is gone.
  std::vector<std::string> missing;
  for (const auto& host : cluster_.hosts) {
    if (host && !names.contains(host->name) && host->known_at < asked_at - 2 * lag - 1) {
      missing.push_back(host->name);
    }
  }
  for (const std::string& name : missing) {
    const Host& host = *cluster_.host(name);
    spdlog::info("machine {} is gone", name);
    if (host.spot && host.type != kNone && host.phase != HostPhase::terminating) {
      buyer_.note_reclaim(cluster_, {host.type, host.zone, true});
    }
    gone(name, now);
  }
}

void Leader::on_scale_out_completed(const cloud::ScaleOutRequest& hire,
                                    const cloud::ScaleOutResult& hired, double now) {
  const Pool pool{cluster_.types.add(hire.type), cluster_.zones.add(hire.zone), hire.spot};
  buyer_.note_answered(pool);
  const double asked_at = asked_at_.contains(hire.name) ? asked_at_[hire.name] : now;
  asked_at_.erase(hire.name);
  for (const std::string& name : hired.machines) {
    if (tombstones_.contains(name)) continue;
    const Index index = cluster_.add_host(name, now);
    cluster_.describe_host(index, hire.type, hire.zone, hire.spot);
    cluster_.hosts[index]->rented_at = asked_at;
    cluster_.hosts[index]->unconfirmed = false;
  }
  if (static_cast<int>(hired.machines.size()) < hire.count) {
    buyer_.note_refused(pool, now);
  } else {
    buyer_.note_filled(pool);
  }
  spdlog::info("hire {}: {} of {} {} {} in {}", hire.name, hired.machines.size(), hire.count,
               hire.spot ? "spot" : "ordinary", hire.type, hire.zone);
  if (schema::has(level_, schema::kClosedPools)) {
    ledger_.write({pool_key(pool), std::nullopt});
  } else {
    ledger_.write({pool_key(pool), kv::Json{{"open", false}}});
  }
  rebuy_ = replan_ = true;
}

void Leader::on_scale_in_completed(const std::vector<std::string>& machines, double now) {
  for (const std::string& name : machines) gone(name, now);
}

void Leader::give_back(Index index, const char* why) {
  Host& host = *cluster_.hosts[index];
  if (host.phase != HostPhase::terminating) request_return(host, why);
}

void Leader::request_return(Host& host, const std::string& why) {
  spdlog::info("machine {} goes back: {}", host.name, why);
  host.phase = HostPhase::terminating;
  out_.cloud_requests.push_back(
      {CloudRequest::Kind::scale_in, {}, {host.name}, host.urgent_return});
}

void Leader::note_advance(double now) {
  const bool stood_still = now - advanced_at_ > workers::report_allowance_s(platform_.workers) / 2;
  if (stood_still) listening_since_ = now;
  advanced_at_ = now;
}

// Also without the key-value store: a cancelled task must be gone whoever else may lead, and
// returning a machine is safe under any leader.
void Leader::return_for_cancellations(double now) {
  for (const auto& [host_index, job_index] :
       workers::machines_past_cancellation(cluster_, listening_since_, now)) {
    Host& host = *cluster_.hosts[host_index];
    host.urgent_return = true;
    request_return(host, fmt::format("job {} is cancelled and may still run there",
                                     cluster_.jobs[job_index]->spec.id));
    replan_ = rebuy_ = true;
  }
}

// How long a change of leaders took, as the workers see it: until all that run have been heard, or
// a lease has gone by.
void Leader::tell_heard(double now) {
  if (told_heard_ || !listed_) return;
  std::size_t running = 0, unheard = 0;
  for (const auto& host : cluster_.hosts) {
    if (!host || !host->runs || host->known_at > since_ + platform_.cloud_limits.list_lag_s)
      continue;
    ++running;
    unheard += host->acknowledged_token ? 0 : 1;
  }
  const double passed = now - since_;
  if (half_heard_s_ < 0 && unheard * 2 <= running) half_heard_s_ = passed;
  if (most_heard_s_ < 0 && unheard * 100 <= running) most_heard_s_ = passed;
  if (unheard > 0 && passed < platform_.workers.lease_s) return;
  told_heard_ = true;
  if (running == 0) return;
  const auto within = [](double seconds) {
    return seconds < 0 ? std::string("not yet") : fmt::format("{:.1f} s", seconds);
  };
  spdlog::info(
      "{} of {} running machines heard {:.1f} s after taking over; half: {}, 99 of 100: {}",
      running - unheard, running, passed, within(half_heard_s_), within(most_heard_s_));
}

// By operators' wish, or because the zone is not well.
void Leader::close_pools() {
  std::set<Pool> pools = zones_.closed(cluster_);
  pools.merge(drains_.closed(cluster_));
  buyer_.close(std::move(pools));
}

// Machines that report but do not hear us take nothing new and go back after a while. Where many
// are so at once it is the network's matter, or our own lateness, and none is held to be so.
void Leader::find_deaf(double now) {
  int up = 0, unheeding = 0;
  for (const auto& host : cluster_.hosts) {
    if (!host || host->phase != HostPhase::up) continue;
    ++up;
    unheeding += host->ignored_responses >= workers::kUnreachableAfter ? 1 : 0;
  }
  const bool many = unheeding > 1 && unheeding * 3 > up;
  for (const auto& host : cluster_.hosts) {
    if (!host || host->phase != HostPhase::up) continue;
    const bool deaf = host->ignored_responses >= workers::kUnreachableAfter && !many;
    if (deaf == (host->unreachable_since >= 0)) continue;
    spdlog::info("machine {} {}", host->name,
                 deaf ? "reports, but our answers do not reach it" : "hears us again");
    host->unreachable_since = deaf ? now : -1;
    replan_ = rebuy_ = true;
  }
}

void Leader::upkeep(double now) {
  tell_heard(now);
  find_deaf(now);
  const double silent = platform_.workers.lease_s * 1.1;
  const auto is_silent = [&](const Host& host) {
    return host.phase == HostPhase::up && now - std::max(host.last_heartbeat_at, since_) > silent;
  };
  zones_.advance(cluster_, since_, now);
  if (zones_.has_changed() && schema::has(level_, schema::kDrains) &&
      now - zones_stored_at_ >= kStoreZones_s) {
    zones_stored_at_ = now;
    zones_.note_written();
    const kv::Json value = zones_.encode(cluster_);
    if (kv::fits(value, platform_.lasting().value_kb)) ledger_.write({zones::kZonesKey, value});
  }
  close_pools();
  for (const Index i : zones_.to_return(cluster_, since_, now)) {
    give_back(i, "its zone is lost");
    rebuy_ = replan_ = true;
  }
  int up = 0, quiet = 0;
  for (const auto& host : cluster_.hosts) {
    if (!host || host->phase != HostPhase::up) continue;
    ++up;
    quiet += is_silent(*host) ? 1 : 0;
  }
  // Silence of one machine is its own. When many fall silent together a cut is likelier, and they
  // work on behind it: one recorded day lost half the fleet to a leader that sent them all back.
  const bool many = quiet > 1 && quiet * 3 > up;
  for (Index i = 0; i < cluster_.hosts.size(); ++i) {
    Host* host = cluster_.hosts[i].get();
    if (host == nullptr || host->phase == HostPhase::terminating) continue;
    const auto* type = cluster_.type_of(*host);
    // What is silent with its whole zone is the zone's matter, and has its time anew when that is
    // heard again. Told machine by machine a zone was sent back within seconds: reports are
    // staggered, so that never a third was silent together.
    const zones::State zone =
        host->zone == placement::kNone ? zones::State::healthy : zones_.state(host->zone);
    if (zone == zones::State::suspected || zone == zones::State::lost) continue;
    const double from = host->zone == placement::kNone
                            ? since_
                            : std::max(since_, zones_.reachable_since(host->zone));
    if (host->phase == HostPhase::booting) {
      const double patience = kNeverBoots * (type == nullptr ? 60 : type->boot_s);
      if (now - std::max(host->rented_at, from - patience / 2) > patience) {
        give_back(i, "it does not come up");
      }
      continue;
    }
    const double quiet_for = now - std::max(host->last_heartbeat_at, from);
    if (quiet_for > silent && (!many || quiet_for > kCutLasts * silent)) {
      give_back(i, "it is silent");
    } else if (host->unreachable_since >= 0 &&
               now - host->unreachable_since > kDeafLeases * platform_.workers.lease_s) {
      give_back(i, "our answers do not reach it");
    } else if (host->draining && host->reclaim_at == placement::kNever && host->attempts.empty()) {
      give_back(i, "it does not work");
    }
  }
  for (auto at = tombstones_.begin(); at != tombstones_.end();) {
    at = now - at->second > kTombstoneFor ? tombstones_.erase(at) : std::next(at);
  }
}

void Leader::buy(double now) {
  if (cluster_.catalog.empty()) return;
  buyer_.note_exposure(cluster_, now);
  pipelines::estimate_unblock_times(cluster_, now);
  for (const Index index : buyer_.scale_in_candidates(cluster_, now)) {
    if (placement::backfill(cluster_, index)) {
      spdlog::info("machine {} serves small tasks: large ones do not need it",
                   cluster_.hosts[index]->name);
      replan_ = true;
    } else {
      give_back(index, "it is not needed");
    }
  }
  for (const acquire::ScaleOutRequest& wish : buyer_.scale_out_requests(cluster_, now)) {
    cloud::ScaleOutRequest hire;
    hire.name = "r-" + std::to_string(cluster_.fencing_token) + "-" + std::to_string(++hires_);
    hire.type = cluster_.types[wish.pool.type];
    hire.zone = cluster_.zones[wish.pool.zone];
    hire.spot = wish.pool.spot;
    hire.count = wish.machines;
    buyer_.note_requested(wish.pool, wish.machines);
    spdlog::info("hire {}: asking for {} {} {} in {}", hire.name, hire.count,
                 hire.spot ? "spot" : "ordinary", hire.type, hire.zone);
    const std::string key = pool_key(wish.pool);
    ledger_.write({key, kv::Json{{"open", true},
                                 {"name", hire.name},
                                 {"type", hire.type},
                                 {"zone", hire.zone},
                                 {"spot", hire.spot},
                                 {"count", hire.count}}});
    asked_at_[hire.name] = now;
    to_hire_.emplace_back(key, hire);
  }
}

}  // namespace reachramp::controller
