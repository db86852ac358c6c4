#include "drains/budget_tracker.h"

#include <algorithm>
#include <cmath>

namespace reachramp::drains {

namespace {

using placement::Attempt;
using placement::ObservedState;

constexpr double kBudgetWindow_s = 3600;
constexpr double kBudgetTolerance = 1e-6;
// Limits the number of teams, and the number of jobs, in the record.
constexpr std::size_t kMaxRecordEntries = 60;

bool is_running(const Attempt& attempt) {
  return attempt.observed_state == ObservedState::running ||
         attempt.observed_state == ObservedState::saving;
}

void move_to_voluntary(DisruptedCores& team_disruption, double cores) {
  team_disruption.running -= cores;
  team_disruption.voluntary += cores;
}

// Whether the job is a gang or service that ran under an earlier leader. This leader has seen none
// of its interruptions, so any task that does not run now counts as down.
bool is_down_since_previous_leader(const Job& job) {
  return job.spec.shape != jobs::Shape::array && job.last_attempt > 0 && job.interruptions.empty();
}

}  // namespace

const char* name_of(BudgetRejection rejection) {
  switch (rejection) {
    case BudgetRejection::none:
      return "none";
    case BudgetRejection::too_much_down:
      return "enough is down";
    case BudgetRejection::too_much_lost_work:
      return "enough was lost in the last hour";
    case BudgetRejection::too_few_replicas:
      return "too few replicas would be up";
    case BudgetRejection::too_many_stops:
      return "stopped often enough";
    case BudgetRejection::within_guarantee:
      return "within its guarantee, and no place at hand";
    case BudgetRejection::would_miss_deadline:
      return "it would miss its deadline";
  }
  return "";
}

std::vector<DisruptedCores> BudgetTracker::disruption_by_team(const Cluster& cluster) const {
  std::vector<DisruptedCores> disruption(cluster.usage_by_team.size());
  for (const auto& job : cluster.jobs) {
    if (!job || job->team == placement::kNone || job->cancelled) continue;
    DisruptedCores& team_disruption = disruption[job->team];
    std::uint32_t running = 0, stopping = 0;
    for (const auto& [task, attempt] : job->attempts) {
      if (!is_running(attempt)) continue;
      if (!attempt.stopping) {
        ++running;
      } else if (attempt.voluntary && !job->done[task]) {
        ++stopping;
      }
    }
    team_disruption.running += running * job->resources_per_task.cpus;
    team_disruption.voluntary += stopping * job->resources_per_task.cpus;
    for (const auto& [task, down] : job->interruptions) {
      (down.voluntary ? team_disruption.voluntary : team_disruption.involuntary) +=
          job->resources_per_task.cpus;
    }
    if (is_down_since_previous_leader(*job)) {
      const std::uint32_t unfinished = job->spec.tasks - job->done_count;
      team_disruption.involuntary +=
          (unfinished - std::min<std::uint32_t>(unfinished, running + stopping)) *
          job->resources_per_task.cpus;
    }
  }
  return disruption;
}

BudgetRejection BudgetTracker::check(const DrainPolicy& policy, const Cluster& cluster,
                                     std::vector<DisruptedCores> disruption,
                                     const std::vector<PlannedStop>& stops, double now) const {
  std::map<Index, double> added_loss;  // core seconds, by team, of the stops checked so far
  for (const PlannedStop& stop : stops) {
    const Job& job = *cluster.jobs[stop.job];
    const DisruptionBudget& budget = policy.budget_of(job.spec.team);
    const double cores = job.resources_per_task.cpus * stop.task_count;
    DisruptedCores& team_disruption = disruption[job.team];
    const double down = team_disruption.voluntary + team_disruption.involuntary;
    // While nothing of the team is down, one gang or task may be stopped even if it is larger than
    // the budget. Otherwise the only gang of a team could never be moved.
    const bool nothing_down = down <= kBudgetTolerance && budget.max_down_share > 0;
    if (!nothing_down &&
        down + cores > budget.max_down_share * (team_disruption.running + down) + kBudgetTolerance)
      return BudgetRejection::too_much_down;
    move_to_voluntary(team_disruption, cores);
    added_loss[job.team] += stop.lost_core_s;
    if (lost_core_s(policy, job.spec.team, now) + added_loss[job.team] >
        budget.max_lost_core_s_per_hour + kBudgetTolerance) {
      return BudgetRejection::too_much_lost_work;
    }
    const auto past_stops = stops_by_job_.find(job.spec.id);
    if ((past_stops == stops_by_job_.end() ? 0 : past_stops->second) >= budget.max_stops_per_job)
      return BudgetRejection::too_many_stops;
    if (job.spec.shape == jobs::Shape::service) {
      const auto running_replicas =
          std::count_if(job.attempts.begin(), job.attempts.end(), [](const auto& one) {
            return one.second.observed_state == ObservedState::running && !one.second.stopping;
          });
      const double min_replicas =
          std::ceil(job.spec.tasks * budget.min_replicas_up_share - kBudgetTolerance);
      if (static_cast<double>(running_replicas) - stop.task_count < min_replicas)
        return BudgetRejection::too_few_replicas;
    }
    const settings::Team& team = cluster.platform.teams[job.team];
    if (!stop.has_next_place && team.guaranteed_cpus > 0 &&
        cluster.usage_by_team[job.team].cpus <= team.guaranteed_cpus + kBudgetTolerance) {
      return BudgetRejection::within_guarantee;
    }
    if (job.spec.deadline_s && job.spec.estimated_duration_s > 0) {
      double started_at = now;
      for (const auto& [task, attempt] : job.attempts) {
        if (attempt.running_since >= 0) started_at = std::min(started_at, attempt.running_since);
      }
      const double deadline_at = job.accepted_at + *job.spec.deadline_s;
      const double expected_end_at = std::max(now, started_at + job.spec.estimated_duration_s);
      if (expected_end_at <= deadline_at && expected_end_at + stop.delay_s > deadline_at)
        return BudgetRejection::would_miss_deadline;
    }
  }
  return BudgetRejection::none;
}

void BudgetTracker::charge(const DrainPolicy& policy, const Cluster& cluster,
                           std::vector<DisruptedCores>& disruption, const PlannedStop& stop,
                           double now) {
  const Job& job = *cluster.jobs[stop.job];
  move_to_voluntary(disruption[job.team], job.resources_per_task.cpus * stop.task_count);
  const double already_lost_core_s = lost_core_s(policy, job.spec.team, now);
  TeamUsage& usage = usage_by_team_[job.spec.team];
  usage.lost_core_s = already_lost_core_s + stop.lost_core_s;
  usage.updated_at = now;
  usage.stopped_tasks += stop.task_count;
  ++stops_by_job_[job.spec.id];
}

// Lost work expires at a constant rate: the whole budget expires within an hour.
double BudgetTracker::lost_core_s(const DrainPolicy& policy, const std::string& team,
                                  double now) const {
  const auto at = usage_by_team_.find(team);
  if (at == usage_by_team_.end()) return 0;
  const double expired_core_s = policy.budget_of(team).max_lost_core_s_per_hour *
                                (now - at->second.updated_at) / kBudgetWindow_s;
  return std::max(0.0, at->second.lost_core_s - std::max(0.0, expired_core_s));
}

std::uint32_t BudgetTracker::stopped_tasks(const std::string& team) const {
  const auto at = usage_by_team_.find(team);
  return at == usage_by_team_.end() ? 0 : at->second.stopped_tasks;
}

wire::Json BudgetTracker::encode(const DrainPolicy& policy, const Cluster& cluster,
                                 double now) const {
  wire::Json teams = wire::Json::array();
  for (const auto& [team, usage] : usage_by_team_) {
    if (teams.size() == kMaxRecordEntries) break;
    teams.push_back({{"name", team},
                     {"core_s", std::round(lost_core_s(policy, team, now))},
                     {"stops", usage.stopped_tasks}});
  }
  // If there are too many jobs for the record, those with the fewest stops are left out, because
  // they are the furthest from their limit.
  std::vector<std::pair<std::uint32_t, std::string>> stops_of_live_jobs;
  for (const auto& [id, stop_count] : stops_by_job_) {
    if (cluster.job_index.contains(id)) stops_of_live_jobs.emplace_back(stop_count, id);
  }
  std::sort(stops_of_live_jobs.rbegin(), stops_of_live_jobs.rend());
  if (stops_of_live_jobs.size() > kMaxRecordEntries) stops_of_live_jobs.resize(kMaxRecordEntries);
  wire::Json jobs = wire::Json::array();
  for (const auto& [stop_count, id] : stops_of_live_jobs)
    jobs.push_back({{"name", id}, {"stops", stop_count}});
  return {{"teams", std::move(teams)}, {"jobs", std::move(jobs)}};
}

void BudgetTracker::restore(const wire::Json& record, double now) {
  if (!record.is_object()) throw wire::BadMessage("drains/used: not a map");
  std::map<std::string, TeamUsage> usage;
  for (const wire::Json& item : wire::list(record, "teams")) {
    usage[wire::text(item, "name")] = {
        wire::amount(item, "core_s"), now,
        static_cast<std::uint32_t>(wire::count(item, "stops", 0xffffffffu))};
  }
  std::map<std::string, std::uint32_t> stops_by_job;
  for (const wire::Json& item : wire::list(record, "jobs")) {
    stops_by_job[wire::text(item, "name")] =
        static_cast<std::uint32_t>(wire::count(item, "stops", 0xffffffffu));
  }
  usage_by_team_ = std::move(usage);
  stops_by_job_ = std::move(stops_by_job);
}

PlannedStop estimate_stop(const Cluster& cluster, Index index,
                          const std::vector<std::uint32_t>& tasks, bool has_next_place,
                          double now) {
  const Job& job = *cluster.jobs[index];
  PlannedStop stop{index, static_cast<std::uint32_t>(tasks.size()), 0, 0, has_next_place};
  const bool saves = job.spec.checkpoint_interval_s > 0;
  for (const std::uint32_t task : tasks) {
    const Attempt& attempt = job.attempts.at(task);
    const double ran_s = attempt.running_since < 0 ? 0 : now - attempt.running_since;
    const double lost_s = saves ? std::min(ran_s, job.spec.checkpoint_duration_s)
                                : (job.spec.shape == jobs::Shape::service ? 0 : ran_s);
    stop.lost_core_s += lost_s * job.resources_per_task.cpus;
    stop.delay_s =
        std::max(stop.delay_s, saves ? 2 * job.spec.checkpoint_duration_s + lost_s : ran_s);
  }
  return stop;
}

}  // namespace reachramp::drains
