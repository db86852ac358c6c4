#include "controller/pending_transaction.h"

#include <algorithm>
#include <utility>

namespace reachramp::controller {

using kv::Outcome;

namespace {

constexpr double kReadBackAgain_s = 0.5;
// Added to the wait before the next sending for each failure in a row, up to so many.
constexpr double kUnansweredWait_s = 0.3;
constexpr int kMostUnansweredWaits = 5;
constexpr double kFailureWait_s = 0.1;
constexpr int kMostFailureWaits = 8;

// A key that the transaction writes, that nobody but a leader does, and the revision that it had:
// while this leader's token is valid, another revision shows that the transaction was applied.
// Users' headers and what is removed prove nothing.
std::optional<std::pair<std::string, std::uint64_t>> proof_key(const kv::Transaction& transaction) {
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

std::optional<PendingTransaction::Resolution> PendingTransaction::on_answer(
    const kv::CommitResult& answer, double now) {
  // "Malformed" tells of this sending alone: an earlier one may have come before the limits did.
  if (answer.outcome == Outcome::unknown ||
      (answer.outcome == Outcome::refused && may_be_applied_)) {
    may_be_applied_ = resend_ = true;
    not_before_ = now + kUnansweredWait_s * std::min(++failures_, kMostUnansweredWaits);
    return std::nullopt;
  }
  if (may_be_applied_ && answer.outcome == Outcome::conflict && proof_key(batch_->transaction)) {
    refusal_ = answer;
    read_back_ = true;
    not_before_ = now;
    return std::nullopt;
  }
  const bool is_certain = !may_be_applied_ || answer.outcome == Outcome::ok;
  return Resolution{answer, is_certain};
}

void PendingTransaction::on_verification_failed(double now) {
  read_back_ = true;
  not_before_ = now + kReadBackAgain_s;
}

PendingTransaction::Resolution PendingTransaction::on_verified(const kv::ReadResult& found) {
  const auto key = proof_key(batch_->transaction);
  kv::CommitResult committed = *std::exchange(refusal_, std::nullopt);
  if (found.outcome == Outcome::ok && found.entry.revision != key->second) {
    committed = {};
    committed.outcome = Outcome::ok;
    committed.store_revision = found.entry.revision;
  }
  return {committed, true};
}

std::optional<std::string> PendingTransaction::take_key_to_verify(double now) {
  if (!may_send(now) || !std::exchange(read_back_, false)) return std::nullopt;
  return proof_key(batch_->transaction)->first;
}

bool PendingTransaction::take_resend(double now) {
  return may_send(now) && std::exchange(resend_, false);
}

void PendingTransaction::note_failure(double now) {
  not_before_ = now + kFailureWait_s * std::min(++failures_, kMostFailureWaits);
}

}  // namespace reachramp::controller
