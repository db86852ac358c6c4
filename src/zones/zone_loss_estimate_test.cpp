#include "zones/zone_loss_estimate.h"

#include <gtest/gtest.h>

#include "cluster_fixtures.h"
#include "placement/plan.h"

namespace reachramp::zones {
namespace {

using placement::Index;

class ZoneLossEstimateTest : public ::testing::Test {
 protected:
  ZoneLossEstimateTest() : cluster_(platform_, 1, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a", "b"}}});
  }

  jobs::Spec& job(std::uint32_t tasks) {
    header_.spec = {};
    header_.spec.id = "j-" + std::to_string(cluster_.jobs.size());
    header_.spec.team = "red";
    header_.spec.tasks = tasks;
    header_.spec.cpus = 1;
    header_.spec.image = "img";
    header_.spec.allow_spot = true;
    return header_.spec;
  }
  void add() { cluster_.add_job(header_, cluster_.jobs.size() + 1, 0); }
  ZoneLossEstimate estimate_for(const std::string& zone) {
    for (const ZoneLossEstimate& loss :
         estimate_zone_loss(cluster_, placement::service_order(cluster_, 1), 1)) {
      if (cluster_.zones[loss.zone] == zone) return loss;
    }
    return {};
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.teams = {{"red", 4, 0, 0, 0}};
    return p;
  }();
  placement::Cluster cluster_;
  jobs::Header header_;
};

// Three jobs run in zone a; the first is within its team's guarantee, the second may run only
// there. Two cores are free in zone b.
TEST_F(ZoneLossEstimateTest, CountsJobsThatWouldWait) {
  for (int i = 0; i < 3; ++i) test::add_machine(cluster_, "small", "a", true);
  job(2);  // within its team's guarantee
  add();
  job(4).zone = "a";
  add();
  job(4);
  add();
  EXPECT_EQ(placement::plan(cluster_, 1), 10);
  test::add_machine(cluster_, "small", "b", true);
  cluster_.hosts.back()->free.cpus = 2;
  const ZoneLossEstimate loss = estimate_for("a");
  EXPECT_EQ(loss.machines, 3u);
  EXPECT_DOUBLE_EQ(loss.cores_in_use, 10);
  EXPECT_DOUBLE_EQ(loss.free_cores_elsewhere, 2);
  EXPECT_EQ(loss.affected_jobs, 3u);
  EXPECT_EQ(loss.waiting_jobs, 2u) << "the first job fits into zone b";
  EXPECT_EQ(loss.waiting_guaranteed_jobs, 0u);
  EXPECT_EQ(loss.waiting_zone_bound_jobs, 1u);
  EXPECT_EQ(estimate_for("b").affected_jobs, 0u);
}

// A gang that must run in one zone cannot use free room that is spread over two zones.
TEST_F(ZoneLossEstimateTest, AGangNeedsRoomInOneZone) {
  test::add_machine(cluster_, "small", "a", true);
  jobs::Spec& gang = job(4);
  gang.shape = jobs::Shape::gang;
  gang.single_zone = true;
  add();
  EXPECT_EQ(placement::plan(cluster_, 1), 4);
  test::add_machine(cluster_, "small", "b", true);
  test::add_machine(cluster_, "small", "c", true);
  for (const Index i : {1, 2}) cluster_.hosts[i]->free.cpus = 2;
  EXPECT_EQ(estimate_for("a").waiting_jobs, 1u);
  EXPECT_EQ(estimate_for("a").waiting_guaranteed_jobs, 1u);
  cluster_.hosts[1]->free.cpus = 4;
  EXPECT_EQ(estimate_for("a").waiting_jobs, 0u);
}

// If two zones have room, at most half of a service's replicas, rounded up, is placed in one zone.
// If only one zone has room, all replicas are placed there, and the estimate reports the service.
TEST_F(ZoneLossEstimateTest, ServicesAreSpreadOverZones) {
  for (int i = 0; i < 2; ++i) test::add_machine(cluster_, "small", "a", true);
  job(5).shape = jobs::Shape::service;
  add();
  EXPECT_EQ(placement::plan(cluster_, 1), 5) << "there is no other zone";
  EXPECT_EQ(estimate_for("a").services_losing_majority, 1u);
  test::add_machine(cluster_, "small", "b", true);
  job(5).shape = jobs::Shape::service;
  add();
  EXPECT_EQ(placement::plan(cluster_, 1), 5);
  std::map<Index, int> by_zone;
  for (const auto& [task, attempt] : cluster_.jobs[1]->attempts) {
    ++by_zone[cluster_.hosts[attempt.host]->zone];
  }
  EXPECT_EQ(by_zone[cluster_.zones.find("a")], 3);
  EXPECT_EQ(by_zone[cluster_.zones.find("b")], 2);
  EXPECT_EQ(estimate_for("a").services_losing_majority, 2u) << "three of five are more than half";
}

}  // namespace
}  // namespace reachramp::zones
