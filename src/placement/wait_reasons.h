// Reasons why a job's tasks are not running, for the log. Every waiting job has one of a few
// reasons, so a job that waits because of a fault of the scheduler is visible in the log.
#pragma once

#include <string>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::placement {

// Returns at most `max_jobs` jobs with tasks that are not placed, the longest waiting first.
std::vector<Index> longest_waiting_jobs(const Cluster& cluster, std::size_t max_jobs, double now);

// Describes in words what the job waits for. If all its tasks are placed, describes what the first
// task that is not running waits for, or says that all of them run.
std::string wait_reason(Cluster& cluster, Index job, double now);

}  // namespace reachramp::placement
