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
using PoolName = std::tuple<std::string, std::string, bool>;

// What a night says of its cloud. Times in seconds; shares between 0 and 1.
struct CloudSpec {
  cloud::Catalog catalog;  // prices are the nominal ones
  std::map<PoolName, int> capacity;
  settings::CloudLimits limits;
  double slow_boots = 0;  // share of machines that take `slow_boot_times` as long
  double slow_boot_times = 3;
  double never_boots = 0;    // share of machines that stay `starting`
  double spot_per_hour = 0;  // how often a spot machine is taken back
  double notice_s = 25;      // nominal
  double silent = 0;         // share that is taken without notice
  // Where a machine's worker is reached, by the machine's name; empty: nowhere.
  std::function<std::string(const std::string&)> address;
};

class Cloud {
 public:
  enum class What { up, notice, gone };
  struct Event {
    What what = What::up;
    std::string machine;
    double at = 0;
    double notice_s = 0;  // with a notice: until it is taken
  };
  struct Machine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    double rented_at = 0;
    double up_at = 0;
    double taken_at = 0;  // by the cloud; the infinite future: never
    double died_at = 0;   // by itself
    double gone_at = 0;   // returned, or taken
    bool noticed = false;
    bool told_up = false;
    bool told_gone = false;
    bool listed = false;
  };

  Cloud(CloudSpec spec, std::uint64_t seed);

  wire::Response ask(const wire::Request& request, double now);
  // What has happened to machines since, in the order of time.
  std::vector<Event> pass(double now);
  double due() const;

  // Troubles.
  void stop() { stopped_ = true; }
  void go_on() { stopped_ = false; }
  void room(const PoolName& pool, int machines) { spec_.capacity[pool] = machines; }
  void kill(const std::string& machine, double now);
  // With a notice, or at once if `notice_s` is 0.
  void take_back(const std::string& machine, double notice_s, double now);

  const std::map<std::string, Machine>& machines() const { return machines_; }
  double spot_price(const cloud::MachineType& type, double now) const;
  // Money charged until now.
  double spent(double now) const;

 private:
  wire::Response hire(const wire::Json& body, double now);
  wire::Response give_back(const wire::Json& body, double now);
  wire::Response list(const wire::Request& request, double now);
  const cloud::MachineType* type_of(const std::string& name) const;
  int rented(const PoolName& pool, double now) const;
  Machine& rent(const cloud::MachineType& type, const PoolName& pool, double now);
  double charge(const Machine& machine, double now) const;
  double between(double low, double high);
  bool chance(double share) { return between(0, 1) < share; }

  CloudSpec spec_;
  kv::TokenBucket requests_;
  std::mt19937_64 random_;
  double phase_;
  std::map<std::string, Machine> machines_;  // the names' order is that of creation
  std::map<std::string, std::vector<std::string>> hires_;
  bool stopped_ = false;
};

}  // namespace reachramp::lab
