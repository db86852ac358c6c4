// The key-value store: strong reads, conditional transactions, leases and watches.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "kv/revision_clock.h"
#include "kv/token_bucket.h"
#include "wire/http.h"

namespace reachramp::kv {

using wire::Json;

enum class Outcome {
  ok,
  absent,         // no such key or lease
  conflict,       // a condition failed; nothing was applied
  refused,        // not executed: outage, rate limit
  unknown_lease,  // a write named a lease that has ended
  malformed,      // the service calls the request malformed
  unknown,        // no answer: may have been, or may yet be, executed
};

struct Entry {
  std::string key;
  Json value;
  std::uint64_t revision = 0;
  std::uint64_t lease_id = 0;  // that it hangs on, as far as a read of the key alone tells; 0: none
};

struct ReadResult {
  Outcome outcome = Outcome::unknown;
  Entry entry;
  std::uint64_t store_revision = 0;  // when absent
};

struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Entry> entries;
  bool more = false;
  std::uint64_t store_revision = 0;
};

struct Write {
  std::string key;
  std::optional<Json> value;  // none: remove
  std::optional<std::uint64_t> lease_id;
};

struct Transaction {
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
  std::vector<Write> writes;
};

struct CommitResult {
  Outcome outcome = Outcome::unknown;
  std::uint64_t store_revision = 0;
  std::vector<std::string> failed_keys;
  int throttle_count = 0;  // how often it was turned away for its rate before this
};

struct KeyChange {
  std::string key;
  std::optional<Json> value;  // none: removed
  std::uint64_t revision = 0;
};

struct WatchResult {
  Outcome outcome = Outcome::unknown;  // absent: the position is too old
  std::uint64_t store_revision = 0;
  std::vector<KeyChange> changes;
};

struct LeaseGrant {
  Outcome outcome = Outcome::unknown;
  std::uint64_t id = 0;
};

// Whether the value, and so many bytes more, is no longer than a value may be.
bool fits(const Json& value, double value_kb, std::size_t more = 0);
Json encode_transaction(const Transaction& transaction);
CommitResult decode_committed(const wire::Answer& answer);
ListResult decode_page(const wire::Answer& answer);
WatchResult decode_changes(const wire::Answer& answer);
ReadResult decode_found(const wire::Answer& answer);

class Client {
 public:
  Client(const wire::Address& at, double rps);

  ReadResult get(const std::string& key);
  ListResult list(const std::string& prefix, const std::string& after);
  CommitResult commit(const Transaction& transaction);
  LeaseGrant grant_lease(std::chrono::milliseconds life);
  Outcome renew_lease(std::uint64_t lease_id);
  void revoke_lease(std::uint64_t lease_id);
  WatchResult watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds hold);

  // How long all that was answered has been refused; 0 if the last answer was not a refusal.
  double refused_duration_s(double now) const;
  // How long ago the last answer came that was no refusal.
  double seconds_since_served(double now) const;
  // What the answers so far tell of when revisions were given.
  RevisionClock revision_clock() const;

 private:
  wire::Answer call(const char* method, const std::string& target, const Json* body,
                    std::chrono::milliseconds limit, int* throttled = nullptr);

  void note(const wire::Answer& answer);

  wire::Client http_;
  mutable std::mutex mutex_;
  TokenBucket bucket_;
  double refused_since_ = -1;
  double served_at_ = -1e9;
  RevisionClock timeline_;
};

}  // namespace reachramp::kv
