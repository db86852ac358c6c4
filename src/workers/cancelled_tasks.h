// Which machines must be returned to the cloud so that no task of a cancelled job outlives
// `cancel_s`.
//
// A worker that executes ends such a task when it is told to, or when its lease runs out
// (leadership/read_freshness.h bounds how long it may be kept alive). A machine that hangs does
// neither, and from outside a hang looks like a cut. The machine's return is the one proof that
// needs no answer from it. So every attempt of a cancelled job that has no proof of its end has a
// deadline: `cancel_s` after the user may first have been told, less the time that the cloud's call
// may take.
//
// The deadline does not begin anew with a new leader: the age of a cancellation follows from the
// revision of the job's header (kv/revision_clock.h). A leader that begins after the deadline finds
// attempts that have ended long ago and were only not recorded; it listens first.
#pragma once

#include <vector>

#include "placement/cluster.h"

namespace reachramp::workers {

struct OverdueMachine {
  placement::Index host = placement::kNone;
  placement::Index job = placement::kNone;  // one whose task may still be there
};

// Within this time every machine that executes and reaches a controller has reported.
double max_heartbeat_delay_s(const settings::WorkerTimings& workers);

// When an attempt of a job that was cancelled at `cancelled_at` must be proven over, by the clock
// of a leader that has listened since `listening_since`.
double termination_deadline(const settings::WorkerTimings& workers,
                            const placement::CancellationTime& cancelled_at,
                            double listening_since);

// Machines to be returned now, however many they are. Those that have been silent go a little
// earlier than those that still report.
std::vector<OverdueMachine> overdue_machines(const placement::Cluster& cluster,
                                             double listening_since, double now);

}  // namespace reachramp::workers
