// The state service: strong reads, conditional transactions, permits and watches.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "state/bucket.h"
#include "state/timeline.h"
#include "wire/http.h"

namespace reachramp::state {

using wire::Json;

enum class Outcome {
  ok,
  absent,     // no such key or permit
  conflict,   // a condition failed; nothing was applied
  refused,    // not executed: outage, rate limit
  no_permit,  // a write named a permit that has ended
  bad,        // the service calls the request malformed
  unknown,    // no answer: may have been, or may yet be, executed
};

struct Entry {
  std::string key;
  Json value;
  std::uint64_t stamp = 0;
  std::uint64_t permit = 0;  // that it hangs on, as far as a read of the key alone tells; 0: none
};

struct Found {
  Outcome outcome = Outcome::unknown;
  Entry entry;
  std::uint64_t epoch = 0;  // when absent
};

struct Page {
  Outcome outcome = Outcome::unknown;
  std::vector<Entry> entries;
  bool more = false;
  std::uint64_t epoch = 0;
};

struct Write {
  std::string key;
  std::optional<Json> value;  // none: remove
  std::optional<std::uint64_t> permit;
};

struct Transaction {
  std::vector<std::pair<std::string, std::uint64_t>> conditions;
  std::vector<Write> writes;
};

struct Committed {
  Outcome outcome = Outcome::unknown;
  std::uint64_t epoch = 0;
  std::vector<std::string> failed;
  int throttled = 0;  // how often it was turned away for its rate before this
};

struct Change {
  std::string key;
  std::optional<Json> value;  // none: removed
  std::uint64_t stamp = 0;
};

struct Changes {
  Outcome outcome = Outcome::unknown;  // absent: the position is too old
  std::uint64_t epoch = 0;
  std::vector<Change> changes;
};

struct Permit {
  Outcome outcome = Outcome::unknown;
  std::uint64_t id = 0;
};

// Whether the value, and so many bytes more, is no longer than a value may be.
bool fits(const Json& value, double value_kb, std::size_t more = 0);
Json encode_transaction(const Transaction& transaction);
Committed decode_committed(const wire::Answer& answer);
Page decode_page(const wire::Answer& answer);
Changes decode_changes(const wire::Answer& answer);
Found decode_found(const wire::Answer& answer);

class Client {
 public:
  Client(const wire::Address& at, double rps);

  Found get(const std::string& key);
  Page list(const std::string& prefix, const std::string& after);
  Committed commit(const Transaction& transaction);
  Permit hold(std::chrono::milliseconds life);
  Outcome renew(std::uint64_t permit);
  void release(std::uint64_t permit);
  Changes follow(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds hold);

  // How long all that was answered has been refused; 0 if the last answer was not a refusal.
  double refused_for(double now) const;
  // How long ago the last answer came that was no refusal.
  double served_ago(double now) const;
  // What the answers so far tell of when stamps were given.
  Timeline timeline() const;

 private:
  wire::Answer call(const char* method, const std::string& target, const Json* body,
                    std::chrono::milliseconds limit, int* throttled = nullptr);

  void note(const wire::Answer& answer);

  wire::Client http_;
  mutable std::mutex mutex_;
  Bucket bucket_;
  double refused_since_ = -1;
  double served_at_ = -1e9;
  Timeline timeline_;
};

}  // namespace reachramp::state
