#include "quarantine/fault_attribution.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace reachramp::quarantine {

using placement::Host;
using placement::Job;

namespace {

constexpr double kMaxRetryPause_s = 60;
constexpr std::uint32_t kMaxRetryPauseLog2 = 6;
constexpr double kAvoidHostFor_s = 30;
// One machine alone has seen the job fail: three such jobs in a row make it faulty.
constexpr double kNoSuccessYetWeight = 0.7;
// As if a job had failed once in so many runs before its first: two successes tell little.
constexpr double kPriorRuns = 10;
// Jobs that a machine's failures are kept of.
constexpr std::size_t kMaxFailedJobsPerHost = 32;

// The machine is emptied and goes back; what failed there is not held against the jobs.
void quarantine_if_faulty(Cluster& cluster, Index index) {
  Host& host = *cluster.hosts[index];
  if (host.quarantined || fault_evidence(cluster, index) < kFaultyEvidenceThreshold) return;
  host.quarantined = true;
  std::string jobs;
  for (const auto& [id, times] : host.failures_by_job) {
    jobs += " " + id + " x" + std::to_string(times);
    Job* job = cluster.find_job(id);
    if (job != nullptr && job->failed_on.erase(index) > 0 && !job->fails_everywhere()) {
      job->retry_not_before = 0;
      job->consecutive_backoffs = 0;
    }
  }
  spdlog::info("machine {} is faulty: since its last success failed{}", host.name, jobs);
}

}  // namespace

double fault_evidence(const Cluster& cluster, Index index) {
  double weight = 0;
  for (const auto& [id, times] : cluster.hosts[index]->failures_by_job) {
    const auto at = cluster.job_index.find(id);
    if (at == cluster.job_index.end()) continue;
    const Job& job = *cluster.jobs[at->second];
    if (job.done_count > 0) {
      const double elsewhere = job.failures - std::min(job.failures, times);
      const double failure_rate = (elsewhere + 1) / (elsewhere + job.done_count + kPriorRuns);
      weight += times * (1 - failure_rate) * (1 - failure_rate);
    } else if (!job.fails_everywhere()) {
      weight += kNoSuccessYetWeight;
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
    if (host.failures_by_job.size() < kMaxFailedJobsPerHost ||
        host.failures_by_job.contains(job.spec.id)) {
      ++host.failures_by_job[job.spec.id];
    }
  }
  avoided_until = now + kAvoidHostFor_s;
  quarantine_if_faulty(cluster, host_index);
  // A whole array fails at once: that is one round, not hundreds.
  if (!job.fails_everywhere() || now < job.retry_not_before) return;
  job.consecutive_backoffs = std::min(job.consecutive_backoffs + 1, kMaxRetryPauseLog2);
  job.retry_not_before =
      now + std::min(kMaxRetryPause_s, std::ldexp(1.0, static_cast<int>(job.consecutive_backoffs)));
  if (job.consecutive_backoffs == 1) {
    spdlog::info("job {}: failed on {} machines and succeeds on none: tried one by one",
                 job.spec.id, job.failed_on.size());
  }
}

void note_success(Cluster& cluster, Index job_index, Index host_index) {
  cluster.hosts[host_index]->failures_by_job.clear();
  Job& job = *cluster.jobs[job_index];
  if (job.failed_on.empty()) return;
  job.retry_not_before = 0;
  job.consecutive_backoffs = 0;
  // Elsewhere it works: what it failed on is seen in another light.
  std::vector<Index> failed_hosts;
  for (const auto& [host, until] : job.failed_on) failed_hosts.push_back(host);
  for (const Index host : failed_hosts) {
    if (host < cluster.hosts.size() && cluster.hosts[host]) quarantine_if_faulty(cluster, host);
  }
}

}  // namespace reachramp::quarantine
