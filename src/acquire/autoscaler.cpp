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

constexpr int kMostPerHire = 50;  // the cloud's limit
constexpr double kFirstRefusal = 10;
constexpr int kMostRefusals = 3;
// Reclaims are forgotten over this many horizons.
constexpr double kMemoryHorizons = 30;
constexpr double kLeastCharge_s = 60;
// Work that comes while a machine is idle saves a boot. Measured on four days: 20 s and 3 s cost
// more.
constexpr double kIdleKeep_s = 8;

double price_per_hour(const cloud::MachineType& type, bool spot) {
  return spot ? type.spot_price : type.price;
}

Amounts amounts(const Resources& need, int slots) {
  return {need.cpus * slots, need.gpus * slots, need.ram_gb * slots};
}

}  // namespace

Autoscaler::Autoscaler(const settings::Policy& policy) : policy_(policy) {}

void Autoscaler::note_prices(const Cluster& cluster, double now) {
  for (const auto& type : cluster.catalog) {
    for (const auto& zone : type.zones) {
      auto& prices = books_[{cluster.types.find(type.name), cluster.zones.find(zone), true}].prices;
      prices.emplace_back(now, type.spot_price);
      while (!prices.empty() && prices.front().first < now - policy_.price_window_s) {
        prices.pop_front();
      }
    }
  }
}

// V takes a pool to fall whole; the cloud takes machines one by one. One of thirty counts as a
// thirtieth, or the chance of a large pool nears one, and no number of machines meets the target.
void Autoscaler::note_reclaim(const Cluster& cluster, const Pool& pool) {
  const auto held = std::count_if(cluster.hosts.begin(), cluster.hosts.end(), [&](const auto& h) {
    return h && h->phase != HostPhase::terminating && Pool{h->type, h->zone, h->spot} == pool;
  });
  books_[pool].events += 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(held, 1));
}

void Autoscaler::note_exposure(const Cluster& cluster, double now) {
  const double horizons = exposed_at_ < 0 ? 0 : (now - exposed_at_) / policy_.horizon_s;
  exposed_at_ = now;
  const double kept = std::exp(-horizons / kMemoryHorizons);
  for (auto& [pool, book] : books_) {
    book.events *= kept;
    book.exposure *= kept;
  }
  std::map<Pool, bool> held;
  for (const auto& host : cluster.hosts) {
    if (host && host->spot && host->type != kNone && host->phase != HostPhase::terminating) {
      held[{host->type, host->zone, true}] = true;
    }
  }
  for (const auto& [pool, yes] : held) books_[pool].exposure += horizons;
}

void Autoscaler::note_refused(const Pool& pool, double now) {
  PoolHistory& book = books_[pool];
  book.refusals = std::min(book.refusals + 1, kMostRefusals);
  book.refused_until = now + kFirstRefusal * (1 << (book.refusals - 1));
}

void Autoscaler::note_filled(const Pool& pool) { books_[pool].refusals = 0; }
void Autoscaler::note_requested(const Pool& pool, int machines) { books_[pool].asked = machines; }
void Autoscaler::note_answered(const Pool& pool) { books_[pool].asked = 0; }

// The decayed rate, with the prior worth one horizon of watching.
double Autoscaler::reclaim_chance(const Pool& pool) const {
  if (!pool.spot) return 0;
  const auto at = books_.find(pool);
  if (at == books_.end()) return policy_.prior;
  return std::min(1.0, (policy_.prior + at->second.events) / (1 + at->second.exposure));
}

double Autoscaler::price(const Cluster& cluster, const Pool& pool) const {
  const auto* type = cluster.machine_type(pool.type);
  return type == nullptr ? 1 : price_per_hour(*type, pool.spot);
}

void Autoscaler::close(std::set<Pool> pools) { closed_ = std::move(pools); }

bool Autoscaler::refuses(const Pool& pool, double now) const {
  const auto book = books_.find(pool);
  return book != books_.end() && now < book->second.refused_until;
}

bool Autoscaler::may_ask(const Pool& pool, double now) const {
  if (closed_.contains(pool)) return false;
  const auto book = books_.find(pool);
  return book == books_.end() || (book->second.asked == 0 && now >= book->second.refused_until);
}

