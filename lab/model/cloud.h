// The cloud as a model: requests and the time in; replies, and what becomes of machines, out. It
// reads no clock and opens no socket. PROTOCOL, "Controller nodes -> cloud", is its specification;
// docs/design/lab.md maps the paragraphs to what is here.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "cloud/client.h"
#include "kv/token_bucket.h"
#include "settings/settings.h"

namespace reachramp::lab {

// Type, zone, spot.
using PoolKey = std::tuple<std::string, std::string, bool>;

// What a night says of its cloud. Times in seconds; shares between 0 and 1.
struct CloudSpec {
  cloud::Catalog catalog;  // prices are the nominal ones
  std::map<PoolKey, int> capacity;
  settings::CloudLimits limits;
  double slow_boot_share = 0;  // share of machines that take `slow_boot_times` as long
  double slow_boot_factor = 3;
  double failed_boot_share = 0;          // share of machines that stay `starting`
  double spot_reclaims_per_hour = 0;     // how often a spot machine is taken back
  double nominal_notice_s = 25;          // nominal
  double unannounced_reclaim_share = 0;  // share that is taken without notice
  // Where a machine's worker is reached, by the machine's name; empty: nowhere.
  std::function<std::string(const std::string&)> worker_address;
};

class Cloud {
 public:
  enum class EventKind { up, reclaim_notice, gone };
  struct Event {
    EventKind kind = EventKind::up;
    std::string machine;
    double at = 0;
    double reclaim_in_s = 0;  // with a notice: until it is taken
  };
  struct Machine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    double rented_at = 0;
    double up_at = 0;
    double reclaimed_at = 0;   // by the cloud; the infinite future: never
    double crashed_at = 0;     // by itself
    double terminated_at = 0;  // returned, or taken
    bool notice_settled = false;
    bool up_reported = false;
    bool gone_reported = false;
    bool was_listed = false;
  };

  Cloud(CloudSpec spec, std::uint64_t seed);

  wire::Response handle_request(const wire::Request& request, double now);
  // What has happened to machines since, in the order of time.
  std::vector<Event> advance(double now);
  double next_event_at() const;

  // Troubles.
  void begin_outage() { in_outage_ = true; }
  void end_outage() { in_outage_ = false; }
  void set_capacity(const PoolKey& pool, int machines) { spec_.capacity[pool] = machines; }
  void crash_machine(const std::string& machine, double now);
  // With a notice, or at once if `notice_s` is 0.
  void reclaim_machine(const std::string& machine, double notice_s, double now);

  const std::map<std::string, Machine>& machines() const { return machines_; }
  double spot_price(const cloud::MachineType& type, double now) const;
  // Money charged until now.
  double total_cost(double now) const;

 private:
  wire::Response handle_rent_request(const wire::Json& body, double now);
  wire::Response handle_return_request(const wire::Json& body, double now);
  wire::Response handle_list_request(const wire::Request& request, double now);
  const cloud::MachineType* find_type(const std::string& name) const;
  int rented_count(const PoolKey& pool, double now) const;
  Machine& create_machine(const cloud::MachineType& type, const PoolKey& pool, double now);
  double cost_of(const Machine& machine, double now) const;
  double random_between(double low, double high);
  bool random_chance(double share) { return random_between(0, 1) < share; }

  CloudSpec spec_;
  kv::TokenBucket request_bucket_;
  std::mt19937_64 random_;
  double price_phase_;
  std::map<std::string, Machine> machines_;  // the names' order is that of creation
  std::map<std::string, std::vector<std::string>> granted_requests_;
  bool in_outage_ = false;
};

}  // namespace reachramp::lab
