// Dependencies between jobs: which waiting jobs may start, which are cancelled because a job they
// depend on is, and which priority and start times jobs inherit from those that depend on them.
#pragma once

#include <string>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::pipelines {

using placement::Cluster;
using placement::DependencyState;
using placement::Index;

// To be called for each job that is added to the cluster: sets the states of its dependencies,
// cancels it if one of them is cancelled, and updates the jobs that depend on it.
void track_dependencies(Cluster& cluster, Index job, double now);

// Sets the state of a job for the jobs that depend on it. Must be called with `done` or `cancelled`
// only once that state is stored: before, the job may still end in the other one, and its user
// would be told so. Cancels all jobs that depend on a cancelled job, directly or indirectly; none
// of them can have started.
void resolve_dependents(Cluster& cluster, const std::string& id, DependencyState state, double now);

// The ids of jobs that live jobs depend on and whose state is not known to the cluster. The caller
// reads their final states from the key-value store.
std::vector<std::string> unresolved_dependencies(const Cluster& cluster);

// Gives each job the highest priority among itself and the jobs that depend on it, and latest start
// times with which those jobs can meet their deadlines. To be called whenever jobs were added,
// removed or unblocked.
void propagate_priorities(Cluster& cluster);

// Updates Job::expected_unblocked_at of the jobs that wait for others.
void estimate_unblock_times(Cluster& cluster, double now);

}  // namespace reachramp::pipelines
