#include "placement/service_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace reachramp::placement {
namespace {

bool all_in_time(const std::vector<MachineTimeRequest>& requests, const std::vector<bool>& late,
                 double now) {
  double end = now;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    if (late[i]) continue;
    end += requests[i].duration_s;
    if (end > requests[i].due_at) return false;
  }
  return true;
}

// Compares the number of postponed requests with the minimum over all subsets.
RC_GTEST_PROP(Order, DropsAsFewAsAnyChoiceCould, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(0, 9);
  std::vector<MachineTimeRequest> requests;
  for (std::size_t i = 0; i < count; ++i) {
    requests.push_back(
        {static_cast<double>(*rc::gen::inRange(1, 30)), 100.0 + *rc::gen::inRange(1, 90)});
  }
  std::sort(
      requests.begin(), requests.end(),
      [](const MachineTimeRequest& a, const MachineTimeRequest& b) { return a.due_at < b.due_at; });
  const std::vector<bool> late = select_late_requests(requests, 100);
  RC_ASSERT(all_in_time(requests, late, 100));
  std::size_t minimum = count;
  for (unsigned subset = 0; subset < (1u << count); ++subset) {
    std::vector<bool> postponed(count);
    for (std::size_t i = 0; i < count; ++i) postponed[i] = (subset >> i & 1) != 0;
    if (!all_in_time(requests, postponed, 100)) continue;
    minimum = std::min<std::size_t>(minimum, std::count(postponed.begin(), postponed.end(), true));
  }
  RC_ASSERT(std::size_t(std::count(late.begin(), late.end(), true)) == minimum);
}

}  // namespace
}  // namespace reachramp::placement
