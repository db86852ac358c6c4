// Watches the job records while this node is the leader, and creates the Leader at the start of
// each term.
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

// Keeps the store revision up to which the leader knows all changes of jobs. A single thread runs
// it.
class JobWatcher {
 public:
  // `supported_levels` is what this process supports; it is passed on to each Leader that this
  // class creates. Keeps references to the other arguments, which must outlive it.
  JobWatcher(const settings::Platform& platform, const settings::Policy& policy,
             const schema::SupportedLevels& supported_levels, leadership::LeaderElection& election,
             kv::Client& store, peers::Members& members, EventQueue& events);

  // For each term of this node: reads the stored state, creates the Leader from it, then reports
  // every change of jobs as an event. If a read fails, it tries again until the term ends. Runs on
  // a thread of its own.
  [[noreturn]] void run();
  // Requests that all jobs are listed again, because the leader could not apply a change. Any
  // thread may call it.
  void request_relist() { relist_requested_ = true; }

 private:
  // The state of one term: from when this node has become the leader until it no longer is.
  struct Term {
    std::uint64_t fencing_token = 0;
    // Changes are known up to this store revision; 0: all jobs must be listed first.
    std::uint64_t watch_revision = 0;
    // The Leader has been created and passed to the event loop.
    bool leader_created = false;
  };

  void list_jobs(Term& term);
  void create_leader(Term& term, const LeaderSnapshot& snapshot);
  void follow_changes(Term& term);
  // Makes the next step list all jobs again, after a pause of about `pause_s`.
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
