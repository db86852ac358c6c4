// The users' door of the lab: takes requests as the load balancer does, lets the workers know what
// is submitted (users upload it), and passes on to a node that accepts.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "loopback/fleet_server.h"

namespace reachramp::lab {

class Balancer {
 public:
  // How long a task of the job really runs, in seconds at speed 1.
  using RunTime = std::function<double(const jobs::Spec&)>;

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
