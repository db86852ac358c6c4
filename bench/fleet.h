// A fleet of any size with work on it, as a leader knows it: what the benchmarks decide about.
// Small machines (four cores) and large ones, one in ten; the first jobs fill all of them, the rest
// wait.
#pragma once

#include <string>
#include <vector>

#include "controller/leader.h"

namespace reachramp::bench {

struct Size {
  std::size_t machines = 0;
  std::size_t waiting = 0;  // jobs without room: half arrays of 200 tasks, half gangs
  std::size_t array_tasks = 200;
  double filled = 1;  // share of the machines that have work
};

settings::Platform platform();
cloud::Catalog catalog();

// Places the work straight into a cluster.
void fill(placement::Cluster& cluster, const Size& size, double now);

// The same as records in the key-value store, and as workers and the cloud tell of it.
struct World {
  explicit World(const Size& size);

  controller::LeaderSnapshot snapshot;
  std::vector<cloud::ListedMachine> listed;
  std::vector<workers::Heartbeat> reports;  // one a machine, without tick

  static constexpr std::uint64_t kFencingToken = 1000000;
};

}  // namespace reachramp::bench
