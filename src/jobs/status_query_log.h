// Counts what becomes of users' questions, and tells it in one log line every few seconds while
// some get no answer.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace reachramp::jobs {

// Why a question got no answer.
enum class UnansweredReason {
  timed_out,          // no request could be spent on it, or its response came too late
  store_unavailable,  // the store did not answer, or not for certain
};

struct StatusQueryCounts {
  std::uint64_t received = 0;
  std::uint64_t answered_from_cache = 0;     // answered from memory: the job has ended
  std::uint64_t answered_by_comparison = 0;  // answered by a comparison
  std::uint64_t answered_by_read = 0;        // answered by a read of its own
  std::uint64_t timed_out = 0;
  std::uint64_t store_unavailable = 0;
  std::uint64_t comparisons = 0;       // requests
  std::uint64_t conflicts = 0;         // of these: something differed
  std::uint64_t conflicting_keys = 0;  // keys that conflicts named
  std::uint64_t reads = 0;             // jobs read, by one or two requests
};

// Not safe to share between threads.
class StatusQueryLog {
 public:
  // Adds to this what happens; the line tells the difference to the last one.
  StatusQueryCounts counts;

  void record_query(const std::string& id, double now);
  void record_answered(const std::string& id);
  void record_unanswered(UnansweredReason reason);

  // Since when the job has been asked about without an answer; `now` if it has not.
  double unanswered_since(const std::string& id, double now) const;

  // Logs if it is time to.
  void log_if_due(double now);

 private:
  struct UnansweredJob {
    double since = 0;
    double last_queried_at = 0;
  };
  void drop_inactive_jobs(double now);
  double longest_wait_s(double now) const;

  std::unordered_map<std::string, UnansweredJob> unanswered_jobs_;
  StatusQueryCounts last_logged_counts_;
  double last_logged_at_ = 0;
};

}  // namespace reachramp::jobs
