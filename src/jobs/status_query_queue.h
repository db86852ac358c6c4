// Users' questions that wait for a request to the store: the job that has had no answer for longest
// comes first. Who gets no answer in time asks again some seconds later; in the order of arrival it
// would have to begin at the back each time.
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

namespace reachramp::jobs {

// About one job; whoever asks at the same time shares it. Guarded by the owner of the queue.
struct StatusQuery {
  std::string id;
  double unanswered_since = 0;
  std::uint64_t arrival_number = 0;  // in the order of arrival
  int waiters = 0;
  bool queued = true;  // else a request is under way, or it is answered
  bool completed = false;
  Lookup result;
  std::condition_variable changed;  // its own: waking all for each answer cost the node its share
};

// Not safe to share between threads.
class StatusQueryQueue {
 public:
  using QueryPtr = std::shared_ptr<StatusQuery>;

  bool empty() const { return queued_.empty(); }
  const QueryPtr& front() const { return *queued_.begin(); }

  // The question about the job that waits, or a new one; with one waiter more.
  QueryPtr join(const std::string& id, double unanswered_since);
  // One waiter less; without any it waits no longer.
  void leave(const QueryPtr& query);

  // Takes the first out. Whoever asks from now on is not with it: its request may be under way.
  QueryPtr take_front();
  // Takes out the first ones, up to `most`, that the filter lets pass.
  std::vector<QueryPtr> take(std::size_t max_count,
                             const std::function<bool(const StatusQuery&)>& filter);
  // Its request told nothing: it waits again, at its place, if anybody waits for it.
  void requeue(const QueryPtr& query);

 private:
  struct LongestUnansweredFirst {
    bool operator()(const QueryPtr& left, const QueryPtr& right) const {
      return std::pair(left->unanswered_since, left->arrival_number) <
             std::pair(right->unanswered_since, right->arrival_number);
    }
  };
  void remove(const QueryPtr& query);

  std::set<QueryPtr, LongestUnansweredFirst> queued_;
  std::unordered_map<std::string, QueryPtr> joinable_by_id_;  // the one that can be joined
  std::uint64_t last_arrival_number_ = 0;
};

}  // namespace reachramp::jobs
