// The leader's transactions: when the next one is sent, and how an outcome changes the state.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/leader.h"

namespace reachramp::controller {

using kv::Outcome;
using placement::DependencyState;
using placement::Job;

namespace {

constexpr int kMaxConsecutiveConflicts = 12;
constexpr int kMinTransactionWrites = 2;  // storing a job's end takes two

}  // namespace

void Leader::on_transaction_completed(const kv::CommitResult& result, double now) {
  if (transaction_.is_empty()) return;
  recheck_deferred_responses_ = true;
  write_budget_.note_throttled(result.throttle_count, now);
  if (const auto resolution = transaction_.on_commit_result(result, now))
    resolve_transaction(*resolution, now);
}

void Leader::on_transaction_verified(const kv::ReadResult& found, const kv::ReadResult& leader,
                                     double now) {
  if (!transaction_.awaits_verification()) return;
  const auto is_known = [](const kv::ReadResult& read) {
    return read.outcome == Outcome::ok || read.outcome == Outcome::absent;
  };
  if (!is_known(found) || !is_known(leader)) {
    transaction_.on_verification_failed(now);
    return;
  }
  // A conflict need not name every key that differs: the leader's key may have changed as well, and
  // a new leader may have written this key.
  if (leader.outcome == Outcome::absent || leader.entry.revision != cluster_.fencing_token) {
    spdlog::info("fencing token {} is no longer valid", cluster_.fencing_token);
    deposed_ = true;
    return;
  }
  resolve_transaction(transaction_.on_verified(found), now);
}

void Leader::resolve_transaction(const PendingTransaction::Resolution& resolution, double now) {
  const kv::CommitResult& result = resolution.result;
  const TransactionBatch batch = transaction_.finish();
  if (result.outcome == Outcome::ok) {
    for (const auto& [id, final_state] : batch.ended_jobs) {
      const Job* job = cluster_.find_job(id);
      if (final_state == DependencyState::cancelled && job != nullptr) usage_.note_cancelled(*job);
    }
  }
  const BatchOutcome outcome = resolution.is_certain
                                   ? transaction_builder_.apply_result(cluster_, batch, result, now)
                                   : BatchOutcome::uncertain;
  switch (outcome) {
    case BatchOutcome::applied:
      on_batch_applied(batch, result.store_revision, now);
      break;
    case BatchOutcome::too_large:
      on_batch_too_large(batch, now);
      break;
    case BatchOutcome::retry:
      on_batch_rejected(result.outcome, now);
      break;
    case BatchOutcome::deposed:
      spdlog::info("fencing token {} is no longer valid", cluster_.fencing_token);
      deposed_ = true;
      break;
    case BatchOutcome::uncertain:
      // Only reading everything again under a new fencing token restores a certain state.
      spdlog::info("the outcome of a transaction is uncertain: stepping down");
      effects_.step_down = true;
      break;
  }
}

void Leader::on_batch_applied(const TransactionBatch& batch, std::uint64_t store_revision,
                              double now) {
  transaction_.note_success();
  consecutive_conflicts_ = 0;
  revision_clock_.observe(store_revision, now);
  for (const RecordWrite& record : batch.record_writes) {
    if (record.key != schema::kLevelKey) continue;
    schema_ = schema::decode_stored(record.value);
    transaction_builder_.set_schema_level(schema_.written_level);
    obsolete_records_read_at_ = claims_read_at_ = -1e9;
    spdlog::info("schema level {}, writing level {}: {}", schema_.level, schema_.written_level,
                 schema_.settled ? "settled" : "migrating older records");
  }
  needs_placement_ = true;
  for (const auto& [id, final_state] : batch.ended_jobs) {
    if (store_revision > watched_revision_) recently_ended_jobs_[id] = store_revision;
    needs_priority_update_ = true;
  }
}

// The batch was not applied and cannot be applied as it is. The next batches have fewer writes; if
// this one already had as few as possible, they leave out its records for a while.
void Leader::on_batch_too_large(const TransactionBatch& batch, double now) {
  if (batch.transaction.writes.size() > kMinTransactionWrites) {
    max_writes_ = kMinTransactionWrites;
    return;
  }
  transaction_builder_.back_off(batch, now);
  max_writes_ = platform_.strictest_store_limits().txn_ops;
}

// Cancellations cause single conflicts. kMaxConsecutiveConflicts in a row mean that this leader's
// copy of some header is wrong, and then no transaction would ever succeed again.
void Leader::on_batch_rejected(Outcome outcome, double now) {
  transaction_.note_failure(now);
  if (outcome == Outcome::conflict && ++consecutive_conflicts_ >= kMaxConsecutiveConflicts) {
    spdlog::error("too many consecutive transactions failed with conflicts: stepping down");
    effects_.step_down = true;
  }
}

void Leader::resume_transaction(double now) {
  effects_.verify_key = transaction_.take_key_to_verify(now);
  if (transaction_.take_resend(now)) effects_.transaction = transaction_.batch();
}

// Sends the next transaction if the write budget allows at least half of a full one. The budget is
// checked before the batch is built: at a large site, batches were built ten times per second and
// discarded for lack of budget.
void Leader::send_next_transaction(double now) {
  if (!transaction_.is_empty()) {
    resume_transaction(now);
    return;
  }
  if (all_upgraded_) cluster_.switch_to_compact_records(now);
  store_revision_clock(now);
  update_usage(now);
  const int affordable = std::min(max_writes_, write_budget_.available(now));
  if (!transaction_.may_send(now) || affordable < std::max(1, max_writes_ / 2)) return;
  auto batch = transaction_builder_.next_batch(cluster_, affordable,
                                               write_budget_.allows_optional_writes(now), now);
  if (!batch) return;
  write_budget_.consume(batch->transaction.writes.size(), now);
  transaction_.begin(std::move(*batch));
  effects_.transaction = transaction_.batch();
}

}  // namespace reachramp::controller
