#include "placement/plan.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include "placement/openings.h"
#include "placement/order.h"
#include "placement/preempt.h"
#include "placement/zone_rules.h"

namespace reachramp::placement {

namespace {

constexpr double kLeastNotice = 1.5;
constexpr double kSurelyUp = 3;  // boot times
// A gang waits so long behind its own team's limit before the team's arrays give way.
constexpr double kGiveWayAfter_s = 30;
constexpr Usage kNothing{};
// The users expect first tasks within four minutes of a job's acceptance. Room must still come, and
// a change of leaders may lie between.
constexpr double kBeginWithin_s = 120;
// Room that is kept for others is not kept from a job that has had no task for so long. The users
// allow 90 s. Its record, the next report and the fetch of its image come after, and an outage of
// the key-value store of some twenty seconds may lie between, in which nothing starts.
constexpr double kStandStill_s = 30;
// Work that has waited so long is served whether or not it can still be in time.
constexpr double kServeWithin_s = 240;

// For a job that must stay in one zone and has not begun: the zone that holds most of it.
Index best_zone(const Cluster& cluster, const Job& job, const std::vector<Index>& hosts) {
  std::map<Index, std::uint32_t> room;
  for (const Index i : hosts) {
    room[cluster.hosts[i]->zone] += cluster.hosts[i]->free.copies(job.resources_per_task);
  }
  Index best = kNone;
  for (const auto& [zone, copies] : room) {
    if (best == kNone || copies > room[best]) best = zone;
  }
  return best;
}

// Room too small for the job's tasks is kept from all that come after it, where it may grow: tasks
// of one core took every core as it came free, and tasks of two cores that went before them waited
// two minutes for a machine with two. On so many machines at most.
void keep_growing_room(const Cluster& cluster, const Job& job, std::size_t most, Openings& open) {
  if (!cluster.within_limit(job, 1)) return;
  std::size_t missing = job.spec.tasks - job.done_count;
  missing = std::min(most, missing - std::min(missing, job.attempts.size()));
  std::vector<Index> growing = open.growing(job);
  std::stable_sort(growing.begin(), growing.end(), [&](Index a, Index b) {
    return cluster.hosts[a]->free.cpus > cluster.hosts[b]->free.cpus;
  });
  growing.resize(std::min(growing.size(), missing));
  open.keep(growing);
}

// Of a team's limit, what all but one gang leave to it.
struct Kept {
  Usage usage;
  Index gang = kNone;
};

// By team: the gang that has waited longest, for a while at least. It asks for all its tasks at
// once, while arrays took each core as it came free, and smaller gangs what was left: one waited
// 705 s of 730. Not while machines that are up could not hold it, and not against a guarantee.
std::vector<Kept> kept_for_gangs(const Cluster& cluster, const Service& service,
                                 const Openings& open, double now) {
  std::vector<Kept> kept(cluster.used.size());
  for (const Index index : service.order) {
    const Job& job = *cluster.jobs[index];
    if (job.spec.shape != jobs::Shape::gang || !job.attempts.empty() || job.fails_everywhere() ||
        now < job.not_before || now - job.unblocked_at < kGiveWayAfter_s) {
      continue;
    }
    Index& oldest = kept[job.team].gang;
    if (oldest != kNone && cluster.jobs[oldest]->unblocked_at <= job.unblocked_at) continue;
    if (open.could_hold(job, job.zone, job.spec.tasks)) oldest = index;
  }
  std::vector<Usage> beside(cluster.used.size());  // what others than arrays use
  for (const auto& job : cluster.jobs) {
    if (!job || job->team == kNone || job->spec.shape == jobs::Shape::array) continue;
    beside[job->team].cpus +=
        job->resources_per_task.cpus * static_cast<double>(job->attempts.size());
    beside[job->team].gpus +=
        job->resources_per_task.gpus * static_cast<double>(job->attempts.size());
  }
  const auto fits = [](double limit, double used, double more) {
    return limit <= 0 || used + more <= limit + 1e-6;
  };
  for (Index team = 0; team < kept.size(); ++team) {
    if (kept[team].gang == kNone) continue;
    const settings::Team& limits = cluster.platform.teams[team];
    const Job& gang = *cluster.jobs[kept[team].gang];
    const double tasks = gang.spec.tasks;
    const Usage need{gang.resources_per_task.cpus * tasks, gang.resources_per_task.gpus * tasks};
    // While gangs of its own team are in the way, giving way would help nobody.
    if (fits(limits.cpus_max, beside[team].cpus, need.cpus) &&
        fits(limits.gpus_max, beside[team].gpus, need.gpus)) {
      kept[team].usage = need;
    }
  }
  return kept;
}

int place_array(Cluster& cluster, Index index, Openings& open, const Usage& kept, double now,
                int most = std::numeric_limits<int>::max()) {
  Job& job = *cluster.jobs[index];
  std::uint32_t task = cluster.next_pending(job, 0);
  if (task == job.spec.tasks) return 0;
  // What fails everywhere is tried one by one: a broken array of hundreds took all room each time.
  if (job.fails_everywhere()) {
    if (!job.attempts.empty()) return 0;
    most = std::min(most, 1);
  }
  std::vector<Index> hosts = open.candidates(job);
  if (hosts.empty()) return 0;
  auto in_use = zones_in_use(cluster, job);
  if (!in_use) return 0;
  if (job.spec.one_zone && in_use->empty()) {
    const Index zone = best_zone(cluster, job, hosts);
    std::erase_if(hosts, [&](Index i) { return cluster.hosts[i]->zone != zone; });
  }
  // The loss of a zone should leave a service half of its replicas; where there is no room
  // elsewhere it stands as it can.
  const bool rather_halved = job.spec.shape == jobs::Shape::service && !job.spec.one_zone;
  ZoneRules rules(job, std::move(*in_use));
  if (rather_halved) rules.halve(job, true);
  int placed = 0;
  const std::uint64_t attempt = job.last_attempt + 1;
  const auto fill = [&] {
    for (const Index host : hosts) {
      while (task < job.spec.tasks && placed < most &&
             cluster.hosts[host]->free.holds(job.resources_per_task) &&
             rules.allow(cluster.hosts[host]->zone) && cluster.within_limit(job, 1, kept) &&
             cluster.has_room(index, task, attempt, host)) {
        rules.take(cluster.hosts[host]->zone);
        cluster.place(index, task, attempt, host, now);
        ++placed;
        task = cluster.next_pending(job, task + 1);
      }
    }
  };
  fill();
  if (rather_halved && !job.spec.spread) {
    rules.halve(job, false);
    fill();
  }
  return placed;
}

// All tasks of a gang or none; while it still gathers, replacements join the same attempt. A gang
// that lacks machines keeps those of its zone from all that come after it: smaller gangs took them
// one by one, and one of three machines waited 80 s although it was the first in line.
int place_gang(Cluster& cluster, Index index, Openings& open, const Usage& kept, double now) {
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
  auto in_use = zones_in_use(cluster, job);
  if (!in_use) return 0;
  std::vector<Index> hosts = open.candidates(job);
  if (gathering) {
    // A machine that still lists the attempt would ignore a start with the same number.
    std::erase_if(hosts, [&](Index i) {
      const auto& exited = cluster.hosts[i]->exited;
      return std::any_of(exited.begin(), exited.end(),
                         [&](const Exited& e) { return e.job == job.spec.id; });
    });
  }
  if (!cluster.within_limit(job, wanted, gathering ? kNothing : kept)) return 0;
  if (job.spec.one_zone && in_use->empty()) {
    const Index zone = best_zone(cluster, job, hosts);
    std::erase_if(hosts, [&](Index i) { return cluster.hosts[i]->zone != zone; });
  }
  ZoneRules rules(job, std::move(*in_use));
  std::vector<Index> chosen;
  for (const Index host : hosts) {
    std::uint32_t copies = cluster.hosts[host]->free.copies(job.resources_per_task);
    while (copies-- > 0 && chosen.size() < wanted && rules.allow(cluster.hosts[host]->zone)) {
      rules.take(cluster.hosts[host]->zone);
      chosen.push_back(host);
    }
  }
  if (chosen.size() < wanted) {
    const Index zone =
        job.spec.one_zone && !chosen.empty() ? cluster.hosts[chosen.front()]->zone : kNone;
    if (!job.fails_everywhere() && open.could_hold(job, zone, wanted)) open.keep(chosen);
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
std::vector<Index> long_waiting(const Cluster& cluster, std::vector<Index>::const_iterator begin,
                                std::vector<Index>::const_iterator end, double longer_than_s,
                                bool begun, double now) {
  std::vector<Index> found;
  std::copy_if(begin, end, std::back_inserter(found), [&](Index index) {
    const Job& job = *cluster.jobs[index];
    return !job.fails_everywhere() && now >= job.not_before &&
           now - job.unblocked_at > longer_than_s && (begun || !has_begun(job));
  });
  std::stable_sort(found.begin(), found.end(), [&](Index a, Index b) {
    return cluster.jobs[a]->unblocked_at < cluster.jobs[b]->unblocked_at;
  });
  return found;
}

// The first task, or the gang, of each job that has waited long for it, whatever its rank: the
// users expect that within four minutes, and the order of service, which counts jobs in time, puts
// the largest last.
int place_firsts(Cluster& cluster, const Service& service, Openings& open, double now) {
  int placed = 0;
  for (const Index index : long_waiting(cluster, service.order.begin(), service.order.end(),
                                        kBeginWithin_s, false, now)) {
    const Job& job = *cluster.jobs[index];
    const int more = job.spec.shape == jobs::Shape::gang
                         ? place_gang(cluster, index, open, kNothing, now)
                         : place_array(cluster, index, open, kNothing, now, 1);
    if (more > 0) {
      spdlog::info("job {}: begins after {:.1f} s, before its turn", job.spec.id,
                   now - job.unblocked_at);
    } else if (job.spec.shape != jobs::Shape::gang) {
      keep_growing_room(cluster, job, 1, open);
    }
    placed += more;
  }
  return placed;
}

// Of a team's jobs of one rank, those that have waited longest get a part of what the team can use,
// all machines or its limit, before its others. Not before those of a higher rank: a guest's idle
// batch took a quarter of the machines from guaranteed work. Not a part of all machines either:
// that was a small team's whole limit, and its small jobs waited three times as long.
int place_long_waiting(Cluster& cluster, std::vector<Index>::const_iterator begin,
                       std::vector<Index>::const_iterator end, Openings& open, double share,
                       double now) {
  const std::vector<Index> waiting = long_waiting(cluster, begin, end, kServeWithin_s, true, now);
  if (waiting.empty()) return 0;  // as in most plans
  double all_cores = 0;
  for (const auto& host : cluster.hosts) {
    if (host && usable(cluster, *host, now)) all_cores += cluster.type_of(*host)->cpus;
  }
  std::vector<double> left(cluster.used.size());
  for (Index team = 0; team < left.size(); ++team) {
    const double limit = cluster.platform.teams[team].cpus_max;
    left[team] = share * (limit > 0 ? std::min(limit, all_cores) : all_cores);
  }
  for (const Index index : waiting) {
    const Job& job = *cluster.jobs[index];
    left[job.team] -= job.resources_per_task.cpus * static_cast<double>(job.attempts.size());
  }
  int placed = 0;
  for (const Index index : waiting) {
    const Job& job = *cluster.jobs[index];
    double& cores = left[job.team];
    const double tasks =
        job.resources_per_task.cpus > 0 ? cores / job.resources_per_task.cpus : job.spec.tasks;
    int more = 0;
    if (job.spec.shape == jobs::Shape::gang) {
      if (tasks >= job.spec.tasks) more = place_gang(cluster, index, open, kNothing, now);
    } else if (tasks >= 1) {
      more = place_array(cluster, index, open, kNothing, now,
                         static_cast<int>(std::min<double>(tasks, job.spec.tasks)));
    }
    cores -= job.resources_per_task.cpus * more;
    placed += more;
  }
  return placed;
}

// How long none of its tasks can have run, what is placed on machines that are silent included.
double still_for(const Cluster& cluster, const Job& job, double now) {
  double ran_until = std::max(job.idle_since, job.unblocked_at);
  for (const auto& [task, attempt] : job.attempts) {
    ran_until = std::max(ran_until, cluster.may_run_until(*cluster.hosts[attempt.host]));
    if (now < ran_until) return 0;
  }
  return now - ran_until;
}

// The users' rule: no job is left waiting for long while a machine that fits has room and its team
// is under its limit. Room is kept for growth, beside large tasks, and of a limit for gangs;
// whoever has stood still for so long gets one task in it all the same, where it takes least. A job
// whose tasks were lost with their zone counts from the end of their leases, not from their proof.
int place_one_beside(Cluster& cluster, const Service& service, double now) {
  std::vector<Index> still;
  for (const Index index : service.order) {
    Job& job = *cluster.jobs[index];
    if (!job.fails_everywhere() && now >= job.not_before && job.spec.shape != jobs::Shape::gang &&
        still_for(cluster, job, now) >= kStandStill_s &&
        cluster.next_pending(job, 0) < job.spec.tasks) {
      still.push_back(index);
    }
  }
  if (still.empty()) return 0;  // as in most plans
  std::vector<Index> roomy;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (host && host->free.cpus > 0 && usable(cluster, *host, now) &&
        cluster.type_of(*host) != nullptr) {
      roomy.push_back(i);
    }
  }
  std::stable_sort(roomy.begin(), roomy.end(), [&](Index a, Index b) {
    return cluster.hosts[a]->free.cpus < cluster.hosts[b]->free.cpus;
  });
  int placed = 0;
  for (const Index index : still) {
    Job& job = *cluster.jobs[index];
    if (!cluster.within_limit(job, 1)) continue;
    const std::uint32_t task = cluster.next_pending(job, 0);
    const std::uint64_t attempt = job.last_attempt + 1;
    const auto host = std::find_if(roomy.begin(), roomy.end(), [&](Index i) {
      const Host& one = *cluster.hosts[i];
      const auto avoided = job.failed_on.find(i);
      // An idle one that is kept for large tasks stays so: with one small task on it, no large one
      // could begin there (gangs waited eight minutes).
      if (cluster.is_kept_from(job, one) && one.free.cpus > cluster.type_of(one)->cpus / 2) {
        return false;
      }
      return one.free.holds(job.resources_per_task) && in_zone(job, one.zone) &&
             (job.spec.spot || !one.spot) && job.fits[one.type] &&
             (avoided == job.failed_on.end() || now >= avoided->second) &&
             cluster.has_room(index, task, attempt, i);
    });
    if (host == roomy.end()) continue;
    if (!has_begun(job)) {
      spdlog::info("job {}: begins after {:.1f} s", job.spec.id, now - job.unblocked_at);
    }
    spdlog::info("job {}: has stood still for {:.0f} s: a task in room that is kept for others",
                 job.spec.id, still_for(cluster, job, now));
    cluster.place(index, task, attempt, *host, now);
    ++placed;
  }
  return placed;
}

// A gang that lost a task cannot go on: the rest is stopped and a new attempt begins once all of
// it is gone. Returns whether that freed room.
bool stop_broken_gang(Cluster& cluster, Index index) {
  Job& job = *cluster.jobs[index];
  if (job.complete()) return false;
  const bool torn = job.gang_started && job.attempts.size() < job.spec.tasks;
  const bool stopping = std::any_of(job.attempts.begin(), job.attempts.end(),
                                    [](const auto& entry) { return entry.second.stopping; });
  if (!torn && !stopping) return false;
  const std::size_t before = job.attempts.size();
  for (auto& [task, attempt] : job.attempts) {
    cluster.stop(index, task, torn ? 0 : job.spec.save_s + 1);
  }
  cluster.release_unsent(index, 0);
  return job.attempts.size() < before;
}

// A machine under notice takes no new work. What can save its progress does so while there is
// time; the rest runs on, since some of it will finish.
void heed_notices(Cluster& cluster, double now) {
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
      const bool saves = job.spec.checkpoint_s > 0;
      if (!started || (saves && attempt.observed == ObservedState::running) ||
          (reclaimed && attempt.observed == ObservedState::fetching)) {
        cluster.stop(ref.job, ref.task,
                     reclaimed ? std::max(job.spec.save_s, host->reclaim_at - now - kLeastNotice)
                               : job.spec.save_s + 1);
        cluster.release_unsent(ref.job, now);
      }
    }
  }
}

}  // namespace

