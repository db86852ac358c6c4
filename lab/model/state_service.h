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
  struct Watching {
    std::uint64_t id = 0;
  };
  struct Told {
    std::uint64_t id = 0;
    wire::Response reply;
  };
  // What the service holds, to be put back later: data that are older than what was answered.
  struct Backup {
    std::map<std::string, Item> items;
    std::uint64_t store_revision = 0;
    std::deque<kv::KeyChange> log;
  };

  StateService(const settings::StoreLimits& limits, std::uint64_t seed);

  std::variant<wire::Response, Watching> ask(const std::string& from, const wire::Request& request,
                                             double now);
  // Lets time pass: leases end, watches are answered. All replies that are due.
  std::vector<Told> pass(double now);
  // By when time has to pass again; the infinite future if nothing waits.
  double due() const;

  // Troubles.
  void limit(const settings::StoreLimits& limits);
  void stop(double now) { stopped_at_ = now; }
  void go_on(double now);
  void refuse(const std::string& node, bool yes);
  Backup backup() const { return {items_, store_revision_, log_}; }
  void restore(Backup backup);

  // The same without HTTP, rates and outages, for what drives decisions directly.
  kv::CommitResult commit(const kv::Transaction& transaction);
  std::vector<kv::Entry> list(const std::string& prefix) const;
  // Nothing if the position is too old.
  std::optional<std::vector<kv::KeyChange>> changes(const std::string& prefix,
                                                    std::uint64_t after) const;
  std::uint64_t hold(double life_s, double now);
  void release(std::uint64_t lease_id);
  const std::map<std::string, Item>& items() const { return items_; }
  std::uint64_t store_revision() const { return store_revision_; }
  std::uint64_t asked() const { return asked_; }  // requests so far

 private:
  struct Permit {
    double life_s = 0;
    double ends_at = 0;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    double until = 0;
  };

  wire::Response read(const std::string& key) const;
  wire::Response read_many(const wire::Request& request) const;
  wire::Response multi(const wire::Request& request, double now);
  wire::Response leases(const wire::Request& request, double now);
  std::variant<wire::Response, Watching> follow(const wire::Request& request, double now);
  wire::Response watched(const Watch& watch) const;
  bool too_large(const kv::Transaction& transaction) const;
  void remember(kv::KeyChange change);
  void erase(const std::string& key);
  double end_of(const Permit& lease_id, double now);

  settings::StoreLimits limits_;
  kv::TokenBucket requests_, writes_;
  std::mt19937_64 random_;
  std::map<std::string, Item> items_;
  std::deque<kv::KeyChange> log_;
  std::uint64_t store_revision_ = 0;
  std::uint64_t asked_ = 0;
  std::uint64_t forgotten_ = 0;  // changes up to here are no longer in the log
  std::map<std::uint64_t, Permit> leases_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t last_lease_id_ = 0;
  std::uint64_t last_watch_ = 0;
  std::map<std::string, bool> refused_;
  std::optional<double> stopped_at_;
};

}  // namespace reachramp::lab
