// A token bucket: keeps a caller under a rate that the other side enforces.
#pragma once

#include <algorithm>

namespace reachramp::kv {

class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  // Seconds until `amount` may be taken; 0 means it has been.
  double take(double amount, double now) {
    refill(now);
    const double want = std::min(amount, burst_);
    if (tokens_ + 1e-9 >= want) {
      tokens_ -= amount;
      return 0;
    }
    return (want - tokens_) / rate_;
  }

  double level(double now) {
    refill(now);
    return tokens_ / burst_;
  }

  double available(double now) {
    refill(now);
    return tokens_;
  }

 private:
  void refill(double now) {
    if (last_ >= 0) tokens_ = std::min(burst_, tokens_ + (now - last_) * rate_);
    last_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  double last_ = -1;
};

}  // namespace reachramp::kv
