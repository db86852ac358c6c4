// The steady clock in seconds, and waits that do not march in step with those of other nodes.
#pragma once

#include <chrono>
#include <random>

namespace reachramp::kv {

inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Between half and one and a half times `seconds`.
inline std::chrono::duration<double> jittered(double seconds) {
  thread_local std::minstd_rand random(std::random_device{}());
  return std::chrono::duration<double>(
      std::uniform_real_distribution<double>(0.5 * seconds, 1.5 * seconds)(random));
}

}  // namespace reachramp::kv
