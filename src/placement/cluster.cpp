#include "placement/cluster.h"

#include <algorithm>

namespace reachramp::placement {

namespace {

// JSON bytes reckoned for a task of a gang or a service, each on a machine of its own, and for one
// of an array, several of which share a machine or wait for room.
constexpr double kBytesPerTask = 56;
constexpr double kBytesPerArrayTask = 20;
constexpr double kSlack = 1e-9;
constexpr double kKeepForLarge_s = 300;

}  // namespace

Index Names::add(const std::string& name) {
  const auto [at, fresh] = indices_.try_emplace(name, size());
  if (fresh) names_.push_back(name);
  return at->second;
}

Index Names::find(const std::string& name) const {
  const auto at = indices_.find(name);
  return at == indices_.end() ? kNone : at->second;
}

Resources& Resources::operator+=(const Resources& o) {
  cpus += o.cpus;
  gpus += o.gpus;
  ram_gb += o.ram_gb;
  return *this;
}

Resources& Resources::operator-=(const Resources& o) { return *this += o.times(-1); }

bool Resources::holds(const Resources& need) const {
  const double slack = 1e-6;
  return need.cpus <= cpus + slack && need.gpus <= gpus + slack && need.ram_gb <= ram_gb + slack;
}

std::uint32_t Resources::copies(const Resources& need) const {
  double copies = 1e6;
  if (need.cpus > 0) copies = std::min(copies, (cpus + 1e-6) / need.cpus);
  if (need.gpus > 0) copies = std::min(copies, (gpus + 1e-6) / need.gpus);
  if (need.ram_gb > 0) copies = std::min(copies, (ram_gb + 1e-6) / need.ram_gb);
  return copies < 0 ? 0 : static_cast<std::uint32_t>(copies);
}

Resources Resources::times(double f) const { return {cpus * f, gpus * f, ram_gb * f}; }

Cluster::Cluster(const settings::Platform& p, std::uint64_t b)
    : platform(p), baton(b), used(p.teams.size()) {}

std::size_t Cluster::chunk_tasks(jobs::Shape shape) const {
  const double each = shape == jobs::Shape::array ? kBytesPerArrayTask : kBytesPerTask;
  return static_cast<std::size_t>(std::max(8.0, value_bytes() / each));
}

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

Index Cluster::add_job(const jobs::Header& header, std::uint64_t stamp, double now) {
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
  job.need = {job.spec.cpus, job.spec.gpus, job.spec.ram_gb};
  job.stamp = stamp;
  job.born = header.born != 0 ? header.born : stamp;
  job.done.resize(job.spec.tasks);
  job.chunk_tasks = chunk_tasks(job.spec.shape);
  job.chunks.resize((job.spec.tasks + job.chunk_tasks - 1) / job.chunk_tasks);
  job.seen_at = now;
  job.told_done = header.done;
  job.told_running = header.running;
  for (Index i = 0; i < platform.teams.size(); ++i) {
    if (platform.teams[i].name == job.spec.team) job.team = i;
  }
  if (job.spec.zone) job.zone = zones.add(*job.spec.zone);
  job.start_by = start_by(job);
  measure(job);
  job_index[job.spec.id] = index;
  jobs[index] = std::move(made);
  if (header.cancelled) cancel(index, now);
  return index;
}

std::vector<double> Cluster::start_by(const Job& job) const {
  const double estimate = job.spec.estimate_s;
  std::vector<double> by;
  if (job.spec.deadline_s) by.push_back(job.seen_at + *job.spec.deadline_s - estimate);
  for (const settings::Objective& objective : platform.objectives) {
    if (objective.job_class != job.spec.job_class) continue;
    const bool wait = objective.kind == settings::Objective::Kind::wait;
    by.push_back(job.seen_at + objective.within_s - (wait ? 0 : estimate));
  }
  std::sort(by.begin(), by.end());
  return by;
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
    host.free += job.need;
  }
  for (std::size_t chunk = 0; chunk < job.chunks.size(); ++chunk) dirty.erase({index, chunk});
  over.erase(index);
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
  const auto slot = std::find(hosts.begin(), hosts.end(), nullptr);
  const auto index = static_cast<Index>(slot - hosts.begin());
  auto made = std::make_unique<Host>();
  made->name = name;
  made->known_at = made->rented_at = made->idle_since = now;
  if (slot == hosts.end()) {
    hosts.push_back(std::move(made));
  } else {
    *slot = std::move(made);
  }
  host_index[name] = index;
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
}

