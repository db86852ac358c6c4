// Turns what has changed in the cluster into conditional transactions, and their results back.
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

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kCatalogKey = "catalog";

// A record beside jobs and tasks: what a pool was last asked for, the machine types.
struct RecordWrite {
  std::string key;
  std::optional<kv::Json> value;  // none: remove
  // Only while these keys are as they were; if one is not, the note is dropped.
  std::vector<std::pair<std::string, std::uint64_t>> preconditions{};
};

struct TransactionBatch {
  struct WrittenTaskRange {
    TaskRangeRef ref;
    std::string job;
    std::uint32_t change_count = 0;
    std::vector<jobs::Placement> placements;
  };
  struct StatusCounts {
    std::string job;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
  };

  kv::Transaction transaction;
  std::vector<WrittenTaskRange> task_ranges;
  std::vector<StatusCounts> status_counts;
  std::vector<std::pair<std::string, placement::DependencyState>> ended_jobs;
  // Chunks of ended jobs that did not fit: to be removed once the end is durable, not before.
  std::vector<std::pair<std::string, std::uint64_t>> deferred_removals;
  std::vector<RecordWrite> record_writes;
};

enum class BatchOutcome { applied, retry, too_large, deposed, uncertain };

class TransactionBuilder {
 public:
  // What the key-value store held of notes and strays when the leader took over.
  void note_stored(const std::string& key, std::uint64_t revision) { revisions_[key] = revision; }
  void queue_write(RecordWrite record);
  // What is yet to be written takes the form of the level: records that it no longer has go.
  void set_schema_level(std::uint32_t level);
  bool is_stored(const std::string& key) const;
  std::optional<std::uint64_t> revision_of(const std::string& key) const;
  bool is_write_pending(const std::string& key) const { return pending_writes_.contains(key); }

  // The next batch of at most `most` writes, if anything has changed. `spare` is false while writes
  // are scarce: counts for display then wait.
  std::optional<TransactionBatch> next_batch(Cluster& cluster, int max_writes,
                                             bool include_status_counts, double now);
  // Leaves the records of a refused batch alone for a while, so that the others are not held up.
  void back_off(const TransactionBatch& batch, double now);
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
  std::map<std::string, double> backed_off_until_;  // until when
  double next_batch_at_ = 0;
};

}  // namespace reachramp::controller
