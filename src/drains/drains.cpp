#include "drains/drains.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "placement/plan.h"
#include "quarantine/fault_attribution.h"

namespace reachramp::drains {

namespace {

using placement::Attempt;
using placement::HostPhase;
using placement::kNone;
using placement::ObservedState;
using placement::TaskRef;

constexpr double kLeastCharge_s = 60;
constexpr double kTellEvery_s = 60;
constexpr double kTellTeamsEvery_s = 3600;
// The new machines of a step are waited for so many boot times; what comes later is used, too.
constexpr double kBoots = 3;
// A step looks for new machines from when renting has seen that the old ones count no more.
constexpr double kRentingSees_s = 3;
// Work is stopped only while so much of the fleet is heard.
constexpr double kHeard = 0.99;
constexpr int kMostHalts = 2;
constexpr int kMostSearches = 8;  // for places, a pass: each looks at all machines

bool matches(const Match& match, const Cluster& cluster, const Host& host,
             const std::map<std::uint64_t, double>& accepted, double now) {
  if (!match.names.empty() && !match.names.contains(host.name)) return false;
  if (host.type == kNone) return !match.names.empty() && !match.type && !match.zone && !match.spot;
  if (match.type && cluster.types[host.type] != *match.type) return false;
  if (match.zone && cluster.zones[host.zone] != *match.zone) return false;
  if (match.spot && host.spot != *match.spot) return false;
  if (match.older_than_s && now - host.rented_at < *match.older_than_s) return false;
  if (match.before) {
    // A serial may have been skipped: the first that was accepted after it counts.
    const auto at = accepted.lower_bound(*match.before);
    if (at == accepted.end() || host.rented_at >= at->second) return false;
  }
  return true;
}

}  // namespace

void Drains::rule(Rules rules, std::map<std::uint64_t, double> accepted, double now) {
  accepted_ = std::move(accepted);
  if (rules == rules_) return;
  spdlog::info("drains: serial {} is in force, {} entries", rules.serial, rules.entries.size());
  rules_ = std::move(rules);
  for (auto& [key, line] : lines_) line.halts = 0;  // whoever writes anew has looked into it
  told_at_ = now - kTellEvery_s + 5;
}

// Machines that are not empty yet serve again.
void Drains::end_all(Cluster& cluster) {
  if (!in_force()) return;
  spdlog::info("drains: none is in force any more");
  for (const auto& host : cluster.hosts) {
    if (host) host->cordoned = host->to_be_replaced = false;
  }
  rules_ = {};
  lines_.clear();
  going_since_.clear();
  matched_.clear();
}

const Entry* Drains::entry_of(const Cluster& cluster, const Host& host, double now) const {
  const auto at = std::find_if(
      rules_.entries.begin(), rules_.entries.end(),
      [&](const Entry& entry) { return matches(entry.match, cluster, host, accepted_, now); });
  return at == rules_.entries.end() ? nullptr : &*at;
}

std::set<Pool> Drains::closed(const Cluster& cluster) const {
  std::set<Pool> pools;
  for (const Entry& entry : rules_.entries) {
    if (entry.in_steps || !entry.match.is_of_pools()) continue;
    for (Index type = 0; type < cluster.types.size(); ++type) {
      for (Index zone = 0; zone < cluster.zones.size(); ++zone) {
        for (const bool spot : {false, true}) {
          const Match& match = entry.match;
          if ((!match.type || *match.type == cluster.types[type]) &&
              (!match.zone || *match.zone == cluster.zones[zone]) &&
              (!match.spot || *match.spot == spot)) {
            pools.insert({type, zone, spot});
          }
        }
      }
    }
  }
  return pools;
}

// Which machines go is decided anew each time, so that an entry that is taken out ends at once.
void Drains::mark(Cluster& cluster, double now) {
  std::map<std::string, std::size_t> matched;
  for (const auto& host : cluster.hosts) {
    if (!host || host->phase == HostPhase::terminating) continue;
    const Entry* entry = entry_of(cluster, *host, now);
    if (entry != nullptr) ++matched[entry->text];
    const RuleLine* line = nullptr;
    if (entry != nullptr && entry->in_steps) {
      const auto at = lines_.find({host->type, host->spot});
      if (at != lines_.end() && at->second.old.contains(host->name)) line = &at->second;
    }
    host->to_be_replaced = line != nullptr && line->phase == Phase::renting;
    host->cordoned = entry != nullptr &&
                     (!entry->in_steps || (line != nullptr && line->phase == Phase::emptying));
    if (host->cordoned) {
      going_since_.try_emplace(host->name, now);
    } else {
      going_since_.erase(host->name);
    }
  }
  std::erase_if(going_since_,
                [&](const auto& one) { return !cluster.host_index.contains(one.first); });
  for (const auto& [text, count] : matched) {
    if (!matched_.contains(text)) spdlog::info("drain begins: {}: {} machines", text, count);
  }
  for (const auto& [text, count] : matched_) {
    if (!matched.contains(text)) spdlog::info("drain ends: {}: no machine is left", text);
  }
  matched_ = std::move(matched);
}

std::string Drains::name_of(const Cluster& cluster, const LineKey& key) const {
  return std::string(key.second ? "spot " : "ordinary ") + cluster.types[key.first];
}

// The zone with the most to replace; there those that would go back anyway, then those with the
// least work on them.
void Drains::begin_step(Cluster& cluster, const LineKey& key, RuleLine& line, double now) {
  std::map<Index, std::vector<const Host*>> found;
  std::size_t all = 0;
  for (const auto& host : cluster.hosts) {
    if (!host || host->phase != HostPhase::up || LineKey{host->type, host->spot} != key) continue;
    ++all;
    const Entry* entry = host->draining ? nullptr : entry_of(cluster, *host, now);
    // Its first minute is paid for in any case.
    if (entry != nullptr && entry->in_steps && now - host->rented_at >= kLeastCharge_s) {
      found[host->zone].push_back(host.get());
    }
  }
  if (found.empty()) return;
  auto at = std::max_element(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return a.second.size() < b.second.size();
  });
  std::vector<const Host*>& hosts = at->second;
  std::sort(hosts.begin(), hosts.end(), [](const Host* a, const Host* b) {
    return std::pair(a->attempts.size(), a->rented_at) <
           std::pair(b->attempts.size(), b->rented_at);
  });
  if (line.size == 0) {
    const auto kept = inherited_.find(name_of(cluster, key));
    line.size = kept == inherited_.end() ? rules_.steps.first : std::max(1u, kept->second.first);
    if (kept != inherited_.end()) line.halts = kept->second.second;
  }
  const auto most = static_cast<std::size_t>(
      std::max(1.0, std::floor(rules_.steps.most * static_cast<double>(all))));
  hosts.resize(std::min({hosts.size(), most, std::size_t{line.size}}));
  line.zone = at->first;
  line.old.clear();
  line.fresh.clear();
  line.failed = 0;
  line.refused = false;
  for (const Host* host : hosts) line.old.insert(host->name);
  line.phase = rules_.steps.surge ? Phase::renting : Phase::emptying;
  line.began = line.since = now;
  spdlog::info("drains: a step of {} {} machines in {}", hosts.size(), name_of(cluster, key),
               cluster.zones[line.zone]);
}

