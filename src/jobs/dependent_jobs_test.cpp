// What users are told of jobs that need a cancelled job, by nodes on whose store no leader stores
// the ends of such jobs: as after an outage of the store, or while the leader is cut off from it.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "user_request_nodes.h"

namespace reachramp::test {
namespace {

class DependentJobs : public UserRequests {
 protected:
  // A chain a, b, c, a diamond (left and right need a, both needs both of them) and a job that
  // needs two others, of which only one needs a.
  void submit_jobs_behind_a(Node& node) {
    ASSERT_EQ(node.submit("j-a", {}), "201 pending");
    ASSERT_EQ(node.submit("j-other", {}), "201 pending");
    ASSERT_EQ(node.submit("j-b", {"j-a"}), "201 pending");
    ASSERT_EQ(node.submit("j-c", {"j-b"}), "201 pending");
    ASSERT_EQ(node.submit("j-left", {"j-a"}), "201 pending");
    ASSERT_EQ(node.submit("j-right", {"j-a"}), "201 pending");
    ASSERT_EQ(node.submit("j-both", {"j-left", "j-right"}), "201 pending");
    ASSERT_EQ(node.submit("j-two", {"j-other", "j-left"}), "201 pending");
  }
};

// The review's case 1: after an outage that began when the first job of a pipeline was cancelled,
// the jobs behind it were called pending, longer than cancel_s after their user was told.
TEST_F(DependentJobs, OfACancelledJobAreNotCalledPendingAfterCancelTime) {
  Node node("node-0", port_), other("node-1", port_);
  submit_jobs_behind_a(node);
  for (const char* id : {"j-a", "j-b", "j-c", "j-left", "j-right", "j-both", "j-two"}) {
    ASSERT_EQ(other.query(id), kPending) << "the other node has cached the job too";
  }
  ASSERT_EQ(other.cancel("j-a"), kAborted);
  sleep_s(kCancelTime_s);
  Node just_started("node-1", port_);
  Node* const nodes[] = {&node, &other, &just_started};
  for (const char* id : {"j-b", "j-c", "j-left", "j-right", "j-both", "j-two"}) {
    for (Node* asked : nodes) EXPECT_EQ(asked->query_until_answered(id), kAborted) << id;
    EXPECT_TRUE(is_stored_as_cancelled(id)) << "a node of an older version looks here alone";
  }
  EXPECT_EQ(node.query("j-other"), kPending);
}

// A node that was just started has read nothing before the cancellation.
TEST_F(DependentJobs, AreCancelledByARepeatedSubmissionAtANodeThatWasJustStarted) {
  Node node("node-0", port_), just_started("node-1", port_);
  submit_jobs_behind_a(node);
  ASSERT_EQ(node.cancel("j-a"), kAborted);
  EXPECT_EQ(just_started.submit("j-c", {"j-b"}), kAborted);
  EXPECT_EQ(just_started.cancel("j-two"), kAborted);
}

// A job that names one behind a cancelled job is as impossible as that one.
TEST_F(DependentJobs, OfJobsBehindACancelledOneAreAcceptedAsCancelled) {
  Node node("node-0", port_), just_started("node-1", port_);
  submit_jobs_behind_a(node);
  ASSERT_EQ(node.cancel("j-a"), kAborted);
  EXPECT_EQ(just_started.submit("j-last", {"j-c"}), "201 aborted");
  EXPECT_TRUE(is_stored_as_cancelled("j-last"));
  EXPECT_EQ(just_started.submit("j-free", {"j-other"}), "201 pending");
}

// A cancellation that is answered with `done` cancels nothing.
TEST_F(DependentJobs, OfAJobThatWasDoneWhenItWasCancelledGoOn) {
  Node node("node-0", port_), just_started("node-1", port_);
  submit_jobs_behind_a(node);
  end("j-a", false);
  ASSERT_EQ(node.cancel("j-a"), kDone);
  for (const char* id : {"j-b", "j-c", "j-both", "j-two"}) {
    EXPECT_EQ(node.query(id), kPending) << id;
    EXPECT_EQ(just_started.query(id), kPending) << id;
  }
  EXPECT_EQ(just_started.submit("j-last", {"j-c"}), "201 pending");
}

// The end of the cancelled job is stored, those of the jobs behind it are not yet: the leader
// stores them slower than cancel_s allows, or has ended.
TEST_F(DependentJobs, AreCancelledToTheUserBeforeTheirOwnEndIsStored) {
  Node node("node-0", port_), just_started("node-1", port_);
  submit_jobs_behind_a(node);
  ASSERT_EQ(node.cancel("j-a"), kAborted);
  end("j-a", true);
  end("j-b", true);
  for (const char* id : {"j-c", "j-both", "j-two"}) {
    EXPECT_EQ(just_started.query_until_answered(id), kAborted) << id;
  }
  end("j-c", true);
  EXPECT_EQ(node.query("j-c"), kAborted);
}

// While the store answers nobody nothing certain can be said, and once it does all is as before.
TEST_F(DependentJobs, HaveNoAnswerInAnOutageAndOneAfterIt) {
  Node node("node-0", port_);
  submit_jobs_behind_a(node);
  ASSERT_EQ(node.cancel("j-a"), kAborted);
  set_outage(true);
  EXPECT_EQ(node.query("j-c"), "503 ");
  set_outage(false);
  EXPECT_EQ(node.query_until_answered("j-c"), kAborted);
  EXPECT_EQ(node.query_until_answered("j-both"), kAborted);
}

// Where a worker's lease may outlast cancel_s, users are told of a cancellation only once the end
// of the job is stored. A job that names it later was called pending all the same when it was
// accepted.
TEST_F(DependentJobs, OfACancelledJobAreAcceptedAsAbortedWhereCancellationsAreConfirmedLate) {
  Node node("node-0", port_, kLimits, 2 * kCancelTime_s);
  ASSERT_EQ(node.submit("j-a", {}), "201 pending");
  ASSERT_EQ(node.submit("j-b", {"j-a"}), "201 pending");
  ASSERT_EQ(node.cancel("j-a"), "503 ") << "a task may still run";
  end("j-a", true);
  ASSERT_EQ(node.cancel("j-a"), kAborted);
  EXPECT_EQ(node.submit("j-last", {"j-a"}), "201 aborted");
  Node just_started("node-1", port_, kLimits, 2 * kCancelTime_s);
  for (const char* id : {"j-b", "j-last"}) {
    EXPECT_EQ(just_started.query(id), "503 ") << "until the leader has stored its end";
    EXPECT_TRUE(is_stored_as_cancelled(id));
    end(id, true);
    EXPECT_EQ(just_started.query(id), kAborted);
  }
}

// Between two reads of the same jobs a question about one that waits costs no more than any other.
// The store's limits are small.
TEST_F(DependentJobs, AskedAboutTakeOneRequestAQuestionWhileNothingChanges) {
  constexpr int kChainLength = 40, kQuestions = 20;
  Node node("node-0", port_);
  const auto id = [](int i) { return fmt::format("j-{}", i); };
  ASSERT_EQ(node.submit(id(0), {}), "201 pending");
  for (int i = 1; i < kChainLength; ++i) ASSERT_EQ(node.submit(id(i), {id(i - 1)}), "201 pending");
  const std::uint64_t before = request_count(), revision = store_revision();
  for (int i = 0; i < kQuestions; ++i) EXPECT_EQ(node.query(id(kChainLength - 1)), kPending);
  // What the first question refreshes, in full transactions of 32 comparisons, and the questions.
  EXPECT_LE(request_count() - before, kQuestions + 4u);
  EXPECT_EQ(store_revision(), revision)
      << "a question about a job that is not cancelled writes nothing";
}

// A node that was just started reads a long chain job by job, within the small rate that status
// queries have, and goes on with what it has read when its user asks again: 503 is not for ever.
TEST_F(DependentJobs, BehindALongChainAreAnsweredForByANodeThatWasJustStarted) {
  constexpr int kChainLength = 60;
  constexpr settings::StoreLimits kSmallLimits{70, 25, 4, 8};
  const auto id = [](int i) { return fmt::format("j-{}", i); };
  Node node("node-0", port_);
  ASSERT_EQ(node.submit(id(0), {}), "201 pending");
  for (int i = 1; i < kChainLength; ++i) ASSERT_EQ(node.submit(id(i), {id(i - 1)}), "201 pending");
  Node just_started("node-1", port_, kSmallLimits);
  EXPECT_EQ(just_started.query_until_answered(id(kChainLength - 1)), kPending);
  ASSERT_EQ(node.cancel(id(0)), kAborted);
  sleep_s(kCancelTime_s);
  EXPECT_EQ(just_started.query_until_answered(id(kChainLength - 1)), kAborted);
}

// A node takes a small part of the store's writes, so that the leader can store the ends, and each
// job is written at most once. Until then its user is told nothing.
TEST_F(DependentJobs, OfManyCancelledJobsAreWrittenOnceEachAndNotAllAtOnce) {
  constexpr int kJobs = 30;
  Node node("node-0", port_);
  const auto id = [](int i) { return fmt::format("j-{}", i); };
  ASSERT_EQ(node.submit("j-a", {}), "201 pending");
  for (int i = 0; i < kJobs; ++i) ASSERT_EQ(node.submit(id(i), {"j-a"}), "201 pending");
  ASSERT_EQ(node.cancel("j-a"), kAborted);
  Node just_started("node-1", port_);
  const std::uint64_t revision = store_revision();
  const double begin = kv::steady_now();
  int unanswered = 0, pending = 0;
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < kJobs; ++i) {
      const std::string answer = just_started.query(id(i));
      unanswered += answer.starts_with("503");
      pending += answer == kPending;
    }
  }
  EXPECT_EQ(pending, 0);
  // A tenth of the store's writes, half of them at this node, and a burst of two.
  const double allowed = 2 + (kv::steady_now() - begin) * kLimits.write_rps * 0.1 / 2;
  EXPECT_LE(static_cast<double>(store_revision() - revision), allowed + 1);
  EXPECT_GT(unanswered, 0);
  for (int i = 0; i < kJobs; ++i) EXPECT_EQ(just_started.query_until_answered(id(i)), kAborted);
  EXPECT_EQ(store_revision() - revision, static_cast<std::uint64_t>(kJobs));
}

}  // namespace
}  // namespace reachramp::test
