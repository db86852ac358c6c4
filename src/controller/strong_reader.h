// Strong reads of the key-value store that the leader asks for.
#pragma once

#include <cstdint>
#include <string>

#include "controller/events.h"
#include "kv/client.h"
#include "leadership/leader_election.h"

namespace reachramp::controller {

// What the leader with that token wants to have read.
struct StrongReadRequest {
  enum class Kind { job_end, verify_key, claims, obsolete_records, drains } kind = Kind::job_end;
  std::uint64_t fencing_token = 0;
  std::string job_or_key{};  // job_end: the job's; verify_key: the key
};

// Owns the reads that wait. One thread runs it, so results come in the order of the requests.
class StrongReader {
 public:
  StrongReader(leadership::LeaderElection& election, kv::Client& store, EventQueue& events)
      : election_(election), store_(store), events_(events) {}

  // Queues a read. For any thread. Dropped unsent once its leader's time is over.
  void push(StrongReadRequest request) { requests_.push(std::move(request)); }
  // Reads one after another and reports the results as events; for a thread of its own. A list or a
  // record of drains that could not be read brings no event: the leader asks again.
  [[noreturn]] void run();

 private:
  void read(const StrongReadRequest& request);
  void read_drains(std::uint64_t fencing_token);
  void read_claims(std::uint64_t fencing_token);
  void read_obsolete_records(std::uint64_t fencing_token);

  leadership::LeaderElection& election_;
  kv::Client& store_;
  EventQueue& events_;
  Queue<StrongReadRequest> requests_;
};

}  // namespace reachramp::controller
