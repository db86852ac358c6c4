#include "acquire/autoscaler.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "machines.h"

namespace reachramp::acquire {
namespace {

class BuyerTest : public ::testing::Test {
 protected:
  BuyerTest()
      : cluster_(platform_, 1, jobs::TaskRecordFormat::compact), buyer_(settings::Policy{}) {
    cluster_.set_catalog({{"large", 32, 0, 128, 50, 1, 3.2, 0.8, 30, {"a", "b", "c"}}});
  }

  Index machine(const std::string& zone, bool spot) {
    return test::add_machine(cluster_, "large", zone, spot);
  }

  void gang(std::uint32_t tasks) {
    jobs::Header made = test::make_gang(cluster_, "red", tasks);
    made.spec.estimated_duration_s = 100;
    cluster_.add_job(made, cluster_.jobs.size() + 1, 0);
  }

  int asked_in(const std::string& zone, double now) {
    int machines = 0;
    for (const ScaleOutRequest& wish : buyer_.scale_out_requests(cluster_, now)) {
      if (cluster_.zones[wish.pool.zone] == zone) machines += wish.machines;
    }
    return machines;
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.teams = {{"red", 0, 0, 0, 0}};
    return p;
  }();
  Cluster cluster_;
  Autoscaler buyer_;
};

// Every gang once found the same zone large enough, and the other zones were never asked.
TEST_F(BuyerTest, GangsThatAFullZoneCannotHoldAreRentedForInOthers) {
  for (int i = 0; i < 4; ++i) machine("a", false);
  const Pool full{0, cluster_.zones.find("a"), false};
  buyer_.record_refusal(full, 0);
  gang(2);
  gang(2);
  EXPECT_TRUE(buyer_.scale_out_requests(cluster_, 1).empty()) << "two gangs of two fit the zone";
  gang(3);
  EXPECT_EQ(asked_in("a", 1), 0);
  EXPECT_EQ(asked_in("b", 1) + asked_in("c", 1), 3);
}

// Counted as falls of the whole pool, the losses of single machines made a large pool look as if it
// were about to fall at any time.
TEST_F(BuyerTest, AMachineLostFromALargePoolIsAShareOfIt) {
  for (int i = 0; i < 30; ++i) machine("a", true);
  const Pool pool{0, cluster_.zones.find("a"), true};
  const double before = buyer_.reclaim_probability(pool);
  for (int i = 0; i < 3; ++i) buyer_.record_reclaim(cluster_, pool);
  EXPECT_NEAR(buyer_.reclaim_probability(pool), before + 0.1, 0.01);
}

TEST_F(BuyerTest, AllIdleMachinesBeyondTheNeedAreFoundAtOnce) {
  for (int i = 0; i < 20; ++i) machine("a", false);
  gang(3);
  EXPECT_EQ(buyer_.scale_in_candidates(cluster_, 1000).size(), 17u);
}

TEST_F(BuyerTest, IdleMachinesAreKeptForJobsThatAreSoonFreed) {
  for (int i = 0; i < 5; ++i) machine("a", false);
  gang(3);
  placement::Job& waiting = *cluster_.jobs[0];
  waiting.dependencies.push_back({"j-earlier", placement::DependencyState::live});
  waiting.expected_unblocked_at = 1029;
  EXPECT_EQ(buyer_.scale_in_candidates(cluster_, 1000).size(), 2u) << "a boot takes 30 s";
  EXPECT_EQ(buyer_.scale_in_candidates(cluster_, 990).size(), 5u);
  waiting.spec.tasks = 9;
  EXPECT_TRUE(buyer_.scale_out_requests(cluster_, 1000).empty()) << "nothing is rented for it yet";
}

}  // namespace
}  // namespace reachramp::acquire
