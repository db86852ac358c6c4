// The cloud: machine types, rentals, returns and the (lagging) list of machines.
#pragma once

#include <string>
#include <vector>

#include "wire/http.h"

namespace reachramp::cloud {

using wire::Json;

struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price_per_hour = 0;       // per hour
  double spot_price_per_hour = 0;  // per hour, as of this reading
  double boot_s = 0;
  std::vector<std::string> zones;
};

using Catalog = std::vector<MachineType>;

enum class MachinePhase { starting, running, failed };

struct ListedMachine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachinePhase phase = MachinePhase::starting;
  double rented_for_s = 0;
};

struct ScaleOutRequest {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

enum class CloudOutcome {
  ok,
  no_capacity,  // this pool has nothing now
  malformed,    // malformed: repeating it will not help
  retry_later,  // outage, rate limit or no answer: repeat the same request
};

struct ScaleOutResult {
  CloudOutcome outcome = CloudOutcome::retry_later;
  std::vector<std::string> machines;
};

struct ListPage {
  CloudOutcome outcome = CloudOutcome::retry_later;
  std::vector<ListedMachine> machines;
  bool has_more = false;
};

// Machines that one call may give back.
inline constexpr std::size_t kMaxMachinesPerReturn = 100;

Catalog decode_catalog(const Json& body);
Json encode_catalog(const Catalog& catalog);
Json encode_scale_out(const ScaleOutRequest& request);
ListedMachine decode_listed_machine(const Json& body);

class Client {
 public:
  explicit Client(const wire::Address& address);

  std::optional<Catalog> catalog();
  ScaleOutResult scale_out(const ScaleOutRequest& request);
  bool scale_in(const std::vector<std::string>& machines);
  ListPage list_machines(const std::string& after);

 private:
  wire::Client http_;
};

}  // namespace reachramp::cloud
