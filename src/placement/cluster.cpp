#include "placement/cluster.h"

#include <algorithm>

namespace reachramp::placement {

namespace {

// Rounding errors that sums of task resources may have.
constexpr double kUsageTolerance = 1e-9;
// A machine type stays reserved for large tasks for this long after a job with such tasks was last
// waiting or running.
constexpr double kLargeTaskReservation_s = 300;

}  // namespace

Cluster::Cluster(const settings::Platform& platform_settings, std::uint64_t token,
                 jobs::TaskRecordFormat format)
    : platform(platform_settings),
      fencing_token(token),
      usage_by_team(platform_settings.teams.size()),
      format_(format),
      limits_(format == jobs::TaskRecordFormat::legacy
                  ? platform_settings.store_limits
                  : platform_settings.strictest_store_limits()) {}

void Cluster::set_catalog(const cloud::Catalog& new_catalog) {
  catalog = new_catalog;
  for (const auto& type : catalog) {
    types.add(type.name);
    for (const auto& zone : type.zones) zones.add(zone);
  }
  machine_types_.assign(types.size(), nullptr);
  for (const auto& type : catalog) machine_types_[types.find(type.name)] = &type;
  for (const auto& job : jobs) {
    if (job) update_fitting_types(*job);
  }
}

// Computed once per job and catalog, because each placement pass needs the fitting types for every
// pair of job and machine.
void Cluster::update_fitting_types(Job& job) const {
  job.fits_type.assign(machine_types_.size(), false);
  job.smallest_fitting_type = kNone;
  for (Index type = 0; type < machine_types_.size(); ++type) {
    if (machine_types_[type] == nullptr || !jobs::fits_type(job.spec, *machine_types_[type]))
      continue;
    job.fits_type[type] = true;
    if (job.smallest_fitting_type == kNone ||
        machine_types_[type]->cpus < machine_types_[job.smallest_fitting_type]->cpus) {
      job.smallest_fitting_type = type;
    }
  }
}

Index Cluster::add_job(const jobs::Header& header, std::uint64_t revision, double seen_at,
                       CancellationTime cancelled_at) {
  Index index;
  if (free_job_indices_.empty()) {
    index = static_cast<Index>(jobs.size());
    jobs.emplace_back();
  } else {
    index = free_job_indices_.back();
    free_job_indices_.pop_back();
  }
  auto new_job = std::make_unique<Job>();
  Job& job = *new_job;
  job.spec = header.spec;
  job.resources_per_task = {job.spec.cpus, job.spec.gpus, job.spec.ram_gb};
  job.revision = revision;
  job.accepted_revision = header.accepted_revision != 0 ? header.accepted_revision : revision;
  job.done.resize(job.spec.tasks);
  split_into_ranges(job);
  job.accepted_at = job.unblocked_at = job.attempts_ended_by = seen_at;
  job.priority = job.spec.priority;
  for (const std::string& dependency_id : job.spec.depends_on) {
    job.dependencies.push_back({dependency_id, DependencyState::unknown});
    dependents[dependency_id].insert(index);
  }
  job.reported_done = header.done;
  job.reported_running = header.running;
  for (Index i = 0; i < platform.teams.size(); ++i) {
    if (platform.teams[i].name == job.spec.team) job.team = i;
  }
  if (job.spec.zone) job.zone = zones.add(*job.spec.zone);
  compute_latest_starts(job, {});
  update_fitting_types(job);
  job_index[job.spec.id] = index;
  jobs[index] = std::move(new_job);
  jobs_with_changed_counts.insert(index);
  if (header.cancelled) cancel_job(index, cancelled_at);
  return index;
}

void Cluster::compute_latest_starts(Job& job, const std::vector<double>& inherited) const {
  const double estimate = job.spec.estimated_duration_s;
  job.deadline_latest_starts = inherited;
  if (job.spec.deadline_s) {
    job.deadline_latest_starts.push_back(job.accepted_at + *job.spec.deadline_s - estimate);
  }
  std::vector<double> objective_starts;
  for (const settings::ServiceLevelObjective& objective : platform.objectives) {
    if (objective.job_class != job.spec.job_class) continue;
    switch (objective.kind) {
      case settings::ServiceLevelObjective::Kind::wait:
        objective_starts.push_back(job.unblocked_at + objective.within_s);
        break;
      case settings::ServiceLevelObjective::Kind::finished:
        objective_starts.push_back(job.unblocked_at + objective.within_s - estimate);
        break;
      case settings::ServiceLevelObjective::Kind::deadline:
        if (job.spec.deadline_s && objective.deadline_factor != 1) {
          job.deadline_latest_starts.push_back(
              job.accepted_at + *job.spec.deadline_s * objective.deadline_factor - estimate);
        }
        break;
    }
  }
  std::sort(job.deadline_latest_starts.begin(), job.deadline_latest_starts.end());
  job.latest_starts = job.deadline_latest_starts;
  // Objectives other than deadlines count from the time at which the job is unblocked.
  if (!job.is_blocked())
    job.latest_starts.insert(job.latest_starts.end(), objective_starts.begin(),
                             objective_starts.end());
  std::sort(job.latest_starts.begin(), job.latest_starts.end());
}

double Job::next_latest_start(double ready_at) const {
  const auto at = std::lower_bound(latest_starts.begin(), latest_starts.end(), ready_at);
  return at == latest_starts.end() ? kNever : *at;
}

void Cluster::remove_job(Index index) {
  Job& job = *jobs[index];
  for (const auto& [task, attempt] : job.attempts) {
    adjust_team_usage(job, -1);
    Host& host = *hosts[attempt.host];
    host.attempts.erase({index, task});
    host.free += job.resources_per_task;
  }
  for (std::size_t range = 0; range < job.task_ranges.size(); ++range)
    dirty_task_ranges.erase({index, range});
  finished_jobs.erase(index);
  jobs_with_changed_counts.erase(index);
  for (const Dependency& dependency : job.dependencies) {
    const auto at = dependents.find(dependency.id);
    if (at != dependents.end() && at->second.erase(index) > 0 && at->second.empty()) {
      dependents.erase(at);
    }
  }
  job_index.erase(job.spec.id);
  jobs[index].reset();
  free_job_indices_.push_back(index);
}

Job* Cluster::find_job(const std::string& id) {
  const auto at = job_index.find(id);
  return at == job_index.end() ? nullptr : jobs[at->second].get();
}

Index Cluster::add_host(const std::string& name, double now) {
  const auto known = host_index.find(name);
  if (known != host_index.end()) return known->second;
  const auto index =
      free_host_indices_.empty() ? static_cast<Index>(hosts.size()) : *free_host_indices_.begin();
  auto new_host = std::make_unique<Host>();
  new_host->name = name;
  new_host->first_known_at = new_host->rented_at = new_host->idle_since = now;
  if (free_host_indices_.empty()) {
    hosts.push_back(std::move(new_host));
  } else {
    hosts[index] = std::move(new_host);
    free_host_indices_.erase(index);
  }
  host_index[name] = index;
  update_name_prefix(name);
  return index;
}

void Cluster::set_host_type(Index index, const std::string& type, const std::string& zone,
                            bool spot) {
  Host& host = *hosts[index];
  if (host.type != kNone) return;
  host.type = types.add(type);
  host.zone = zones.add(zone);
  host.spot = spot;
  if (const auto* machine_type = type_of(host)) {
    host.free += {machine_type->cpus, machine_type->gpus, machine_type->ram_gb};
  } else {
    host.type = kNone;  // not in the catalog yet: nothing can be placed there
  }
}

void Cluster::remove_host(Index index, double now) {
  const std::set<TaskRef> attempts = hosts[index]->attempts;
  for (const TaskRef& ref : attempts) end_attempt(ref.job, ref.task, now);
  host_index.erase(hosts[index]->name);
  hosts[index].reset();
  free_host_indices_.insert(index);
}

Host* Cluster::find_host(const std::string& name) {
  const auto at = host_index.find(name);
  return at == host_index.end() ? nullptr : hosts[at->second].get();
}

void Cluster::adjust_team_usage(const Job& job, double sign) {
  if (job.team == kNone) return;
  usage_by_team[job.team].cpus += sign * job.resources_per_task.cpus;
  usage_by_team[job.team].gpus += sign * job.resources_per_task.gpus;
}

void Cluster::place(Index index, std::uint32_t task, std::uint64_t number, Index host, double now) {
  Job& job = *jobs[index];
  Attempt attempt;
  attempt.number = number;
  attempt.host = host;
  attempt.placed_at = now;
  job.attempts[task] = attempt;
  if (job.spec.shape == jobs::Shape::gang) job.last_attempt = std::max(job.last_attempt, number);
  const std::size_t range = job.range_index(task);
  ++job.task_ranges[range].unpersisted_attempts;
  job.task_ranges[range].placement_bytes += added_record_bytes(index, task, number, *hosts[host]);
  hosts[host]->attempts.insert({index, task});
  hosts[host]->was_backfilled = false;
  hosts[host]->free -= job.resources_per_task;
  adjust_team_usage(job, 1);
  mark_range_dirty(index, task, now);
}

void Cluster::end_attempt(Index index, std::uint32_t task, double now) {
  Job& job = *jobs[index];
  const auto at = job.attempts.find(task);
  if (at == job.attempts.end()) return;
  Host& host = *hosts[at->second.host];
  host.attempts.erase({index, task});
  host.free += job.resources_per_task;
  if (host.attempts.empty()) host.idle_since = now;
  adjust_team_usage(job, -1);
  mark_persisted(job, task);
  job.task_ranges[job.range_index(task)].placement_bytes -=
      added_record_bytes(index, task, at->second.number, host);
  const bool ran = at->second.running_since >= 0 || at->second.from_previous_leader;
  if (ran && !job.done[task] && !job.cancelled)
    job.interruptions[task] = {now, at->second.voluntary};
  if (!job.done[task]) job.last_attempt = std::max(job.last_attempt, at->second.number);
  job.attempts_ended_by = std::max(job.attempts_ended_by, std::min(now, tasks_may_run_until(host)));
  job.attempts.erase(at);
  job.first_pending_hint = std::min(job.first_pending_hint, task);
  if (job.attempts.empty()) job.gang_started = false;
  mark_range_dirty(index, task, now);
  update_finished(index);
}

double Cluster::tasks_may_run_until(const Host& host) const {
  return std::max(host.last_heartbeat_at, host.first_known_at) + platform.worker_timings.lease_s;
}

void Cluster::mark_done(Index index, std::uint32_t task, double now) {
  Job& job = *jobs[index];
  if (job.done[task]) return;
  job.done[task] = true;
  job.interruptions.erase(task);
  ++job.done_count;
  const auto attempt = job.attempts.find(task);
  if (attempt != job.attempts.end()) attempt->second.stopping = true;
  mark_range_dirty(index, task, now);
  update_finished(index);
}

void Cluster::mark_running(Job& job, std::uint32_t task, double since) {
  Attempt& attempt = job.attempts.at(task);
  if (attempt.running_since < 0) attempt.running_since = since;
  job.interruptions.erase(task);
}

void Cluster::request_stop(Index index, std::uint32_t task, double grace_period_s, bool voluntary) {
  Attempt& attempt = jobs[index]->attempts.at(task);
  if (attempt.stopping) return;
  attempt.stopping = true;
  attempt.voluntary = voluntary;
  attempt.grace_period_s = grace_period_s;
}

void Cluster::cancel_job(Index index, CancellationTime at) {
  Job& job = *jobs[index];
  job.cancelled = true;
  job.cancelled_at = at;
  job.interruptions.clear();
  for (auto& [task, attempt] : job.attempts) {
    attempt.stopping = true;
    attempt.grace_period_s = 0;
  }
  end_unsent_attempts(index, at.latest);
  update_finished(index);
}

bool Cluster::takes_over_half(const Job& job, Index index) const {
  const cloud::MachineType& type = *machine_types_[index];
  return job.resources_per_task.cpus > type.cpus / 2 ||
         job.resources_per_task.ram_gb > type.ram_gb / 2 ||
         (type.gpus > 0 && job.resources_per_task.gpus > type.gpus / 2);
}

void Cluster::update_large_task_reservations(double now) {
  std::erase_if(large_task_reservations,
                [&](const auto& reservation) { return reservation.second < now; });
  for (const auto& job : jobs) {
    if (!job || job->cancelled || job->is_blocked() || job->fails_everywhere() ||
        job->smallest_fitting_type == kNone || !takes_over_half(*job, job->smallest_fitting_type))
      continue;
    large_task_reservations[{job->smallest_fitting_type, false}] = now + kLargeTaskReservation_s;
    if (job->spec.allow_spot)
      large_task_reservations[{job->smallest_fitting_type, true}] = now + kLargeTaskReservation_s;
    if (job->attempts.size() + job->done_count == job->spec.tasks || !within_team_limit(*job, 1))
      continue;
    for (const auto& host : hosts) {
      if (host && host->backfilled && job->fits_type[host->type] &&
          (job->spec.allow_spot || !host->spot) &&
          (job->zone == kNone || job->zone == host->zone)) {
        host->backfilled = false;
      }
    }
  }
}

bool Cluster::is_reserved_for_larger_tasks(const Job& job, Index type, bool spot) const {
  if (!large_task_reservations.contains({type, spot}) || takes_over_half(job, type)) return false;
  return job.smallest_fitting_type != kNone &&
         machine_types_[job.smallest_fitting_type]->cpus < machine_types_[type]->cpus;
}

void Cluster::end_unsent_attempts(Index index, double now) {
  Job& job = *jobs[index];
  std::vector<std::uint32_t> unsent;
  for (const auto& [task, attempt] : job.attempts) {
    const bool may_have_started = attempt.from_previous_leader || attempt.start_sent ||
                                  attempt.observed_state != ObservedState::unobserved;
    if (attempt.stopping && !may_have_started) unsent.push_back(task);
  }
  for (const std::uint32_t task : unsent) end_attempt(index, task, now);
}

void Cluster::update_finished(Index index) {
  // The state may change back: a cancelled job is finished until restore() loads the attempts that
  // an earlier leader stored.
  if (jobs[index]->is_finished()) {
    finished_jobs.insert(index);
  } else {
    finished_jobs.erase(index);
  }
}

bool Cluster::within_team_limit(const Job& job, double tasks, const Usage& reserved) const {
  if (job.team == kNone) return false;
  const settings::Team& team = platform.teams[job.team];
  const Usage usage{usage_by_team[job.team].cpus + reserved.cpus,
                    usage_by_team[job.team].gpus + reserved.gpus};
  return (team.max_cpus <= 0 ||
          usage.cpus + job.resources_per_task.cpus * tasks <= team.max_cpus + kUsageTolerance) &&
         (team.max_gpus <= 0 ||
          usage.gpus + job.resources_per_task.gpus * tasks <= team.max_gpus + kUsageTolerance);
}

std::uint32_t Cluster::next_pending_task(Job& job, std::uint32_t from) const {
  std::uint32_t task = std::max(from, job.first_pending_hint);
  while (task < job.spec.tasks && (job.done[task] || job.attempts.contains(task))) ++task;
  if (from <= job.first_pending_hint) job.first_pending_hint = task;
  return task;
}

}  // namespace reachramp::placement
