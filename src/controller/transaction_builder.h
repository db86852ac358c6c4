// Builds conditional transactions from the changes in the cluster, and applies their results to it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kv/client.h"
#include "placement/cluster.h"

namespace reachramp::controller {

using placement::Cluster;
using placement::Index;
using placement::TaskRangeRef;

// Key of the leader's record; its revision is the leader's fencing token.
inline constexpr const char* kLeaderKey = "leader";
// Key of the record of the machine types.
inline constexpr const char* kCatalogKey = "catalog";

// A write of a record other than those of jobs and tasks, such as the last request for a pool or
// the machine types.
struct RecordWrite {
  std::string key;
  std::optional<kv::Json> value;  // none: the record is removed
  // Keys and revisions that must be unchanged for the record to be written; if one has changed, the
  // write is dropped.
  std::vector<std::pair<std::string, std::uint64_t>> preconditions{};
};

// A transaction and what it contains, so that its result can be applied to the cluster.
struct TransactionBatch {
  // A task range record in the transaction. `change_count` is the range's `version` when the record
  // was encoded.
  struct WrittenTaskRange {
    TaskRangeRef ref;
    std::string job;
    std::uint32_t change_count = 0;
    std::vector<jobs::Placement> placements;
  };
  // Numbers of tasks in a job's header that are only shown to users.
  struct StatusCounts {
    std::string job;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
  };

  kv::Transaction transaction;
  std::vector<WrittenTaskRange> task_ranges;
  std::vector<StatusCounts> status_counts;
  std::vector<std::pair<std::string, placement::DependencyState>> ended_jobs;
  // Task range records of ended jobs that did not fit into the transaction. They are removed only
  // after the end is stored, because until then they hold the job's progress.
  std::vector<std::pair<std::string, std::uint64_t>> deferred_removals;
  std::vector<RecordWrite> record_writes;
};

// What the result of a batch means for the leader. retry: not applied, to be built again.
// uncertain: whether the batch was applied, or why not, is unknown.
enum class BatchOutcome { applied, retry, too_large, deposed, uncertain };

// Owns the queued writes of records and the known revisions of their keys. Used by the leader's
// thread only.
class TransactionBuilder {
 public:
  // Notes that the key-value store holds the record `key` at `revision`.
  void note_stored(const std::string& key, std::uint64_t revision) { revisions_[key] = revision; }
  // Queues a write for one of the next batches; replaces a queued write of the same key.
  void queue_write(RecordWrite record);
  // Adapts queued writes to the schema level: those of records that are obsolete at this level
  // become removals.
  void set_schema_level(std::uint32_t level);
  // Whether the record is stored and no write of it is queued.
  bool is_stored(const std::string& key) const;
  // The revision of the record, if it is known to be stored.
  std::optional<std::uint64_t> revision_of(const std::string& key) const;
  // Whether a write of the record is queued.
  bool is_write_pending(const std::string& key) const { return pending_writes_.contains(key); }

  // Builds the next batch, of at most `max_writes` writes; none if there is nothing to write.
  // `include_status_counts` is false while the write budget is low: status counts, which are only
  // shown to users, then wait.
  std::optional<TransactionBatch> next_batch(Cluster& cluster, int max_writes,
                                             bool include_status_counts, double now);
  // Excludes the records of a rejected batch from the next batches for a while, so that they do not
  // hold up the others.
  void back_off(const TransactionBatch& batch, double now);
  // Applies the result of the batch to the cluster and to the queued writes.
  BatchOutcome apply_result(Cluster& cluster, const TransactionBatch& batch,
                            const kv::CommitResult& result, double now);

 private:
  struct BatchBuilder;

  void add_job_end(Cluster& cluster, Index job, BatchBuilder& builder);
  void add_task_range(Cluster& cluster, const TaskRangeRef& ref, double now, BatchBuilder& builder);
  bool drop_writes_conditional_on(const std::string& key);
  bool is_backed_off(const std::string& key, double now) const;
  BatchOutcome on_conflict(const std::vector<std::string>& failed_keys, double now);
  void apply_written_task_ranges(Cluster& cluster, const TransactionBatch& batch,
                                 std::uint64_t store_revision);
  void apply_status_counts(Cluster& cluster, const TransactionBatch& batch,
                           std::uint64_t store_revision);
  void apply_record_writes(const TransactionBatch& batch, std::uint64_t store_revision);
  void remove_ended_jobs(Cluster& cluster, const TransactionBatch& batch, double now);
  void add_status_counts(Cluster& cluster, double now, BatchBuilder& builder);

  std::map<std::string, std::uint64_t> revisions_;
  std::map<std::string, RecordWrite> pending_writes_;
  std::map<std::string, double> backed_off_until_;
  double next_batch_at_ = 0;
};

}  // namespace reachramp::controller
