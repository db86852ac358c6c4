// Finds the machines that must be returned to the cloud so that no task of a cancelled job runs for
// more than `cancel_s` after the cancellation was confirmed to the user.
//
// A worker that works properly ends such a task on a stop command, or when its lease expires
// (leadership/read_freshness.h bounds how long the lease may be renewed). A machine that hangs does
// neither, and the leader can't tell a hang from a network partition. Returning the machine is the
// only proof of the task's end that doesn't depend on its worker. Therefore every attempt of a
// cancelled job whose end is not proven has a deadline: `cancel_s` after the earliest time at which
// the user may have seen the cancellation, minus the time that the cloud needs to return a machine.
//
// The deadline doesn't start over with a new leader: the age of a cancellation follows from the
// revision of the job's header (kv/revision_clock.h). A leader that starts after the deadline may
// still know attempts that ended long ago but whose end was never recorded; it therefore waits for
// heartbeats before it returns their machines.
#pragma once

#include <vector>

#include "placement/cluster.h"

namespace reachramp::workers {

// A machine that must be returned because a task of a cancelled job may still run on it.
struct OverdueMachine {
  placement::Index host = placement::kNone;
  placement::Index job = placement::kNone;  // one such job
};

// The longest time between two heartbeats of a worker that works properly and reaches a controller.
double max_heartbeat_delay_s(const settings::WorkerTimings& workers);

// By when the end of every attempt of a job that was cancelled at `cancelled_at` must be proven.
// `listening_since`: since when this leader has received heartbeats. All by the leader's steady
// clock.
double termination_deadline(const settings::WorkerTimings& workers,
                            const placement::CancellationTime& cancelled_at,
                            double listening_since);

// The machines to be returned now, without a limit on their number. Machines without recent
// heartbeats are due earlier than others, by max_heartbeat_delay_s.
std::vector<OverdueMachine> overdue_machines(const placement::Cluster& cluster,
                                             double listening_since, double now);

}  // namespace reachramp::workers
