// The events that the event loop processes: heartbeats whose senders wait for a response, and the
// results of calls that other threads have made on the leader's behalf.
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

// This node has become the leader and has read the stored state. Replaces the leader of an earlier
// term of this node, if there is one.
struct LeadershipAcquired {
  std::unique_ptr<Leader> leader;
};

// A worker's heartbeat. The thread that serves the request waits on `reply` until the event loop or
// the leader sets it.
struct HeartbeatReceived {
  workers::Heartbeat heartbeat;
  std::shared_ptr<std::promise<wire::Response>> reply;
};

// The status that a worker returned when this node called it at its own address, outside its
// heartbeats.
struct StatusReceived {
  workers::Heartbeat status;
};

// Changes of job records, in the order of their revisions. The watch was requested at
// `requested_at` (steady seconds), so these and earlier changes include everything that was stored
// before then.
struct JobsChanged {
  std::vector<kv::KeyChange> changes;
  double requested_at = 0;
};

// All job records, listed again under the same leader. `requested_at` (steady seconds): when the
// first page was requested; the list includes everything that was stored before then.
struct JobsListed {
  std::vector<kv::Entry> entries;
  double requested_at = 0;
};

// For each member, the jobs whose cancellation it has confirmed to users.
struct CancellationsPolled {
  std::vector<leadership::CancellationDigest> digests;
};

// The result of reading the record `end/<job>`, which exists once the job has ended.
struct JobEndRead {
  std::string job;
  kv::ReadResult found;
};

// The results of two reads that together tell whether a transaction of unknown outcome was applied:
// first a key that the transaction writes, then the leader's key.
struct TransactionVerified {
  kv::ReadResult found;
  kv::ReadResult leader;
};

// The records `claim/<node>` of all nodes: which schema levels each process supports.
struct ClaimsRead {
  std::vector<kv::Entry> entries;
};

// All records that are obsolete at some schema level. The leader selects those that are obsolete at
// the current one.
struct ObsoleteRecordsRead {
  std::vector<kv::Entry> entries;
};

// The record `drains`, the rules for which machines to drain. None: the record does not exist.
struct DrainsRead {
  std::optional<kv::Entry> entry;
};

// The outcome of a transaction that the leader has sent.
struct TransactionCompleted {
  kv::CommitResult result;
};

// The machine types that the cloud offers.
struct CatalogRead {
  cloud::Catalog catalog;
};

// The cloud's complete list of machines. `requested_at` (steady seconds): when the first page was
// requested.
struct MachinesListed {
  std::vector<cloud::ListedMachine> machines;
  double requested_at = 0;
};

// The cloud's final response to a request for machines.
struct ScaleOutCompleted {
  cloud::ScaleOutRequest request;
  cloud::ScaleOutResult result;
};

// The cloud has accepted the return of these machines.
struct ScaleInCompleted {
  std::vector<std::string> machines;
};

// An event for the event loop. `fencing_token` is that of the leader that requested what the
// payload holds; the event loop drops results that an earlier leader requested.
struct Event {
  std::uint64_t fencing_token = 0;
  std::variant<LeadershipAcquired, HeartbeatReceived, StatusReceived, JobsChanged, JobsListed,
               CancellationsPolled, JobEndRead, TransactionVerified, ClaimsRead,
               ObsoleteRecordsRead, DrainsRead, TransactionCompleted, CatalogRead, MachinesListed,
               ScaleOutCompleted, ScaleInCompleted>
      payload;
};

// The queue of events: any thread adds to it, only the event loop takes from it.
using EventQueue = Queue<Event>;

}  // namespace reachramp::controller
