#include "controller/job_watcher.h"

#include <spdlog/spdlog.h>

#include <thread>

#include "controller/store_reads.h"
#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

using kv::Outcome;
using kv::steady_now;

constexpr auto kWatchFor = std::chrono::milliseconds(1000);
constexpr double kUnreadPause_s = 0.2;
constexpr double kUnusablePause_s = 1;
constexpr double kWatchFailedPause_s = 0.3;

}  // namespace

JobWatcher::JobWatcher(const settings::Platform& platform, const settings::Policy& policy,
                       const schema::SupportedVersions& versions,
                       leadership::LeaderElection& election, kv::Client& store,
                       peers::Members& members, EventQueue& events)
    : platform_(platform),
      policy_(policy),
      versions_(versions),
      election_(election),
      store_(store),
      loader_(store, members),
      events_(events) {}

void JobWatcher::run() {
  std::uint64_t fencing_token = 0;
  for (;;) {
    fencing_token = election_.wait_until_leader(fencing_token);
    Term term{fencing_token};
    while (election_.status().fencing_token == fencing_token) {
      if (relist_requested_.exchange(false)) term.position = 0;
      if (term.position == 0) {
        list_jobs(term);
      } else {
        follow_changes(term);
      }
    }
  }
}

void JobWatcher::list_jobs(Term& term) {
  const double asked_at = steady_now();
  auto jobs = list_all(store_, "job/", &term.position);
  if (!jobs) return start_over(term, kUnreadPause_s);
  if (term.leading) {
    events_.push({term.fencing_token, JobsListed{std::move(*jobs), asked_at}});
    return;
  }
  std::optional<LeaderSnapshot> snapshot = loader_.load(asked_at);
  if (!snapshot) return start_over(term, kUnreadPause_s);
  snapshot->jobs = std::move(*jobs);
  begin_leading(term, *snapshot);
}

void JobWatcher::begin_leading(Term& term, const LeaderSnapshot& snapshot) {
  try {
    events_.push({term.fencing_token,
                  LeadershipAcquired{std::make_unique<Leader>(
                      platform_, policy_, term.fencing_token, snapshot, steady_now(), versions_)}});
    term.leading = true;
  } catch (const std::exception& error) {
    spdlog::error("records cannot be read: {}", error.what());
    start_over(term, kUnusablePause_s);
  }
}

void JobWatcher::follow_changes(Term& term) {
  // Answers say what was when they were asked for, at the least: a process that stood still finds
  // one that has waited for it as long.
  const double asked_at = steady_now();
  kv::WatchResult changes = store_.watch("job/", term.position, kWatchFor);
  if (changes.outcome == Outcome::absent) {
    term.position = 0;
  } else if (changes.outcome == Outcome::ok) {
    term.position = changes.store_revision;
    events_.push({term.fencing_token, JobsChanged{std::move(changes.changes), asked_at}});
  } else {
    std::this_thread::sleep_for(kv::jittered(kWatchFailedPause_s));
  }
}

void JobWatcher::start_over(Term& term, double pause_s) {
  term.position = 0;
  std::this_thread::sleep_for(kv::jittered(pause_s));
}

}  // namespace reachramp::controller
