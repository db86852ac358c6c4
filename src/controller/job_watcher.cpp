#include "controller/job_watcher.h"

#include <spdlog/spdlog.h>

#include <thread>

#include "controller/store_reads.h"
#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

using kv::Outcome;
using kv::steady_now;

constexpr auto kWatchMaxWait = std::chrono::milliseconds(1000);
constexpr double kReadFailedPause_s = 0.2;
constexpr double kInvalidRecordPause_s = 1;
constexpr double kWatchFailedPause_s = 0.3;

}  // namespace

JobWatcher::JobWatcher(const settings::Platform& platform, const settings::Policy& policy,
                       const schema::SupportedLevels& supported_levels,
                       leadership::LeaderElection& election, kv::Client& store,
                       peers::Members& members, EventQueue& events)
    : platform_(platform),
      policy_(policy),
      supported_levels_(supported_levels),
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
      if (relist_requested_.exchange(false)) term.watch_revision = 0;
      if (term.watch_revision == 0) {
        list_jobs(term);
      } else {
        follow_changes(term);
      }
    }
  }
}

void JobWatcher::list_jobs(Term& term) {
  const double requested_at = steady_now();
  auto jobs = list_all(store_, "job/", &term.watch_revision);
  if (!jobs) return relist_after_pause(term, kReadFailedPause_s);
  if (term.leader_created) {
    events_.push({term.fencing_token, JobsListed{std::move(*jobs), requested_at}});
    return;
  }
  std::optional<LeaderSnapshot> snapshot = loader_.load(requested_at);
  if (!snapshot) return relist_after_pause(term, kReadFailedPause_s);
  snapshot->jobs = std::move(*jobs);
  create_leader(term, *snapshot);
}

void JobWatcher::create_leader(Term& term, const LeaderSnapshot& snapshot) {
  try {
    events_.push({term.fencing_token, LeadershipAcquired{std::make_unique<Leader>(
                                          platform_, policy_, term.fencing_token, snapshot,
                                          steady_now(), supported_levels_)}});
    term.leader_created = true;
  } catch (const std::exception& error) {
    spdlog::error("stored state cannot be loaded: {}", error.what());
    relist_after_pause(term, kInvalidRecordPause_s);
  }
}

void JobWatcher::follow_changes(Term& term) {
  // A response is only known to contain what was stored when it was requested: a process that was
  // suspended may find a response that has waited for it all that time.
  const double requested_at = steady_now();
  kv::WatchResult changes = store_.watch("job/", term.watch_revision, kWatchMaxWait);
  if (changes.outcome == Outcome::absent) {
    term.watch_revision = 0;
  } else if (changes.outcome == Outcome::ok) {
    term.watch_revision = changes.store_revision;
    events_.push({term.fencing_token, JobsChanged{std::move(changes.changes), requested_at}});
  } else {
    std::this_thread::sleep_for(kv::jittered(kWatchFailedPause_s));
  }
}

void JobWatcher::relist_after_pause(Term& term, double pause_s) {
  term.watch_revision = 0;
  std::this_thread::sleep_for(kv::jittered(pause_s));
}

}  // namespace reachramp::controller
