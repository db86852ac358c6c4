// Drains machines as the operators' policy says, within each team's disruption budget, and replaces
// machines in steps. Every voluntary stop of running tasks is decided here or approved by the
// budgets that are held here. Reclaim notices, cancellations and broken gangs never wait for a
// budget, but count as disruption.
//
// Whether a rule selects a machine depends only on the machine's age, name and pool, so a new
// leader marks the same machines. A new leader does not know which machines the last step had begun
// to drain, but it starts with the emptiest ones, which are the same. It does not know for how long
// a machine has been draining either, so the grace period starts again and fewer tasks are stopped.
// Step sizes and failed steps are stored in `drains/used` beside the usage of the budgets.
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

// The state of the fleet, as far as it decides whether machines may be drained and replaced.
struct FleetConditions {
  // The controllers or their schema level are being upgraded.
  bool upgrade_in_progress = false;
  // Whether the cloud recently refused to rent in the pool.
  std::function<bool(const Pool&)> recently_refused;
  // The price of one machine of the pool.
  std::function<double(const Pool&)> price_per_hour;
};

// What the leader has to do after a pass.
struct DrainActions {
  std::vector<Index> hosts_to_return;  // drained machines, to be returned to the cloud
  // Machines to be told of stops at once, because all tasks of a gang must stop together.
  std::vector<Index> hosts_to_notify;
};

// Executes the drain policy on the cluster. Used by the leader only.
class Drains {
 public:
  // Replaces the policy in force. `accepted_at` says when each serial was accepted, by the leader's
  // clock.
  void apply_policy(DrainPolicy policy, std::map<std::uint64_t, double> accepted_at, double now);
  // Ends all drains and drops the policy; machines that are not returned yet accept tasks again.
  void cancel_all(Cluster& cluster);
  bool has_policy() const { return policy_.serial > 0; }
  std::uint64_t policy_serial() const { return policy_.serial; }

  // Places the tasks of moves whose old attempts have ended; called before each placement pass.
  // Returns the number of tasks placed.
  int advance_moves(Cluster& cluster, double now) { return moves_.advance(cluster, now); }
  // Marks machines, stops the tasks that may be stopped and advances the rolling replacement.
  // Called twice a second.
  DrainActions advance(Cluster& cluster, const FleetConditions& conditions, double now);
  // Returns whether the budgets allow preempting all these jobs; if so, charges the stops to them.
  bool approve_preemption(const Cluster& cluster, const std::vector<Index>& jobs, double now);
  // Pools that are drained as a whole, in which no machine is rented.
  std::set<Pool> closed_pools(const Cluster& cluster) const;

  // The record `drains/used`.
  wire::Json encode(const Cluster& cluster, double now) const;
  // Restores a stored record. Throws wire::BadMessage and then changes nothing.
  void restore(const wire::Json& record, double now);
  // Whether encode() may differ from the stored record.
  bool has_unwritten_changes() const { return has_unwritten_changes_; }
  void note_written() { has_unwritten_changes_ = false; }

 private:
  enum class Phase { idle, renting, draining, soaking };
  // The rolling replacement of all machines of one type that are spot, or of all that are not. A
  // step replaces machines in one zone.
  struct Rollout {
    Phase phase = Phase::idle;
    Index zone = placement::kNone;
    std::set<std::string> old_hosts;   // machines that the step replaces
    std::set<std::string> new_hosts;   // machines rented in the step's pool since the step began
    std::size_t failed_new_hosts = 0;  // of `new_hosts`
    double phase_since = 0;
    double step_began_at = 0;
    std::uint32_t step_size = 0;
    bool was_refused = false;  // the cloud refused to rent in the pool during the step
    // When a step ended for which the cloud had no new machine; -1 if the last step got one.
    double no_capacity_since = -1;
    int failed_steps = 0;
    double halted_until = 0;
    double halt_logged_at = -1e9;
  };
  using RolloutKey = std::pair<Index, bool>;  // machine type, whether spot

  const DrainRule* matching_rule(const Cluster& cluster, const Host& host, double now) const;
  void mark_hosts(Cluster& cluster, double now);
  void advance_rollouts(Cluster& cluster, const FleetConditions& conditions, double now);
  bool waits_for_capacity(const Cluster& cluster, const RolloutKey& key, Rollout& rollout,
                          double now) const;
  void begin_step(Cluster& cluster, const RolloutKey& key, Rollout& rollout, double now);
  void advance_step(Cluster& cluster, const RolloutKey& key, Rollout& rollout,
                    const FleetConditions& conditions, double now);
  void drain_host(Cluster& cluster, Index host, DrainActions& actions, double now);
  void try_stop_tasks(Cluster& cluster, Index job, const std::vector<std::uint32_t>& tasks,
                      DrainActions& actions, double now);
  double remaining_cost(const Cluster& cluster, const FleetConditions& conditions,
                        double now) const;
  void log_status(const Cluster& cluster, const FleetConditions& conditions, double now);
  std::string rollout_name(const Cluster& cluster, const RolloutKey& key) const;

  DrainPolicy policy_;
  std::map<std::uint64_t, double> accepted_at_;
  BudgetTracker budget_tracker_;
  TaskMoves moves_;
  std::map<RolloutKey, Rollout> rollouts_;
  // Step size and failed steps that an earlier leader stored, by rollout name.
  std::map<std::string, std::pair<std::uint32_t, int>> inherited_rollouts_;
  std::map<std::string, double> cordoned_since_;           // by machine name
  std::map<std::string, std::size_t> host_count_by_rule_;  // by rule text, in the last pass
  // Stops that were refused in the last pass, by team and reason.
  std::map<std::string, std::map<std::string, std::size_t>> refused_stops_;
  std::vector<DisruptedCores> disruption_;  // by team, in this pass
  // Teams without budget left in this pass, and the exhausted limit.
  std::set<std::pair<Index, BudgetRejection>> exhausted_budgets_;
  int place_searches_left_ = 0;  // searches for new places that this pass may still make
  std::size_t replaced_hosts_ = 0;
  bool exceeds_cost_limit_ = false;
  bool stops_allowed_ = false;
  // Why no task may be stopped, as last logged; empty if stops are allowed.
  std::string block_reason_;
  bool has_unwritten_changes_ = false;
  double status_logged_at_ = -1e9;
  double team_usage_logged_at_ = -1e9;
};

}  // namespace reachramp::drains
