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
struct Question {
  std::string id;
  double unanswered_since = 0;
  std::uint64_t number = 0;  // in the order of arrival
  int waiters = 0;
  bool in_queue = true;  // else a request is under way, or it is answered
  bool answered = false;
  Lookup answer;
  std::condition_variable changed;  // its own: waking all for each answer cost the node its share
};

// Not safe to share between threads.
class QuestionQueue {
 public:
  using Shared = std::shared_ptr<Question>;

  bool empty() const { return waiting_.empty(); }
  const Shared& front() const { return *waiting_.begin(); }

  // The question about the job that waits, or a new one; with one waiter more.
  Shared join(const std::string& id, double unanswered_since);
  // One waiter less; without any it waits no longer.
  void leave(const Shared& question);

  // Takes the first out. Whoever asks from now on is not with it: its request may be under way.
  Shared take_front();
  // Takes out the first ones, up to `most`, that the filter lets pass.
  std::vector<Shared> take(std::size_t most, const std::function<bool(const Question&)>& filter);
  // Its request told nothing: it waits again, at its place, if anybody waits for it.
  void put_back(const Shared& question);

 private:
  struct LongestUnanswered {
    bool operator()(const Shared& left, const Shared& right) const {
      return std::pair(left->unanswered_since, left->number) <
             std::pair(right->unanswered_since, right->number);
    }
  };
  void remove(const Shared& question);

  std::set<Shared, LongestUnanswered> waiting_;
  std::unordered_map<std::string, Shared> by_id_;  // the one that can be joined
  std::uint64_t numbered_ = 0;
};

}  // namespace reachramp::jobs
