// A fleet of any size with work on it, as a leader knows it: what the benchmarks decide about.
// Small machines (four cores) and large ones, one in ten; the first jobs fill all of them, the rest
// wait.
#pragma once

#include <string>
#include <vector>

#include "controller/leader.h"

namespace reachramp::bench {

struct FleetSize {
  std::size_t machines = 0;
  std::size_t waiting_jobs = 0;  // jobs without room: half arrays of 200 tasks, half gangs
  std::size_t tasks_per_array = 200;
  double busy_share = 1;  // share of the machines that have work
};

settings::Platform platform();
cloud::Catalog catalog();

// Places the work straight into a cluster.
void fill_cluster(placement::Cluster& cluster, const FleetSize& size, double now);

// The same as records in the key-value store, and as workers and the cloud tell of it.
struct FleetSnapshot {
  explicit FleetSnapshot(const FleetSize& size);

  controller::LeaderSnapshot snapshot;
  std::vector<cloud::ListedMachine> listed_machines;
  std::vector<workers::Heartbeat> heartbeats;  // one a machine, without tick

  static constexpr std::uint64_t kFencingToken = 1000000;
};

}  // namespace reachramp::bench
