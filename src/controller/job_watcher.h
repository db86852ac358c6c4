// Follows the job records while this node leads, and brings a new leader into being.
#pragma once

#include <atomic>
#include <cstdint>

#include "controller/events.h"
#include "controller/leader_snapshot_loader.h"
#include "kv/client.h"
#include "leadership/leader_election.h"
#include "schema/schema.h"
#include "settings/settings.h"

namespace reachramp::controller {

// Owns the place in the store's history up to which the leader knows of jobs. One thread runs it.
class JobWatcher {
 public:
  // `versions`: what this process supports, for the leaders that it makes.
  JobWatcher(const settings::Platform& platform, const settings::Policy& policy,
             const schema::SupportedLevels& versions, leadership::LeaderElection& election,
             kv::Client& store, peers::Members& members, EventQueue& events);

  // In each term of this node: reads the stored state, makes the leader of it, then reports every
  // change of jobs as an event. Where something cannot be read it tries again until the term is
  // over. For a thread of its own.
  [[noreturn]] void run();
  // All jobs are to be listed again, since a change was lost. For any thread.
  void request_relist() { relist_requested_ = true; }

 private:
  // From when this node has become the leader until it no longer is.
  struct Term {
    std::uint64_t fencing_token = 0;
    std::uint64_t watch_revision = 0;  // the revision up to which changes are known; 0: list all
    bool leader_created = false;       // the leader has been made
  };

  void list_jobs(Term& term);
  void create_leader(Term& term, const LeaderSnapshot& snapshot);
  void follow_changes(Term& term);
  // Lists all jobs again after so many seconds, more or less.
  static void relist_after_pause(Term& term, double pause_s);

  const settings::Platform& platform_;
  const settings::Policy& policy_;
  const schema::SupportedLevels supported_levels_;
  leadership::LeaderElection& election_;
  kv::Client& store_;
  LeaderSnapshotLoader loader_;
  EventQueue& events_;
  std::atomic<bool> relist_requested_ = false;
};

}  // namespace reachramp::controller
