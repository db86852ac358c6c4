// The transaction that the leader has sent and whose outcome it does not know yet. A transaction
// without an answer may still be applied, so the same one is sent again, under the same conditions,
// until its outcome is known: it is then applied at most once.
#pragma once

#include <optional>
#include <string>

#include "controller/transaction_builder.h"
#include "kv/client.h"

namespace reachramp::controller {

class PendingTransaction {
 public:
  // What became of the transaction. Not certain: an earlier sending may have been applied, and
  // nothing in the store tells.
  struct Resolution {
    kv::CommitResult result;
    bool is_certain = true;
  };

  bool is_empty() const { return !batch_; }
  const TransactionBatch& batch() const { return *batch_; }
  void begin(TransactionBatch batch) { batch_ = std::move(batch); }
  // Takes the batch out; another may begin.
  TransactionBatch finish();

  // The answer to a sending. Nothing where the outcome is still open: the batch is then to be sent
  // again, or a key is to be read first.
  std::optional<Resolution> on_commit_result(const kv::CommitResult& result, double now);

  // After a conflict that an earlier sending may itself have caused, the revision of a key that
  // only leaders write tells whether that sending was applied.
  bool awaits_verification() const { return unverified_conflict_.has_value(); }
  void on_verification_failed(double now);
  // `found` was read while this leader's token was valid.
  Resolution on_verified(const kv::ReadResult& found);

  // What is due now; each is returned once.
  std::optional<std::string> take_key_to_verify(double now);
  bool take_resend(double now);

  // How long the next sending waits grows with the failures in a row.
  bool may_send(double now) const { return now >= next_send_at_; }
  void note_failure(double now);
  void note_success() { consecutive_failures_ = 0; }

 private:
  std::optional<TransactionBatch> batch_;
  bool may_be_applied_ = false;  // an earlier sending had no answer
  bool resend_due_ = false;
  bool verification_due_ = false;
  std::optional<kv::CommitResult> unverified_conflict_;  // the conflict that the read is to explain
  double next_send_at_ = 0;
  int consecutive_failures_ = 0;  // in a row
};

}  // namespace reachramp::controller
