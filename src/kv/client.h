// Client of the consensus-backed key-value store, the only place where controller nodes keep state
// that outlives them (PROTOCOL, "Controller nodes -> state service").
//
// Terms, used throughout the code:
// - Store revision: the number of changes that the store has made so far. All changes of one
//   transaction share one.
// - Revision of a key: the store revision of the key's last change. It never repeats, so a key that
//   has the revision it was read with has not changed since; 0 stands for a key that doesn't exist.
// - Compare-and-swap transaction: writes that are applied, all or none, only if every key in the
//   preconditions still has the revision named there. This is how nodes that don't know of each
//   other never overwrite one another's changes.
// - Lease: a claim on the store that its owner renews. Once it expires or is revoked, the store
//   removes the keys attached to it. It never expires early, and after an outage of the store every
//   lease has its full lifetime again. Not the lease that a worker has from the leader.
//
// What an Outcome means for the caller:
// - ok: done.
// - absent: the key or lease doesn't exist. Don't retry; in place of a lease that has expired, ask
//   for a new one. For a watch: the position is too old. Read the keys again and watch from there.
// - conflict: nothing was applied. Don't retry unchanged; read the failed keys again and decide
//   anew.
// - refused: not executed, so a retry is safe. Pause before it (jittered, kv/steady_clock.h); the
//   client has already repeated requests that were throttled.
// - unknown_lease: nothing was applied. Retry with a new lease only.
// - malformed: nothing was applied and a retry gets the same. A fault of ours, or a size limit.
// - unknown: it may have been executed, or may yet be. Reads and watches can be repeated. A
//   transaction can be repeated unchanged if its writes change a key of its preconditions: at most
//   one of the two is then applied, and a conflict may mean that the first one was. Renewals can
//   be repeated; a lease whose grant was lost on the way expires by itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "kv/codec.h"
#include "kv/revision_clock.h"
#include "kv/token_bucket.h"
#include "kv/types.h"
#include "wire/http.h"

namespace reachramp::kv {

// Owns the connections to the store, the rate limit that this process keeps to, and what the
// responses so far show about the store's reachability and about when revisions were assigned.
//
// All functions may be called by any thread, also at the same time. Requests block the caller: each
// attempt for a response up to 1.5 s (a list 3 s, a watch 1.5 s longer than it may wait), besides
// the pauses between attempts when a rate is exceeded. None of them throws for what the store does.
class Client {
 public:
  // `rps`: requests per second that this client keeps to, with bursts of one second's worth; below
  // `state.rps`, above which the service throttles.
  Client(const wire::Address& address, double rps);

  // Strong read of one key.
  ReadResult get(const std::string& key);
  // One page of the keys with the prefix, those that follow `after`; empty: from the first.
  ListResult list(const std::string& prefix, const std::string& after);
  // Executes a compare-and-swap transaction.
  CommitResult commit(const Transaction& transaction);
  // Asks for a new lease. `lifetime` counts from each renewal; 100 ms to 600 s.
  LeaseGrant grant_lease(std::chrono::milliseconds lifetime);
  // absent: the lease has ended, and the keys attached to it are removed.
  Outcome renew_lease(std::uint64_t lease_id);
  // Ends the lease at once, and with it its keys. Best effort: it expires anyway.
  void revoke_lease(std::uint64_t lease_id);
  // Waits up to `max_wait` (at most 60 s) until a key with the prefix changes after the store
  // revision `after`, and returns all such changes.
  WatchResult watch(const std::string& prefix, std::uint64_t after,
                    std::chrono::milliseconds max_wait);

  // Returns for how many seconds every response has been a 503, which the store sends during an
  // outage, but at least 1 ms; 0 if the last response had another status or there was none. `now`:
  // steady_now().
  double refused_duration_s(double now) const;
  // Returns the seconds since the last response other than a 503; more than 1e9 if there was none
  // yet. Unlike refused_duration_s, it also grows while no responses come at all.
  double seconds_since_served(double now) const;
  // Returns a copy of the clock that dates revisions by the responses so far.
  RevisionClock revision_clock() const;

 private:
  // Sends a request at the rate that the bucket allows, and repeats it a few times when the store
  // throttles it. Does not send it (refused) if the wait for the bucket would be too long. Adds to
  // `throttle_count`, if not null, the number of responses that were 429.
  wire::CallResult call(const char* method, const std::string& target, const Json* body,
                        std::chrono::milliseconds timeout, int* throttle_count = nullptr);
  // Updates reachability and the revision clock.
  void record_response(const wire::CallResult& response);

  wire::Client http_;
  mutable std::mutex mutex_;  // guards all below
  TokenBucket bucket_;
  std::optional<double> refused_since_;   // steady seconds; none: the last response was no 503
  std::optional<double> last_served_at_;  // steady seconds; none: not served yet
  RevisionClock revision_clock_;
};

}  // namespace reachramp::kv
