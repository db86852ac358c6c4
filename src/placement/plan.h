// Placement: assigns pending tasks to machines, first fit.
#pragma once

#include "placement/preempt.h"

namespace reachramp::placement {

// Whether the machine can get new tasks now.
bool is_usable(const Cluster& cluster, const Host& host, double now);

// Whether the machine's worker should be sending heartbeats: it has sent one, or the cloud lists
// the machine as running and its boot must be over. After a change of leaders, the second condition
// covers machines that have not sent a heartbeat to the new leader yet.
bool is_expected_to_report(const Cluster& cluster, const Host& host, double now);

// Whether the job may run on machines of the type that are rented at spot price (`spot`) or at
// ordinary price: it accepts that price, its tasks fit, and the type is not reserved for larger
// tasks. The zone is not checked.
bool may_run_on(const Cluster& cluster, const Job& job, Index type, bool spot);
// Whether the job may run in the zone.
bool is_zone_allowed(const Job& job, Index zone);
// Whether the job may run on this machine, its zone included, once the machine has room.
bool may_run_on(const Cluster& cluster, const Job& job, const Host& host);

// Opens an idle machine that is reserved for large tasks to small ones that wait, instead of
// returning it to the cloud. Returns whether it did. A machine is backfilled at most once until it
// has had a task, so that it is returned if no task takes it.
bool try_backfill(Cluster& cluster, Index host);

// Of the cores that a team can use, the share that its longest-waiting jobs get before other jobs
// of the same rank, that is, with the same priority and equally within or beyond the team's
// guarantee.
inline constexpr double kLongWaitingShare = 0.1;

// Runs one placement pass: places pending tasks, marks reclaimed and quarantined machines as
// draining, and stops tasks that must leave their machine or are preempted. Returns the number of
// attempts placed. `long_waiting_share` 0 disables the precedence of jobs that have waited long.
int plan(Cluster& cluster, double now, const DisruptionApprover& approve_disruption = {},
         double long_waiting_share = kLongWaitingShare);

}  // namespace reachramp::placement
