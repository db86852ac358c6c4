#include "controller/pending_transaction.h"

#include <algorithm>
#include <utility>

namespace reachramp::controller {

using kv::Outcome;

namespace {

constexpr double kVerificationRetryDelay_s = 0.5;
// After a failure, the next attempt waits for the delay times the number of consecutive failures,
// of which at most the maximum number of delays counts. kUnansweredDelay_s applies to attempts
// without an answer, kFailureDelay_s to batches that were rejected.
constexpr double kUnansweredDelay_s = 0.3;
constexpr int kMaxUnansweredDelays = 5;
constexpr double kFailureDelay_s = 0.1;
constexpr int kMaxFailureDelays = 8;

// A key that the transaction writes and only leaders write, with its revision before the
// transaction. While this leader's token is valid, any other revision shows that the transaction
// was applied. Job headers are no proof because users change them through other nodes; neither are
// removed keys.
std::optional<std::pair<std::string, std::uint64_t>> verification_key(
    const kv::Transaction& transaction) {
  for (const kv::Write& write : transaction.writes) {
    if (!write.value || write.key.starts_with("job/")) continue;
    for (const auto& condition : transaction.preconditions) {
      if (condition.first == write.key) return condition;
    }
  }
  return std::nullopt;
}

}  // namespace

TransactionBatch PendingTransaction::finish() {
  may_be_applied_ = false;
  TransactionBatch batch = std::move(*batch_);
  batch_.reset();
  return batch;
}

std::optional<PendingTransaction::Resolution> PendingTransaction::on_commit_result(
    const kv::CommitResult& result, double now) {
  // Neither a refusal nor "malformed" says anything about an earlier attempt, which may have been
  // applied before the limits were lowered. After a refusal the batch is sent again; after
  // "malformed" its outcome is uncertain.
  if (result.outcome == Outcome::unknown ||
      (result.outcome == Outcome::refused && may_be_applied_)) {
    may_be_applied_ = resend_due_ = true;
    next_send_at_ =
        now + kUnansweredDelay_s * std::min(++consecutive_failures_, kMaxUnansweredDelays);
    return std::nullopt;
  }
  if (may_be_applied_ && result.outcome == Outcome::conflict &&
      verification_key(batch_->transaction)) {
    unverified_conflict_ = result;
    verification_due_ = true;
    next_send_at_ = now;
    return std::nullopt;
  }
  const bool is_certain = !may_be_applied_ || result.outcome == Outcome::ok;
  return Resolution{result, is_certain};
}

void PendingTransaction::on_verification_failed(double now) {
  verification_due_ = true;
  next_send_at_ = now + kVerificationRetryDelay_s;
}

PendingTransaction::Resolution PendingTransaction::on_verified(const kv::ReadResult& found) {
  const auto key = verification_key(batch_->transaction);
  kv::CommitResult result = *std::exchange(unverified_conflict_, std::nullopt);
  if (found.outcome == Outcome::ok && found.entry.revision != key->second) {
    result = {};
    result.outcome = Outcome::ok;
    result.store_revision = found.entry.revision;
  }
  return {result, true};
}

std::optional<std::string> PendingTransaction::take_key_to_verify(double now) {
  if (!may_send(now) || !std::exchange(verification_due_, false)) return std::nullopt;
  return verification_key(batch_->transaction)->first;
}

bool PendingTransaction::take_resend(double now) {
  return may_send(now) && std::exchange(resend_due_, false);
}

void PendingTransaction::note_failure(double now) {
  next_send_at_ = now + kFailureDelay_s * std::min(++consecutive_failures_, kMaxFailureDelays);
}

}  // namespace reachramp::controller
