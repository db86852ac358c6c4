// Computes the demand for machines: how many tasks need machines, and of which pools.
#include "acquire/demand.h"

#include <algorithm>
#include <cmath>

#include "acquire/autoscaler.h"
#include "placement/plan.h"
#include "placement/service_order.h"

namespace reachramp::acquire {

using placement::Host;
using placement::HostPhase;
using placement::Job;
using placement::kNone;
using placement::Resources;

namespace {

// A machine that has not come up after this many boot times no longer counts as capacity.
constexpr double kBootTimesUntilUncounted = 2;
// Users' estimates of a task's duration are often wrong by half and are multiplied by this.
constexpr double kEstimateFactor = 1.5;
// For a job that cannot be in time any more, ordinary machines are rented only for as many parallel
// tasks as are needed for the job to end within this many horizons. Its other tasks get spot
// machines only.
constexpr double kMaxLateWork_horizons = 4;
// An array that needs more than this share of the fleet's cores gets only as many ordinary machines
// as a late job. Service-level objectives count jobs, and a large job costs as much as many small
// ones.
constexpr double kMaxFleetShare = 0.5;

}  // namespace

bool provides_capacity(const Cluster& cluster, const Host& host, double now) {
  const auto* type = cluster.type_of(host);
  if (type == nullptr || host.draining || host.cordoned || host.to_be_replaced || host.zone_lost ||
      host.phase == HostPhase::terminating || host.quarantined || host.unreachable_since >= 0) {
    return false;
  }
  return host.phase == HostPhase::up || host.listed_as_running ||
         now - host.rented_at < kBootTimesUntilUncounted * type->boot_s;
}

int tasks_per_machine(const cloud::MachineType& type, const Resources& need) {
  return static_cast<int>(Resources{type.cpus, type.gpus, type.ram_gb}.capacity_for(need));
}

Amounts DemandGroup::total_amounts() const {
  return {mean_task_resources.cpus * tasks, mean_task_resources.gpus * tasks,
          mean_task_resources.ram_gb * tasks};
}

namespace {

// The machines that provide capacity, counted by pool once: counting them for each array took time
// in proportion to the product of arrays and machines.
class FleetCapacity {
 public:
  FleetCapacity(const Cluster& cluster, double now) : cluster_(cluster), now_(now) {
    for (const auto& host : cluster.hosts) {
      if (host && provides_capacity(cluster, *host, now))
        ++machines_by_pool_[{host->type, host->zone, host->spot}];
    }
  }

  // Returns the cores of the machines on which the job may run.
  double eligible_cores(const Job& job) const {
    double cores = 0;
    for (const auto& [pool, count] : machines_by_pool_) {
      if (placement::is_zone_allowed(job, pool.zone) &&
          placement::may_run_on(cluster_, job, pool.type, pool.spot)) {
        cores += count * cluster_.machine_type(pool.type)->cpus;
      }
    }
    return cores;
  }

  const std::map<Pool, int>& machines_by_pool() const { return machines_by_pool_; }
  double now() const { return now_; }

