// What the key-value store holds of a job, by strong reads that users who ask at the same time
// share. Each question is answered by a read that was sent after it came, so no answer is older
// than any that a node has given. Ended and cancelled jobs stay so: known once, they need no read.
//
// Each request goes to the job that has had no answer for longest. If its header is known, one
// comparison serves all others that are; if it is known to differ, or not known, it is read.
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

class JobReader {
 public:
  // Questions may take so many requests a second, and a request so many conditions.
  // `cancelled_is_final`: a header that says cancelled is not looked at again; else only the job's
  // end is final.
  JobReader(kv::Client& store, double rps, std::size_t max_preconditions,
            bool cancelled_is_final = true);

  // Reads now, alone.
  Lookup read(const std::string& id);
  // Shares its read with whoever waits. Within about a second: unsure if there was no chance.
  Lookup read_batched(const std::string& id);
  // The header is stored under the revision: the next question takes a comparison, no read.
  void cache_header(const std::string& id, const Header& header, std::uint64_t revision);

 private:
  using QueryPtr = StatusQueryQueue::QueryPtr;
  struct CachedLookup {
    Lookup lookup;
    // A comparison has told that the header is another by now: only a read helps.
    bool changed_in_store = false;
  };
  struct Comparison {
    QueryPtr query;
    Lookup cached;
  };

  // Without a lock: one request, or two, for questions taken from the queue.
  void execute_batch(const std::vector<QueryPtr>& batch);
  void answer_by_read(const QueryPtr& query);
  // Answers all if their headers still stand as they are known.
  void answer_by_comparison(const std::vector<QueryPtr>& batch);

  // Under the lock.
  std::vector<QueryPtr> take_batch();
  bool can_be_compared(const StatusQuery& query) const;
  void handle_conflict(const std::vector<Comparison>& comparisons,
                       const std::vector<std::string>& conflicting_keys);
  void complete(StatusQuery& query, Lookup lookup, std::uint64_t StatusQueryCounts::*counter);
  void complete_unanswered(StatusQuery& query);
  void wake_front();

  void cache(const std::string& id, const Lookup& lookup);
  bool is_final(const Lookup& lookup) const;

  kv::Client& store_;
  const std::size_t max_batch_size_;
  const bool cancelled_is_final_;
  std::mutex mutex_;  // guards all below
  kv::TokenBucket token_bucket_;
  StatusQueryLog query_log_;
  StatusQueryQueue queue_;
  int active_requests_ = 0;  // threads
  std::unordered_map<std::string, CachedLookup> cache_;
  std::deque<std::string> cache_order_;  // the oldest first
};

}  // namespace reachramp::jobs
