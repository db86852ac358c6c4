#include "placement/preempt.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "placement/plan.h"

namespace reachramp::placement {

namespace {

// A gang preempts others only after it has waited this long, because room may become free by
// itself.
constexpr double kMinWaitBeforePreempting_s = 3;
// A gang is preempted only after it has run this long, because stopping it earlier would waste its
// start.
constexpr double kMinRunBeforePreempted_s = 30;
constexpr double kCpuTolerance = 1e-6;

// Whether the rules in PROTOCOL, "Preemption", allow `preemptor` to stop `victim`: the victim has a
// lower priority, or the preemptor is within its team's guarantee and the victim's team stays at or
// above its own guarantee without the victim. `stopping_cores` is what each team loses already.
bool may_preempt(const Cluster& cluster, const Job& victim, const Job& preemptor,
                 bool within_guarantee, const std::vector<double>& stopping_cores) {
  if (victim.priority < preemptor.priority) return true;
  if (!within_guarantee || victim.team == preemptor.team || victim.team == kNone) return false;
  const double guarantee = cluster.platform.teams[victim.team].guaranteed_cpus;
  const double left = cluster.usage_by_team[victim.team].cpus - stopping_cores[victim.team] -
                      victim.resources_per_task.cpus * static_cast<double>(victim.attempts.size());
  return left + 1e-6 >= guarantee;
}

// Whether the job is a gang whose tasks all run, save checkpoints and are not being stopped yet.
bool is_preemptible(const Job& job, double now) {
  if (job.spec.shape != jobs::Shape::gang || job.spec.checkpoint_interval_s <= 0 ||
      !job.gang_started || job.cancelled || job.is_complete()) {
    return false;
  }
  return std::all_of(job.attempts.begin(), job.attempts.end(), [&](const auto& entry) {
    const Attempt& attempt = entry.second;
    return attempt.observed_state == ObservedState::running && !attempt.stopping &&
           now - attempt.running_since >= kMinRunBeforePreempted_s;
  });
}

// The free resources of the usable machines once all stopping tasks have ended. Machines are
// grouped by pool and sorted by free cores, largest first, so that a search can end early:
// preemption happens when most machines are full.
class FutureCapacity {
 public:
  FutureCapacity(const Cluster& cluster, double now)
      : cluster_(cluster), free_by_host_(cluster.hosts.size()) {
    for (Index i = 0; i < cluster.hosts.size(); ++i) {
      const auto& host = cluster.hosts[i];
      if (!host || !is_usable(cluster, *host, now) || cluster.type_of(*host) == nullptr) continue;
      usable_hosts_.push_back(i);
      free_by_host_[i] = host->free;
      for (const TaskRef& ref : host->attempts) {
        const Job& job = *cluster.jobs[ref.job];
        if (job.attempts.at(ref.task).stopping) free_by_host_[i] += job.resources_per_task;
      }
    }
    rebuild_pools();
  }

  // Also counts the resources of all tasks of the job as free.
  void add_stopping(const Job& job) {
    for (const auto& [task, attempt] : job.attempts)
      free_by_host_[attempt.host] += job.resources_per_task;
    rebuild_pools();
  }

  // The number of tasks of the job that fit, by zone. Includes zones with 0 if the job may run
  // there.
  std::map<Index, std::uint32_t> capacity_by_zone(const Job& job) const {
    std::map<Index, std::uint32_t> found;
    for (const auto& [pool, machines] : hosts_by_pool_) {
      if (!is_zone_allowed(job, pool.zone) || !may_run_on(cluster_, job, pool.type, pool.spot))
        continue;
      std::uint32_t& capacity = found[pool.zone];
      for (const Index i : machines) {
        if (free_by_host_[i].cpus + kCpuTolerance < job.resources_per_task.cpus) break;
        capacity += free_by_host_[i].capacity_for(job.resources_per_task);
      }
    }
    return found;
  }

 private:
  void rebuild_pools() {
    hosts_by_pool_.clear();
    for (const Index i : usable_hosts_) {
      const Host& host = *cluster_.hosts[i];
      hosts_by_pool_[{host.type, host.zone, host.spot}].push_back(i);
    }
    for (auto& [pool, machines] : hosts_by_pool_) {
      std::sort(machines.begin(), machines.end(),
                [&](Index a, Index b) { return free_by_host_[a].cpus > free_by_host_[b].cpus; });
    }
  }

