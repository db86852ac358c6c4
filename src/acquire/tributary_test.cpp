#include "acquire/tributary.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace reachramp::acquire {
namespace {

// The expected utility, computed as the sum over all subsets of reclaimed pools.
double by_enumeration(const std::vector<PoolBatch>& batches, double wanted) {
  double utility = 0;
  for (std::size_t subset = 0; subset < (1u << batches.size()); ++subset) {
    double probability = 1, amount = 0;
    for (std::size_t i = 0; i < batches.size(); ++i) {
      const bool reclaimed = (subset >> i) & 1;
      probability *=
          reclaimed ? batches[i].reclaim_probability : 1 - batches[i].reclaim_probability;
      amount += reclaimed ? 0 : batches[i].amount;
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
  std::vector<PoolBatch> batches;
  for (const auto& [amount, chance] : raw) batches.push_back({double(amount), chance / 100.0});
  const double expected = by_enumeration(batches, wanted);
  RC_ASSERT(std::abs(expected_utility(batches, wanted) - expected) < 1e-9);
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
  const std::vector<std::vector<double>> price_correlation{{1, 0.5}, {0.5, 1}};
  const auto chances = reclaim_probabilities(pools, price_correlation, 0.1, 0);
  // lambda_0 = 0.1 * (1 * 60/80 + 0.5 * 40/80); lambda_1 = 0.1 * (0.5 * 40/80 + 1 * 20/80)
  EXPECT_NEAR(chances[0], 0.1 + 0.1, 1e-12);
  EXPECT_NEAR(chances[1], 0.2 + 0.05, 1e-12);
  EXPECT_EQ(reclaim_probabilities(pools, {{0, 0}, {0, 0}}, 0.1, 0)[0], 0.1)
      << "no correlation is known yet";
}

TEST(Tributary, PearsonByHand) {
  EXPECT_NEAR(pearson({1, 2, 3}, {2, 4, 6}), 1, 1e-12);
  EXPECT_NEAR(pearson({1, 2, 3}, {3, 2, 1}), -1, 1e-12);
  EXPECT_EQ(pearson({1, 1, 1}, {1, 2, 3}), 0) << "a price that does not vary";
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
  const std::vector<std::vector<double>> price_correlation{{0, 0}, {0, 0}};
  const Amounts wanted{16, 0, 16};
  const auto purchases = choose_purchases(pools, price_correlation, wanted, {0.95, 0.01, 60});
  ASSERT_FALSE(purchases.empty());
  EXPECT_EQ(purchases[0].pool, 1u);
  EXPECT_EQ(purchases[0].machines, 4);
  for (const double v : expected_utilities(pools, price_correlation, 0.01, wanted))
    EXPECT_GE(v, 0.95);
  EXPECT_GT(pools[0].machines, 0) << "a single pool, reclaimed as a whole, cannot reach the target";
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
  const std::vector<std::vector<double>> price_correlation(pools.size(),
                                                           std::vector<double>(pools.size(), 0.5));
  std::vector<int> limits;
  for (const auto& pool : pools) limits.push_back(pool.max_new_machines);
  choose_purchases(pools, price_correlation, {double(*rc::gen::inRange(0, 99)), 0, 10}, {});
  for (std::size_t i = 0; i < pools.size(); ++i) RC_ASSERT(pools[i].machines <= limits[i]);
}

}  // namespace
}  // namespace reachramp::acquire
