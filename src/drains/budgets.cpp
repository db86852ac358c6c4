#include "drains/budgets.h"

#include <algorithm>
#include <cmath>

namespace reachramp::drains {

namespace {

using placement::Attempt;
using placement::ObservedState;

constexpr double kHour_s = 3600;
constexpr double kCrumb = 1e-6;
constexpr std::size_t kMostKept = 60;  // jobs and teams in the record

bool runs(const Attempt& attempt) {
  return attempt.observed == ObservedState::running || attempt.observed == ObservedState::saving;
}

void count(DisruptionCounts& toll, double cores) {
  toll.running -= cores;
  toll.voluntary += cores;
}

// Gangs and services that have run under an earlier leader and do not now.
bool left_down(const Job& job) {
  return job.spec.shape != jobs::Shape::array && job.last_attempt > 0 && job.interruptions.empty();
}

}  // namespace

const char* name_of(BudgetRejection refusal) {
  switch (refusal) {
    case BudgetRejection::none:
      return "none";
    case BudgetRejection::down:
      return "enough is down";
    case BudgetRejection::lost:
      return "enough was lost in the last hour";
    case BudgetRejection::replicas:
      return "too few replicas would be up";
    case BudgetRejection::stops:
      return "stopped often enough";
    case BudgetRejection::guarantee:
      return "within its guarantee, and no place at hand";
    case BudgetRejection::deadline:
      return "it would miss its deadline";
  }
  return "";
}

std::vector<DisruptionCounts> Budgets::tolls(const Cluster& cluster) const {
  std::vector<DisruptionCounts> tolls(cluster.used.size());
  for (const auto& job : cluster.jobs) {
    if (!job || job->team == placement::kNone || job->cancelled) continue;
    DisruptionCounts& toll = tolls[job->team];
    std::uint32_t running = 0, stopping = 0;
    for (const auto& [task, attempt] : job->attempts) {
      if (!runs(attempt)) continue;
      if (!attempt.stopping) {
        ++running;
      } else if (attempt.voluntary && !job->done[task]) {
        ++stopping;
      }
    }
    toll.running += running * job->resources_per_task.cpus;
    toll.voluntary += stopping * job->resources_per_task.cpus;
    for (const auto& [task, down] : job->interruptions) {
      (down.voluntary ? toll.voluntary : toll.forced) += job->resources_per_task.cpus;
    }
    if (left_down(*job)) {
      const std::uint32_t rest = job->spec.tasks - job->done_count;
      toll.forced +=
          (rest - std::min<std::uint32_t>(rest, running + stopping)) * job->resources_per_task.cpus;
    }
  }
  return tolls;
}

BudgetRejection Budgets::judge(const Rules& rules, const Cluster& cluster,
                               std::vector<DisruptionCounts> tolls, const std::vector<Stop>& stops,
                               double now) const {
  std::map<Index, double> lost;  // by team, by these stops
  for (const Stop& stop : stops) {
    const Job& job = *cluster.jobs[stop.job];
    const Budget& budget = rules.budget_of(job.spec.team);
    const double cores = job.resources_per_task.cpus * stop.tasks;
    DisruptionCounts& toll = tolls[job.team];
    const double down = toll.voluntary + toll.forced;
    // One gang or task may always go while nothing else of the team is down, or a team whose gang
    // is all it runs could never be moved.
    const bool first = down <= kCrumb && budget.down > 0;
    if (!first && down + cores > budget.down * (toll.running + down) + kCrumb)
      return BudgetRejection::down;
    count(toll, cores);
    lost[job.team] += stop.lost_core_s;
    if (lost_core_s(rules, job.spec.team, now) + lost[job.team] >
        budget.lost_core_s_an_hour + kCrumb) {
      return BudgetRejection::lost;
    }
    const auto before = jobs_.find(job.spec.id);
    if ((before == jobs_.end() ? 0 : before->second) >= budget.stops_a_job)
      return BudgetRejection::stops;
    if (job.spec.shape == jobs::Shape::service) {
      const auto up = std::count_if(job.attempts.begin(), job.attempts.end(), [](const auto& one) {
        return one.second.observed == ObservedState::running && !one.second.stopping;
      });
      const double least = std::ceil(job.spec.tasks * budget.replicas_up - kCrumb);
      if (static_cast<double>(up) - stop.tasks < least) return BudgetRejection::replicas;
    }
    const settings::Team& team = cluster.platform.teams[job.team];
    if (!stop.placed && team.cpus > 0 && cluster.used[job.team].cpus <= team.cpus + kCrumb) {
      return BudgetRejection::guarantee;
    }
    if (job.spec.deadline_s && job.spec.estimate_s > 0) {
      double begun = now;
      for (const auto& [task, attempt] : job.attempts) {
        if (attempt.running_since >= 0) begun = std::min(begun, attempt.running_since);
      }
      const double due = job.accepted_at + *job.spec.deadline_s;
      const double end = std::max(now, begun + job.spec.estimate_s);
      if (end <= due && end + stop.late_s > due) return BudgetRejection::deadline;
    }
  }
  return BudgetRejection::none;
}

void Budgets::note(const Rules& rules, const Cluster& cluster, std::vector<DisruptionCounts>& tolls,
                   const Stop& stop, double now) {
  const Job& job = *cluster.jobs[stop.job];
  count(tolls[job.team], job.resources_per_task.cpus * stop.tasks);
  const double left = lost_core_s(rules, job.spec.team, now);
  Used& used = used_[job.spec.team];
  used.core_s = left + stop.lost_core_s;
  used.at = now;
  used.stops += stop.tasks;
  ++jobs_[job.spec.id];
}

// What is used is forgiven evenly over an hour.
double Budgets::lost_core_s(const Rules& rules, const std::string& team, double now) const {
  const auto at = used_.find(team);
  if (at == used_.end()) return 0;
  const double forgiven =
      rules.budget_of(team).lost_core_s_an_hour * (now - at->second.at) / kHour_s;
  return std::max(0.0, at->second.core_s - std::max(0.0, forgiven));
}

std::uint32_t Budgets::stopped(const std::string& team) const {
  const auto at = used_.find(team);
  return at == used_.end() ? 0 : at->second.stops;
}

wire::Json Budgets::encode(const Rules& rules, const Cluster& cluster, double now) const {
  wire::Json teams = wire::Json::array();
  for (const auto& [team, used] : used_) {
    if (teams.size() == kMostKept) break;
    teams.push_back({{"name", team},
                     {"core_s", std::round(lost_core_s(rules, team, now))},
                     {"stops", used.stops}});
  }
  // Those that were stopped most often first: the others have something left in any case.
  std::vector<std::pair<std::uint32_t, std::string>> living;
  for (const auto& [id, count] : jobs_) {
    if (cluster.job_index.contains(id)) living.emplace_back(count, id);
  }
  std::sort(living.rbegin(), living.rend());
  if (living.size() > kMostKept) living.resize(kMostKept);
  wire::Json jobs = wire::Json::array();
  for (const auto& [count, id] : living) jobs.push_back({{"name", id}, {"stops", count}});
  return {{"teams", std::move(teams)}, {"jobs", std::move(jobs)}};
}

void Budgets::restore(const wire::Json& record, double now) {
  if (!record.is_object()) throw wire::BadMessage("drains/used: not a map");
  std::map<std::string, Used> used;
  for (const wire::Json& item : wire::list(record, "teams")) {
    used[wire::text(item, "name")] = {
        wire::amount(item, "core_s"), now,
        static_cast<std::uint32_t>(wire::count(item, "stops", 0xffffffffu))};
  }
  std::map<std::string, std::uint32_t> stops;
  for (const wire::Json& item : wire::list(record, "jobs")) {
    stops[wire::text(item, "name")] =
        static_cast<std::uint32_t>(wire::count(item, "stops", 0xffffffffu));
  }
  used_ = std::move(used);
  jobs_ = std::move(stops);
}

Stop stop_of(const Cluster& cluster, Index index, const std::vector<std::uint32_t>& tasks,
             bool placed, double now) {
  const Job& job = *cluster.jobs[index];
  Stop stop{index, static_cast<std::uint32_t>(tasks.size()), 0, 0, placed};
  const bool saves = job.spec.checkpoint_s > 0;
  for (const std::uint32_t task : tasks) {
    const Attempt& attempt = job.attempts.at(task);
    const double ran = attempt.running_since < 0 ? 0 : now - attempt.running_since;
    const double lost =
        saves ? std::min(ran, job.spec.save_s) : (job.spec.shape == jobs::Shape::service ? 0 : ran);
    stop.lost_core_s += lost * job.resources_per_task.cpus;
    stop.late_s = std::max(stop.late_s, saves ? 2 * job.spec.save_s + lost : ran);
  }
  return stop;
}

}  // namespace reachramp::drains
