#include "acquire/tributary.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace reachramp::acquire {
namespace {

// Every subset of pools that may be reclaimed, one by one.
double by_enumeration(const std::vector<PoolBatch>& shares, double wanted) {
  double utility = 0;
  for (std::size_t subset = 0; subset < (1u << shares.size()); ++subset) {
    double probability = 1, amount = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      const bool reclaimed = (subset >> i) & 1;
      probability *= reclaimed ? shares[i].reclaim_probability : 1 - shares[i].reclaim_probability;
      amount += reclaimed ? 0 : shares[i].amount;
    }
    utility += probability * std::min(1.0, amount / wanted);
  }
  return utility;
}

RC_GTEST_PROP(Tributary, FoldedUtilityEqualsTheSumOverAllSubsets, ()) {
  const auto raw =
      *rc::gen::resize(8, rc::gen::container<std::vector<std::pair<int, int>>>(
                              rc::gen::pair(rc::gen::inRange(1, 64), rc::gen::inRange(0, 101))));
  const double wanted = *rc::gen::inRange(1, 200);
  std::vector<PoolBatch> shares;
  for (const auto& [amount, chance] : raw) shares.push_back({double(amount), chance / 100.0});
  const double expected = by_enumeration(shares, wanted);
  RC_ASSERT(std::abs(expected_utility(shares, wanted) - expected) < 1e-9);
}

TEST(Tributary, UtilityByHand) {
  // Two pools of 10 each, wanted 10: all is lost with chance 0.1 * 0.2.
  EXPECT_NEAR(expected_utility({{10, 0.1}, {10, 0.2}}, 10), 0.98, 1e-12);
  // One pool of 5 for 10 wanted.
  EXPECT_NEAR(expected_utility({{5, 0.1}}, 10), 0.45, 1e-12);
  EXPECT_EQ(expected_utility({}, 0), 1);
}

TEST(Tributary, PenaltyByHand) {
  std::vector<PoolOffer> pools(2);
  pools[0].held_amounts = {30, 0, 0};
  pools[0].reclaim_probability = 0.1;
  pools[1].held_amounts = {10, 0, 0};
  pools[1].reclaim_probability = 0.2;
  const std::vector<std::vector<double>> rho{{1, 0.5}, {0.5, 1}};
  const auto chances = reclaim_probabilities(pools, rho, 0.1, 0);
  // lambda_0 = 0.1 * (1 * 60/80 + 0.5 * 40/80); lambda_1 = 0.1 * (0.5 * 40/80 + 1 * 20/80)
  EXPECT_NEAR(chances[0], 0.1 + 0.1, 1e-12);
  EXPECT_NEAR(chances[1], 0.2 + 0.05, 1e-12);
  EXPECT_EQ(reclaim_probabilities(pools, {{0, 0}, {0, 0}}, 0.1, 0)[0], 0.1) << "cold price windows";
}

TEST(Tributary, PearsonByHand) {
  EXPECT_NEAR(pearson({1, 2, 3}, {2, 4, 6}), 1, 1e-12);
  EXPECT_NEAR(pearson({1, 2, 3}, {3, 2, 1}), -1, 1e-12);
  EXPECT_EQ(pearson({1, 1, 1}, {1, 2, 3}), 0) << "a price that does not move";
  EXPECT_EQ(pearson({1, 2}, {1, 2}), 0) << "too short a window";
}

TEST(Tributary, GreedyTakesTheCheaperPoolAndSpreadsForTheTarget) {
  std::vector<PoolOffer> pools(2);
  for (auto& pool : pools) {
    pool.amounts_per_machine = {4, 0, 8};
    pool.reclaim_probability = 0.1;
    pool.max_new_machines = 50;
  }
  pools[0].hourly_price = 0.2;
  pools[1].hourly_price = 0.1;
  const std::vector<std::vector<double>> rho{{0, 0}, {0, 0}};
  const Amounts wanted{16, 0, 16};
  const auto bought = choose_purchases(pools, rho, wanted, {0.95, 0.01, 60});
  ASSERT_FALSE(bought.empty());
  EXPECT_EQ(bought[0].pool, 1u);
  EXPECT_EQ(bought[0].machines, 4);
  for (const double v : expected_utilities(pools, rho, 0.01, wanted)) EXPECT_GE(v, 0.95);
  EXPECT_GT(pools[0].machines, 0) << "one pool that may fall whole cannot reach the target";
}

RC_GTEST_PROP(Tributary, GreedyEndsAndNeverExceedsWhatMayBeAsked, ()) {
  std::vector<PoolOffer> pools(*rc::gen::inRange<std::size_t>(0, 6));
  for (auto& pool : pools) {
    pool.amounts_per_machine = {double(*rc::gen::inRange(0, 9)), 0,
                                double(*rc::gen::inRange(0, 9))};
    pool.reclaim_probability = *rc::gen::inRange(0, 101) / 100.0;
    pool.hourly_price = *rc::gen::inRange(0, 50) / 10.0;
    pool.max_new_machines = *rc::gen::inRange(0, 10);
  }
  const std::vector<std::vector<double>> rho(pools.size(), std::vector<double>(pools.size(), 0.5));
  std::vector<int> limits;
  for (const auto& pool : pools) limits.push_back(pool.max_new_machines);
  choose_purchases(pools, rho, {double(*rc::gen::inRange(0, 99)), 0, 10}, {});
  for (std::size_t i = 0; i < pools.size(); ++i) RC_ASSERT(pools[i].machines <= limits[i]);
}

}  // namespace
}  // namespace reachramp::acquire