Host* Cluster::host(const std::string& name) {
  const auto at = host_index.find(name);
  return at == host_index.end() ? nullptr : hosts[at->second].get();
}

void Cluster::charge(const Job& job, double sign) {
  if (job.team == kNone) return;
  used[job.team].cpus += sign * job.need.cpus;
  used[job.team].gpus += sign * job.need.gpus;
}

void Cluster::place(Index index, std::uint32_t task, std::uint64_t number, Index host, double now) {
  Job& job = *jobs[index];
  Attempt attempt;
  attempt.number = number;
  attempt.host = host;
  job.attempts[task] = attempt;
  if (job.spec.shape == jobs::Shape::gang) job.last_attempt = std::max(job.last_attempt, number);
  const std::size_t chunk = job.chunk_of(task);
  ++job.chunks[chunk].waiting;
  job.chunks[chunk].bytes += bytes_for(index, task, number, *hosts[host]);
  hosts[host]->attempts.insert({index, task});
  hosts[host]->free -= job.need;
  charge(job, 1);
  touch(index, task, now);
}

std::size_t Cluster::bytes_for(Index index, std::uint32_t task, std::uint64_t attempt,
                               const Host& host) const {
  const Job& job = *jobs[index];
  const auto first = static_cast<std::uint32_t>(job.chunk_of(task) * job.chunk_tasks);
  const auto other = host.attempts.lower_bound({index, first});
  const bool named =
      other != host.attempts.end() && other->job == index && other->task < first + job.chunk_tasks;
  return jobs::placement_bytes(task, attempt) + (named ? 0 : jobs::machine_bytes(host.name));
}

bool Cluster::fits_value(const Job& job, std::size_t chunk, std::size_t more) const {
  return static_cast<double>(jobs::empty_chunk_bytes(job.chunk_tasks) + job.chunks[chunk].bytes +
                             more) <= value_bytes();
}

bool Cluster::has_room(Index index, std::uint32_t task, std::uint64_t attempt, Index host) const {
  const Job& job = *jobs[index];
  return fits_value(job, job.chunk_of(task), bytes_for(index, task, attempt, *hosts[host]));
}

void Cluster::make_durable(Job& job, std::uint32_t task) {
  Attempt& attempt = job.attempts.at(task);
  if (attempt.durable) return;
  attempt.durable = true;
  --job.chunks[job.chunk_of(task)].waiting;
}

void Cluster::inherit(Index index, const jobs::ChunkRecord& record, std::size_t chunk,
                      std::uint64_t stamp, double now) {
  Job& job = *jobs[index];
  if (chunk >= job.chunks.size()) return;
  job.chunks[chunk].stamp = stamp;
  job.last_attempt = std::max(job.last_attempt, record.last_attempt);
  for (const std::uint32_t task : record.done) {
    if (task < job.spec.tasks) mark_done(index, task, now);
  }
  for (const jobs::Placement& placement : record.placements) {
    if (placement.task >= job.spec.tasks || job.attempts.contains(placement.task)) continue;
    place(index, placement.task, placement.attempt, add_host(placement.host, now), now);
    Attempt& attempt = job.attempts[placement.task];
    attempt.inherited = true;
    make_durable(job, placement.task);
    attempt.stopping = job.cancelled;
  }
  job.chunks[chunk].stored = job.chunks[chunk].changed;
  dirty.erase({index, chunk});
  notice_over(index);
}

void Cluster::end_attempt(Index index, std::uint32_t task, double now) {
  Job& job = *jobs[index];
  const auto at = job.attempts.find(task);
  if (at == job.attempts.end()) return;
  Host& host = *hosts[at->second.host];
  host.attempts.erase({index, task});
  host.free += job.need;
  if (host.attempts.empty()) host.idle_since = now;
  charge(job, -1);
  make_durable(job, task);
  job.chunks[job.chunk_of(task)].bytes -= bytes_for(index, task, at->second.number, host);
  if (!job.done[task]) job.last_attempt = std::max(job.last_attempt, at->second.number);
  job.attempts.erase(at);
  job.hint = std::min(job.hint, task);
  if (job.attempts.empty()) job.gang_started = false;
  touch(index, task, now);
  notice_over(index);
}

void Cluster::mark_done(Index index, std::uint32_t task, double now) {
  Job& job = *jobs[index];
  if (job.done[task]) return;
  job.done[task] = true;
  ++job.done_count;
  const auto twin = job.attempts.find(task);
  if (twin != job.attempts.end()) twin->second.stopping = true;
  touch(index, task, now);
  notice_over(index);
}

