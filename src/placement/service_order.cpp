#include "placement/service_order.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <tuple>

#include "placement/plan.h"

namespace reachramp::placement {

namespace {

// A job that can no longer be in time goes first once it has waited this many times as long as the
// longest wait with which it could have met one of its latest start times.
constexpr double kOverdueFactor = 3;

// The time by which jobs are sorted: the next latest start time that can still be met. kNever for
// jobs that are late or have no such time; -kNever, which sorts first, for jobs that are very late.
double urgency_key(const Job& job, double now) {
  const double next = job.next_latest_start(now);
  if (next != kNever || job.latest_starts.empty()) return next;
  const double expected = job.latest_starts.back() - job.unblocked_at;
  return now - job.unblocked_at > kOverdueFactor * std::max(expected, 1.0) ? -kNever : kNever;
}

// Returns the cores of all usable machines that are not reserved for large tasks.
double unreserved_cores(const Cluster& cluster, double now) {
  double cores = 0;
  for (const auto& host : cluster.hosts) {
    if (!host || !is_usable(cluster, *host, now)) continue;
    const auto* type = cluster.type_of(*host);
    if (type != nullptr && !cluster.large_task_reservations.contains({host->type, host->spot})) {
      cores += type->cpus;
    }
  }
  return cores;
}

// Returns the cores that the arrays of each team can use: what the team's limit leaves beside its
// gangs and services, or all unreserved cores if it has no limit. When only the cores
// of all machines were considered, a team at its limit seemed to have room for its largest jobs,
// and running these made all its jobs late.
std::vector<double> array_cores_by_team(const Cluster& cluster, double unreserved_cores) {
  std::vector<double> other_cores(cluster.usage_by_team.size());
  for (const auto& job : cluster.jobs) {
    if (!job || job->team == kNone || job->spec.shape == jobs::Shape::array) continue;
    other_cores[job->team] +=
        job->resources_per_task.cpus * static_cast<double>(job->attempts.size());
  }
  std::vector<double> cores(other_cores.size(), unreserved_cores);
  for (Index team = 0; team < cores.size(); ++team) {
    const double limit = cluster.platform.teams[team].max_cpus;
    if (limit > 0)
      cores[team] = std::clamp(limit - other_cores[team], 1.0, std::max(1.0, unreserved_cores));
  }
  return cores;
}

// Moves arrays back within their rank if not all arrays of the rank can be in time. Service-level
// objectives count jobs regardless of their size, so the largest arrays are deferred, to have as
// many jobs as possible in time. `order` must be sorted by guarantee, priority and urgency.
void defer_largest_arrays(const Cluster& cluster, std::vector<Index>& order,
                          const std::vector<bool>& guaranteed, double now) {
  const double cores = unreserved_cores(cluster, now);
  if (cores <= 0) return;
  const std::vector<double> by_team = array_cores_by_team(cluster, cores);
  const auto rank = [&](Index i) {
    const Job& job = *cluster.jobs[i];
    return std::tuple(job.fails_everywhere(), !guaranteed[i], -static_cast<int>(job.priority));
  };
  for (auto begin = order.begin(); begin != order.end();) {
    const auto end =
        std::find_if(begin, order.end(), [&](Index i) { return rank(i) != rank(*begin); });
    std::vector<Index> arrays;
    for (auto at = begin; at != end; ++at) {
      const Job& job = *cluster.jobs[*at];
      if (job.spec.shape == jobs::Shape::array && urgency_key(job, now) != kNever)
        arrays.push_back(*at);
    }
    // First defers arrays that their team's limit makes late, then, among the remaining ones, those
    // that would be late even if arrays got all unreserved cores.
    std::vector<bool> deferred(cluster.jobs.size());
    const auto defer_late = [&](double available_cores, std::optional<Index> team) {
      std::vector<Index> considered;
      std::vector<MachineTimeRequest> requests;
      for (const Index i : arrays) {
        const Job& job = *cluster.jobs[i];
        if (deferred[i] || (team && job.team != *team)) continue;
        const double tasks = job.spec.tasks - job.done_count;
        considered.push_back(i);
        requests.push_back(
            {tasks * job.resources_per_task.cpus * job.spec.estimated_duration_s / available_cores,
             urgency_key(job, now)});
      }
      const std::vector<bool> late = select_late_requests(requests, now);
      for (std::size_t i = 0; i < considered.size(); ++i) deferred[considered[i]] = late[i];
    };
    for (Index team = 0; team < by_team.size(); ++team) {
      if (by_team[team] < cores) defer_late(by_team[team], team);
    }
    defer_late(cores, std::nullopt);
    // Deferred arrays stay ahead of jobs that are late already, whose sort key is kNever.
    const auto first_late = std::find_if(
        begin, end, [&](Index i) { return urgency_key(*cluster.jobs[i], now) == kNever; });
    std::stable_partition(begin, first_late, [&](Index i) { return !deferred[i]; });
    begin = end;
  }
}

}  // namespace

std::vector<bool> select_late_requests(const std::vector<MachineTimeRequest>& requests,
                                       double now) {
  std::vector<bool> late(requests.size());
  std::priority_queue<std::pair<double, std::size_t>> longest;
  double end = now;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    end += requests[i].duration_s;
    longest.push({requests[i].duration_s, i});
    if (end <= requests[i].due_at || requests[i].due_at == -kNever) continue;
    end -= longest.top().first;
    late[longest.top().second] = true;
    longest.pop();
  }
  return late;
}

ServiceOrder service_order(const Cluster& cluster, double now) {
  std::vector<Index> order;
  for (Index i = 0; i < cluster.jobs.size(); ++i) {
    const auto& job = cluster.jobs[i];
    if (job && !job->cancelled && !job->is_complete() && job->team != kNone && !job->is_blocked()) {
      order.push_back(i);
    }
  }
  std::sort(order.begin(), order.end(), [&](Index a, Index b) {
    return cluster.jobs[a]->accepted_revision < cluster.jobs[b]->accepted_revision;
  });
  std::vector<Usage> requested(cluster.usage_by_team.size());
  std::vector<bool> guaranteed(cluster.jobs.size());
  for (const Index i : order) {
    const Job& job = *cluster.jobs[i];
    if (job.fails_everywhere()) continue;
    const settings::Team& team = cluster.platform.teams[job.team];
    Usage& sum = requested[job.team];
    const double left = job.spec.tasks - job.done_count;
    sum.cpus += left * job.resources_per_task.cpus;
    sum.gpus += left * job.resources_per_task.gpus;
    guaranteed[i] = (team.guaranteed_cpus > 0 || team.guaranteed_gpus > 0) &&
                    sum.cpus <= team.guaranteed_cpus + 1e-6 &&
                    (job.resources_per_task.gpus <= 0 || sum.gpus <= team.guaranteed_gpus + 1e-6);
  }
  std::stable_sort(order.begin(), order.end(), [&](Index a, Index b) {
    const Job& x = *cluster.jobs[a];
    const Job& y = *cluster.jobs[b];
    if (x.fails_everywhere() != y.fails_everywhere()) return y.fails_everywhere();
    if (guaranteed[a] != guaranteed[b]) return bool(guaranteed[a]);
    if (x.priority != y.priority) return x.priority > y.priority;
    return urgency_key(x, now) < urgency_key(y, now);
  });
  defer_largest_arrays(cluster, order, guaranteed, now);
  return {std::move(order), std::move(guaranteed)};
}

}  // namespace reachramp::placement
