// Executes the strong reads of the key-value store that the leader requests.
#pragma once

#include <cstdint>
#include <string>

#include "controller/events.h"
#include "kv/client.h"
#include "leadership/leader_election.h"

namespace reachramp::controller {

// A read that the leader with `fencing_token` requests.
struct StrongReadRequest {
  enum class Kind { job_end, verify_key, claims, obsolete_records, drains } kind = Kind::job_end;
  std::uint64_t fencing_token = 0;
  // job_end: the job's id; verify_key: the key; otherwise empty
  std::string job_or_key{};
};

// Owns the queue of reads. A single thread runs it, so results arrive in the order of the requests.
class StrongReader {
 public:
  // Keeps references to all arguments, which must outlive it.
  StrongReader(leadership::LeaderElection& election, kv::Client& store, EventQueue& events)
      : election_(election), store_(store), events_(events) {}

  // Queues a read; any thread may call it. The read is dropped unsent if its leader's term has
  // ended by then.
  void push(StrongReadRequest request) { requests_.push(std::move(request)); }
  // Executes the reads one after another and reports the results as events; runs on a thread of its
  // own. A failed read of the claims, the obsolete records or the drain rules yields no event: the
  // leader repeats these requests periodically.
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
