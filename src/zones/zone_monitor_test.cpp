#include "zones/zone_monitor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "cluster_fixtures.h"
#include "placement/plan.h"

namespace reachramp::zones {
namespace {

using placement::HostPhase;
using placement::ObservedState;

settings::Platform make_platform() {
  settings::Platform p;
  p.teams = {{"red", 0, 0, 0, 0}};
  p.worker_timings = {4, 22, 30, 4, 52};
  p.store_limits = {1000, 1000, 8, 8};
  p.upcoming_store_limits = p.store_limits;
  return p;
}

// Simulated machines that send heartbeats at different times; some cannot reach the leader for a
// time.
class SimulatedZones {
 public:
  SimulatedZones(std::uint64_t seed, const std::vector<int>& machines) : random_(seed) {
    cluster_.set_catalog({{"small", 8, 0, 32, 50, 1, 0.4, 0.1, 20, {"a", "b", "c"}}});
    const char* const kNames[] = {"a", "b", "c"};
    for (std::size_t zone = 0; zone < machines.size(); ++zone) {
      for (int i = 0; i < machines[zone]; ++i) {
        const Index host = test::add_machine(cluster_, "small", kNames[zone], true, 0);
        cluster_.hosts[host]->rented_at = -500;
        cluster_.hosts[host]->listed_as_running = true;
        next_heartbeat_at_.push_back(between(0, 4));
        unreachable_until_.push_back(-1);
      }
    }
  }

  void cut_off(Index zone, double until) {
    for (Index i = 0; i < cluster_.hosts.size(); ++i) {
      if (cluster_.hosts[i] && cluster_.hosts[i]->zone == zone) unreachable_until_[i] = until;
    }
  }
  void hang_random_machines(double share, double until) {
    for (Index i = 0; i < cluster_.hosts.size(); ++i) {
      if (between(0, 1) < share) unreachable_until_[i] = std::max(unreachable_until_[i], until);
    }
  }
  void run(double until) {
    for (; now_ < until; now_ += 0.5) {
      for (Index i = 0; i < cluster_.hosts.size(); ++i) {
        auto* host = cluster_.hosts[i].get();
        if (host == nullptr || now_ < next_heartbeat_at_[i]) continue;
        next_heartbeat_at_[i] = now_ + between(3, 5);
        if (now_ < unreachable_until_[i]) continue;
        host->last_heartbeat_at = now_;
        host->phase = HostPhase::up;
      }
      zones_.advance(cluster_, listening_since_, now_);
      for (Index zone = 0; zone < 3; ++zone) {
        if (zones_.state(zone) == ZoneState::healthy) continue;
        if (!suspected_at_.contains(zone)) suspected_at_[zone] = now_;
        if (zones_.state(zone) == ZoneState::lost && !lost_at_.contains(zone))
          lost_at_[zone] = now_;
      }
      for (const Index i : zones_.hosts_to_return(cluster_, listening_since_, now_)) {
        returned_.emplace_back(now_, cluster_.hosts[i]->name);
        cluster_.remove_host(i, now_);
      }
    }
  }
  // Replaces the leader by one that has heard no heartbeat yet.
  void change_leader() {
    zones_ = {};
    listening_since_ = now_;
    for (const auto& host : cluster_.hosts) {
      if (!host) continue;
      host->phase = HostPhase::booting;
      host->last_heartbeat_at = -1;
      host->zone_suspected = host->zone_lost = false;
    }
  }
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }

  settings::Platform platform_ = make_platform();
  Cluster cluster_{platform_, 1, jobs::TaskRecordFormat::compact};
  ZoneMonitor zones_;
  double now_ = 0, listening_since_ = 0;
  // When a zone was first suspected, and first lost.
  std::map<Index, double> suspected_at_, lost_at_;
  std::vector<std::pair<double, std::string>> returned_;

