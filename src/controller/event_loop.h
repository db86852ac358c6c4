// The thread that makes the leader's decisions: events in, effects out.
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

// The threads that carry out what the leader has decided.
struct EffectExecutors {
  JobWatcher& job_watcher;
  TransactionSender& transaction_sender;
  CancellationPoller& cancellation_poller;
  StrongReader& strong_reader;
  CloudWorker& cloud_worker;
  MachineProber& machine_prober;
};

// Owns the leader, while this node has one. One thread runs it, and nothing else touches the
// leader, so that has no lock.
class EventLoop {
 public:
  EventLoop(leadership::LeaderElection& election, peers::Members& members, EventQueue& events,
            const EffectExecutors& executors)
      : election_(election), members_(members), events_(events), executors_(executors) {}

  // Takes events, lets the leader act on them and hands what it wants done to the executors. An
  // event that throws is logged and dropped. For a thread of its own; it never blocks but for
  // events.
  [[noreturn]] void run();

 private:
  void dispatch(Event& event, double now);
  void dispatch_heartbeat(HeartbeatReceived& received, bool is_current_leader, double now);
  // Gives up the leader whose time is over, or lets it act.
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
