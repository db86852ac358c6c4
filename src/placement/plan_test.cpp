#include "placement/plan.h"

#include <gtest/gtest.h>

#include "machines.h"
#include "placement/service_order.h"

namespace reachramp::placement {
namespace {

class Plan : public ::testing::Test {
 protected:
  Plan() : cluster_(platform_, 1, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a", "b"}},
                          {"large", 32, 0, 128, 50, 1, 3.2, 0.8, 5, {"a", "b"}}});
  }

  Index machine(const std::string& type, const std::string& zone, bool spot = true) {
    return test::add_machine(cluster_, type, zone, spot);
  }

  jobs::Header header(std::uint32_t tasks, double cpus) {
    jobs::Header made;
    made.spec.id = "j-" + std::to_string(cluster_.jobs.size());
    made.spec.team = "red";
    made.spec.tasks = tasks;
    made.spec.cpus = cpus;
    made.spec.image = "img";
    made.spec.allow_spot = true;
    made.spec.estimated_duration_s = 10;
    return made;
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.teams = {{"red", 0, 6, 0, 0}, {"blue", 4, 0, 0, 0}, {"free", 0, 0, 0, 0}};
    return p;
  }();
  Cluster cluster_;
};

TEST_F(Plan, KeepsToTheTeamsLimit) {
  machine("large", "a");
  cluster_.add_job(header(10, 1), 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 6);
}

TEST_F(Plan, SpotIsOnlyForJobsThatAllowIt) {
  machine("small", "a", true);
  jobs::Header barred = header(1, 1);
  barred.spec.allow_spot = false;
  cluster_.add_job(barred, 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 0);
  machine("small", "a", false);
  EXPECT_EQ(plan(cluster_, 1), 1);
}

TEST_F(Plan, AGangIsPlacedWholeInOneZoneOrNotAtAll) {
  machine("small", "a");
  machine("small", "b");
  jobs::Header gang = header(2, 3);
  gang.spec.shape = jobs::Shape::gang;
  gang.spec.single_zone = true;
  const Index job = cluster_.add_job(gang, 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 0);
  machine("small", "b");
  EXPECT_EQ(plan(cluster_, 1), 2);
  const auto& attempts = cluster_.jobs[job]->attempts;
  EXPECT_EQ(attempts.at(0).number, attempts.at(1).number);
}

// Gangs of two took the machines of a zone one pair after another from a gang of three that was
// first in line.
TEST_F(Plan, AGangThatLacksMachinesKeepsThemFromThoseAfterIt) {
  const Index busy = machine("small", "a");
  machine("small", "a");
  machine("small", "a");
  jobs::Header gang = header(1, 3);
  gang.spec.team = "free";
  gang.spec.shape = jobs::Shape::gang;
  gang.spec.single_zone = true;
  cluster_.add_job(gang, 1, 0);
  ASSERT_EQ(plan(cluster_, 1), 1);
  ASSERT_EQ(cluster_.jobs[0]->attempts.at(0).host, busy);
  gang.spec.id = "j-three";
  gang.spec.tasks = 3;
  const Index three = cluster_.add_job(gang, 2, 0);
  gang.spec.id = "j-two";
  gang.spec.tasks = 2;
  const Index two = cluster_.add_job(gang, 3, 0);
  EXPECT_EQ(plan(cluster_, 2), 0);
  cluster_.end_attempt(0, 0, 2);
  cluster_.mark_done(0, 0, 2);
  EXPECT_EQ(plan(cluster_, 3), 3);
  EXPECT_EQ(cluster_.jobs[three]->attempts.size(), 3u);
  // What could never hold it keeps nothing from anybody.
  gang.spec.id = "j-nine";
  gang.spec.tasks = 9;
  cluster_.remove_job(three);
  cluster_.add_job(gang, 1, 0);
  EXPECT_EQ(plan(cluster_, 4), 2);
  EXPECT_EQ(cluster_.jobs[two]->attempts.size(), 2u);
}

// A record that is longer than a value may be is refused by the key-value store again and again.
class RecordRoom : public Plan, public ::testing::WithParamInterface<jobs::TaskRecordFormat> {};
INSTANTIATE_TEST_SUITE_P(Formats, RecordRoom,
                         ::testing::Values(jobs::TaskRecordFormat::legacy,
                                           jobs::TaskRecordFormat::compact));

