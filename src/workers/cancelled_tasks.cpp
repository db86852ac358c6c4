#include "workers/cancelled_tasks.h"

#include <algorithm>

namespace reachramp::workers {

using placement::Cluster;
using placement::Host;
using placement::Index;
using placement::Job;
using placement::TaskRef;

namespace {

// Until a machine whose return was decided is gone: the call's turn under the cloud's rate, a call
// that is under way, and the call itself.
constexpr double kReturnTakes_s = 5;
// The longest time between two reports of a worker, in periods (PROTOCOL, workers).
constexpr double kLongestPeriods = 1.25;
// A worker whose node does not answer waits 4 s, and reports to the next one a second later.
constexpr double kChangeOfNode_s = 6;
// Report, answer with the stop, report of the exit.
constexpr double kReportsForProof = 2;

// By when the proof must be there if the user was told at `told_at`.
double deadline_from(const settings::Workers& workers, double told_at, double listening_since) {
  const double listening = kReportsForProof * report_allowance_s(workers);
  if (told_at + workers.cancel_s < listening_since) return listening_since + listening;
  // Where cancel_s is short no machine could have shown its end before; jobs/door confirms nothing
  // there that is not proven.
  return told_at + std::max(workers.cancel_s - kReturnTakes_s, listening);
}

}  // namespace

double report_allowance_s(const settings::Workers& workers) {
  return kLongestPeriods * workers.report_s + kChangeOfNode_s;
}

double proof_deadline(const settings::Workers& workers,
                      const placement::CancellationTime& cancelled_at, double listening_since) {
  return std::min(deadline_from(workers, cancelled_at.earliest, listening_since),
                  deadline_from(workers, cancelled_at.latest, listening_since));
}

std::vector<OverdueMachine> machines_past_cancellation(const Cluster& cluster,
                                                       double listening_since, double now) {
  const settings::Workers& workers = cluster.platform.workers;
  const double allowance = report_allowance_s(workers);
  std::vector<OverdueMachine> overdue;
  for (Index index = 0; index < cluster.hosts.size(); ++index) {
    const Host* host = cluster.hosts[index].get();
    if (host == nullptr || host->urgent_return) continue;
    const bool silent = now - std::max(host->last_heartbeat_at, listening_since) > allowance;
    const double horizon = silent ? now + allowance : now;
    const auto found =
        std::find_if(host->attempts.begin(), host->attempts.end(), [&](const TaskRef& ref) {
          const Job& job = *cluster.jobs[ref.job];
          return job.cancelled &&
                 proof_deadline(workers, job.cancelled_at, listening_since) <= horizon;
        });
    if (found != host->attempts.end()) overdue.push_back({index, found->job});
  }
  return overdue;
}

}  // namespace reachramp::workers