bool usable(const Cluster& cluster, const Host& host, double now) {
  return host.phase == HostPhase::up && !host.draining && !host.cordoned && !host.zone_suspected &&
         host.type != kNone && !host.quarantined && host.unreachable_since < 0 &&
         !host.unconfirmed && now - host.last_heartbeat_at < cluster.platform.workers.lease_s;
}

bool should_be_heard(const Cluster& cluster, const Host& host, double now) {
  if (host.phase != HostPhase::booting) return host.phase == HostPhase::up;
  const auto* type = cluster.type_of(host);
  return host.runs && type != nullptr && now - host.rented_at > kSurelyUp * type->boot_s;
}

bool allows(const Cluster& cluster, const Job& job, Index type, bool spot) {
  return (job.spec.spot || !spot) && job.fits[type] && !cluster.is_kept_from(job, type, spot);
}

bool in_zone(const Job& job, Index zone) { return job.zone == kNone || job.zone == zone; }

bool allows(const Cluster& cluster, const Job& job, const Host& host) {
  return cluster.type_of(host) != nullptr && in_zone(job, host.zone) &&
         (job.spec.spot || !host.spot) && job.fits[host.type] && !cluster.is_kept_from(job, host);
}

bool backfill(Cluster& cluster, Index index) {
  Host& host = *cluster.hosts[index];
  if (host.backfilled || host.was_backfilled || cluster.type_of(host) == nullptr) return false;
  host.backfilled = std::any_of(cluster.jobs.begin(), cluster.jobs.end(), [&](const auto& job) {
    return job && !job->cancelled && !job->waits() && job->spec.shape == jobs::Shape::array &&
           job->attempts.size() + job->done_count < job->spec.tasks &&
           cluster.is_kept_from(*job, host) && (job->spec.spot || !host.spot) &&
           job->fits[host.type] && in_zone(*job, host.zone) && cluster.within_limit(*job, 1);
  });
  host.was_backfilled = host.backfilled;
  return host.backfilled;
}

