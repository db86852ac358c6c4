#include "jobs/question_queue.h"

namespace reachramp::jobs {

QuestionQueue::Shared QuestionQueue::join(const std::string& id, double unanswered_since) {
  Shared& slot = by_id_[id];
  if (!slot) {
    slot = std::make_shared<Question>();
    slot->id = id;
    slot->unanswered_since = unanswered_since;
    slot->number = ++numbered_;
    waiting_.insert(slot);
  }
  ++slot->waiters;
  return slot;
}

void QuestionQueue::remove(const Shared& question) {
  const auto joinable = by_id_.find(question->id);
  if (joinable != by_id_.end() && joinable->second == question) by_id_.erase(joinable);
  question->in_queue = false;
  waiting_.erase(question);
}

void QuestionQueue::leave(const Shared& question) {
  if (--question->waiters == 0 && question->in_queue) remove(question);
}

QuestionQueue::Shared QuestionQueue::take_front() {
  Shared first = front();
  remove(first);
  return first;
}

std::vector<QuestionQueue::Shared> QuestionQueue::take(
    std::size_t most, const std::function<bool(const Question&)>& filter) {
  std::vector<Shared> taken;
  for (const Shared& question : waiting_) {
    if (taken.size() == most) break;
    if (filter(*question)) taken.push_back(question);
  }
  for (const Shared& question : taken) remove(question);
  return taken;
}

void QuestionQueue::put_back(const Shared& question) {
  if (question->waiters == 0) return;
  question->in_queue = true;
  waiting_.insert(question);
  by_id_.try_emplace(question->id, question);
}

}  // namespace reachramp::jobs
