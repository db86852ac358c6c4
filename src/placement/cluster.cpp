#include "placement/cluster.h"

#include <algorithm>

namespace reachramp::placement {

namespace {

constexpr double kSlack = 1e-9;
constexpr double kKeepForLarge_s = 300;

}  // namespace

Cluster::Cluster(const settings::Platform& p, std::uint64_t b, jobs::Format format)
    : platform(p),
      fencing_token(b),
      used(p.teams.size()),
      format_(format),
      limits_(format == jobs::Format::whole ? p.state_limits : p.lasting()) {}

void Cluster::set_catalog(const cloud::Catalog& fresh) {
  catalog = fresh;
  for (const auto& type : catalog) {
    types.add(type.name);
    for (const auto& zone : type.zones) zones.add(zone);
  }
  kinds_.assign(types.size(), nullptr);
  for (const auto& type : catalog) kinds_[types.find(type.name)] = &type;
  for (const auto& job : jobs) {
    if (job) measure(*job);
  }
}

// Asked for every job and machine at every plan, so it is worked out once.
void Cluster::measure(Job& job) const {
  job.fits.assign(kinds_.size(), false);
  job.smallest = kNone;
  for (Index type = 0; type < kinds_.size(); ++type) {
    if (kinds_[type] == nullptr || !jobs::fits_type(job.spec, *kinds_[type])) continue;
    job.fits[type] = true;
    if (job.smallest == kNone || kinds_[type]->cpus < kinds_[job.smallest]->cpus) {
      job.smallest = type;
    }
  }
}

Index Cluster::add_job(const jobs::Header& header, std::uint64_t revision, double seen_at,
                       CancellationTime cancelled_at) {
  Index index;
  if (free_jobs_.empty()) {
    index = static_cast<Index>(jobs.size());
    jobs.emplace_back();
  } else {
    index = free_jobs_.back();
    free_jobs_.pop_back();
  }
  auto made = std::make_unique<Job>();
  Job& job = *made;
  job.spec = header.spec;
  job.resources_per_task = {job.spec.cpus, job.spec.gpus, job.spec.ram_gb};
  job.revision = revision;
  job.accepted_revision = header.born != 0 ? header.born : revision;
  job.done.resize(job.spec.tasks);
  cut(job);
  job.accepted_at = job.unblocked_at = job.idle_since = seen_at;
  job.priority = job.spec.priority;
  for (const std::string& need : job.spec.depends_on) {
    job.dependencies.push_back({need, DependencyState::unknown});
    dependents[need].insert(index);
  }
  job.reported_done = header.done;
  job.reported_running = header.running;
  for (Index i = 0; i < platform.teams.size(); ++i) {
    if (platform.teams[i].name == job.spec.team) job.team = i;
  }
  if (job.spec.zone) job.zone = zones.add(*job.spec.zone);
  expect(job, {});
  measure(job);
  job_index[job.spec.id] = index;
  jobs[index] = std::move(made);
  jobs_with_changed_counts.insert(index);
  if (header.cancelled) cancel(index, cancelled_at);
  return index;
}

void Cluster::expect(Job& job, const std::vector<double>& inherited) const {
  const double estimate = job.spec.estimate_s;
  job.due_starts = inherited;
  if (job.spec.deadline_s) {
    job.due_starts.push_back(job.accepted_at + *job.spec.deadline_s - estimate);
  }
  std::vector<double> others;
  for (const settings::ServiceLevelObjective& objective : platform.objectives) {
    if (objective.job_class != job.spec.job_class) continue;
    switch (objective.kind) {
      case settings::ServiceLevelObjective::Kind::wait:
        others.push_back(job.unblocked_at + objective.within_s);
        break;
      case settings::ServiceLevelObjective::Kind::finished:
        others.push_back(job.unblocked_at + objective.within_s - estimate);
        break;
      case settings::ServiceLevelObjective::Kind::deadline:
        if (job.spec.deadline_s && objective.times != 1) {
          job.due_starts.push_back(job.accepted_at + *job.spec.deadline_s * objective.times -
                                   estimate);
        }
        break;
    }
  }
  std::sort(job.due_starts.begin(), job.due_starts.end());
  job.start_by = job.due_starts;
  // Times other than deadlines begin when nothing holds the job back any more.
  if (!job.waits()) job.start_by.insert(job.start_by.end(), others.begin(), others.end());
  std::sort(job.start_by.begin(), job.start_by.end());
}

double Job::next_start_by(double time) const {
  const auto at = std::lower_bound(start_by.begin(), start_by.end(), time);
  return at == start_by.end() ? kNever : *at;
}

void Cluster::remove_job(Index index) {
  Job& job = *jobs[index];
  for (const auto& [task, attempt] : job.attempts) {
    charge(job, -1);
    Host& host = *hosts[attempt.host];
    host.attempts.erase({index, task});
    host.free += job.resources_per_task;
  }
  for (std::size_t chunk = 0; chunk < job.task_ranges.size(); ++chunk) dirty.erase({index, chunk});
  finished_jobs.erase(index);
  jobs_with_changed_counts.erase(index);
  for (const Dependency& need : job.dependencies) {
    const auto at = dependents.find(need.id);
    if (at != dependents.end() && at->second.erase(index) > 0 && at->second.empty()) {
      dependents.erase(at);
    }
  }
  job_index.erase(job.spec.id);
  jobs[index].reset();
  free_jobs_.push_back(index);
}

Job* Cluster::job(const std::string& id) {
  const auto at = job_index.find(id);
  return at == job_index.end() ? nullptr : jobs[at->second].get();
}

Index Cluster::add_host(const std::string& name, double now) {
  const auto known = host_index.find(name);
  if (known != host_index.end()) return known->second;
  const auto index = free_hosts_.empty() ? static_cast<Index>(hosts.size()) : *free_hosts_.begin();
  auto made = std::make_unique<Host>();
  made->name = name;
  made->known_at = made->rented_at = made->idle_since = now;
  if (free_hosts_.empty()) {
    hosts.push_back(std::move(made));
  } else {
    hosts[index] = std::move(made);
    free_hosts_.erase(index);
  }
  host_index[name] = index;
  share_names(name);
  return index;
}

void Cluster::describe_host(Index index, const std::string& type, const std::string& zone,
                            bool spot) {
  Host& host = *hosts[index];
  if (host.type != kNone) return;
  host.type = types.add(type);
  host.zone = zones.add(zone);
  host.spot = spot;
  if (const auto* kind = type_of(host)) {
    host.free += {kind->cpus, kind->gpus, kind->ram_gb};
  } else {
    host.type = kNone;  // not in the catalog yet: nothing can be placed there
  }
}

void Cluster::remove_host(Index index, double now) {
  const std::set<TaskRef> attempts = hosts[index]->attempts;
  for (const TaskRef& ref : attempts) end_attempt(ref.job, ref.task, now);
  host_index.erase(hosts[index]->name);
  hosts[index].reset();
  free_hosts_.insert(index);
}

Host* Cluster::host(const std::string& name) {
  const auto at = host_index.find(name);
  return at == host_index.end() ? nullptr : hosts[at->second].get();
}

void Cluster::charge(const Job& job, double sign) {
  if (job.team == kNone) return;
  used[job.team].cpus += sign * job.resources_per_task.cpus;
  used[job.team].gpus += sign * job.resources_per_task.gpus;
}

void Cluster::place(Index index, std::uint32_t task, std::uint64_t number, Index host, double now) {
  Job& job = *jobs[index];
  Attempt attempt;
  attempt.number = number;
  attempt.host = host;
  attempt.placed_at = now;
  job.attempts[task] = attempt;
  if (job.spec.shape == jobs::Shape::gang) job.last_attempt = std::max(job.last_attempt, number);
  const std::size_t chunk = job.chunk_of(task);
  ++job.task_ranges[chunk].waiting;
  job.task_ranges[chunk].bytes += bytes_for(index, task, number, *hosts[host]);
  hosts[host]->attempts.insert({index, task});
  hosts[host]->was_backfilled = false;
  hosts[host]->free -= job.resources_per_task;
  charge(job, 1);
  touch(index, task, now);
}

void Cluster::end_attempt(Index index, std::uint32_t task, double now) {
  Job& job = *jobs[index];
  const auto at = job.attempts.find(task);
  if (at == job.attempts.end()) return;
  Host& host = *hosts[at->second.host];
  host.attempts.erase({index, task});
  host.free += job.resources_per_task;
  if (host.attempts.empty()) host.idle_since = now;
  charge(job, -1);
  mark_persisted(job, task);
  job.task_ranges[job.chunk_of(task)].bytes -= bytes_for(index, task, at->second.number, host);
  const bool ran = at->second.running_since >= 0 || at->second.from_previous_leader;
  if (ran && !job.done[task] && !job.cancelled)
    job.interruptions[task] = {now, at->second.voluntary};
  if (!job.done[task]) job.last_attempt = std::max(job.last_attempt, at->second.number);
  job.idle_since = std::max(job.idle_since, std::min(now, may_run_until(host)));
  job.attempts.erase(at);
  job.hint = std::min(job.hint, task);
  if (job.attempts.empty()) job.gang_started = false;
  touch(index, task, now);
  notice_over(index);
}

double Cluster::may_run_until(const Host& host) const {
  return std::max(host.last_heartbeat_at, host.known_at) + platform.workers.lease_s;
}

void Cluster::mark_done(Index index, std::uint32_t task, double now) {
  Job& job = *jobs[index];
  if (job.done[task]) return;
  job.done[task] = true;
  job.interruptions.erase(task);
  ++job.done_count;
  const auto twin = job.attempts.find(task);
  if (twin != job.attempts.end()) twin->second.stopping = true;
  touch(index, task, now);
  notice_over(index);
}

void Cluster::note_running(Job& job, std::uint32_t task, double since) {
  Attempt& attempt = job.attempts.at(task);
  if (attempt.running_since < 0) attempt.running_since = since;
  job.interruptions.erase(task);
}

void Cluster::stop(Index index, std::uint32_t task, double wind_down_s, bool voluntary) {
  Attempt& attempt = jobs[index]->attempts.at(task);
  if (attempt.stopping) return;
  attempt.stopping = true;
  attempt.voluntary = voluntary;
  attempt.grace_period_s = wind_down_s;
}

void Cluster::cancel(Index index, CancellationTime at) {
  Job& job = *jobs[index];
  job.cancelled = true;
  job.cancelled_at = at;
  job.interruptions.clear();
  for (auto& [task, attempt] : job.attempts) {
    attempt.stopping = true;
    attempt.grace_period_s = 0;
  }
  release_unsent(index, at.latest);
  notice_over(index);
}

bool Cluster::fills(const Job& job, Index index) const {
  const cloud::MachineType& type = *kinds_[index];
  return job.resources_per_task.cpus > type.cpus / 2 ||
         job.resources_per_task.ram_gb > type.ram_gb / 2 ||
         (type.gpus > 0 && job.resources_per_task.gpus > type.gpus / 2);
}

void Cluster::keep_for_large(double now) {
  std::erase_if(reserved_for_large, [&](const auto& kept) { return kept.second < now; });
  for (const auto& job : jobs) {
    if (!job || job->cancelled || job->waits() || job->fails_everywhere() ||
        job->smallest == kNone || !fills(*job, job->smallest))
      continue;
    reserved_for_large[{job->smallest, false}] = now + kKeepForLarge_s;
    if (job->spec.spot) reserved_for_large[{job->smallest, true}] = now + kKeepForLarge_s;
    if (job->attempts.size() + job->done_count == job->spec.tasks || !within_limit(*job, 1))
      continue;
    for (const auto& host : hosts) {
      if (host && host->backfilled && job->fits[host->type] && (job->spec.spot || !host->spot) &&
          (job->zone == kNone || job->zone == host->zone)) {
        host->backfilled = false;
      }
    }
  }
}

bool Cluster::is_kept_from(const Job& job, Index type, bool spot) const {
  if (!reserved_for_large.contains({type, spot}) || fills(job, type)) return false;
  return job.smallest != kNone && kinds_[job.smallest]->cpus < kinds_[type]->cpus;
}

void Cluster::release_unsent(Index index, double now) {
  Job& job = *jobs[index];
  std::vector<std::uint32_t> unsent;
  for (const auto& [task, attempt] : job.attempts) {
    const bool elsewhere = attempt.from_previous_leader || attempt.start_sent ||
                           attempt.observed != ObservedState::unobserved;
    if (attempt.stopping && !elsewhere) unsent.push_back(task);
  }
  for (const std::uint32_t task : unsent) end_attempt(index, task, now);
}

void Cluster::notice_over(Index index) {
  // A cancelled job looks over until the attempts that an earlier leader recorded are loaded.
  if (jobs[index]->finished()) {
    finished_jobs.insert(index);
  } else {
    finished_jobs.erase(index);
  }
}

bool Cluster::within_limit(const Job& job, double tasks, const Usage& kept) const {
  if (job.team == kNone) return false;
  const settings::Team& team = platform.teams[job.team];
  const Usage use{used[job.team].cpus + kept.cpus, used[job.team].gpus + kept.gpus};
  return (team.cpus_max <= 0 ||
          use.cpus + job.resources_per_task.cpus * tasks <= team.cpus_max + kSlack) &&
         (team.gpus_max <= 0 ||
          use.gpus + job.resources_per_task.gpus * tasks <= team.gpus_max + kSlack);
}

std::uint32_t Cluster::next_pending(Job& job, std::uint32_t from) const {
  std::uint32_t task = std::max(from, job.hint);
  while (task < job.spec.tasks && (job.done[task] || job.attempts.contains(task))) ++task;
  if (from <= job.hint) job.hint = task;
  return task;
}

}  // namespace reachramp::placement