void Autoscaler::cover(const Cluster& cluster, double now, const std::vector<bool>& without,
                       std::vector<DemandGroup>& groups) const {
  struct Room {
    Pool pool;
    Resources left;
  };
  std::vector<Room> rooms;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || (i < without.size() && without[i]) || !counts(cluster, *host, now)) continue;
    const auto* type = cluster.type_of(*host);
    rooms.push_back({{host->type, host->zone, host->spot}, {type->cpus, type->gpus, type->ram_gb}});
  }
  for (const auto& [pool, book] : books_) {
    const auto* type = cluster.machine_type(pool.type);
    for (int i = 0; type != nullptr && i < book.asked; ++i) {
      rooms.push_back({pool, {type->cpus, type->gpus, type->ram_gb}});
    }
  }
  // Small machines first, as tasks are placed: large ones stay for work that needs them.
  std::stable_sort(rooms.begin(), rooms.end(),
                   [](const Room& a, const Room& b) { return a.left.cpus < b.left.cpus; });
  for (DemandGroup& group : groups) {
    group.slots.assign(group.pools.size(), 0);
    group.machines.assign(group.pools.size(), 0);
    double uncovered = group.tasks;
    for (Room& room : rooms) {
      const auto at = std::find(group.pools.begin(), group.pools.end(), room.pool);
      if (at == group.pools.end()) continue;
      const int slots = static_cast<int>(room.left.copies(group.need));
      if (slots == 0) continue;
      group.slots[at - group.pools.begin()] += slots;
      ++group.machines[at - group.pools.begin()];
      const int claimed_slots = std::min<int>(slots, static_cast<int>(std::ceil(uncovered)));
      room.left -= group.need.times(claimed_slots);
      uncovered -= claimed_slots;
    }
  }
}

std::vector<PoolOffer> Autoscaler::holdings(const Cluster& cluster, const DemandGroup& group,
                                            double now) const {
  std::vector<PoolOffer> pools;
  for (std::size_t i = 0; i < group.pools.size(); ++i) {
    const Pool& pool = group.pools[i];
    const auto* type = cluster.machine_type(pool.type);
    PoolOffer holding;
    holding.held = amounts(group.need, group.slots[i]);
    holding.machines = group.machines[i];
    holding.unit = amounts(group.need, copies_in(*type, group.need));
    holding.beta = reclaim_chance(pool);
    holding.price = price(cluster, pool);
    holding.obtainable = may_ask(pool, now) ? kMostPerHire : 0;
    pools.push_back(holding);
  }
  return pools;
}

std::vector<std::vector<double>> Autoscaler::correlations(const std::vector<Pool>& pools) const {
  const auto series = [&](const Pool& pool) {
    std::vector<double> values;
    const auto book = books_.find(pool);
    if (pool.spot && book != books_.end()) {
      for (const auto& [at, price] : book->second.prices) values.push_back(price);
    }
    return values;
  };
  std::vector<std::vector<double>> prices;
  for (const Pool& pool : pools) prices.push_back(series(pool));
  std::vector<std::vector<double>> rho(pools.size(), std::vector<double>(pools.size()));
  for (std::size_t i = 0; i < pools.size(); ++i) {
    for (std::size_t l = 0; l <= i; ++l) rho[i][l] = rho[l][i] = pearson(prices[i], prices[l]);
  }
  return rho;
}

