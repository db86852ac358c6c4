// Asks the members what they have told users as cancelled.
#pragma once

#include <cstdint>
#include <vector>

#include "controller/events.h"
#include "leadership/leader_election.h"
#include "peers/readiness.h"

namespace reachramp::controller {

// One round of the leader with that token. `windows` (seconds): one for each member, of how far
// back it is asked.
struct CancellationPoll {
  std::uint64_t fencing_token = 0;
  std::vector<double> windows_s;
};

// Owns the rounds that wait. A thread of its own, since a member that is gone holds a round up.
class CancellationPoller {
 public:
  CancellationPoller(leadership::LeaderElection& election, peers::NodeHealth& health,
                     EventQueue& events)
      : election_(election), health_(health), events_(events) {}

  // Queues a round. For any thread. Dropped unsent once its leader's time is over.
  void push(CancellationPoll poll) { polls_.push(std::move(poll)); }
  // Asks round after round and reports the answers as events; for a thread of its own.
  [[noreturn]] void run();

 private:
  leadership::LeaderElection& election_;
  peers::NodeHealth& health_;
  EventQueue& events_;
  Queue<CancellationPoll> polls_;
};

}  // namespace reachramp::controller