int plan(Cluster& cluster, double now, const Gate& gate, double share_of_waiting) {
  cluster.keep_for_large(now);
  heed_notices(cluster, now);
  Openings open(cluster, now);
  int placed = 0;
  const Service service = service_order(cluster, now);
  const std::vector<Kept> kept = kept_for_gangs(cluster, service, open, now);
  if (share_of_waiting > 0) placed += place_firsts(cluster, service, open, now);
  const auto rank = [&](Index index) {
    return std::pair(bool(service.guaranteed[index]), cluster.jobs[index]->priority);
  };
  auto rank_end = service.order.begin();
  for (auto at = service.order.begin(); at != service.order.end(); ++at) {
    if (at == rank_end) {
      rank_end = std::find_if(at, service.order.end(),
                              [&](Index other) { return rank(other) != rank(*at); });
      placed += place_long_waiting(cluster, at, rank_end, open, share_of_waiting, now);
    }
    const Index index = *at;
    Job& job = *cluster.jobs[index];
    const bool gang = job.spec.shape == jobs::Shape::gang;
    const bool begun = has_begun(job);
    if (gang && stop_broken_gang(cluster, index)) open.grown();
    if (now < job.not_before) continue;
    const bool owner = service.guaranteed[index] || kept[job.team].gang == index;
    const Usage& left = owner ? kNothing : kept[job.team].usage;
    const int more = gang ? place_gang(cluster, index, open, left, now)
                          : place_array(cluster, index, open, left, now);
    placed += more;
    if (more > 0 && !begun) {
      spdlog::info("job {}: begins after {:.1f} s", job.spec.id, now - job.unblocked_at);
    }
    if (!gang && !job.fails_everywhere() && cluster.next_pending(job, 0) < job.spec.tasks) {
      keep_growing_room(cluster, job, job.spec.tasks, open);
    }
    if (more > 0 && cluster.next_pending(job, 0) == job.spec.tasks) {
      spdlog::info("job {}: all tasks placed after {:.1f} s", job.spec.id, now - job.unblocked_at);
    }
  }
  placed += place_one_beside(cluster, service, now);
  preempt(cluster, service, gate, now);
  return placed;
}

}  // namespace reachramp::placement
