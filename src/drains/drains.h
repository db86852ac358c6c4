// Emptying machines by the operators' rules, within each team's budget of disruption, and replacing
// them in steps. Every voluntary stop of running work is decided here, or asked of the budgets that
// stand here; notices, cancellations and broken gangs never wait, and are counted.
//
// What the rules say of a machine follows from its age, name and pool, so a new leader marks the
// same machines. It forgets which of them the last step had begun to empty (it begins with the
// emptiest, which are these) and for how long a machine has been emptying (attrition begins anew:
// less is stopped). Sizes of steps and halts are kept in `drains/used` beside the budgets.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "drains/budget_tracker.h"
#include "drains/drain_policy.h"
#include "drains/task_moves.h"

namespace reachramp::drains {

using placement::Host;
using placement::Pool;

// How the fleet stands, as far as it bears on what is voluntary.
struct FleetConditions {
  bool upgrade_in_progress = false;  // controllers are being changed, or their levels are
  std::function<bool(const Pool&)> recently_refused;  // the cloud has none there of late
  std::function<double(const Pool&)> price_per_hour;  // of a machine
};

struct DrainActions {
  std::vector<Index> hosts_to_return;  // machines to be returned
  std::vector<Index>
      hosts_to_notify;  // machines to be told of stops at once: a gang's must come together
};

class Drains {
 public:
  // Takes over what is in force, and when serials were accepted, by the leader's clock.
  void apply_policy(DrainPolicy rules, std::map<std::uint64_t, double> accepted, double now);
  void cancel_all(Cluster& cluster);
  bool has_policy() const { return policy_.serial > 0; }
  std::uint64_t policy_serial() const { return policy_.serial; }

  // Before each plan. Returns how many tasks were placed.
  int advance_moves(Cluster& cluster, double now) { return moves_.advance(cluster, now); }
  // Marks machines, stops what may be stopped, takes steps on; twice a second.
  DrainActions advance(Cluster& cluster, const FleetConditions& conditions, double now);
  // Whether these jobs may be stopped for other work's sake; they are then.
  bool approve_preemption(const Cluster& cluster, const std::vector<Index>& jobs, double now);
  // Pools that are to be left: nothing is rented there.
  std::set<Pool> closed_pools(const Cluster& cluster) const;

  wire::Json encode(const Cluster& cluster, double now) const;
  // Throws wire::BadMessage and is as it was.
  void restore(const wire::Json& record, double now);
  // Whether encode() would say something new.
  bool has_unwritten_changes() const { return has_unwritten_changes_; }
  void note_written() { has_unwritten_changes_ = false; }

 private:
  enum class Phase { idle, renting, draining, soaking };
  // Pools of one type and kind: one zone of them at a time.
  struct Rollout {
    Phase phase = Phase::idle;
    Index zone = placement::kNone;
    std::set<std::string> old_hosts;   // machines of the step
    std::set<std::string> new_hosts;   // rented in its pool since it began
    std::size_t failed_new_hosts = 0;  // of these
    double phase_since = 0;            // of the phase
    double step_began_at = 0;          // of the step
    std::uint32_t step_size = 0;
    bool was_refused = false;       // the cloud had none in its pool while it went on
    double no_capacity_since = -1;  // when a step ended of which nothing came back; -1: not so
    int failed_steps = 0;
    double halted_until = 0;
    double halt_logged_at = -1e9;
  };
  using RolloutKey = std::pair<Index, bool>;  // type, spot

  const DrainRule* matching_rule(const Cluster& cluster, const Host& host, double now) const;
  void mark_hosts(Cluster& cluster, double now);
  void advance_rollouts(Cluster& cluster, const FleetConditions& conditions, double now);
  bool waits_for_capacity(const Cluster& cluster, const RolloutKey& key, Rollout& line,
                          double now) const;
  void begin_step(Cluster& cluster, const RolloutKey& key, Rollout& line, double now);
  void advance_step(Cluster& cluster, const RolloutKey& key, Rollout& line,
                    const FleetConditions& conditions, double now);
  void drain_host(Cluster& cluster, Index host, DrainActions& wishes, double now);
  void try_stop_tasks(Cluster& cluster, Index job, const std::vector<std::uint32_t>& tasks,
                      DrainActions& wishes, double now);
  double remaining_cost(const Cluster& cluster, const FleetConditions& conditions,
                        double now) const;
  void log_status(const Cluster& cluster, const FleetConditions& conditions, double now);
  std::string rollout_name(const Cluster& cluster, const RolloutKey& key) const;

  DrainPolicy policy_;
  std::map<std::uint64_t, double> accepted_at_;
  BudgetTracker budget_tracker_;
  TaskMoves moves_;
  std::map<RolloutKey, Rollout> rollouts_;
  std::map<std::string, std::pair<std::uint32_t, int>>
      inherited_rollouts_;                                 // size and halts, by line
  std::map<std::string, double> cordoned_since_;           // machines
  std::map<std::string, std::size_t> host_count_by_rule_;  // by entry, of late
  std::map<std::string, std::map<std::string, std::size_t>>
      refused_stops_;                       // by team, why, of late
  std::vector<DisruptedCores> disruption_;  // in a pass
  std::set<std::pair<Index, BudgetRejection>>
      exhausted_budgets_;        // teams that were refused in this pass, and why
  int place_searches_left_ = 0;  // for places, left to this pass
  std::size_t replaced_hosts_ = 0;
  bool exceeds_cost_limit_ = false;
  bool stops_allowed_ = false;
  std::string block_reason_;  // why nothing is stopped, as last logged
  bool has_unwritten_changes_ = false;
  double status_logged_at_ = -1e9;
  double team_usage_logged_at_ = -1e9;
};

}  // namespace reachramp::drains
