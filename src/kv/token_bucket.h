// A token bucket. It keeps a client below a rate limit that the server enforces; the emulator of
// the server enforces the limit with it.
#pragma once

#include <algorithm>
#include <optional>

namespace reachramp::kv {

// Counts the tokens that are left. They are refilled at a constant rate, up to the size of a burst.
//
// Not safe to share between threads. `now` is in seconds of any clock, the same one in every call;
// the bucket is full at the first call.
class TokenBucket {
 public:
  // `rate`: tokens per second, above 0; `burst`: the most tokens that can accumulate.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  // Takes `amount` tokens and returns 0, or takes none and returns the seconds until they are
  // available. An amount above a burst can be taken once the bucket is full; the rest is a debt
  // that later callers wait for.
  double take(double amount, double now) {
    refill(now);
    const double needed = std::min(amount, burst_);
    // Tokens that come back in small parts add up to slightly less than a whole.
    if (tokens_ + 1e-9 >= needed) {
      tokens_ -= amount;
      return 0;
    }
    return (needed - tokens_) / rate_;
  }

  // How full the bucket is: 1 when full, negative in debt.
  double level(double now) {
    refill(now);
    return tokens_ / burst_;
  }

  // The tokens that are left; negative in debt.
  double available(double now) {
    refill(now);
    return tokens_;
  }

 private:
  void refill(double now) {
    if (refilled_at_) tokens_ = std::min(burst_, tokens_ + (now - *refilled_at_) * rate_);
    refilled_at_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  std::optional<double> refilled_at_;  // none: not used yet
};

}  // namespace reachramp::kv
