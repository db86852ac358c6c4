// What work is waiting and running for which machines are wanted, and of which pools.
#include "acquire/demand.h"

#include <algorithm>
#include <cmath>

#include "acquire/autoscaler.h"
#include "placement/order.h"
#include "placement/plan.h"

namespace reachramp::acquire {

using placement::Host;
using placement::HostPhase;
using placement::Job;
using placement::kNone;
using placement::Resources;

namespace {

// A machine that has not come up after this many boot times is not counted on any more.
constexpr double kLateBoot = 2;
// Owners' estimates are often wrong by half.
constexpr double kEstimateMargin = 1.5;
// Late work is worth ordinary machines only as far as cheap ones would take longer than this.
constexpr double kLateHorizons = 4;
// Aims count jobs, and a large one costs as much as many small ones: an array that would need more
// than this share of the fleet makes do with cheap machines.
constexpr double kLargestShare = 0.5;

}  // namespace

bool counts(const Cluster& cluster, const Host& host, double now) {
  const auto* type = cluster.type_of(host);
  if (type == nullptr || host.draining || host.cordoned || host.to_be_replaced || host.zone_lost ||
      host.phase == HostPhase::terminating || host.quarantined || host.unreachable_since >= 0) {
    return false;
  }
  return host.phase == HostPhase::up || host.runs ||
         now - host.rented_at < kLateBoot * type->boot_s;
}

int copies_in(const cloud::MachineType& type, const Resources& need) {
  return static_cast<int>(Resources{type.cpus, type.gpus, type.ram_gb}.copies(need));
}

Amounts DemandGroup::goal() const {
  return {need.cpus * tasks, need.gpus * tasks, need.ram_gb * tasks};
}

namespace {

// The machines that count, by pool. Asked for each array in turn, a walk over all machines grew
// with the product of both.
class Fleet {
 public:
  Fleet(const Cluster& cluster, double now) : cluster_(cluster), now_(now) {
    for (const auto& host : cluster.hosts) {
      if (host && counts(cluster, *host, now)) ++machines_[{host->type, host->zone, host->spot}];
    }
  }

  // Cores of the machines that may run the job.
  double open_to(const Job& job) const {
    double cores = 0;
    for (const auto& [pool, count] : machines_) {
      if (placement::in_zone(job, pool.zone) &&
          placement::allows(cluster_, job, pool.type, pool.spot)) {
        cores += count * cluster_.machine_type(pool.type)->cpus;
      }
    }
    return cores;
  }

  const std::map<Pool, int>& machines() const { return machines_; }
  double now() const { return now_; }

 private:
  const Cluster& cluster_;
  double now_;
  std::map<Pool, int> machines_;
};

double quickest_boot(const Cluster& cluster, const Job& job) {
  double boot_s = placement::kNever;
  for (Index type = 0; type < job.fits.size(); ++type) {
    if (job.fits[type]) boot_s = std::min(boot_s, cluster.machine_type(type)->boot_s);
  }
  return boot_s;
}

// Every pool in the zone (kNone: in any) whose machines the job may run on.
template <class Use>
void each_pool(const Cluster& cluster, const Job& job, Index only, Use use) {
  for (Index type = 0; type < job.fits.size(); ++type) {
    if (!job.fits[type]) continue;
    for (const std::string& name : cluster.machine_type(type)->zones) {
      const Index zone = cluster.zones.find(name);
      if (only != kNone && only != zone) continue;
      if (job.spec.spot) use(Pool{type, zone, true});
      use(Pool{type, zone, false});
    }
  }
}

// How many tasks of an array should run side by side: all of them where the time is short, fewer
// where several rounds on the same machines still end in time.
double side_by_side(const Job& job, double tasks, double boot_s, double now) {
  const double start_by = job.next_start_by(now + boot_s);
  if (job.spec.shape != jobs::Shape::array || start_by == placement::kNever) return tasks;
  const double round_s = std::max(1.0, job.spec.estimate_s * kEstimateMargin);
  const double rounds = (start_by - now - boot_s) / round_s + 1;
  return std::min(tasks,
                  std::max(std::ceil(tasks / rounds), static_cast<double>(job.attempts.size())));
}

// Which zone each job that must share one gets. Machines of several zones together do not help such
// a job, however many they are, and those that one job will use do not help the next: looked at one
// by one, all gangs found the same zone large enough, and two thirds of the machines that a grown
// site had for them were never asked for.
class ZoneChoice {
 public:
  ZoneChoice(const Autoscaler& buyer, const Cluster& cluster, const Fleet& fleet)
      : buyer_(buyer), cluster_(cluster), now_(fleet.now()), spare_(fleet.machines()) {}

  // kNone: any zone, or none that helps.
  Index choose(const Job& job) {
    if (!job.spec.one_zone || job.spec.tasks == 1) return job.zone;
    Index zone = job.zone;
    if (zone == kNone && !job.attempts.empty()) {
      zone = cluster_.hosts[job.attempts.begin()->second.host]->zone;
    }
    if (zone == kNone) zone = best_for(job);
    if (zone != kNone) claim(job, zone);
    return zone;
  }

