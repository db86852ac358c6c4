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
// A step waits this many boot times for its new machines. Machines that come later are used as
// well.
constexpr double kBootTimeoutInBootTimes = 3;
// A step expects new machines only after this time: the autoscaler first has to see that the old
// machines no longer count as capacity.
constexpr double kRentingDelay_s = 3;
// No task is stopped voluntarily unless at least this share of the machines sends heartbeats.
constexpr double kMinHeardShare = 0.99;
constexpr int kMaxFailedSteps = 2;
constexpr int kMaxPlaceSearchesPerPass = 8;  // each search visits all machines

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
    // If the serial itself was never accepted, the next higher one that was accepted counts.
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
  spdlog::info("drains: policy with serial {} is in force, {} rules", policy.serial,
               policy.rules.size());
  policy_ = std::move(policy);
  for (auto& [key, rollout] : rollouts_)
    // The operator who changed the policy is expected to have dealt with the failures.
    rollout.failed_steps = 0;
  status_logged_at_ = now - kStatusLogInterval_s + 5;
}

void Drains::cancel_all(Cluster& cluster) {
  if (!has_policy()) return;
  spdlog::info("drains: no policy is in force any more");
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
      std::find_if(policy_.rules.begin(), policy_.rules.end(), [&](const DrainRule& rule) {
        return matches(rule.selector, cluster, host, accepted_at_, now);
      });
  return at == policy_.rules.end() ? nullptr : &*at;
}

std::set<Pool> Drains::closed_pools(const Cluster& cluster) const {
  std::set<Pool> pools;
  for (const DrainRule& rule : policy_.rules) {
    if (rule.is_rolling || !rule.selector.selects_whole_pools()) continue;
    for (Index type = 0; type < cluster.types.size(); ++type) {
      for (Index zone = 0; zone < cluster.zones.size(); ++zone) {
        for (const bool spot : {false, true}) {
          const HostSelector& selector = rule.selector;
          if ((!selector.type || *selector.type == cluster.types[type]) &&
              (!selector.zone || *selector.zone == cluster.zones[zone]) &&
              (!selector.spot || *selector.spot == spot)) {
            pools.insert({type, zone, spot});
          }
        }
      }
    }
  }
  return pools;
}

// Decides for each machine, on every pass, whether it is drained or about to be replaced, so that a
// drain ends as soon as its rule is removed from the policy.
void Drains::mark_hosts(Cluster& cluster, double now) {
  std::map<std::string, std::size_t> host_counts;
  for (const auto& host : cluster.hosts) {
    if (!host || host->phase == HostPhase::terminating) continue;
    const DrainRule* rule = matching_rule(cluster, *host, now);
    if (rule != nullptr) ++host_counts[rule->source_text];
    const Rollout* rollout = nullptr;
    if (rule != nullptr && rule->is_rolling) {
      const auto at = rollouts_.find({host->type, host->spot});
      if (at != rollouts_.end() && at->second.old_hosts.contains(host->name)) rollout = &at->second;
    }
    host->to_be_replaced = rollout != nullptr && rollout->phase == Phase::renting;
    host->cordoned = rule != nullptr && (!rule->is_rolling ||
                                         (rollout != nullptr && rollout->phase == Phase::draining));
    if (host->cordoned) {
      cordoned_since_.try_emplace(host->name, now);
    } else {
      cordoned_since_.erase(host->name);
    }
  }
  std::erase_if(cordoned_since_,
                [&](const auto& one) { return !cluster.host_index.contains(one.first); });
  for (const auto& [text, count] : host_counts) {
    if (!host_count_by_rule_.contains(text))
      spdlog::info("drain started: {}: {} machines", text, count);
  }
  for (const auto& [text, count] : host_count_by_rule_) {
    if (!host_counts.contains(text))
      spdlog::info("drain ended: {}: no machine matches any more", text);
  }
  host_count_by_rule_ = std::move(host_counts);
}

std::string Drains::rollout_name(const Cluster& cluster, const RolloutKey& key) const {
  return std::string(key.second ? "spot " : "ordinary ") + cluster.types[key.first];
}

