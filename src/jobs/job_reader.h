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
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/lookup.h"
#include "jobs/status_query_log.h"
#include "jobs/status_query_queue.h"
#include "kv/client.h"

namespace reachramp::jobs {

// Reads jobs, batches status queries within a request rate, and caches what was read. Thread-safe.
class JobReader {
 public:
  // `rps`: requests per second that status queries may use. `max_preconditions`: the store's limit
  // per transaction. `cancelled_is_final`: whether a cached header that is cancelled answers
  // queries without a request, as a stored final state always does.
  JobReader(kv::Client& store, double rps, std::size_t max_preconditions,
            bool cancelled_is_final = true);

  // Reads the job at once, outside the rate for status queries.
  Lookup read(const std::string& id);
  // Answers a status query, with a request that it may share with other waiting queries. Blocks for
  // up to about a second; undetermined if no request answered it in that time.
  Lookup read_batched(const std::string& id);
  // Caches a header that was just stored with this revision, so that the next query about the job
  // needs a comparison only.
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

  // The functions down to wake_front are called under the lock.
  std::vector<QueryPtr> take_batch();
  bool can_be_compared(const StatusQuery& query) const;
  void handle_conflict(const std::vector<Comparison>& comparisons,
                       const std::vector<std::string>& conflicting_keys);
  // Ends the query with an answer and counts it once per waiter under `counter`.
  void complete(StatusQuery& query, Lookup lookup, std::uint64_t StatusQueryCounts::*counter);
  // Ends the query without an answer because the store gave none.
  void complete_unanswered(StatusQuery& query);
  // Wakes the first query's waiters, one of which sends the next request.
  void wake_front();

  // Caches the lookup unless a newer or a final one is cached.
  void cache(const std::string& id, const Lookup& lookup);
  // Whether the answer to status queries about the job can no longer change.
  bool is_final(const Lookup& lookup) const;

  kv::Client& store_;
  const std::size_t max_batch_size_;
  const bool cancelled_is_final_;
  std::mutex mutex_;  // guards all below
  kv::TokenBucket token_bucket_;
  StatusQueryLog query_log_;
  StatusQueryQueue queue_;
  int active_requests_ = 0;  // requests under way, each by a thread of its own
  std::unordered_map<std::string, CachedLookup> cache_;
  std::deque<std::string> cache_order_;  // order of insertion, the oldest first
};

}  // namespace reachramp::jobs
