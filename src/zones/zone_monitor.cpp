#include "zones/zone_monitor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>

#include "placement/plan.h"
#include "placement/service_order.h"
#include "schema/schema_levels.h"

namespace reachramp::zones {

namespace {

using placement::Host;
using placement::HostPhase;
using placement::kNone;

// A machine is overdue after this many heartbeat intervals and the retry time. Two heartbeats of a
// working machine are up to 1.25 intervals apart. A worker whose controller node is dead waits 4 s
// for a response and 1 s more before it tries the next node. These limits allow for both, so a zone
// is not suspected because one node died.
constexpr double kOverdueReportPeriods = 2;
constexpr double kReportRetryTime_s = 6;
// Machines that die or hang independently do so at a similar rate in every zone, so only a large
// share in one zone is suspicious.
constexpr double kMinOverdueShareToSuspect = 0.6;
// A zone recovers when less than this share of its machines is not heard.
constexpr double kMaxUnheardShareToRecover = 0.4;
// If more than this share of the other zones' machines is overdue, the cause is not this zone.
constexpr double kMaxOverdueShareElsewhere = 0.3;
// A zone is suspected only if its number of overdue machines is this unlikely to be chance. Before
// this limit, a zone was declared lost when five of its eight machines hung by chance, while one in
// seven hung elsewhere.
constexpr double kMaxChanceProbability = 1e-5;
// Assumed probability that a machine is overdue, if fewer are overdue elsewhere.
constexpr double kMinOverdueProbability = 0.05;
// The silence of a zone with fewer machines, or while the other zones have fewer, proves nothing.
constexpr std::size_t kMinMachinesToJudge = 4;
constexpr std::size_t kMaxZonesInRecord = 200;
// A zone is suspected once it alone has been silent for this many heartbeat intervals.
constexpr double kSuspectAfterReportPeriods = 0.75;
// A machine of a lost zone is returned only after a silence of this many leases. A worker that has
// been silent for longer than its lease has killed its tasks, unless a leader inside the lost zone
// still renews its lease.
constexpr double kDeadAfterLeases = 1.1;
// After a silence of this many times kDeadAfterLeases leases, a machine is returned in any case.
// Until then, a machine whose tasks fit nowhere else is kept, because it offers the first free room
// when the zone recovers.
constexpr double kReturnAnywayAfterDeadTimes = 12;
constexpr double kRecoveryTime_s = 10;  // time in `recovering`, doubled with each flap
constexpr int kMaxFlaps = 4;
constexpr double kFlapResetTime_s = 300;  // time in `healthy` after which flaps are forgotten
// A lost zone with too few machines to judge counts as reachable again after this time, so that
// machines are rented there again.
constexpr double kRetryEmptyZoneAfter_s = 60;
constexpr double kMaxReturnedSharePerSecond = 0.05;  // of the usable machines
// Keeping an idle machine for this time costs as much as renting a new one.
constexpr double kMinBilledTime_s = 60;

double overdue_after_s(const Cluster& cluster) {
  return kOverdueReportPeriods * cluster.platform.worker_timings.report_interval_s +
         kReportRetryTime_s;
}

// The probability that at least as many machines are overdue, if each is overdue independently with
// the given probability.
double chance_probability(const ZoneObservation& observation, double overdue_probability) {
  if (observation.overdue == 0) return 1;
  const boost::math::binomial_distribution<double> overdue(
      static_cast<double>(observation.machines), overdue_probability);
  return boost::math::cdf(
      boost::math::complement(overdue, static_cast<double>(observation.overdue) - 1));
}

}  // namespace

bool is_obsolete(const std::string& key, const wire::Json&, std::uint32_t level) {
  return key == kZonesKey && level < schema::kDrains;
}

const char* name_of(ZoneState state) {
  switch (state) {
    case ZoneState::healthy:
      return "well";
    case ZoneState::suspected:
      return "doubtful";
    case ZoneState::lost:
      return "lost";
    case ZoneState::recovering:
      return "coming back";
  }
  return "";
}

std::vector<ZoneObservation> ZoneMonitor::observe(const Cluster& cluster, double listening_since,
                                                  double now) {
  std::vector<ZoneObservation> observations(cluster.zones.size());
  const double overdue_s = overdue_after_s(cluster);
  for (const auto& host : cluster.hosts) {
    if (!host || host->zone == kNone || !is_expected_to_report(cluster, *host, now)) continue;
    const bool overdue = now - std::max(host->last_heartbeat_at, listening_since) > overdue_s;
    ++observations[host->zone].machines;
    observations[host->zone].overdue += overdue ? 1 : 0;
    observations[host->zone].heard +=
        !overdue && host->last_heartbeat_at >= listening_since ? 1 : 0;
  }
  return observations;
}

// Time since the last heartbeat. Without a heartbeat to this leader, counts from the start of its
// term, or, once it has listened for longer than overdue_after_s, from the time at which an earlier
// leader recorded the zone as suspected or lost.
double ZoneMonitor::silence_s(const Cluster& cluster, const Host& host, double listening_since,
                              double now) const {
  const auto at = zones_.find(host.zone);
  const bool uses_inherited_time = at != zones_.end() && at->second.inherited &&
                                   host.last_heartbeat_at < listening_since &&
                                   now - listening_since > overdue_after_s(cluster);
  return now - std::max(host.last_heartbeat_at,
                        uses_inherited_time ? at->second.suspected_since : listening_since);
}

ZoneState ZoneMonitor::state(Index zone) const {
  const auto at = zones_.find(zone);
  return at == zones_.end() ? ZoneState::healthy : at->second.state;
}

double ZoneMonitor::reachable_since(Index zone) const {
  const auto at = zones_.find(zone);
  return at == zones_.end() ? -1e9 : at->second.reachable_since;
}

void ZoneMonitor::set_state(const Cluster& cluster, Index index, ZoneState state,
                            const std::string& reason, double now) {
  ZoneStatus& zone = zones_[index];
  zone.state = state;
  zone.state_since = now;
  has_unwritten_changes_ = true;
  spdlog::info("zone {}: {}: {}", cluster.zones[index], zones::name_of(state), reason);
}

void ZoneMonitor::update_state(const Cluster& cluster, Index index,
                               const ZoneObservation& observation, const ZoneObservation& others,
                               double listening_since, double now) {
  ZoneStatus& zone = zones_[index];
  const auto overdue_share = [](const ZoneObservation& one) {
    return one.machines == 0 ? 0
                             : static_cast<double>(one.overdue) / static_cast<double>(one.machines);
  };
  const std::string counts =
      fmt::format("{} of {} machines are overdue, elsewhere {} of {}", observation.overdue,
                  observation.machines, others.overdue, others.machines);
  const bool silent_alone =
      observation.machines >= kMinMachinesToJudge && others.machines >= kMinMachinesToJudge &&
      overdue_share(observation) >= kMinOverdueShareToSuspect &&
      overdue_share(others) < kMaxOverdueShareElsewhere &&
      chance_probability(observation, std::max(overdue_share(others), kMinOverdueProbability)) <
          kMaxChanceProbability;
  // When all zones become silent or reachable together, they do not do so at exactly the same
  // moment, so the condition has to hold for some time.
  if (!silent_alone) zone.silent_alone_since = now;
  const bool long_silent_alone =
      silent_alone &&
      now - zone.silent_alone_since >=
          kSuspectAfterReportPeriods * cluster.platform.worker_timings.report_interval_s;
  const double lease_s = cluster.platform.worker_timings.lease_s;
  switch (zone.state) {
    case ZoneState::healthy:
      if (now - zone.state_since > kFlapResetTime_s) zone.flaps = 0;
      if (!long_silent_alone) return;
      zone.suspected_since = now;
      set_state(cluster, index, ZoneState::suspected, counts, now);
      return;
    case ZoneState::suspected:
    case ZoneState::lost: {
      const bool heard =
          observation.machines >= kMinMachinesToJudge &&
          static_cast<double>(observation.heard) >
              (1 - kMaxUnheardShareToRecover) * static_cast<double>(observation.machines);
      const bool is_empty =
          observation.machines < kMinMachinesToJudge &&
          now - std::max(zone.state_since, listening_since) > kRetryEmptyZoneAfter_s;
      if (heard || is_empty) {
        zone.reachable_since = now;
        zone.inherited = false;
        zone.flaps = std::min(zone.flaps + 1, kMaxFlaps);
        set_state(cluster, index, ZoneState::recovering,
                  heard ? fmt::format("after {:.0f} s", now - zone.suspected_since)
                        : "none of its machines is left: tried anew",
                  now);
      } else if (zone.state == ZoneState::suspected && now - zone.state_since > lease_s / 2 &&
                 long_silent_alone) {
        set_state(cluster, index, ZoneState::lost, counts, now);
      }
      return;
    }
    case ZoneState::recovering:
      if (long_silent_alone) {
        set_state(cluster, index, ZoneState::suspected, counts, now);
      } else if (now - zone.state_since > kRecoveryTime_s * (1 << (zone.flaps - 1))) {
        set_state(cluster, index, ZoneState::healthy, counts, now);
      }
  }
}

void ZoneMonitor::advance(Cluster& cluster, double listening_since, double now) {
  const std::vector<ZoneObservation> observations = observe(cluster, listening_since, now);
  ZoneObservation all;
  for (const ZoneObservation& observation : observations) {
    all.machines += observation.machines;
    all.overdue += observation.overdue;
  }
  for (Index zone = 0; zone < observations.size(); ++zone) {
    const ZoneObservation& observation = observations[zone];
    update_state(cluster, zone, observation,
                 {all.machines - observation.machines, all.overdue - observation.overdue, 0},
                 listening_since, now);
  }
  const double overdue_s = overdue_after_s(cluster);
  std::vector<placement::TaskRef> unsent;
  for (const auto& host : cluster.hosts) {
    if (!host || host->zone == kNone) continue;
    const ZoneState state = this->state(host->zone);
    const bool is_suspected = (state == ZoneState::suspected || state == ZoneState::lost) &&
                              (host->last_heartbeat_at < listening_since ||
                               silence_s(cluster, *host, listening_since, now) > overdue_s);
    host->zone_lost = is_suspected && state == ZoneState::lost;
    if (!std::exchange(host->zone_suspected, is_suspected) && is_suspected) {
      unsent.insert(unsent.end(), host->attempts.begin(), host->attempts.end());
    }
  }
  // A task that was placed in the zone but whose start was never sent cannot run there, so it may
  // be placed elsewhere at once.
  for (const placement::TaskRef& ref : unsent) {
    const auto& attempts = cluster.jobs[ref.job]->attempts;
    const auto at = attempts.find(ref.task);
    if (at == attempts.end() || at->second.start_sent || at->second.from_previous_leader) continue;
    cluster.request_stop(ref.job, ref.task, 0);
    cluster.end_unsent_attempts(ref.job, now);
  }
}

wire::Json ZoneMonitor::encode(const Cluster& cluster) const {
  wire::Json list = wire::Json::array();
  for (const auto& [index, zone] : zones_) {
    if (zone.state == ZoneState::healthy && zone.flaps == 0) continue;
    list.push_back({{"name", cluster.zones[index]},
                    {"state", static_cast<std::uint64_t>(zone.state)},
                    {"flaps", zone.flaps}});
  }
  return {{"zones", std::move(list)}};
}

void ZoneMonitor::restore(const wire::Json& record, Cluster& cluster, double written_at,
                          double now) {
  if (!record.is_object()) throw wire::BadMessage("zones: not a map");
  std::map<std::string, ZoneStatus> found;
  for (const wire::Json& item : wire::list(record, "zones")) {
    ZoneStatus zone;
    zone.state = static_cast<ZoneState>(
        wire::count(item, "state", static_cast<std::uint64_t>(ZoneState::recovering)));
    zone.flaps = static_cast<int>(wire::count(item, "flaps", kMaxFlaps));
    zone.state_since = zone.suspected_since = std::min(written_at, now);
    if (zone.state == ZoneState::recovering) zone.flaps = std::max(zone.flaps, 1);
    zone.inherited = zone.state == ZoneState::suspected || zone.state == ZoneState::lost;
    found[wire::text(item, "name")] = zone;
  }
  if (found.size() > kMaxZonesInRecord) throw wire::BadMessage("zones: too many");
  for (const auto& [name, zone] : found) {
    zones_[cluster.zones.add(name)] = zone;
    if (zone.state != ZoneState::healthy) {
      spdlog::info("zone {}: {}: as found by an earlier leader", name, zones::name_of(zone.state));
    }
  }
}

std::set<Pool> ZoneMonitor::closed_pools(const Cluster& cluster) const {
  std::set<Pool> pools;
  for (const auto& [index, zone] : zones_) {
    if (zone.state == ZoneState::healthy) continue;
    for (Index type = 0; type < cluster.types.size(); ++type) {
      for (const bool spot : {false, true}) pools.insert({type, index, spot});
    }
  }
  return pools;
}

std::vector<Index> ZoneMonitor::hosts_to_return(const Cluster& cluster, double listening_since,
                                                double now) {
  const double elapsed_s = returns_computed_at_ < 0 ? 0 : now - returns_computed_at_;
  returns_computed_at_ = now;
  const double dead_after_s = kDeadAfterLeases * cluster.platform.worker_timings.lease_s;
  std::vector<Index> lost_hosts;
  double usable_machines = 0, free_cores = 0;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || host->phase == HostPhase::terminating) continue;
    if (host->zone_lost) lost_hosts.push_back(i);
    if (is_usable(cluster, *host, now)) {
      ++usable_machines;
      free_cores += host->free.cpus;
    }
  }
  if (lost_hosts.empty()) {
    return_allowance_ = 0;
    return {};
  }
  const double max_per_s = std::max(1.0, kMaxReturnedSharePerSecond * usable_machines);
  return_allowance_ = std::min(return_allowance_ + elapsed_s * max_per_s, max_per_s);

  const placement::ServiceOrder service = placement::service_order(cluster, now);
  std::vector<std::size_t> rank(cluster.jobs.size(), service.jobs.size());
  std::size_t first_waiting = service.jobs.size();
  double waiting_cores = 0;  // cores that the tasks without a place need
  for (std::size_t i = 0; i < service.jobs.size(); ++i) {
    const placement::Job& job = *cluster.jobs[service.jobs[i]];
    rank[service.jobs[i]] = i;
    const double unplaced_tasks = static_cast<double>(job.spec.tasks - job.done_count) -
                                  static_cast<double>(job.attempts.size());
    if (unplaced_tasks <= 0 || !cluster.within_team_limit(job, 1)) continue;
    first_waiting = std::min(first_waiting, i);
    waiting_cores += unplaced_tasks * job.resources_per_task.cpus;
  }
  struct Candidate {
    std::size_t rank = 0;
    double cores = 0;
    Index host = kNone;
  };
  std::vector<Candidate> candidates;
  for (const Index i : lost_hosts) {
    Candidate one{service.jobs.size(), 0, i};
    for (const placement::TaskRef& ref : cluster.hosts[i]->attempts) {
      one.rank = std::min(one.rank, rank[ref.job]);
      one.cores += cluster.jobs[ref.job]->resources_per_task.cpus;
    }
    candidates.push_back(one);
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::pair(a.rank, a.host) < std::pair(b.rank, b.host);
  });
  double spare_cores = free_cores - waiting_cores;
  std::vector<Index> found;
  for (const Candidate& candidate : candidates) {
    if (return_allowance_ < 1) break;
    const Host& host = *cluster.hosts[candidate.host];
    const double host_silence_s = silence_s(cluster, host, listening_since, now);
    const bool is_idle = host.attempts.empty();
    // It is too early to return this machine. The room that its tasks will need is not given to
    // less urgent machines.
    if (host_silence_s <= dead_after_s) {
      spare_cores -= candidate.cores;
      continue;
    }
    // An idle machine is kept until keeping it has cost as much as renting a new one. A machine
    // with tasks is returned if there is room for them elsewhere, or if they would be placed before
    // all waiting jobs. The tasks of a gang can move only when all its machines are returned.
    const bool urgent = candidate.rank < first_waiting && first_waiting < service.jobs.size();
    const bool belongs_to_waiting_gang =
        candidate.rank == first_waiting && candidate.rank < service.jobs.size() &&
        cluster.jobs[service.jobs[candidate.rank]]->spec.shape == jobs::Shape::gang;
    const bool return_now =
        host_silence_s > kReturnAnywayAfterDeadTimes * dead_after_s ||
        (is_idle ? host_silence_s > kMinBilledTime_s
                 : urgent || belongs_to_waiting_gang || candidate.cores <= spare_cores);
    if (!return_now) continue;
    spare_cores -= candidate.cores;
    --return_allowance_;
    found.push_back(candidate.host);
  }
  return found;
}

}  // namespace reachramp::zones
