#include "workers/cancelled_tasks.h"

#include <algorithm>

namespace reachramp::workers {

using placement::Cluster;
using placement::Host;
using placement::Index;
using placement::Job;
using placement::TaskRef;

namespace {

// Time from the decision to return a machine until it is gone: waiting for the cloud's rate limit
// and for a call that is already under way, and the call itself.
constexpr double kMachineReturn_s = 5;
// The longest time between two heartbeats of a worker, in heartbeat periods (PROTOCOL, workers).
constexpr double kMaxHeartbeatPeriods = 1.25;
// Extra time when a worker changes nodes: it waits 4 s for a node that does not answer, then sends
// its heartbeat to the next node a second later.
constexpr double kNodeFailover_s = 6;
// Proving that a task has ended takes two heartbeats: one whose response carries the stop command,
// and one that lists the task as exited.
constexpr double kHeartbeatsForTerminationProof = 2;

// By when a task's end must be proven if its job's cancellation was confirmed at `confirmed_at`.
double deadline_for(const settings::WorkerTimings& workers, double confirmed_at,
                    double listening_since) {
  const double listening_period_s = kHeartbeatsForTerminationProof * max_heartbeat_delay_s(workers);
  if (confirmed_at + workers.cancel_s < listening_since)
    return listening_since + listening_period_s;
  // If cancel_s is short, no machine can prove the end of a task in time. jobs::JobService then
  // confirms a cancellation only once the ends of all tasks are proven.
  return confirmed_at + std::max(workers.cancel_s - kMachineReturn_s, listening_period_s);
}

}  // namespace

double max_heartbeat_delay_s(const settings::WorkerTimings& workers) {
  return kMaxHeartbeatPeriods * workers.report_interval_s + kNodeFailover_s;
}

double termination_deadline(const settings::WorkerTimings& workers,
                            const placement::CancellationTime& cancelled_at,
                            double listening_since) {
  return std::min(deadline_for(workers, cancelled_at.earliest, listening_since),
                  deadline_for(workers, cancelled_at.latest, listening_since));
}

std::vector<OverdueMachine> overdue_machines(const Cluster& cluster, double listening_since,
                                             double now) {
  const settings::WorkerTimings& workers = cluster.platform.worker_timings;
  const double max_delay_s = max_heartbeat_delay_s(workers);
  std::vector<OverdueMachine> overdue;
  for (Index index = 0; index < cluster.hosts.size(); ++index) {
    const Host* host = cluster.hosts[index].get();
    if (host == nullptr || host->urgent_return_requested) continue;
    const bool silent = now - std::max(host->last_heartbeat_at, listening_since) > max_delay_s;
    const double due_before = silent ? now + max_delay_s : now;
    const auto found =
        std::find_if(host->attempts.begin(), host->attempts.end(), [&](const TaskRef& ref) {
          const Job& job = *cluster.jobs[ref.job];
          return job.cancelled &&
                 termination_deadline(workers, job.cancelled_at, listening_since) <= due_before;
        });
    if (found != host->attempts.end()) overdue.push_back({index, found->job});
  }
  return overdue;
}

}  // namespace reachramp::workers
