#include "placement/plan.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include "placement/available_hosts.h"
#include "placement/preempt.h"
#include "placement/service_order.h"
#include "placement/zone_rules.h"

namespace reachramp::placement {

namespace {

// The grace period of a task on a machine under reclaim ends this long before the cloud takes the
// machine back.
constexpr double kReclaimStopMargin_s = 1.5;
// A machine that the cloud lists as running is expected to send heartbeats once this many boot
// times of its type have passed since it was rented.
constexpr double kBootTimesUntilUp = 3;
// After a gang has waited this long, the other jobs of its team leave room for it within the team's
// limit.
constexpr double kGangWaitBeforeReservation_s = 30;
constexpr Usage kNoUsage{};
// After this wait, the first task of a job is placed ahead of the service order. Users expect it to
// start within four minutes of acceptance; within the remaining two minutes machines must become
// free, and the leader may change.
constexpr double kFirstTaskAfter_s = 120;
// A job that has had no running task for this long gets one task even in room that is reserved for
// other jobs. Users accept 90 s. After the placement, its record must be stored, the worker's next
// heartbeat must arrive and the image must be fetched, and nothing can start during an outage of
// the key-value store, which may last some 20 s.
constexpr double kMaxIdleBesideReservedRoom_s = 30;
// A job that has waited this long gets a share of the machines even if it cannot be in time any
// more.
constexpr double kLongWait_s = 240;

// Returns the zone whose candidate machines hold the most tasks of a job that must stay in a single
// zone and has no attempts yet.
Index best_zone(const Cluster& cluster, const Job& job, const std::vector<Index>& hosts) {
  std::map<Index, std::uint32_t> capacity_by_zone;
  for (const Index i : hosts) {
    capacity_by_zone[cluster.hosts[i]->zone] +=
        cluster.hosts[i]->free.capacity_for(job.resources_per_task);
  }
  Index best = kNone;
  for (const auto& [zone, capacity] : capacity_by_zone) {
    if (best == kNone || capacity > capacity_by_zone[best]) best = zone;
  }
  return best;
}

// Keeps jobs later in the order off machines whose free resources are too small for a task of this
// job yet, up to `max_hosts` machines. Without this, one-core tasks took every core as it became
// free, and two-core tasks ahead of them waited two minutes for two free cores on one machine.
void reserve_partial_room(const Cluster& cluster, const Job& job, std::size_t max_hosts,
                          AvailableHosts& available) {
  if (!cluster.within_team_limit(job, 1)) return;
  std::size_t wanted_hosts = job.spec.tasks - job.done_count;
  wanted_hosts = std::min(max_hosts, wanted_hosts - std::min(wanted_hosts, job.attempts.size()));
  std::vector<Index> hosts = available.hosts_with_partial_room(job);
  std::stable_sort(hosts.begin(), hosts.end(), [&](Index a, Index b) {
    return cluster.hosts[a]->free.cpus > cluster.hosts[b]->free.cpus;
  });
  hosts.resize(std::min(hosts.size(), wanted_hosts));
  available.exclude(hosts);
}

// The part of a team's limit that is reserved for one waiting gang: the team's other jobs must
// leave it unused.
struct GangReservation {
  Usage usage;
  Index gang = kNone;
};

// Reserves a part of each team's limit for its longest-waiting gang, once that gang has waited
// kGangWaitBeforeReservation_s. A gang needs room for all its tasks at once; without a reservation,
// arrays took each core as it became free and smaller gangs took the rest, and one gang waited 705
// s of a run of 730 s. There is no reservation for a gang that the usable machines could not hold,
// and reservations do not apply to jobs within their team's guarantee.
std::vector<GangReservation> reserve_limits_for_gangs(const Cluster& cluster,
                                                      const ServiceOrder& order,
                                                      const AvailableHosts& available, double now) {
  std::vector<GangReservation> reservations(cluster.usage_by_team.size());
  for (const Index index : order.jobs) {
    const Job& job = *cluster.jobs[index];
    if (job.spec.shape != jobs::Shape::gang || !job.attempts.empty() || job.fails_everywhere() ||
        now < job.retry_not_before || now - job.unblocked_at < kGangWaitBeforeReservation_s) {
      continue;
    }
    Index& oldest = reservations[job.team].gang;
    if (oldest != kNone && cluster.jobs[oldest]->unblocked_at <= job.unblocked_at) continue;
    if (available.could_hold_when_empty(job, job.zone, job.spec.tasks)) oldest = index;
  }
  std::vector<Usage> non_array_usage(cluster.usage_by_team.size());
  for (const auto& job : cluster.jobs) {
    if (!job || job->team == kNone || job->spec.shape == jobs::Shape::array) continue;
    non_array_usage[job->team].cpus +=
        job->resources_per_task.cpus * static_cast<double>(job->attempts.size());
    non_array_usage[job->team].gpus +=
        job->resources_per_task.gpus * static_cast<double>(job->attempts.size());
  }
  const auto fits = [](double limit, double used, double more) {
    return limit <= 0 || used + more <= limit + 1e-6;
  };
  for (Index team = 0; team < reservations.size(); ++team) {
    if (reservations[team].gang == kNone) continue;
    const settings::Team& limits = cluster.platform.teams[team];
    const Job& gang = *cluster.jobs[reservations[team].gang];
    const double tasks = gang.spec.tasks;
    const Usage need{gang.resources_per_task.cpus * tasks, gang.resources_per_task.gpus * tasks};
    // While the team's gangs and services take up the limit, a reservation would keep arrays from
    // running without helping the gang.
    if (fits(limits.max_cpus, non_array_usage[team].cpus, need.cpus) &&
        fits(limits.max_gpus, non_array_usage[team].gpus, need.gpus)) {
      reservations[team].usage = need;
    }
  }
  return reservations;
}

// Places pending tasks of an array or a service, at most `max_tasks`. Tasks that do not fit stay
// pending. Leaves `reserved` of the team's limit unused.
int place_tasks(Cluster& cluster, Index index, AvailableHosts& available, const Usage& reserved,
                double now, int max_tasks = std::numeric_limits<int>::max()) {
  Job& job = *cluster.jobs[index];
  std::uint32_t task = cluster.next_pending_task(job, 0);
  if (task == job.spec.tasks) return 0;
  // A job that fails everywhere is tried one task at a time: a broken array of hundreds of tasks
  // otherwise took all free room at each retry.
  if (job.fails_everywhere()) {
    if (!job.attempts.empty()) return 0;
    max_tasks = std::min(max_tasks, 1);
  }
  std::vector<Index> hosts = available.candidates(job);
  if (hosts.empty()) return 0;
  auto tasks_by_zone = count_tasks_by_zone(cluster, job);
  if (!tasks_by_zone) return 0;
  if (job.spec.single_zone && tasks_by_zone->empty()) {
    const Index zone = best_zone(cluster, job, hosts);
    std::erase_if(hosts, [&](Index i) { return cluster.hosts[i]->zone != zone; });
  }
  // A service should keep half of its replicas when a zone is lost. Where other zones have no room,
  // it is placed without that limit.
  const bool prefers_spread = job.spec.shape == jobs::Shape::service && !job.spec.single_zone;
  ZoneRules rules(job, std::move(*tasks_by_zone));
  if (prefers_spread) rules.limit_to_half(job, true);
  int placed = 0;
  const std::uint64_t attempt = job.last_attempt + 1;
  const auto fill = [&] {
    for (const Index host : hosts) {
      while (task < job.spec.tasks && placed < max_tasks &&
             cluster.hosts[host]->free.holds(job.resources_per_task) &&
             rules.allows(cluster.hosts[host]->zone) &&
             cluster.within_team_limit(job, 1, reserved) &&
             cluster.record_has_room(index, task, attempt, host)) {
        rules.add_task(cluster.hosts[host]->zone);
        cluster.place(index, task, attempt, host, now);
        ++placed;
        task = cluster.next_pending_task(job, task + 1);
      }
    }
  };
  fill();
  if (prefers_spread && !job.spec.spread_over_zones) {
    rules.limit_to_half(job, false);
    fill();
  }
  return placed;
}

// Places all tasks of a gang or none. Before the gang has started, tasks that were lost are placed
// again with the same attempt number. If too few machines have room, those that do are kept from
// jobs later in the order: otherwise smaller gangs took them one by one, and a gang of three
// machines waited 80 s although it was first in the order. Leaves `reserved` of the team's limit
// unused.
int place_gang(Cluster& cluster, Index index, AvailableHosts& available, const Usage& reserved,
               double now) {
  Job& job = *cluster.jobs[index];
  const bool gathering = !job.attempts.empty();
  const auto wanted = job.spec.tasks - static_cast<std::uint32_t>(job.attempts.size());
  if (wanted == 0) return 0;
  if (gathering) {
    if (job.gang_started) return 0;
    for (const auto& [task, attempt] : job.attempts) {
      if (attempt.stopping || attempt.number != job.last_attempt) return 0;
    }
  }
  auto tasks_by_zone = count_tasks_by_zone(cluster, job);
  if (!tasks_by_zone) return 0;
  std::vector<Index> hosts = available.candidates(job);
  if (gathering) {
    // A worker that still lists the exited attempt would ignore a start with the same number.
    std::erase_if(hosts, [&](Index i) {
      const auto& exited = cluster.hosts[i]->exited_tasks;
      return std::any_of(exited.begin(), exited.end(),
                         [&](const ExitedTask& task) { return task.job == job.spec.id; });
    });
  }
  if (!cluster.within_team_limit(job, wanted, gathering ? kNoUsage : reserved)) return 0;
  if (job.spec.single_zone && tasks_by_zone->empty()) {
    const Index zone = best_zone(cluster, job, hosts);
    std::erase_if(hosts, [&](Index i) { return cluster.hosts[i]->zone != zone; });
  }
  ZoneRules rules(job, std::move(*tasks_by_zone));
  std::vector<Index> chosen;
  for (const Index host : hosts) {
    std::uint32_t capacity = cluster.hosts[host]->free.capacity_for(job.resources_per_task);
    while (capacity-- > 0 && chosen.size() < wanted && rules.allows(cluster.hosts[host]->zone)) {
      rules.add_task(cluster.hosts[host]->zone);
      chosen.push_back(host);
    }
  }
  if (chosen.size() < wanted) {
    const Index zone =
        job.spec.single_zone && !chosen.empty() ? cluster.hosts[chosen.front()]->zone : kNone;
    if (!job.fails_everywhere() && available.could_hold_when_empty(job, zone, wanted))
      available.exclude(chosen);
    return 0;
  }
  const std::uint64_t attempt = gathering ? job.last_attempt : job.last_attempt + 1;
  std::uint32_t task = 0;
  for (const Index host : chosen) {
    while (job.attempts.contains(task)) ++task;
    cluster.place(index, task, attempt, host, now);
  }
  return static_cast<int>(wanted);
}

// Whether any task of the job was ever placed, also under an earlier leader.
bool has_begun(const Job& job) {
  return job.done_count > 0 || !job.attempts.empty() || job.last_attempt > 0;
}

// Returns the jobs of the range that became unblocked more than `longer_than_s` ago, the longest
// waiting first. Without `include_begun`, only jobs of which no task was ever placed.
std::vector<Index> jobs_waiting_longer_than(const Cluster& cluster,
                                            std::vector<Index>::const_iterator begin,
                                            std::vector<Index>::const_iterator end,
                                            double longer_than_s, bool include_begun, double now) {
  std::vector<Index> found;
  std::copy_if(begin, end, std::back_inserter(found), [&](Index index) {
    const Job& job = *cluster.jobs[index];
    return !job.fails_everywhere() && now >= job.retry_not_before &&
           now - job.unblocked_at > longer_than_s && (include_begun || !has_begun(job));
  });
  std::stable_sort(found.begin(), found.end(), [&](Index a, Index b) {
    return cluster.jobs[a]->unblocked_at < cluster.jobs[b]->unblocked_at;
  });
  return found;
}

// Places the first task, or the whole gang, of each job that has waited kFirstTaskAfter_s without
// any, regardless of its rank. Users expect a first task within four minutes, but the service order
// puts the largest jobs last to have as many jobs as possible in time.
int place_overdue_first_tasks(Cluster& cluster, const ServiceOrder& order,
                              AvailableHosts& available, double now) {
  int placed = 0;
  for (const Index index : jobs_waiting_longer_than(cluster, order.jobs.begin(), order.jobs.end(),
                                                    kFirstTaskAfter_s, false, now)) {
    const Job& job = *cluster.jobs[index];
    const int newly_placed = job.spec.shape == jobs::Shape::gang
                                 ? place_gang(cluster, index, available, kNoUsage, now)
                                 : place_tasks(cluster, index, available, kNoUsage, now, 1);
    if (newly_placed > 0) {
      spdlog::info("job {}: begins after {:.1f} s, ahead of the service order", job.spec.id,
                   now - job.unblocked_at);
    } else if (job.spec.shape != jobs::Shape::gang) {
      reserve_partial_room(cluster, job, 1, available);
    }
    placed += newly_placed;
  }
  return placed;
}

// Gives a share of the cores that a team can use to the team's longest-waiting jobs of one rank,
// before its other jobs of that rank. [begin, end) are the jobs of the rank. Jobs of a higher rank
// keep their precedence: when they did not, low-priority batch work of another team took a quarter
// of the machines from guaranteed work. The share is of the team's limit, if it has one, and not of
// all machines: a share of all machines was the whole limit of a small team, and its small jobs
// waited three times as long.
int place_long_waiting_jobs(Cluster& cluster, std::vector<Index>::const_iterator begin,
                            std::vector<Index>::const_iterator end, AvailableHosts& available,
                            double share, double now) {
  const std::vector<Index> waiting =
      jobs_waiting_longer_than(cluster, begin, end, kLongWait_s, true, now);
  if (waiting.empty()) return 0;  // the usual case
  double all_cores = 0;
  for (const auto& host : cluster.hosts) {
    if (host && is_usable(cluster, *host, now)) all_cores += cluster.type_of(*host)->cpus;
  }
  std::vector<double> cores_left(cluster.usage_by_team.size());
  for (Index team = 0; team < cores_left.size(); ++team) {
    const double limit = cluster.platform.teams[team].max_cpus;
    cores_left[team] = share * (limit > 0 ? std::min(limit, all_cores) : all_cores);
  }
  for (const Index index : waiting) {
    const Job& job = *cluster.jobs[index];
    cores_left[job.team] -= job.resources_per_task.cpus * static_cast<double>(job.attempts.size());
  }
  int placed = 0;
  for (const Index index : waiting) {
    const Job& job = *cluster.jobs[index];
    double& cores = cores_left[job.team];
    const double tasks =
        job.resources_per_task.cpus > 0 ? cores / job.resources_per_task.cpus : job.spec.tasks;
    int newly_placed = 0;
    if (job.spec.shape == jobs::Shape::gang) {
      if (tasks >= job.spec.tasks)
        newly_placed = place_gang(cluster, index, available, kNoUsage, now);
    } else if (tasks >= 1) {
      newly_placed = place_tasks(cluster, index, available, kNoUsage, now,
                                 static_cast<int>(std::min<double>(tasks, job.spec.tasks)));
    }
    cores -= job.resources_per_task.cpus * newly_placed;
    placed += newly_placed;
  }
  return placed;
}

// Returns for how long no task of the job can have been running; 0 if one may be running now. An
// attempt on a machine that sends no heartbeats counts as running only until its lease ends.
double idle_time_s(const Cluster& cluster, const Job& job, double now) {
  double ran_until = std::max(job.attempts_ended_by, job.unblocked_at);
  for (const auto& [task, attempt] : job.attempts) {
    ran_until = std::max(ran_until, cluster.tasks_may_run_until(*cluster.hosts[attempt.host]));
    if (now < ran_until) return 0;
  }
  return now - ran_until;
}

// Places one task of each array and service that has been idle for kMaxIdleBesideReservedRoom_s,
// also in reserved room, on the machine with the fewest free cores. Users require that no job waits
// long while a suitable machine has room and its team is below its limit, but room is reserved for
// larger tasks, on machines for large tasks, and within team limits for gangs. When a zone is lost,
// the idle time counts from the end of the leases there and not from the later proof that the tasks
// ended.
int place_in_reserved_room(Cluster& cluster, const ServiceOrder& order, double now) {
  std::vector<Index> idle_jobs;
  for (const Index index : order.jobs) {
    Job& job = *cluster.jobs[index];
    if (!job.fails_everywhere() && now >= job.retry_not_before &&
        job.spec.shape != jobs::Shape::gang &&
        idle_time_s(cluster, job, now) >= kMaxIdleBesideReservedRoom_s &&
        cluster.next_pending_task(job, 0) < job.spec.tasks) {
      idle_jobs.push_back(index);
    }
  }
  if (idle_jobs.empty()) return 0;  // the usual case
  std::vector<Index> hosts_with_room;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (host && host->free.cpus > 0 && is_usable(cluster, *host, now) &&
        cluster.type_of(*host) != nullptr) {
      hosts_with_room.push_back(i);
    }
  }
  std::stable_sort(hosts_with_room.begin(), hosts_with_room.end(), [&](Index a, Index b) {
    return cluster.hosts[a]->free.cpus < cluster.hosts[b]->free.cpus;
  });
  int placed = 0;
  for (const Index index : idle_jobs) {
    Job& job = *cluster.jobs[index];
    if (!cluster.within_team_limit(job, 1)) continue;
    const std::uint32_t task = cluster.next_pending_task(job, 0);
    const std::uint64_t attempt = job.last_attempt + 1;
    const auto host = std::find_if(hosts_with_room.begin(), hosts_with_room.end(), [&](Index i) {
      const Host& one = *cluster.hosts[i];
      const auto avoided = job.failed_on.find(i);
      // A machine that is reserved for large tasks and is more than half free stays reserved: with
      // a small task on it, no large task could start there (gangs waited eight minutes).
      if (cluster.is_reserved_for_larger_tasks(job, one) &&
          one.free.cpus > cluster.type_of(one)->cpus / 2) {
        return false;
      }
      return one.free.holds(job.resources_per_task) && is_zone_allowed(job, one.zone) &&
             (job.spec.allow_spot || !one.spot) && job.fits_type[one.type] &&
             (avoided == job.failed_on.end() || now >= avoided->second) &&
             cluster.record_has_room(index, task, attempt, i);
    });
    if (host == hosts_with_room.end()) continue;
    if (!has_begun(job)) {
      spdlog::info("job {}: begins after {:.1f} s", job.spec.id, now - job.unblocked_at);
    }
    spdlog::info("job {}: no running task for {:.0f} s: places one task in reserved room",
                 job.spec.id, idle_time_s(cluster, job, now));
    cluster.place(index, task, attempt, *host, now);
    ++placed;
  }
  return placed;
}

// Stops a gang that has lost a task or of which a task is stopping, because the remaining tasks
// cannot continue. A new attempt is placed once all tasks have ended. Returns whether attempts
// ended at once, which frees room.
bool stop_broken_gang(Cluster& cluster, Index index) {
  Job& job = *cluster.jobs[index];
  if (job.is_complete()) return false;
  const bool lost_task = job.gang_started && job.attempts.size() < job.spec.tasks;
  const bool stopping = std::any_of(job.attempts.begin(), job.attempts.end(),
                                    [](const auto& entry) { return entry.second.stopping; });
  if (!lost_task && !stopping) return false;
  const std::size_t attempts_before = job.attempts.size();
  for (auto& [task, attempt] : job.attempts) {
    cluster.request_stop(index, task, lost_task ? 0 : job.spec.checkpoint_duration_s + 1);
  }
  cluster.end_unsent_attempts(index, 0);
  return job.attempts.size() < attempts_before;
}

// Marks machines that are being reclaimed or quarantined as draining and stops tasks there that
// checkpoint, so that they save their progress in time, and tasks that have not started. Other
// tasks run on, because some of them finish before the machine is gone. Tasks that were not sent to
// an unreachable worker yet are stopped as well.
void stop_tasks_on_leaving_hosts(Cluster& cluster, double now) {
  for (const auto& host : cluster.hosts) {
    if (!host) continue;
    const bool reclaimed = host->reclaim_at != kNever;
    if (reclaimed || host->quarantined) host->draining = true;
    if (!host->draining && host->unreachable_since < 0) continue;
    const std::set<TaskRef> attempts = host->attempts;
    for (const TaskRef& ref : attempts) {
      Job& job = *cluster.jobs[ref.job];
      Attempt& attempt = job.attempts.at(ref.task);
      const bool started = attempt.start_sent || attempt.from_previous_leader;
      // A worker that is only unreachable receives no stop command for a task that it has started.
      if (started && !host->draining) continue;
      const bool saves_progress = job.spec.checkpoint_interval_s > 0;
      if (!started || (saves_progress && attempt.observed_state == ObservedState::running) ||
          (reclaimed && attempt.observed_state == ObservedState::fetching)) {
        cluster.request_stop(ref.job, ref.task,
                             reclaimed ? std::max(job.spec.checkpoint_duration_s,
                                                  host->reclaim_at - now - kReclaimStopMargin_s)
                                       : job.spec.checkpoint_duration_s + 1);
        cluster.end_unsent_attempts(ref.job, now);
      }
    }
  }
}

}  // namespace

