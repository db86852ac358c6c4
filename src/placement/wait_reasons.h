// Why a job's tasks are not placed: always one of a few reasons, so that one that nobody runs,
// places or waits for shows in the log as what it is.
#pragma once

#include <string>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::placement {

// Jobs that lack tasks in place, the longest waiting first.
std::vector<Index> longest_waiting_jobs(const Cluster& cluster, std::size_t most, double now);

// In words, for the log. Of a job all of whose tasks are placed: what the first that does not run
// waits for, or that it runs.
std::string wait_reason(Cluster& cluster, Index job, double now);

}  // namespace reachramp::placement
