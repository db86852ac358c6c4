#include "controller/transaction_builder.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "controller/obsolete_records.h"
#include "pipelines/dependencies.h"
#include "schema/schema.h"

namespace reachramp::controller {

using kv::Outcome;
using placement::Attempt;
using placement::DependencyState;
using placement::Job;
using placement::ObservedState;

namespace {

constexpr std::size_t kMaxTransactionBytes = 48 * 1024;  // the store's limit is 64 KiB in total
constexpr double kStatusCountsInterval_s = 2.0;
constexpr double kConflictDelay_s = 0.05;
constexpr double kMaxTaskEndDelay_s = 3;
constexpr double kBackOffDuration_s = 10;

// Attempts of an earlier leader count as running until their worker has been heard from. Otherwise
// each change of leaders wrote "pending" into the headers of running jobs, and then "running"
// again.
std::uint32_t running_tasks(const Job& job) {
  return static_cast<std::uint32_t>(
      std::count_if(job.attempts.begin(), job.attempts.end(), [](const auto& entry) {
        return entry.second.observed_state == ObservedState::running ||
               entry.second.observed_state == ObservedState::saving ||
               entry.second.from_previous_leader;
      }));
}

// The task range records to write next: first those that starts wait for, most starts first, then
// those with task ends that have waited long. Until an end is written it is not lost, because the
// worker keeps listing the ended task. Most records that contain only ends are never written,
// because the end of their job comes first.
std::vector<TaskRangeRef> task_ranges_by_urgency(const Cluster& cluster, double now) {
  std::vector<std::tuple<std::uint32_t, double, TaskRangeRef>> candidates;
  for (const TaskRangeRef& ref : cluster.dirty_task_ranges) {
    if (cluster.finished_jobs.contains(ref.job)) continue;  // removed with its job
    if (cluster.jobs[ref.job]->cancel_unconfirmed) continue;
    const placement::TaskRange& range = cluster.jobs[ref.job]->task_ranges[ref.range];
    const double age = now - range.dirty_since;
    if (range.unpersisted_attempts > 0 || age > kMaxTaskEndDelay_s)
      candidates.emplace_back(range.unpersisted_attempts, age, ref);
  }
  std::sort(candidates.rbegin(), candidates.rend());
  std::vector<TaskRangeRef> refs;
  for (const auto& candidate : candidates) refs.push_back(std::get<2>(candidate));
  return refs;
}

}  // namespace

struct TransactionBuilder::BatchBuilder {
  // All records are written in the form of a schema level, so every batch is conditional on the
  // revision of the level's record. A leader that was suspended during a migration thus writes
  // nothing in the old form afterwards.
  BatchBuilder(const Cluster& cluster, std::uint64_t level, int max_writes)
      : max_batch_writes(max_writes) {
    add_precondition(kLeaderKey, cluster.fencing_token);
    add_precondition(schema::kLevelKey, level);
  }

  bool has_room(std::size_t additional_writes = 1) const {
    return batch.transaction.writes.size() + additional_writes <=
               static_cast<std::size_t>(max_batch_writes) &&
           bytes < kMaxTransactionBytes;
  }
  void add_precondition(const std::string& key, std::uint64_t revision) {
    if (precondition_keys.insert(key).second)
      batch.transaction.preconditions.emplace_back(key, revision);
  }
  void write(const std::string& key, std::optional<kv::Json> value) {
    if (value) bytes += wire::json_size(*value);
    batch.transaction.writes.push_back({key, std::move(value), std::nullopt});
  }

