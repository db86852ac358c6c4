#include "controller/cloud_requests.h"

#include <gtest/gtest.h>

namespace reachramp::controller {
namespace {

QueuedCloudRequest rent_request(const std::string& name) {
  CloudRequest request;
  request.scale_out.name = name;
  return {1, request};
}

QueuedCloudRequest return_request(std::vector<std::string> machines, bool urgent = false) {
  return {1, {CloudRequest::Kind::scale_in, {}, std::move(machines), urgent}};
}

// The return of a machine on which a cancelled task may run must not wait behind rentals, which
// come every second under high demand, nor behind returns that only save cost.
TEST(CloudRequests, UrgentReturnsGoFirstThenRentalsThenOtherReturns) {
  std::deque<QueuedCloudRequest> waiting{
      return_request({"n-1"}), rent_request("r-1"),     return_request({"n-2"}, true),
      rent_request("r-2"),     return_request({"n-3"}), return_request({"n-4"}, true)};
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

TEST(CloudRequests, AReturnNamesAtMostAsManyMachinesAsACallMay) {
  std::deque<QueuedCloudRequest> waiting;
  for (std::size_t i = 0; i <= cloud::kMaxMachinesPerReturn; ++i) {
    waiting.push_back(return_request({"n-" + std::to_string(i)}, true));
  }
  EXPECT_EQ(take_next_request(waiting).request.scale_in_machines.size(),
            cloud::kMaxMachinesPerReturn);
  EXPECT_EQ(take_next_request(waiting).request.scale_in_machines.size(), 1u);
}

}  // namespace
}  // namespace reachramp::controller
