// The jobs that this process has recently confirmed to users as cancelled. A leader that the
// key-value store does not answer asks all nodes for these and treats the jobs as cancelled
// (leadership/read_freshness.h).
#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

namespace reachramp::peers {

// A bounded list of confirmed cancellations. Thread-safe. Times are seconds of the steady clock.
class RecentCancellations {
 public:
  // The jobs confirmed as cancelled within a window.
  struct Confirmed {
    double covered_s = 0;  // the list is complete for this many seconds back
    std::vector<std::string> jobs;
  };

  // `now`: the current time, before which this process has confirmed no cancellation. Entries are
  // dropped after `retention_s`: a leader that needs older ones may not answer workers any more in
  // any case.
  RecentCancellations(double retention_s, double now);

  // To be called before the response to the user is sent. Returns whether the job is new in the
  // list.
  bool record(const std::string& job, double now);
  // The jobs confirmed within the last `window_s` seconds.
  Confirmed confirmed_within(double window_s, double now);

 private:
  struct Entry {
    std::string job;
    double confirmed_at = 0;
  };

  // Drops entries that are older than the retention time or exceed the maximum number.
  void drop_expired(double now);

  // 128 KB at most, so that a response that lists all of them stays within the size limit.
  static constexpr std::size_t kMaxRecentCancellations = 2000;

  const double retention_s_;
  std::mutex mutex_;
  double covered_since_;       // all entries confirmed after this time are kept
  double last_read_at_;        // when the list was last returned to a caller
  std::deque<Entry> entries_;  // the oldest first
  std::unordered_set<std::string> jobs_;
};

}  // namespace reachramp::peers