// The cloud had nothing for what the last step gave back: the next one waits until it has, or the
// fleet would be taken apart step by step.
bool Drains::misses_deadline(const Cluster& cluster, const LineKey& key, RuleLine& line,
                             double now) const {
  if (line.starved_at < 0) return false;
  const Pool pool{key.first, line.zone, key.second};
  const bool came = std::any_of(cluster.hosts.begin(), cluster.hosts.end(), [&](const auto& host) {
    return host && host->rented_at >= line.began &&
           Pool{host->type, host->zone, host->spot} == pool;
  });
  if (came || now - line.starved_at >= rules_.steps.again_s) line.starved_at = -1;
  return line.starved_at >= 0;
}

void Drains::watch_step(Cluster& cluster, const LineKey& key, RuleLine& line,
                        const Conditions& conditions, double now) {
  const Pool pool{key.first, line.zone, key.second};
  const auto* type = cluster.machine_type(key.first);
  const double boot_s = type == nullptr ? 60 : type->boot_s;
  bool boots = false;
  line.refused = line.refused || conditions.refused(pool);
  for (const auto& host : cluster.hosts) {
    if (!host || host->rented_at < line.began || Pool{host->type, host->zone, host->spot} != pool) {
      continue;
    }
    line.fresh.insert(host->name);
    boots = boots || (host->phase == HostPhase::booting && now - host->rented_at < kBoots * boot_s);
  }
  const auto next = [&](Phase phase) {
    line.phase = phase;
    line.since = now;
  };
  switch (line.phase) {
    case Phase::idle:
      return;
    case Phase::renting:
      // Where the cloud has no room the old ones are emptied first.
      if (conditions.refused(pool) || now - line.since > kBoots * boot_s + kRentingSees_s ||
          (now - line.since > kRentingSees_s && !boots)) {
        next(Phase::emptying);
      }
      return;
    case Phase::emptying:
      std::erase_if(line.old, [&](const std::string& name) {
        const auto at = cluster.host_index.find(name);
        if (at == cluster.host_index.end()) {
          ++gone_;
          return true;
        }
        // One that no entry names any more is not of the step.
        const Host& host = *cluster.hosts[at->second];
        return host.phase != HostPhase::terminating && entry_of(cluster, host, now) == nullptr;
      });
      if (line.old.empty()) next(Phase::settling);
      return;
    case Phase::settling:
      break;
  }
  // In a night that is bad for all nothing can be said of the new ones.
  if (!calm_) line.since = now;
  if (boots || now - line.since < rules_.steps.settle_s) return;
  line.failed = 0;
  for (const std::string& name : line.fresh) {
    const auto at = cluster.host_index.find(name);
    if (at == cluster.host_index.end()) continue;  // it has done its work, or was taken back
    const Host& host = *cluster.hosts[at->second];
    const bool sick =
        quarantine::fault_evidence(cluster, at->second) > 0 && host.reclaim_at == placement::kNever;
    if (host.phase == HostPhase::booting || sick) ++line.failed;
  }
  line.phase = Phase::idle;
  changed_ = true;
  if (static_cast<double>(line.failed) >
      rules_.steps.failures * static_cast<double>(line.fresh.size())) {
    line.halted_until = now + rules_.steps.again_s;
    line.size = rules_.steps.first;
    ++line.halts;
    spdlog::error("drains: {} of {} new {} machines in {} failed: {}", line.failed,
                  line.fresh.size(), name_of(cluster, key), cluster.zones[line.zone],
                  line.halts < kMostHalts ? "the step is tried once more later"
                                          : "no more steps until the rules are written anew");
    return;
  }
  line.halts = 0;
  if (line.refused && line.fresh.empty()) {
    line.starved_at = now;
    line.size = rules_.steps.first;
    spdlog::info("drains: the cloud has no {} machines in {}: no step before it has",
                 name_of(cluster, key), cluster.zones[line.zone]);
    return;
  }
  spdlog::info("drains: a step of {} in {} is over after {:.0f} s", name_of(cluster, key),
               cluster.zones[line.zone], now - line.began);
  line.size = std::min(line.size * 2, 100000u);
}