TEST_P(RecordRoom, PlacementsWaitUntilThereIsSome) {
  settings::Platform tight = platform_;
  tight.store_limits.value_kb = 1;
  Cluster cluster(tight, 1, GetParam());
  cluster.set_catalog({{"tiny", 1, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
  for (int i = 0; i < 100; ++i) {
    test::add_machine(cluster, "tiny", "a", true, 0,
                      std::to_string(i) + "-is-a-machine-with-a-long-name");
  }
  jobs::Header array = header(100, 1);
  array.spec.team = "free";
  const Index job = cluster.add_job(array, 1, 0);
  std::uint32_t rounds = 0;
  for (double now = 1; !cluster.jobs[job]->is_complete(); ++now) {
    ASSERT_GT(plan(cluster, now), 0);
    for (std::size_t chunk = 0; chunk < cluster.jobs[job]->task_ranges.size(); ++chunk) {
      const auto record = cluster.make_range_record(*cluster.jobs[job], chunk);
      EXPECT_LE(wire::json_size(cluster.encode_task_range(record)), 1024u);
    }
    const auto attempts = cluster.jobs[job]->attempts;
    for (const auto& [task, attempt] : attempts) {
      cluster.mark_done(job, task, now);
      cluster.end_attempt(job, task, now);
    }
    ++rounds;
  }
  EXPECT_GT(rounds, 1u) << "not all at once";
}

// Tasks of one core took every core as it came free; those of two cores before them waited for two
// minutes.
TEST_F(Plan, RoomThatIsTooSmallYetIsKeptForTheFirstInLine) {
  machine("small", "a");
  jobs::Header ones = header(9, 1);
  ones.spec.team = "free";
  const Index crowd = cluster_.add_job(ones, 1, 0);
  ASSERT_EQ(plan(cluster_, 1), 4);
  jobs::Header twos = header(2, 2);
  twos.spec.team = "free";
  twos.spec.priority = jobs::Priority::high;
  const Index first = cluster_.add_job(twos, 2, 1);
  const auto finish = [&](std::uint32_t task) {
    cluster_.mark_done(crowd, task, 2);
    cluster_.end_attempt(crowd, task, 2);
  };
  finish(0);
  EXPECT_EQ(plan(cluster_, 2), 0) << "one core is kept";
  finish(1);
  EXPECT_EQ(plan(cluster_, 3), 1);
  EXPECT_EQ(cluster_.jobs[first]->attempts.size(), 1u);
}

// Machines without a free core were passed over, also by tasks that take none.
TEST_F(Plan, ATaskWithoutCoresFitsAMachineWithoutFreeOnes) {
  machine("small", "a");
  jobs::Header cores = header(1, 4);
  cluster_.add_job(cores, 1, 0);
  ASSERT_EQ(plan(cluster_, 1), 1);
  jobs::Header none = header(1, 0);
  none.spec.ram_gb = 1;
  cluster_.add_job(none, 2, 1);
  EXPECT_EQ(plan(cluster_, 2), 1);
}

TEST_F(Plan, NoTaskGetsTheSameAttemptTwice) {
  machine("small", "a");
  const Index job = cluster_.add_job(header(2, 1), 1, 0);
  plan(cluster_, 1);
  const std::uint64_t first = cluster_.jobs[job]->attempts.at(0).number;
  EXPECT_EQ(cluster_.jobs[job]->attempts.at(1).number, first);
  cluster_.end_attempt(job, 0, 2);
  plan(cluster_, 3);
  EXPECT_GT(cluster_.jobs[job]->attempts.at(0).number, first);
}

TEST_F(Plan, SpreadPutsAtMostHalfRoundedUpInOneZone) {
  machine("large", "a");
  jobs::Header spread = header(5, 1);
  spread.spec.spread_over_zones = true;
  cluster_.add_job(spread, 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 3);
  machine("large", "b");
  EXPECT_EQ(plan(cluster_, 1), 2);
}

TEST_F(Plan, WhatATeamIsGuaranteedComesFirst) {
  jobs::Header urgent = header(1, 1);
  urgent.spec.priority = jobs::Priority::production;
  const Index borrowed = cluster_.add_job(urgent, 1, 0);
  jobs::Header owed = header(1, 4);
  owed.spec.team = "blue";
  owed.spec.priority = jobs::Priority::low;
  const Index guaranteed = cluster_.add_job(owed, 2, 0);
  EXPECT_EQ(service_order(cluster_, 0).jobs, (std::vector<Index>{guaranteed, borrowed}));
}

TEST_F(Plan, WhatCanBeInTimeGoesBeforeWhatCannotButNotForEver) {
  jobs::Header late = header(1, 1);
  late.spec.deadline_s = 20;
  const Index first = cluster_.add_job(late, 1, 0);
  const Index second = cluster_.add_job(late, 2, 15);
  EXPECT_EQ(service_order(cluster_, 5).jobs, (std::vector<Index>{first, second}));
  EXPECT_EQ(service_order(cluster_, 16).jobs, (std::vector<Index>{second, first}));
  EXPECT_EQ(service_order(cluster_, 40).jobs, (std::vector<Index>{first, second}));
}

// Small tasks once filled the few machines that whole-machine gangs wait for.
TEST_F(Plan, LargeMachinesAreKeptForLargeTasks) {
  machine("large", "a", false);
  jobs::Header big = header(1, 30);
  big.spec.team = "free";
  cluster_.add_job(big, 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 1);
  cluster_.end_attempt(0, 0, 2);
  cluster_.mark_done(0, 0, 0);
  jobs::Header small = header(4, 1);
  const Index job = cluster_.add_job(small, 2, 2);
  EXPECT_EQ(plan(cluster_, 3), 0);
  cluster_.remove_job(0);
  cluster_.hosts[0]->last_heartbeat_at = 400;
  EXPECT_EQ(plan(cluster_, 400), 4) << "none has asked for long";
  EXPECT_EQ(cluster_.jobs[job]->attempts.size(), 4u);
}

// The users' rule: an array that has lost its tasks, or has none yet, does not stand still for long
// beside two cores that a gang's machine has to spare. Idle, that machine stays kept for gangs.
TEST_F(Plan, NobodyStandsStillForLongBesideRoomThatIsKept) {
  machine("large", "a", false);
  jobs::Header big = header(1, 30);
  big.spec.team = "free";
  const Index gang = cluster_.add_job(big, 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 1);
  const Index small = cluster_.add_job(header(4, 1), 2, 2);
  const Index other = cluster_.add_job(header(4, 1), 3, 2);
  const auto at = [&](double now) {
    cluster_.hosts[0]->last_heartbeat_at = now;
    return plan(cluster_, now);
  };
  EXPECT_EQ(at(31), 0) << "it is kept for large tasks";
  EXPECT_EQ(at(33), 2) << "one task of each";
  EXPECT_EQ(at(34), 0);
  EXPECT_EQ(cluster_.jobs[small]->attempts.size(), 1u);
  cluster_.hosts[0]->last_heartbeat_at = 80;  // the report that shows its end
  cluster_.end_attempt(small, 0, 80);
  EXPECT_EQ(at(109), 0) << "it stands still since 80";
  EXPECT_EQ(at(111), 1);
  EXPECT_EQ(cluster_.jobs[other]->attempts.size(), 1u);
  cluster_.end_attempt(gang, 0, 152);
  cluster_.mark_done(gang, 0, 152);
  cluster_.end_attempt(small, 0, 152);
  EXPECT_EQ(at(230), 0) << "a large task could begin there";
}

// A zone is cut off with all tasks of an array. Nothing proves that they have ended until it is
// heard again, but their users see them stand still from the end of their leases.
TEST_F(Plan, AJobWhoseMachinesAreSilentStandsStillSinceTheEndOfTheirLeases) {
  const Index silent = machine("small", "a", true);
  const Index job = cluster_.add_job(header(30, 1), 1, 0);
  cluster_.hosts[silent]->last_heartbeat_at = 1;
  ASSERT_GT(plan(cluster_, 1), 0);
  const auto placed = cluster_.jobs[job]->attempts.size();
  const Index large = machine("large", "b", false);
  jobs::Header big = header(1, 30);
  big.spec.team = "free";
  cluster_.hosts[large]->last_heartbeat_at = 2;
  cluster_.add_job(big, 2, 2);
  ASSERT_EQ(plan(cluster_, 2), 1);
  const double still_from = 1 + cluster_.platform.worker_timings.lease_s;
  const auto at = [&](double now) {
    cluster_.hosts[large]->last_heartbeat_at = now;
    return plan(cluster_, now);
  };
  EXPECT_EQ(at(still_from + 29), 0) << "the room is kept for large tasks";
  EXPECT_EQ(at(still_from + 31), 1);
  EXPECT_EQ(at(still_from + 32), 0) << "one of its tasks may run now";
  EXPECT_EQ(cluster_.jobs[job]->attempts.size(), placed + 1);
}

// Own days: one machine was lent, taken back for a large task that could not use it, and lent
// again, every second, up to 605 times, and never went back.
TEST_F(Plan, AMachineIsNotLentAgainBeforeItHasWorked) {
  const Index host = machine("large", "a", true);
  jobs::Header big = header(1, 30);
  big.spec.team = "free";
  const Index large = cluster_.add_job(big, 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 1);
  cluster_.end_attempt(large, 0, 2);
  cluster_.mark_done(large, 0, 2);
  jobs::Header ordinary = header(1, 30);
  ordinary.spec.id = "j-8";
  ordinary.spec.team = "free";
  ordinary.spec.allow_spot = false;
  cluster_.add_job(ordinary, 2, 2);
  jobs::Header small = header(40, 1);
  small.spec.id = "j-9";
  small.spec.team = "free";
  small.spec.zone = "a";
  cluster_.add_job(small, 3, 2);
  ASSERT_TRUE(try_backfill(cluster_, host));
  cluster_.update_large_task_reservations(3);
  EXPECT_TRUE(cluster_.hosts[host]->backfilled) << "the large one that waits may not use spot";
  EXPECT_GT(plan(cluster_, 3), 0);
  const Index idle = machine("large", "a", true);
  ASSERT_TRUE(try_backfill(cluster_, idle));
  jobs::Header fitting = big;
  fitting.spec.id = "j-10";
  fitting.spec.zone = "a";
  cluster_.add_job(fitting, 4, 3);
  cluster_.update_large_task_reservations(3.5);
  EXPECT_FALSE(cluster_.hosts[idle]->backfilled) << "taken back";
  EXPECT_FALSE(try_backfill(cluster_, idle)) << "and, if it is not needed after all, given back";
}

// hunt-7b89-3: three machines that large tasks had needed before went back as "not needed" while
// ten arrays waited.
TEST_F(Plan, AMachineThatWouldGoBackIsLentOnce) {
  const Index host = machine("large", "a", false);
  jobs::Header big = header(1, 30);
  big.spec.team = "free";
  const Index large = cluster_.add_job(big, 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 1);
  cluster_.end_attempt(large, 0, 2);
  cluster_.mark_done(large, 0, 2);
  EXPECT_FALSE(try_backfill(cluster_, host)) << "nobody waits";
  jobs::Header small = header(4, 1);
  const Index job = cluster_.add_job(small, 2, 2);
  cluster_.jobs[job]->cancelled = true;
  EXPECT_FALSE(try_backfill(cluster_, host)) << "cancelled";
  cluster_.jobs[job]->cancelled = false;
  EXPECT_EQ(plan(cluster_, 3), 0);
  EXPECT_TRUE(try_backfill(cluster_, host));
  EXPECT_EQ(plan(cluster_, 3.5), 4);
  EXPECT_FALSE(try_backfill(cluster_, host)) << "once, or it would never go back";

  // A large task that waits has it back as soon as it is free.
  big.spec.id = "j-9";
  cluster_.add_job(big, 3, 4);
  jobs::Header more = header(2, 1);
  more.spec.id = "j-10";
  more.spec.team = "free";
  cluster_.add_job(more, 4, 4);
  EXPECT_EQ(plan(cluster_, 5), 0);
  for (std::uint32_t task = 0; task < 4; ++task) {
    cluster_.end_attempt(job, task, 6);
    cluster_.mark_done(job, task, 6);
  }
  EXPECT_EQ(plan(cluster_, 7), 1);
  EXPECT_EQ(cluster_.jobs[cluster_.job_index["j-9"]]->attempts.size(), 1u);
}

// hunt-7b89-5: a gang of a team asked for all its cores at once, while arrays of the team took each
// as it came free under the limit; half of the class was served.
TEST_F(Plan, ArraysGiveWayToAGangBehindTheirTeamsLimit) {
  for (int i = 0; i < 4; ++i) machine("small", "a");
  const Index crowd = cluster_.add_job(header(40, 1), 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 6) << "the limit";
  jobs::Header four = header(1, 4);
  four.spec.shape = jobs::Shape::gang;
  const Index gang = cluster_.add_job(four, 2, 1);
  jobs::Header other = header(1, 3);
  other.spec.shape = jobs::Shape::gang;
  const Index second = cluster_.add_job(other, 3, 2);
  const auto end_one = [&](double now) {
    const std::uint32_t task = cluster_.jobs[crowd]->attempts.begin()->first;
    cluster_.end_attempt(crowd, task, now);
    cluster_.mark_done(crowd, task, now);
  };
  for (const auto& host : cluster_.hosts) host->last_heartbeat_at = 40;
  end_one(20);
  EXPECT_EQ(plan(cluster_, 20), 1) << "it has not waited for long";
  for (int i = 0; i < 3; ++i) {
    end_one(40 + i);
    EXPECT_EQ(plan(cluster_, 40 + i), 0) << i;
  }
  end_one(44);
  EXPECT_EQ(plan(cluster_, 44), 1);
  EXPECT_EQ(cluster_.jobs[gang]->attempts.size(), 1u);
  // The other gang could not be let in by arrays while the first holds the limit: they go on.
  end_one(45);
  EXPECT_EQ(plan(cluster_, 45), 1);
  EXPECT_TRUE(cluster_.jobs[second]->attempts.empty());
}

// A simulated world that never finished: the limit was kept for a gang that must share a zone,
// while three machines in two zones were all that its team's array had rented. Neither ever began.
TEST_F(Plan, TheLimitIsNotKeptForAGangThatNoZoneCouldHold) {
  machine("small", "a");
  machine("small", "b");
  const Index array = cluster_.add_job(header(4, 3), 1, 0);
  jobs::Header pair = header(2, 3);
  pair.spec.shape = jobs::Shape::gang;
  pair.spec.single_zone = true;
  const Index gang = cluster_.add_job(pair, 2, 0);
  for (const auto& host : cluster_.hosts) host->last_heartbeat_at = 40;
  EXPECT_EQ(plan(cluster_, 40), 2);
  EXPECT_EQ(cluster_.jobs[array]->attempts.size(), 2u);
  EXPECT_TRUE(cluster_.jobs[gang]->attempts.empty());
}

// hunt-7b89-5: against all machines there was time for all jobs of a team, behind its limit for
// none.
TEST_F(Plan, WhatATeamsLimitCannotBringInTimeWaits) {
  platform_.teams[0].max_cpus = 4;
  settings::ServiceLevelObjective soon;
  soon.kind = settings::ServiceLevelObjective::Kind::finished;
  soon.within_s = 30;
  platform_.objectives = {soon};
  Cluster cluster(platform_, 1, jobs::TaskRecordFormat::compact);
  cluster.set_catalog(cluster_.catalog);
  for (int i = 0; i < 5; ++i) test::add_machine(cluster, "small", "a", true);
  jobs::Header big = header(12, 1);
  cluster.add_job(big, 1, 0);
  jobs::Header one = header(3, 1);
  one.spec.id = "j-8";
  cluster.add_job(one, 2, 0.5);
  one.spec.id = "j-9";
  cluster.add_job(one, 3, 0.5);
  const std::vector<Index> order = service_order(cluster, 1).jobs;
  EXPECT_EQ(order, (std::vector<Index>{1, 2, 0}));
}

// A job that had failed once on every machine was never placed again.
TEST_F(Plan, AMachineIsAvoidedForAWhileOnly) {
  const Index host = machine("small", "a");
  const Index job = cluster_.add_job(header(1, 1), 1, 0);
  cluster_.jobs[job]->failed_on[host] = 9;
  EXPECT_EQ(plan(cluster_, 8), 0);
  EXPECT_EQ(plan(cluster_, 9.5), 1);
}

TEST_F(Plan, AReclaimedMachineTakesNothingNew) {
  const Index host = machine("small", "a");
  cluster_.hosts[host]->reclaim_at = 30;
  cluster_.add_job(header(1, 1), 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 0);
}

}  // namespace
}  // namespace reachramp::placement
