// Emulator of the load balancer between users and controller nodes.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "loopback/fleet_server.h"

namespace reachramp::lab {

// Serves users on a loopback port and forwards each request to a node that accepts it. It also
// makes submitted jobs known to the emulated workers, which stands for the users' upload.
class Balancer {
 public:
  // Returns how long a task of the job runs, in seconds on a machine of speed 1.
  using RunTime = std::function<double(const jobs::Spec&)>;

  // `nodes`: the address of each controller, by name. Serves until it is destroyed.
  Balancer(std::uint16_t port, const std::map<std::string, wire::Address>& nodes,
           FleetServer& fleet, RunTime run_time);

 private:
  wire::Response forward(const wire::Request& request);

  FleetServer& fleet_;
  RunTime run_time_;
  std::vector<std::unique_ptr<wire::Client>> nodes_;
  std::atomic<std::size_t> next_node_{0};
  wire::ConnectionLimiter connection_limiter_;
  std::unique_ptr<wire::Server> server_;
};

}  // namespace reachramp::lab