void Drains::step(Cluster& cluster, const Conditions& conditions, double now) {
  for (const auto& host : cluster.hosts) {
    if (host && host->type != kNone) lines_.try_emplace({host->type, host->spot});
  }
  const bool any = std::any_of(rules_.entries.begin(), rules_.entries.end(),
                               [](const Entry& entry) { return entry.in_steps; });
  const bool dear = rules_.steps.most_price < 1e12 &&
                    price_left(cluster, conditions, now) > rules_.steps.most_price;
  if (dear != std::exchange(dear_, dear)) {
    spdlog::info("drains: what is left to replace costs {} than most-price",
                 dear ? "more" : "less");
  }
  for (auto& [key, line] : lines_) {
    if (line.phase != Phase::idle) {
      watch_step(cluster, key, line, conditions, now);
      continue;
    }
    if (!any || !calm_ || dear || now < line.halted_until) continue;
    if (line.halts >= kMostHalts) {
      if (now - line.told_at >= kTellTeamsEvery_s) {
        line.told_at = now;
        spdlog::error("drains: {} is halted: its new machines failed twice", name_of(cluster, key));
      }
      continue;
    }
    if (!misses_deadline(cluster, key, line, now)) begin_step(cluster, key, line, now);
  }
}

void Drains::stop(Cluster& cluster, Index index, const std::vector<std::uint32_t>& tasks,
                  DrainActions& wishes, double now) {
  const Job& job = *cluster.jobs[index];
  if (moves_.moves(job.spec.id)) return;
  const bool saves = job.spec.checkpoint_s > 0;
  const bool array = job.spec.shape == jobs::Shape::array && !saves;
  const auto refuse = [&](const char* why) { ++waits_[job.spec.team][why]; };
  // As if a place were at hand, for which one has to search; what starts anew one by one needs none
  // but within its team's guarantee.
  for (const BudgetRejection full : {BudgetRejection::down, BudgetRejection::lost}) {
    if (full_.contains({job.team, full})) return refuse(drains::name_of(full));
  }
  Stop cost = stop_of(cluster, index, tasks, true, now);
  BudgetRejection refusal = budgets_.judge(rules_, cluster, tolls_, {cost}, now);
  if (refusal != BudgetRejection::none) {
    full_.insert({job.team, refusal});
    return refuse(drains::name_of(refusal));
  }
  cost.placed = false;
  std::map<std::uint32_t, Index> places;
  if (!array || budgets_.judge(rules_, cluster, tolls_, {cost}, now) != BudgetRejection::none) {
    if (searches_ == 0) return;
    --searches_;
    places = places_for(cluster, index, tasks, now);
    if (places.empty()) return refuse("no room elsewhere");
    moves_.begin(cluster, index, places, now);
  }
  budgets_.note(rules_, cluster, tolls_, cost, now);
  changed_ = true;
  std::set<Index> hosts;
  for (const std::uint32_t task : tasks) {
    hosts.insert(job.attempts.at(task).host);
    cluster.stop(index, task, saves ? job.spec.save_s + 1 : 0, true);
  }
  if (hosts.size() > 1)
    wishes.urgent_stops.insert(wishes.urgent_stops.end(), hosts.begin(), hosts.end());
  spdlog::info("job {}: {} tasks leave their machines", job.spec.id, tasks.size());
}

