// Which jobs this process has told users are cancelled. A leader that the key-value store does not
// answer asks all nodes for it, and takes those jobs as cancelled (leadership/read_freshness.h).
#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

namespace reachramp::peers {

class RecentCancellations {
 public:
  struct Since {
    double complete_s = 0;  // so far back all that was told is known
    std::vector<std::string> jobs;
  };

  // Nobody is told anything before `now` (steady seconds). Kept for `keep_s`: whoever asks for more
  // may answer no worker any longer.
  RecentCancellations(double keep_s, double now);

  // Before the user is answered. Whether it is the first time that this process says so.
  bool note(const std::string& job, double now);
  // What was told within so many seconds, and how far back that is complete.
  Since since(double window_s, double now);

 private:
  struct Entry {
    std::string job;
    double at = 0;
  };

  void forget(double now);

  static constexpr std::size_t kMost =
      2000;  // 128 KB at the most; an answer stays within its limit

  const double keep_s_;
  std::mutex mutex_;
  double complete_from_;
  double looked_at_;           // when anybody was told last what is in the list
  std::deque<Entry> entries_;  // the oldest first
  std::unordered_set<std::string> jobs_;
};

}  // namespace reachramp::peers
