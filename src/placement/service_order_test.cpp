#include "placement/service_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace reachramp::placement {
namespace {

bool all_in_time(const std::vector<MachineTimeRequest>& claims, const std::vector<bool>& dropped,
                 double now) {
  double end = now;
  for (std::size_t i = 0; i < claims.size(); ++i) {
    if (dropped[i]) continue;
    end += claims[i].duration_s;
    if (end > claims[i].due_at) return false;
  }
  return true;
}

// Against every choice there is.
RC_GTEST_PROP(Order, DropsAsFewAsAnyChoiceCould, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(0, 9);
  std::vector<MachineTimeRequest> claims;
  for (std::size_t i = 0; i < count; ++i) {
    claims.push_back(
        {static_cast<double>(*rc::gen::inRange(1, 30)), 100.0 + *rc::gen::inRange(1, 90)});
  }
  std::sort(
      claims.begin(), claims.end(),
      [](const MachineTimeRequest& a, const MachineTimeRequest& b) { return a.due_at < b.due_at; });
  const std::vector<bool> dropped = select_late_requests(claims, 100);
  RC_ASSERT(all_in_time(claims, dropped, 100));
  std::size_t least = count;
  for (unsigned choice = 0; choice < (1u << count); ++choice) {
    std::vector<bool> without(count);
    for (std::size_t i = 0; i < count; ++i) without[i] = (choice >> i & 1) != 0;
    if (!all_in_time(claims, without, 100)) continue;
    least = std::min<std::size_t>(least, std::count(without.begin(), without.end(), true));
  }
  RC_ASSERT(std::size_t(std::count(dropped.begin(), dropped.end(), true)) == least);
}

}  // namespace
}  // namespace reachramp::placement
