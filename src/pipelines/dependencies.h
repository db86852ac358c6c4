// Jobs that need others: who may begin, who falls with whom, and how urgent the early ones are.
#pragma once

#include <string>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::pipelines {

using placement::Cluster;
using placement::DependencyState;
using placement::Index;

// A job has come: what is known of those that it needs, and what it means for those that need it.
void track_dependencies(Cluster& cluster, Index job, double now);

// What has become of a job, for those that need it. Done and cancelled must be durable: its user
// may be told the one until the other is. A cancelled job takes all with it that need it, directly
// or through others; none of them can have begun.
void resolve_dependents(Cluster& cluster, const std::string& id, DependencyState state, double now);

// Jobs that live ones need and of which nothing is known here: their ends are to be read.
std::vector<std::string> unresolved_dependencies(const Cluster& cluster);

// A job is as important as the most important one that needs it, and must start early enough for
// all that comes after it. To be called when jobs have come, gone or been freed.
void propagate_priorities(Cluster& cluster);

// When waiting jobs can be expected to be freed.
void estimate_unblock_times(Cluster& cluster, double now);

}  // namespace reachramp::pipelines