// What ends soon is left to end; what saves goes on elsewhere, gangs whole; tasks that save nothing
// are left for a while, then the youngest go first.
void Drains::empty(Cluster& cluster, Index index, DrainActions& wishes, double now) {
  Host& host = *cluster.hosts[index];
  const double since = going_since_.at(host.name);
  const std::set<TaskRef> refs = host.attempts;
  std::vector<std::pair<double, TaskRef>> running;  // by how long
  for (const TaskRef& ref : refs) {
    const auto& attempts = cluster.jobs[ref.job]->attempts;
    const auto at = attempts.find(ref.task);
    if (at == attempts.end()) continue;  // released with another one of its job
    const Attempt& attempt = at->second;
    if (!attempt.start_sent && !attempt.from_previous_leader &&
        attempt.observed == ObservedState::unobserved) {
      cluster.stop(ref.job, ref.task, 0, true);
      cluster.release_unsent(ref.job, now);
    } else if (attempt.observed == ObservedState::running && !attempt.stopping) {
      running.emplace_back(now - attempt.running_since, ref);
    }
  }
  std::sort(running.begin(), running.end());
  for (const auto& [ran, ref] : running) {
    const Job& job = *cluster.jobs[ref.job];
    const auto at = job.attempts.find(ref.task);
    if (at == job.attempts.end() || at->second.stopping || job.cancelled) continue;
    const bool service = job.spec.shape == jobs::Shape::service;
    const double left = job.spec.estimate_s - ran;
    const bool soon = !service && left > 0 && left <= rules_.soon_s;
    const bool patient = now - since < rules_.attrition_s;
    if ((soon || (job.spec.checkpoint_s <= 0 && !service)) && patient) continue;
    if (job.spec.shape != jobs::Shape::gang) {
      stop(cluster, ref.job, {ref.task}, wishes, now);
      continue;
    }
    // Whole, and only while all of it runs: one that gathers will run, or be incomplete.
    std::vector<std::uint32_t> tasks;
    for (const auto& [task, attempt] : job.attempts) {
      if (attempt.observed == ObservedState::running && !attempt.stopping) tasks.push_back(task);
    }
    if (tasks.size() == job.spec.tasks) stop(cluster, ref.job, tasks, wishes, now);
  }
}

DrainActions Drains::advance(Cluster& cluster, const Conditions& conditions, double now) {
  DrainActions wishes;
  if (!in_force()) return wishes;
  std::size_t known = 0, heard = 0;
  for (const auto& host : cluster.hosts) {
    if (!host || !should_be_heard(cluster, *host, now)) continue;
    ++known;
    heard += host->last_heartbeat_at >= 0 &&
             now - host->last_heartbeat_at < cluster.platform.workers.lease_s / 2;
  }
  const char* unrest = conditions.rolling ? "controllers are being changed"
                       : static_cast<double>(heard) < kHeard * static_cast<double>(known)
                           ? "too many machines are not heard"
                           : "";
  if (unrest != unrest_) {
    unrest_ = unrest;
    spdlog::info("drains: {}",
                 unrest_.empty() ? "work may be stopped" : "nothing is stopped: " + unrest_);
  }
  calm_ = unrest_.empty();
  mark(cluster, now);
  step(cluster, conditions, now);
  mark(cluster, now);
  waits_.clear();
  full_.clear();
  tolls_ = budgets_.tolls(cluster);
  searches_ = kMostSearches;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    Host* host = cluster.hosts[i].get();
    if (host == nullptr || !host->cordoned || host->phase == HostPhase::terminating) continue;
    if (calm_ && host->phase == HostPhase::up && host->reclaim_at == placement::kNever) {
      empty(cluster, i, wishes, now);
    }
    if (host->attempts.empty() && host->reserved == 0 && now - host->rented_at >= kLeastCharge_s) {
      wishes.scale_in.push_back(i);
    }
  }
  tell(cluster, conditions, now);
  return wishes;
}

