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

constexpr double kMinBilledTime_s = 60;
constexpr double kStatusLogInterval_s = 60;
constexpr double kTeamLogInterval_s = 3600;
// The new machines of a step are waited for so many boot times; what comes later is used, too.
constexpr double kBootTimeoutInBootTimes = 3;
// A step looks for new machines from when renting has seen that the old ones count no more.
constexpr double kRentingDelay_s = 3;
// Work is stopped only while so much of the fleet is heard.
constexpr double kMinHeardShare = 0.99;
constexpr int kMaxFailedSteps = 2;
constexpr int kMaxPlaceSearchesPerPass = 8;  // for places, a pass: each looks at all machines

bool matches(const HostSelector& selector, const Cluster& cluster, const Host& host,
             const std::map<std::uint64_t, double>& accepted_at, double now) {
  if (!selector.host_names.empty() && !selector.host_names.contains(host.name)) return false;
  if (host.type == kNone)
    return !selector.host_names.empty() && !selector.type && !selector.zone && !selector.spot;
  if (selector.type && cluster.types[host.type] != *selector.type) return false;
  if (selector.zone && cluster.zones[host.zone] != *selector.zone) return false;
  if (selector.spot && host.spot != *selector.spot) return false;
  if (selector.older_than_s && now - host.rented_at < *selector.older_than_s) return false;
  if (selector.rented_before_serial) {
    // A serial may have been skipped: the first that was accepted after it counts.
    const auto at = accepted_at.lower_bound(*selector.rented_before_serial);
    if (at == accepted_at.end() || host.rented_at >= at->second) return false;
  }
  return true;
}

}  // namespace

void Drains::apply_policy(DrainPolicy policy, std::map<std::uint64_t, double> accepted_at,
                          double now) {
  accepted_at_ = std::move(accepted_at);
  if (policy == policy_) return;
  spdlog::info("drains: serial {} is in force, {} entries", policy.serial, policy.rules.size());
  policy_ = std::move(policy);
  for (auto& [key, line] : rollouts_)
    line.failed_steps = 0;  // whoever writes anew has looked into it
  status_logged_at_ = now - kStatusLogInterval_s + 5;
}

// Machines that are not empty yet serve again.
void Drains::cancel_all(Cluster& cluster) {
  if (!has_policy()) return;
  spdlog::info("drains: none is in force any more");
  for (const auto& host : cluster.hosts) {
    if (host) host->cordoned = host->to_be_replaced = false;
  }
  policy_ = {};
  rollouts_.clear();
  cordoned_since_.clear();
  host_count_by_rule_.clear();
}

const DrainRule* Drains::matching_rule(const Cluster& cluster, const Host& host, double now) const {
  const auto at =
      std::find_if(policy_.rules.begin(), policy_.rules.end(), [&](const DrainRule& entry) {
        return matches(entry.selector, cluster, host, accepted_at_, now);
      });
  return at == policy_.rules.end() ? nullptr : &*at;
}

