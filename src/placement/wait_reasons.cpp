#include "placement/wait_reasons.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "placement/plan.h"

namespace reachramp::placement {

namespace {

// Whether every task of the job is done or has an attempt.
bool is_fully_placed(const Job& job) {
  return job.attempts.size() + job.done_count >= job.spec.tasks;
}

// Describes what the first placed task that is not running waits for.
std::string not_running_reason(const Cluster& cluster, const Job& job) {
  for (const auto& [task, attempt] : job.attempts) {
    if (job.done[task] || attempt.observed_state == ObservedState::running) continue;
    const Host& host = *cluster.hosts[attempt.host];
    const std::string where = fmt::format("task {} on {}", task, host.name);
    if (attempt.stopping) return where + " is to stop first";
    if (attempt.from_previous_leader)
      return where + ": an earlier leader's, its machine is not heard yet";
    if (!attempt.persisted) return where + ": its record is not stored yet";
    if (attempt.observed_state == ObservedState::unobserved)
      return where + ": the start is not answered yet";
    return where + " fetches its image, waits for its gang or saves";
  }
  return "all of it runs";
}

}  // namespace

std::vector<Index> longest_waiting_jobs(const Cluster& cluster, std::size_t max_jobs, double now) {
  std::vector<Index> found;
  for (Index i = 0; i < cluster.jobs.size(); ++i) {
    const auto& job = cluster.jobs[i];
    if (job && !job->cancelled && !job->is_finished() && !is_fully_placed(*job) &&
        job->unblocked_at < now) {
      found.push_back(i);
    }
  }
  const auto end = found.begin() + static_cast<std::ptrdiff_t>(std::min(max_jobs, found.size()));
  std::partial_sort(found.begin(), end, found.end(), [&](Index a, Index b) {
    return cluster.jobs[a]->unblocked_at < cluster.jobs[b]->unblocked_at;
  });
  found.erase(end, found.end());
  return found;
}

std::string wait_reason(Cluster& cluster, Index index, double now) {
  Job& job = *cluster.jobs[index];
  if (job.cancelled) return "it is cancelled, and its tasks are to be gone";
  for (const Dependency& dependency : job.dependencies) {
    if (dependency.state != DependencyState::done) return "for " + dependency.id;
  }
  if (is_fully_placed(job)) return not_running_reason(cluster, job);
  if (job.team == kNone) return "no such team: " + job.spec.team;
  if (std::none_of(job.fits_type.begin(), job.fits_type.end(), [](bool fits) { return fits; })) {
    return "no machine type of the cloud's holds a task of it";
  }
  if (now < job.retry_not_before) {
    return fmt::format("tried again in {:.0f} s: it failed on {} machines",
                       job.retry_not_before - now, job.failed_on.size());
  }
  const bool gang = job.spec.shape == jobs::Shape::gang;
  const double wanted = gang ? job.spec.tasks - static_cast<double>(job.attempts.size()) : 1;
  if (!cluster.within_team_limit(job, wanted)) return "its team's limit: " + job.spec.team;
  int usable_hosts = 0, allowed_hosts = 0, task_capacity = 0;
  for (const auto& host : cluster.hosts) {
    if (!host || host->type == kNone || !is_usable(cluster, *host, now)) continue;
    if (!is_zone_allowed(job, host->zone) || !job.fits_type[host->type] ||
        (host->spot && !job.spec.allow_spot)) {
      continue;
    }
    ++usable_hosts;
    if (!may_run_on(cluster, job, *host)) continue;
    ++allowed_hosts;
    task_capacity += static_cast<int>(host->free.capacity_for(job.resources_per_task));
  }
  if (usable_hosts == 0) return "no machine that it may run on is up";
  if (allowed_hosts == 0) return fmt::format("{} machines are kept for larger tasks", usable_hosts);
  if (task_capacity < wanted)
    return fmt::format("{} machines have room for {} tasks", allowed_hosts, task_capacity);
  const std::uint32_t task = cluster.next_pending_task(job, 0);
  for (Index host = 0; !gang && host < cluster.hosts.size(); ++host) {
    if (cluster.hosts[host] && cluster.record_has_room(index, task, job.last_attempt + 1, host))
      break;
    if (host + 1 == cluster.hosts.size()) return "its records are full until some tasks have ended";
  }
  return fmt::format("room for {} tasks is kept for others, or not together", task_capacity);
}

}  // namespace reachramp::placement