bool Drains::may_yield(const Cluster& cluster, const std::vector<Index>& jobs, double now) {
  std::vector<Stop> stops;
  for (const Index index : jobs) {
    std::vector<std::uint32_t> tasks;
    for (const auto& [task, attempt] : cluster.jobs[index]->attempts) tasks.push_back(task);
    stops.push_back(stop_of(cluster, index, tasks, false, now));
  }
  std::vector<DisruptionCounts> tolls = budgets_.tolls(cluster);
  if (budgets_.judge(rules_, cluster, tolls, stops, now) != BudgetRejection::none) return false;
  for (const Stop& stop : stops) budgets_.note(rules_, cluster, tolls, stop, now);
  changed_ = true;
  return true;
}

// Of the new machines of what is yet to be replaced, while the old ones are charged as well.
double Drains::price_left(const Cluster& cluster, const Conditions& conditions, double now) const {
  double price = 0;
  for (const auto& host : cluster.hosts) {
    const auto* type = host ? cluster.type_of(*host) : nullptr;
    if (type == nullptr || host->phase == HostPhase::terminating) continue;
    const Entry* entry = entry_of(cluster, *host, now);
    if (entry == nullptr || !entry->in_steps) continue;
    const Pool pool{host->type, host->zone, host->spot};
    price += conditions.hour_price(pool) * std::max(type->boot_s, kLeastCharge_s) / 3600;
  }
  return price;
}

void Drains::tell(const Cluster& cluster, const Conditions& conditions, double now) {
  if (now - told_at_ >= kTellEvery_s) {
    told_at_ = now;
    std::size_t to_go = 0, emptying = 0;
    for (const auto& [text, count] : matched_) to_go += count;
    for (const auto& host : cluster.hosts) {
      if (host && host->phase != HostPhase::terminating) emptying += host->cordoned ? 1 : 0;
    }
    std::string more;
    for (Index team = 0; team < tolls_.size(); ++team) {
      const DisruptionCounts& toll = tolls_[team];
      if (toll.voluntary + toll.forced < 1) continue;
      more +=
          fmt::format("; {}: {:.0f} cores down by choice, {:.0f} otherwise, {:.0f} running",
                      cluster.platform.teams[team].name, toll.voluntary, toll.forced, toll.running);
    }
    for (const auto& [team, reasons] : waits_) {
      for (const auto& [why, count] : reasons) {
        more += fmt::format("; {} waits: {} ({})", team, why, count);
      }
    }
    spdlog::info(
        "drains: {} to go, {} emptying, {} gone in steps, {} jobs on their way, replacing what is "
        "left costs {:.2f} more{}",
        to_go, emptying, gone_, moves_.size(), price_left(cluster, conditions, now), more);
  }
  if (now - told_teams_at_ < kTellTeamsEvery_s) return;
  told_teams_at_ = now;
  const std::vector<DisruptionCounts> tolls = budgets_.tolls(cluster);
  for (Index team = 0; team < tolls.size(); ++team) {
    const std::string& name = cluster.platform.teams[team].name;
    spdlog::info(
        "drains: team {}: {:.0f} of {:.0f} core seconds lost in an hour, {} tasks stopped, {:.0f} "
        "cores down by choice, {:.0f} otherwise, {:.0f} running",
        name, budgets_.lost_core_s(rules_, name, now), rules_.budget_of(name).lost_core_s_an_hour,
        budgets_.stopped(name), tolls[team].voluntary, tolls[team].forced, tolls[team].running);
  }
}

wire::Json Drains::encode(const Cluster& cluster, double now) const {
  wire::Json record = budgets_.encode(rules_, cluster, now);
  record["lines"] = wire::Json::array();
  for (const auto& [key, line] : lines_) {
    if (line.size == 0) continue;
    record["lines"].push_back(
        {{"name", name_of(cluster, key)}, {"size", line.size}, {"halts", line.halts}});
  }
  return record;
}

void Drains::restore(const wire::Json& record, double now) {
  std::map<std::string, std::pair<std::uint32_t, int>> lines;
  if (!record.is_object()) throw wire::BadMessage("drains/used: not a map");
  for (const wire::Json& item : wire::list(record, "lines")) {
    lines[wire::text(item, "name")] = {
        static_cast<std::uint32_t>(wire::count(item, "size", 100000)),
        static_cast<int>(wire::count(item, "halts", kMostHalts))};
  }
  budgets_.restore(record, now);
  inherited_ = std::move(lines);
}

}  // namespace reachramp::drains