// Chooses the zone with the most machines to replace. In it, idle machines come first, which would
// be returned anyway, then those with the fewest tasks.
void Drains::begin_step(Cluster& cluster, const RolloutKey& key, Rollout& rollout, double now) {
  std::map<Index, std::vector<const Host*>> candidates;
  std::size_t pool_size = 0;
  for (const auto& host : cluster.hosts) {
    if (!host || host->phase != HostPhase::up || RolloutKey{host->type, host->spot} != key)
      continue;
    ++pool_size;
    const DrainRule* rule = host->draining ? nullptr : matching_rule(cluster, *host, now);
    // The cloud bills this minimum in any case, so replacing the machine earlier saves nothing.
    if (rule != nullptr && rule->is_rolling && now - host->rented_at >= kMinBilledTime_s) {
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
  spdlog::info("drains: step started: {} {} machines in zone {}", hosts.size(),
               rollout_name(cluster, key), cluster.zones[rollout.zone]);
}

// Whether the next step has to wait, because the cloud had no machine to replace those that the
// last step returned. Without this wait the fleet would shrink with each step.
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
  const auto enter_phase = [&](Phase phase) {
    rollout.phase = phase;
    rollout.phase_since = now;
  };
  switch (rollout.phase) {
    case Phase::idle:
      return;
    case Phase::renting:
      // If the cloud has no capacity, the old machines are drained first.
      if (conditions.recently_refused(pool) ||
          now - rollout.phase_since > kBootTimeoutInBootTimes * boot_s + kRentingDelay_s ||
          (now - rollout.phase_since > kRentingDelay_s && !any_booting)) {
        enter_phase(Phase::draining);
      }
      return;
    case Phase::draining:
      std::erase_if(rollout.old_hosts, [&](const std::string& name) {
        const auto at = cluster.host_index.find(name);
        if (at == cluster.host_index.end()) {
          ++replaced_hosts_;
          return true;
        }
        // A machine that no rule matches any more leaves the step.
        const Host& host = *cluster.hosts[at->second];
        return host.phase != HostPhase::terminating && matching_rule(cluster, host, now) == nullptr;
      });
      if (rollout.old_hosts.empty()) enter_phase(Phase::soaking);
      return;
    case Phase::soaking:
      break;
  }
  // While stops are blocked, for instance during an outage, failures say nothing about the new
  // machines, so the soak time starts again.
  if (!stops_allowed_) rollout.phase_since = now;
  if (any_booting || now - rollout.phase_since < policy_.rollout.soak_s) return;
  rollout.failed_new_hosts = 0;
  for (const std::string& name : rollout.new_hosts) {
    const auto at = cluster.host_index.find(name);
    if (at == cluster.host_index.end())
      continue;  // returned after its work was done, or reclaimed by the cloud
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
    spdlog::error(
        "drains: {} of {} new {} machines in zone {} failed: {}", rollout.failed_new_hosts,
        rollout.new_hosts.size(), rollout_name(cluster, key), cluster.zones[rollout.zone],
        rollout.failed_steps < kMaxFailedSteps ? "the step is retried once later"
                                               : "no more steps until the policy changes");
    return;
  }
  rollout.failed_steps = 0;
  if (rollout.was_refused && rollout.new_hosts.empty()) {
    rollout.no_capacity_since = now;
    rollout.step_size = policy_.rollout.first_step_size;
    spdlog::info(
        "drains: the cloud has no {} machines in zone {}: the next step waits for capacity",
        rollout_name(cluster, key), cluster.zones[rollout.zone]);
    return;
  }
  spdlog::info("drains: step of {} in zone {} finished after {:.0f} s", rollout_name(cluster, key),
               cluster.zones[rollout.zone], now - rollout.step_began_at);
  rollout.step_size = std::min(rollout.step_size * 2, 100000u);
}

void Drains::advance_rollouts(Cluster& cluster, const FleetConditions& conditions, double now) {
  for (const auto& host : cluster.hosts) {
    if (host && host->type != kNone) rollouts_.try_emplace({host->type, host->spot});
  }
  const bool has_rolling_rule = std::any_of(policy_.rules.begin(), policy_.rules.end(),
                                            [](const DrainRule& rule) { return rule.is_rolling; });
  const bool exceeds_cost_limit =
      policy_.rollout.max_remaining_cost < 1e12 &&
      remaining_cost(cluster, conditions, now) > policy_.rollout.max_remaining_cost;
  if (exceeds_cost_limit != std::exchange(exceeds_cost_limit_, exceeds_cost_limit)) {
    spdlog::info("drains: the remaining replacement costs {} than most-price",
                 exceeds_cost_limit ? "more" : "less");
  }
  for (auto& [key, rollout] : rollouts_) {
    if (rollout.phase != Phase::idle) {
      advance_step(cluster, key, rollout, conditions, now);
      continue;
    }
    if (!has_rolling_rule || !stops_allowed_ || exceeds_cost_limit || now < rollout.halted_until)
      continue;
    if (rollout.failed_steps >= kMaxFailedSteps) {
      if (now - rollout.halt_logged_at >= kTeamLogInterval_s) {
        rollout.halt_logged_at = now;
        spdlog::error("drains: replacement of {} is halted: its new machines failed twice",
                      rollout_name(cluster, key));
      }
      continue;
    }
    if (!waits_for_capacity(cluster, key, rollout, now)) begin_step(cluster, key, rollout, now);
  }
}

void Drains::try_stop_tasks(Cluster& cluster, Index index, const std::vector<std::uint32_t>& tasks,
                            DrainActions& actions, double now) {
  const Job& job = *cluster.jobs[index];
  if (moves_.is_moving(job.spec.id)) return;
  const bool has_checkpoints = job.spec.checkpoint_interval_s > 0;
  const bool restarts_from_scratch = job.spec.shape == jobs::Shape::array && !has_checkpoints;
  const auto refuse = [&](const char* reason) { ++refused_stops_[job.spec.team][reason]; };
  // First checks the budgets as if there were room elsewhere, because a search for room is
  // expensive. Tasks of arrays without checkpoints can restart anywhere one by one and need no
  // search, unless their team is within its guarantee.
  for (const BudgetRejection exhausted :
       {BudgetRejection::too_much_down, BudgetRejection::too_much_lost_work}) {
    if (exhausted_budgets_.contains({job.team, exhausted}))
      return refuse(drains::name_of(exhausted));
  }
  PlannedStop planned = estimate_stop(cluster, index, tasks, true, now);
  BudgetRejection rejection = budget_tracker_.check(policy_, cluster, disruption_, {planned}, now);
  if (rejection != BudgetRejection::none) {
    exhausted_budgets_.insert({job.team, rejection});
    return refuse(drains::name_of(rejection));
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
    cluster.request_stop(index, task, has_checkpoints ? job.spec.checkpoint_duration_s + 1 : 0,
                         true);
  }
  if (hosts.size() > 1)
    actions.hosts_to_notify.insert(actions.hosts_to_notify.end(), hosts.begin(), hosts.end());
  spdlog::info("job {}: stopping {} tasks on drained machines", job.spec.id, tasks.size());
}

// Stops the tasks on a cordoned machine as far as the budgets allow. Tasks that are about to end,
// and tasks without checkpoints, may run on during the grace period. Tasks with checkpoints and
// services move to other machines, gangs as a whole. The tasks that ran for the shortest time are
// stopped first.
void Drains::drain_host(Cluster& cluster, Index index, DrainActions& actions, double now) {
  Host& host = *cluster.hosts[index];
  const double cordoned_since = cordoned_since_.at(host.name);
  const std::set<TaskRef> refs = host.attempts;
  // Running tasks, with the time in seconds that each has run.
  std::vector<std::pair<double, TaskRef>> running;
  for (const TaskRef& ref : refs) {
    const auto& attempts = cluster.jobs[ref.job]->attempts;
    const auto at = attempts.find(ref.task);
    if (at == attempts.end()) continue;  // ended together with another task of its job
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
    const bool is_service = job.spec.shape == jobs::Shape::service;
    const double remaining_s = job.spec.estimated_duration_s - ran_s;
    const bool ends_soon = !is_service && remaining_s > 0 && remaining_s <= policy_.ending_soon_s;
    const bool within_grace_period = now - cordoned_since < policy_.grace_period_s;
    if ((ends_soon || (job.spec.checkpoint_interval_s <= 0 && !is_service)) && within_grace_period)
      continue;
    if (job.spec.shape != jobs::Shape::gang) {
      try_stop_tasks(cluster, ref.job, {ref.task}, actions, now);
      continue;
    }
    // A gang is stopped only as a whole and while all its tasks run. A gang that is still starting
    // will either run completely or be stopped as incomplete.
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
    spdlog::info("drains: {}", block_reason_.empty()
                                   ? "voluntary stops are allowed"
                                   : "voluntary stops are blocked: " + block_reason_);
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

// The cost of replacing the remaining machines: each new machine is billed beside the old one until
// it has booted.
double Drains::remaining_cost(const Cluster& cluster, const FleetConditions& conditions,
                              double now) const {
  double cost = 0;
  for (const auto& host : cluster.hosts) {
    const auto* type = host ? cluster.type_of(*host) : nullptr;
    if (type == nullptr || host->phase == HostPhase::terminating) continue;
    const DrainRule* rule = matching_rule(cluster, *host, now);
    if (rule == nullptr || !rule->is_rolling) continue;
    const Pool pool{host->type, host->zone, host->spot};
    cost += conditions.price_per_hour(pool) * std::max(type->boot_s, kMinBilledTime_s) / 3600;
  }
  return cost;
}

void Drains::log_status(const Cluster& cluster, const FleetConditions& conditions, double now) {
  if (now - status_logged_at_ >= kStatusLogInterval_s) {
    status_logged_at_ = now;
    std::size_t to_drain = 0, draining = 0;
    for (const auto& [text, count] : host_count_by_rule_) to_drain += count;
    for (const auto& host : cluster.hosts) {
      if (host && host->phase != HostPhase::terminating) draining += host->cordoned ? 1 : 0;
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
      for (const auto& [reason, count] : reasons) {
        details += fmt::format("; {} waits: {} ({})", team, reason, count);
      }
    }
    spdlog::info(
        "drains: {} machines to drain, {} draining, {} replaced in steps, {} jobs moving, "
        "remaining replacement costs {:.2f}{}",
        to_drain, draining, replaced_hosts_, moves_.size(),
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
