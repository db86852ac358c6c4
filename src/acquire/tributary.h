// The Tributary algorithm for renting spot machines: reclaim probabilities, the distribution of the
// resources that survive reclaims, its expected utility, and a greedy choice of pools. The formulas
// and their source are in docs/design.md; V there is the expected utility, beta the observed
// reclaim probability of a pool, and lambda a penalty for pools whose prices correlate.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace reachramp::acquire {

inline constexpr std::size_t kResourceKinds = 3;
// Amounts of cores, GPUs and memory, in this order.
using Amounts = std::array<double, kResourceKinds>;

// A pool from which machines can be rented.
struct PoolOffer {
  Amounts held_amounts{};          // resources of the pool's current machines
  Amounts amounts_per_machine{};   // resources that one more machine adds
  double reclaim_probability = 0;  // observed, per horizon
  double hourly_price = 0;         // of one machine
  int machines = 0;                // current ones
  int max_new_machines = 0;        // how many more may be requested
};

// A number of machines to rent from one pool.
struct Purchase {
  std::size_t pool = 0;  // index in the list of pools
  int machines = 0;
};

// The Pearson correlation of two series; 0 if either does not vary or has fewer than three values.
double pearson(const std::vector<double>& xs, const std::vector<double>& ys);

// The reclaim probability of each pool for one kind of resource: the observed probability plus the
// penalty for correlated pools, weighted with `gamma`, limited to 0..1.
std::vector<double> reclaim_probabilities(const std::vector<PoolOffer>& pools,
                                          const std::vector<std::vector<double>>& price_correlation,
                                          double gamma, std::size_t kind);

// The amount of one resource in one pool. The model assumes that a pool is reclaimed as a whole.
struct PoolBatch {
  double amount = 0;
  double reclaim_probability = 0;
};

// An amount that survives reclaims, and its probability.
struct Outcome {
  double amount = 0;
  double probability = 0;
};

// The probability distribution of the total amount that survives reclaims, by ascending amount.
// Amounts above `cap` count as `cap`.
std::vector<Outcome> surviving_amounts(const std::vector<PoolBatch>& batches, double cap);

// The expected value of min(1, r / wanted), where r is the surviving amount; 1 if nothing is
// wanted.
double expected_utility(const std::vector<PoolBatch>& batches, double wanted);

// The expected utility for each kind of resource.
Amounts expected_utilities(const std::vector<PoolOffer>& pools,
                           const std::vector<std::vector<double>>& price_correlation, double gamma,
                           const Amounts& wanted);

// Settings of the algorithm: the expected utility to reach, the weight of price correlations, and
// the time over which reclaims are considered.
struct TributaryParameters {
  double target_utility = 0.95;
  double gamma = 0.01;
  double horizon_s = 60;
};

// Chooses machines to rent. As long as the expected utility of some resource is below the target,
// adds machines of one pool for the missing amount: of the pool with the highest utility per cost.
// Adds the chosen machines to `pools`.
std::vector<Purchase> choose_purchases(std::vector<PoolOffer>& pools,
                                       const std::vector<std::vector<double>>& price_correlation,
                                       const Amounts& wanted,
                                       const TributaryParameters& parameters);

}  // namespace reachramp::acquire
