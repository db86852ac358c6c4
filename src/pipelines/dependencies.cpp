#include "pipelines/dependencies.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace reachramp::pipelines {

using placement::Dependency;
using placement::Job;

namespace {

// Number of heartbeats between the end of a job and the start of the next: one lists the exited
// task, and the response to another carries the start command.
constexpr double kHeartbeatsBetweenJobs = 2;
// Limits the latest start times that a job inherits from the jobs that depend on it; the earliest
// ones are kept.
constexpr std::size_t kMaxInheritedDeadlines = 8;

std::vector<Index> dependents(const Cluster& cluster, const std::string& id) {
  const auto at = cluster.dependents.find(id);
  if (at == cluster.dependents.end()) return {};
  return {at->second.begin(), at->second.end()};
}

// All jobs in order of acceptance, in which each job comes after the jobs that it depends on.
std::vector<Index> jobs_by_acceptance(const Cluster& cluster) {
  std::vector<Index> order;
  for (Index index = 0; index < cluster.jobs.size(); ++index) {
    if (cluster.jobs[index]) order.push_back(index);
  }
  std::sort(order.begin(), order.end(), [&](Index a, Index b) {
    return cluster.jobs[a]->accepted_revision < cluster.jobs[b]->accepted_revision;
  });
  return order;
}

// When the job's last task can be expected to end, if all its tasks take the estimated time.
double expected_end(const Job& job, double now) {
  if (job.is_blocked()) return job.expected_unblocked_at + job.spec.estimated_duration_s;
  double started_at = now;
  if (job.attempts.size() + job.done_count == job.spec.tasks) {
    started_at = -placement::kNever;
    for (const auto& [task, attempt] : job.attempts) {
      started_at = std::max(started_at, attempt.running_since < 0 ? now : attempt.running_since);
    }
  }
  return std::max(now, started_at + job.spec.estimated_duration_s);
}

}  // namespace

void track_dependencies(Cluster& cluster, Index index, double now) {
  Job& job = *cluster.jobs[index];
  // No task is placed before all dependencies of its job are done, so a job that has started proves
  // that they are.
  const bool started = job.done_count > 0 || job.last_attempt > 0 || !job.attempts.empty();
  bool dependency_cancelled = false;
  if (started && !job.dependencies.empty()) {
    for (const auto& [task, attempt] : job.attempts) {
      job.unblocked_at = std::max(job.accepted_at, std::min(attempt.placed_at, now));
    }
  }
  for (Dependency& dependency : job.dependencies) {
    const Job* needed = cluster.find_job(dependency.id);
    dependency.state = started             ? DependencyState::done
                       : needed == nullptr ? DependencyState::unknown
                       : needed->cancelled ? DependencyState::cancelled
                                           : DependencyState::live;
    dependency_cancelled = dependency_cancelled || dependency.state == DependencyState::cancelled;
  }
  cluster.compute_latest_starts(job, {});
  if (dependency_cancelled && !job.cancelled) cluster.cancel_job(index, {.latest = now});
  resolve_dependents(cluster, job.spec.id,
                     job.cancelled ? DependencyState::cancelled : DependencyState::live, now);
}

void resolve_dependents(Cluster& cluster, const std::string& id, DependencyState state,
                        double now) {
  std::vector<std::pair<std::string, DependencyState>> changes{{id, state}};
  while (!changes.empty()) {
    const auto [name, new_state] = std::move(changes.back());
    changes.pop_back();
    for (const Index index : dependents(cluster, name)) {
      Job& job = *cluster.jobs[index];
      const bool was_waiting = job.is_blocked();
      for (Dependency& dependency : job.dependencies) {
        if (dependency.id == name && dependency.state != DependencyState::done)
          dependency.state = new_state;
      }
      if (new_state == DependencyState::cancelled && was_waiting && !job.cancelled) {
        spdlog::info("job {} is cancelled because its dependency {} is cancelled", job.spec.id,
                     name);
        cluster.cancel_job(index, {.latest = now});
        changes.emplace_back(job.spec.id, DependencyState::cancelled);
      } else if (was_waiting && !job.is_blocked()) {
        spdlog::info("job {} is unblocked: all its dependencies are done", job.spec.id);
        job.unblocked_at = std::max(job.unblocked_at, now);
      }
    }
  }
}

std::vector<std::string> unresolved_dependencies(const Cluster& cluster) {
  std::vector<std::string> ids;
  for (const auto& job : cluster.jobs) {
    if (!job || job->cancelled) continue;
    for (const Dependency& dependency : job->dependencies) {
      if (dependency.state == DependencyState::unknown) ids.push_back(dependency.id);
    }
  }
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

void propagate_priorities(Cluster& cluster) {
  const double delay_between_jobs_s =
      kHeartbeatsBetweenJobs * cluster.platform.worker_timings.report_interval_s;
  std::vector<std::vector<double>> inherited_due_starts(cluster.jobs.size());
  for (const auto& job : cluster.jobs) {
    if (job) job->priority = job->spec.priority;
  }
  const std::vector<Index> order = jobs_by_acceptance(cluster);
  for (auto at = order.rbegin(); at != order.rend(); ++at) {
    Job& job = *cluster.jobs[*at];
    std::vector<double>& due_starts = inherited_due_starts[*at];
    std::sort(due_starts.begin(), due_starts.end());
    due_starts.resize(std::min(due_starts.size(), kMaxInheritedDeadlines));
    cluster.compute_latest_starts(job, due_starts);
    if (job.cancelled || !job.is_blocked()) continue;
    for (const Dependency& dependency : job.dependencies) {
      const auto earlier = cluster.job_index.find(dependency.id);
      if (earlier == cluster.job_index.end()) continue;
      Job& needed = *cluster.jobs[earlier->second];
      needed.priority = std::max(needed.priority, job.priority);
      for (const double due : job.deadline_latest_starts) {
        inherited_due_starts[earlier->second].push_back(due - delay_between_jobs_s -
                                                        needed.spec.estimated_duration_s);
      }
    }
  }
}

void estimate_unblock_times(Cluster& cluster, double now) {
  const double delay_between_jobs_s =
      kHeartbeatsBetweenJobs * cluster.platform.worker_timings.report_interval_s;
  for (const Index index : jobs_by_acceptance(cluster)) {
    Job& job = *cluster.jobs[index];
    if (!job.is_blocked()) continue;
    job.expected_unblocked_at = now;
    for (const Dependency& dependency : job.dependencies) {
      if (dependency.state == DependencyState::done) continue;
      const Job* needed = cluster.find_job(dependency.id);
      const double end = needed == nullptr ? placement::kNever : expected_end(*needed, now);
      job.expected_unblocked_at = std::max(job.expected_unblocked_at, end + delay_between_jobs_s);
    }
  }
}

}  // namespace reachramp::pipelines
