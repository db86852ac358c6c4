// The transaction that the leader has sent and whose outcome is not known yet.
//
// A transaction that got no answer may still be applied. It is therefore sent again unchanged, with
// the same preconditions, until its outcome is known; the preconditions ensure that it is applied
// at most once.
#pragma once

#include <optional>
#include <string>

#include "controller/transaction_builder.h"
#include "kv/client.h"

namespace reachramp::controller {

// Tracks at most one transaction at a time: when it is sent again, what its outcome is, and how
// long to wait before the next one.
class PendingTransaction {
 public:
  // The outcome of the transaction. It is uncertain if an earlier attempt to send it may have been
  // applied and no key in the store can tell.
  struct Resolution {
    kv::CommitResult result;
    bool is_certain = true;
  };

  // Whether no transaction is pending.
  bool is_empty() const { return !batch_; }
  // The pending batch; requires that there is one.
  const TransactionBatch& batch() const { return *batch_; }
  // Makes `batch` the pending one; requires that there is none.
  void begin(TransactionBatch batch) { batch_ = std::move(batch); }
  // Removes the pending batch and returns it; another one may then begin.
  TransactionBatch finish();

  // Processes the result of sending the batch. Returns none while the outcome is open: the batch
  // must then be sent again, or a key must be read first.
  std::optional<Resolution> on_commit_result(const kv::CommitResult& result, double now);

  // Whether a conflict awaits verification. An earlier attempt that was applied makes a later one
  // fail with a conflict. The revision of a key that only leaders write tells whether that
  // happened.
  bool awaits_verification() const { return unverified_conflict_.has_value(); }
  // The key could not be read; it is to be read again.
  void on_verification_failed(double now);
  // Resolves the conflict. `found` is the key's record, read while this leader's fencing token was
  // valid.
  Resolution on_verified(const kv::ReadResult& found);

  // The key to read and whether to send the batch again, if that is due now; each is returned once.
  std::optional<std::string> take_key_to_verify(double now);
  bool take_resend(double now);

  // Failures delay the next attempt to send; the delay grows with the number of consecutive
  // failures.
  bool may_send(double now) const { return now >= next_send_at_; }
  void note_failure(double now);
  void note_success() { consecutive_failures_ = 0; }

 private:
  std::optional<TransactionBatch> batch_;
  bool may_be_applied_ = false;  // an earlier attempt got no answer
  bool resend_due_ = false;
  bool verification_due_ = false;
  // The conflict that the read of the key is to explain.
  std::optional<kv::CommitResult> unverified_conflict_;
  double next_send_at_ = 0;
  int consecutive_failures_ = 0;
};

}  // namespace reachramp::controller
