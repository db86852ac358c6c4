#include "jobs/job_reader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

#include "kv/steady_clock.h"

namespace reachramp::jobs {

namespace {

using kv::Outcome;
using kv::steady_now;

constexpr double kPatience_s = 1.2;  // users wait 2 s
constexpr double kResolveWithin_s = 0.6;
constexpr int kMostReading = 3;  // batches at once
constexpr int kMostRounds = 3;   // of comparing what has not changed
constexpr std::size_t kMostKnown = 2000;
// Read one after another: a slow service must not hold up all that were taken with them.
constexpr std::size_t kMostUnknown = 6;
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
  const auto [at, fresh] = known_.try_emplace(id, lookup);
  if (!fresh) {
    // Reads overtake each other; what is final stays.
    if (!is_final(at->second) &&
        (lookup.presence == JobState::ended || lookup.revision > at->second.revision)) {
      at->second = lookup;
    }
    return;
  }
  known_order_.push_back(id);
  if (known_order_.size() <= kMostKnown) return;
  known_.erase(known_order_.front());
  known_order_.pop_front();
}

std::optional<Lookup> JobReader::known(const std::string& id) {
  std::lock_guard lock(mutex_);
  const auto at = known_.find(id);
  return at == known_.end() ? std::nullopt : std::optional(at->second);
}

Lookup JobReader::ask(const std::string& id) {
  const double until = steady_now() + kPatience_s;
  std::unique_lock lock(mutex_);
  log_.advance(steady_now());
  const auto final_answer = known_.find(id);
  if (final_answer != known_.end() && is_final(final_answer->second)) {
    ++log_.counts.asked;
    ++log_.counts.final_known;
    log_.note_answered(id);
    return final_answer->second;
  }
  log_.note_asked(id, steady_now());
  Asked& slot = waiting_by_id_[id];
  if (!slot) {
    slot = std::make_shared<Question>();
    slot->id = id;
    waiting_.push_back(slot);
  }
  const Asked question = slot;
  ++question->waiters;
  while (!question->answered) {
    const double now = steady_now();
    if (now >= until) {
      if (--question->waiters == 0 && !question->taken) {
        waiting_by_id_.erase(id);
        std::erase(waiting_, question);
        if (!waiting_.empty()) waiting_.front()->changed.notify_all();
        log_.note_no_answer(NoAnswer::not_taken);
      }
      return {};
    }
    double wait = until - now;
    if (!question->taken && reading_ < kMostReading) {
      const double token = bucket_.take(1, now);
      if (token <= 0) {
        ++reading_;
        const std::vector<Asked> batch = take();
        lock.unlock();
        resolve(batch);
        lock.lock();
        --reading_;
        if (!waiting_.empty()) waiting_.front()->changed.notify_all();
        continue;
      }
      // Whoever is first in line takes the others along.
      if (question == waiting_.front()) wait = std::min(wait, token);
    }
    question->changed.wait_for(lock, std::chrono::duration<double>(wait));
  }
  return question->answer;
}

// Whoever asks from now on is not among them: the reads may be under way.
std::vector<JobReader::Asked> JobReader::take() {
  std::vector<Asked> batch;
  std::size_t unknown = 0;
  while (!waiting_.empty() && batch.size() < most_ && unknown < kMostUnknown) {
    unknown += known_.contains(waiting_.front()->id) ? 0 : 1;
    waiting_.front()->taken = true;
    waiting_by_id_.erase(waiting_.front()->id);
    batch.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  return batch;
}

bool JobReader::may_read(double until) {
  for (;;) {
    const double now = steady_now();
    double wait = 0;
    {
      std::lock_guard lock(mutex_);
      wait = bucket_.take(1, now);
    }
    if (wait <= 0) return now < until;
    if (now + wait > until) return false;
    std::this_thread::sleep_for(std::chrono::duration<double>(wait));
  }
}

// What cannot be read soon is not held back: users had no answer in their two seconds where six
// reads waited for their turn.
void JobReader::resolve(const std::vector<Asked>& batch) {
  const double until = steady_now() + kResolveWithin_s;
  std::vector<Asked> known_ones, to_read;
  for (const Asked& question : batch) {
    (batch.size() > 1 && known(question->id) ? known_ones : to_read).push_back(question);
  }
  for (Asked& question : confirm(std::move(known_ones), until))
    to_read.push_back(std::move(question));
  // The token that the batch was taken for serves its first request.
  bool paid = to_read.size() == batch.size();
  for (const Asked& question : to_read) {
    const bool may = std::exchange(paid, false) || may_read(until);
    Lookup found;
    if (may) found = read(question->id);
    std::lock_guard lock(mutex_);
    log_.counts.reads += may ? 1 : 0;
    if (found.presence != JobState::unsure) {
      answer(*question, std::move(found), &QuestionCounts::read);
    } else {
      leave_unanswered(*question, may ? NoAnswer::refused : NoAnswer::no_token);
    }
  }
}

void JobReader::answer(Question& question, Lookup lookup, std::uint64_t QuestionCounts::*how) {
  question.answer = std::move(lookup);
  question.answered = true;
  question.changed.notify_all();
  ++(log_.counts.*how);
  log_.note_answered(question.id);
}

void JobReader::leave_unanswered(Question& question, NoAnswer why) {
  question.answered = true;
  question.changed.notify_all();
  log_.note_no_answer(why);
}

// One comparison for all of them. The service need not name all that differ, so the rest is
// compared again.
std::vector<JobReader::Asked> JobReader::confirm(std::vector<Asked> same, double until) {
  std::vector<Asked> changed;
  for (int round = 0; round < kMostRounds && !same.empty(); ++round) {
    kv::Transaction compare;
    std::vector<Lookup> held;
    for (const Asked& question : same) {
      held.push_back(known(question->id).value_or(Lookup{}));
      compare.preconditions.emplace_back(job_key(question->id), held.back().revision);
    }
    if (round > 0 && !may_read(until)) break;
    const kv::CommitResult compared = state_.commit(compare);
    {
      std::lock_guard lock(mutex_);
      ++log_.counts.comparisons;
      log_.counts.conflicts += compared.outcome == Outcome::conflict ? 1 : 0;
      log_.counts.differing_named += compared.failed_keys.size();
    }
    if (compared.outcome == Outcome::conflict && !compared.failed_keys.empty()) {
      const auto differs = std::stable_partition(same.begin(), same.end(), [&](const Asked& one) {
        return std::find(compared.failed_keys.begin(), compared.failed_keys.end(),
                         job_key(one->id)) == compared.failed_keys.end();
      });
      changed.insert(changed.end(), differs, same.end());
      same.erase(differs, same.end());
      continue;
    }
    std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < same.size(); ++i) {
      if (compared.outcome == Outcome::ok) {
        answer(*same[i], held[i], &QuestionCounts::compared);
      } else {
        leave_unanswered(*same[i], NoAnswer::refused);
      }
    }
    same.clear();
  }
  changed.insert(changed.end(), same.begin(), same.end());
  return changed;
}

}  // namespace reachramp::jobs