  TransactionBatch batch;
  int max_batch_writes;
  std::size_t bytes = 0;
  std::set<std::string> precondition_keys;
};

void TransactionBuilder::queue_write(RecordWrite record) {
  const std::string key = record.key;
  pending_writes_[key] = std::move(record);
}

// Without this, the simulated cluster showed a pool record that was written in its old form one
// transaction after the migration that removed such records.
void TransactionBuilder::set_schema_level(std::uint32_t level) {
  for (auto& [key, record] : pending_writes_) {
    if (record.value && is_obsolete(key, *record.value, level)) record.value.reset();
  }
}

std::optional<std::uint64_t> TransactionBuilder::revision_of(const std::string& key) const {
  const auto at = revisions_.find(key);
  return at == revisions_.end() ? std::nullopt : std::optional(at->second);
}

bool TransactionBuilder::is_stored(const std::string& key) const {
  return !pending_writes_.contains(key) && revisions_.contains(key);
}

// Adds a job's end, together with the removal of its other records. Task range records that do not
// fit into the transaction are removed afterwards; without a job they have no meaning.
void TransactionBuilder::add_job_end(Cluster& cluster, Index index, BatchBuilder& builder) {
  Job& job = *cluster.jobs[index];
  const std::string& id = job.spec.id;
  builder.add_precondition(jobs::job_key(id), job.revision);
  builder.add_precondition(jobs::end_key(id), 0);
  const bool cancelled = job.cancelled;
  builder.write(jobs::end_key(id), jobs::encode_final_state({cancelled, job.done_count}));
  builder.write(jobs::job_key(id), std::nullopt);
  const auto remove = [&](const std::string& key, std::uint64_t revision) {
    if (builder.has_room()) {
      builder.add_precondition(key, revision);
      builder.write(key, std::nullopt);
    } else {
      builder.batch.deferred_removals.emplace_back(key, revision);
    }
  };
  for (std::size_t range = 0; range < job.task_ranges.size(); ++range) {
    if (job.task_ranges[range].revision != 0) {
      remove(cluster.task_range_key(job, range), job.task_ranges[range].revision);
    }
  }
  for (const placement::ObsoleteRecord& obsolete : job.obsolete_records)
    remove(obsolete.key, obsolete.revision);
  builder.batch.ended_jobs.emplace_back(
      id, cancelled ? DependencyState::cancelled : DependencyState::done);
}

// Adds a task range record. It normally fits the store's limit, since its size is checked before a
// task is placed. A record that does not fit, such as one that replaces a larger old record, first
// drops placements that have not been stored. If it is still too large, it is left as stored until
// enough of its tasks have ended; it must not hold up other records.
void TransactionBuilder::add_task_range(Cluster& cluster, const TaskRangeRef& ref, double now,
                                        BatchBuilder& builder) {
  const Job& job = *cluster.jobs[ref.job];
  const placement::TaskRange& range = job.task_ranges[ref.range];
  const std::string key = cluster.task_range_key(job, ref.range);
  if (is_backed_off(key, now)) return;
  jobs::TaskRangeRecord record = cluster.make_range_record(job, ref.range);
  kv::Json value = cluster.encode_task_range(record);
  if (!kv::fits(value, cluster.max_value_kb())) {
    cluster.end_unstored_attempts(ref.job, ref.range, now);
    record = cluster.make_range_record(job, ref.range);
    value = cluster.encode_task_range(record);
    if (!kv::fits(value, cluster.max_value_kb())) {
      spdlog::debug("record {} is too large to be written now", key);
      return;
    }
  }
  // A cancellation changes the job's header, so the condition makes starts fail that were decided
  // before it.
  builder.add_precondition(jobs::job_key(job.spec.id), job.revision);
  builder.add_precondition(key, range.revision);
  builder.write(key, std::move(value));
  builder.batch.task_ranges.push_back({ref, job.spec.id, range.version, record.placements});
}

void TransactionBuilder::add_status_counts(Cluster& cluster, double now, BatchBuilder& builder) {
  for (auto at = cluster.jobs_with_changed_counts.begin();
       at != cluster.jobs_with_changed_counts.end() && builder.has_room();) {
    Job& job = *cluster.jobs[*at];
    if (now - job.reported_at < kStatusCountsInterval_s) {
      ++at;
      continue;
    }
    const std::uint32_t running = running_tasks(job);
    // A header is written when the number of done tasks changes or when the job begins or ceases to
    // run; the number of running tasks alone is no reason for a write.
    const bool is_up_to_date =
        (running > 0) == (job.reported_running > 0) && job.done_count == job.reported_done;
    if (is_up_to_date || job.cancelled || job.is_finished()) {
      at = cluster.jobs_with_changed_counts.erase(at);
      continue;
    }
    ++at;
    const std::string key = jobs::job_key(job.spec.id);
    job.reported_at = now;
    kv::Json value =
        jobs::encode_header({job.spec, false, job.done_count, running, job.accepted_revision});
    // A job that was accepted under a larger value limit may not fit; its counts are then not
    // updated.
    if (is_backed_off(key, now) || !kv::fits(value, cluster.max_value_kb())) continue;
    builder.add_precondition(key, job.revision);
    builder.write(key, std::move(value));
    builder.batch.status_counts.push_back({job.spec.id, job.done_count, running});
  }
}

std::optional<TransactionBatch> TransactionBuilder::next_batch(Cluster& cluster, int max_writes,
                                                               bool include_status_counts,
                                                               double now) {
  if (now < next_batch_at_) return std::nullopt;
  BatchBuilder builder(cluster, revision_of(schema::kLevelKey).value_or(0), max_writes);
  for (const Index index : cluster.finished_jobs) {
    if (!builder.has_room(2)) break;
    if (cluster.jobs[index]->cancel_unconfirmed) continue;
    add_job_end(cluster, index, builder);
  }
  for (const auto& [key, record] : pending_writes_) {
    if (!builder.has_room()) break;
    if (is_backed_off(key, now)) continue;
    builder.add_precondition(key, revision_of(key).value_or(0));
    for (const auto& [condition_key, revision] : record.preconditions)
      builder.add_precondition(condition_key, revision);
    builder.write(key, record.value);
    builder.batch.record_writes.push_back(record);
  }
  for (const TaskRangeRef& ref : task_ranges_by_urgency(cluster, now)) {
    if (!builder.has_room()) break;
    add_task_range(cluster, ref, now, builder);
  }
  if (include_status_counts) add_status_counts(cluster, now, builder);
  if (builder.batch.transaction.writes.empty()) return std::nullopt;
  return std::move(builder.batch);
}

// Drops queued writes that are conditional on `key`. Returns whether there were any.
bool TransactionBuilder::drop_writes_conditional_on(const std::string& key) {
  return std::erase_if(pending_writes_, [&](const auto& entry) {
           const auto& preconditions = entry.second.preconditions;
           return std::any_of(preconditions.begin(), preconditions.end(),
                              [&](const auto& precondition) { return precondition.first == key; });
         }) > 0;
}

bool TransactionBuilder::is_backed_off(const std::string& key, double now) const {
  const auto at = backed_off_until_.find(key);
  return at != backed_off_until_.end() && now < at->second;
}

void TransactionBuilder::back_off(const TransactionBatch& batch, double now) {
  std::erase_if(backed_off_until_, [&](const auto& entry) { return now >= entry.second; });
  for (const kv::Write& write : batch.transaction.writes) {
    spdlog::error("record {} was rejected by the key-value store", write.key);
    backed_off_until_[write.key] = now + kBackOffDuration_s;
  }
}

BatchOutcome TransactionBuilder::apply_result(Cluster& cluster, const TransactionBatch& batch,
                                              const kv::CommitResult& result, double now) {
  switch (result.outcome) {
    case Outcome::ok:
      apply_written_task_ranges(cluster, batch, result.store_revision);
      apply_status_counts(cluster, batch, result.store_revision);
      apply_record_writes(batch, result.store_revision);
      remove_ended_jobs(cluster, batch, now);
      return BatchOutcome::applied;
    case Outcome::refused:
      return BatchOutcome::retry;
    case Outcome::malformed:
      return BatchOutcome::too_large;
    case Outcome::conflict:
      return on_conflict(result.failed_keys, now);
    default:
      return BatchOutcome::uncertain;
  }
}

// If a job header has changed, the job was cancelled by its user; the watch will report the new
// header. A queued write with a failed precondition is dropped, and the code that queued it decides
// again.
BatchOutcome TransactionBuilder::on_conflict(const std::vector<std::string>& failed_keys,
                                             double now) {
  bool is_explained = !failed_keys.empty();
  for (const std::string& key : failed_keys) {
    if (key == kLeaderKey) return BatchOutcome::deposed;
    const bool dropped_writes = drop_writes_conditional_on(key);
    is_explained = is_explained && (dropped_writes || key.starts_with("job/"));
  }
  next_batch_at_ = now + kConflictDelay_s;
  return is_explained ? BatchOutcome::retry : BatchOutcome::uncertain;
}

void TransactionBuilder::apply_written_task_ranges(Cluster& cluster, const TransactionBatch& batch,
                                                   std::uint64_t store_revision) {
  for (const TransactionBatch::WrittenTaskRange& written : batch.task_ranges) {
    Job* job = cluster.find_job(written.job);
    if (job == nullptr) continue;
    placement::TaskRange& range = job->task_ranges[written.ref.range];
    range.revision = store_revision;
    range.stored_version = written.change_count;
    if (range.version == range.stored_version) {
      cluster.dirty_task_ranges.erase({cluster.job_index[written.job], written.ref.range});
    }
    for (const jobs::Placement& placement : written.placements) {
      const auto at = job->attempts.find(placement.task);
      if (at != job->attempts.end() && at->second.number == placement.attempt &&
          cluster.hosts[at->second.host]->name == placement.host) {
        cluster.mark_persisted(*job, placement.task);
      }
    }
  }
}

void TransactionBuilder::apply_status_counts(Cluster& cluster, const TransactionBatch& batch,
                                             std::uint64_t store_revision) {
  for (const TransactionBatch::StatusCounts& written : batch.status_counts) {
    Job* job = cluster.find_job(written.job);
    if (job == nullptr) continue;
    job->revision = std::max(job->revision, store_revision);
    job->reported_done = written.done;
    job->reported_running = written.running;
    // The counts may have changed since the batch was built.
    cluster.jobs_with_changed_counts.insert(cluster.job_index[written.job]);
  }
}

void TransactionBuilder::apply_record_writes(const TransactionBatch& batch,
                                             std::uint64_t store_revision) {
  for (const RecordWrite& written : batch.record_writes) {
    if (written.value) {
      revisions_[written.key] = store_revision;
    } else {
      revisions_.erase(written.key);
    }
    const auto at = pending_writes_.find(written.key);
    if (at != pending_writes_.end() && at->second.value == written.value) pending_writes_.erase(at);
  }
  for (const auto& [key, revision] : batch.deferred_removals) {
    revisions_[key] = revision;
    queue_write({key, std::nullopt});
  }
}

void TransactionBuilder::remove_ended_jobs(Cluster& cluster, const TransactionBatch& batch,
                                           double now) {
  for (const auto& [id, final_state] : batch.ended_jobs) {
    const auto at = cluster.job_index.find(id);
    if (at == cluster.job_index.end()) continue;
    const Job& job = *cluster.jobs[at->second];
    spdlog::info("job {} {}: {} of {} tasks done", id, job.cancelled ? "cancelled" : "done",
                 job.done_count, job.spec.tasks);
    cluster.remove_job(at->second);
    pipelines::resolve_dependents(cluster, id, final_state, now);
  }
}

}  // namespace reachramp::controller
