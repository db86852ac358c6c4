// Limits the rate at which the leader writes to the key-value store. The operators may announce a
// lower limit that takes effect without notice; it is detected by the store's throttling responses.
#pragma once

#include <vector>

#include "kv/token_bucket.h"
#include "settings/settings.h"

namespace reachramp::controller {

// A token bucket for the leader's writes that switches to the announced rate once the store
// enforces it.
class WriteBudget {
 public:
  // The first limits are those in effect; the second are the announced ones that may replace them.
  WriteBudget(const settings::StoreLimits& limits, const settings::StoreLimits& announced);

  // Deducts `writes` from the budget.
  void consume(std::size_t writes, double now) { bucket_.take(static_cast<double>(writes), now); }
  // How many writes the budget allows now; negative if it is overdrawn.
  int available(double now) { return static_cast<int>(bucket_.available(now)); }
  // Whether enough budget is left for writes that nothing depends on, such as status counts.
  bool allows_optional_writes(double now);
  // Notes that the store has throttled requests `count` times. Switches to the announced rate once
  // this has happened often enough.
  void note_throttled(int count, double now);

 private:
  double write_rps_;
  double announced_write_rps_;
  kv::TokenBucket bucket_;
  std::vector<double> throttled_at_;
  bool uses_announced_rate_ = false;
};

}  // namespace reachramp::controller
