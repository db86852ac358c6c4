#include "placement/available_hosts.h"

#include <algorithm>

#include "placement/plan.h"

namespace reachramp::placement {

namespace {

// Free amounts up to this are rounding errors.
constexpr double kMinUsefulRoom = 1e-6;

Resources total_resources(const cloud::MachineType& type) {
  return {type.cpus, type.gpus, type.ram_gb};
}

void raise_bound(Resources& bound, const Resources& free) {
  bound.cpus = std::max(bound.cpus, free.cpus);
  bound.gpus = std::max(bound.gpus, free.gpus);
  bound.ram_gb = std::max(bound.ram_gb, free.ram_gb);
}

}  // namespace

AvailableHosts::AvailableHosts(const Cluster& cluster, double now)
    : cluster_(cluster), now_(now), excluded_(cluster.hosts.size()) {
  // The key sorts the groups in the order in which candidates() prefers them.
  std::map<std::tuple<bool, double, Index, bool>, std::vector<Index>> hosts_by_kind;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || !is_usable(cluster, *host, now)) continue;
    const auto* type = cluster.type_of(*host);
    if (type == nullptr) continue;
    hosts_by_kind[{!host->spot, type->cpus, host->type, host->backfilled}].push_back(i);
    ++usable_hosts_by_pool_[{host->type, host->zone, host->spot}];
  }
  for (auto& [kind, hosts] : hosts_by_kind) {
    groups_.push_back(
        {std::get<2>(kind), !std::get<0>(kind), std::get<3>(kind), std::move(hosts), {}});
  }
  refresh_bounds();
}

void AvailableHosts::refresh_bounds() {
  for (HostGroup& group : groups_) {
    scan(group, [](Index) {});
  }
}

template <class Visit>
void AvailableHosts::scan(HostGroup& group, Visit visit) {
  group.max_free = {};
  for (const Index i : group.hosts) {
    if (excluded_[i]) continue;
    ++hosts_examined_;
    raise_bound(group.max_free, cluster_.hosts[i]->free);
    visit(i);
  }
}

bool AvailableHosts::is_avoided(const Job& job, Index host) const {
  const auto at = job.failed_on.find(host);
  return at != job.failed_on.end() && now_ < at->second;
}

// The answer is the same for all machines of a group.
bool AvailableHosts::may_use(const Job& job, const HostGroup& group) const {
  return (job.spec.allow_spot || !group.spot) && job.fits_type[group.type] &&
         (group.backfilled || !cluster_.is_reserved_for_larger_tasks(job, group.type, group.spot));
}

std::vector<Index> AvailableHosts::candidates(const Job& job) {
  std::vector<Index> found;
  std::vector<Index> without_image;
  for (HostGroup& group : groups_) {
    if (!group.max_free.holds(job.resources_per_task) || !may_use(job, group)) continue;
    scan(group, [&](Index i) {
      const Host& host = *cluster_.hosts[i];
      if (!host.free.holds(job.resources_per_task) || !is_zone_allowed(job, host.zone) ||
          is_avoided(job, i))
        return;
      (host.cached_images.contains(job.spec.image) ? found : without_image).push_back(i);
    });
    found.insert(found.end(), without_image.begin(), without_image.end());
    without_image.clear();
  }
  return found;
}

std::vector<Index> AvailableHosts::hosts_with_partial_room(const Job& job) {
  std::vector<Index> found;
  for (HostGroup& group : groups_) {
    if (group.max_free.cpus <= kMinUsefulRoom || group.max_free.ram_gb <= kMinUsefulRoom ||
        !may_use(job, group)) {
      continue;
    }
    scan(group, [&](Index i) {
      const Host& host = *cluster_.hosts[i];
      if (host.free.cpus > kMinUsefulRoom && host.free.ram_gb > kMinUsefulRoom &&
          !host.free.holds(job.resources_per_task) && is_zone_allowed(job, host.zone) &&
          !is_avoided(job, i)) {
        found.push_back(i);
      }
    });
  }
  return found;
}

void AvailableHosts::exclude(const std::vector<Index>& hosts) {
  for (const Index host : hosts) excluded_[host] = true;
}

// For a job that must stay in a single zone, the capacities of several zones are not added up.
// Otherwise a team's limit was reserved for a gang that no single zone could hold, and the team's
// array, which had rented all the machines, was never placed.
bool AvailableHosts::could_hold_when_empty(const Job& job, Index zone, std::uint32_t tasks) const {
  std::map<Index, std::uint64_t> capacity_by_zone;  // all zones together under kNone
  for (const auto& [pool, machines] : usable_hosts_by_pool_) {
    if ((zone != kNone && pool.zone != zone) || !is_zone_allowed(job, pool.zone) ||
        !may_run_on(cluster_, job, pool.type, pool.spot)) {
      continue;
    }
    capacity_by_zone[job.spec.single_zone ? pool.zone : kNone] +=
        std::uint64_t{machines} *
        total_resources(*cluster_.machine_type(pool.type)).capacity_for(job.resources_per_task);
  }
  return std::any_of(capacity_by_zone.begin(), capacity_by_zone.end(),
                     [&](const auto& entry) { return entry.second >= tasks; });
}

}  // namespace reachramp::placement
