// Tracks how much of each team's work is disrupted and checks planned stops against the team's
// disruption budget. Involuntary disruptions (a machine died, the cloud reclaims a spot machine, a
// zone is lost) use up the budget first, so a large outage by itself blocks all voluntary stops.
//
// The leader stores the core seconds that each team lost in the last hour, and the number of stops
// of each live job, in the record `drains/used`, which it writes every 10 s while it changes. A new
// leader does not know the last 10 s of that, nor which tasks of arrays were down. This is
// harmless: a new leader stops nothing until it has heard from 99 of 100 machines, and by then most
// of the lost tasks have been placed again. Gangs and services that ran before and do not run now
// count as down.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "drains/drain_policy.h"
#include "placement/cluster.h"

namespace reachramp::drains {

using placement::Cluster;
using placement::Index;
using placement::Job;

// Cores of one team's started tasks, by what happens to them.
struct DisruptedCores {
  double running = 0;      // of running tasks that are not being stopped
  double voluntary = 0;    // of tasks that the scheduler chose to stop, until they run again
  double involuntary = 0;  // of tasks that are down for any other reason
};

// The limit that a planned stop would break.
enum class BudgetRejection {
  none,
  too_much_down,
  too_much_lost_work,
  too_few_replicas,
  too_many_stops,
  within_guarantee,
  would_miss_deadline
};
// The reason in words, for logs.
const char* name_of(BudgetRejection rejection);

// A stop of some or all tasks of one job, with its estimated cost.
struct PlannedStop {
  Index job = placement::kNone;
  std::uint32_t task_count = 0;
  double lost_core_s = 0;       // work that has to be repeated
  double delay_s = 0;           // how much later the job is expected to end
  bool has_next_place = false;  // there is room elsewhere for the stopped tasks
};

// Usage of the disruption budgets of all teams. Used by the leader only.
class BudgetTracker {
 public:
  // Returns the current disruption, indexed by team.
  std::vector<DisruptedCores> disruption_by_team(const Cluster& cluster) const;
  // Returns why the stops must not be made together, or `none` if they may. `disruption` is the
  // current result of disruption_by_team().
  BudgetRejection check(const DrainPolicy& policy, const Cluster& cluster,
                        std::vector<DisruptedCores> disruption,
                        const std::vector<PlannedStop>& stops, double now) const;
  // Charges a planned stop to the budgets, and counts its cores in `disruption` as voluntarily down
  // instead of running.
  void charge(const DrainPolicy& policy, const Cluster& cluster,
              std::vector<DisruptedCores>& disruption, const PlannedStop& stop, double now);

  // Core seconds of work that voluntary stops cost the team, less what has expired: the whole
  // budget expires within an hour.
  double lost_core_s(const DrainPolicy& policy, const std::string& team, double now) const;
  // Number of tasks of the team that were stopped voluntarily so far.
  std::uint32_t stopped_tasks(const std::string& team) const;

  // The content of `teams` and `jobs` in the record `drains/used`.
  wire::Json encode(const DrainPolicy& policy, const Cluster& cluster, double now) const;
  // Replaces the usage by a stored record. Throws wire::BadMessage and then changes nothing.
  void restore(const wire::Json& record, double now);

 private:
  struct TeamUsage {
    double lost_core_s = 0;
    double updated_at = 0;
    std::uint32_t stopped_tasks = 0;
  };
  std::map<std::string, TeamUsage> usage_by_team_;     // by team name
  std::map<std::string, std::uint32_t> stops_by_job_;  // by job id
};

// Estimates the cost of stopping the tasks: the work since their start that is not saved.
PlannedStop estimate_stop(const Cluster& cluster, Index job,
                          const std::vector<std::uint32_t>& tasks, bool has_next_place, double now);

}  // namespace reachramp::drains
