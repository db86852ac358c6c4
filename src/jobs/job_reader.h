// Looks jobs up in the key-value store with strong reads that concurrent status queries share. Each
// query is answered by a request that was sent after the query arrived, so no answer is older than
// one that any node has given before. Ended and cancelled jobs never change back: once they are
// cached they need no request.
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

#include "jobs/dependency_check.h"
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
  // For how long a job that others need counts as not cancelled after it was read.
  double max_dependency_age_s = 15;
};

// Reads jobs, batches status queries within a request rate, and caches what was read. Thread-safe.
class JobReader {
 public:
  JobReader(kv::Client& store, const JobReaderOptions& options);

  // Reads the job at once, outside the rate for status queries and without its dependencies.
  Lookup read(const std::string& id);
  // Answers a status query, with requests that it may share with other waiting queries. Blocks for
  // up to about a second; undetermined if no request answered it in that time.
  Lookup read_batched(const std::string& id);
  // Whether one of these jobs, or one that they need, is cancelled. Blocks like read_batched, but
  // comes before status queries.
  DependencyVerdict check_dependencies(const std::vector<std::string>& depends_on);
  // Caches a header that was stored with this revision by a transaction sent at `sent_at`, so that
  // the next query about the job needs a comparison only.
  void cache_header(const std::string& id, const Header& header, std::uint64_t revision,
                    double sent_at);

 private:
  using QueryPtr = StatusQueryQueue::QueryPtr;
  // What one call reads, possibly in several steps.
  struct BatchedRead {
    double unanswered_since = 0;                            // determines its place in the queue
    double deadline = 0;                                    // steady seconds
    std::condition_variable changed{};                      // the calling thread waits for it
    std::unordered_map<std::string, QueryPtr> completed{};  // queries with a determined result
  };
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

  // The next three are called with the lock held, and release it while a request is under way.
  // Reads the jobs. Returns false if the state of one of them was not determined in time.
  bool read_all(std::unique_lock<std::mutex>& lock, BatchedRead& read,
                const std::vector<std::string>& ids);
  // Sends a request for the first queries if the limits allow one now. Otherwise returns for how
  // long the caller, whose own queries are these, should wait before it tries again at the latest.
  std::optional<double> send_request_or_wait(std::unique_lock<std::mutex>& lock,
                                             const std::vector<QueryPtr>& own, double max_wait_s);
  DependencyVerdict check_dependencies(std::unique_lock<std::mutex>& lock, BatchedRead& read,
                                       const std::vector<std::string>& depends_on);

  // The functions down to wake_front are called under the lock.
  // Checks with what this call has read, and with what is cached.
  DependencyCheck check_known_dependencies(const BatchedRead& read,
                                           const std::vector<std::string>& depends_on) const;
  // The jobs to read for a query: the job, and those that it is known to need and that are
  // outdated.
  std::vector<std::string> jobs_to_read(const BatchedRead& read, const std::string& id) const;
  std::vector<QueryPtr> take_batch();
  bool can_be_compared(const StatusQuery& query) const;
  void handle_conflict(const std::vector<Comparison>& comparisons,
                       const std::vector<std::string>& conflicting_keys);
  // Notes that the cached header, if it still has this revision, has been found to be current.
  void note_current(const std::string& id, const Lookup& lookup);
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
  std::mutex mutex_;  // guards all below
  kv::TokenBucket token_bucket_;
  StatusQueryLog query_log_;
  StatusQueryQueue queue_;
  int active_requests_ = 0;  // requests under way, each by a thread of its own
  std::unordered_map<std::string, CachedLookup> cache_;
  std::deque<std::string> cache_order_;  // order of insertion, the oldest first
};

}  // namespace reachramp::jobs
