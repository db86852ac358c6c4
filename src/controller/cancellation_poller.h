// Asks all members which cancellations they have confirmed to users.
#pragma once

#include <cstdint>
#include <vector>

#include "controller/events.h"
#include "leadership/leader_election.h"
#include "peers/readiness.h"

namespace reachramp::controller {

// One poll of all members for the leader with `fencing_token`. `windows_s` holds for each member
// how many seconds back its answer has to reach.
struct CancellationPoll {
  std::uint64_t fencing_token = 0;
  std::vector<double> windows_s;
};

// Owns the queue of polls. It runs on a thread of its own because a member that does not respond
// delays a poll.
class CancellationPoller {
 public:
  // Keeps references to all arguments, which must outlive it.
  CancellationPoller(leadership::LeaderElection& election, peers::NodeHealth& health,
                     EventQueue& events)
      : election_(election), health_(health), events_(events) {}

  // Queues a poll; any thread may call it. The poll is dropped unsent if its leader's term has
  // ended by then.
  void push(CancellationPoll poll) { polls_.push(std::move(poll)); }
  // Executes the polls one after another and reports the answers as events; runs on a thread of its
  // own.
  [[noreturn]] void run();

 private:
  leadership::LeaderElection& election_;
  peers::NodeHealth& health_;
  EventQueue& events_;
  Queue<CancellationPoll> polls_;
};

}  // namespace reachramp::controller
