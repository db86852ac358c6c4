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

constexpr double kCrumb = 1e-6;

// Room on machines of one zone, as tasks take it.
struct Rooms {
  std::vector<std::pair<const placement::Host*, Resources>> hosts;

  // Takes room for as many tasks as there is, for `most` at the most, if `needed` find some.
  std::uint32_t take(const Cluster& cluster, const Job& job, std::uint32_t most,
                     std::uint32_t needed) {
    std::uint32_t found = 0;
    std::vector<std::pair<std::size_t, std::uint32_t>> taken;
    for (std::size_t i = 0; i < hosts.size() && found < most; ++i) {
      if (!placement::allows(cluster, job, *hosts[i].first)) continue;
      const std::uint32_t copies =
          std::min(hosts[i].second.copies(job.resources_per_task), most - found);
      if (copies == 0) continue;
      taken.emplace_back(i, copies);
      found += copies;
    }
    if (found < needed) return 0;
    for (const auto& [i, copies] : taken) hosts[i].second -= job.resources_per_task.times(copies);
    return found;
  }
};

}  // namespace

std::vector<ZoneLossEstimate> estimate_zone_loss(const Cluster& cluster,
                                                 const placement::Service& service, double now) {
  std::map<Index, ZoneLossEstimate> losses;
  std::map<Index, Rooms> free;
  for (const auto& host : cluster.hosts) {
    if (!host || host->zone == kNone || !placement::usable(cluster, *host, now)) continue;
    ZoneLossEstimate& loss = losses[host->zone];
    loss.zone = host->zone;
    ++loss.machines;
    if (host->free.cpus > kCrumb) free[host->zone].hosts.emplace_back(host.get(), host->free);
  }
  std::vector<ZoneLossEstimate> found;
  for (auto& [zone, loss] : losses) {
    std::map<Index, Rooms> rooms = free;
    rooms.erase(zone);
    for (const auto& [other, room] : rooms) {
      for (const auto& [host, resources] : room.hosts) loss.room += resources.cpus;
    }
    for (const Index index : service.order) {
      const Job& job = *cluster.jobs[index];
      const auto there = static_cast<std::uint32_t>(std::count_if(
          job.attempts.begin(), job.attempts.end(), [&, zone = zone](const auto& entry) {
            return cluster.hosts[entry.second.host]->zone == zone;
          }));
      if (there == 0) continue;
      ++loss.jobs;
      loss.cores += there * job.resources_per_task.cpus;
      if (job.spec.shape == jobs::Shape::service && there * 2 > job.spec.tasks) ++loss.over_half;
      // A gang that must share a zone begins anew as a whole.
      const std::uint32_t lost =
          job.spec.one_zone
              ? std::max<std::uint32_t>(there, static_cast<std::uint32_t>(job.attempts.size()))
              : there;
      std::uint32_t placed = 0;
      for (auto& [other, room] : rooms) {
        placed += room.take(cluster, job, lost - placed, job.spec.one_zone ? lost : 1);
        if (placed == lost) break;
      }
      if (placed == lost) continue;
      ++loss.waiting;
      loss.guaranteed += service.guaranteed[index] ? 1 : 0;
      loss.bound += job.zone == zone ? 1 : 0;
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
      cluster.zones[loss.zone], loss.machines, loss.jobs, loss.cores, loss.room, loss.waiting,
      loss.guaranteed, loss.bound, loss.over_half);
}

}  // namespace reachramp::zones