std::vector<ScaleOutRequest> Autoscaler::scale_out_requests(const Cluster& cluster,
                                                            double now) const {
  std::map<Pool, int> wanted;
  std::vector<DemandGroup> groups = demand(cluster, now, Waiting::left_out);
  cover(cluster, now, {}, groups);
  for (const DemandGroup& group : groups) {
    const TributaryParameters terms{policy_.target, policy_.gamma, policy_.horizon_s};
    const Amounts goal = group.goal();
    std::vector<PoolOffer> pools = holdings(cluster, group, now);
    const bool spot = std::any_of(group.pools.begin(), group.pools.end(),
                                  [](const Pool& pool) { return pool.spot; });
    if (spot) {
      std::vector<PoolOffer> spot_only = pools;
      for (std::size_t i = 0; i < pools.size(); ++i) {
        if (!group.pools[i].spot || wanted.contains(group.pools[i])) spot_only[i].obtainable = 0;
      }
      for (const Purchase& purchase : greedy(spot_only, group.rho, goal, terms)) {
        wanted[group.pools[purchase.pool]] += purchase.machines;
      }
      pools = spot_only;
    }
    // Exception to the design: ordinary machines for work that may not use spot, and where spot
    // pools refuse, for what even the machines at hand would not hold if none were reclaimed.
    for (std::size_t i = 0; i < pools.size(); ++i) {
      pools[i].beta = 0;
      pools[i].obtainable =
          !group.pools[i].spot && may_ask(group.pools[i], now) && !wanted.contains(group.pools[i])
              ? kMostPerHire
              : 0;
    }
    const bool any = std::any_of(pools.begin(), pools.end(),
                                 [](const PoolOffer& pool) { return pool.machines > 0; });
    const double share = any ? group.ordinary_tasks / group.tasks : 1;
    Amounts served_goal = goal;
    for (double& amount : served_goal) amount *= share;
    const TributaryParameters served{policy_.target, 0, policy_.horizon_s};
    for (const Purchase& purchase : greedy(pools, group.rho, served_goal, served)) {
      wanted[group.pools[purchase.pool]] += purchase.machines;
    }
  }
  std::vector<ScaleOutRequest> found;
  for (const auto& [pool, machines] : wanted) {
    found.push_back({pool, std::min(machines, kMostPerHire)});
  }
  return found;
}

std::vector<double> Autoscaler::values(const Cluster& cluster, double now,
                                       const std::vector<DemandGroup>& groups) const {
  std::vector<double> least;
  for (const DemandGroup& group : groups) {
    const Amounts values =
        utilities(holdings(cluster, group, now), group.rho, policy_.gamma, group.goal());
    least.push_back(*std::min_element(values.begin(), values.end()));
  }
  return least;
}

std::vector<Index> Autoscaler::scale_in_candidates(const Cluster& cluster, double now) const {
  std::vector<Index> idle;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || host->phase != HostPhase::up || !host->attempts.empty() || host->type == kNone ||
        host->reserved > 0) {
      continue;
    }
    // What is charged already is kept: a machine costs its least charge in any case.
    if (now - host->idle_since >= kIdleKeep_s && now - host->rented_at >= kLeastCharge_s) {
      idle.push_back(i);
    }
  }
  if (idle.empty()) return idle;
  // Safest pools first; of one pool, whose machines are all alike, as many as can be spared.
  std::map<std::pair<double, Pool>, std::vector<Index>> by_pool;
  for (const Index i : idle) {
    const Host& host = *cluster.hosts[i];
    const Pool pool{host.type, host.zone, host.spot};
    by_pool[{reclaim_chance(pool), pool}].push_back(i);
  }
  std::vector<bool> without(cluster.hosts.size());
  std::vector<DemandGroup> groups = demand(cluster, now, Waiting::counts);
  cover(cluster, now, without, groups);
  const std::vector<double> with = values(cluster, now, groups);
  const auto can_spare = [&](const std::vector<Index>& machines, std::size_t count) {
    std::vector<bool> less = without;
    for (std::size_t i = 0; i < count; ++i) less[machines[i]] = true;
    cover(cluster, now, less, groups);
    const std::vector<double> left = values(cluster, now, groups);
    for (std::size_t g = 0; g < left.size(); ++g) {
      // A machine that does nothing for a group that lacks others is no loss to it.
      if (left[g] <= policy_.target && left[g] < with[g] - 1e-9) return false;
    }
    return true;
  };
  std::vector<Index> surplus;
  for (const auto& [pool, machines] : by_pool) {
    // Each question costs a look at the whole fleet, so the number is found by halving.
    std::size_t spared = 0, beyond = machines.size() + 1;
    while (beyond - spared > 1) {
      const std::size_t middle = spared + (beyond - spared) / 2;
      (can_spare(machines, middle) ? spared : beyond) = middle;
    }
    for (std::size_t i = 0; i < spared; ++i) {
      without[machines[i]] = true;
      surplus.push_back(machines[i]);
    }
  }
  return surplus;
}

}  // namespace reachramp::acquire
