// Time as the decisions of this process see it: seconds of the steady clock, which no one sets back
// or forward; and pauses that don't march in step with those of other nodes. Any thread may call.
#pragma once

#include <chrono>
#include <random>

namespace reachramp::kv {

// Seconds since an arbitrary start, never negative. Only differences within one process mean
// anything: two nodes' clocks share neither start nor, by up to 0.05%, rate (PROTOCOL).
inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// A random pause between half and one and a half times `seconds`, so that nodes that failed at the
// same moment don't retry at the same moment.
inline std::chrono::duration<double> jittered(double seconds) {
  thread_local std::minstd_rand random(std::random_device{}());
  return std::chrono::duration<double>(
      std::uniform_real_distribution<double>(0.5 * seconds, 1.5 * seconds)(random));
}

}  // namespace reachramp::kv
