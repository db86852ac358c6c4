// Splits jobs into task ranges, computes the size of their records, and loads stored records.
#include <algorithm>

#include "placement/cluster.h"

namespace reachramp::placement {

namespace {

// JSON bytes that a record needs per task, for choosing the number of tasks per record. Each task
// of a gang or service may be on a machine of its own. Several tasks of an array usually share a
// machine; if they do not, they wait until their record has room.
constexpr double kBytesPerTask = 56;
constexpr double kBytesPerArrayTask = 20;
constexpr double kCompactBytesPerArrayTask = 12.25;

}  // namespace

// In the legacy format, the task ranges must be the same as those of version 0.2.0. That version
// computes how many records a job has. It discards a record whose number is not below that count,
// with the done tasks and placements in the record, and would run those tasks again.
std::size_t Cluster::tasks_per_range(jobs::Shape shape) const {
  const bool is_legacy = format_ == jobs::TaskRecordFormat::legacy;
  const double bytes_per_task = shape != jobs::Shape::array ? kBytesPerTask
                                : is_legacy                 ? kBytesPerArrayTask
                                                            : kCompactBytesPerArrayTask;
  return static_cast<std::size_t>(std::max(8.0, max_record_bytes() / bytes_per_task));
}

void Cluster::split_into_ranges(Job& job) const {
  job.tasks_per_range = tasks_per_range(job.spec.shape);
  job.task_ranges.assign((job.spec.tasks + job.tasks_per_range - 1) / job.tasks_per_range, {});
  for (std::size_t i = 0; i < job.task_ranges.size(); ++i) {
    job.task_ranges[i].first = static_cast<std::uint32_t>(i * job.tasks_per_range);
    job.task_ranges[i].end = static_cast<std::uint32_t>(
        std::min<std::size_t>(job.spec.tasks, (i + 1) * job.tasks_per_range));
  }
}

std::string Cluster::task_range_key(const Job& job, std::size_t range) const {
  return format_ == jobs::TaskRecordFormat::legacy
             ? jobs::legacy_task_range_key(job.spec.id, range)
             : jobs::compact_task_range_key(job.spec.id, job.task_ranges[range].first,
                                            job.task_ranges[range].end);
}

jobs::Json Cluster::encode_task_range(const jobs::TaskRangeRecord& record) const {
  return format_ == jobs::TaskRecordFormat::legacy ? jobs::encode_legacy_task_range(record)
                                                   : jobs::encode_compact_task_range(record);
}

void Cluster::switch_to_compact_records(double now) {
  if (format_ == jobs::TaskRecordFormat::compact) return;
  format_ = jobs::TaskRecordFormat::compact;
  limits_ = platform.strictest_store_limits();
  dirty_task_ranges.clear();
  for (Index index = 0; index < jobs.size(); ++index) {
    if (!jobs[index]) continue;
    Job& job = *jobs[index];
    const std::vector<TaskRange> old_ranges = std::move(job.task_ranges);
    for (std::size_t i = 0; i < old_ranges.size(); ++i) {
      if (old_ranges[i].revision != 0) {
        job.obsolete_records.push_back(
            {jobs::legacy_task_range_key(job.spec.id, i), old_ranges[i].revision});
      }
    }
    split_into_ranges(job);
    for (const auto& [task, attempt] : job.attempts) {
      if (!attempt.persisted) ++job.task_ranges[job.range_index(task)].unpersisted_attempts;
    }
    for (const TaskRange& range : old_ranges) {
      if (range.version == range.stored_version) continue;
      for (std::uint32_t task = range.first; task < range.end;) {
        mark_range_dirty(index, task, now);
        task = job.task_ranges[job.range_index(task)].end;
      }
    }
    recompute_placement_bytes(index);
  }
}

// In compact records, a machine name takes only the bytes after the common prefix of all names.
// When the prefix becomes shorter, the sizes of all records grow.
void Cluster::update_name_prefix(const std::string& name) {
  const std::size_t old_length = name_prefix_.size();
  if (host_index.size() == 1) {
    name_prefix_ = name;
  } else {
    const auto differ =
        std::mismatch(name_prefix_.begin(), name_prefix_.end(), name.begin(), name.end());
    name_prefix_.erase(differ.first, name_prefix_.end());
  }
  if (format_ == jobs::TaskRecordFormat::legacy || name_prefix_.size() >= old_length) return;
  for (Index index = 0; index < jobs.size(); ++index) {
    if (jobs[index]) recompute_placement_bytes(index);
  }
}

void Cluster::recompute_placement_bytes(Index index) {
  Job& job = *jobs[index];
  for (TaskRange& range : job.task_ranges) range.placement_bytes = 0;
  std::set<std::tuple<std::size_t, Index, std::uint64_t>> counted_machines;
  for (const auto& [task, attempt] : job.attempts) {
    const std::size_t range_number = job.range_index(task);
    TaskRange& range = job.task_ranges[range_number];
    range.placement_bytes += jobs::max_placement_bytes(format_, task, range.first, attempt.number);
    const std::uint64_t attempt_group =
        format_ == jobs::TaskRecordFormat::legacy ? 0 : attempt.number;
    if (counted_machines.insert({range_number, attempt.host, attempt_group}).second) {
      range.placement_bytes += jobs::max_machine_bytes(format_, hosts[attempt.host]->name,
                                                       attempt.number, name_prefix_.size());
    }
  }
}

std::size_t Cluster::added_record_bytes(Index index, std::uint32_t task, std::uint64_t attempt,
                                        const Host& host) const {
  const Job& job = *jobs[index];
  const TaskRange& range = job.task_ranges[job.range_index(task)];
  const bool is_legacy = format_ == jobs::TaskRecordFormat::legacy;
  bool machine_counted = false;
  for (auto other = host.attempts.lower_bound({index, range.first});
       !machine_counted && other != host.attempts.end() && other->job == index &&
       other->task < range.end;
       ++other) {
    machine_counted =
        other->task != task && (is_legacy || job.attempts.at(other->task).number == attempt);
  }
  return jobs::max_placement_bytes(format_, task, range.first, attempt) +
         (machine_counted
              ? 0
              : jobs::max_machine_bytes(format_, host.name, attempt, name_prefix_.size()));
}

bool Cluster::record_fits(const Job& job, std::size_t range, std::size_t extra_bytes) const {
  return static_cast<double>(
             jobs::max_empty_range_bytes(format_, job.tasks_per_range, name_prefix_.size()) +
             job.task_ranges[range].placement_bytes + extra_bytes) <= max_record_bytes();
}

bool Cluster::record_has_room(Index index, std::uint32_t task, std::uint64_t attempt,
                              Index host) const {
  const Job& job = *jobs[index];
  return record_fits(job, job.range_index(task),
                     added_record_bytes(index, task, attempt, *hosts[host]));
}

void Cluster::mark_persisted(Job& job, std::uint32_t task) {
  Attempt& attempt = job.attempts.at(task);
  if (attempt.persisted) return;
  attempt.persisted = true;
  --job.task_ranges[job.range_index(task)].unpersisted_attempts;
}

// The newest record that covers a task determines the task's state. Records may therefore be
// replaced by records of other task ranges one at a time, each in its own transaction, while older
// records remain: at every moment a new leader finds the placement and the done mark of each task,
// whatever task ranges it uses itself.
void Cluster::restore(Index index, std::vector<StoredRecord> records, double now) {
  Job& job = *jobs[index];
  std::sort(records.begin(), records.end(),
            [](const StoredRecord& a, const StoredRecord& b) { return a.revision > b.revision; });
  std::vector<bool> covered(job.spec.tasks);
  for (const StoredRecord& stored : records) {
    const jobs::TaskRangeRecord& record = stored.record;
    job.last_attempt = std::max(job.last_attempt, record.last_attempt);
    std::vector<std::uint32_t> described_tasks;
    for (const std::uint32_t task : record.done) {
      if (task >= job.spec.tasks || covered[task]) continue;
      mark_done(index, task, now);
      described_tasks.push_back(task);
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
      described_tasks.push_back(task);
    }
    for (const std::uint32_t task : described_tasks) covered[task] = true;
    const bool is_compact = stored.parsed_key.format == jobs::TaskRecordFormat::compact;
    if (is_compact) {
      for (std::uint32_t task = stored.parsed_key.first;
           task < std::min(stored.parsed_key.end, job.spec.tasks); ++task) {
        covered[task] = true;
      }
    }
    const std::size_t range_number =
        is_compact ? record.first / job.tasks_per_range : stored.parsed_key.first;
    if (stored.parsed_key.format == format_ && range_number < job.task_ranges.size() &&
        job.task_ranges[range_number].first == record.first &&
        (!is_compact || job.task_ranges[range_number].end == stored.parsed_key.end)) {
      job.task_ranges[range_number].revision = stored.revision;
    } else {
      job.obsolete_records.push_back({stored.store_key, stored.revision});
    }
  }
  for (std::size_t i = 0; i < job.task_ranges.size(); ++i) {
    job.task_ranges[i].stored_version = job.task_ranges[i].version;
    dirty_task_ranges.erase({index, i});
  }
  update_finished(index);
}

void Cluster::end_unstored_attempts(Index index, std::size_t range, double now) {
  Job& job = *jobs[index];
  std::vector<std::uint32_t> unstored;
  for (std::uint32_t task = job.task_ranges[range].first; task < job.task_ranges[range].end;
       ++task) {
    const auto at = job.attempts.find(task);
    if (at != job.attempts.end() && !at->second.persisted && !at->second.start_sent) {
      unstored.push_back(task);
    }
  }
  for (const std::uint32_t task : unstored) end_attempt(index, task, now);
}

bool Cluster::rewrite_older_records(Index index, std::uint64_t revision, double now) {
  Job& job = *jobs[index];
  bool all_newer = true;
  for (const TaskRange& range : job.task_ranges) {
    if (range.revision > revision) continue;
    all_newer = false;
    if (range.version == range.stored_version) mark_range_dirty(index, range.first, now);
  }
  return all_newer;
}

void Cluster::mark_range_dirty(Index index, std::uint32_t task, double now) {
  jobs_with_changed_counts.insert(index);
  const std::size_t range_number = jobs[index]->range_index(task);
  TaskRange& range = jobs[index]->task_ranges[range_number];
  if (range.version++ == range.stored_version) range.dirty_since = now;
  dirty_task_ranges.insert({index, range_number});
}

bool Cluster::range_is_stored(const Job& job, std::uint32_t task) const {
  const TaskRange& range = job.task_ranges[job.range_index(task)];
  return range.version == range.stored_version;
}

jobs::TaskRangeRecord Cluster::make_range_record(const Job& job, std::size_t range) const {
  jobs::TaskRangeRecord record;
  record.last_attempt = job.last_attempt;
  record.first = job.task_ranges[range].first;
  const std::uint32_t end = job.task_ranges[range].end;
  for (std::uint32_t task = record.first; task < end; ++task) {
    if (job.done[task]) record.done.push_back(task);
  }
  // Placements were made only where the record had room. Reconciled attempts were not checked for
  // room. They are left out of a full record, because the worker's next heartbeat lists them again.
  const bool is_full = !record_fits(job, range, 0);
  for (auto at = job.attempts.lower_bound(record.first);
       at != job.attempts.end() && at->first < end; ++at) {
    if (is_full && at->second.reconciled) continue;
    record.placements.push_back({at->first, at->second.number, hosts[at->second.host]->name});
  }
  return record;
}

}  // namespace reachramp::placement
