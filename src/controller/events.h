// What the event loop takes in: requests of workers that wait for an answer, and the results of
// calls that the threads around it have made.
#pragma once

#include <cstdint>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cloud/client.h"
#include "controller/leader.h"
#include "controller/queue.h"
#include "kv/client.h"
#include "leadership/read_freshness.h"
#include "wire/http.h"
#include "workers/heartbeat.h"

namespace reachramp::controller {

// This node has become the leader and has read the stored state. Replaces an earlier leader.
struct LeadershipAcquired {
  std::unique_ptr<Leader> leader;
};

// A worker's heartbeat. `reply` is kept until the answer is set; the thread that serves the request
// waits for it.
struct HeartbeatReceived {
  workers::Heartbeat heartbeat;
  std::shared_ptr<std::promise<wire::Response>> reply;
};

// The status that a worker gave when it was called at its own address.
struct StatusReceived {
  workers::Heartbeat status;
};

// Changes of job records, in order. `asked_at` (steady seconds): they were asked for then, so
// everything that was stored before is known.
struct JobsChanged {
  std::vector<kv::KeyChange> changes;
  double requested_at = 0;
};

// All job records, listed anew under the same leader. `asked_at` as above.
struct JobsListed {
  std::vector<kv::Entry> entries;
  double requested_at = 0;
};

// What each member has told users as cancelled.
struct CancellationsPolled {
  std::vector<leadership::CancellationDigest> digests;
};

// The record of a job's end, or that there is none.
struct JobEndRead {
  std::string job;
  kv::ReadResult found;
};

// A key that tells whether a transaction of unknown outcome was applied, and the leader's key, read
// after it.
struct TransactionVerified {
  kv::ReadResult found;
  kv::ReadResult leader;
};

// The claims of all processes: what versions they support.
struct ClaimsRead {
  std::vector<kv::Entry> entries;
};

// All records that are obsolete at some schema version. The leader tells which are at its own.
struct ObsoleteRecordsRead {
  std::vector<kv::Entry> entries;
};

// The rules for what is to be drained; none: there is no such record.
struct DrainsRead {
  std::optional<kv::Entry> entry;
};

// The outcome of a transaction that the leader sent.
struct TransactionCompleted {
  kv::CommitResult result;
};

// The machine types that the cloud offers.
struct CatalogRead {
  cloud::Catalog catalog;
};

// All pages of the cloud's list of machines. `asked_at` (steady seconds): before the first page.
struct MachinesListed {
  std::vector<cloud::ListedMachine> machines;
  double requested_at = 0;
};

// The cloud's final answer to a request for machines.
struct ScaleOutCompleted {
  cloud::ScaleOutRequest request;
  cloud::ScaleOutResult result;
};

// The cloud has taken these machines back.
struct ScaleInCompleted {
  std::vector<std::string> machines;
};

// `fencing_token`: of the leader that asked for what the payload brings. An event with the token of
// an earlier leader is dropped.
struct Event {
  std::uint64_t fencing_token = 0;
  std::variant<LeadershipAcquired, HeartbeatReceived, StatusReceived, JobsChanged, JobsListed,
               CancellationsPolled, JobEndRead, TransactionVerified, ClaimsRead,
               ObsoleteRecordsRead, DrainsRead, TransactionCompleted, CatalogRead, MachinesListed,
               ScaleOutCompleted, ScaleInCompleted>
      payload;
};

// Filled by any thread, emptied by the event loop.
using EventQueue = Queue<Event>;

}  // namespace reachramp::controller
