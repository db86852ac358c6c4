#include "quarantine/fault_attribution.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace reachramp::quarantine {

using placement::Host;
using placement::Job;

namespace {

// Pause before a job that fails everywhere is tried again: it starts at 2 s and doubles up to this.
constexpr double kMaxRetryPause_s = 60;
constexpr std::uint32_t kMaxRetryPauseLog2 = 6;
// A job is not placed again for this time on a machine where it failed.
constexpr double kAvoidHostFor_s = 30;
// Evidence against a machine from a job that has never succeeded and has failed on this machine
// only. Three such jobs in a row make the machine faulty.
constexpr double kNoSuccessYetWeight = 0.7;
// The failure rate of a job is computed as if it had failed once in this many earlier runs, because
// a few successes alone are weak evidence.
constexpr double kPriorRuns = 10;
constexpr std::size_t kMaxFailedJobsPerHost = 32;

// Marks the machine as quarantined, which drains and returns it, if the evidence suffices. Its
// failures no longer count against the jobs that failed there.
void quarantine_if_faulty(Cluster& cluster, Index index) {
  Host& host = *cluster.hosts[index];
  if (host.quarantined || fault_evidence(cluster, index) < kFaultyEvidenceThreshold) return;
  host.quarantined = true;
  std::string jobs;
  for (const auto& [id, failure_count] : host.failures_by_job) {
    jobs += " " + id + " x" + std::to_string(failure_count);
    Job* job = cluster.find_job(id);
    if (job != nullptr && job->failed_on.erase(index) > 0 && !job->fails_everywhere()) {
      job->retry_not_before = 0;
      job->consecutive_backoffs = 0;
    }
  }
  spdlog::info("machine {} is faulty: failures since its last success:{}", host.name, jobs);
}

}  // namespace

double fault_evidence(const Cluster& cluster, Index index) {
  double weight = 0;
  for (const auto& [id, failure_count] : cluster.hosts[index]->failures_by_job) {
    const auto at = cluster.job_index.find(id);
    if (at == cluster.job_index.end()) continue;
    const Job& job = *cluster.jobs[at->second];
    if (job.done_count > 0) {
      const double elsewhere = job.failures - std::min(job.failures, failure_count);
      const double failure_rate = (elsewhere + 1) / (elsewhere + job.done_count + kPriorRuns);
      weight += failure_count * (1 - failure_rate) * (1 - failure_rate);
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
  // Failures within a short time count once: four tasks of an unreliable job that fail together do
  // not prove that the machine is faulty.
  if (now >= avoided_until) {
    ++job.failures;
    if (host.failures_by_job.size() < kMaxFailedJobsPerHost ||
        host.failures_by_job.contains(job.spec.id)) {
      ++host.failures_by_job[job.spec.id];
    }
  }
  avoided_until = now + kAvoidHostFor_s;
  quarantine_if_faulty(cluster, host_index);
  // If all tasks of an array fail at once, the pause grows once, not with each task.
  if (!job.fails_everywhere() || now < job.retry_not_before) return;
  job.consecutive_backoffs = std::min(job.consecutive_backoffs + 1, kMaxRetryPauseLog2);
  job.retry_not_before =
      now + std::min(kMaxRetryPause_s, std::ldexp(1.0, static_cast<int>(job.consecutive_backoffs)));
  if (job.consecutive_backoffs == 1) {
    spdlog::info(
        "job {}: failed on {} machines and succeeded on none, tasks are tried one at a time",
        job.spec.id, job.failed_on.size());
  }
}

void note_success(Cluster& cluster, Index job_index, Index host_index) {
  cluster.hosts[host_index]->failures_by_job.clear();
  Job& job = *cluster.jobs[job_index];
  if (job.failed_on.empty()) return;
  job.retry_not_before = 0;
  job.consecutive_backoffs = 0;
  // The job works on this machine, so its failures on other machines now weigh more against those
  // machines.
  std::vector<Index> failed_hosts;
  for (const auto& [host, until] : job.failed_on) failed_hosts.push_back(host);
  for (const Index host : failed_hosts) {
    if (host < cluster.hosts.size() && cluster.hosts[host]) quarantine_if_faulty(cluster, host);
  }
}

}  // namespace reachramp::quarantine
