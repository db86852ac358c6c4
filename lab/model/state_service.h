// Emulator of the key-value store, which PROTOCOL calls the state service. Callers pass in requests
// and the current time; it returns responses. It reads no clock and opens no socket. Its
// specification is PROTOCOL, "Controller nodes -> state service"; docs/design/lab.md says which
// part of the code implements which paragraph. The terms are those of kv/client.h.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "kv/client.h"
#include "settings/settings.h"

namespace reachramp::lab {

// Emulates the store's HTTP interface: keys with revisions, transactions, leases, watches, rate
// limits, and injected faults.
//
// Not safe to share between threads. `now` is in seconds of any clock, the same one in every call.
class StateService {
 public:
  // A stored value.
  struct Item {
    kv::Json value;
    std::uint64_t revision = 0;
    std::uint64_t lease_id = 0;  // the lease the key is attached to; 0: none
  };
  // A watch without changes to report yet; advance() returns its response later.
  struct PendingWatch {
    std::uint64_t id = 0;
  };
  // The response to the pending watch with this id.
  struct WatchReply {
    std::uint64_t id = 0;
    wire::Response reply;
  };
  // A copy of the stored data, for restore(). Restoring undoes changes that clients may already
  // have seen.
  struct Backup {
    std::map<std::string, Item> items;
    std::uint64_t store_revision = 0;
    std::deque<kv::KeyChange> change_log;
  };

  // `seed` determines all random choices.
  StateService(const settings::StoreLimits& limits, std::uint64_t seed);

  // Answers an HTTP request of a node as the store does, or keeps it as a pending watch.
  std::variant<wire::Response, PendingWatch> handle_request(const std::string& node,
                                                            const wire::Request& request,
                                                            double now);
  // Expires the leases that are due by `now` and returns the responses of all watches that saw a
  // change or timed out.
  std::vector<WatchReply> advance(double now);
  // The latest time by which advance() has to be called again; infinite if nothing is pending.
  double next_event_at() const;

  // ---- fault injection
  // Replaces the rate and size limits.
  void set_limits(const settings::StoreLimits& limits);
  // During an outage every request is answered with 503; afterwards each lease has its full
  // lifetime again.
  void begin_outage(double now) { outage_since_ = now; }
  void end_outage(double now);
  // Sets whether requests of this node are answered with 503; other nodes are not affected.
  void set_refused(const std::string& node, bool refused);
  Backup backup() const { return {items_, store_revision_, change_log_}; }
  // Replaces all data by the copy. Revisions continue from the copy's, so those assigned since then
  // are assigned again.
  void restore(Backup backup);

  // ---- direct access, without HTTP, rate limits and outages, for tests in one process
  kv::CommitResult commit(const kv::Transaction& transaction);
  std::vector<kv::Entry> list(const std::string& prefix) const;
  // The changes of keys with the prefix after a revision; none if the log no longer reaches back
  // that far.
  std::optional<std::vector<kv::KeyChange>> changes_after(const std::string& prefix,
                                                          std::uint64_t after) const;
  // Returns the new lease's id.
  std::uint64_t grant_lease(double lifetime_s, double now);
  // Ends the lease, if it exists, and removes the keys attached to it.
  void revoke_lease(std::uint64_t lease_id);
  const std::map<std::string, Item>& items() const { return items_; }
  std::uint64_t store_revision() const { return store_revision_; }
  // The number of HTTP requests so far.
  std::uint64_t request_count() const { return request_count_; }

 private:
  struct Lease {
    double lifetime_s = 0;
    double expires_at = 0;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after_revision = 0;
    double answer_by = 0;
  };

  wire::Response handle_read_request(const std::string& key) const;
  wire::Response handle_list_request(const wire::Request& request) const;
  wire::Response handle_transaction_request(const wire::Request& request, double now);
  wire::Response handle_lease_request(const wire::Request& request, double now);
  std::variant<wire::Response, PendingWatch> handle_watch_request(const wire::Request& request,
                                                                  double now);
  // The changes that the watch asks for, possibly none.
  wire::Response watch_response(const Watch& watch) const;
  // Whether the transaction exceeds a size limit.
  bool too_large(const kv::Transaction& transaction) const;
  // Adds to the change log, which drops its oldest entry if it is full.
  void append_change(kv::KeyChange change);
  // Removes the key, if it exists, under the current store revision.
  void erase_item(const std::string& key);
  // When a lease that is granted or renewed now expires: late by a random time, never early.
  double draw_expiry(const Lease& lease, double now);

  settings::StoreLimits limits_;
  kv::TokenBucket request_bucket_, write_bucket_;
  std::mt19937_64 random_;
  std::map<std::string, Item> items_;
  std::deque<kv::KeyChange> change_log_;
  std::uint64_t store_revision_ = 0;
  std::uint64_t request_count_ = 0;
  std::uint64_t last_dropped_revision_ = 0;  // change_log_ holds only changes after this revision
  std::map<std::uint64_t, Lease> leases_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t last_lease_id_ = 0;
  std::uint64_t last_watch_id_ = 0;
  std::map<std::string, bool> refused_nodes_;
  std::optional<double> outage_since_;  // none: no outage
};

}  // namespace reachramp::lab
