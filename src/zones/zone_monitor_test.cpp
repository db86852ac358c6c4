#include "zones/zone_monitor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "machines.h"
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

// Machines whose reports are staggered, some of which are out of hearing.
class Field {
 public:
  Field(std::uint64_t seed, const std::vector<int>& machines) : random_(seed) {
    cluster_.set_catalog({{"small", 8, 0, 32, 50, 1, 0.4, 0.1, 20, {"a", "b", "c"}}});
    const char* const kNames[] = {"a", "b", "c"};
    for (std::size_t zone = 0; zone < machines.size(); ++zone) {
      for (int i = 0; i < machines[zone]; ++i) {
        const Index host = test::add_machine(cluster_, "small", kNames[zone], true, 0);
        cluster_.hosts[host]->rented_at = -500;
        cluster_.hosts[host]->listed_as_running = true;
        next_.push_back(between(0, 4));
        deaf_until_.push_back(-1);
      }
    }
  }

  void cut(Index zone, double until) {
    for (Index i = 0; i < cluster_.hosts.size(); ++i) {
      if (cluster_.hosts[i] && cluster_.hosts[i]->zone == zone) deaf_until_[i] = until;
    }
  }
  void hang(double share, double until) {
    for (Index i = 0; i < cluster_.hosts.size(); ++i) {
      if (between(0, 1) < share) deaf_until_[i] = std::max(deaf_until_[i], until);
    }
  }
  void run(double until) {
    for (; now_ < until; now_ += 0.5) {
      for (Index i = 0; i < cluster_.hosts.size(); ++i) {
        auto* host = cluster_.hosts[i].get();
        if (host == nullptr || now_ < next_[i]) continue;
        next_[i] = now_ + between(3, 5);
        if (now_ < deaf_until_[i]) continue;
        host->last_heartbeat_at = now_;
        host->phase = HostPhase::up;
      }
      zones_.advance(cluster_, since_, now_);
      for (Index zone = 0; zone < 3; ++zone) {
        if (zones_.state(zone) == ZoneState::healthy) continue;
        if (!first_.contains(zone)) first_[zone] = now_;
        if (zones_.state(zone) == ZoneState::lost && !lost_.contains(zone)) lost_[zone] = now_;
      }
      for (const Index i : zones_.hosts_to_return(cluster_, since_, now_)) {
        returned_.emplace_back(now_, cluster_.hosts[i]->name);
        cluster_.remove_host(i, now_);
      }
    }
  }
  // Another leader: nothing is known of any silence.
  void change_leader() {
    zones_ = {};
    since_ = now_;
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
  double now_ = 0, since_ = 0;
  std::map<Index, double> first_, lost_;  // when a zone was first doubted, and lost
  std::vector<std::pair<double, std::string>> returned_;

 private:
  std::mt19937_64 random_;
  std::vector<double> next_, deaf_until_;
};

RC_GTEST_PROP(Zones, ACutIsSeenSoonAndNothingElseIsTakenForOne, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  std::mt19937_64 random(seed);
  std::vector<int> machines;
  for (int i = 0; i < 2 + static_cast<int>(random() % 2); ++i) {
    machines.push_back(8 + static_cast<int>(random() % 120));
  }
  Field field(seed, machines);
  field.run(40);
  field.hang(0.15, 70);  // at random, in every zone
  field.run(60);
  if (random() % 2 == 0) {  // nobody is heard: we stood still, or the key-value store is out
    for (Index zone = 0; zone < machines.size(); ++zone) field.cut(zone, 90);
  }
  field.run(100);
  if (random() % 2 == 0) field.change_leader();
  field.run(130);
  RC_ASSERT(field.first_.empty());
  RC_ASSERT(field.returned_.empty());
  const Index zone = static_cast<Index>(random() % machines.size());
  field.cut(zone, 200);
  if (random() % 3 == 0) {
    field.run(130 + 2);
    field.change_leader();
  }
  field.run(199);
  RC_ASSERT(field.first_.size() == 1u);
  RC_ASSERT(field.first_.at(zone) <= 130 + 2 + 2 * 4 + 6 + 5 + 3);
  RC_ASSERT(field.lost_.at(zone) <= 130 + 2 + 22 + 22.0 / 2 + 1);
  // Idle machines: kept as long as new ones would cost, then a few a second.
  for (const auto& [at, name] : field.returned_) RC_ASSERT(at >= 130 + 55);
  field.run(320);
  RC_ASSERT(field.zones_.state(zone) == ZoneState::healthy);
}

class Lost : public ::testing::Test {
 protected:
  Lost() : field_(3, {10, 10}) {}

  Index job(const char* id, std::uint32_t tasks, jobs::Priority priority) {
    jobs::Header header;
    header.spec.id = id;
    header.spec.team = "red";
    header.spec.priority = priority;
    header.spec.tasks = tasks;
    header.spec.cpus = 8;
    header.spec.image = "img";
    header.spec.allow_spot = true;
    return field_.cluster_.add_job(header, ++jobs_, field_.now_);
  }
  void run_on(Index job, const std::vector<Index>& hosts) {
    std::uint32_t task = 0;
    for (const Index host : hosts) {
      field_.cluster_.place(job, task, 1, host, field_.now_);
      auto& attempt = field_.cluster_.jobs[job]->attempts.at(task++);
      attempt.start_sent = attempt.persisted = true;
      attempt.observed_state = ObservedState::running;
      attempt.running_since = field_.now_;
    }
  }
  static std::vector<Index> range(Index from, Index to) {
    std::vector<Index> hosts;
    for (; from < to; ++from) hosts.push_back(from);
    return hosts;
  }

