// How many changes a second the leader may write to the key-value store. The operators may announce
// a lower limit that comes into force without notice; it is recognised by refusals for the rate.
#pragma once

#include <vector>

#include "kv/token_bucket.h"
#include "settings/settings.h"

namespace reachramp::controller {

class WriteBudget {
 public:
  WriteBudget(const settings::StoreLimits& limits, const settings::StoreLimits& announced);

  void consume(std::size_t writes, double now) { bucket_.take(static_cast<double>(writes), now); }
  int available(double now) { return static_cast<int>(bucket_.available(now)); }
  // Enough is left for records that nothing depends on.
  bool allows_optional_writes(double now);
  // So many transactions were refused for their rate.
  void note_throttled(int count, double now);

 private:
  double write_rps_;
  double announced_write_rps_;
  kv::TokenBucket bucket_;
  std::vector<double> throttled_at_;
  bool uses_announced_rate_ = false;
};

}  // namespace reachramp::controller
