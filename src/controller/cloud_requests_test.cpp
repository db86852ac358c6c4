#include "controller/cloud_requests.h"

#include <gtest/gtest.h>

namespace reachramp::controller {
namespace {

QueuedCloudRequest rental(const std::string& name) {
  CloudRequest order;
  order.scale_out.name = name;
  return {1, order};
}

QueuedCloudRequest give_back(std::vector<std::string> machines, bool urgent = false) {
  return {1, {CloudRequest::Kind::scale_in, {}, std::move(machines), urgent}};
}

// A machine on which a cancelled task may run waits behind nothing: neither rentals, which come
// every second where much is wanted, nor returns for money's sake.
TEST(CloudCalls, UrgentReturnsGoFirstThenRentalsThenOtherReturns) {
  std::deque<QueuedCloudRequest> waiting{give_back({"n-1"}),       rental("r-1"),
                                         give_back({"n-2"}, true), rental("r-2"),
                                         give_back({"n-3"}),       give_back({"n-4"}, true)};
  EXPECT_TRUE(has_urgent_request(waiting));
  EXPECT_EQ(take_next_request(waiting).request.scale_in_machines,
            (std::vector<std::string>{"n-2", "n-4"}));
  EXPECT_FALSE(has_urgent_request(waiting));
  EXPECT_EQ(take_next_request(waiting).request.scale_out.name, "r-1");
  EXPECT_EQ(take_next_request(waiting).request.scale_out.name, "r-2");
  EXPECT_EQ(take_next_request(waiting).request.scale_in_machines,
            (std::vector<std::string>{"n-1", "n-3"}));
  EXPECT_TRUE(waiting.empty());
}

TEST(CloudCalls, AReturnNamesNoMoreMachinesThanACallMay) {
  std::deque<QueuedCloudRequest> waiting;
  for (std::size_t i = 0; i <= cloud::kMaxMachinesPerReturn; ++i) {
    waiting.push_back(give_back({"n-" + std::to_string(i)}, true));
  }
  EXPECT_EQ(take_next_request(waiting).request.scale_in_machines.size(),
            cloud::kMaxMachinesPerReturn);
  EXPECT_EQ(take_next_request(waiting).request.scale_in_machines.size(), 1u);
}

}  // namespace
}  // namespace reachramp::controller