void Cluster::stop(Index index, std::uint32_t task, double wind_down_s) {
  Attempt& attempt = jobs[index]->attempts.at(task);
  if (attempt.stopping) return;
  attempt.stopping = true;
  attempt.wind_down_s = wind_down_s;
}

void Cluster::cancel(Index index, double now) {
  Job& job = *jobs[index];
  job.cancelled = true;
  for (auto& [task, attempt] : job.attempts) {
    attempt.stopping = true;
    attempt.wind_down_s = 0;
  }
  release_unsent(index, now);
  notice_over(index);
}

bool Cluster::fills(const Job& job, Index index) const {
  const cloud::MachineType& type = *kinds_[index];
  return job.need.cpus > type.cpus / 2 || job.need.ram_gb > type.ram_gb / 2 ||
         (type.gpus > 0 && job.need.gpus > type.gpus / 2);
}

void Cluster::keep_for_large(double now) {
  std::erase_if(kept_for_large, [&](const auto& kept) { return kept.second < now; });
  for (const auto& job : jobs) {
    if (!job || job->cancelled || job->smallest == kNone || !fills(*job, job->smallest)) continue;
    kept_for_large[{job->smallest, false}] = now + kKeepForLarge_s;
    if (job->spec.spot) kept_for_large[{job->smallest, true}] = now + kKeepForLarge_s;
  }
}

bool Cluster::is_kept_from(const Job& job, Index type, bool spot) const {
  if (!kept_for_large.contains({type, spot}) || fills(job, type)) return false;
  return job.smallest != kNone && kinds_[job.smallest]->cpus < kinds_[type]->cpus;
}

void Cluster::release_unsent(Index index, double now) {
  Job& job = *jobs[index];
  std::vector<std::uint32_t> unsent;
  for (const auto& [task, attempt] : job.attempts) {
    const bool elsewhere = attempt.inherited || attempt.sent || attempt.seen != Seen::nowhere;
    if (attempt.stopping && !elsewhere) unsent.push_back(task);
  }
  for (const std::uint32_t task : unsent) end_attempt(index, task, now);
}

void Cluster::touch(Index index, std::uint32_t task, double now) {
  const std::size_t number = jobs[index]->chunk_of(task);
  Chunk& chunk = jobs[index]->chunks[number];
  if (chunk.changed++ == chunk.stored) chunk.dirty_since = now;
  dirty.insert({index, number});
}

void Cluster::notice_over(Index index) {
  // A cancelled job looks over until the attempts that an earlier leader recorded are loaded.
  if (jobs[index]->over()) {
    over.insert(index);
  } else {
    over.erase(index);
  }
}

bool Cluster::chunk_is_stored(const Job& job, std::uint32_t task) const {
  const Chunk& chunk = job.chunks[job.chunk_of(task)];
  return chunk.changed == chunk.stored;
}

jobs::ChunkRecord Cluster::chunk_record(const Job& job, std::size_t chunk) const {
  jobs::ChunkRecord record;
  record.last_attempt = job.last_attempt;
  record.first = static_cast<std::uint32_t>(chunk * job.chunk_tasks);
  const auto end = static_cast<std::uint32_t>(
      std::min<std::size_t>(job.spec.tasks, record.first + job.chunk_tasks));
  for (std::uint32_t task = record.first; task < end; ++task) {
    if (job.done[task]) record.done.push_back(task);
  }
  // Whatever was placed had room; a task found running that nobody had placed may have none, and
  // shows again in its worker's next report.
  const bool full = !fits_value(job, chunk, 0);
  for (auto at = job.attempts.lower_bound(record.first);
       at != job.attempts.end() && at->first < end; ++at) {
    if (full && at->second.adopted) continue;
    record.placements.push_back({at->first, at->second.number, hosts[at->second.host]->name});
  }
  return record;
}

bool Cluster::within_limit(const Job& job, double tasks) const {
  if (job.team == kNone) return false;
  const settings::Team& team = platform.teams[job.team];
  const Usage& use = used[job.team];
  return (team.cpus_max <= 0 || use.cpus + job.need.cpus * tasks <= team.cpus_max + kSlack) &&
         (team.gpus_max <= 0 || use.gpus + job.need.gpus * tasks <= team.gpus_max + kSlack);
}

std::uint32_t Cluster::next_pending(Job& job, std::uint32_t from) const {
  std::uint32_t task = std::max(from, job.hint);
  while (task < job.spec.tasks && (job.done[task] || job.attempts.contains(task))) ++task;
  if (from <= job.hint) job.hint = task;
  return task;
}

}  // namespace reachramp::placement
