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

std::vector<double> reclaim_probabilities(const std::vector<PoolOffer>& pools,
                                          const std::vector<std::vector<double>>& price_correlation,
                                          double gamma, std::size_t kind) {
  double total = 0;
  for (const PoolOffer& pool : pools) total += pool.held_amounts[kind];
  std::vector<double> probabilities(pools.size());
  for (std::size_t i = 0; i < pools.size(); ++i) {
    double lambda = 0;
    if (total > 0) {
      for (std::size_t l = 0; l < pools.size(); ++l) {
        if (pools[i].held_amounts[kind] <= 0 || pools[l].held_amounts[kind] <= 0) continue;
        lambda += price_correlation[i][l] *
                  (pools[i].held_amounts[kind] + pools[l].held_amounts[kind]) / (2 * total);
      }
    }
    probabilities[i] = std::clamp(pools[i].reclaim_probability + gamma * lambda, 0.0, 1.0);
  }
  return probabilities;
}

std::vector<Outcome> surviving_amounts(const std::vector<PoolBatch>& batches, double cap) {
  std::map<double, double> distribution{{0.0, 1.0}};
  for (const PoolBatch& batch : batches) {
    if (batch.amount <= 0) continue;
    std::map<double, double> next;
    for (const auto& [amount, probability] : distribution) {
      next[amount] += probability * batch.reclaim_probability;
      next[std::min(cap, amount + batch.amount)] += probability * (1 - batch.reclaim_probability);
    }
    distribution = std::move(next);
  }
  std::vector<Outcome> outcomes;
  for (const auto& [amount, probability] : distribution) outcomes.push_back({amount, probability});
  return outcomes;
}

double expected_utility(const std::vector<PoolBatch>& batches, double wanted) {
  if (wanted <= 0) return 1;
  double utility = 0;
  for (const Outcome& outcome : surviving_amounts(batches, wanted)) {
    utility += outcome.probability * std::min(1.0, outcome.amount / wanted);
  }
  return utility;
}

Amounts expected_utilities(const std::vector<PoolOffer>& pools,
                           const std::vector<std::vector<double>>& price_correlation, double gamma,
                           const Amounts& wanted) {
  Amounts values{};
  for (std::size_t kind = 0; kind < kResourceKinds; ++kind) {
    const std::vector<double> probabilities =
        reclaim_probabilities(pools, price_correlation, gamma, kind);
    std::vector<PoolBatch> batches;
    for (std::size_t i = 0; i < pools.size(); ++i) {
      batches.push_back({pools[i].held_amounts[kind], probabilities[i]});
    }
    values[kind] = expected_utility(batches, wanted[kind]);
  }
  return values;
}

std::vector<Purchase> choose_purchases(std::vector<PoolOffer>& pools,
                                       const std::vector<std::vector<double>>& price_correlation,
                                       const Amounts& wanted,
                                       const TributaryParameters& parameters) {
  std::vector<Purchase> purchases;
  const auto add_machines = [](PoolOffer pool, int machines) {
    for (std::size_t kind = 0; kind < kResourceKinds; ++kind) {
      pool.held_amounts[kind] += machines * pool.amounts_per_machine[kind];
    }
    pool.machines += machines;
    pool.max_new_machines -= machines;
    return pool;
  };
  // The sum, over all kinds of resources, of how far the utility is below the target.
  const auto unmet = [&](const Amounts& values) {
    double sum = 0;
    for (const double value : values) sum += std::min(value, parameters.target_utility);
    return kResourceKinds * parameters.target_utility - sum;
  };
  Amounts values = expected_utilities(pools, price_correlation, parameters.gamma, wanted);
  while (unmet(values) > 1e-9) {
    double best_score = -1;
    Purchase best;
    Amounts best_values{};
    double cost = 0;
    for (const PoolOffer& pool : pools)
      cost += pool.hourly_price * pool.machines * parameters.horizon_s / 3600;
    for (std::size_t i = 0; i < pools.size(); ++i) {
      int machines = 0;
      for (std::size_t kind = 0; kind < kResourceKinds; ++kind) {
        if (values[kind] >= parameters.target_utility || pools[i].amounts_per_machine[kind] <= 0)
          continue;
        const double missing = wanted[kind] * (1 - values[kind]);
        machines = std::max(
            machines,
            static_cast<int>(std::ceil(missing / pools[i].amounts_per_machine[kind] - 1e-9)));
      }
      machines = std::min(machines, pools[i].max_new_machines);
      if (machines <= 0) continue;
      const PoolOffer before = pools[i];
      pools[i] = add_machines(before, machines);
      const Amounts after = expected_utilities(pools, price_correlation, parameters.gamma, wanted);
      pools[i] = before;
      if (unmet(after) >= unmet(values) - 1e-9) continue;
      const double total = cost + before.hourly_price * machines * parameters.horizon_s / 3600;
      double utility = 0;
      for (const double value : after) utility += value / kResourceKinds;
      const double score = utility / std::max(total, 1e-9);
      if (score > best_score) {
        best_score = score;
        best = {i, machines};
        best_values = after;
      }
    }
    if (best_score < 0) break;
    pools[best.pool] = add_machines(pools[best.pool], best.machines);
    purchases.push_back(best);
    values = best_values;
  }
  return purchases;
}

}  // namespace reachramp::acquire