  Field field_;
  std::uint64_t jobs_ = 0;
};

TEST_F(Lost, MachinesGoBackTheMostUrgentFirstAsOthersHaveRoom) {
  field_.run(20);
  run_on(job("j-low", 4, jobs::Priority::low), range(10, 14));
  run_on(job("j-high", 3, jobs::Priority::high), range(14, 17));
  run_on(job("j-here", 7, jobs::Priority::normal),
         range(0, 7));  // three machines are free elsewhere
  field_.cut(1, 1000);
  const auto names = [&] {
    std::vector<std::string> found;
    for (const auto& [at, name] : field_.returned_) found.push_back(name);
    return found;
  };
  const auto live = [&](double until) {
    for (; field_.now_ < until;) {
      field_.run(field_.now_ + 0.5);
      plan(field_.cluster_, field_.now_);
    }
  };
  live(20 + 20);
  EXPECT_TRUE(names().empty()) << "not all of it is dead";
  live(20 + 40);
  EXPECT_EQ(names(), (std::vector<std::string>{"n-14", "n-15", "n-16"})) << "three have room";
  EXPECT_EQ(field_.cluster_.find_job("j-high")->attempts.size(), 3u);
  for (std::size_t i = 1; i < field_.returned_.size(); ++i) {
    EXPECT_GE(field_.returned_[i].first - field_.returned_[i - 1].first, 1) << "one a second here";
  }
  // One that waits and is less urgent than what is lost there does not keep it from going.
  job("j-lowest", 1, jobs::Priority::low);
  live(20 + 50);
  EXPECT_EQ(names().size(), 4u);
  // Idle ones are kept as long as new ones would cost.
  live(20 + 90);
  for (const Index idle : range(17, 20)) EXPECT_FALSE(field_.cluster_.hosts[idle]) << idle;
  EXPECT_EQ(names().size(), 7u);
}

TEST_F(Lost, NothingNewIsPlacedThereAndWhatWasNotSentGoesElsewhere) {
  field_.run(20);
  const Index index = job("j-1", 2, jobs::Priority::normal);
  field_.cluster_.place(index, 0, 1, 12, field_.now_);
  field_.cut(1, 1000);
  field_.run(40);
  EXPECT_TRUE(field_.cluster_.jobs[index]->attempts.empty());
  EXPECT_EQ(plan(field_.cluster_, field_.now_), 2);
  for (const auto& [task, attempt] : field_.cluster_.jobs[index]->attempts) {
    EXPECT_EQ(field_.cluster_.hosts[attempt.host]->zone, 0u);
  }
  EXPECT_EQ(field_.zones_.closed_pools(field_.cluster_).size(), 2u);
}

// The next leader neither rents there nor believes it too soon, and need not wait for a lease.
TEST_F(Lost, AnotherLeaderKnowsOfIt) {
  field_.run(20);
  run_on(job("j-1", 2, jobs::Priority::normal), {12, 13});
  field_.cut(1, 150);
  field_.run(56);
  ASSERT_EQ(field_.zones_.state(1), ZoneState::lost);
  const auto record = field_.zones_.encode(field_.cluster_);
  const std::size_t before = field_.returned_.size();
  field_.change_leader();
  field_.zones_.restore(wire::Json::from_msgpack(wire::Json::to_msgpack(record)), field_.cluster_,
                        45, 56);
  field_.run(57);
  EXPECT_EQ(field_.zones_.state(1), ZoneState::lost);
  EXPECT_EQ(field_.zones_.closed_pools(field_.cluster_).size(), 2u);
  field_.run(56 + 13);
  EXPECT_EQ(field_.returned_.size(), before) << "it has not listened for long enough";
  field_.run(56 + 55);
  EXPECT_GT(field_.returned_.size(), before);
  field_.run(250);
  EXPECT_EQ(field_.zones_.state(1), ZoneState::healthy);
  for (const wire::Json& bad :
       {wire::Json(1), wire::Json::object(), wire::Json{{"zones", {{{"name", "a"}, {"state", 9}}}}},
        wire::Json{{"zones", {{{"state", 1}, {"flaps", 1}}}}}}) {
    EXPECT_THROW(field_.zones_.restore(bad, field_.cluster_, 0, 250), wire::BadMessage);
  }
  EXPECT_EQ(field_.zones_.state(1), ZoneState::healthy);
}

// Cut for 20 s again and again: held doubtful longer each time.
TEST_F(Lost, AZoneThatFlapsIsTrustedLater) {
  std::vector<double> settled;
  for (int i = 0; i < 4; ++i) {
    const double begin = 100.0 * (i + 1);
    field_.run(begin);
    EXPECT_EQ(field_.zones_.state(1), ZoneState::healthy) << i;
    field_.cut(1, begin + 20);
    field_.run(begin + 26);
    for (; field_.zones_.state(1) != ZoneState::healthy && field_.now_ < begin + 99.5;) {
      field_.run(field_.now_ + 0.5);
    }
    settled.push_back(field_.now_ - begin);
  }
  EXPECT_TRUE(field_.returned_.empty());
  EXPECT_LT(settled[0] + 5, settled[1]);
  EXPECT_LT(settled[1] + 15, settled[2]);
}

}  // namespace
}  // namespace reachramp::zones
