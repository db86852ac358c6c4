// Emulator of the cloud that rents out machines. Callers pass in requests and the current time; it
// returns responses and the events of its machines. It reads no clock and opens no socket, so the
// same seed and calls give the same results. Its specification is PROTOCOL, "Controller nodes ->
// cloud"; docs/design/lab.md says which part of the code implements which paragraph.
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

// Identifies a pool of machines to rent: machine type, zone, whether they are spot machines.
using PoolKey = std::tuple<std::string, std::string, bool>;

// Configuration of the emulated cloud. Shares lie between 0 and 1.
struct CloudSpec {
  cloud::Catalog catalog;           // its spot prices are the means around which prices move
  std::map<PoolKey, int> capacity;  // machines per pool; a pool that is not listed has none
  settings::CloudLimits limits;
  double slow_boot_share = 0;  // share of machines that take `slow_boot_factor` times as long
  double slow_boot_factor = 3;
  double failed_boot_share = 0;          // share of machines that stay `starting` for ever
  double spot_reclaims_per_hour = 0;     // mean number of times the cloud takes a spot machine back
  double nominal_notice_s = 25;          // notice before a reclaim, without its random variation
  double unannounced_reclaim_share = 0;  // share of spot machines reclaimed without notice
  // Returns the address of the worker on the machine with the given name. Unset: workers have no
  // address.
  std::function<std::string(const std::string&)> worker_address;
};

// Emulates the cloud's HTTP interface and the life of each machine: boot, crash, reclaim, return.
//
// Not safe to share between threads. `now` is in seconds of any clock, the same one in every call.
class Cloud {
 public:
  // up: a machine has booted. reclaim_notice: the cloud will take it back. gone: it was returned or
  // reclaimed, or it crashed.
  enum class EventKind { up, reclaim_notice, gone };
  // A change of a machine that concerns its worker.
  struct Event {
    EventKind kind = EventKind::up;
    std::string machine;
    double at = 0;
    double reclaim_in_s = 0;  // reclaim_notice only: time left until the cloud takes the machine
  };
  // A rented machine, also after its end. Times are infinite for events that are not scheduled.
  struct Machine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    double rented_at = 0;
    double up_at = 0;
    double reclaimed_at = 0;      // when the cloud takes it back
    double crashed_at = 0;        // when it failed by itself
    double terminated_at = 0;     // when it was returned or reclaimed
    bool notice_settled = false;  // its notice was sent, or none will be
    bool up_reported = false;     // advance() has returned its `up` event
    bool gone_reported = false;   // advance() has processed its end
    bool was_listed = false;      // a list has shown it, so later lists must as well
  };

  // `seed` determines all random choices.
  Cloud(CloudSpec spec, std::uint64_t seed);

  // Answers an HTTP request as the cloud does, its rate limit and outages included.
  wire::Response handle_request(const wire::Request& request, double now);
  // Returns the events of all machines since the last call, in the order of their times.
  std::vector<Event> advance(double now);
  // The latest time by which advance() has to be called again; infinite if nothing is pending.
  double next_event_at() const;

  // ---- fault injection
  // During an outage every request is answered with 503.
  void begin_outage() { in_outage_ = true; }
  void end_outage() { in_outage_ = false; }
  // Changes how many machines the pool has; rented ones stay.
  void set_capacity(const PoolKey& pool, int machines) { spec_.capacity[pool] = machines; }
  // Makes the machine fail, without an event other than `gone`.
  void crash_machine(const std::string& machine, double now);
  // Takes the machine back after a notice of `notice_s`, or at once if it is 0.
  void reclaim_machine(const std::string& machine, double notice_s, double now);

  const std::map<std::string, Machine>& machines() const { return machines_; }
  // The price per hour of a spot machine of this type.
  double spot_price(const cloud::MachineType& type, double now) const;
  // All charges until `now`, for all machines.
  double total_cost(double now) const;

 private:
  wire::Response handle_rent_request(const wire::Json& body, double now);
  wire::Response handle_return_request(const wire::Json& body, double now);
  wire::Response handle_list_request(const wire::Request& request, double now);
  // Null if the catalog has no such type.
  const cloud::MachineType* find_type(const std::string& name) const;
  // The number of machines of the pool that are neither returned nor reclaimed nor crashed.
  int rented_count(const PoolKey& pool, double now) const;
  Machine& create_machine(const cloud::MachineType& type, const PoolKey& pool, double now);
  // The charge for one machine until `now`.
  double cost_of(const Machine& machine, double now) const;
  // A uniformly distributed number.
  double random_between(double low, double high);
  // True with the probability `share`.
  bool random_chance(double share) { return random_between(0, 1) < share; }

  CloudSpec spec_;
  kv::TokenBucket request_bucket_;
  std::mt19937_64 random_;
  double price_phase_;  // radians; shifts the sine along which spot prices move
  std::map<std::string, Machine> machines_;  // names sort in the order of creation
  // The machines granted to each rent request, by request id, so that a repeat gets the same.
  std::map<std::string, std::vector<std::string>> granted_requests_;
  bool in_outage_ = false;
};

}  // namespace reachramp::lab
