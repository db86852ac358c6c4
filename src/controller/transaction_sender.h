// Sends the leader's transactions to the key-value store.
#pragma once

#include <cstdint>

#include "controller/events.h"
#include "kv/client.h"
#include "leadership/leader_election.h"

namespace reachramp::controller {

// A transaction of the leader with that token.
struct TransactionRequest {
  std::uint64_t fencing_token = 0;
  kv::Transaction transaction;
};

// Owns the transactions that wait. One thread runs it, so they are sent in order.
class TransactionSender {
 public:
  TransactionSender(leadership::LeaderElection& election, kv::Client& store, EventQueue& events)
      : election_(election), store_(store), events_(events) {}

  // Queues a transaction. For any thread. Dropped unsent once its leader's time is over.
  void push(TransactionRequest request) { requests_.push(std::move(request)); }
  // Sends one after another and reports each outcome, whatever it is, as an event; for a thread of
  // its own.
  [[noreturn]] void run();

 private:
  leadership::LeaderElection& election_;
  kv::Client& store_;
  EventQueue& events_;
  Queue<TransactionRequest> requests_;
};

}  // namespace reachramp::controller
