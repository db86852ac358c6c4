#include "jobs/question_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace reachramp::jobs {

namespace {

constexpr double kLogEvery_s = 5;
// Users poll about every 5 s. Who has not asked for so long is not waiting any more.
constexpr double kForgetAfter_s = 30;
constexpr std::size_t kMostUnanswered = 20'000;

}  // namespace

void QuestionLog::note_asked(const std::string& id, double now) {
  ++counts.asked;
  const auto at = unanswered_.find(id);
  if (at != unanswered_.end()) {
    at->second.asked_at = now;
  } else if (unanswered_.size() < kMostUnanswered) {
    unanswered_[id] = {now, now};
  }
}

void QuestionLog::note_answered(const std::string& id) { unanswered_.erase(id); }

void QuestionLog::note_no_answer(NoAnswer why) {
  switch (why) {
    case NoAnswer::not_in_time:
      ++counts.not_in_time;
      break;
    case NoAnswer::refused:
      ++counts.refused;
      break;
  }
}

double QuestionLog::unanswered_since(const std::string& id, double now) const {
  const auto at = unanswered_.find(id);
  return at == unanswered_.end() ? now : at->second.since;
}

void QuestionLog::forget_those_not_asked(double now) {
  std::erase_if(unanswered_,
                [&](const auto& entry) { return now - entry.second.asked_at > kForgetAfter_s; });
}

double QuestionLog::longest_wait_s(double now) const {
  double longest = 0;
  for (const auto& [id, unanswered] : unanswered_) {
    longest = std::max(longest, now - unanswered.since);
  }
  return longest;
}

void QuestionLog::advance(double now) {
  if (now - logged_at_ < kLogEvery_s) return;
  forget_those_not_asked(now);
  const QuestionCounts& before = logged_;
  const std::uint64_t unsure =
      counts.not_in_time + counts.refused - before.not_in_time - before.refused;
  if (unsure > 0) {
    spdlog::info(
        "questions: {} asked; answered: {} from memory, {} by comparison, {} by read; without an "
        "answer: {} not in time, {} refused; {} comparisons, {} conflicts that named "
        "{}, {} reads; {} jobs wait, the longest for {:.1f} s",
        counts.asked - before.asked, counts.final_known - before.final_known,
        counts.compared - before.compared, counts.read - before.read,
        counts.not_in_time - before.not_in_time, counts.refused - before.refused,
        counts.comparisons - before.comparisons, counts.conflicts - before.conflicts,
        counts.differing_named - before.differing_named, counts.reads - before.reads,
        unanswered_.size(), longest_wait_s(now));
  }
  logged_ = counts;
  logged_at_ = now;
}

}  // namespace reachramp::jobs
