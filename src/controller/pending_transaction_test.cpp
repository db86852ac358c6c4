#include "controller/pending_transaction.h"

#include <gtest/gtest.h>

namespace reachramp::controller {
namespace {

using kv::Outcome;

constexpr const char* kKey = "task/j-1/0";
constexpr std::uint64_t kRevisionBefore = 7;

class PendingTransactionTest : public ::testing::Test {
 protected:
  // Begins a transaction whose first attempt gets no answer.
  void send_without_answer(const std::string& key) {
    TransactionBatch batch;
    batch.transaction.preconditions = {{key, kRevisionBefore}};
    batch.transaction.writes = {{key, kv::Json::object(), std::nullopt}};
    transaction_.begin(batch);
    EXPECT_FALSE(answer(Outcome::unknown, 0));
    EXPECT_FALSE(transaction_.take_resend(0)) << "not sent again at once";
    EXPECT_TRUE(transaction_.take_resend(1));
    EXPECT_FALSE(transaction_.take_resend(1)) << "sent again only once";
  }
  std::optional<PendingTransaction::Resolution> answer(Outcome outcome, double now) {
    kv::CommitResult committed;
    committed.outcome = outcome;
    return transaction_.on_commit_result(committed, now);
  }
  Outcome after_read_back(std::uint64_t found_revision) {
    kv::ReadResult found;
    found.outcome = Outcome::ok;
    found.entry.revision = found_revision;
    const PendingTransaction::Resolution resolution = transaction_.on_verified(found);
    EXPECT_TRUE(resolution.is_certain);
    EXPECT_FALSE(transaction_.awaits_verification());
    return resolution.result.outcome;
  }

  PendingTransaction transaction_;
};

TEST_F(PendingTransactionTest, AConflictAfterALostAnswerIsVerifiedByTheRevisionOfALeadersKey) {
  for (const std::uint64_t revision : {kRevisionBefore, kRevisionBefore + 1}) {
    send_without_answer(kKey);
    EXPECT_FALSE(answer(Outcome::conflict, 1));
    EXPECT_EQ(transaction_.take_key_to_verify(1), kKey);
    EXPECT_EQ(transaction_.take_key_to_verify(1), std::nullopt) << "one read at a time";
    transaction_.on_verification_failed(1);
    EXPECT_EQ(transaction_.take_key_to_verify(2), kKey);
    EXPECT_EQ(after_read_back(revision),
              revision == kRevisionBefore ? Outcome::conflict : Outcome::ok);
    transaction_.finish();
    transaction_.note_success();
  }
}

TEST_F(PendingTransactionTest, WithoutAVerificationKeyTheOutcomeIsUncertain) {
  send_without_answer("job/j-1");
  EXPECT_FALSE(answer(Outcome::refused, 1))
      << "the first attempt may have been applied before the limits were lowered";
  const auto resolution = answer(Outcome::conflict, 5);
  ASSERT_TRUE(resolution);
  EXPECT_FALSE(resolution->is_certain);
}

TEST_F(PendingTransactionTest, AFirstAnswerIsCertain) {
  for (const Outcome outcome : {Outcome::ok, Outcome::conflict, Outcome::refused}) {
    transaction_.begin({});
    const auto resolution = answer(outcome, 0);
    ASSERT_TRUE(resolution);
    EXPECT_TRUE(resolution->is_certain);
    transaction_.finish();
  }
}

}  // namespace
}  // namespace reachramp::controller