 private:
  const Cluster& cluster_;
  double now_;
  std::map<Pool, int> machines_by_pool_;
};

// Returns the shortest boot time among the machine types that the job fits on.
double shortest_boot_s(const Cluster& cluster, const Job& job) {
  double boot_s = placement::kNever;
  for (Index type = 0; type < job.fits_type.size(); ++type) {
    if (job.fits_type[type]) boot_s = std::min(boot_s, cluster.machine_type(type)->boot_s);
  }
  return boot_s;
}

// Calls `visit` for each pool in the zone (kNone: in any zone) with a machine type that a task of
// the job fits on and a price that the job allows. Reservations for larger tasks are not checked.
template <class Visit>
void for_each_pool(const Cluster& cluster, const Job& job, Index only_zone, Visit visit) {
  for (Index type = 0; type < job.fits_type.size(); ++type) {
    if (!job.fits_type[type]) continue;
    for (const std::string& name : cluster.machine_type(type)->zones) {
      const Index zone = cluster.zones.find(name);
      if (only_zone != kNone && only_zone != zone) continue;
      if (job.spec.allow_spot) visit(Pool{type, zone, true});
      visit(Pool{type, zone, false});
    }
  }
}

// Returns how many of an array's tasks should run in parallel: all of them if time is short, fewer
// if several rounds of tasks on the same machines still end in time. For gangs and services, all.
double parallel_tasks(const Job& job, double tasks, double boot_s, double now) {
  const double latest_start = job.next_latest_start(now + boot_s);
  if (job.spec.shape != jobs::Shape::array || latest_start == placement::kNever) return tasks;
  const double round_s = std::max(1.0, job.spec.estimated_duration_s * kEstimateFactor);
  const double rounds = (latest_start - now - boot_s) / round_s + 1;
  return std::min(tasks,
                  std::max(std::ceil(tasks / rounds), static_cast<double>(job.attempts.size())));
}

// Selects the zone for each job that must stay in a single zone, and reserves the machines there
// for the job. Machines in other zones do not help such a job, and machines that one job will use
// do not help the next. Without the reservation, all gangs selected the same zone, and two thirds
// of the machines that an enlarged site had for them were never requested.
class ZoneSelector {
 public:
  ZoneSelector(const Autoscaler& autoscaler, const Cluster& cluster, const FleetCapacity& fleet)
      : autoscaler_(autoscaler),
        cluster_(cluster),
        now_(fleet.now()),
        unreserved_machines_(fleet.machines_by_pool()) {}

  // Returns kNone if the job may use any zone, or if no zone has or can get capacity for it.
  Index select_zone(const Job& job) {
    if (!job.spec.single_zone || job.spec.tasks == 1) return job.zone;
    Index zone = job.zone;
    if (zone == kNone && !job.attempts.empty()) {
      zone = cluster_.hosts[job.attempts.begin()->second.host]->zone;
    }
    if (zone == kNone) zone = best_zone(job);
    if (zone != kNone) reserve_machines(job, zone);
    return zone;
  }

 private:
  // Prefers zones where the job can start at once to zones where machines must be rented first, and
  // among equals the zone with the most capacity.
  Index best_zone(const Job& job) const {
    Index best = kNone;
    std::pair<bool, int> best_capacity;
    for (Index zone = 0; zone < cluster_.zones.size(); ++zone) {
      const auto [slots, may_grow] = zone_capacity(job, zone);
      const bool enough = slots >= static_cast<int>(job.spec.tasks);
      if (!enough && !may_grow) continue;
      if (best == kNone || std::pair(enough, slots) > best_capacity) {
        best = zone;
        best_capacity = {enough, slots};
      }
    }
    return best;
  }

  // Returns the tasks that the unreserved machines of the zone hold, and whether more machines may
  // be requested there.
  std::pair<int, bool> zone_capacity(const Job& job, Index zone) const {
    int slots = 0;
    bool may_grow = false;
    for_each_pool(cluster_, job, zone, [&](const Pool& pool) {
      const auto at = unreserved_machines_.find(pool);
      if (at != unreserved_machines_.end()) slots += at->second * pool_tasks_per_machine(pool, job);
      may_grow = may_grow || autoscaler_.may_request(pool, now_);
    });
    return {slots, may_grow};
  }

  void reserve_machines(const Job& job, Index zone) {
    int tasks_left = static_cast<int>(job.spec.tasks);
    for_each_pool(cluster_, job, zone, [&](const Pool& pool) {
      const auto at = unreserved_machines_.find(pool);
      if (at == unreserved_machines_.end() || tasks_left <= 0) return;
      const int tasks_each = pool_tasks_per_machine(pool, job);
      const int taken = std::min(at->second, (tasks_left + tasks_each - 1) / tasks_each);
      at->second -= taken;
      tasks_left -= taken * tasks_each;
    });
  }

  int pool_tasks_per_machine(const Pool& pool, const Job& job) const {
    return tasks_per_machine(*cluster_.machine_type(pool.type), job.resources_per_task);
  }

