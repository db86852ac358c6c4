// How much of each team is down, and what its budget of disruption leaves. Whatever is down for
// reasons that nobody chose (a machine died, a notice, a lost zone) counts first, so that a bad
// night ends all voluntary stops by itself.
//
// Kept across leaders in `drains/used`, written every 10 s while it changes: core seconds lost in
// the last hour, stops of jobs that live. Forgotten at a change: up to 10 s of that, and which
// tasks of arrays were down. Harmless, since a new leader stops nothing before it has heard 99 of
// 100 machines, by when what was lost has mostly been placed again; gangs and services that have
// run and do not count as down.
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

// Cores of a team's work that has begun.
struct DisruptedCores {
  double running = 0;      // and is not being stopped
  double voluntary = 0;    // stopped, or being stopped, by choice
  double involuntary = 0;  // down for any other reason
};

enum class BudgetRejection {
  none,
  too_much_down,
  too_much_lost_work,
  too_few_replicas,
  too_many_stops,
  within_guarantee,
  would_miss_deadline
};
const char* name_of(BudgetRejection refusal);

// What is to be stopped of one job, all or part of its tasks.
struct PlannedStop {
  Index job = placement::kNone;
  std::uint32_t task_count = 0;
  double lost_core_s = 0;       // work that will be done again
  double delay_s = 0;           // by how much later the job ends
  bool has_next_place = false;  // its next place is at hand
};

class BudgetTracker {
 public:
  // Of the moment; by team.
  std::vector<DisruptedCores> disruption_by_team(const Cluster& cluster) const;
  // Whether all of these may be stopped together, and if not, why; `tolls` are those of the moment.
  BudgetRejection check(const DrainPolicy& rules, const Cluster& cluster,
                        std::vector<DisruptedCores> tolls, const std::vector<PlannedStop>& stops,
                        double now) const;
  // They are stopped.
  void charge(const DrainPolicy& rules, const Cluster& cluster, std::vector<DisruptedCores>& tolls,
              const PlannedStop& stop, double now);

  double lost_core_s(const DrainPolicy& rules, const std::string& team, double now) const;
  std::uint32_t stopped_tasks(const std::string& team) const;

  wire::Json encode(const DrainPolicy& rules, const Cluster& cluster, double now) const;
  // Throws wire::BadMessage and is as it was.
  void restore(const wire::Json& record, double now);

 private:
  struct TeamUsage {
    double lost_core_s = 0;
    double updated_at = 0;
    std::uint32_t stopped_tasks = 0;
  };
  std::map<std::string, TeamUsage> usage_by_team_;     // by team
  std::map<std::string, std::uint32_t> stops_by_job_;  // how often each was stopped
};

// What stopping the tasks costs: what they have done and do not save.
PlannedStop estimate_stop(const Cluster& cluster, Index job,
                          const std::vector<std::uint32_t>& tasks, bool placed, double now);

}  // namespace reachramp::drains
