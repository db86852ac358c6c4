#include "quarantine/fault_attribution.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace reachramp::quarantine {

using placement::Host;
using placement::Job;

namespace {

constexpr double kLongestPause_s = 60;
constexpr std::uint32_t kLongestPauseLog2 = 6;
constexpr double kAvoidFor_s = 30;
// One machine alone has seen the job fail: three such jobs in a row make it faulty.
constexpr double kUnprovenWeight = 0.7;
// As if a job had failed once in so many runs before its first: two successes tell little.
constexpr double kPriorRuns = 10;
// Jobs that a machine's failures are kept of.
constexpr std::size_t kMostJobs = 32;

// The machine is emptied and goes back; what failed there is not held against the jobs.
void judge(Cluster& cluster, Index index) {
  Host& host = *cluster.hosts[index];
  if (host.quarantined || fault_evidence(cluster, index) < kFaultyFrom) return;
  host.quarantined = true;
  std::string jobs;
  for (const auto& [id, times] : host.failed) {
    jobs += " " + id + " x" + std::to_string(times);
    Job* job = cluster.job(id);
    if (job != nullptr && job->failed_on.erase(index) > 0 && !job->fails_everywhere()) {
      job->not_before = 0;
      job->pauses = 0;
    }
  }
  spdlog::info("machine {} is faulty: since its last success failed{}", host.name, jobs);
}

}  // namespace

double fault_evidence(const Cluster& cluster, Index index) {
  double weight = 0;
  for (const auto& [id, times] : cluster.hosts[index]->failed) {
    const auto at = cluster.job_index.find(id);
    if (at == cluster.job_index.end()) continue;
    const Job& job = *cluster.jobs[at->second];
    if (job.done_count > 0) {
      const double elsewhere = job.failures - std::min(job.failures, times);
      const double rate = (elsewhere + 1) / (elsewhere + job.done_count + kPriorRuns);
      weight += times * (1 - rate) * (1 - rate);
    } else if (!job.fails_everywhere()) {
      weight += kUnprovenWeight;
    }
  }
  return weight;
}

void note_failure(Cluster& cluster, Index job_index, Index host_index, double now) {
  Job& job = *cluster.jobs[job_index];
  Host& host = *cluster.hosts[host_index];
  double& avoided_until = job.failed_on[host_index];
  // What fails together counts once: four tasks of a job that fails now and then are no proof.
  if (now >= avoided_until) {
    ++job.failures;
    if (host.failed.size() < kMostJobs || host.failed.contains(job.spec.id)) {
      ++host.failed[job.spec.id];
    }
  }
  avoided_until = now + kAvoidFor_s;
  judge(cluster, host_index);
  // A whole array fails at once: that is one round, not hundreds.
  if (!job.fails_everywhere() || now < job.not_before) return;
  job.pauses = std::min(job.pauses + 1, kLongestPauseLog2);
  job.not_before = now + std::min(kLongestPause_s, std::ldexp(1.0, static_cast<int>(job.pauses)));
  if (job.pauses == 1) {
    spdlog::info("job {}: failed on {} machines and succeeds on none: tried one by one",
                 job.spec.id, job.failed_on.size());
  }
}

void note_success(Cluster& cluster, Index job_index, Index host_index) {
  cluster.hosts[host_index]->failed.clear();
  Job& job = *cluster.jobs[job_index];
  if (job.failed_on.empty()) return;
  job.not_before = 0;
  job.pauses = 0;
  // Elsewhere it works: what it failed on is seen in another light.
  std::vector<Index> seen;
  for (const auto& [host, until] : job.failed_on) seen.push_back(host);
  for (const Index host : seen) {
    if (host < cluster.hosts.size() && cluster.hosts[host]) judge(cluster, host);
  }
}

}  // namespace reachramp::quarantine
