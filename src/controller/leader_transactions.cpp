// The leader and its transactions: when the next one goes out, and what an outcome changes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/leader.h"

namespace reachramp::controller {

using placement::Fate;
using placement::Job;
using state::Outcome;

namespace {

constexpr int kMostConflicts = 12;
constexpr int kLeastOps = 2;  // a job's end

}  // namespace

void Leader::on_settled(const state::Committed& committed, double now) {
  if (transaction_.is_empty()) return;
  look_at_parked_ = true;
  writes_.note_throttled(committed.throttled, now);
  if (const auto resolution = transaction_.on_answer(committed, now)) settle(*resolution, now);
}

void Leader::on_read_back(const state::Found& found, const state::Found& leader, double now) {
  if (!transaction_.awaits_read_back()) return;
  const auto is_known = [](const state::Found& read) {
    return read.outcome == Outcome::ok || read.outcome == Outcome::absent;
  };
  if (!is_known(found) || !is_known(leader)) {
    transaction_.on_read_back_failed(now);
    return;
  }
  // A conflict need not name all keys that differ. Whoever leads now may have written this one.
  if (leader.outcome == Outcome::absent || leader.entry.stamp != cluster_.baton) {
    spdlog::info("baton {} is no longer valid", cluster_.baton);
    deposed_ = true;
    return;
  }
  settle(transaction_.on_read_back(found), now);
}

void Leader::settle(const PendingTransaction::Resolution& resolution, double now) {
  const state::Committed& committed = resolution.committed;
  const Batch batch = transaction_.finish();
  if (committed.outcome == Outcome::ok) {
    for (const auto& [id, fate] : batch.ended) {
      const Job* job = cluster_.job(id);
      if (fate == Fate::cancelled && job != nullptr) accounts_.cancelled(*job);
    }
  }
  const Settlement settlement = resolution.is_certain
                                    ? ledger_.settle(cluster_, batch, committed, now)
                                    : Settlement::confused;
  switch (settlement) {
    case Settlement::done:
      note_committed(batch, committed.epoch, now);
      break;
    case Settlement::too_large:
      note_too_large(batch, now);
      break;
    case Settlement::again:
      note_rejected(committed.outcome, now);
      break;
    case Settlement::deposed:
      spdlog::info("baton {} is no longer valid", cluster_.baton);
      deposed_ = true;
      break;
    case Settlement::confused:
      // Reading everything anew under a new baton is the one way to be sure again.
      spdlog::info("the outcome of a transaction is not certain: giving up the lead");
      out_.resign = true;
      break;
  }
}

void Leader::note_committed(const Batch& batch, std::uint64_t epoch, double now) {
  transaction_.note_success();
  conflicts_ = 0;
  timeline_.note(epoch, now);
  for (const Note& note : batch.notes) {
    if (note.key != levels::kLevelKey) continue;
    level_ = levels::decode_stored(note.value);
    ledger_.step_to(level_.writes);
    stale_asked_at_ = claims_asked_at_ = -1e9;
    spdlog::info("level {}: written {}, {}", level_.level, level_.writes,
                 level_.settled ? "settled" : "what is older is being moved");
  }
  replan_ = true;
  for (const auto& [id, fate] : batch.ended) {
    if (epoch > watched_to_) ended_[id] = epoch;
    reurge_ = true;
  }
}

// Certainly not applied, and it never will be as it is: first by fewer changes, then without the
// records that it consists of.
void Leader::note_too_large(const Batch& batch, double now) {
  if (batch.transaction.writes.size() > kLeastOps) {
    most_ops_ = kLeastOps;
    return;
  }
  ledger_.avoid(batch, now);
  most_ops_ = platform_.lasting().txn_ops;
}

// Cancellations come one by one. So many conflicts together mean that we are wrong about a header,
// and that nothing would ever be stored again.
void Leader::note_rejected(Outcome outcome, double now) {
  transaction_.note_failure(now);
  if (outcome == Outcome::conflict && ++conflicts_ >= kMostConflicts) {
    spdlog::error("transactions fail again and again: giving up the lead");
    out_.resign = true;
  }
}

void Leader::resume_transaction(double now) {
  out_.read_back = transaction_.take_read_back(now);
  if (transaction_.take_resend(now)) out_.commit = transaction_.batch();
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
  auto batch = ledger_.next(cluster_, affordable, writes_.is_ample(now), now);
  if (!batch) return;
  writes_.take(batch->transaction.writes.size(), now);
  transaction_.begin(std::move(*batch));
  out_.commit = transaction_.batch();
}

}  // namespace reachramp::controller