 private:
  std::mt19937_64 random_;
  std::vector<double> next_heartbeat_at_, unreachable_until_;
};

RC_GTEST_PROP(ZoneMonitorTest, DetectsALostZoneAndNothingElse, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  std::mt19937_64 random(seed);
  std::vector<int> machines;
  for (int i = 0; i < 2 + static_cast<int>(random() % 2); ++i) {
    machines.push_back(8 + static_cast<int>(random() % 120));
  }
  SimulatedZones zones(seed, machines);
  zones.run(40);
  zones.hang_random_machines(0.15, 70);  // random machines in every zone
  zones.run(60);
  // No machine is heard: the leader process was stopped for a time, or the key-value store is down.
  if (random() % 2 == 0) {
    for (Index zone = 0; zone < machines.size(); ++zone) zones.cut_off(zone, 90);
  }
  zones.run(100);
  if (random() % 2 == 0) zones.change_leader();
  zones.run(130);
  RC_ASSERT(zones.suspected_at_.empty());
  RC_ASSERT(zones.returned_.empty());
  const Index zone = static_cast<Index>(random() % machines.size());
  zones.cut_off(zone, 200);
  if (random() % 3 == 0) {
    zones.run(130 + 2);
    zones.change_leader();
  }
  zones.run(199);
  RC_ASSERT(zones.suspected_at_.size() == 1u);
  RC_ASSERT(zones.suspected_at_.at(zone) <= 130 + 2 + 2 * 4 + 6 + 5 + 3);
  RC_ASSERT(zones.lost_at_.at(zone) <= 130 + 2 + 22 + 22.0 / 2 + 1);
  // Idle machines are kept until keeping them has cost as much as renting new ones. Then a few are
  // returned each second.
  for (const auto& [at, name] : zones.returned_) RC_ASSERT(at >= 130 + 55);
  zones.run(320);
  RC_ASSERT(zones.zones_.state(zone) == ZoneState::healthy);
}

class LostZoneTest : public ::testing::Test {
 protected:
  LostZoneTest() : simulated_(3, {10, 10}) {}

  Index job(const char* id, std::uint32_t tasks, jobs::Priority priority) {
    jobs::Header header;
    header.spec.id = id;
    header.spec.team = "red";
    header.spec.priority = priority;
    header.spec.tasks = tasks;
    header.spec.cpus = 8;
    header.spec.image = "img";
    header.spec.allow_spot = true;
    return simulated_.cluster_.add_job(header, ++jobs_, simulated_.now_);
  }
  void run_on(Index job, const std::vector<Index>& hosts) {
    std::uint32_t task = 0;
    for (const Index host : hosts) {
      simulated_.cluster_.place(job, task, 1, host, simulated_.now_);
      auto& attempt = simulated_.cluster_.jobs[job]->attempts.at(task++);
      attempt.start_sent = attempt.persisted = true;
      attempt.observed_state = ObservedState::running;
      attempt.running_since = simulated_.now_;
    }
  }
  static std::vector<Index> range(Index from, Index to) {
    std::vector<Index> hosts;
    for (; from < to; ++from) hosts.push_back(from);
    return hosts;
  }