bool is_usable(const Cluster& cluster, const Host& host, double now) {
  return host.phase == HostPhase::up && !host.draining && !host.cordoned && !host.zone_suspected &&
         host.type != kNone && !host.quarantined && host.unreachable_since < 0 &&
         !host.identity_unconfirmed &&
         now - host.last_heartbeat_at < cluster.platform.worker_timings.lease_s;
}

bool is_expected_to_report(const Cluster& cluster, const Host& host, double now) {
  if (host.phase != HostPhase::booting) return host.phase == HostPhase::up;
  const auto* type = cluster.type_of(host);
  return host.listed_as_running && type != nullptr &&
         now - host.rented_at > kBootTimesUntilUp * type->boot_s;
}

bool may_run_on(const Cluster& cluster, const Job& job, Index type, bool spot) {
  return (job.spec.allow_spot || !spot) && job.fits_type[type] &&
         !cluster.is_reserved_for_larger_tasks(job, type, spot);
}

bool is_zone_allowed(const Job& job, Index zone) { return job.zone == kNone || job.zone == zone; }

bool may_run_on(const Cluster& cluster, const Job& job, const Host& host) {
  return cluster.type_of(host) != nullptr && is_zone_allowed(job, host.zone) &&
         (job.spec.allow_spot || !host.spot) && job.fits_type[host.type] &&
         !cluster.is_reserved_for_larger_tasks(job, host);
}

