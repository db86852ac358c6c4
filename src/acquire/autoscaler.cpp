#include "acquire/autoscaler.h"

#include <algorithm>
#include <cmath>

#include "acquire/demand.h"

namespace reachramp::acquire {

using placement::Host;
using placement::HostPhase;
using placement::kNone;
using placement::Resources;

namespace {

constexpr int kMaxMachinesPerRequest = 50;  // the cloud's limit
// After a refused request, nothing is requested from the pool for this long. The pause doubles with
// each further refusal in a row, up to kMaxRefusalsCounted refusals.
constexpr double kFirstRefusalPause_s = 10;
constexpr int kMaxRefusalsCounted = 3;
// The time constant of the exponential decay of past reclaims and exposure.
constexpr double kReclaimDecay_horizons = 30;
// The cloud bills each machine for at least this long.
constexpr double kMinBilledTime_s = 60;
// An idle machine is kept for this long, because work that arrives in the meantime needs no boot.
// Both 3 s and 20 s cost more.
constexpr double kMinIdleBeforeReturn_s = 8;

double hourly_machine_price(const cloud::MachineType& type, bool spot) {
  return spot ? type.spot_price_per_hour : type.price_per_hour;
}

Amounts amounts_for_slots(const Resources& need, int slots) {
  return {need.cpus * slots, need.gpus * slots, need.ram_gb * slots};
}

}  // namespace

Autoscaler::Autoscaler(const settings::Policy& policy) : policy_(policy) {}

void Autoscaler::record_prices(const Cluster& cluster, double now) {
  for (const auto& type : cluster.catalog) {
    for (const auto& zone : type.zones) {
      auto& prices =
          pool_histories_[{cluster.types.find(type.name), cluster.zones.find(zone), true}].prices;
      prices.emplace_back(now, type.spot_price_per_hour);
      while (!prices.empty() && prices.front().first < now - policy_.price_window_s) {
        prices.pop_front();
      }
    }
  }
}

// The utility model assumes that a pool is reclaimed as a whole, but the cloud reclaims single
// machines. One of thirty machines therefore counts as a thirtieth of a reclaim. Otherwise the
// reclaim probability of a large pool approaches 1, and no number of machines meets the target.
void Autoscaler::record_reclaim(const Cluster& cluster, const Pool& pool) {
  const auto held_machines =
      std::count_if(cluster.hosts.begin(), cluster.hosts.end(), [&](const auto& host) {
        return host && host->phase != HostPhase::terminating &&
               Pool{host->type, host->zone, host->spot} == pool;
      });
  pool_histories_[pool].decayed_reclaims +=
      1.0 / static_cast<double>(std::max<std::ptrdiff_t>(held_machines, 1));
}

void Autoscaler::update_exposure(const Cluster& cluster, double now) {
  const double horizons =
      exposure_updated_at_ < 0 ? 0 : (now - exposure_updated_at_) / policy_.horizon_s;
  exposure_updated_at_ = now;
  const double decay = std::exp(-horizons / kReclaimDecay_horizons);
  for (auto& [pool, history] : pool_histories_) {
    history.decayed_reclaims *= decay;
    history.exposure_horizons *= decay;
  }
  std::map<Pool, bool> held_pools;
  for (const auto& host : cluster.hosts) {
    if (host && host->spot && host->type != kNone && host->phase != HostPhase::terminating) {
      held_pools[{host->type, host->zone, true}] = true;
    }
  }
  for (const auto& [pool, is_held] : held_pools)
    pool_histories_[pool].exposure_horizons += horizons;
}

void Autoscaler::record_refusal(const Pool& pool, double now) {
  PoolHistory& history = pool_histories_[pool];
  history.refusals = std::min(history.refusals + 1, kMaxRefusalsCounted);
  history.refused_until = now + kFirstRefusalPause_s * (1 << (history.refusals - 1));
}

void Autoscaler::reset_refusals(const Pool& pool) { pool_histories_[pool].refusals = 0; }
void Autoscaler::set_pending_request(const Pool& pool, int machines) {
  pool_histories_[pool].requested_machines = machines;
}
void Autoscaler::clear_pending_request(const Pool& pool) {
  pool_histories_[pool].requested_machines = 0;
}

// The decayed reclaims per horizon of exposure. The prior probability has the weight of one
// horizon.
double Autoscaler::reclaim_probability(const Pool& pool) const {
  if (!pool.spot) return 0;
  const auto at = pool_histories_.find(pool);
  if (at == pool_histories_.end()) return policy_.prior_reclaim_probability;
  return std::min(1.0, (policy_.prior_reclaim_probability + at->second.decayed_reclaims) /
                           (1 + at->second.exposure_horizons));
}

double Autoscaler::hourly_price(const Cluster& cluster, const Pool& pool) const {
  const auto* type = cluster.machine_type(pool.type);
  return type == nullptr ? 1 : hourly_machine_price(*type, pool.spot);
}

void Autoscaler::set_closed_pools(std::set<Pool> pools) { closed_pools_ = std::move(pools); }

bool Autoscaler::recently_refused(const Pool& pool, double now) const {
  const auto history = pool_histories_.find(pool);
  return history != pool_histories_.end() && now < history->second.refused_until;
}

bool Autoscaler::may_request(const Pool& pool, double now) const {
  if (closed_pools_.contains(pool)) return false;
  const auto history = pool_histories_.find(pool);
  return history == pool_histories_.end() ||
         (history->second.requested_machines == 0 && now >= history->second.refused_until);
}

void Autoscaler::count_slots(const Cluster& cluster, double now, const std::vector<bool>& excluded,
                             std::vector<DemandGroup>& groups) const {
  struct RemainingRoom {
    Pool pool;
    Resources free;
  };
  std::vector<RemainingRoom> rooms;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || (i < excluded.size() && excluded[i]) || !provides_capacity(cluster, *host, now))
      continue;
    const auto* type = cluster.type_of(*host);
    rooms.push_back({{host->type, host->zone, host->spot}, {type->cpus, type->gpus, type->ram_gb}});
  }
  for (const auto& [pool, history] : pool_histories_) {
    const auto* type = cluster.machine_type(pool.type);
    for (int i = 0; type != nullptr && i < history.requested_machines; ++i) {
      rooms.push_back({pool, {type->cpus, type->gpus, type->ram_gb}});
    }
  }
  // Small machines come first, as in placement, so that large ones stay free for large tasks.
  std::stable_sort(rooms.begin(), rooms.end(), [](const RemainingRoom& a, const RemainingRoom& b) {
    return a.free.cpus < b.free.cpus;
  });
  for (DemandGroup& group : groups) {
    group.slots_by_pool.assign(group.pools.size(), 0);
    group.machines_by_pool.assign(group.pools.size(), 0);
    double uncovered = group.tasks;
    for (RemainingRoom& room : rooms) {
      const auto at = std::find(group.pools.begin(), group.pools.end(), room.pool);
      if (at == group.pools.end()) continue;
      const int slots = static_cast<int>(room.free.capacity_for(group.mean_task_resources));
      if (slots == 0) continue;
      group.slots_by_pool[at - group.pools.begin()] += slots;
      ++group.machines_by_pool[at - group.pools.begin()];
      const int claimed_slots = std::min<int>(slots, static_cast<int>(std::ceil(uncovered)));
      room.free -= group.mean_task_resources.scaled(claimed_slots);
      uncovered -= claimed_slots;
    }
  }
}

