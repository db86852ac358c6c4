// Calls workers at their own addresses: to announce a new leader, and to deliver stops that cannot
// wait for the next heartbeat.
#pragma once

#include <cstdint>
#include <string>

#include "controller/events.h"
#include "leadership/leader_election.h"

namespace reachramp::controller {

// A call to the worker at `address` (host:port) for the leader with `fencing_token`. If `body` is
// set, it holds stops and is posted to /orders. If it is null, the worker gets orders that contain
// nothing but the fencing token, for the incarnation that its status names.
struct ProbeRequest {
  std::uint64_t fencing_token = 0;
  std::string address;
  wire::Json body{};
};

// Owns the queue of calls. Several threads may run it, because a dead machine delays a thread until
// the call times out.
class MachineProber {
 public:
  // Keeps references to both arguments, which must outlive it.
  MachineProber(leadership::LeaderElection& election, EventQueue& events)
      : election_(election), events_(events) {}

  // Queues a call; any thread may call this function. The call is dropped unsent if its leader's
  // term has ended by then.
  void push(ProbeRequest request) { requests_.push(std::move(request)); }
  // Calls the workers one after another and reports the status that each returns as an event. A
  // call that fails is logged and not repeated. Runs on several threads of its own.
  [[noreturn]] void run();

 private:
  void probe(const ProbeRequest& request);

  leadership::LeaderElection& election_;
  EventQueue& events_;
  Queue<ProbeRequest> requests_;
};

}  // namespace reachramp::controller
