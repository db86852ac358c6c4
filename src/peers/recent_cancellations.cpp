#include "peers/recent_cancellations.h"

#include <algorithm>

namespace reachramp::peers {

RecentCancellations::RecentCancellations(double retention_s, double now)
    : retention_s_(retention_s), covered_since_(now), last_read_at_(now) {}

void RecentCancellations::drop_expired(double now) {
  while (!entries_.empty() && (entries_.size() > kMaxRecentCancellations ||
                               now - entries_.front().confirmed_at > retention_s_)) {
    covered_since_ = entries_.front().confirmed_at;
    jobs_.erase(entries_.front().job);
    entries_.pop_front();
  }
}

// A job that is confirmed again keeps its first time: callers that have read the list since then
// know of it. If another thread read the list after this one took its `now` and before it got the
// lock, the entry is dated to that read, so that the next window, which begins there, includes it.
bool RecentCancellations::record(const std::string& job, double now) {
  const std::lock_guard lock(mutex_);
  if (!jobs_.insert(job).second) return false;
  last_read_at_ = std::max(last_read_at_, now);
  entries_.push_back({job, last_read_at_});
  drop_expired(now);
  return true;
}

RecentCancellations::Confirmed RecentCancellations::confirmed_within(double window_s, double now) {
  const std::lock_guard lock(mutex_);
  drop_expired(now);
  last_read_at_ = std::max(last_read_at_, now);
  Confirmed confirmed;
  confirmed.covered_s = now - covered_since_;
  for (auto entry = entries_.rbegin();
       entry != entries_.rend() && now - entry->confirmed_at <= window_s; ++entry) {
    confirmed.jobs.push_back(entry->job);
  }
  return confirmed;
}

}  // namespace reachramp::peers
