#include "jobs/status_query_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace reachramp::jobs {

namespace {

constexpr double kStatusQueryLogInterval_s = 5;
// Users poll about every 5 s: a job that nobody has asked about for this long has no waiting users.
constexpr double kInactiveJobAfter_s = 30;
constexpr std::size_t kMaxUnansweredJobs = 20'000;

}  // namespace

void StatusQueryLog::record_query(const std::string& id, double now) {
  ++counts.received;
  const auto at = unanswered_jobs_.find(id);
  if (at != unanswered_jobs_.end()) {
    at->second.last_queried_at = now;
  } else if (unanswered_jobs_.size() < kMaxUnansweredJobs) {
    unanswered_jobs_[id] = {now, now};
  }
}

void StatusQueryLog::record_answered(const std::string& id) { unanswered_jobs_.erase(id); }

void StatusQueryLog::record_unanswered(UnansweredReason reason) {
  switch (reason) {
    case UnansweredReason::timed_out:
      ++counts.timed_out;
      break;
    case UnansweredReason::store_unavailable:
      ++counts.store_unavailable;
      break;
  }
}

double StatusQueryLog::unanswered_since(const std::string& id, double now) const {
  const auto at = unanswered_jobs_.find(id);
  return at == unanswered_jobs_.end() ? now : at->second.since;
}

void StatusQueryLog::drop_inactive_jobs(double now) {
  std::erase_if(unanswered_jobs_, [&](const auto& entry) {
    return now - entry.second.last_queried_at > kInactiveJobAfter_s;
  });
}

double StatusQueryLog::longest_wait_s(double now) const {
  double longest = 0;
  for (const auto& [id, unanswered] : unanswered_jobs_) {
    longest = std::max(longest, now - unanswered.since);
  }
  return longest;
}

void StatusQueryLog::log_if_due(double now) {
  if (now - last_logged_at_ < kStatusQueryLogInterval_s) return;
  drop_inactive_jobs(now);
  const StatusQueryCounts& before = last_logged_counts_;
  const std::uint64_t unanswered_queries =
      counts.timed_out + counts.store_unavailable - before.timed_out - before.store_unavailable;
  if (unanswered_queries > 0) {
    spdlog::info(
        "status queries: {} received; answered: {} from the cache, {} by comparison, {} by read, "
        "{} from "
        "dependencies; "
        "unanswered: {} timed out, {} store unavailable; {} comparisons, {} conflicts with {} "
        "changed headers, {} reads, {} requests for dependencies; {} jobs wait, the longest for "
        "{:.1f} s",
        counts.received - before.received, counts.answered_from_cache - before.answered_from_cache,
        counts.answered_by_comparison - before.answered_by_comparison,
        counts.answered_by_read - before.answered_by_read,
        counts.answered_from_dependencies - before.answered_from_dependencies,
        counts.timed_out - before.timed_out, counts.store_unavailable - before.store_unavailable,
        counts.comparisons - before.comparisons, counts.conflicts - before.conflicts,
        counts.conflicting_keys - before.conflicting_keys, counts.reads - before.reads,
        counts.dependency_requests - before.dependency_requests, unanswered_jobs_.size(),
        longest_wait_s(now));
  }
  last_logged_counts_ = counts;
  last_logged_at_ = now;
}

}  // namespace reachramp::jobs
