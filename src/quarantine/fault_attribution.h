// Whose fault a failed task is: the machine's, the job's, or nobody's yet. From evidence alone:
// what the job does on other machines, and what other jobs do on the machine. Held by the leader in
// memory: the next one learns it anew within a few failures, which costs those and no more.
#pragma once

#include "placement/cluster.h"

namespace reachramp::quarantine {

using placement::Cluster;
using placement::Index;

// Failures that speak against a machine as those of jobs that never fail elsewhere would, before it
// is taken for faulty.
inline constexpr double kFaultyEvidenceThreshold = 1.5;

// What the failures on the machine since its last success weigh. Those of a job that works
// elsewhere count by how seldom it fails there; one that has failed here alone counts for little,
// however often; one that fails wherever it goes, for nothing.
double fault_evidence(const Cluster& cluster, Index host);

// A task of the job has failed on the machine, or done well there. Seconds of the leader's clock.
void note_failure(Cluster& cluster, Index job, Index host, double now);
void note_success(Cluster& cluster, Index job, Index host);

}  // namespace reachramp::quarantine
