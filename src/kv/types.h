// Types that the client of the key-value store takes and returns: plain values, without I/O and
// without the field names of the wire format.
// The terms (lease, revision, store revision, compare-and-swap) are explained in kv/client.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/message.h"

namespace reachramp::kv {

using wire::Json;

// The outcome of a request. kv/client.h says what each means for the caller and whether to retry.
enum class Outcome {
  ok,             // executed
  absent,         // no such key or lease; of a watch: its position is older than the change log
  conflict,       // a precondition failed; nothing was applied
  refused,        // not executed: outage, rate limit, no connection
  unknown_lease,  // a write named a lease that has ended; nothing was applied
  malformed,      // the service calls the request malformed; nothing was applied
  unknown,        // no usable response: may have been, or may yet be, executed
};

// A key as it was read.
struct Entry {
  std::string key;
  Json value;
  std::uint64_t revision = 0;  // of the key's last change
  // The lease that the key is attached to; 0: none. Only a read of the single key tells it: always
  // 0 in a ListResult.
  std::uint64_t lease_id = 0;
};

// Response to a read of one key.
struct ReadResult {
  Outcome outcome = Outcome::unknown;
  Entry entry;                       // set when ok
  std::uint64_t store_revision = 0;  // set when absent: as of this revision there was no such key
};

// One page of the keys with a prefix, in key order.
struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Entry> entries;
  bool has_more = false;             // the page was truncated: go on after its last key
  std::uint64_t store_revision = 0;  // as of which the page was read
};

// One change that a transaction makes if all its preconditions hold.
struct Write {
  std::string key;
  std::optional<Json> value;              // none: remove the key
  std::optional<std::uint64_t> lease_id;  // none: a put detaches the key from its lease
};

// A compare-and-swap transaction, atomic. Without writes it only compares.
struct Transaction {
  // Keys, each with the revision that it must have; 0: the key must not exist.
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
  std::vector<Write> writes;
};

// Response to a transaction.
struct CommitResult {
  Outcome outcome = Outcome::unknown;
  std::uint64_t store_revision = 0;      // set when ok: the revision that all its writes share
  std::vector<std::string> failed_keys;  // set on a conflict: whose preconditions failed
  // How often this call was throttled (429), whatever its final outcome: it shows the caller that
  // its own estimate of the service's rate limit is too high.
  int throttle_count = 0;
};

// One change of a key, as a watch reports it.
struct KeyChange {
  std::string key;
  std::optional<Json> value;   // none: removed
  std::uint64_t revision = 0;  // of this change
};

// Response to a watch.
struct WatchResult {
  Outcome outcome = Outcome::unknown;  // absent: read the keys again, the position is too old
  std::uint64_t store_revision = 0;    // set when ok: the position to go on watching from
  std::vector<KeyChange> changes;      // in order of their revisions; empty: nothing changed
};

// Response to a request for a new lease.
struct LeaseGrant {
  Outcome outcome = Outcome::unknown;
  std::uint64_t id = 0;  // set when ok
};

}  // namespace reachramp::kv
