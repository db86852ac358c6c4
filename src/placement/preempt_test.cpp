#include "placement/preempt.h"

#include <gtest/gtest.h>

#include "cluster_fixtures.h"
#include "placement/plan.h"

namespace reachramp::placement {
namespace {

// Two machines. One team can use them beyond its guarantee, and another team can preempt that work.
class Preempt : public ::testing::Test {
 protected:
  Preempt() : cluster_(platform_, 1, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"large", 32, 0, 128, 50, 1, 3.2, 0.8, 5, {"a"}}});
    for (int i = 0; i < 2; ++i) test::add_machine(cluster_, "large", "a", false, 100);
  }

  Index gang(const char* team, std::uint32_t tasks, double now) {
    jobs::Header made = test::make_gang(cluster_, team, tasks);
    made.spec.checkpoint_interval_s = 15;
    made.spec.checkpoint_duration_s = 4;
    return cluster_.add_job(made, cluster_.jobs.size() + 1, now);
  }

  Index running(const char* team, std::uint32_t tasks, double since) {
    const Index index = gang(team, tasks, since);
    EXPECT_EQ(plan(cluster_, since), static_cast<int>(tasks));
    Job& job = *cluster_.jobs[index];
    job.gang_started = true;
    for (auto& [task, attempt] : job.attempts) {
      attempt.start_sent = true;
      attempt.observed_state = ObservedState::running;
      attempt.running_since = since;
    }
    return index;
  }

  bool is_stopping(Index job) const {
    const auto& attempts = cluster_.jobs[job]->attempts;
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const auto& entry) { return entry.second.stopping; });
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.worker_timings.lease_s = 1000;
    p.teams = {{"borrows", 30, 0, 0, 0}, {"owed", 60, 0, 0, 0}, {"none", 0, 0, 0, 0}};
    return p;
  }();
  Cluster cluster_;
};

TEST_F(Preempt, AGangWithinAGuaranteePreemptsWorkBeyondOne) {
  const Index beyond_guarantee = running("none", 2, 100);
  gang("owed", 2, 140);
  plan(cluster_, 141);
  EXPECT_FALSE(is_stopping(beyond_guarantee)) << "room may still become free by itself";
  plan(cluster_, 145);
  EXPECT_TRUE(is_stopping(beyond_guarantee));
  for (const auto& [task, attempt] : cluster_.jobs[beyond_guarantee]->attempts) {
    EXPECT_GE(attempt.grace_period_s, 4) << "each task has time to save its progress";
  }
}

TEST_F(Preempt, WorkWithinAGuaranteeOrTooSmallIsNotPreempted) {
  const Index own = running("borrows", 1, 100);
  const Index beyond = running("none", 1, 100);
  const Index large = gang("owed", 2, 140);
  plan(cluster_, 145);
  EXPECT_FALSE(is_stopping(own));
  EXPECT_FALSE(is_stopping(beyond)) << "its machine alone would not be enough";
  cluster_.remove_job(large);
  gang("owed", 1, 140);
  plan(cluster_, 146);
  EXPECT_TRUE(is_stopping(beyond));
}

TEST_F(Preempt, WorkBeyondTheGuaranteeOrOfTheSameTeamPreemptsNothing) {
  const Index first = running("none", 2, 100);
  gang("none", 2, 140);
  gang("borrows", 2, 140);
  plan(cluster_, 145);
  EXPECT_FALSE(is_stopping(first));
}

TEST_F(Preempt, OneWaitingGangPreemptsOneGang) {
  const Index left = running("none", 1, 100);
  const Index right = running("none", 1, 101);
  gang("owed", 1, 140);
  for (double now = 145; now < 150; ++now) plan(cluster_, now);
  EXPECT_NE(is_stopping(left), is_stopping(right));
}

}  // namespace
}  // namespace reachramp::placement
