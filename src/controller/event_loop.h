// The event loop: passes events to the leader and carries out the effects that the leader returns.
#pragma once

#include <memory>

#include "controller/cancellation_poller.h"
#include "controller/cloud_worker.h"
#include "controller/events.h"
#include "controller/job_watcher.h"
#include "controller/machine_prober.h"
#include "controller/strong_reader.h"
#include "controller/transaction_sender.h"
#include "leadership/leader_election.h"
#include "peers/members.h"

namespace reachramp::controller {

// The components that execute the leader's effects, each on threads of its own.
struct EffectExecutors {
  JobWatcher& job_watcher;
  TransactionSender& transaction_sender;
  CancellationPoller& cancellation_poller;
  StrongReader& strong_reader;
  CloudWorker& cloud_worker;
  MachineProber& machine_prober;
};

// Owns the leader while this node is the leader. Only the thread that calls `run` uses the leader,
// so the leader needs no lock.
class EventLoop {
 public:
  // Keeps references to all arguments, and to the executors, which must outlive it.
  EventLoop(leadership::LeaderElection& election, peers::Members& members, EventQueue& events,
            const EffectExecutors& executors)
      : election_(election), members_(members), events_(events), executors_(executors) {}

  // Processes events and executes the leader's effects, on the calling thread. Logs and drops an
  // event whose processing throws. Blocks only while it waits for events.
  [[noreturn]] void run();

 private:
  void dispatch(Event& event, double now);
  void dispatch_heartbeat(HeartbeatReceived& received, bool is_current_leader, double now);
  // Discards the leader if its term has ended; otherwise advances it and executes its effects.
  void advance_leader(double now);
  void execute_effects(Effects effects);
  void request_reads(Effects& effects, std::uint64_t fencing_token);

  leadership::LeaderElection& election_;
  peers::Members& members_;
  EventQueue& events_;
  const EffectExecutors executors_;
  std::unique_ptr<Leader> leader_;
};

}  // namespace reachramp::controller
