#include "pipelines/dependencies.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace reachramp::pipelines {

using placement::Dependency;
using placement::Job;

namespace {

// From the end of one job to the start of the next: a report tells of the one, the answer to
// another carries the other.
constexpr double kReportsBetween = 2;
// Where many paths lead on from a job, the dues along the most pressing ones are kept.
constexpr std::size_t kMostDues = 8;

std::vector<Index> dependents(const Cluster& cluster, const std::string& id) {
  const auto at = cluster.dependents.find(id);
  if (at == cluster.dependents.end()) return {};
  return {at->second.begin(), at->second.end()};
}

// Jobs in the order in which they were accepted: each comes after all that it needs.
std::vector<Index> by_age(const Cluster& cluster) {
  std::vector<Index> order;
  for (Index index = 0; index < cluster.jobs.size(); ++index) {
    if (cluster.jobs[index]) order.push_back(index);
  }
  std::sort(order.begin(), order.end(), [&](Index a, Index b) {
    return cluster.jobs[a]->accepted_revision < cluster.jobs[b]->accepted_revision;
  });
  return order;
}

double expected_end(const Job& job, double now) {
  if (job.waits()) return job.expected_unblocked_at + job.spec.estimate_s;
  double begun = now;
  if (job.attempts.size() + job.done_count == job.spec.tasks) {
    begun = -placement::kNever;
    for (const auto& [task, attempt] : job.attempts) {
      begun = std::max(begun, attempt.running_since < 0 ? now : attempt.running_since);
    }
  }
  return std::max(now, begun + job.spec.estimate_s);
}

}  // namespace

void track_dependencies(Cluster& cluster, Index index, double now) {
  Job& job = *cluster.jobs[index];
  // Nothing of it was ever placed before all that it needs was done.
  const bool begun = job.done_count > 0 || job.last_attempt > 0 || !job.attempts.empty();
  bool doomed = false;
  if (begun && !job.dependencies.empty()) {
    for (const auto& [task, attempt] : job.attempts) {
      job.unblocked_at = std::max(job.accepted_at, std::min(attempt.placed_at, now));
    }
  }
  for (Dependency& need : job.dependencies) {
    const Job* other = cluster.job(need.id);
    need.state = begun              ? DependencyState::done
                 : other == nullptr ? DependencyState::unknown
                 : other->cancelled ? DependencyState::cancelled
                                    : DependencyState::live;
    doomed = doomed || need.state == DependencyState::cancelled;
  }
  cluster.expect(job, {});
  if (doomed && !job.cancelled) cluster.cancel(index, {.latest = now});
  resolve_dependents(cluster, job.spec.id,
                     job.cancelled ? DependencyState::cancelled : DependencyState::live, now);
}

void resolve_dependents(Cluster& cluster, const std::string& id, DependencyState fate, double now) {
  std::vector<std::pair<std::string, DependencyState>> news{{id, fate}};
  while (!news.empty()) {
    const auto [name, became] = std::move(news.back());
    news.pop_back();
    for (const Index index : dependents(cluster, name)) {
      Job& job = *cluster.jobs[index];
      const bool waited = job.waits();
      for (Dependency& need : job.dependencies) {
        if (need.id == name && need.state != DependencyState::done) need.state = became;
      }
      if (became == DependencyState::cancelled && waited && !job.cancelled) {
        spdlog::info("job {} is cancelled with {}", job.spec.id, name);
        cluster.cancel(index, {.latest = now});
        news.emplace_back(job.spec.id, DependencyState::cancelled);
      } else if (waited && !job.waits()) {
        spdlog::info("job {} may begin", job.spec.id);
        job.unblocked_at = std::max(job.unblocked_at, now);
      }
    }
  }
}

std::vector<std::string> unknown(const Cluster& cluster) {
  std::vector<std::string> ids;
  for (const auto& job : cluster.jobs) {
    if (!job || job->cancelled) continue;
    for (const Dependency& need : job->dependencies) {
      if (need.state == DependencyState::unknown) ids.push_back(need.id);
    }
  }
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

void inherit_priority(Cluster& cluster) {
  const double between = kReportsBetween * cluster.platform.workers.report_s;
  std::vector<std::vector<double>> inherited(cluster.jobs.size());
  for (const auto& job : cluster.jobs) {
    if (job) job->priority = job->spec.priority;
  }
  const std::vector<Index> order = by_age(cluster);
  for (auto at = order.rbegin(); at != order.rend(); ++at) {
    Job& job = *cluster.jobs[*at];
    std::vector<double>& dues = inherited[*at];
    std::sort(dues.begin(), dues.end());
    dues.resize(std::min(dues.size(), kMostDues));
    cluster.expect(job, dues);
    if (job.cancelled || !job.waits()) continue;
    for (const Dependency& need : job.dependencies) {
      const auto earlier = cluster.job_index.find(need.id);
      if (earlier == cluster.job_index.end()) continue;
      Job& needed = *cluster.jobs[earlier->second];
      needed.priority = std::max(needed.priority, job.priority);
      for (const double due : job.due_starts) {
        inherited[earlier->second].push_back(due - between - needed.spec.estimate_s);
      }
    }
  }
}

void estimate_unblock_times(Cluster& cluster, double now) {
  const double between = kReportsBetween * cluster.platform.workers.report_s;
  for (const Index index : by_age(cluster)) {
    Job& job = *cluster.jobs[index];
    if (!job.waits()) continue;
    job.expected_unblocked_at = now;
    for (const Dependency& need : job.dependencies) {
      if (need.state == DependencyState::done) continue;
      const Job* needed = cluster.job(need.id);
      const double end = needed == nullptr ? placement::kNever : expected_end(*needed, now);
      job.expected_unblocked_at = std::max(job.expected_unblocked_at, end + between);
    }
  }
}

}  // namespace reachramp::pipelines