  const Autoscaler& autoscaler_;
  const Cluster& cluster_;
  double now_;
  std::map<Pool, int> unreserved_machines_;
};

}  // namespace

std::vector<DemandGroup> Autoscaler::demand_groups(const Cluster& cluster, double now,
                                                   BlockedJobs blocked_jobs) const {
  std::map<std::vector<Pool>, DemandGroup> by_pools;
  std::vector<placement::Usage> requested(cluster.usage_by_team.size());
  const FleetCapacity fleet(cluster, now);
  ZoneSelector zones(*this, cluster, fleet);
  std::vector<Index> order = placement::service_order(cluster, now).jobs;
  for (Index index = 0; index < cluster.jobs.size() && blocked_jobs == BlockedJobs::included;
       ++index) {
    const auto& job = cluster.jobs[index];
    if (job && !job->cancelled && job->team != kNone && job->is_blocked() &&
        job->expected_unblocked_at <= now + shortest_boot_s(cluster, *job)) {
      order.push_back(index);
    }
  }
  for (const Index index : order) {
    const Job& job = *cluster.jobs[index];
    if (now < job.retry_not_before) continue;
    double tasks = job.spec.tasks - job.done_count;
    // A job that fails everywhere is retried one task at a time.
    if (job.fails_everywhere() && job.spec.shape != jobs::Shape::gang) tasks = 1;
    const settings::Team& team = cluster.platform.teams[job.team];
    const auto limit_tasks = [&](double limit, double used, double need) {
      if (limit > 0 && need > 0) tasks = std::min(tasks, std::floor((limit - used) / need + 1e-6));
    };
    limit_tasks(team.max_cpus, requested[job.team].cpus, job.resources_per_task.cpus);
    limit_tasks(team.max_gpus, requested[job.team].gpus, job.resources_per_task.gpus);
    if (tasks <= 0) continue;
    requested[job.team].cpus += tasks * job.resources_per_task.cpus;
    requested[job.team].gpus += tasks * job.resources_per_task.gpus;
    std::vector<Pool> pools;
    for_each_pool(cluster, job, zones.select_zone(job), [&](const Pool& pool) {
      if (!cluster.is_reserved_for_larger_tasks(job, pool.type, pool.spot)) pools.push_back(pool);
    });
    if (pools.empty()) continue;
    const double boot_s = shortest_boot_s(cluster, job);
    const double tasks_at_once = parallel_tasks(job, tasks, boot_s, now);
    DemandGroup& group = by_pools[pools];
    group.pools = pools;
    group.mean_task_resources += job.resources_per_task.scaled(tasks_at_once);
    group.tasks += tasks_at_once;
    // Ordinary machines are rented for all parallel tasks of a job that may not use spot machines,
    // or that can be in time (or has no latest start time) without too large a share of the fleet.
    // For other jobs they are rented for as many tasks as end the job within kMaxLateWork_horizons.
    const bool in_time =
        job.latest_starts.empty() ||
        (job.next_latest_start(now + boot_s) != placement::kNever &&
         (job.spec.shape != jobs::Shape::array || tasks_at_once * job.resources_per_task.cpus <=
                                                      kMaxFleetShare * fleet.eligible_cores(job)));
    const double on_time_tasks = std::ceil(tasks * job.spec.estimated_duration_s /
                                           (kMaxLateWork_horizons * policy_.horizon_s));
    group.ordinary_machine_tasks +=
        !job.spec.allow_spot || in_time
            ? tasks_at_once
            : std::min(tasks_at_once, std::max<double>(on_time_tasks, job.attempts.size()));
  }
  std::vector<DemandGroup> found;
  for (auto& [pools, group] : by_pools) {
    group.mean_task_resources = group.mean_task_resources.scaled(1 / group.tasks);
    group.price_correlation = price_correlations(pools);
    found.push_back(std::move(group));
  }
  // Groups with the fewest pools claim machines first.
  std::stable_sort(found.begin(), found.end(), [](const DemandGroup& a, const DemandGroup& b) {
    return a.pools.size() < b.pools.size();
  });
  return found;
}

}  // namespace reachramp::acquire
