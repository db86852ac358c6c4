#include "peers/recent_cancellations.h"

#include <algorithm>

namespace reachramp::peers {

RecentCancellations::RecentCancellations(double keep_s, double now)
    : keep_s_(keep_s), complete_from_(now), looked_at_(now) {}

void RecentCancellations::forget(double now) {
  while (!entries_.empty() && (entries_.size() > kMost || now - entries_.front().at > keep_s_)) {
    complete_from_ = entries_.front().at;
    jobs_.erase(entries_.front().job);
    entries_.pop_front();
  }
}

// Told again it keeps its first moment: whoever has heard this process up to then knows of it. A
// thread that took the time before a look at the list, and comes after it, counts as after it.
bool RecentCancellations::note(const std::string& job, double now) {
  const std::lock_guard lock(mutex_);
  if (!jobs_.insert(job).second) return false;
  looked_at_ = std::max(looked_at_, now);
  entries_.push_back({job, looked_at_});
  forget(now);
  return true;
}

RecentCancellations::Since RecentCancellations::since(double window_s, double now) {
  const std::lock_guard lock(mutex_);
  forget(now);
  looked_at_ = std::max(looked_at_, now);
  Since told;
  told.complete_s = now - complete_from_;
  for (auto entry = entries_.rbegin(); entry != entries_.rend() && now - entry->at <= window_s;
       ++entry) {
    told.jobs.push_back(entry->job);
  }
  return told;
}

}  // namespace reachramp::peers
