#include "jobs/job_reader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "kv/steady_clock.h"

namespace reachramp::jobs {

namespace {

using kv::Outcome;
using kv::steady_now;

constexpr double kBatchedReadTimeout_s = 1.2;  // users' requests time out after 2 s
constexpr int kMaxConcurrentRequests = 3;
constexpr std::size_t kMaxCachedJobs = 2000;
constexpr double kMinRate_rps = 4;  // for status queries, however small the given rate is
constexpr double kTurnPause_s = 0.02;
// A job may start or end between two looks at it.
constexpr int kMaxLookupAttempts = 2;

}  // namespace

JobReader::JobReader(kv::Client& store, const JobReaderOptions& options)
    : store_(store),
      max_batch_size_(std::max<std::size_t>(1, options.max_preconditions)),
      cancelled_is_final_(options.cancelled_is_final),
      max_dependency_age_s_(options.max_dependency_age_s),
      dependency_tracker_(store, options.max_dependency_catch_up_s,
                          [this] { return take_dependency_request(); }),
      token_bucket_(std::max(options.rps, kMinRate_rps), std::max(options.rps, kMinRate_rps)) {}

bool JobReader::is_final(const Lookup& lookup) const {
  return lookup.state == JobState::ended ||
         (cancelled_is_final_ && lookup.state == JobState::live && lookup.header.cancelled);
}

// A job's record moves once, from job/ to end/, in one transaction. Since job/ is read first,
// finding neither record proves that the job was not accepted when the read began.
Lookup JobReader::read(const std::string& id) {
  Lookup lookup;
  try {
    const kv::ReadResult header_read = store_.get(job_key(id));
    if (header_read.outcome == Outcome::ok) {
      lookup.header = decode_header(header_read.entry.value);
      lookup.header_revision = header_read.entry.revision;
      lookup.state = JobState::live;
    } else if (header_read.outcome == Outcome::absent) {
      const kv::ReadResult end_read = store_.get(end_key(id));
      if (end_read.outcome == Outcome::ok) {
        lookup.final_state = decode_final_state(end_read.entry.value);
        lookup.state = JobState::ended;
      } else if (end_read.outcome == Outcome::absent) {
        lookup.state = JobState::absent;
      }
    }
  } catch (const std::exception& error) {
    spdlog::error("job {}: malformed record: {}", id, error.what());
    lookup.state = JobState::undetermined;
  }
  cache(id, lookup);
  return lookup;
}

void JobReader::cache_header(const std::string& id, const Header& header, std::uint64_t revision) {
  Lookup lookup;
  lookup.state = JobState::live;
  lookup.header = header;
  lookup.header_revision = revision;
  cache(id, lookup);
  dependency_tracker_.note_header(header, revision);
}

void JobReader::cache(const std::string& id, const Lookup& lookup) {
  if (lookup.state != JobState::live && lookup.state != JobState::ended) return;
  std::lock_guard lock(mutex_);
  const auto [at, inserted] = cache_.try_emplace(id, CachedLookup{lookup});
  if (!inserted) {
    CachedLookup& cached = at->second;
    // Reads may overtake each other: an older result must not replace a newer one.
    if (is_final(cached.lookup)) return;
    if (lookup.state == JobState::ended ||
        lookup.header_revision >= cached.lookup.header_revision) {
      cached = {lookup};
    }
    return;
  }
  cache_order_.push_back(id);
  if (cache_order_.size() <= kMaxCachedJobs) return;
  cache_.erase(cache_order_.front());
  cache_order_.pop_front();
}

Lookup JobReader::read_batched(const std::string& id) {
  const double asked_at = steady_now();
  if (auto lookup = cached_final(id, asked_at)) return *lookup;
  const double deadline = asked_at + kBatchedReadTimeout_s;
  Lookup lookup = look_up(id, asked_at, deadline);
  const std::lock_guard lock(mutex_);
  if (lookup.is_determined()) {
    query_log_.record_answered(id);
  } else {
    query_log_.record_unanswered(steady_now() >= deadline ? UnansweredReason::timed_out
                                                          : UnansweredReason::store_unavailable);
  }
  return lookup;
}

std::optional<Lookup> JobReader::cached_final(const std::string& id, double asked_at) {
  const std::lock_guard lock(mutex_);
  query_log_.log_if_due(asked_at);
  const auto cached = cache_.find(id);
  if (cached == cache_.end() || !is_final(cached->second.lookup)) {
    query_log_.record_query(id, asked_at);
    return std::nullopt;
  }
  query_log_.record_answered(id);
  ++query_log_.counts.received;
  ++query_log_.counts.answered_from_cache;
  return cached->second.lookup;
}

Lookup JobReader::look_up(const std::string& id, double asked_at, double deadline) {
  for (int attempt = 0; attempt < kMaxLookupAttempts; ++attempt) {
    Lookup lookup;
    if (!dependency_tracker_.is_waiting(id)) {
      lookup = read_own_record(id, asked_at, deadline);
      if (!lookup.is_waiting()) return lookup;
    }
    switch (dependency_tracker_.look_up(id, asked_at, deadline)) {
      case WaitingState::undetermined:
        return {};
      case WaitingState::not_waiting:
        continue;  // it has started or ended since
      case WaitingState::waiting:
        lookup.dependencies = DependencyVerdict::none_cancelled;
        break;
      case WaitingState::impossible:
        lookup.dependencies = DependencyVerdict::some_cancelled;
        break;
    }
    lookup.state = JobState::live;
    lookup.header.spec.id = id;
    const std::lock_guard lock(mutex_);
    ++query_log_.counts.answered_from_dependencies;
    return lookup;
  }
  return {};
}

DependencyVerdict JobReader::check_waiting_job(const std::string& id) {
  const double now = steady_now();
  switch (dependency_tracker_.look_up(id, now, now + kBatchedReadTimeout_s)) {
    case WaitingState::waiting:
      return DependencyVerdict::none_cancelled;
    case WaitingState::impossible:
      return DependencyVerdict::some_cancelled;
    default:
      return DependencyVerdict::undetermined;
  }
}

DependencyVerdict JobReader::check_dependencies(const std::vector<std::string>& live_jobs) {
  const double now = steady_now();
  return dependency_tracker_.check(live_jobs, now - max_dependency_age_s_,
                                   now + kBatchedReadTimeout_s);
}

double JobReader::take_dependency_request() {
  const std::lock_guard lock(mutex_);
  if (dependency_request_was_last_ && !queue_.empty()) return kTurnPause_s;
  const double wait_s = token_bucket_.take(1, steady_now());
  if (wait_s > 0) return wait_s;
  dependency_request_was_last_ = true;
  ++query_log_.counts.dependency_requests;
  return 0;
}

Lookup JobReader::read_own_record(const std::string& id, double asked_at, double deadline) {
  std::unique_lock lock(mutex_);
  std::condition_variable changed;
  const QueryPtr query = queue_.join(id, query_log_.unanswered_since(id, asked_at), changed);
  while (!query->completed) {
    const double now = steady_now();
    if (now >= deadline) break;
    const auto wait_s = send_request_or_wait(lock, query, deadline - now);
    if (wait_s) changed.wait_for(lock, std::chrono::duration<double>(*wait_s));
  }
  if (!query->completed) queue_.leave(query, changed);
  wake_front();
  if (!query->completed || query->result.state == JobState::undetermined) return {};
  if (!query->result.is_waiting()) ++(query_log_.counts.*query->answered_by);
  return query->result;
}

std::optional<double> JobReader::send_request_or_wait(std::unique_lock<std::mutex>& lock,
                                                      const QueryPtr& own, double max_wait_s) {
  if (queue_.empty() || active_requests_ >= kMaxConcurrentRequests) return max_wait_s;
  const double token_wait_s = token_bucket_.take(1, steady_now());
  if (token_wait_s > 0) {
    // The thread of the first query sends the request for the whole batch.
    return queue_.front() == own ? std::min(max_wait_s, token_wait_s) : max_wait_s;
  }
  ++active_requests_;
  dependency_request_was_last_ = false;
  const std::vector<QueryPtr> batch = take_batch();
  lock.unlock();
  execute_batch(batch);
  lock.lock();
  --active_requests_;
  wake_front();
  return std::nullopt;
}

void JobReader::wake_front() {
  if (!queue_.empty()) queue_.front()->wake_waiters();
}

bool JobReader::can_be_compared(const StatusQuery& query) const {
  const auto at = cache_.find(query.id);
  return at != cache_.end() && at->second.lookup.state == JobState::live &&
         !at->second.changed_in_store;
}

std::vector<JobReader::QueryPtr> JobReader::take_batch() {
  if (!can_be_compared(*queue_.front())) return {queue_.take_front()};
  return queue_.take(max_batch_size_,
                     [this](const StatusQuery& query) { return can_be_compared(query); });
}

void JobReader::execute_batch(const std::vector<QueryPtr>& batch) {
  if (batch.size() == 1) {
    answer_by_read(batch.front());
  } else {
    answer_by_comparison(batch);
  }
}

void JobReader::answer_by_read(const QueryPtr& query) {
  Lookup found = read(query->id);
  std::lock_guard lock(mutex_);
  ++query_log_.counts.reads;
  if (found.state == JobState::undetermined) {
    complete_unanswered(*query);
  } else {
    complete(*query, std::move(found), &StatusQueryCounts::answered_by_read);
  }
}

void JobReader::answer_by_comparison(const std::vector<QueryPtr>& batch) {
  kv::Transaction transaction;
  std::vector<Comparison> comparisons;
  {
    std::lock_guard lock(mutex_);
    for (const QueryPtr& query : batch) {
      const auto at = cache_.find(query->id);
      if (at == cache_.end()) {
        queue_.requeue(query);  // it has been evicted from the cache since it was taken
        continue;
      }
      comparisons.push_back({query, at->second.lookup});
      transaction.preconditions.emplace_back(job_key(query->id), at->second.lookup.header_revision);
    }
  }
  if (comparisons.empty()) return;
  const kv::CommitResult compared = store_.commit(transaction);
  std::lock_guard lock(mutex_);
  ++query_log_.counts.comparisons;
  if (compared.outcome == Outcome::conflict && !compared.failed_keys.empty()) {
    handle_conflict(comparisons, compared.failed_keys);
    return;
  }
  for (const Comparison& one : comparisons) {
    if (compared.outcome == Outcome::ok) {
      complete(*one.query, one.cached, &StatusQueryCounts::answered_by_comparison);
    } else {
      complete_unanswered(*one.query);
    }
  }
}

// Jobs whose headers have changed are read next. The store need not name all of them, so the others
// are compared again. All queries keep their places in the queue.
void JobReader::handle_conflict(const std::vector<Comparison>& comparisons,
                                const std::vector<std::string>& conflicting_keys) {
  ++query_log_.counts.conflicts;
  query_log_.counts.conflicting_keys += conflicting_keys.size();
  for (const auto& [query, cached] : comparisons) {
    const bool named = std::find(conflicting_keys.begin(), conflicting_keys.end(),
                                 job_key(query->id)) != conflicting_keys.end();
    const auto known = cache_.find(query->id);
    if (named && known != cache_.end() &&
        known->second.lookup.header_revision == cached.header_revision) {
      known->second.changed_in_store = true;
    }
    queue_.requeue(query);
  }
}

void JobReader::complete(StatusQuery& query, Lookup lookup,
                         std::uint64_t StatusQueryCounts::*counter) {
  query.result = std::move(lookup);
  query.answered_by = counter;
  query.completed = true;
  query.wake_waiters();
}

void JobReader::complete_unanswered(StatusQuery& query) {
  query.completed = true;
  query.wake_waiters();
}

}  // namespace reachramp::jobs