bool try_backfill(Cluster& cluster, Index index) {
  Host& host = *cluster.hosts[index];
  if (host.backfilled || host.was_backfilled || cluster.type_of(host) == nullptr) return false;
  host.backfilled = std::any_of(cluster.jobs.begin(), cluster.jobs.end(), [&](const auto& job) {
    return job && !job->cancelled && !job->is_blocked() && job->spec.shape == jobs::Shape::array &&
           job->attempts.size() + job->done_count < job->spec.tasks &&
           cluster.is_reserved_for_larger_tasks(*job, host) &&
           (job->spec.allow_spot || !host.spot) && job->fits_type[host.type] &&
           is_zone_allowed(*job, host.zone) && cluster.within_team_limit(*job, 1);
  });
  host.was_backfilled = host.backfilled;
  return host.backfilled;
}

int plan(Cluster& cluster, double now, const DisruptionApprover& approve_disruption,
         double long_waiting_share) {
  cluster.update_large_task_reservations(now);
  stop_tasks_on_leaving_hosts(cluster, now);
  AvailableHosts available(cluster, now);
  int placed = 0;
  const ServiceOrder order = service_order(cluster, now);
  const std::vector<GangReservation> gang_reservations =
      reserve_limits_for_gangs(cluster, order, available, now);
  if (long_waiting_share > 0) placed += place_overdue_first_tasks(cluster, order, available, now);
  const auto rank = [&](Index index) {
    return std::pair(bool(order.guaranteed[index]), cluster.jobs[index]->priority);
  };
  auto rank_end = order.jobs.begin();
  for (auto at = order.jobs.begin(); at != order.jobs.end(); ++at) {
    if (at == rank_end) {
      rank_end =
          std::find_if(at, order.jobs.end(), [&](Index other) { return rank(other) != rank(*at); });
      placed += place_long_waiting_jobs(cluster, at, rank_end, available, long_waiting_share, now);
    }
    const Index index = *at;
    Job& job = *cluster.jobs[index];
    const bool gang = job.spec.shape == jobs::Shape::gang;
    const bool begun = has_begun(job);
    if (gang && stop_broken_gang(cluster, index)) available.refresh_bounds();
    if (now < job.retry_not_before) continue;
    const bool ignores_reservation =
        order.guaranteed[index] || gang_reservations[job.team].gang == index;
    const Usage& reserved = ignores_reservation ? kNoUsage : gang_reservations[job.team].usage;
    const int newly_placed = gang ? place_gang(cluster, index, available, reserved, now)
                                  : place_tasks(cluster, index, available, reserved, now);
    placed += newly_placed;
    if (newly_placed > 0 && !begun) {
      spdlog::info("job {}: begins after {:.1f} s", job.spec.id, now - job.unblocked_at);
    }
    if (!gang && !job.fails_everywhere() && cluster.next_pending_task(job, 0) < job.spec.tasks) {
      reserve_partial_room(cluster, job, job.spec.tasks, available);
    }
    if (newly_placed > 0 && cluster.next_pending_task(job, 0) == job.spec.tasks) {
      spdlog::info("job {}: all tasks placed after {:.1f} s", job.spec.id, now - job.unblocked_at);
    }
  }
  placed += place_in_reserved_room(cluster, order, now);
  preempt(cluster, order, approve_disruption, now);
  return placed;
}

}  // namespace reachramp::placement
