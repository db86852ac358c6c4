#include "jobs/status_query_queue.h"

namespace reachramp::jobs {

StatusQueryQueue::QueryPtr StatusQueryQueue::join(const std::string& id, double unanswered_since,
                                                  std::condition_variable& waiter) {
  QueryPtr& query = joinable_by_id_[id];
  if (!query) {
    query = std::make_shared<StatusQuery>();
    query->id = id;
    query->unanswered_since = unanswered_since;
    query->arrival_number = ++last_arrival_number_;
    queued_.insert(query);
  }
  query->waiters.push_back(&waiter);
  return query;
}

void StatusQueryQueue::remove(const QueryPtr& query) {
  const auto joinable = joinable_by_id_.find(query->id);
  if (joinable != joinable_by_id_.end() && joinable->second == query)
    joinable_by_id_.erase(joinable);
  query->queued = false;
  queued_.erase(query);
}

void StatusQueryQueue::leave(const QueryPtr& query, const std::condition_variable& waiter) {
  std::erase(query->waiters, &waiter);
  if (query->waiters.empty() && query->queued) remove(query);
}

StatusQueryQueue::QueryPtr StatusQueryQueue::take_front() {
  QueryPtr first = front();
  remove(first);
  return first;
}

std::vector<StatusQueryQueue::QueryPtr> StatusQueryQueue::take(
    std::size_t max_count, const std::function<bool(const StatusQuery&)>& filter) {
  std::vector<QueryPtr> taken;
  for (const QueryPtr& query : queued_) {
    if (taken.size() == max_count) break;
    if (filter(*query)) taken.push_back(query);
  }
  for (const QueryPtr& query : taken) remove(query);
  return taken;
}

void StatusQueryQueue::requeue(const QueryPtr& query) {
  if (query->waiters.empty()) return;
  query->queued = true;
  queued_.insert(query);
  joinable_by_id_.try_emplace(query->id, query);
}

}  // namespace reachramp::jobs
