#include "zones/zone_loss_estimate.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>

#include "placement/plan.h"

namespace reachramp::zones {

using placement::Cluster;
using placement::Index;
using placement::Job;
using placement::kNone;
using placement::Resources;

namespace {

constexpr double kCoreTolerance = 1e-6;

// Free resources of the machines of one zone, less what the tasks placed so far take.
struct FreeHosts {
  std::vector<std::pair<const placement::Host*, Resources>> hosts;

  // Takes room for up to `max_tasks` tasks and returns their number; takes nothing and returns 0 if
  // there is room for fewer than `min_tasks`.
  std::uint32_t try_take(const Cluster& cluster, const Job& job, std::uint32_t max_tasks,
                         std::uint32_t min_tasks) {
    std::uint32_t found = 0;
    std::vector<std::pair<std::size_t, std::uint32_t>> taken;
    for (std::size_t i = 0; i < hosts.size() && found < max_tasks; ++i) {
      if (!placement::may_run_on(cluster, job, *hosts[i].first)) continue;
      const std::uint32_t task_count =
          std::min(hosts[i].second.capacity_for(job.resources_per_task), max_tasks - found);
      if (task_count == 0) continue;
      taken.emplace_back(i, task_count);
      found += task_count;
    }
    if (found < min_tasks) return 0;
    for (const auto& [i, task_count] : taken)
      hosts[i].second -= job.resources_per_task.scaled(task_count);
    return found;
  }
};

}  // namespace

std::vector<ZoneLossEstimate> estimate_zone_loss(const Cluster& cluster,
                                                 const placement::ServiceOrder& service,
                                                 double now) {
  std::map<Index, ZoneLossEstimate> losses;
  std::map<Index, FreeHosts> free_by_zone;
  for (const auto& host : cluster.hosts) {
    if (!host || host->zone == kNone || !placement::is_usable(cluster, *host, now)) continue;
    ZoneLossEstimate& loss = losses[host->zone];
    loss.zone = host->zone;
    ++loss.machines;
    if (host->free.cpus > kCoreTolerance)
      free_by_zone[host->zone].hosts.emplace_back(host.get(), host->free);
  }
  std::vector<ZoneLossEstimate> found;
  for (auto& [zone, loss] : losses) {
    std::map<Index, FreeHosts> other_zones = free_by_zone;
    other_zones.erase(zone);
    for (const auto& [other, free_hosts] : other_zones) {
      for (const auto& [host, resources] : free_hosts.hosts)
        loss.free_cores_elsewhere += resources.cpus;
    }
    for (const Index index : service.jobs) {
      const Job& job = *cluster.jobs[index];
      const auto tasks_in_zone = static_cast<std::uint32_t>(std::count_if(
          job.attempts.begin(), job.attempts.end(), [&, zone = zone](const auto& entry) {
            return cluster.hosts[entry.second.host]->zone == zone;
          }));
      if (tasks_in_zone == 0) continue;
      ++loss.affected_jobs;
      loss.cores_in_use += tasks_in_zone * job.resources_per_task.cpus;
      if (job.spec.shape == jobs::Shape::service && tasks_in_zone * 2 > job.spec.tasks)
        ++loss.services_losing_majority;
      // A gang that must run in one zone restarts as a whole.
      const std::uint32_t tasks_to_place =
          job.spec.single_zone ? std::max<std::uint32_t>(
                                     tasks_in_zone, static_cast<std::uint32_t>(job.attempts.size()))
                               : tasks_in_zone;
      std::uint32_t placed = 0;
      for (auto& [other, free_hosts] : other_zones) {
        placed += free_hosts.try_take(cluster, job, tasks_to_place - placed,
                                      job.spec.single_zone ? tasks_to_place : 1);
        if (placed == tasks_to_place) break;
      }
      if (placed == tasks_to_place) continue;
      ++loss.waiting_jobs;
      loss.waiting_guaranteed_jobs += service.guaranteed[index] ? 1 : 0;
      loss.waiting_zone_bound_jobs += job.zone == zone ? 1 : 0;
    }
    found.push_back(loss);
  }
  return found;
}

std::string describe(const Cluster& cluster, const ZoneLossEstimate& loss) {
  return fmt::format(
      "if zone {} went now: {} machines, {} jobs with {:.0f} cores; elsewhere {:.0f} are free; {} "
      "jobs would wait, {} of them within a guarantee, {} bound to it; {} services would lose more "
      "than half",
      cluster.zones[loss.zone], loss.machines, loss.affected_jobs, loss.cores_in_use,
      loss.free_cores_elsewhere, loss.waiting_jobs, loss.waiting_guaranteed_jobs,
      loss.waiting_zone_bound_jobs, loss.services_losing_majority);
}

}  // namespace reachramp::zones
