#include "pipelines/needs.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace reachramp::pipelines {

using placement::Job;
using placement::Need;

namespace {

// From the end of one job to the start of the next: a report tells of the one, the answer to
// another carries the other.
constexpr double kReportsBetween = 2;
// Where many paths lead on from a job, the dues along the most pressing ones are kept.
constexpr std::size_t kMostDues = 8;

std::vector<Index> dependents(const Cluster& cluster, const std::string& id) {
  const auto at = cluster.needed_by.find(id);
  if (at == cluster.needed_by.end()) return {};
  return {at->second.begin(), at->second.end()};
}

// Jobs in the order in which they were accepted: each comes after all that it needs.
std::vector<Index> by_age(const Cluster& cluster) {
  std::vector<Index> order;
  for (Index index = 0; index < cluster.jobs.size(); ++index) {
    if (cluster.jobs[index]) order.push_back(index);
  }
  std::sort(order.begin(), order.end(),
            [&](Index a, Index b) { return cluster.jobs[a]->born < cluster.jobs[b]->born; });
  return order;
}

double expected_end(const Job& job, double now) {
  if (job.waits()) return job.free_by + job.spec.estimate_s;
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

void enter(Cluster& cluster, Index index, double now) {
  Job& job = *cluster.jobs[index];
  // Nothing of it was ever placed before all that it needs was done.
  const bool begun = job.done_count > 0 || job.last_attempt > 0 || !job.attempts.empty();
  bool doomed = false;
  if (begun && !job.needs.empty()) {
    for (const auto& [task, attempt] : job.attempts) {
      job.freed_at = std::max(job.seen_at, std::min(attempt.placed_at, now));
    }
  }
  for (Need& need : job.needs) {
    const Job* other = cluster.job(need.id);
    need.fate = begun              ? Fate::done
                : other == nullptr ? Fate::unknown
                : other->cancelled ? Fate::cancelled
                                   : Fate::live;
    doomed = doomed || need.fate == Fate::cancelled;
  }
  cluster.expect(job, {});
  if (doomed && !job.cancelled) cluster.cancel(index, {.latest = now});
  settle(cluster, job.spec.id, job.cancelled ? Fate::cancelled : Fate::live, now);
}

void settle(Cluster& cluster, const std::string& id, Fate fate, double now) {
  std::vector<std::pair<std::string, Fate>> news{{id, fate}};
  while (!news.empty()) {
    const auto [name, became] = std::move(news.back());
    news.pop_back();
    for (const Index index : dependents(cluster, name)) {
      Job& job = *cluster.jobs[index];
      const bool waited = job.waits();
      for (Need& need : job.needs) {
        if (need.id == name && need.fate != Fate::done) need.fate = became;
      }
      if (became == Fate::cancelled && waited && !job.cancelled) {
        spdlog::info("job {} is cancelled with {}", job.spec.id, name);
        cluster.cancel(index, {.latest = now});
        news.emplace_back(job.spec.id, Fate::cancelled);
      } else if (waited && !job.waits()) {
        spdlog::info("job {} may begin", job.spec.id);
        job.freed_at = std::max(job.freed_at, now);
      }
    }
  }
}

std::vector<std::string> unknown(const Cluster& cluster) {
  std::vector<std::string> ids;
  for (const auto& job : cluster.jobs) {
    if (!job || job->cancelled) continue;
    for (const Need& need : job->needs) {
      if (need.fate == Fate::unknown) ids.push_back(need.id);
    }
  }
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

void urge(Cluster& cluster) {
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
    for (const Need& need : job.needs) {
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

void foresee(Cluster& cluster, double now) {
  const double between = kReportsBetween * cluster.platform.workers.report_s;
  for (const Index index : by_age(cluster)) {
    Job& job = *cluster.jobs[index];
    if (!job.waits()) continue;
    job.free_by = now;
    for (const Need& need : job.needs) {
      if (need.fate == Fate::done) continue;
      const Job* needed = cluster.job(need.id);
      const double end = needed == nullptr ? placement::kNever : expected_end(*needed, now);
      job.free_by = std::max(job.free_by, end + between);
    }
  }
}

}  // namespace reachramp::pipelines
