#include "acquire/autoscaler.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "cluster_fixtures.h"

namespace reachramp::acquire {
namespace {

class AutoscalerTest : public ::testing::Test {
 protected:
  AutoscalerTest()
      : cluster_(platform_, 1, jobs::TaskRecordFormat::compact), autoscaler_(settings::Policy{}) {
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

  int requested_in(const std::string& zone, double now) {
    int machines = 0;
    for (const ScaleOutRequest& request : autoscaler_.scale_out_requests(cluster_, now)) {
      if (cluster_.zones[request.pool.zone] == zone) machines += request.machines;
    }
    return machines;
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.teams = {{"red", 0, 0, 0, 0}};
    return p;
  }();
  Cluster cluster_;
  Autoscaler autoscaler_;
};

// Guards against selecting the same zone for each gang because it is large enough for one of them,
// and requesting no machines in other zones.
TEST_F(AutoscalerTest, MachinesAreRequestedInOtherZonesForGangsThatAZoneCannotHold) {
  for (int i = 0; i < 4; ++i) machine("a", false);
  const Pool full{0, cluster_.zones.find("a"), false};
  autoscaler_.record_refusal(full, 0);
  gang(2);
  gang(2);
  EXPECT_TRUE(autoscaler_.scale_out_requests(cluster_, 1).empty())
      << "the zone holds two gangs of two";
  gang(3);
  EXPECT_EQ(requested_in("a", 1), 0);
  EXPECT_EQ(requested_in("b", 1) + requested_in("c", 1), 3);
}

// Guards against counting the reclaim of a single machine as one of the whole pool, which brings
// the reclaim probability of a large pool close to 1.
TEST_F(AutoscalerTest, AReclaimedMachineCountsAsItsShareOfThePool) {
  for (int i = 0; i < 30; ++i) machine("a", true);
  const Pool pool{0, cluster_.zones.find("a"), true};
  const double before = autoscaler_.reclaim_probability(pool);
  for (int i = 0; i < 3; ++i) autoscaler_.record_reclaim(cluster_, pool);
  EXPECT_NEAR(autoscaler_.reclaim_probability(pool), before + 0.1, 0.01);
}

TEST_F(AutoscalerTest, AllUnneededIdleMachinesAreReturnedAtOnce) {
  for (int i = 0; i < 20; ++i) machine("a", false);
  gang(3);
  EXPECT_EQ(autoscaler_.scale_in_candidates(cluster_, 1000).size(), 17u);
}

TEST_F(AutoscalerTest, IdleMachinesAreKeptForJobsThatAreSoonUnblocked) {
  for (int i = 0; i < 5; ++i) machine("a", false);
  gang(3);
  placement::Job& waiting = *cluster_.jobs[0];
  waiting.dependencies.push_back({"j-earlier", placement::DependencyState::live});
  waiting.expected_unblocked_at = 1029;
  EXPECT_EQ(autoscaler_.scale_in_candidates(cluster_, 1000).size(), 2u)
      << "the job is unblocked within the boot time of 30 s";
  EXPECT_EQ(autoscaler_.scale_in_candidates(cluster_, 990).size(), 5u);
  waiting.spec.tasks = 9;
  EXPECT_TRUE(autoscaler_.scale_out_requests(cluster_, 1000).empty())
      << "no machines are rented for a blocked job";
}

}  // namespace
}  // namespace reachramp::acquire
