#include "zones/zones.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>

#include "placement/order.h"
#include "placement/plan.h"
#include "schema/schema_levels.h"

namespace reachramp::zones {

namespace {

using placement::Host;
using placement::HostPhase;
using placement::kNone;

// Reports lie up to a quarter more than their period apart, and a worker whose node is dead waits 4
// s for it and a second before the next: no zone is doubted for its one node.
constexpr double kPeriodsApart = 2;
constexpr double kAnswers_s = 6;
// Machines that die or hang by themselves do so in every zone alike.
constexpr double kDoubt = 0.6;
constexpr double kHeardAgain = 0.4;
constexpr double kElsewhere = 0.3;  // more than that is silent everywhere: it is not the zone
// Five of eight machines hung by chance while one in seven did elsewhere, and the zone was lost.
constexpr double kNotChance = 1e-5;
constexpr double kLeastShare = 0.05;  // that is overdue anywhere
constexpr std::size_t kFewest = 4;
constexpr std::size_t kMostZones = 200;  // in the record
constexpr double kApartFor = 0.75;       // reports' periods
// What is silent for longer than its lease has killed its tasks, but for what a leader inside kept.
constexpr double kDead = 1.1;  // leases
// Times that. Where there is no room for its work it is the first room there will be when the zone
// is back; not for ever.
constexpr double kLongGone = 12;
constexpr double kSettle_s = 10;  // of one that is heard again; doubled with each flap
constexpr int kMostFlaps = 4;
constexpr double kFlapsForgotten_s = 300;
constexpr double kNobodyThere_s = 60;        // then it is tried by renting
constexpr double kReturnedPerSecond = 0.05;  // of the machines of other zones
constexpr double kLeastCharge_s = 60;  // renting anew costs as much as keeping an idle one so long

double overdue_after(const Cluster& cluster) {
  return kPeriodsApart * cluster.platform.workers.report_s + kAnswers_s;
}

// How likely as many would be overdue if each were with that chance.
double by_chance(const ZoneObservation& sight, double each) {
  if (sight.overdue == 0) return 1;
  const boost::math::binomial_distribution<double> overdue(static_cast<double>(sight.machines),
                                                           each);
  return boost::math::cdf(boost::math::complement(overdue, static_cast<double>(sight.overdue) - 1));
}

}  // namespace

bool is_stale(const std::string& key, const wire::Json&, std::uint32_t level) {
  return key == kZonesKey && level < schema::kDrains;
}

const char* name_of(State state) {
  switch (state) {
    case State::healthy:
      return "well";
    case State::suspected:
      return "doubtful";
    case State::lost:
      return "lost";
    case State::recovering:
      return "coming back";
  }
  return "";
}

std::vector<ZoneObservation> Zones::look(const Cluster& cluster, double since, double now) {
  std::vector<ZoneObservation> sights(cluster.zones.size());
  const double late = overdue_after(cluster);
  for (const auto& host : cluster.hosts) {
    if (!host || host->zone == kNone || !should_be_heard(cluster, *host, now)) continue;
    const bool overdue = now - std::max(host->last_heartbeat_at, since) > late;
    ++sights[host->zone].machines;
    sights[host->zone].overdue += overdue ? 1 : 0;
    sights[host->zone].heard += !overdue && host->last_heartbeat_at >= since ? 1 : 0;
  }
  return sights;
}

// Since this leader began, or since the zone was lost under an earlier one, once we have listened
// for as long as reports may take.
double Zones::silence(const Cluster& cluster, const Host& host, double since, double now) const {
  const auto at = zones_.find(host.zone);
  const bool known = at != zones_.end() && at->second.inherited && host.last_heartbeat_at < since &&
                     now - since > overdue_after(cluster);
  return now - std::max(host.last_heartbeat_at, known ? at->second.lost_since : since);
}

State Zones::state(Index zone) const {
  const auto at = zones_.find(zone);
  return at == zones_.end() ? State::healthy : at->second.state;
}

double Zones::reachable_since(Index zone) const {
  const auto at = zones_.find(zone);
  return at == zones_.end() ? -1e9 : at->second.heard_again_at;
}

void Zones::enter(const Cluster& cluster, Index index, State state, const std::string& why,
                  double now) {
  Zone& zone = zones_[index];
  zone.state = state;
  zone.since = now;
  changed_ = true;
  spdlog::info("zone {}: {}: {}", cluster.zones[index], zones::name_of(state), why);
}

void Zones::judge(const Cluster& cluster, Index index, const ZoneObservation& sight,
                  const ZoneObservation& others, double since, double now) {
  Zone& zone = zones_[index];
  const auto share = [](const ZoneObservation& one) {
    return one.machines == 0 ? 0
                             : static_cast<double>(one.overdue) / static_cast<double>(one.machines);
  };
  const std::string counts =
      fmt::format("{} of {} machines are overdue, elsewhere {} of {}", sight.overdue,
                  sight.machines, others.overdue, others.machines);
  const bool apart = sight.machines >= kFewest && others.machines >= kFewest &&
                     share(sight) >= kDoubt && share(others) < kElsewhere &&
                     by_chance(sight, std::max(share(others), kLeastShare)) < kNotChance;
  // When all are silent, or heard again, no two zones are so at the same moment.
  if (!apart) zone.apart_since = now;
  const bool silent =
      apart && now - zone.apart_since >= kApartFor * cluster.platform.workers.report_s;
  const double lease = cluster.platform.workers.lease_s;
  switch (zone.state) {
    case State::healthy:
      if (now - zone.since > kFlapsForgotten_s) zone.flaps = 0;
      if (!silent) return;
      zone.lost_since = now;
      enter(cluster, index, State::suspected, counts, now);
      return;
    case State::suspected:
    case State::lost: {
      const bool heard =
          sight.machines >= kFewest && static_cast<double>(sight.heard) >
                                           (1 - kHeardAgain) * static_cast<double>(sight.machines);
      const bool nobody =
          sight.machines < kFewest && now - std::max(zone.since, since) > kNobodyThere_s;
      if (heard || nobody) {
        zone.heard_again_at = now;
        zone.inherited = false;
        zone.flaps = std::min(zone.flaps + 1, kMostFlaps);
        enter(cluster, index, State::recovering,
              heard ? fmt::format("after {:.0f} s", now - zone.lost_since)
                    : "none of its machines is left: tried anew",
              now);
      } else if (zone.state == State::suspected && now - zone.since > lease / 2 && silent) {
        enter(cluster, index, State::lost, counts, now);
      }
      return;
    }
    case State::recovering:
      if (silent) {
        enter(cluster, index, State::suspected, counts, now);
      } else if (now - zone.since > kSettle_s * (1 << (zone.flaps - 1))) {
        enter(cluster, index, State::healthy, counts, now);
      }
  }
}

void Zones::advance(Cluster& cluster, double since, double now) {
  const std::vector<ZoneObservation> sights = look(cluster, since, now);
  ZoneObservation all;
  for (const ZoneObservation& sight : sights) {
    all.machines += sight.machines;
    all.overdue += sight.overdue;
  }
  for (Index zone = 0; zone < sights.size(); ++zone) {
    const ZoneObservation& sight = sights[zone];
    judge(cluster, zone, sight, {all.machines - sight.machines, all.overdue - sight.overdue, 0},
          since, now);
  }
  const double late = overdue_after(cluster);
  std::vector<placement::TaskRef> unsent;
  for (const auto& host : cluster.hosts) {
    if (!host || host->zone == kNone) continue;
    const State state = this->state(host->zone);
    const bool cut =
        (state == State::suspected || state == State::lost) &&
        (host->last_heartbeat_at < since || silence(cluster, *host, since, now) > late);
    host->zone_lost = cut && state == State::lost;
    if (!std::exchange(host->zone_suspected, cut) && cut) {
      unsent.insert(unsent.end(), host->attempts.begin(), host->attempts.end());
    }
  }
  // What was placed there and never sent needs no proof to go elsewhere.
  for (const placement::TaskRef& ref : unsent) {
    const auto& attempts = cluster.jobs[ref.job]->attempts;
    const auto at = attempts.find(ref.task);
    if (at == attempts.end() || at->second.start_sent || at->second.from_previous_leader) continue;
    cluster.stop(ref.job, ref.task, 0);
    cluster.release_unsent(ref.job, now);
  }
}

wire::Json Zones::encode(const Cluster& cluster) const {
  wire::Json list = wire::Json::array();
  for (const auto& [index, zone] : zones_) {
    if (zone.state == State::healthy && zone.flaps == 0) continue;
    list.push_back({{"name", cluster.zones[index]},
                    {"state", static_cast<std::uint64_t>(zone.state)},
                    {"flaps", zone.flaps}});
  }
  return {{"zones", std::move(list)}};
}

void Zones::restore(const wire::Json& record, Cluster& cluster, double at, double now) {
  if (!record.is_object()) throw wire::BadMessage("zones: not a map");
  std::map<std::string, Zone> found;
  for (const wire::Json& item : wire::list(record, "zones")) {
    Zone zone;
    zone.state = static_cast<State>(
        wire::count(item, "state", static_cast<std::uint64_t>(State::recovering)));
    zone.flaps = static_cast<int>(wire::count(item, "flaps", kMostFlaps));
    zone.since = zone.lost_since = std::min(at, now);
    if (zone.state == State::recovering) zone.flaps = std::max(zone.flaps, 1);
    zone.inherited = zone.state == State::suspected || zone.state == State::lost;
    found[wire::text(item, "name")] = zone;
  }
  if (found.size() > kMostZones) throw wire::BadMessage("zones: too many");
  for (const auto& [name, zone] : found) {
    zones_[cluster.zones.add(name)] = zone;
    if (zone.state != State::healthy) {
      spdlog::info("zone {}: {}: as an earlier leader found", name, zones::name_of(zone.state));
    }
  }
}

std::set<Pool> Zones::closed(const Cluster& cluster) const {
  std::set<Pool> pools;
  for (const auto& [index, zone] : zones_) {
    if (zone.state == State::healthy) continue;
    for (Index type = 0; type < cluster.types.size(); ++type) {
      for (const bool spot : {false, true}) pools.insert({type, index, spot});
    }
  }
  return pools;
}

std::vector<Index> Zones::to_return(const Cluster& cluster, double since, double now) {
  const double passed = passed_at_ < 0 ? 0 : now - passed_at_;
  passed_at_ = now;
  const double dead = kDead * cluster.platform.workers.lease_s;
  std::vector<Index> lost;
  double usable_machines = 0, free = 0;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || host->phase == HostPhase::terminating) continue;
    if (host->zone_lost) lost.push_back(i);
    if (usable(cluster, *host, now)) {
      ++usable_machines;
      free += host->free.cpus;
    }
  }
  if (lost.empty()) {
    allowance_ = 0;
    return {};
  }
  const double most = std::max(1.0, kReturnedPerSecond * usable_machines);
  allowance_ = std::min(allowance_ + passed * most, most);

  const placement::Service service = placement::service_order(cluster, now);
  std::vector<std::size_t> rank(cluster.jobs.size(), service.order.size());
  std::size_t first_waiting = service.order.size();
  double waiting = 0;  // cores, of all that is not placed
  for (std::size_t i = 0; i < service.order.size(); ++i) {
    const placement::Job& job = *cluster.jobs[service.order[i]];
    rank[service.order[i]] = i;
    const double left = static_cast<double>(job.spec.tasks - job.done_count) -
                        static_cast<double>(job.attempts.size());
    if (left <= 0 || !cluster.within_limit(job, 1)) continue;
    first_waiting = std::min(first_waiting, i);
    waiting += left * job.resources_per_task.cpus;
  }
  struct Candidate {
    std::size_t rank = 0;
    double cores = 0;
    Index host = kNone;
  };
  std::vector<Candidate> candidates;
  for (const Index i : lost) {
    Candidate one{service.order.size(), 0, i};
    for (const placement::TaskRef& ref : cluster.hosts[i]->attempts) {
      one.rank = std::min(one.rank, rank[ref.job]);
      one.cores += cluster.jobs[ref.job]->resources_per_task.cpus;
    }
    candidates.push_back(one);
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::pair(a.rank, a.host) < std::pair(b.rank, b.host);
  });
  double room = free - waiting;
  std::vector<Index> found;
  for (const Candidate& one : candidates) {
    if (allowance_ < 1) break;
    const Host& host = *cluster.hosts[one.host];
    const double silent = silence(cluster, host, since, now);
    const bool idle = host.attempts.empty();
    if (silent <= dead) {  // its turn is to come; the room is not for those behind it
      room -= one.cores;
      continue;
    }
    // An idle one is kept as long as renting it anew would cost. Work goes where there is room for
    // it, or where it would be served before all that waits; a gang needs all of its machines back.
    const bool urgent = one.rank < first_waiting && first_waiting < service.order.size();
    const bool mate = one.rank == first_waiting && one.rank < service.order.size() &&
                      cluster.jobs[service.order[one.rank]]->spec.shape == jobs::Shape::gang;
    const bool goes = silent > kLongGone * dead ||
                      (idle ? silent > kLeastCharge_s : urgent || mate || one.cores <= room);
    if (!goes) continue;
    room -= one.cores;
    --allowance_;
    found.push_back(one.host);
  }
  return found;
}

}  // namespace reachramp::zones
