// How the cluster's jobs are cut into records of the key-value store, and what fits them.
#include <algorithm>

#include "placement/cluster.h"

namespace reachramp::placement {

namespace {

// JSON bytes reckoned for a task of a gang or a service, each on a machine of its own, and for one
// of an array, several of which share a machine or wait for room.
constexpr double kBytesPerTask = 56;
constexpr double kBytesPerArrayTask = 20;
constexpr double kCompactBytesPerArrayTask = 12.25;

}  // namespace

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
  job.task_ranges.assign((job.spec.tasks + job.chunk_tasks - 1) / job.chunk_tasks, {});
  for (std::size_t i = 0; i < job.task_ranges.size(); ++i) {
    job.task_ranges[i].first = static_cast<std::uint32_t>(i * job.chunk_tasks);
    job.task_ranges[i].end = static_cast<std::uint32_t>(
        std::min<std::size_t>(job.spec.tasks, (i + 1) * job.chunk_tasks));
  }
}

std::string Cluster::chunk_key(const Job& job, std::size_t chunk) const {
  return format_ == jobs::Format::whole
             ? jobs::chunk_key(job.spec.id, chunk)
             : jobs::compact_key(job.spec.id, job.task_ranges[chunk].first,
                                 job.task_ranges[chunk].end);
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
    const std::vector<TaskRange> before = std::move(job.task_ranges);
    for (std::size_t i = 0; i < before.size(); ++i) {
      if (before[i].revision != 0) {
        job.obsolete_records.push_back({jobs::chunk_key(job.spec.id, i), before[i].revision});
      }
    }
    cut(job);
    for (const auto& [task, attempt] : job.attempts) {
      if (!attempt.persisted) ++job.task_ranges[job.chunk_of(task)].waiting;
    }
    for (const TaskRange& chunk : before) {
      if (chunk.changed == chunk.stored) continue;
      for (std::uint32_t task = chunk.first; task < chunk.end;) {
        touch(index, task, now);
        task = job.task_ranges[job.chunk_of(task)].end;
      }
    }
    count_bytes(index);
  }
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
  for (TaskRange& chunk : job.task_ranges) chunk.bytes = 0;
  std::set<std::tuple<std::size_t, Index, std::uint64_t>> named;
  for (const auto& [task, attempt] : job.attempts) {
    const std::size_t number = job.chunk_of(task);
    TaskRange& chunk = job.task_ranges[number];
    chunk.bytes += jobs::placement_bytes(format_, task, chunk.first, attempt.number);
    const std::uint64_t same = format_ == jobs::Format::whole ? 0 : attempt.number;
    if (named.insert({number, attempt.host, same}).second) {
      chunk.bytes +=
          jobs::machine_bytes(format_, hosts[attempt.host]->name, attempt.number, shared_.size());
    }
  }
}

std::size_t Cluster::bytes_for(Index index, std::uint32_t task, std::uint64_t attempt,
                               const Host& host) const {
  const Job& job = *jobs[index];
  const TaskRange& chunk = job.task_ranges[job.chunk_of(task)];
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
                             job.task_ranges[chunk].bytes + more) <= value_bytes();
}

bool Cluster::has_room(Index index, std::uint32_t task, std::uint64_t attempt, Index host) const {
  const Job& job = *jobs[index];
  return fits_value(job, job.chunk_of(task), bytes_for(index, task, attempt, *hosts[host]));
}

void Cluster::mark_persisted(Job& job, std::uint32_t task) {
  Attempt& attempt = job.attempts.at(task);
  if (attempt.persisted) return;
  attempt.persisted = true;
  --job.task_ranges[job.chunk_of(task)].waiting;
}

// The newest record that covers a task tells of it. So records may be cut anew, one at a time and
// each in a transaction of its own, while the older ones still stand: at every moment each task has
// its placement and its done mark, whoever takes over and however it cuts.
void Cluster::restore(Index index, std::vector<StoredRecord> records, double now) {
  Job& job = *jobs[index];
  std::sort(records.begin(), records.end(),
            [](const StoredRecord& a, const StoredRecord& b) { return a.revision > b.revision; });
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
      attempt.from_previous_leader = true;
      attempt.placed_at = stored.stored_at;
      mark_persisted(job, task);
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
    if (stored.key.format == format_ && number < job.task_ranges.size() &&
        job.task_ranges[number].first == record.first &&
        (!compact || job.task_ranges[number].end == stored.key.end)) {
      job.task_ranges[number].revision = stored.revision;
    } else {
      job.obsolete_records.push_back({stored.name, stored.revision});
    }
  }
  for (std::size_t i = 0; i < job.task_ranges.size(); ++i) {
    job.task_ranges[i].stored = job.task_ranges[i].changed;
    dirty.erase({index, i});
  }
  notice_over(index);
}

void Cluster::release_unstored(Index index, std::size_t chunk, double now) {
  Job& job = *jobs[index];
  std::vector<std::uint32_t> unstored;
  for (std::uint32_t task = job.task_ranges[chunk].first; task < job.task_ranges[chunk].end;
       ++task) {
    const auto at = job.attempts.find(task);
    if (at != job.attempts.end() && !at->second.persisted && !at->second.start_sent) {
      unstored.push_back(task);
    }
  }
  for (const std::uint32_t task : unstored) end_attempt(index, task, now);
}

bool Cluster::renew_older(Index index, std::uint64_t revision, double now) {
  Job& job = *jobs[index];
  bool none = true;
  for (const TaskRange& chunk : job.task_ranges) {
    if (chunk.revision > revision) continue;
    none = false;
    if (chunk.changed == chunk.stored) touch(index, chunk.first, now);
  }
  return none;
}

void Cluster::touch(Index index, std::uint32_t task, double now) {
  jobs_with_changed_counts.insert(index);
  const std::size_t number = jobs[index]->chunk_of(task);
  TaskRange& chunk = jobs[index]->task_ranges[number];
  if (chunk.changed++ == chunk.stored) chunk.dirty_since = now;
  dirty.insert({index, number});
}

bool Cluster::chunk_is_stored(const Job& job, std::uint32_t task) const {
  const TaskRange& chunk = job.task_ranges[job.chunk_of(task)];
  return chunk.changed == chunk.stored;
}

jobs::ChunkRecord Cluster::chunk_record(const Job& job, std::size_t chunk) const {
  jobs::ChunkRecord record;
  record.last_attempt = job.last_attempt;
  record.first = job.task_ranges[chunk].first;
  const std::uint32_t end = job.task_ranges[chunk].end;
  for (std::uint32_t task = record.first; task < end; ++task) {
    if (job.done[task]) record.done.push_back(task);
  }
  // Whatever was placed had room; a task found running that nobody had placed may have none, and
  // shows again in its worker's next report.
  const bool full = !fits_value(job, chunk, 0);
  for (auto at = job.attempts.lower_bound(record.first);
       at != job.attempts.end() && at->first < end; ++at) {
    if (full && at->second.reconciled) continue;
    record.placements.push_back({at->first, at->second.number, hosts[at->second.host]->name});
  }
  return record;
}

}  // namespace reachramp::placement
