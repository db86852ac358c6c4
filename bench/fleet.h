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

// The same as records in the state service, and as workers and the cloud tell of it.
struct World {
  explicit World(const Size& size);

  controller::Snapshot snapshot;
  std::vector<cloud::Listed> listed;
  std::vector<workers::Report> reports;  // one a machine, without tick

  static constexpr std::uint64_t kBaton = 1000000;
};

}  // namespace reachramp::bench