 private:
  // Where it could start at once, before where machines must come first.
  Index best_for(const Job& job) const {
    Index best = kNone;
    std::pair<bool, int> most;
    for (Index zone = 0; zone < cluster_.zones.size(); ++zone) {
      const auto [slots, may_grow] = look_at(job, zone);
      const bool enough = slots >= static_cast<int>(job.spec.tasks);
      if (!enough && !may_grow) continue;
      if (best == kNone || std::pair(enough, slots) > most) {
        best = zone;
        most = {enough, slots};
      }
    }
    return best;
  }

  std::pair<int, bool> look_at(const Job& job, Index zone) const {
    int slots = 0;
    bool may_grow = false;
    each_pool(cluster_, job, zone, [&](const Pool& pool) {
      const auto at = spare_.find(pool);
      if (at != spare_.end()) slots += at->second * copies(pool, job);
      may_grow = may_grow || buyer_.may_ask(pool, now_);
    });
    return {slots, may_grow};
  }

  void claim(const Job& job, Index zone) {
    int left = static_cast<int>(job.spec.tasks);
    each_pool(cluster_, job, zone, [&](const Pool& pool) {
      const auto at = spare_.find(pool);
      if (at == spare_.end() || left <= 0) return;
      const int each = copies(pool, job);
      const int taken = std::min(at->second, (left + each - 1) / each);
      at->second -= taken;
      left -= taken * each;
    });
  }

  int copies(const Pool& pool, const Job& job) const {
    return copies_in(*cluster_.machine_type(pool.type), job.resources_per_task);
  }

  const Autoscaler& buyer_;
  const Cluster& cluster_;
  double now_;
  std::map<Pool, int> spare_;
};

}  // namespace

std::vector<DemandGroup> Autoscaler::demand(const Cluster& cluster, double now,
                                            Waiting waiting) const {
  std::map<std::vector<Pool>, DemandGroup> by_pools;
  std::vector<placement::Usage> claimed(cluster.used.size());
  const Fleet fleet(cluster, now);
  ZoneChoice zones(*this, cluster, fleet);
  std::vector<Index> order = placement::service_order(cluster, now).order;
  for (Index index = 0; index < cluster.jobs.size() && waiting == Waiting::counts; ++index) {
    const auto& job = cluster.jobs[index];
    if (job && !job->cancelled && job->team != kNone && job->waits() &&
        job->expected_unblocked_at <= now + quickest_boot(cluster, *job)) {
      order.push_back(index);
    }
  }
  for (const Index index : order) {
    const Job& job = *cluster.jobs[index];
    if (now < job.not_before) continue;
    double tasks = job.spec.tasks - job.done_count;
    // As it is tried: one by one, and not while it pauses.
    if (job.fails_everywhere() && job.spec.shape != jobs::Shape::gang) tasks = 1;
    const settings::Team& team = cluster.platform.teams[job.team];
    const auto cap = [&](double limit, double used, double need) {
      if (limit > 0 && need > 0) tasks = std::min(tasks, std::floor((limit - used) / need + 1e-6));
    };
    cap(team.cpus_max, claimed[job.team].cpus, job.resources_per_task.cpus);
    cap(team.gpus_max, claimed[job.team].gpus, job.resources_per_task.gpus);
    if (tasks <= 0) continue;
    claimed[job.team].cpus += tasks * job.resources_per_task.cpus;
    claimed[job.team].gpus += tasks * job.resources_per_task.gpus;
    std::vector<Pool> pools;
    each_pool(cluster, job, zones.choose(job), [&](const Pool& pool) {
      if (!cluster.is_kept_from(job, pool.type, pool.spot)) pools.push_back(pool);
    });
    if (pools.empty()) continue;
    const double boot_s = quickest_boot(cluster, job);
    const double parallel = side_by_side(job, tasks, boot_s, now);
    DemandGroup& group = by_pools[pools];
    group.pools = pools;
    group.need += job.resources_per_task.times(parallel);
    group.tasks += parallel;
    // An ordinary machine is worth its full price to work that it can still bring in time, unless
    // that takes too much of the fleet, and to other work only as far as the cheap ones would take
    // too long.
    const bool in_time =
        job.start_by.empty() ||
        (job.next_start_by(now + boot_s) != placement::kNever &&
         (job.spec.shape != jobs::Shape::array ||
          parallel * job.resources_per_task.cpus <= kLargestShare * fleet.open_to(job)));
    const double soon =
        std::ceil(tasks * job.spec.estimate_s / (kLateHorizons * policy_.horizon_s));
    group.ordinary_tasks += !job.spec.spot || in_time
                                ? parallel
                                : std::min(parallel, std::max<double>(soon, job.attempts.size()));
  }
  std::vector<DemandGroup> found;
  for (auto& [pools, group] : by_pools) {
    group.need = group.need.times(1 / group.tasks);
    group.rho = correlations(pools);
    found.push_back(std::move(group));
  }
  // The most particular work claims its machines first.
  std::stable_sort(found.begin(), found.end(), [](const DemandGroup& a, const DemandGroup& b) {
    return a.pools.size() < b.pools.size();
  });
  return found;
}

}  // namespace reachramp::acquire
