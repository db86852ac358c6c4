// Calls workers at their own addresses: probes, and stops that cannot wait for a heartbeat.
#pragma once

#include <cstdint>
#include <string>

#include "controller/events.h"
#include "leadership/leader_election.h"

namespace reachramp::controller {

// A worker is to be called at `address` (host:port) by the leader with that token. With a body:
// stops, as they are posted to /orders. With none: orders that hold nothing but the token, for the
// incarnation that the worker's status names.
struct ProbeRequest {
  std::uint64_t fencing_token = 0;
  std::string address;
  wire::Json body{};
};

// Owns the probes that wait. Several threads may run it, since a dead machine holds one up.
class MachineProber {
 public:
  MachineProber(leadership::LeaderElection& election, EventQueue& events)
      : election_(election), events_(events) {}

  // Queues a probe. For any thread. Dropped unsent once its leader's time is over.
  void push(ProbeRequest request) { requests_.push(std::move(request)); }
  // Calls workers one after another and reports the status that each gives as an event; a worker
  // that fails to answer is logged and forgotten. For several threads of their own.
  [[noreturn]] void run();

 private:
  void probe(const ProbeRequest& request);

  leadership::LeaderElection& election_;
  EventQueue& events_;
  Queue<ProbeRequest> requests_;
};

}  // namespace reachramp::controller
