#include "controller/cloud_calls.h"

#include <gtest/gtest.h>

namespace reachramp::controller {
namespace {

CloudCall rental(const std::string& name) {
  CloudOrder order;
  order.hire.name = name;
  return {1, order};
}

CloudCall give_back(std::vector<std::string> machines, bool urgent = false) {
  return {1, {CloudOrder::Kind::give_back, {}, std::move(machines), urgent}};
}

// A machine on which a cancelled task may run waits behind nothing: neither rentals, which come
// every second where much is wanted, nor returns for money's sake.
TEST(CloudCalls, UrgentReturnsGoFirstThenRentalsThenOtherReturns) {
  std::deque<CloudCall> waiting{give_back({"n-1"}), rental("r-1"),      give_back({"n-2"}, true),
                                rental("r-2"),      give_back({"n-3"}), give_back({"n-4"}, true)};
  EXPECT_TRUE(has_urgent_call(waiting));
  EXPECT_EQ(take_next_call(waiting).order.machines, (std::vector<std::string>{"n-2", "n-4"}));
  EXPECT_FALSE(has_urgent_call(waiting));
  EXPECT_EQ(take_next_call(waiting).order.hire.name, "r-1");
  EXPECT_EQ(take_next_call(waiting).order.hire.name, "r-2");
  EXPECT_EQ(take_next_call(waiting).order.machines, (std::vector<std::string>{"n-1", "n-3"}));
  EXPECT_TRUE(waiting.empty());
}

TEST(CloudCalls, AReturnNamesNoMoreMachinesThanACallMay) {
  std::deque<CloudCall> waiting;
  for (std::size_t i = 0; i <= cloud::kMostPerReturn; ++i) {
    waiting.push_back(give_back({"n-" + std::to_string(i)}, true));
  }
  EXPECT_EQ(take_next_call(waiting).order.machines.size(), cloud::kMostPerReturn);
  EXPECT_EQ(take_next_call(waiting).order.machines.size(), 1u);
}

}  // namespace
}  // namespace reachramp::controller
