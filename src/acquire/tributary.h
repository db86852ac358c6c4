// Tributary's figures: reclaim chances, surviving amounts, expected utility and the greedy choice.
// See docs/design.md for the formulas and where they come from.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace reachramp::acquire {

// Cores, GPUs, memory.
inline constexpr std::size_t kResourceKinds = 3;
using Amounts = std::array<double, kResourceKinds>;

// One pool as the choice sees it.
struct PoolOffer {
  Amounts held_amounts{};          // what its machines give
  Amounts amounts_per_machine{};   // what one more gives
  double reclaim_probability = 0;  // observed reclaim chance per horizon
  double hourly_price = 0;         // per machine and hour
  int machines = 0;
  int max_new_machines = 0;  // how many more may be asked for
};

struct Purchase {
  std::size_t pool = 0;
  int machines = 0;
};

// Correlation of two series of equal length; 0 where it is not defined.
double pearson(const std::vector<double>& xs, const std::vector<double>& ys);

// min(1, beta + lambda) of each pool for one kind. `rho` is the correlation matrix.
std::vector<double> reclaim_probabilities(const std::vector<PoolOffer>& pools,
                                          const std::vector<std::vector<double>>& rho, double gamma,
                                          std::size_t kind);

struct PoolBatch {
  double amount = 0;
  double reclaim_probability = 0;  // of being reclaimed, whole
};

struct Outcome {
  double amount = 0;
  double probability = 0;
};

// P(R = r), folded pool by pool; ascending amounts. Amounts above `enough` count as `enough`.
std::vector<Outcome> surviving_amounts(const std::vector<PoolBatch>& shares, double enough);

// Sum of P(R = r) * min(1, r / wanted); 1 if nothing is wanted.
double expected_utility(const std::vector<PoolBatch>& shares, double wanted);

// V for each kind.
Amounts expected_utilities(const std::vector<PoolOffer>& pools,
                           const std::vector<std::vector<double>>& rho, double gamma,
                           const Amounts& wanted);

struct TributaryParameters {
  double target_utility = 0.95;
  double gamma = 0.01;
  double horizon_s = 60;
};

// Adds, while V is below the target for some kind, the one-pool batch of the missing amount with
// the most V per expected cost. `pools` is updated with what is bought.
std::vector<Purchase> choose_purchases(std::vector<PoolOffer>& pools,
                                       const std::vector<std::vector<double>>& rho,
                                       const Amounts& wanted, const TributaryParameters& terms);

}  // namespace reachramp::acquire
