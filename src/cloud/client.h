// Client of the cloud's HTTP interface: machine types, requests for machines, their return, and the
// list of rented machines, which lags behind.
#pragma once

#include <string>
#include <vector>

#include "wire/http.h"

namespace reachramp::cloud {

using wire::Json;

// A type of machine that can be rented.
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;
  double cache_gb = 0;        // for images of tasks
  double fetch_gb_per_s = 0;  // at which images are fetched
  double price_per_hour = 0;
  double spot_price_per_hour = 0;  // when the catalog was read: spot prices change
  double boot_s = 0;               // expected time from the request until it runs
  std::vector<std::string> zones;  // where it can be rented
};

// All types that the cloud offers.
using Catalog = std::vector<MachineType>;

// The state of a machine as the cloud reports it.
enum class MachinePhase { starting, running, failed };

// A rented machine in the cloud's list.
struct ListedMachine {
  std::string name;
  std::string address;  // empty if the cloud gives none, for example while it starts
  std::string type;
  std::string zone;
  bool spot = false;
  MachinePhase phase = MachinePhase::starting;
  double rented_for_s = 0;
};

// A request for machines of one type in one zone.
struct ScaleOutRequest {
  std::string name;  // chosen by us; a repeated request has the same name
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

// The outcome of a request to the cloud, and what the caller should do.
enum class CloudOutcome {
  ok,
  no_capacity,  // the cloud has no such machine in the zone now
  malformed,    // the cloud rejects the request: don't repeat it
  retry_later,  // outage, rate limit or no response: repeat the same request
};

// Response to a ScaleOutRequest.
struct ScaleOutResult {
  CloudOutcome outcome = CloudOutcome::retry_later;
  std::vector<std::string> machines;  // names of the rented machines
};

// One page of the list of machines.
struct ListPage {
  CloudOutcome outcome = CloudOutcome::retry_later;
  std::vector<ListedMachine> machines;
  bool has_more = false;  // the page was truncated: go on after its last machine
};

// The most machines that one call of scale_in() may return.
inline constexpr std::size_t kMaxMachinesPerReturn = 100;

// The catalog as the cloud sends it, which is also the form of the stored record `catalog`.
// Decoding throws wire::BadMessage for a malformed one.
Catalog decode_catalog(const Json& body);
Json encode_catalog(const Catalog& catalog);
// The body of a scale-out request.
Json encode_scale_out(const ScaleOutRequest& request);
// Decodes one entry of the list. Throws wire::BadMessage if it is malformed, except for its
// address.
ListedMachine decode_listed_machine(const Json& body);

// Blocks the caller for each request. No function throws for what the cloud does. Safe to share
// between threads.
class Client {
 public:
  explicit Client(const wire::Address& address);

  // Reads the machine types and their prices; none if that failed.
  std::optional<Catalog> catalog();
  // Requests machines.
  ScaleOutResult scale_out(const ScaleOutRequest& request);
  // Returns machines to the cloud, at most kMaxMachinesPerReturn. False if the cloud did not
  // confirm.
  bool scale_in(const std::vector<std::string>& machines);
  // Reads one page of the list: the machines after the one named `after`; empty: from the first.
  ListPage list_machines(const std::string& after);

 private:
  wire::Client http_;
};

}  // namespace reachramp::cloud
