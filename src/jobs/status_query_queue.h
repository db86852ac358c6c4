// Queue of users' status queries that wait for a request to the store. The job that has been
// without an answer for longest comes first: a user whose query times out asks again some seconds
// later, and in order of arrival that query would start at the back each time.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/lookup.h"
#include "jobs/status_query_log.h"

namespace reachramp::jobs {

// A status query about one job, shared by all users who ask about the job at the same time. Guarded
// by the mutex of the queue's owner.
struct StatusQuery {
  std::string id;
  double unanswered_since = 0;       // since when users have asked about the job without an answer
  std::uint64_t arrival_number = 0;  // ascending in order of arrival
  // One for each thread that waits for the result. A thread may wait for several queries. A single
  // one for all threads would wake every one of them for each answer, which used up much of the
  // node's processor time.
  std::vector<std::condition_variable*> waiters;
  bool queued = true;      // false: a request is under way, or the query is completed
  bool completed = false;  // `result` is final; undetermined if the request failed
  Lookup result;
  // Which counter an answer to a user counts under; set with a determined result.
  std::uint64_t StatusQueryCounts::*answered_by = nullptr;

  // Wakes all threads that wait for the result.
  void wake_waiters() const {
    for (std::condition_variable* waiter : waiters) waiter->notify_all();
  }
};

// Owns the queries until they are taken for a request. Not thread-safe.
class StatusQueryQueue {
 public:
  using QueryPtr = std::shared_ptr<StatusQuery>;

  bool empty() const { return queued_.empty(); }
  const QueryPtr& front() const { return *queued_.begin(); }

  // Adds a waiter to the queued query about the job, which is created if there is none. `waiter`
  // must exist until the query is completed or the waiter has left.
  QueryPtr join(const std::string& id, double unanswered_since, std::condition_variable& waiter);
  // Removes a waiter; a query without waiters leaves the queue.
  void leave(const QueryPtr& query, const std::condition_variable& waiter);

  // Removes and returns the first query. Users can no longer join it, since its request may already
  // have been executed: their answer could then be older than their question.
  QueryPtr take_front();
  // Removes and returns the first queries that pass the filter, at most `max_count`.
  std::vector<QueryPtr> take(std::size_t max_count,
                             const std::function<bool(const StatusQuery&)>& filter);
  // Returns a query whose request gave no answer to its place in the queue, unless it has no
  // waiters.
  void requeue(const QueryPtr& query);

 private:
  struct LongestUnansweredFirst {
    bool operator()(const QueryPtr& left, const QueryPtr& right) const {
      return std::pair(left->unanswered_since, left->arrival_number) <
             std::pair(right->unanswered_since, right->arrival_number);
    }
  };
  // Takes the query out of the queue; nobody can join it any more.
  void remove(const QueryPtr& query);

  std::set<QueryPtr, LongestUnansweredFirst> queued_;
  std::unordered_map<std::string, QueryPtr> joinable_by_id_;  // by job; queued ones only
  std::uint64_t last_arrival_number_ = 0;
};

}  // namespace reachramp::jobs
