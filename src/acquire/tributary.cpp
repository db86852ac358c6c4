#include "acquire/tributary.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace reachramp::acquire {

double pearson(const std::vector<double>& xs, const std::vector<double>& ys) {
  const std::size_t n = std::min(xs.size(), ys.size());
  if (n < 3) return 0;
  double mean_x = 0, mean_y = 0;
  for (std::size_t i = 0; i < n; ++i) {
    mean_x += xs[i] / static_cast<double>(n);
    mean_y += ys[i] / static_cast<double>(n);
  }
  double xy = 0, xx = 0, yy = 0;
  for (std::size_t i = 0; i < n; ++i) {
    xy += (xs[i] - mean_x) * (ys[i] - mean_y);
    xx += (xs[i] - mean_x) * (xs[i] - mean_x);
    yy += (ys[i] - mean_y) * (ys[i] - mean_y);
  }
  if (xx <= 0 || yy <= 0) return 0;
  return std::clamp(xy / std::sqrt(xx * yy), -1.0, 1.0);
}

std::vector<double> reclaim_chances(const std::vector<PoolOffer>& pools,
                                    const std::vector<std::vector<double>>& rho, double gamma,
                                    std::size_t kind) {
  double total = 0;
  for (const PoolOffer& pool : pools) total += pool.held[kind];
  std::vector<double> chances(pools.size());
  for (std::size_t i = 0; i < pools.size(); ++i) {
    double lambda = 0;
    if (total > 0) {
      for (std::size_t l = 0; l < pools.size(); ++l) {
        if (pools[i].held[kind] <= 0 || pools[l].held[kind] <= 0) continue;
        lambda += rho[i][l] * (pools[i].held[kind] + pools[l].held[kind]) / (2 * total);
      }
    }
    chances[i] = std::clamp(pools[i].beta + gamma * lambda, 0.0, 1.0);
  }
  return chances;
}

std::vector<Outcome> survivors(const std::vector<PoolBatch>& shares, double enough) {
  std::map<double, double> folded{{0.0, 1.0}};
  for (const PoolBatch& share : shares) {
    if (share.amount <= 0) continue;
    std::map<double, double> next;
    for (const auto& [amount, probability] : folded) {
      next[amount] += probability * share.chance;
      next[std::min(enough, amount + share.amount)] += probability * (1 - share.chance);
    }
    folded = std::move(next);
  }
  std::vector<Outcome> outcomes;
  for (const auto& [amount, probability] : folded) outcomes.push_back({amount, probability});
  return outcomes;
}

double expected_utility(const std::vector<PoolBatch>& shares, double wanted) {
  if (wanted <= 0) return 1;
  double utility = 0;
  for (const Outcome& outcome : survivors(shares, wanted)) {
    utility += outcome.probability * std::min(1.0, outcome.amount / wanted);
  }
  return utility;
}

Amounts utilities(const std::vector<PoolOffer>& pools, const std::vector<std::vector<double>>& rho,
                  double gamma, const Amounts& wanted) {
  Amounts values{};
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const std::vector<double> chances = reclaim_chances(pools, rho, gamma, kind);
    std::vector<PoolBatch> shares;
    for (std::size_t i = 0; i < pools.size(); ++i) {
      shares.push_back({pools[i].held[kind], chances[i]});
    }
    values[kind] = expected_utility(shares, wanted[kind]);
  }
  return values;
}

std::vector<Purchase> greedy(std::vector<PoolOffer>& pools,
                             const std::vector<std::vector<double>>& rho, const Amounts& wanted,
                             const TributaryParameters& terms) {
  std::vector<Purchase> bought;
  const auto with = [](PoolOffer pool, int machines) {
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      pool.held[kind] += machines * pool.unit[kind];
    }
    pool.machines += machines;
    pool.obtainable -= machines;
    return pool;
  };
  const auto unmet = [&](const Amounts& values) {
    double sum = 0;
    for (const double value : values) sum += std::min(value, terms.target);
    return kKinds * terms.target - sum;
  };
  Amounts values = utilities(pools, rho, terms.gamma, wanted);
  while (unmet(values) > 1e-9) {
    double best_score = -1;
    Purchase best;
    Amounts best_values{};
    double cost = 0;
    for (const PoolOffer& pool : pools) cost += pool.price * pool.machines * terms.horizon_s / 3600;
    for (std::size_t i = 0; i < pools.size(); ++i) {
      int machines = 0;
      for (std::size_t kind = 0; kind < kKinds; ++kind) {
        if (values[kind] >= terms.target || pools[i].unit[kind] <= 0) continue;
        const double missing = wanted[kind] * (1 - values[kind]);
        machines =
            std::max(machines, static_cast<int>(std::ceil(missing / pools[i].unit[kind] - 1e-9)));
      }
      machines = std::min(machines, pools[i].obtainable);
      if (machines <= 0) continue;
      const PoolOffer before = pools[i];
      pools[i] = with(before, machines);
      const Amounts after = utilities(pools, rho, terms.gamma, wanted);
      pools[i] = before;
      if (unmet(after) >= unmet(values) - 1e-9) continue;
      const double total = cost + before.price * machines * terms.horizon_s / 3600;
      double utility = 0;
      for (const double value : after) utility += value / kKinds;
      const double score = utility / std::max(total, 1e-9);
      if (score > best_score) {
        best_score = score;
        best = {i, machines};
        best_values = after;
      }
    }
    if (best_score < 0) break;
    pools[best.pool] = with(pools[best.pool], best.machines);
    bought.push_back(best);
    values = best_values;
  }
  return bought;
}

}  // namespace reachramp::acquire
