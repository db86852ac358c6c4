#include "jobs/job_reader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "kv/steady_clock.h"

namespace reachramp::jobs {

namespace {

using kv::Outcome;
using kv::steady_now;

constexpr double kPatience_s = 1.2;  // users wait 2 s
constexpr int kMostWorking = 3;      // requests at once
constexpr std::size_t kMostKnown = 2000;
constexpr double kLeastRate = 4;

}  // namespace

JobReader::JobReader(kv::Client& state, double rps, std::size_t conditions, bool cancelled_is_final)
    : state_(state),
      most_(std::max<std::size_t>(1, conditions)),
      cancelled_is_final_(cancelled_is_final),
      bucket_(std::max(rps, kLeastRate), std::max(rps, kLeastRate)) {}

bool JobReader::is_final(const Lookup& lookup) const {
  return lookup.presence == JobState::ended ||
         (cancelled_is_final_ && lookup.presence == JobState::live && lookup.header.cancelled);
}

// A job moves once, from job/ to end/, in one transaction. Reading in that order, "absent" twice
// means that it was not accepted when the question was asked.
Lookup JobReader::read(const std::string& id) {
  Lookup lookup;
  try {
    const kv::ReadResult live = state_.get(job_key(id));
    if (live.outcome == Outcome::ok) {
      lookup.header = decode_header(live.entry.value);
      lookup.revision = live.entry.revision;
      lookup.presence = JobState::live;
    } else if (live.outcome == Outcome::absent) {
      const kv::ReadResult ended = state_.get(end_key(id));
      if (ended.outcome == Outcome::ok) {
        lookup.ending = decode_ending(ended.entry.value);
        lookup.presence = JobState::ended;
      } else if (ended.outcome == Outcome::absent) {
        lookup.presence = JobState::absent;
      }
    }
  } catch (const std::exception& error) {
    spdlog::error("record of {}: {}", id, error.what());
    lookup.presence = JobState::unsure;
  }
  keep(id, lookup);
  return lookup;
}

void JobReader::remember(const std::string& id, const Header& header, std::uint64_t revision) {
  Lookup lookup;
  lookup.presence = JobState::live;
  lookup.header = header;
  lookup.revision = revision;
  keep(id, lookup);
}

void JobReader::keep(const std::string& id, const Lookup& lookup) {
  if (lookup.presence != JobState::live && lookup.presence != JobState::ended) return;
  std::lock_guard lock(mutex_);
  const auto [at, fresh] = known_.try_emplace(id, Known{lookup});
  if (!fresh) {
    Known& known = at->second;
    // Reads overtake each other; what is final stays.
    if (is_final(known.lookup)) return;
    if (lookup.presence == JobState::ended || lookup.revision >= known.lookup.revision) {
      known = {lookup};
    }
    return;
  }
  known_order_.push_back(id);
  if (known_order_.size() <= kMostKnown) return;
  known_.erase(known_order_.front());
  known_order_.pop_front();
}

Lookup JobReader::ask(const std::string& id) {
  const double asked_at = steady_now();
  const double until = asked_at + kPatience_s;
  std::unique_lock lock(mutex_);
  log_.advance(asked_at);
  const auto final_answer = known_.find(id);
  if (final_answer != known_.end() && is_final(final_answer->second.lookup)) {
    log_.note_answered(id);
    ++log_.counts.asked;
    ++log_.counts.final_known;
    return final_answer->second.lookup;
  }
  log_.note_asked(id, asked_at);
  const Asked question = queue_.join(id, log_.unanswered_since(id, asked_at));
  while (!question->answered) {
    const double now = steady_now();
    if (now >= until) {
      queue_.leave(question);
      log_.note_no_answer(NoAnswer::not_in_time);
      wake_first();
      return {};
    }
    double wait = until - now;
    if (!queue_.empty() && working_ < kMostWorking) {
      const double token = bucket_.take(1, now);
      if (token <= 0) {
        ++working_;
        const std::vector<Asked> batch = take();
        lock.unlock();
        work_on(batch);
        lock.lock();
        --working_;
        wake_first();
        continue;
      }
      // Whoever is first in line takes the others along.
      if (question == queue_.front()) wait = std::min(wait, token);
    }
    question->changed.wait_for(lock, std::chrono::duration<double>(wait));
  }
  return question->answer;
}

void JobReader::wake_first() {
  if (!queue_.empty()) queue_.front()->changed.notify_all();
}

bool JobReader::can_be_compared(const Question& question) const {
  const auto at = known_.find(question.id);
  return at != known_.end() && at->second.lookup.presence == JobState::live && !at->second.differs;
}

std::vector<JobReader::Asked> JobReader::take() {
  if (!can_be_compared(*queue_.front())) return {queue_.take_front()};
  return queue_.take(most_, [this](const Question& question) { return can_be_compared(question); });
}

void JobReader::work_on(const std::vector<Asked>& batch) {
  if (batch.size() == 1) {
    read_for(batch.front());
  } else {
    compare(batch);
  }
}

void JobReader::read_for(const Asked& question) {
  Lookup found = read(question->id);
  std::lock_guard lock(mutex_);
  ++log_.counts.reads;
  if (found.presence == JobState::unsure) {
    leave_unanswered(*question);
  } else {
    answer(*question, std::move(found), &QuestionCounts::read);
  }
}

void JobReader::compare(const std::vector<Asked>& batch) {
  kv::Transaction transaction;
  std::vector<Comparison> comparisons;
  {
    std::lock_guard lock(mutex_);
    for (const Asked& question : batch) {
      const auto at = known_.find(question->id);
      if (at == known_.end()) {
        queue_.put_back(question);  // forgotten since it was taken
        continue;
      }
      comparisons.push_back({question, at->second.lookup});
      transaction.preconditions.emplace_back(job_key(question->id), at->second.lookup.revision);
    }
  }
  if (comparisons.empty()) return;
  const kv::CommitResult compared = state_.commit(transaction);
  std::lock_guard lock(mutex_);
  ++log_.counts.comparisons;
  if (compared.outcome == Outcome::conflict && !compared.failed_keys.empty()) {
    note_differing(comparisons, compared.failed_keys);
    return;
  }
  for (const Comparison& one : comparisons) {
    if (compared.outcome == Outcome::ok) {
      answer(*one.question, one.held, &QuestionCounts::compared);
    } else {
      leave_unanswered(*one.question);
    }
  }
}

// Those that differ are read next. The store need not name all of them, so the others are compared
// again. All keep their places in the line.
void JobReader::note_differing(const std::vector<Comparison>& comparisons,
                               const std::vector<std::string>& differing_keys) {
  ++log_.counts.conflicts;
  log_.counts.differing_named += differing_keys.size();
  for (const auto& [question, held] : comparisons) {
    const bool named = std::find(differing_keys.begin(), differing_keys.end(),
                                 job_key(question->id)) != differing_keys.end();
    const auto known = known_.find(question->id);
    if (named && known != known_.end() && known->second.lookup.revision == held.revision) {
      known->second.differs = true;
    }
    queue_.put_back(question);
  }
}

void JobReader::answer(Question& question, Lookup lookup, std::uint64_t QuestionCounts::*how) {
  question.answer = std::move(lookup);
  question.answered = true;
  question.changed.notify_all();
  if (question.waiters == 0) return;  // it came too late
  log_.counts.*how += static_cast<std::uint64_t>(question.waiters);
  log_.note_answered(question.id);
}

void JobReader::leave_unanswered(Question& question) {
  question.answered = true;
  question.changed.notify_all();
  for (int i = 0; i < question.waiters; ++i) log_.note_no_answer(NoAnswer::refused);
}

}  // namespace reachramp::jobs
