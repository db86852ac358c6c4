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
  struct Confirmed {
    double covered_s = 0;  // so far back all that was told is known
    std::vector<std::string> jobs;
  };

  // Nobody is told anything before `now` (steady seconds). Kept for `keep_s`: whoever asks for more
  // may answer no worker any longer.
  RecentCancellations(double retention_s, double now);

  // Before the user is answered. Whether it is the first time that this process says so.
  bool record(const std::string& job, double now);
  // What was told within so many seconds, and how far back that is complete.
  Confirmed confirmed_within(double window_s, double now);

 private:
  struct Entry {
    std::string job;
    double confirmed_at = 0;
  };

  void drop_expired(double now);

  static constexpr std::size_t kMaxRecentCancellations =
      2000;  // 128 KB at the most; an answer stays within its limit

  const double retention_s_;
  std::mutex mutex_;
  double covered_since_;
  double last_read_at_;        // when anybody was told last what is in the list
  std::deque<Entry> entries_;  // the oldest first
  std::unordered_set<std::string> jobs_;
};

}  // namespace reachramp::peers