std::vector<PoolOffer> Autoscaler::pool_offers(const Cluster& cluster, const DemandGroup& group,
                                               double now) const {
  std::vector<PoolOffer> pools;
  for (std::size_t i = 0; i < group.pools.size(); ++i) {
    const Pool& pool = group.pools[i];
    const auto* type = cluster.machine_type(pool.type);
    PoolOffer offer;
    offer.held_amounts = amounts_for_slots(group.mean_task_resources, group.slots_by_pool[i]);
    offer.machines = group.machines_by_pool[i];
    offer.amounts_per_machine = amounts_for_slots(
        group.mean_task_resources, tasks_per_machine(*type, group.mean_task_resources));
    offer.reclaim_probability = reclaim_probability(pool);
    offer.hourly_price = hourly_price(cluster, pool);
    offer.max_new_machines = may_request(pool, now) ? kMaxMachinesPerRequest : 0;
    pools.push_back(offer);
  }
  return pools;
}

std::vector<std::vector<double>> Autoscaler::price_correlations(
    const std::vector<Pool>& pools) const {
  const auto series = [&](const Pool& pool) {
    std::vector<double> values;
    const auto history = pool_histories_.find(pool);
    if (pool.spot && history != pool_histories_.end()) {
      for (const auto& [at, price] : history->second.prices) values.push_back(price);
    }
    return values;
  };
  std::vector<std::vector<double>> prices;
  for (const Pool& pool : pools) prices.push_back(series(pool));
  std::vector<std::vector<double>> correlations(pools.size(), std::vector<double>(pools.size()));
  for (std::size_t i = 0; i < pools.size(); ++i) {
    for (std::size_t l = 0; l <= i; ++l)
      correlations[i][l] = correlations[l][i] = pearson(prices[i], prices[l]);
  }
  return correlations;
}

