// Decides whether a failed task is the fault of the machine or of the job. The evidence is how the
// job fares on other machines and how other jobs fare on this machine. The leader holds it in
// memory only; a new leader gathers it again, which costs a few more failures.
#pragma once

#include "placement/cluster.h"

namespace reachramp::quarantine {

using placement::Cluster;
using placement::Index;

// A machine with this much fault evidence is quarantined. A failure of a job that never fails
// elsewhere counts for up to 1.
inline constexpr double kFaultyEvidenceThreshold = 1.5;

// Returns the weight of the failures on the machine since its last success. A failure of a job that
// succeeds elsewhere counts the more, the less often the job fails there. A job that has failed
// only here and has not succeeded yet counts once with a small weight, however often it failed. A
// job that fails on every machine does not count.
double fault_evidence(const Cluster& cluster, Index host);

// Record that a task of the job failed, or succeeded, on the machine. `now` is in seconds of the
// leader's clock.
void note_failure(Cluster& cluster, Index job, Index host, double now);
void note_success(Cluster& cluster, Index job, Index host);

}  // namespace reachramp::quarantine
