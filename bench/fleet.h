// Test data for the benchmarks: a fleet of any size with jobs on it, as a leader knows it. One
// machine in ten is large (32 cores), the others are small (4 cores). The first jobs fill the
// machines, the rest wait.
#pragma once

#include <string>
#include <vector>

#include "controller/leader.h"

namespace reachramp::bench {

// How many machines and jobs the fleet has.
struct FleetSize {
  std::size_t machines = 0;
  std::size_t waiting_jobs = 0;  // jobs without room: half of them arrays, half gangs
  std::size_t tasks_per_array = 200;
  double busy_share = 1;  // share of the machines that run tasks
};

// The settings of the leader in the benchmarks.
settings::Platform platform();
// The machine types that can be rented.
cloud::Catalog catalog();

// Adds the machines, the jobs and their running tasks to an empty cluster.
void fill_cluster(placement::Cluster& cluster, const FleetSize& size, double now);

// The fleet of fill_cluster() as a new leader learns of it: the records of the key-value store, the
// cloud's list of machines, and the workers' heartbeats.
struct FleetSnapshot {
  explicit FleetSnapshot(const FleetSize& size);

  controller::LeaderSnapshot snapshot;
  std::vector<cloud::ListedMachine> listed_machines;
  std::vector<workers::Heartbeat> heartbeats;  // one per machine; their sequence number is still 0

  static constexpr std::uint64_t kFencingToken = 1000000;
};

}  // namespace reachramp::bench
