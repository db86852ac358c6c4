// The key-value store as a model: requests and the time in, replies out. It reads no clock and
// opens no socket. PROTOCOL, "Controller nodes -> key-value store", is its specification;
// docs/design/lab.md maps the paragraphs to what is here.
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

class StateService {
 public:
  struct Item {
    kv::Json value;
    std::uint64_t revision = 0;
    std::uint64_t lease_id = 0;  // 0: none
  };
  // A watch that has nothing to tell yet; its reply comes out of pass().
  struct PendingWatch {
    std::uint64_t id = 0;
  };
  struct WatchReply {
    std::uint64_t id = 0;
    wire::Response reply;
  };
  // What the service holds, to be put back later: data that are older than what was answered.
  struct Backup {
    std::map<std::string, Item> items;
    std::uint64_t store_revision = 0;
    std::deque<kv::KeyChange> change_log;
  };

  StateService(const settings::StoreLimits& limits, std::uint64_t seed);

  std::variant<wire::Response, PendingWatch> handle_request(const std::string& from,
                                                            const wire::Request& request,
                                                            double now);
  // Lets time pass: leases end, watches are answered. All replies that are due.
  std::vector<WatchReply> advance(double now);
  // By when time has to pass again; the infinite future if nothing waits.
  double next_event_at() const;

  // Troubles.
  void set_limits(const settings::StoreLimits& limits);
  void begin_outage(double now) { outage_since_ = now; }
  void end_outage(double now);
  void set_refused(const std::string& node, bool yes);
  Backup backup() const { return {items_, store_revision_, change_log_}; }
  void restore(Backup backup);

  // The same without HTTP, rates and outages, for what drives decisions directly.
  kv::CommitResult commit(const kv::Transaction& transaction);
  std::vector<kv::Entry> list(const std::string& prefix) const;
  // Nothing if the position is too old.
  std::optional<std::vector<kv::KeyChange>> changes_after(const std::string& prefix,
                                                          std::uint64_t after) const;
  std::uint64_t grant_lease(double life_s, double now);
  void revoke_lease(std::uint64_t lease_id);
  const std::map<std::string, Item>& items() const { return items_; }
  std::uint64_t store_revision() const { return store_revision_; }
  std::uint64_t request_count() const { return request_count_; }  // requests so far

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
  wire::Response watch_response(const Watch& watch) const;
  bool too_large(const kv::Transaction& transaction) const;
  void append_change(kv::KeyChange change);
  void erase_item(const std::string& key);
  double draw_expiry(const Lease& lease_id, double now);

  settings::StoreLimits limits_;
  kv::TokenBucket request_bucket_, write_bucket_;
  std::mt19937_64 random_;
  std::map<std::string, Item> items_;
  std::deque<kv::KeyChange> change_log_;
  std::uint64_t store_revision_ = 0;
  std::uint64_t request_count_ = 0;
  std::uint64_t last_dropped_revision_ = 0;  // changes up to here are no longer in the log
  std::map<std::uint64_t, Lease> leases_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t last_lease_id_ = 0;
  std::uint64_t last_watch_id_ = 0;
  std::map<std::string, bool> refused_nodes_;
  std::optional<double> outage_since_;
};

}  // namespace reachramp::lab