  const Cluster& cluster_;
  std::vector<Index> usable_hosts_;
  std::vector<Resources> free_by_host_;
  std::map<Pool, std::vector<Index>> hosts_by_pool_;
};

// Selects gangs to stop so that `missing_tasks` more tasks of the preemptor fit in the zone, and
// adds their cores to `stopping_cores`. Returns none if stopping all eligible gangs would not
// suffice.
std::vector<Index> select_victims(const Cluster& cluster, const std::vector<Index>& preemptible,
                                  const Job& preemptor, bool within_guarantee, Index zone,
                                  std::uint32_t missing_tasks, std::vector<double>& stopping_cores,
                                  double now) {
  std::vector<std::pair<std::uint32_t, Index>> found;
  for (const Index i : preemptible) {
    const auto& job = cluster.jobs[i];
    if (!may_preempt(cluster, *job, preemptor, within_guarantee, stopping_cores) ||
        !is_preemptible(*job, now)) {
      continue;
    }
    std::uint32_t freed = 0;
    for (const auto& [task, attempt] : job->attempts) {
      const Host& host = *cluster.hosts[attempt.host];
      if (host.zone != zone || !is_usable(cluster, host, now) ||
          !may_run_on(cluster, preemptor, host)) {
        continue;
      }
      Resources room = host.free;
      room += job->resources_per_task;
      freed += room.capacity_for(preemptor.resources_per_task) >
                       host.free.capacity_for(preemptor.resources_per_task)
                   ? 1
                   : 0;
    }
    if (freed > 0) found.emplace_back(freed, i);
  }
  std::sort(found.begin(), found.end());
  std::vector<Index> victims;
  const auto add_victim = [&](Index victim) {
    const Job& job = *cluster.jobs[victim];
    victims.push_back(victim);
    stopping_cores[job.team] +=
        job.resources_per_task.cpus * static_cast<double>(job.attempts.size());
  };
  // Prefers the gang that frees the smallest sufficient number of tasks; if none frees enough
  // alone, takes several, starting with those that free most.
  const auto sufficient = std::find_if(found.begin(), found.end(),
                                       [&](const auto& one) { return one.first >= missing_tasks; });
  if (sufficient != found.end()) {
    add_victim(sufficient->second);
    return victims;
  }
  const std::vector<double> cores_before = stopping_cores;
  std::uint32_t freed = 0;
  for (auto at = found.rbegin(); at != found.rend() && freed < missing_tasks; ++at) {
    if (!may_preempt(cluster, *cluster.jobs[at->second], preemptor, within_guarantee,
                     stopping_cores))
      continue;
    add_victim(at->second);
    freed += at->first;
  }
  if (freed >= missing_tasks) return victims;
  stopping_cores = cores_before;
  return {};
}

// Whether the job is a waiting gang for which others may be preempted: all its tasks must run in
// one zone, and only the lack of room there keeps it from starting.
bool may_preempt_others(const Cluster& cluster, const Job& job, double now) {
  return job.spec.shape == jobs::Shape::gang && job.attempts.empty() && !job.fails_everywhere() &&
         now >= job.retry_not_before && now - job.unblocked_at >= kMinWaitBeforePreempting_s &&
         cluster.within_team_limit(job, job.spec.tasks) &&
         (job.spec.tasks == 1 || job.spec.single_zone);
}

// Returns the cores of stopping attempts by team.
std::vector<double> stopping_cores_by_team(const Cluster& cluster) {
  std::vector<double> cores(cluster.usage_by_team.size());
  for (const auto& job : cluster.jobs) {
    if (!job || job->team == kNone) continue;
    for (const auto& [task, attempt] : job->attempts) {
      if (attempt.stopping) cores[job->team] += job->resources_per_task.cpus;
    }
  }
  return cores;
}

}  // namespace

void preempt(Cluster& cluster, const ServiceOrder& order,
             const DisruptionApprover& approve_disruption, double now) {
  std::vector<Index> preemptors;
  for (const Index index : order.jobs) {
    if (may_preempt_others(cluster, *cluster.jobs[index], now)) preemptors.push_back(index);
  }
  if (preemptors.empty()) return;                         // the usual case
  std::map<Index, std::uint32_t> reserved_tasks_by_zone;  // for earlier preemptors
  std::vector<double> stopping_cores = stopping_cores_by_team(cluster);
  FutureCapacity future_capacity(cluster, now);
  std::vector<Index> preemptible;
  for (Index i = 0; i < cluster.jobs.size(); ++i) {
    if (cluster.jobs[i] && is_preemptible(*cluster.jobs[i], now)) preemptible.push_back(i);
  }
  for (const Index index : preemptors) {
    const Job& job = *cluster.jobs[index];
    const bool within_guarantee =
        order.guaranteed[index] &&
        cluster.usage_by_team[job.team].cpus + job.resources_per_task.cpus * job.spec.tasks <=
            cluster.platform.teams[job.team].guaranteed_cpus + 1e-6;
    std::vector<std::pair<std::uint32_t, Index>> zones;
    for (const auto& [zone, capacity] : future_capacity.capacity_by_zone(job)) {
      zones.emplace_back(capacity - std::min(capacity, reserved_tasks_by_zone[zone]), zone);
    }
    std::sort(zones.rbegin(), zones.rend());  // largest capacity first
    for (const auto& [capacity, zone] : zones) {
      std::vector<Index> victims;
      if (capacity < job.spec.tasks) {
        victims = select_victims(cluster, preemptible, job, within_guarantee, zone,
                                 job.spec.tasks - capacity, stopping_cores, now);
        if (victims.empty() || (approve_disruption && !approve_disruption(victims))) continue;
      }
      for (const Index victim : victims) {
        Job& victim_job = *cluster.jobs[victim];
        spdlog::info("job {} is preempted by job {}", victim_job.spec.id, job.spec.id);
        future_capacity.add_stopping(victim_job);
        for (const auto& [task, attempt] : victim_job.attempts) {
          cluster.request_stop(victim, task, victim_job.spec.checkpoint_duration_s + 1, true);
        }
      }
      reserved_tasks_by_zone[zone] += job.spec.tasks;
      break;
    }
  }
}

}  // namespace reachramp::placement
