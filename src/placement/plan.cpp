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

constexpr double kReclaimStopMargin_s = 1.5;
constexpr double kBootTimesUntilUp = 3;  // boot times
// A gang waits so long behind its own team's limit before the team's arrays give way.
constexpr double kGangWaitBeforeReservation_s = 30;
constexpr Usage kNoUsage{};
// The users expect first tasks within four minutes of a job's acceptance. Room must still come, and
// a change of leaders may lie between.
constexpr double kFirstTaskAfter_s = 120;
// Room that is kept for others is not kept from a job that has had no task for so long. The users
// allow 90 s. Its record, the next report and the fetch of its image come after, and an outage of
// the key-value store of some twenty seconds may lie between, in which nothing starts.
constexpr double kMaxIdleBesideReservedRoom_s = 30;
// Work that has waited so long is served whether or not it can still be in time.
constexpr double kLongWait_s = 240;

// For a job that must stay in one zone and has not begun: the zone that holds most of it.
Index best_zone(const Cluster& cluster, const Job& job, const std::vector<Index>& hosts) {
  std::map<Index, std::uint32_t> capacity_by_zone;
  for (const Index i : hosts) {
    capacity_by_zone[cluster.hosts[i]->zone] +=
        cluster.hosts[i]->free.capacity_for(job.resources_per_task);
  }
  Index best = kNone;
  for (const auto& [zone, copies] : capacity_by_zone) {
    if (best == kNone || copies > capacity_by_zone[best]) best = zone;
  }
  return best;
}

// Room too small for the job's tasks is kept from all that come after it, where it may grow: tasks
// of one core took every core as it came free, and tasks of two cores that went before them waited
// two minutes for a machine with two. On so many machines at most.
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

// Of a team's limit, what all but one gang leave to it.
struct GangReservation {
  Usage usage;
  Index gang = kNone;
};

// By team: the gang that has waited longest, for a while at least. It asks for all its tasks at
// once, while arrays took each core as it came free, and smaller gangs what was left: one waited
// 705 s of 730. Not while machines that are up could not hold it, and not against a guarantee.
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
  std::vector<Usage> non_array_usage(cluster.usage_by_team.size());  // what others than arrays use
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
    // While gangs of its own team are in the way, giving way would help nobody.
    if (fits(limits.max_cpus, non_array_usage[team].cpus, need.cpus) &&
        fits(limits.max_gpus, non_array_usage[team].gpus, need.gpus)) {
      reservations[team].usage = need;
    }
  }
  return reservations;
}

int place_tasks(Cluster& cluster, Index index, AvailableHosts& available, const Usage& reserved,
                double now, int max_tasks = std::numeric_limits<int>::max()) {
  Job& job = *cluster.jobs[index];
  std::uint32_t task = cluster.next_pending_task(job, 0);
  if (task == job.spec.tasks) return 0;
  // What fails everywhere is tried one by one: a broken array of hundreds took all room each time.
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
  // The loss of a zone should leave a service half of its replicas; where there is no room
  // elsewhere it stands as it can.
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

// All tasks of a gang or none; while it still gathers, replacements join the same attempt. A gang
// that lacks machines keeps those of its zone from all that come after it: smaller gangs took them
// one by one, and one of three machines waited 80 s although it was the first in line.
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
    // A machine that still lists the attempt would ignore a start with the same number.
    std::erase_if(hosts, [&](Index i) {
      const auto& exited = cluster.hosts[i]->exited_tasks;
      return std::any_of(exited.begin(), exited.end(),
                         [&](const ExitedTask& e) { return e.job == job.spec.id; });
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

// Whether any of it was ever placed; an earlier leader's records tell as well.
bool has_begun(const Job& job) {
  return job.done_count > 0 || !job.attempts.empty() || job.last_attempt > 0;
}

// Jobs that have waited for so long, the longest first; of those that have begun, none unless told.
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

// The first task, or the gang, of each job that has waited long for it, whatever its rank: the
// users expect that within four minutes, and the order of service, which counts jobs in time, puts
// the largest last.
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
      spdlog::info("job {}: begins after {:.1f} s, before its turn", job.spec.id,
                   now - job.unblocked_at);
    } else if (job.spec.shape != jobs::Shape::gang) {
      reserve_partial_room(cluster, job, 1, available);
    }
    placed += newly_placed;
  }
  return placed;
}

// Of a team's jobs of one rank, those that have waited longest get a part of what the team can use,
// all machines or its limit, before its others. Not before those of a higher rank: a guest's idle
// batch took a quarter of the machines from guaranteed work. Not a part of all machines either:
// that was a small team's whole limit, and its small jobs waited three times as long.
int place_long_waiting_jobs(Cluster& cluster, std::vector<Index>::const_iterator begin,
                            std::vector<Index>::const_iterator end, AvailableHosts& available,
                            double share, double now) {
  const std::vector<Index> waiting =
      jobs_waiting_longer_than(cluster, begin, end, kLongWait_s, true, now);
  if (waiting.empty()) return 0;  // as in most plans
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

// How long none of its tasks can have run, what is placed on machines that are silent included.
double idle_time_s(const Cluster& cluster, const Job& job, double now) {
  double ran_until = std::max(job.attempts_ended_by, job.unblocked_at);
  for (const auto& [task, attempt] : job.attempts) {
    ran_until = std::max(ran_until, cluster.tasks_may_run_until(*cluster.hosts[attempt.host]));
    if (now < ran_until) return 0;
  }
  return now - ran_until;
}

// The users' rule: no job is left waiting for long while a machine that fits has room and its team
// is under its limit. Room is kept for growth, beside large tasks, and of a limit for gangs;
// whoever has stood still for so long gets one task in it all the same, where it takes least. A job
// whose tasks were lost with their zone counts from the end of their leases, not from their proof.
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
  if (idle_jobs.empty()) return 0;  // as in most plans
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
      // An idle one that is kept for large tasks stays so: with one small task on it, no large one
      // could begin there (gangs waited eight minutes).
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
    spdlog::info("job {}: has stood still for {:.0f} s: a task in room that is kept for others",
                 job.spec.id, idle_time_s(cluster, job, now));
    cluster.place(index, task, attempt, *host, now);
    ++placed;
  }
  return placed;
}

// A gang that lost a task cannot go on: the rest is stopped and a new attempt begins once all of
// it is gone. Returns whether that freed room.
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

// A machine under notice takes no new work. What can save its progress does so while there is
// time; the rest runs on, since some of it will finish.
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
      // To what runs on a machine that does not hear us nothing can be said.
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
