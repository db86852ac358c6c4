// Sends the leader's transactions to the key-value store.
#pragma once

#include <cstdint>

#include "controller/events.h"
#include "kv/client.h"
#include "leadership/leader_election.h"

namespace reachramp::controller {

// A transaction to be sent for the leader with `fencing_token`.
struct TransactionRequest {
  std::uint64_t fencing_token = 0;
  kv::Transaction transaction;
};

// Owns the queue of transactions. A single thread runs it, so transactions are sent in order.
class TransactionSender {
 public:
  // Keeps references to all arguments, which must outlive it.
  TransactionSender(leadership::LeaderElection& election, kv::Client& store, EventQueue& events)
      : election_(election), store_(store), events_(events) {}

  // Queues a transaction; any thread may call it. The transaction is dropped unsent if its leader's
  // term has ended by then.
  void push(TransactionRequest request) { requests_.push(std::move(request)); }
  // Sends the transactions one after another and reports each outcome, including failures, as an
  // event; runs on a thread of its own.
  [[noreturn]] void run();

 private:
  leadership::LeaderElection& election_;
  kv::Client& store_;
  EventQueue& events_;
  Queue<TransactionRequest> requests_;
};

}  // namespace reachramp::controller
