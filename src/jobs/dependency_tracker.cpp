#include "jobs/dependency_tracker.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "kv/steady_clock.h"

namespace reachramp::jobs {

namespace {

using kv::Outcome;
using kv::steady_now;

constexpr const char* kHeaderPrefix = "job/";
constexpr const char* kEndPrefix = "end/";
// More ends than this are read by pages.
constexpr std::size_t kMaxSingleReads = 2;

std::chrono::duration<double> seconds(double count) { return std::chrono::duration<double>(count); }

bool is_cancelled_end(const kv::Entry& entry) {
  try {
    return decode_final_state(entry.value).cancelled;
  } catch (const std::exception& error) {
    spdlog::error("record {} is malformed: {}", entry.key, error.what());
    return false;
  }
}

}  // namespace

DependencyTracker::DependencyTracker(kv::Client& store, double max_catch_up_s,
                                     TakeRequest take_request)
    : store_(store), max_catch_up_s_(max_catch_up_s), take_request_(std::move(take_request)) {}

bool DependencyTracker::is_waiting(const std::string& id) {
  const std::lock_guard lock(mutex_);
  return graph_.is_waiting(id);
}

WaitingState DependencyTracker::look_up(const std::string& id, double not_before, double deadline) {
  Lock lock(mutex_);
  const bool updated = update_until(lock, not_before, deadline);
  // A cancellation is final, so what an older graph says of it holds without an update, too.
  if (graph_.is_waiting(id) && graph_.is_cancelled(id)) return WaitingState::impossible;
  if (!updated) return WaitingState::undetermined;
  return graph_.is_waiting(id) ? WaitingState::waiting : WaitingState::not_waiting;
}

DependencyVerdict DependencyTracker::check(const std::vector<std::string>& live_jobs,
                                           double not_before, double deadline) {
  Lock lock(mutex_);
  const auto all_live = [&] {
    return std::all_of(live_jobs.begin(), live_jobs.end(),
                       [&](const std::string& id) { return graph_.is_live(id); });
  };
  if (graph_.any_cancelled(live_jobs)) return DependencyVerdict::some_cancelled;
  const bool updated = update_until(lock, all_live() ? not_before : steady_now(), deadline);
  if (graph_.any_cancelled(live_jobs)) return DependencyVerdict::some_cancelled;
  // A job that is not live any more has ended since the caller looked it up.
  return updated && all_live() ? DependencyVerdict::none_cancelled
                               : DependencyVerdict::undetermined;
}

// What the graph already contains must not be applied again: the job may have ended since.
void DependencyTracker::note_header(const Header& header, std::uint64_t revision) {
  const std::lock_guard lock(mutex_);
  if (loaded_ && revision > store_revision_) graph_.apply_header(header, revision);
}

bool DependencyTracker::update_until(Lock& lock, double not_before, double deadline) {
  const std::uint64_t failed_before = failed_updates_;
  while (!loaded_ || current_as_of_ < not_before) {
    const double now = steady_now();
    if (now >= deadline || failed_updates_ != failed_before) return false;
    if (updating_) {
      updated_.wait_for(lock, seconds(deadline - now));
      continue;
    }
    updating_ = true;
    const Progress progress = update(lock, deadline);
    updating_ = false;
    failed_updates_ += progress == Progress::store_unavailable;
    updated_.notify_all();
    if (progress != Progress::complete) return false;
  }
  return true;
}

DependencyTracker::Progress DependencyTracker::update(Lock& lock, double deadline) {
  if (loaded_ && steady_now() - last_response_at_ > max_catch_up_s_) begin_load();
  Progress progress = loaded_ ? follow(lock, deadline) : load(lock, deadline);
  if (progress == Progress::complete && loaded_) progress = read_undetermined_ends(lock, deadline);
  if (progress == Progress::complete && loaded_) current_as_of_ = headers_as_of_;
  return progress;
}

void DependencyTracker::begin_load() {
  loaded_ = false;
  last_loaded_key_.clear();
}

// Later pages may contain later changes than the first one, and what has changed on an earlier page
// is missing: the watch that follows starts from the first page's revision.
DependencyTracker::Progress DependencyTracker::load(Lock& lock, double deadline) {
  while (!loaded_) {
    if (!wait_for_request(lock, deadline)) return Progress::out_of_time;
    const std::string after = last_loaded_key_;
    const double sent_at = steady_now();
    lock.unlock();
    const kv::ListResult page = store_.list(kHeaderPrefix, after);
    lock.lock();
    if (page.outcome != Outcome::ok) return Progress::store_unavailable;
    if (after.empty()) {
      graph_ = {};
      store_revision_ = page.store_revision;
      headers_as_of_ = sent_at;
    }
    for (const kv::Entry& entry : page.entries) {
      apply_header(entry.key, entry.value, entry.revision);
    }
    last_response_at_ = steady_now();
    loaded_ = !page.has_more || page.entries.empty();
    if (!page.entries.empty()) last_loaded_key_ = page.entries.back().key;
  }
  spdlog::debug("dependencies: {} jobs loaded", graph_.size());
  return Progress::complete;
}

DependencyTracker::Progress DependencyTracker::follow(Lock& lock, double deadline) {
  if (!wait_for_request(lock, deadline)) return Progress::out_of_time;
  const std::uint64_t after = store_revision_;
  const double sent_at = steady_now();
  lock.unlock();
  const kv::WatchResult changes =
      store_.watch(kHeaderPrefix, after, std::chrono::milliseconds::zero());
  lock.lock();
  if (changes.outcome == Outcome::absent) {
    begin_load();
    return Progress::complete;
  }
  if (changes.outcome != Outcome::ok) return Progress::store_unavailable;
  for (const kv::KeyChange& change : changes.changes) {
    if (change.value) {
      apply_header(change.key, *change.value, change.revision);
    } else {
      graph_.apply_removal(change.key.substr(std::string(kHeaderPrefix).size()), change.revision);
    }
  }
  store_revision_ = changes.store_revision;
  headers_as_of_ = sent_at;
  last_response_at_ = steady_now();
  return Progress::complete;
}

// A header is removed in the transaction that stores the job's end, so the end of a job whose
// removal the graph contains is there. Where many are undetermined, each read of the first one is
// followed by a page of those after it.
DependencyTracker::Progress DependencyTracker::read_undetermined_ends(Lock& lock, double deadline) {
  while (!graph_.undetermined_ends().empty()) {
    const std::string first = *graph_.undetermined_ends().begin();
    if (!wait_for_request(lock, deadline)) return Progress::out_of_time;
    Progress progress = read_end(lock, first);
    if (progress != Progress::complete) return progress;
    if (graph_.undetermined_ends().size() < kMaxSingleReads) continue;
    if (!wait_for_request(lock, deadline)) return Progress::out_of_time;
    progress = read_ends_after(lock, first);
    if (progress != Progress::complete) return progress;
  }
  return Progress::complete;
}

DependencyTracker::Progress DependencyTracker::read_end(Lock& lock, const std::string& id) {
  lock.unlock();
  const kv::ReadResult found = store_.get(end_key(id));
  lock.lock();
  if (found.outcome != Outcome::ok && found.outcome != Outcome::absent) {
    return Progress::store_unavailable;
  }
  graph_.apply_end(id, found.outcome == Outcome::ok && is_cancelled_end(found.entry));
  return Progress::complete;
}

// Settles all undetermined ends that the page covers.
DependencyTracker::Progress DependencyTracker::read_ends_after(Lock& lock, const std::string& id) {
  lock.unlock();
  const kv::ListResult page = store_.list(kEndPrefix, end_key(id));
  lock.lock();
  if (page.outcome != Outcome::ok) return Progress::store_unavailable;
  std::unordered_map<std::string, bool> cancelled_by_key;
  for (const kv::Entry& entry : page.entries) {
    cancelled_by_key[entry.key] = is_cancelled_end(entry);
  }
  const bool covers_rest = !page.has_more || page.entries.empty();
  const std::set<std::string> undetermined = graph_.undetermined_ends();
  for (auto at = undetermined.upper_bound(id); at != undetermined.end(); ++at) {
    const std::string key = end_key(*at);
    if (!covers_rest && key > page.entries.back().key) break;
    const auto found = cancelled_by_key.find(key);
    graph_.apply_end(*at, found != cancelled_by_key.end() && found->second);
  }
  return Progress::complete;
}

bool DependencyTracker::wait_for_request(Lock& lock, double deadline) {
  for (;;) {
    lock.unlock();
    const double wait_s = take_request_();
    const bool in_time = steady_now() + wait_s < deadline;
    if (wait_s > 0 && in_time) std::this_thread::sleep_for(seconds(wait_s));
    lock.lock();
    if (wait_s <= 0) return true;
    if (!in_time) return false;
  }
}

void DependencyTracker::apply_header(const std::string& key, const kv::Json& value,
                                     std::uint64_t revision) {
  try {
    graph_.apply_header(decode_header(value), revision);
  } catch (const std::exception& error) {
    spdlog::error("record {} is malformed: {}", key, error.what());
  }
}

}  // namespace reachramp::jobs
