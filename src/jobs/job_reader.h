// Looks jobs up in the key-value store with strong reads that concurrent status queries share. Each
// query is answered by a request that was sent after the query arrived, so no answer is older than
// one that any node has given before. Ended and cancelled jobs never change back: once they are
// cached they need no request. Jobs that wait for others are answered for from the dependency
// tracker, whose requests serve all of them together.
//
// Each request serves the job that has been without an answer for longest. If that job's header is
// cached, one transaction without writes compares its revision, and those of other queried jobs
// with cached headers, with the store. If its header is not cached, or known to have changed, or if
// there is no other job to compare, the job is read.
#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dependency_tracker.h"
#include "jobs/lookup.h"
#include "jobs/status_query_log.h"
#include "jobs/status_query_queue.h"
#include "kv/client.h"

namespace reachramp::jobs {

// Limits and rules for a JobReader.
struct JobReaderOptions {
  double rps = 0;                     // requests per second that status queries may use
  std::size_t max_preconditions = 1;  // the store's limit per transaction
  // Whether a cached header that is cancelled answers queries without a request, as a stored final
  // state always does.
  bool cancelled_is_final = true;
  // For how long a job that a submission names counts as not cancelled after it was read.
  double max_dependency_age_s = 15;
  // After how long without an update the dependencies of live jobs are loaded anew.
  double max_dependency_catch_up_s = 15;
};

// Reads jobs, batches status queries within a request rate, and caches what was read. Thread-safe.
class JobReader {
 public:
  JobReader(kv::Client& store, const JobReaderOptions& options);

  // Reads the job at once, outside the rate for status queries and without its dependencies.
  Lookup read(const std::string& id);
  // Answers a status query, with requests that it may share with other waiting queries. Blocks for
  // up to about a second; undetermined if no request answered it in that time. Of a job that waits
  // for others the header may hold no more than its id and that it waits.
  Lookup read_batched(const std::string& id);
  // Whether the waiting job needs a cancelled one. Blocks like read_batched.
  DependencyVerdict check_waiting_job(const std::string& id);
  // Whether one of these live jobs, or one that they need, is cancelled. Blocks like read_batched.
  DependencyVerdict check_dependencies(const std::vector<std::string>& live_jobs);
  // Caches a header that a transaction has stored with this revision, so that the next query about
  // the job needs a comparison only.
  void cache_header(const std::string& id, const Header& header, std::uint64_t revision);

 private:
  using QueryPtr = StatusQueryQueue::QueryPtr;
  struct CachedLookup {
    Lookup lookup;
    // A comparison has shown that the header in the store is newer: the job must be read.
    bool changed_in_store = false;
  };
  // A query with the cached lookup whose revision is compared with the store.
  struct Comparison {
    QueryPtr query;
    Lookup cached;
  };

  // The next three are called without the lock, for queries taken from the queue. Each sends one
  // request, a read up to two.
  void execute_batch(const std::vector<QueryPtr>& batch);
  void answer_by_read(const QueryPtr& query);
  // Answers all queries of the batch if their cached headers are still current.
  void answer_by_comparison(const std::vector<QueryPtr>& batch);

  // Returns the cached lookup if it can no longer change; otherwise the query waits from now on.
  std::optional<Lookup> cached_final(const std::string& id, double asked_at);
  // The lookup of a job that may wait for others, with the verdict on them.
  Lookup look_up(const std::string& id, double asked_at, double deadline);
  // The job's own record, which a request sent after `asked_at` finds.
  Lookup read_own_record(const std::string& id, double asked_at, double deadline);
  // Sends a request for the first queries if the limits allow one now. Otherwise returns for how
  // long the caller, whose own query is this, should wait before it tries again at the latest.
  // Called with the lock held, which it releases while a request is under way.
  std::optional<double> send_request_or_wait(std::unique_lock<std::mutex>& lock,
                                             const QueryPtr& own, double max_wait_s);
  // Takes a request for the dependency tracker out of the rate. Returns 0 if it may be sent now,
  // otherwise after how many seconds to try again.
  double take_dependency_request();

  // The functions down to wake_front are called under the lock.
  std::vector<QueryPtr> take_batch();
  bool can_be_compared(const StatusQuery& query) const;
  void handle_conflict(const std::vector<Comparison>& comparisons,
                       const std::vector<std::string>& conflicting_keys);
  // Ends the query with an answer, which counts under `counter`.
  static void complete(StatusQuery& query, Lookup lookup,
                       std::uint64_t StatusQueryCounts::*counter);
  // Ends the query without an answer because the store gave none.
  static void complete_unanswered(StatusQuery& query);
  // Wakes the first query's waiters, one of which sends the next request.
  void wake_front();

  // Caches the lookup unless a newer or a final one is cached.
  void cache(const std::string& id, const Lookup& lookup);
  // Whether the answer to status queries about the job can no longer change.
  bool is_final(const Lookup& lookup) const;

  kv::Client& store_;
  const std::size_t max_batch_size_;
  const bool cancelled_is_final_;
  const double max_dependency_age_s_;
  DependencyTracker dependency_tracker_;  // has a lock of its own, never taken under `mutex_`
  std::mutex mutex_;                      // guards all below
  kv::TokenBucket token_bucket_;
  StatusQueryLog query_log_;
  StatusQueryQueue queue_;
  int active_requests_ = 0;  // requests under way, each by a thread of its own
  // Whether the last request taken out of the rate was for the dependency tracker: it and the
  // queries take turns.
  bool dependency_request_was_last_ = false;
  std::unordered_map<std::string, CachedLookup> cache_;
  std::deque<std::string> cache_order_;  // order of insertion, the oldest first
};

}  // namespace reachramp::jobs