std::vector<ScaleOutRequest> Autoscaler::scale_out_requests(const Cluster& cluster,
                                                            double now) const {
  std::map<Pool, int> wanted;
  std::vector<DemandGroup> groups = demand_groups(cluster, now, BlockedJobs::excluded);
  count_slots(cluster, now, {}, groups);
  for (const DemandGroup& group : groups) {
    const TributaryParameters parameters{policy_.target_utility, policy_.gamma, policy_.horizon_s};
    const Amounts goal = group.total_amounts();
    std::vector<PoolOffer> pools = pool_offers(cluster, group, now);
    const bool has_spot_pools = std::any_of(group.pools.begin(), group.pools.end(),
                                            [](const Pool& pool) { return pool.spot; });
    if (has_spot_pools) {
      std::vector<PoolOffer> spot_only = pools;
      for (std::size_t i = 0; i < pools.size(); ++i) {
        if (!group.pools[i].spot || wanted.contains(group.pools[i]))
          spot_only[i].max_new_machines = 0;
      }
      for (const Purchase& purchase :
           choose_purchases(spot_only, group.price_correlation, goal, parameters)) {
        wanted[group.pools[purchase.pool]] += purchase.machines;
      }
      pools = spot_only;
    }
    // Deviation from the design: ordinary machines are rented for work that may not use spot
    // machines. For other work they are rented only for the tasks for which the current and the
    // chosen spot machines would have no room even if none were reclaimed, as happens when spot
    // pools refuse requests. Reclaim probabilities are therefore 0 here.
    for (std::size_t i = 0; i < pools.size(); ++i) {
      pools[i].reclaim_probability = 0;
      pools[i].max_new_machines = !group.pools[i].spot && may_request(group.pools[i], now) &&
                                          !wanted.contains(group.pools[i])
                                      ? kMaxMachinesPerRequest
                                      : 0;
    }
    const bool has_machines = std::any_of(pools.begin(), pools.end(),
                                          [](const PoolOffer& pool) { return pool.machines > 0; });
    const double ordinary_share = has_machines ? group.ordinary_machine_tasks / group.tasks : 1;
    Amounts ordinary_goal = goal;
    for (double& amount : ordinary_goal) amount *= ordinary_share;
    const TributaryParameters ordinary_parameters{policy_.target_utility, 0, policy_.horizon_s};
    for (const Purchase& purchase :
         choose_purchases(pools, group.price_correlation, ordinary_goal, ordinary_parameters)) {
      wanted[group.pools[purchase.pool]] += purchase.machines;
    }
  }
  std::vector<ScaleOutRequest> found;
  for (const auto& [pool, machines] : wanted) {
    found.push_back({pool, std::min(machines, kMaxMachinesPerRequest)});
  }
  return found;
}

std::vector<double> Autoscaler::lowest_utilities(const Cluster& cluster, double now,
                                                 const std::vector<DemandGroup>& groups) const {
  std::vector<double> lowest;
  for (const DemandGroup& group : groups) {
    const Amounts values =
        expected_utilities(pool_offers(cluster, group, now), group.price_correlation, policy_.gamma,
                           group.total_amounts());
    lowest.push_back(*std::min_element(values.begin(), values.end()));
  }
  return lowest;
}

std::vector<Index> Autoscaler::scale_in_candidates(const Cluster& cluster, double now) const {
  std::vector<Index> idle;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || host->phase != HostPhase::up || !host->attempts.empty() || host->type == kNone ||
        host->reserved_tasks > 0) {
      continue;
    }
    // The cloud bills at least kMinBilledTime_s, so returning a machine earlier saves nothing.
    if (now - host->idle_since >= kMinIdleBeforeReturn_s &&
        now - host->rented_at >= kMinBilledTime_s) {
      idle.push_back(i);
    }
  }
  if (idle.empty()) return idle;
  // Pools with the lowest reclaim probability come first. The machines of one pool are
  // interchangeable, so for each pool only the number to return is searched for.
  std::map<std::pair<double, Pool>, std::vector<Index>> by_pool;
  for (const Index i : idle) {
    const Host& host = *cluster.hosts[i];
    const Pool pool{host.type, host.zone, host.spot};
    by_pool[{reclaim_probability(pool), pool}].push_back(i);
  }
  std::vector<bool> excluded(cluster.hosts.size());
  std::vector<DemandGroup> groups = demand_groups(cluster, now, BlockedJobs::included);
  count_slots(cluster, now, excluded, groups);
  const std::vector<double> utilities_before = lowest_utilities(cluster, now, groups);
  const auto can_spare = [&](const std::vector<Index>& machines, std::size_t count) {
    std::vector<bool> excluded_then = excluded;
    for (std::size_t i = 0; i < count; ++i) excluded_then[machines[i]] = true;
    count_slots(cluster, now, excluded_then, groups);
    const std::vector<double> utilities_after = lowest_utilities(cluster, now, groups);
    for (std::size_t g = 0; g < utilities_after.size(); ++g) {
      // A group may miss its target already. Then only a machine that adds to its utility is kept.
      if (utilities_after[g] <= policy_.target_utility &&
          utilities_after[g] < utilities_before[g] - 1e-9)
        return false;
    }
    return true;
  };
  std::vector<Index> surplus;
  for (const auto& [pool, machines] : by_pool) {
    // A binary search, because each call of can_spare() examines all machines.
    std::size_t spared = 0, too_many = machines.size() + 1;
    while (too_many - spared > 1) {
      const std::size_t middle = spared + (too_many - spared) / 2;
      (can_spare(machines, middle) ? spared : too_many) = middle;
    }
    for (std::size_t i = 0; i < spared; ++i) {
      excluded[machines[i]] = true;
      surplus.push_back(machines[i]);
    }
  }
  return surplus;
}

}  // namespace reachramp::acquire
