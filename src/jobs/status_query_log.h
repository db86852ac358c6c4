// Statistics of users' status queries, logged every few seconds while some go without an answer.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace reachramp::jobs {

// Why a status query got no answer.
enum class UnansweredReason {
  timed_out,          // the rate limit allowed no request in time, or the response came too late
  store_unavailable,  // the store did not answer, or its response did not settle the job's state
};

// Counters since the process began.
struct StatusQueryCounts {
  std::uint64_t received = 0;
  std::uint64_t answered_from_cache = 0;         // the cached state is final
  std::uint64_t answered_by_comparison = 0;      // the cached header was confirmed as current
  std::uint64_t answered_by_read = 0;            // the job's record was read
  std::uint64_t answered_from_dependencies = 0;  // the job waits for others
  std::uint64_t timed_out = 0;
  std::uint64_t store_unavailable = 0;
  std::uint64_t comparisons = 0;          // transactions that compare cached headers with the store
  std::uint64_t conflicts = 0;            // of these, how many found a header changed
  std::uint64_t conflicting_keys = 0;     // changed headers that the store named
  std::uint64_t reads = 0;                // jobs read, each with one or two requests
  std::uint64_t dependency_requests = 0;  // for the dependencies of live jobs
};

// Counts status queries and how they end, and tracks which jobs wait for an answer. Not
// thread-safe.
class StatusQueryLog {
 public:
  // Updated by the owner as well. Each log line shows the differences to the line before.
  StatusQueryCounts counts;

  // Counts a query about the job, which waits for an answer from now on.
  void record_query(const std::string& id, double now);
  // The job no longer waits for an answer.
  void record_answered(const std::string& id);
  // Counts a query that ends without an answer; its job goes on waiting for one.
  void record_unanswered(UnansweredReason reason);

  // Since when users have asked about the job without an answer; `now` if they have not.
  double unanswered_since(const std::string& id, double now) const;

  // Logs the counters if the last time is long enough ago and a query has since gone unanswered.
  void log_if_due(double now);

 private:
  struct UnansweredJob {
    double since = 0;
    double last_queried_at = 0;
  };
  // Forgets jobs that no user has asked about for a while.
  void drop_inactive_jobs(double now);
  double longest_wait_s(double now) const;

  std::unordered_map<std::string, UnansweredJob> unanswered_jobs_;
  StatusQueryCounts last_logged_counts_;
  double last_logged_at_ = 0;
};

}  // namespace reachramp::jobs
