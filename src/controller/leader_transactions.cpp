// The leader and its transactions: when the next one goes out, and what an outcome changes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/leader.h"

namespace reachramp::controller {

using kv::Outcome;
using placement::DependencyState;
using placement::Job;

namespace {

constexpr int kMostConflicts = 12;
constexpr int kLeastOps = 2;  // a job's end

}  // namespace

void Leader::on_transaction_completed(const kv::CommitResult& committed, double now) {
  if (transaction_.is_empty()) return;
  look_at_parked_ = true;
  writes_.note_throttled(committed.throttle_count, now);
  if (const auto resolution = transaction_.on_answer(committed, now)) settle(*resolution, now);
}

void Leader::on_transaction_verified(const kv::ReadResult& found, const kv::ReadResult& leader,
                                     double now) {
  if (!transaction_.awaits_read_back()) return;
  const auto is_known = [](const kv::ReadResult& read) {
    return read.outcome == Outcome::ok || read.outcome == Outcome::absent;
  };
  if (!is_known(found) || !is_known(leader)) {
    transaction_.on_read_back_failed(now);
    return;
  }
  // A conflict need not name all keys that differ. Whoever leads now may have written this one.
  if (leader.outcome == Outcome::absent || leader.entry.revision != cluster_.fencing_token) {
    spdlog::info("baton {} is no longer valid", cluster_.fencing_token);
    deposed_ = true;
    return;
  }
  settle(transaction_.on_read_back(found), now);
}

void Leader::settle(const PendingTransaction::Resolution& resolution, double now) {
  const kv::CommitResult& committed = resolution.committed;
  const TransactionBatch batch = transaction_.finish();
  if (committed.outcome == Outcome::ok) {
    for (const auto& [id, fate] : batch.ended_jobs) {
      const Job* job = cluster_.job(id);
      if (fate == DependencyState::cancelled && job != nullptr) accounts_.cancelled(*job);
    }
  }
  const BatchOutcome settlement = resolution.is_certain
                                      ? ledger_.apply_result(cluster_, batch, committed, now)
                                      : BatchOutcome::uncertain;
  switch (settlement) {
    case BatchOutcome::applied:
      note_committed(batch, committed.store_revision, now);
      break;
    case BatchOutcome::too_large:
      note_too_large(batch, now);
      break;
    case BatchOutcome::retry:
      note_rejected(committed.outcome, now);
      break;
    case BatchOutcome::deposed:
      spdlog::info("baton {} is no longer valid", cluster_.fencing_token);
      deposed_ = true;
      break;
    case BatchOutcome::uncertain:
      // Reading everything anew under a new fencing token is the one way to be sure again.
      spdlog::info("the outcome of a transaction is not certain: giving up the lead");
      out_.step_down = true;
      break;
  }
}

void Leader::note_committed(const TransactionBatch& batch, std::uint64_t store_revision,
                            double now) {
  transaction_.note_success();
  conflicts_ = 0;
  timeline_.observe(store_revision, now);
  for (const RecordWrite& note : batch.record_writes) {
    if (note.key != schema::kLevelKey) continue;
    level_ = schema::decode_stored(note.value);
    ledger_.set_schema_level(level_.writes);
    stale_asked_at_ = claims_asked_at_ = -1e9;
    spdlog::info("level {}: written {}, {}", level_.level, level_.writes,
                 level_.settled ? "settled" : "what is older is being moved");
  }
  replan_ = true;
  for (const auto& [id, fate] : batch.ended_jobs) {
    if (store_revision > watched_to_) ended_[id] = store_revision;
    reurge_ = true;
  }
}

// Certainly not applied, and it never will be as it is: first by fewer changes, then without the
// records that it consists of.
void Leader::note_too_large(const TransactionBatch& batch, double now) {
  if (batch.transaction.writes.size() > kLeastOps) {
    most_ops_ = kLeastOps;
    return;
  }
  ledger_.back_off(batch, now);
  most_ops_ = platform_.lasting().txn_ops;
}

// Cancellations come one by one. So many conflicts together mean that we are wrong about a header,
// and that nothing would ever be stored again.
void Leader::note_rejected(Outcome outcome, double now) {
  transaction_.note_failure(now);
  if (outcome == Outcome::conflict && ++conflicts_ >= kMostConflicts) {
    spdlog::error("transactions fail again and again: giving up the lead");
    out_.step_down = true;
  }
}

void Leader::resume_transaction(double now) {
  out_.verify_key = transaction_.take_read_back(now);
  if (transaction_.take_resend(now)) out_.transaction = transaction_.batch();
}

// Worth a transaction: room for half a full one. Before a record is put together, not after: at a
// grown site batches were built ten times a second and thrown away for want of writes.
void Leader::commit(double now) {
  if (!transaction_.is_empty()) {
    resume_transaction(now);
    return;
  }
  if (all_upgraded_) cluster_.use_compact(now);
  store_timeline(now);
  pass_shares(now);
  const int affordable = std::min(most_ops_, writes_.available(now));
  if (!transaction_.may_send(now) || affordable < std::max(1, most_ops_ / 2)) return;
  auto batch = ledger_.next_batch(cluster_, affordable, writes_.is_ample(now), now);
  if (!batch) return;
  writes_.take(batch->transaction.writes.size(), now);
  transaction_.begin(std::move(*batch));
  out_.transaction = transaction_.batch();
}

}  // namespace reachramp::controller