std::set<Pool> Drains::closed_pools(const Cluster& cluster) const {
  std::set<Pool> pools;
  for (const DrainRule& entry : policy_.rules) {
    if (entry.is_rolling || !entry.selector.selects_whole_pools()) continue;
    for (Index type = 0; type < cluster.types.size(); ++type) {
      for (Index zone = 0; zone < cluster.zones.size(); ++zone) {
        for (const bool spot : {false, true}) {
          const HostSelector& match = entry.selector;
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
void Drains::mark_hosts(Cluster& cluster, double now) {
  std::map<std::string, std::size_t> matched;
  for (const auto& host : cluster.hosts) {
    if (!host || host->phase == HostPhase::terminating) continue;
    const DrainRule* entry = matching_rule(cluster, *host, now);
    if (entry != nullptr) ++matched[entry->source_text];
    const Rollout* line = nullptr;
    if (entry != nullptr && entry->is_rolling) {
      const auto at = rollouts_.find({host->type, host->spot});
      if (at != rollouts_.end() && at->second.old_hosts.contains(host->name)) line = &at->second;
    }
    host->to_be_replaced = line != nullptr && line->phase == Phase::renting;
    host->cordoned = entry != nullptr &&
                     (!entry->is_rolling || (line != nullptr && line->phase == Phase::draining));
    if (host->cordoned) {
      cordoned_since_.try_emplace(host->name, now);
    } else {
      cordoned_since_.erase(host->name);
    }
  }
  std::erase_if(cordoned_since_,
                [&](const auto& one) { return !cluster.host_index.contains(one.first); });
  for (const auto& [text, count] : matched) {
    if (!host_count_by_rule_.contains(text))
      spdlog::info("drain begins: {}: {} machines", text, count);
  }
  for (const auto& [text, count] : host_count_by_rule_) {
    if (!matched.contains(text)) spdlog::info("drain ends: {}: no machine is left", text);
  }
  host_count_by_rule_ = std::move(matched);
}

std::string Drains::rollout_name(const Cluster& cluster, const RolloutKey& key) const {
  return std::string(key.second ? "spot " : "ordinary ") + cluster.types[key.first];
}

// The zone with the most to replace; there those that would go back anyway, then those with the
// least work on them.
void Drains::begin_step(Cluster& cluster, const RolloutKey& key, Rollout& rollout, double now) {
  std::map<Index, std::vector<const Host*>> candidates;
  std::size_t pool_size = 0;
  for (const auto& host : cluster.hosts) {
    if (!host || host->phase != HostPhase::up || RolloutKey{host->type, host->spot} != key)
      continue;
    ++pool_size;
    const DrainRule* entry = host->draining ? nullptr : matching_rule(cluster, *host, now);
    // Its first minute is paid for in any case.
    if (entry != nullptr && entry->is_rolling && now - host->rented_at >= kMinBilledTime_s) {
      candidates[host->zone].push_back(host.get());
    }
  }
  if (candidates.empty()) return;
  auto at = std::max_element(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
  std::vector<const Host*>& hosts = at->second;
  std::sort(hosts.begin(), hosts.end(), [](const Host* a, const Host* b) {
    return std::pair(a->attempts.size(), a->rented_at) <
           std::pair(b->attempts.size(), b->rented_at);
  });
  if (rollout.step_size == 0) {
    const auto inherited = inherited_rollouts_.find(rollout_name(cluster, key));
    rollout.step_size = inherited == inherited_rollouts_.end()
                            ? policy_.rollout.first_step_size
                            : std::max(1u, inherited->second.first);
    if (inherited != inherited_rollouts_.end()) rollout.failed_steps = inherited->second.second;
  }
  const auto max_step = static_cast<std::size_t>(
      std::max(1.0, std::floor(policy_.rollout.max_step_share * static_cast<double>(pool_size))));
  hosts.resize(std::min({hosts.size(), max_step, std::size_t{rollout.step_size}}));
  rollout.zone = at->first;
  rollout.old_hosts.clear();
  rollout.new_hosts.clear();
  rollout.failed_new_hosts = 0;
  rollout.was_refused = false;
  for (const Host* host : hosts) rollout.old_hosts.insert(host->name);
  rollout.phase = policy_.rollout.surge ? Phase::renting : Phase::draining;
  rollout.step_began_at = rollout.phase_since = now;
  spdlog::info("drains: a step of {} {} machines in {}", hosts.size(), rollout_name(cluster, key),
               cluster.zones[rollout.zone]);
}

// The cloud had nothing for what the last step gave back: the next one waits until it has, or the
// fleet would be taken apart step by step.
bool Drains::waits_for_capacity(const Cluster& cluster, const RolloutKey& key, Rollout& rollout,
                                double now) const {
  if (rollout.no_capacity_since < 0) return false;
  const Pool pool{key.first, rollout.zone, key.second};
  const bool rented_since =
      std::any_of(cluster.hosts.begin(), cluster.hosts.end(), [&](const auto& host) {
        return host && host->rented_at >= rollout.step_began_at &&
               Pool{host->type, host->zone, host->spot} == pool;
      });
  if (rented_since || now - rollout.no_capacity_since >= policy_.rollout.retry_after_s)
    rollout.no_capacity_since = -1;
  return rollout.no_capacity_since >= 0;
}

void Drains::advance_step(Cluster& cluster, const RolloutKey& key, Rollout& rollout,
                          const FleetConditions& conditions, double now) {
  const Pool pool{key.first, rollout.zone, key.second};
  const auto* type = cluster.machine_type(key.first);
  const double boot_s = type == nullptr ? 60 : type->boot_s;
  bool any_booting = false;
  rollout.was_refused = rollout.was_refused || conditions.recently_refused(pool);
  for (const auto& host : cluster.hosts) {
    if (!host || host->rented_at < rollout.step_began_at ||
        Pool{host->type, host->zone, host->spot} != pool) {
      continue;
    }
    rollout.new_hosts.insert(host->name);
    any_booting = any_booting || (host->phase == HostPhase::booting &&
                                  now - host->rented_at < kBootTimeoutInBootTimes * boot_s);
  }
  const auto next = [&](Phase phase) {
    rollout.phase = phase;
    rollout.phase_since = now;
  };
  switch (rollout.phase) {
    case Phase::idle:
      return;
    case Phase::renting:
      // Where the cloud has no room the old ones are emptied first.
      if (conditions.recently_refused(pool) ||
          now - rollout.phase_since > kBootTimeoutInBootTimes * boot_s + kRentingDelay_s ||
          (now - rollout.phase_since > kRentingDelay_s && !any_booting)) {
        next(Phase::draining);
      }
      return;
    case Phase::draining:
      std::erase_if(rollout.old_hosts, [&](const std::string& name) {
        const auto at = cluster.host_index.find(name);
        if (at == cluster.host_index.end()) {
          ++replaced_hosts_;
          return true;
        }
        // One that no entry names any more is not of the step.
        const Host& host = *cluster.hosts[at->second];
        return host.phase != HostPhase::terminating && matching_rule(cluster, host, now) == nullptr;
      });
      if (rollout.old_hosts.empty()) next(Phase::soaking);
      return;
    case Phase::soaking:
      break;
  }
  // In a night that is bad for all nothing can be said of the new ones.
  if (!stops_allowed_) rollout.phase_since = now;
  if (any_booting || now - rollout.phase_since < policy_.rollout.soak_s) return;
  rollout.failed_new_hosts = 0;
  for (const std::string& name : rollout.new_hosts) {
    const auto at = cluster.host_index.find(name);
    if (at == cluster.host_index.end()) continue;  // it has done its work, or was taken back
    const Host& host = *cluster.hosts[at->second];
    const bool faulty =
        quarantine::fault_evidence(cluster, at->second) > 0 && host.reclaim_at == placement::kNever;
    if (host.phase == HostPhase::booting || faulty) ++rollout.failed_new_hosts;
  }
  rollout.phase = Phase::idle;
  has_unwritten_changes_ = true;
  if (static_cast<double>(rollout.failed_new_hosts) >
      policy_.rollout.max_failed_share * static_cast<double>(rollout.new_hosts.size())) {
    rollout.halted_until = now + policy_.rollout.retry_after_s;
    rollout.step_size = policy_.rollout.first_step_size;
    ++rollout.failed_steps;
    spdlog::error("drains: {} of {} new {} machines in {} failed: {}", rollout.failed_new_hosts,
                  rollout.new_hosts.size(), rollout_name(cluster, key), cluster.zones[rollout.zone],
                  rollout.failed_steps < kMaxFailedSteps
                      ? "the step is tried once more later"
                      : "no more steps until the rules are written anew");
    return;
  }
  rollout.failed_steps = 0;
  if (rollout.was_refused && rollout.new_hosts.empty()) {
    rollout.no_capacity_since = now;
    rollout.step_size = policy_.rollout.first_step_size;
    spdlog::info("drains: the cloud has no {} machines in {}: no step before it has",
                 rollout_name(cluster, key), cluster.zones[rollout.zone]);
    return;
  }
  spdlog::info("drains: a step of {} in {} is over after {:.0f} s", rollout_name(cluster, key),
               cluster.zones[rollout.zone], now - rollout.step_began_at);
  rollout.step_size = std::min(rollout.step_size * 2, 100000u);
}

void Drains::advance_rollouts(Cluster& cluster, const FleetConditions& conditions, double now) {
  for (const auto& host : cluster.hosts) {
    if (host && host->type != kNone) rollouts_.try_emplace({host->type, host->spot});
  }
  const bool has_rolling_rule =
      std::any_of(policy_.rules.begin(), policy_.rules.end(),
                  [](const DrainRule& entry) { return entry.is_rolling; });
  const bool exceeds_cost_limit =
      policy_.rollout.max_remaining_cost < 1e12 &&
      remaining_cost(cluster, conditions, now) > policy_.rollout.max_remaining_cost;
  if (exceeds_cost_limit != std::exchange(exceeds_cost_limit_, exceeds_cost_limit)) {
    spdlog::info("drains: what is left to replace costs {} than most-price",
                 exceeds_cost_limit ? "more" : "less");
  }
  for (auto& [key, line] : rollouts_) {
    if (line.phase != Phase::idle) {
      advance_step(cluster, key, line, conditions, now);
      continue;
    }
    if (!has_rolling_rule || !stops_allowed_ || exceeds_cost_limit || now < line.halted_until)
      continue;
    if (line.failed_steps >= kMaxFailedSteps) {
      if (now - line.halt_logged_at >= kTeamLogInterval_s) {
        line.halt_logged_at = now;
        spdlog::error("drains: {} is halted: its new machines failed twice",
                      rollout_name(cluster, key));
      }
      continue;
    }
    if (!waits_for_capacity(cluster, key, line, now)) begin_step(cluster, key, line, now);
  }
}

void Drains::try_stop_tasks(Cluster& cluster, Index index, const std::vector<std::uint32_t>& tasks,
                            DrainActions& actions, double now) {
  const Job& job = *cluster.jobs[index];
  if (moves_.is_moving(job.spec.id)) return;
  const bool saves = job.spec.checkpoint_interval_s > 0;
  const bool restarts_from_scratch = job.spec.shape == jobs::Shape::array && !saves;
  const auto refuse = [&](const char* why) { ++refused_stops_[job.spec.team][why]; };
  // As if a place were at hand, for which one has to search; what starts anew one by one needs none
  // but within its team's guarantee.
  for (const BudgetRejection exhausted :
       {BudgetRejection::too_much_down, BudgetRejection::too_much_lost_work}) {
    if (exhausted_budgets_.contains({job.team, exhausted}))
      return refuse(drains::name_of(exhausted));
  }
  PlannedStop planned = estimate_stop(cluster, index, tasks, true, now);
  BudgetRejection refusal = budget_tracker_.check(policy_, cluster, disruption_, {planned}, now);
  if (refusal != BudgetRejection::none) {
    exhausted_budgets_.insert({job.team, refusal});
    return refuse(drains::name_of(refusal));
  }
  planned.has_next_place = false;
  std::map<std::uint32_t, Index> places;
  if (!restarts_from_scratch || budget_tracker_.check(policy_, cluster, disruption_, {planned},
                                                      now) != BudgetRejection::none) {
    if (place_searches_left_ == 0) return;
    --place_searches_left_;
    places = find_places(cluster, index, tasks, now);
    if (places.empty()) return refuse("no room elsewhere");
    moves_.start(cluster, index, places, now);
  }
  budget_tracker_.charge(policy_, cluster, disruption_, planned, now);
  has_unwritten_changes_ = true;
  std::set<Index> hosts;
  for (const std::uint32_t task : tasks) {
    hosts.insert(job.attempts.at(task).host);
    cluster.request_stop(index, task, saves ? job.spec.checkpoint_duration_s + 1 : 0, true);
  }
  if (hosts.size() > 1)
    actions.hosts_to_notify.insert(actions.hosts_to_notify.end(), hosts.begin(), hosts.end());
  spdlog::info("job {}: {} tasks leave their machines", job.spec.id, tasks.size());
}

// What ends soon is left to end; what saves goes on elsewhere, gangs whole; tasks that save nothing
// are left for a while, then the youngest go first.
void Drains::drain_host(Cluster& cluster, Index index, DrainActions& actions, double now) {
  Host& host = *cluster.hosts[index];
  const double cordoned_since = cordoned_since_.at(host.name);
  const std::set<TaskRef> refs = host.attempts;
  std::vector<std::pair<double, TaskRef>> running;  // by how long
  for (const TaskRef& ref : refs) {
    const auto& attempts = cluster.jobs[ref.job]->attempts;
    const auto at = attempts.find(ref.task);
    if (at == attempts.end()) continue;  // released with another one of its job
    const Attempt& attempt = at->second;
    if (!attempt.start_sent && !attempt.from_previous_leader &&
        attempt.observed_state == ObservedState::unobserved) {
      cluster.request_stop(ref.job, ref.task, 0, true);
      cluster.end_unsent_attempts(ref.job, now);
    } else if (attempt.observed_state == ObservedState::running && !attempt.stopping) {
      running.emplace_back(now - attempt.running_since, ref);
    }
  }
  std::sort(running.begin(), running.end());
  for (const auto& [ran_s, ref] : running) {
    const Job& job = *cluster.jobs[ref.job];
    const auto at = job.attempts.find(ref.task);
    if (at == job.attempts.end() || at->second.stopping || job.cancelled) continue;
    const bool service = job.spec.shape == jobs::Shape::service;
    const double left_s = job.spec.estimated_duration_s - ran_s;
    const bool ends_soon = !service && left_s > 0 && left_s <= policy_.ending_soon_s;
    const bool within_grace_period = now - cordoned_since < policy_.grace_period_s;
    if ((ends_soon || (job.spec.checkpoint_interval_s <= 0 && !service)) && within_grace_period)
      continue;
    if (job.spec.shape != jobs::Shape::gang) {
      try_stop_tasks(cluster, ref.job, {ref.task}, actions, now);
      continue;
    }
    // Whole, and only while all of it runs: one that gathers will run, or be incomplete.
    std::vector<std::uint32_t> tasks;
    for (const auto& [task, attempt] : job.attempts) {
      if (attempt.observed_state == ObservedState::running && !attempt.stopping)
        tasks.push_back(task);
    }
    if (tasks.size() == job.spec.tasks) try_stop_tasks(cluster, ref.job, tasks, actions, now);
  }
}

DrainActions Drains::advance(Cluster& cluster, const FleetConditions& conditions, double now) {
  DrainActions actions;
  if (!has_policy()) return actions;
  std::size_t expected = 0, heard = 0;
  for (const auto& host : cluster.hosts) {
    if (!host || !is_expected_to_report(cluster, *host, now)) continue;
    ++expected;
    heard += host->last_heartbeat_at >= 0 &&
             now - host->last_heartbeat_at < cluster.platform.worker_timings.lease_s / 2;
  }
  const char* block_reason =
      conditions.upgrade_in_progress ? "controllers are being changed"
      : static_cast<double>(heard) < kMinHeardShare * static_cast<double>(expected)
          ? "too many machines are not heard"
          : "";
  if (block_reason != block_reason_) {
    block_reason_ = block_reason;
    spdlog::info("drains: {}", block_reason_.empty() ? "work may be stopped"
                                                     : "nothing is stopped: " + block_reason_);
  }
  stops_allowed_ = block_reason_.empty();
  mark_hosts(cluster, now);
  advance_rollouts(cluster, conditions, now);
  mark_hosts(cluster, now);
  refused_stops_.clear();
  exhausted_budgets_.clear();
  disruption_ = budget_tracker_.disruption_by_team(cluster);
  place_searches_left_ = kMaxPlaceSearchesPerPass;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    Host* host = cluster.hosts[i].get();
    if (host == nullptr || !host->cordoned || host->phase == HostPhase::terminating) continue;
    if (stops_allowed_ && host->phase == HostPhase::up && host->reclaim_at == placement::kNever) {
      drain_host(cluster, i, actions, now);
    }
    if (host->attempts.empty() && host->reserved_tasks == 0 &&
        now - host->rented_at >= kMinBilledTime_s) {
      actions.hosts_to_return.push_back(i);
    }
  }
  log_status(cluster, conditions, now);
  return actions;
}

bool Drains::approve_preemption(const Cluster& cluster, const std::vector<Index>& jobs,
                                double now) {
  std::vector<PlannedStop> stops;
  for (const Index index : jobs) {
    std::vector<std::uint32_t> tasks;
    for (const auto& [task, attempt] : cluster.jobs[index]->attempts) tasks.push_back(task);
    stops.push_back(estimate_stop(cluster, index, tasks, false, now));
  }
  std::vector<DisruptedCores> disruption = budget_tracker_.disruption_by_team(cluster);
  if (budget_tracker_.check(policy_, cluster, disruption, stops, now) != BudgetRejection::none)
    return false;
  for (const PlannedStop& stop : stops)
    budget_tracker_.charge(policy_, cluster, disruption, stop, now);
  has_unwritten_changes_ = true;
  return true;
}

// Of the new machines of what is yet to be replaced, while the old ones are charged as well.
double Drains::remaining_cost(const Cluster& cluster, const FleetConditions& conditions,
                              double now) const {
  double price = 0;
  for (const auto& host : cluster.hosts) {
    const auto* type = host ? cluster.type_of(*host) : nullptr;
    if (type == nullptr || host->phase == HostPhase::terminating) continue;
    const DrainRule* entry = matching_rule(cluster, *host, now);
    if (entry == nullptr || !entry->is_rolling) continue;
    const Pool pool{host->type, host->zone, host->spot};
    price += conditions.price_per_hour(pool) * std::max(type->boot_s, kMinBilledTime_s) / 3600;
  }
  return price;
}

void Drains::log_status(const Cluster& cluster, const FleetConditions& conditions, double now) {
  if (now - status_logged_at_ >= kStatusLogInterval_s) {
    status_logged_at_ = now;
    std::size_t to_drain = 0, emptying = 0;
    for (const auto& [text, count] : host_count_by_rule_) to_drain += count;
    for (const auto& host : cluster.hosts) {
      if (host && host->phase != HostPhase::terminating) emptying += host->cordoned ? 1 : 0;
    }
    std::string details;
    for (Index team = 0; team < disruption_.size(); ++team) {
      const DisruptedCores& team_disruption = disruption_[team];
      if (team_disruption.voluntary + team_disruption.involuntary < 1) continue;
      details += fmt::format("; {}: {:.0f} cores down by choice, {:.0f} otherwise, {:.0f} running",
                             cluster.platform.teams[team].name, team_disruption.voluntary,
                             team_disruption.involuntary, team_disruption.running);
    }
    for (const auto& [team, reasons] : refused_stops_) {
      for (const auto& [why, count] : reasons) {
        details += fmt::format("; {} waits: {} ({})", team, why, count);
      }
    }
    spdlog::info(
        "drains: {} to go, {} emptying, {} gone in steps, {} jobs on their way, replacing what is "
        "left costs {:.2f} more{}",
        to_drain, emptying, replaced_hosts_, moves_.size(),
        remaining_cost(cluster, conditions, now), details);
  }
  if (now - team_usage_logged_at_ < kTeamLogInterval_s) return;
  team_usage_logged_at_ = now;
  const std::vector<DisruptedCores> disruption = budget_tracker_.disruption_by_team(cluster);
  for (Index team = 0; team < disruption.size(); ++team) {
    const std::string& name = cluster.platform.teams[team].name;
    spdlog::info(
        "drains: team {}: {:.0f} of {:.0f} core seconds lost in an hour, {} tasks stopped, {:.0f} "
        "cores down by choice, {:.0f} otherwise, {:.0f} running",
        name, budget_tracker_.lost_core_s(policy_, name, now),
        policy_.budget_of(name).max_lost_core_s_per_hour, budget_tracker_.stopped_tasks(name),
        disruption[team].voluntary, disruption[team].involuntary, disruption[team].running);
  }
}

wire::Json Drains::encode(const Cluster& cluster, double now) const {
  wire::Json record = budget_tracker_.encode(policy_, cluster, now);
  record["lines"] = wire::Json::array();
  for (const auto& [key, rollout] : rollouts_) {
    if (rollout.step_size == 0) continue;
    record["lines"].push_back({{"name", rollout_name(cluster, key)},
                               {"size", rollout.step_size},
                               {"halts", rollout.failed_steps}});
  }
  return record;
}

void Drains::restore(const wire::Json& record, double now) {
  std::map<std::string, std::pair<std::uint32_t, int>> rollouts;
  if (!record.is_object()) throw wire::BadMessage("drains/used: not a map");
  for (const wire::Json& item : wire::list(record, "lines")) {
    rollouts[wire::text(item, "name")] = {
        static_cast<std::uint32_t>(wire::count(item, "size", 100000)),
        static_cast<int>(wire::count(item, "halts", kMaxFailedSteps))};
  }
  budget_tracker_.restore(record, now);
  inherited_rollouts_ = std::move(rollouts);
}

}  // namespace reachramp::drains