  SimulatedZones simulated_;
  std::uint64_t jobs_ = 0;
};

TEST_F(LostZoneTest, MachinesOfUrgentJobsAreReturnedFirstAsOtherZonesHaveRoom) {
  simulated_.run(20);
  run_on(job("j-low", 4, jobs::Priority::low), range(10, 14));
  run_on(job("j-high", 3, jobs::Priority::high), range(14, 17));
  // Leaves three machines free in the other zone.
  run_on(job("j-here", 7, jobs::Priority::normal), range(0, 7));
  simulated_.cut_off(1, 1000);
  const auto names = [&] {
    std::vector<std::string> found;
    for (const auto& [at, name] : simulated_.returned_) found.push_back(name);
    return found;
  };
  const auto run_and_plan = [&](double until) {
    for (; simulated_.now_ < until;) {
      simulated_.run(simulated_.now_ + 0.5);
      plan(simulated_.cluster_, simulated_.now_);
    }
  };
  run_and_plan(20 + 20);
  EXPECT_TRUE(names().empty()) << "the leases have not expired yet";
  run_and_plan(20 + 40);
  EXPECT_EQ(names(), (std::vector<std::string>{"n-14", "n-15", "n-16"}))
      << "there is room for three";
  EXPECT_EQ(simulated_.cluster_.find_job("j-high")->attempts.size(), 3u);
  for (std::size_t i = 1; i < simulated_.returned_.size(); ++i) {
    EXPECT_GE(simulated_.returned_[i].first - simulated_.returned_[i - 1].first, 1)
        << "one machine each second";
  }
  // A waiting job that is less urgent than the lost tasks does not delay the return of their
  // machine.
  job("j-lowest", 1, jobs::Priority::low);
  run_and_plan(20 + 50);
  EXPECT_EQ(names().size(), 4u);
  // Idle machines are kept until keeping them has cost as much as renting new ones.
  run_and_plan(20 + 90);
  for (const Index idle : range(17, 20)) EXPECT_FALSE(simulated_.cluster_.hosts[idle]) << idle;
  EXPECT_EQ(names().size(), 7u);
}

TEST_F(LostZoneTest, UnsentTasksAreReleasedAndPlacedElsewhere) {
  simulated_.run(20);
  const Index index = job("j-1", 2, jobs::Priority::normal);
  simulated_.cluster_.place(index, 0, 1, 12, simulated_.now_);
  simulated_.cut_off(1, 1000);
  simulated_.run(40);
  EXPECT_TRUE(simulated_.cluster_.jobs[index]->attempts.empty());
  EXPECT_EQ(plan(simulated_.cluster_, simulated_.now_), 2);
  for (const auto& [task, attempt] : simulated_.cluster_.jobs[index]->attempts) {
    EXPECT_EQ(simulated_.cluster_.hosts[attempt.host]->zone, 0u);
  }
  EXPECT_EQ(simulated_.zones_.closed_pools(simulated_.cluster_).size(), 2u);
}

// A new leader does not rent in the lost zone, returns no machine before it has listened long
// enough, and does not have to wait for a whole lease again.
TEST_F(LostZoneTest, ANewLeaderRestoresTheLostState) {
  simulated_.run(20);
  run_on(job("j-1", 2, jobs::Priority::normal), {12, 13});
  simulated_.cut_off(1, 150);
  simulated_.run(56);
  ASSERT_EQ(simulated_.zones_.state(1), ZoneState::lost);
  const auto record = simulated_.zones_.encode(simulated_.cluster_);
  const std::size_t before = simulated_.returned_.size();
  simulated_.change_leader();
  simulated_.zones_.restore(wire::Json::from_msgpack(wire::Json::to_msgpack(record)),
                            simulated_.cluster_, 45, 56);
  simulated_.run(57);
  EXPECT_EQ(simulated_.zones_.state(1), ZoneState::lost);
  EXPECT_EQ(simulated_.zones_.closed_pools(simulated_.cluster_).size(), 2u);
  simulated_.run(56 + 13);
  EXPECT_EQ(simulated_.returned_.size(), before)
      << "the new leader has not listened for long enough";
  simulated_.run(56 + 55);
  EXPECT_GT(simulated_.returned_.size(), before);
  simulated_.run(250);
  EXPECT_EQ(simulated_.zones_.state(1), ZoneState::healthy);
  for (const wire::Json& bad :
       {wire::Json(1), wire::Json::object(), wire::Json{{"zones", {{{"name", "a"}, {"state", 9}}}}},
        wire::Json{{"zones", {{{"state", 1}, {"flaps", 1}}}}}}) {
    EXPECT_THROW(simulated_.zones_.restore(bad, simulated_.cluster_, 0, 250), wire::BadMessage);
  }
  EXPECT_EQ(simulated_.zones_.state(1), ZoneState::healthy);
}

// A zone that is cut off for 20 s again and again takes longer to become healthy each time.
TEST_F(LostZoneTest, AFlappingZoneRecoversMoreSlowlyEachTime) {
  std::vector<double> settled;
  for (int i = 0; i < 4; ++i) {
    const double begin = 100.0 * (i + 1);
    simulated_.run(begin);
    EXPECT_EQ(simulated_.zones_.state(1), ZoneState::healthy) << i;
    simulated_.cut_off(1, begin + 20);
    simulated_.run(begin + 26);
    for (; simulated_.zones_.state(1) != ZoneState::healthy && simulated_.now_ < begin + 99.5;) {
      simulated_.run(simulated_.now_ + 0.5);
    }
    settled.push_back(simulated_.now_ - begin);
  }
  EXPECT_TRUE(simulated_.returned_.empty());
  EXPECT_LT(settled[0] + 5, settled[1]);
  EXPECT_LT(settled[1] + 15, settled[2]);
}

}  // namespace
}  // namespace reachramp::zones
