#include "placement/preempt.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "placement/plan.h"

namespace reachramp::placement {

namespace {

// Room may come by itself, and a start that is stopped at once was for nothing.
constexpr double kWaitFirst_s = 3;
constexpr double kRunAtLeast_s = 30;
constexpr double kCrumb = 1e-6;

// PROTOCOL, "Preemption": for higher priority, or what another team runs beyond its own guarantee.
// `yielded`: cores by team that are being stopped already.
bool may_stop(const Cluster& cluster, const Job& victim, const Job& claimant, bool claims_guarantee,
              const std::vector<double>& yielded) {
  if (victim.priority < claimant.priority) return true;
  if (!claims_guarantee || victim.team == claimant.team || victim.team == kNone) return false;
  const double guarantee = cluster.platform.teams[victim.team].cpus;
  const double left = cluster.used[victim.team].cpus - yielded[victim.team] -
                      victim.resources_per_task.cpus * static_cast<double>(victim.attempts.size());
  return left + 1e-6 >= guarantee;
}

// A gang that runs, loses little when it is stopped, and is not being stopped yet.
bool can_yield(const Job& job, double now) {
  if (job.spec.shape != jobs::Shape::gang || job.spec.checkpoint_s <= 0 || !job.gang_started ||
      job.cancelled || job.complete()) {
    return false;
  }
  return std::all_of(job.attempts.begin(), job.attempts.end(), [&](const auto& entry) {
    const Attempt& attempt = entry.second;
    return attempt.observed == ObservedState::running && !attempt.stopping &&
           now - attempt.running_since >= kRunAtLeast_s;
  });
}

// Room on machines that are up once all that is being stopped there has ended, by pool, the most
// cores first: in a full fleet, where claims are made, most machines have none.
class Rooms {
 public:
  Rooms(const Cluster& cluster, double now) : cluster_(cluster), rooms_(cluster.hosts.size()) {
    for (Index i = 0; i < cluster.hosts.size(); ++i) {
      const auto& host = cluster.hosts[i];
      if (!host || !usable(cluster, *host, now) || cluster.type_of(*host) == nullptr) continue;
      up_.push_back(i);
      rooms_[i] = host->free;
      for (const TaskRef& ref : host->attempts) {
        const Job& job = *cluster.jobs[ref.job];
        if (job.attempts.at(ref.task).stopping) rooms_[i] += job.resources_per_task;
      }
    }
    sort_out();
  }

  // The job's tasks are being stopped as well.
  void add(const Job& job) {
    for (const auto& [task, attempt] : job.attempts) rooms_[attempt.host] += job.resources_per_task;
    sort_out();
  }

  // For tasks of the job, by zone; zones that hold none, but where it might run, among them.
  std::map<Index, std::uint32_t> copies(const Job& job) const {
    std::map<Index, std::uint32_t> found;
    for (const auto& [pool, machines] : by_pool_) {
      if (!in_zone(job, pool.zone) || !allows(cluster_, job, pool.type, pool.spot)) continue;
      std::uint32_t& copies = found[pool.zone];
      for (const Index i : machines) {
        if (rooms_[i].cpus + kCrumb < job.resources_per_task.cpus) break;
        copies += rooms_[i].copies(job.resources_per_task);
      }
    }
    return found;
  }

 private:
  void sort_out() {
    by_pool_.clear();
    for (const Index i : up_) {
      const Host& host = *cluster_.hosts[i];
      by_pool_[{host.type, host.zone, host.spot}].push_back(i);
    }
    for (auto& [pool, machines] : by_pool_) {
      std::sort(machines.begin(), machines.end(),
                [&](Index a, Index b) { return rooms_[a].cpus > rooms_[b].cpus; });
    }
  }

