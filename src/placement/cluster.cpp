#include "placement/cluster.h"

#include <algorithm>

namespace reachramp::placement {

namespace {

// JSON bytes reckoned for a task of a gang or a service, each on a machine of its own, and for one
// of an array, several of which share a machine or wait for room.
constexpr double kBytesPerTask = 56;
constexpr double kBytesPerArrayTask = 20;
constexpr double kCompactBytesPerArrayTask = 12.25;
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

Cluster::Cluster(const settings::Platform& p, std::uint64_t b, jobs::Format format)
    : platform(p),
      baton(b),
      used(p.teams.size()),
      format_(format),
      limits_(format == jobs::Format::whole ? p.state_limits : p.lasting()) {}

// Whole records are cut as version 0.2.0 cuts them: it drops a record, with what it says is done
// and placed, whose number is past its own count, and would start those tasks again.
std::size_t Cluster::chunk_tasks(jobs::Shape shape) const {
  const bool whole = format_ == jobs::Format::whole;
  const double each = shape != jobs::Shape::array ? kBytesPerTask
                      : whole                     ? kBytesPerArrayTask
                                                  : kCompactBytesPerArrayTask;
  return static_cast<std::size_t>(std::max(8.0, value_bytes() / each));
}

void Cluster::cut(Job& job) const {
  job.chunk_tasks = chunk_tasks(job.spec.shape);
  job.chunks.assign((job.spec.tasks + job.chunk_tasks - 1) / job.chunk_tasks, {});
  for (std::size_t i = 0; i < job.chunks.size(); ++i) {
    job.chunks[i].first = static_cast<std::uint32_t>(i * job.chunk_tasks);
    job.chunks[i].end = static_cast<std::uint32_t>(
        std::min<std::size_t>(job.spec.tasks, (i + 1) * job.chunk_tasks));
  }
}

std::string Cluster::chunk_key(const Job& job, std::size_t chunk) const {
  return format_ == jobs::Format::whole
             ? jobs::chunk_key(job.spec.id, chunk)
             : jobs::compact_key(job.spec.id, job.chunks[chunk].first, job.chunks[chunk].end);
}

jobs::Json Cluster::encode_chunk(const jobs::ChunkRecord& record) const {
  return format_ == jobs::Format::whole ? jobs::encode_chunk(record) : jobs::encode_compact(record);
}

void Cluster::use_compact(double now) {
  if (format_ == jobs::Format::compact) return;
  format_ = jobs::Format::compact;
  limits_ = platform.lasting();
  dirty.clear();
  for (Index index = 0; index < jobs.size(); ++index) {
    if (!jobs[index]) continue;
    Job& job = *jobs[index];
    const std::vector<Chunk> before = std::move(job.chunks);
    for (std::size_t i = 0; i < before.size(); ++i) {
      if (before[i].stamp != 0) {
        job.strays.push_back({jobs::chunk_key(job.spec.id, i), before[i].stamp});
      }
    }
    cut(job);
    for (const auto& [task, attempt] : job.attempts) {
      if (!attempt.durable) ++job.chunks[job.chunk_of(task)].waiting;
    }
    for (const Chunk& chunk : before) {
      if (chunk.changed == chunk.stored) continue;
      for (std::uint32_t task = chunk.first; task < chunk.end;) {
        touch(index, task, now);
        task = job.chunks[job.chunk_of(task)].end;
      }
    }
    count_bytes(index);
  }
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
  cut(job);
  job.seen_at = job.freed_at = now;
  job.priority = job.spec.priority;
  for (const std::string& need : job.spec.needs) {
    job.needs.push_back({need, Fate::unknown});
    needed_by[need].insert(index);
  }
  job.told_done = header.done;
  job.told_running = header.running;
  for (Index i = 0; i < platform.teams.size(); ++i) {
    if (platform.teams[i].name == job.spec.team) job.team = i;
  }
  if (job.spec.zone) job.zone = zones.add(*job.spec.zone);
  expect(job, {});
  measure(job);
  job_index[job.spec.id] = index;
  jobs[index] = std::move(made);
  news.insert(index);
  if (header.cancelled) cancel(index, now);
  return index;
}

void Cluster::expect(Job& job, const std::vector<double>& inherited) const {
  const double estimate = job.spec.estimate_s;
  job.due_starts = inherited;
  if (job.spec.deadline_s) {
    job.due_starts.push_back(job.seen_at + *job.spec.deadline_s - estimate);
  }
  std::vector<double> others;
  for (const settings::Objective& objective : platform.objectives) {
    if (objective.job_class != job.spec.job_class) continue;
    switch (objective.kind) {
      case settings::Objective::Kind::wait:
        others.push_back(job.freed_at + objective.within_s);
        break;
      case settings::Objective::Kind::finished:
        others.push_back(job.freed_at + objective.within_s - estimate);
        break;
      case settings::Objective::Kind::deadline:
        if (job.spec.deadline_s && objective.times != 1) {
          job.due_starts.push_back(job.seen_at + *job.spec.deadline_s * objective.times - estimate);
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
    host.free += job.need;
  }
  for (std::size_t chunk = 0; chunk < job.chunks.size(); ++chunk) dirty.erase({index, chunk});
  over.erase(index);
  news.erase(index);
  for (const Need& need : job.needs) {
    const auto at = needed_by.find(need.id);
    if (at != needed_by.end() && at->second.erase(index) > 0 && at->second.empty()) {
      needed_by.erase(at);
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

// Placements are reckoned without the letters that all names share; as those grow fewer, records
// grow longer.
void Cluster::share_names(const std::string& name) {
  const std::size_t before = shared_.size();
  if (host_index.size() == 1) {
    shared_ = name;
  } else {
    const auto differ = std::mismatch(shared_.begin(), shared_.end(), name.begin(), name.end());
    shared_.erase(differ.first, shared_.end());
  }
  if (format_ == jobs::Format::whole || shared_.size() >= before) return;
  for (Index index = 0; index < jobs.size(); ++index) {
    if (jobs[index]) count_bytes(index);
  }
}

void Cluster::count_bytes(Index index) {
  Job& job = *jobs[index];
  for (Chunk& chunk : job.chunks) chunk.bytes = 0;
  std::set<std::tuple<std::size_t, Index, std::uint64_t>> named;
  for (const auto& [task, attempt] : job.attempts) {
    const std::size_t number = job.chunk_of(task);
    Chunk& chunk = job.chunks[number];
    chunk.bytes += jobs::placement_bytes(format_, task, chunk.first, attempt.number);
    const std::uint64_t same = format_ == jobs::Format::whole ? 0 : attempt.number;
    if (named.insert({number, attempt.host, same}).second) {
      chunk.bytes +=
          jobs::machine_bytes(format_, hosts[attempt.host]->name, attempt.number, shared_.size());
    }
  }
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
  const Chunk& chunk = job.chunks[job.chunk_of(task)];
  const bool whole = format_ == jobs::Format::whole;
  bool named = false;
  for (auto other = host.attempts.lower_bound({index, chunk.first});
       !named && other != host.attempts.end() && other->job == index && other->task < chunk.end;
       ++other) {
    named = other->task != task && (whole || job.attempts.at(other->task).number == attempt);
  }
  return jobs::placement_bytes(format_, task, chunk.first, attempt) +
         (named ? 0 : jobs::machine_bytes(format_, host.name, attempt, shared_.size()));
}

bool Cluster::fits_value(const Job& job, std::size_t chunk, std::size_t more) const {
  return static_cast<double>(jobs::empty_chunk_bytes(format_, job.chunk_tasks, shared_.size()) +
                             job.chunks[chunk].bytes + more) <= value_bytes();
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

// The newest record that covers a task tells of it. So records may be cut anew, one at a time and
// each in a transaction of its own, while the older ones still stand: at every moment each task has
// its placement and its done mark, whoever takes over and however it cuts.
void Cluster::inherit(Index index, std::vector<StoredRecord> records, double now) {
  Job& job = *jobs[index];
  std::sort(records.begin(), records.end(),
            [](const StoredRecord& a, const StoredRecord& b) { return a.stamp > b.stamp; });
  std::vector<bool> covered(job.spec.tasks);
  for (const StoredRecord& stored : records) {
    const jobs::ChunkRecord& record = stored.record;
    job.last_attempt = std::max(job.last_attempt, record.last_attempt);
    std::vector<std::uint32_t> told;
    for (const std::uint32_t task : record.done) {
      if (task >= job.spec.tasks || covered[task]) continue;
      mark_done(index, task, now);
      told.push_back(task);
    }
    for (const jobs::Placement& placement : record.placements) {
      const std::uint32_t task = placement.task;
      if (task >= job.spec.tasks || covered[task] || job.attempts.contains(task)) continue;
      place(index, task, placement.attempt, add_host(placement.host, now), now);
      Attempt& attempt = job.attempts[task];
      attempt.inherited = true;
      make_durable(job, task);
      attempt.stopping = job.cancelled;
      told.push_back(task);
    }
    for (const std::uint32_t task : told) covered[task] = true;
    const bool compact = stored.key.format == jobs::Format::compact;
    if (compact) {
      for (std::uint32_t task = stored.key.first; task < std::min(stored.key.end, job.spec.tasks);
           ++task) {
        covered[task] = true;
      }
    }
    const std::size_t number = compact ? record.first / job.chunk_tasks : stored.key.first;
    if (stored.key.format == format_ && number < job.chunks.size() &&
        job.chunks[number].first == record.first &&
        (!compact || job.chunks[number].end == stored.key.end)) {
      job.chunks[number].stamp = stored.stamp;
    } else {
      job.strays.push_back({stored.name, stored.stamp});
    }
  }
  for (std::size_t i = 0; i < job.chunks.size(); ++i) {
    job.chunks[i].stored = job.chunks[i].changed;
    dirty.erase({index, i});
  }
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
    if (!job || job->cancelled || job->waits() || job->smallest == kNone ||
        !fills(*job, job->smallest))
      continue;
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

void Cluster::release_unstored(Index index, std::size_t chunk, double now) {
  Job& job = *jobs[index];
  std::vector<std::uint32_t> unstored;
  for (std::uint32_t task = job.chunks[chunk].first; task < job.chunks[chunk].end; ++task) {
    const auto at = job.attempts.find(task);
    if (at != job.attempts.end() && !at->second.durable && !at->second.sent) {
      unstored.push_back(task);
    }
  }
  for (const std::uint32_t task : unstored) end_attempt(index, task, now);
}

void Cluster::touch(Index index, std::uint32_t task, double now) {
  news.insert(index);
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
  record.first = job.chunks[chunk].first;
  const std::uint32_t end = job.chunks[chunk].end;
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
