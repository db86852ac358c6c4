#include "controller/write_budget.h"

#include <spdlog/spdlog.h>

#include <cstddef>

namespace reachramp::controller {

namespace {

constexpr double kLeadersShare = 0.85;  // the rest is for users' own writes at other nodes
constexpr double kAmpleLevel = 0.6;
// Fewer could be a burst of users' own writes.
constexpr std::size_t kThrottlesTell = 3;
constexpr double kThrottlesWithin_s = 5;

kv::TokenBucket bucket_for(double write_rps) { return {write_rps * kLeadersShare, write_rps}; }

}  // namespace

WriteBudget::WriteBudget(const settings::StateLimits& limits,
                         const settings::StateLimits& announced)
    : write_rps_(limits.write_rps),
      announced_write_rps_(announced.write_rps),
      bucket_(bucket_for(limits.write_rps)) {}

bool WriteBudget::is_ample(double now) { return bucket_.level(now) > kAmpleLevel; }

void WriteBudget::note_throttled(int times, double now) {
  if (uses_announced_rate_ || announced_write_rps_ >= write_rps_) return;
  throttled_at_.insert(throttled_at_.end(), static_cast<std::size_t>(times), now);
  std::erase_if(throttled_at_, [&](double at) { return now - at > kThrottlesWithin_s; });
  if (throttled_at_.size() < kThrottlesTell) return;
  spdlog::info("the state service takes fewer changes: {} a second", announced_write_rps_);
  uses_announced_rate_ = true;
  bucket_ = bucket_for(announced_write_rps_);
}

}  // namespace reachramp::controller