  const Cluster& cluster_;
  std::vector<Index> up_;
  std::vector<Resources> rooms_;
  std::map<Pool, std::vector<Index>> by_pool_;
};

// Gangs to be stopped so that `missing` tasks of the claimant find room in the zone; none if even
// all that may be stopped would not do.
std::vector<Index> victims_in(const Cluster& cluster, const std::vector<Index>& able,
                              const Job& claimant, bool claims_guarantee, Index zone,
                              std::uint32_t missing, std::vector<double>& yielded, double now) {
  std::vector<std::pair<std::uint32_t, Index>> found;
  for (const Index i : able) {
    const auto& job = cluster.jobs[i];
    if (!may_stop(cluster, *job, claimant, claims_guarantee, yielded) || !can_yield(*job, now)) {
      continue;
    }
    std::uint32_t freed = 0;
    for (const auto& [task, attempt] : job->attempts) {
      const Host& host = *cluster.hosts[attempt.host];
      if (host.zone != zone || !usable(cluster, host, now) || !allows(cluster, claimant, host)) {
        continue;
      }
      Resources room = host.free;
      room += job->resources_per_task;
      freed +=
          room.copies(claimant.resources_per_task) > host.free.copies(claimant.resources_per_task)
              ? 1
              : 0;
    }
    if (freed > 0) found.emplace_back(freed, i);
  }
  std::sort(found.begin(), found.end());
  std::vector<Index> victims;
  const auto take = [&](Index victim) {
    const Job& job = *cluster.jobs[victim];
    victims.push_back(victim);
    yielded[job.team] += job.resources_per_task.cpus * static_cast<double>(job.attempts.size());
  };
  // The one that frees just enough, else several, the largest first.
  const auto enough = std::find_if(found.begin(), found.end(),
                                   [&](const auto& one) { return one.first >= missing; });
  if (enough != found.end()) {
    take(enough->second);
    return victims;
  }
  const std::vector<double> before = yielded;
  std::uint32_t freed = 0;
  for (auto at = found.rbegin(); at != found.rend() && freed < missing; ++at) {
    if (!may_stop(cluster, *cluster.jobs[at->second], claimant, claims_guarantee, yielded))
      continue;
    take(at->second);
    freed += at->first;
  }
  if (freed >= missing) return victims;
  yielded = before;
  return {};
}

// A gang that has waited and could start as soon as it had room in one zone.
bool may_claim(const Cluster& cluster, const Job& job, double now) {
  return job.spec.shape == jobs::Shape::gang && job.attempts.empty() && !job.fails_everywhere() &&
         now >= job.not_before && now - job.unblocked_at >= kWaitFirst_s &&
         cluster.within_limit(job, job.spec.tasks) && (job.spec.tasks == 1 || job.spec.one_zone);
}

// Cores, by team, of what is being stopped.
std::vector<double> stopping_cores(const Cluster& cluster) {
  std::vector<double> cores(cluster.used.size());
  for (const auto& job : cluster.jobs) {
    if (!job || job->team == kNone) continue;
    for (const auto& [task, attempt] : job->attempts) {
      if (attempt.stopping) cores[job->team] += job->resources_per_task.cpus;
    }
  }
  return cores;
}

}  // namespace

void preempt(Cluster& cluster, const Service& service, const Gate& gate, double now) {
  std::vector<Index> claimants;
  for (const Index index : service.order) {
    if (may_claim(cluster, *cluster.jobs[index], now)) claimants.push_back(index);
  }
  if (claimants.empty()) return;            // as in most plans
  std::map<Index, std::uint32_t> promised;  // by zone, to claimants before
  std::vector<double> yielded = stopping_cores(cluster);
  Rooms rooms(cluster, now);
  std::vector<Index> able;
  for (Index i = 0; i < cluster.jobs.size(); ++i) {
    if (cluster.jobs[i] && can_yield(*cluster.jobs[i], now)) able.push_back(i);
  }
  for (const Index index : claimants) {
    const Job& job = *cluster.jobs[index];
    const bool claims_guarantee =
        service.guaranteed[index] &&
        cluster.used[job.team].cpus + job.resources_per_task.cpus * job.spec.tasks <=
            cluster.platform.teams[job.team].cpus + 1e-6;
    std::vector<std::pair<std::uint32_t, Index>> zones;
    for (const auto& [zone, copies] : rooms.copies(job)) {
      zones.emplace_back(copies - std::min(copies, promised[zone]), zone);
    }
    std::sort(zones.rbegin(), zones.rend());  // where the least is missing first
    for (const auto& [copies, zone] : zones) {
      std::vector<Index> victims;
      if (copies < job.spec.tasks) {
        victims = victims_in(cluster, able, job, claims_guarantee, zone, job.spec.tasks - copies,
                             yielded, now);
        if (victims.empty() || (gate && !gate(victims))) continue;
      }
      for (const Index victim : victims) {
        Job& loser = *cluster.jobs[victim];
        spdlog::info("job {} makes room for {}", loser.spec.id, job.spec.id);
        rooms.add(loser);
        for (const auto& [task, attempt] : loser.attempts) {
          cluster.stop(victim, task, loser.spec.save_s + 1, true);
        }
      }
      promised[zone] += job.spec.tasks;
      break;
    }
  }
}

}  // namespace reachramp::placement
