// The time that all decisions of this process use, in seconds of the steady clock, which nobody
// sets back or forward; and random pauses before retries. Any thread may call.
#pragma once

#include <chrono>
#include <random>

namespace reachramp::kv {

// Returns the seconds since an arbitrary start, never negative. Only differences within one process
// have a meaning: the clocks of two nodes have different starts, and their rates differ by up to
// 0.05% (PROTOCOL).
inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Returns a random duration between half and one and a half times `seconds`, so that nodes that
// failed at the same moment don't retry at the same moment.
inline std::chrono::duration<double> jittered(double seconds) {
  thread_local std::minstd_rand random(std::random_device{}());
  return std::chrono::duration<double>(
      std::uniform_real_distribution<double>(0.5 * seconds, 1.5 * seconds)(random));
}

}  // namespace reachramp::kv
