#include "controller/write_budget.h"

#include <spdlog/spdlog.h>

#include <cstddef>

namespace reachramp::controller {

namespace {

// The leader's part of the write rate. The rest is left for the writes by which other nodes accept
// and cancel jobs.
constexpr double kLeaderRateFraction = 0.85;
constexpr double kOptionalWritesMinLevel = 0.6;
// The announced rate counts as enforced after this many throttled requests within
// kThrottleWindow_s; fewer could be caused by a burst of submissions or cancellations.
constexpr std::size_t kMinThrottlesForLowerRate = 3;
constexpr double kThrottleWindow_s = 5;

kv::TokenBucket bucket_for(double write_rps) {
  return {write_rps * kLeaderRateFraction, write_rps};
}

}  // namespace

WriteBudget::WriteBudget(const settings::StoreLimits& limits,
                         const settings::StoreLimits& announced)
    : write_rps_(limits.write_rps),
      announced_write_rps_(announced.write_rps),
      bucket_(bucket_for(limits.write_rps)) {}

bool WriteBudget::allows_optional_writes(double now) {
  return bucket_.level(now) > kOptionalWritesMinLevel;
}

void WriteBudget::note_throttled(int count, double now) {
  if (uses_announced_rate_ || announced_write_rps_ >= write_rps_) return;
  throttled_at_.insert(throttled_at_.end(), static_cast<std::size_t>(count), now);
  std::erase_if(throttled_at_, [&](double at) { return now - at > kThrottleWindow_s; });
  if (throttled_at_.size() < kMinThrottlesForLowerRate) return;
  spdlog::info("the key-value store enforces the announced write limit: {} per second",
               announced_write_rps_);
  uses_announced_rate_ = true;
  bucket_ = bucket_for(announced_write_rps_);
}

}  // namespace reachramp::controller
