#include "placement/plan.h"

#include <gtest/gtest.h>

#include "cluster_fixtures.h"
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
  jobs::Header no_spot = header(1, 1);
  no_spot.spec.allow_spot = false;
  cluster_.add_job(no_spot, 1, 0);
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

// Guards against gangs of two that take the machines of a zone, one pair after another, from a gang
// of three that is ahead of them in the service order.
TEST_F(Plan, MachinesAreReservedForAGangThatLacksMore) {
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
  // For a gang that the machines could never hold, none are reserved.
  gang.spec.id = "j-nine";
  gang.spec.tasks = 9;
  cluster_.remove_job(three);
  cluster_.add_job(gang, 1, 0);
  EXPECT_EQ(plan(cluster_, 4), 2);
  EXPECT_EQ(cluster_.jobs[two]->attempts.size(), 2u);
}

// Guards against task records above the value limit: the key-value store refuses such a record at
// each attempt to store it.
class RecordRoom : public Plan, public ::testing::WithParamInterface<jobs::TaskRecordFormat> {};
INSTANTIATE_TEST_SUITE_P(Formats, RecordRoom,
                         ::testing::Values(jobs::TaskRecordFormat::legacy,
                                           jobs::TaskRecordFormat::compact));

TEST_P(RecordRoom, PlacementsWaitUntilTheRecordHasRoom) {
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
    for (std::size_t range = 0; range < cluster.jobs[job]->task_ranges.size(); ++range) {
      const auto record = cluster.make_range_record(*cluster.jobs[job], range);
      EXPECT_LE(wire::json_size(cluster.encode_task_range(record)), 1024u);
    }
    const auto attempts = cluster.jobs[job]->attempts;
    for (const auto& [task, attempt] : attempts) {
      cluster.mark_done(job, task, now);
      cluster.end_attempt(job, task, now);
    }
    ++rounds;
  }
  EXPECT_GT(rounds, 1u) << "the records had room for all tasks at once";
}

// Guards against one-core tasks that take every core as it becomes free. Two-core tasks ahead of
// them in the service order waited for two minutes.
TEST_F(Plan, PartialRoomIsReservedForTheFirstJobInOrder) {
  machine("small", "a");
  jobs::Header ones = header(9, 1);
  ones.spec.team = "free";
  const Index array = cluster_.add_job(ones, 1, 0);
  ASSERT_EQ(plan(cluster_, 1), 4);
  jobs::Header twos = header(2, 2);
  twos.spec.team = "free";
  twos.spec.priority = jobs::Priority::high;
  const Index first = cluster_.add_job(twos, 2, 1);
  const auto finish = [&](std::uint32_t task) {
    cluster_.mark_done(array, task, 2);
    cluster_.end_attempt(array, task, 2);
  };
  finish(0);
  EXPECT_EQ(plan(cluster_, 2), 0) << "the free core is reserved";
  finish(1);
  EXPECT_EQ(plan(cluster_, 3), 1);
  EXPECT_EQ(cluster_.jobs[first]->attempts.size(), 1u);
}

// Guards against skipping machines without a free core for tasks that need no core.
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

TEST_F(Plan, JobsWithinAGuaranteeComeFirst) {
  jobs::Header production = header(1, 1);
  production.spec.priority = jobs::Priority::production;
  const Index beyond_guarantee = cluster_.add_job(production, 1, 0);
  jobs::Header within_guarantee = header(1, 4);
  within_guarantee.spec.team = "blue";
  within_guarantee.spec.priority = jobs::Priority::low;
  const Index guaranteed = cluster_.add_job(within_guarantee, 2, 0);
  EXPECT_EQ(service_order(cluster_, 0).jobs, (std::vector<Index>{guaranteed, beyond_guarantee}));
}

TEST_F(Plan, JobsThatCanBeInTimeGoFirstUntilALateJobIsVeryLate) {
  jobs::Header late = header(1, 1);
  late.spec.deadline_s = 20;
  const Index first = cluster_.add_job(late, 1, 0);
  const Index second = cluster_.add_job(late, 2, 15);
  EXPECT_EQ(service_order(cluster_, 5).jobs, (std::vector<Index>{first, second}));
  EXPECT_EQ(service_order(cluster_, 16).jobs, (std::vector<Index>{second, first}));
  EXPECT_EQ(service_order(cluster_, 40).jobs, (std::vector<Index>{first, second}));
}

// Guards against small tasks that fill the few machines for which gangs with machine-sized tasks
// wait.
TEST_F(Plan, LargeMachinesAreReservedForLargeTasks) {
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
  EXPECT_EQ(plan(cluster_, 400), 4) << "no large task has needed the type for a while";
  EXPECT_EQ(cluster_.jobs[job]->attempts.size(), 4u);
}

// Users require that an array without a running task does not wait long while a machine with a
// large task has two free cores. A machine that is mostly free stays reserved for large tasks.
TEST_F(Plan, AnIdleJobGetsOneTaskInReservedRoom) {
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
  EXPECT_EQ(at(31), 0) << "the machine is reserved for large tasks";
  EXPECT_EQ(at(33), 2) << "one task of each job";
  EXPECT_EQ(at(34), 0);
  EXPECT_EQ(cluster_.jobs[small]->attempts.size(), 1u);
  cluster_.hosts[0]->last_heartbeat_at = 80;  // the heartbeat that shows the task's end
  cluster_.end_attempt(small, 0, 80);
  EXPECT_EQ(at(109), 0) << "the job has been idle since 80 s";
  EXPECT_EQ(at(111), 1);
  EXPECT_EQ(cluster_.jobs[other]->attempts.size(), 1u);
  cluster_.end_attempt(gang, 0, 152);
  cluster_.mark_done(gang, 0, 152);
  cluster_.end_attempt(small, 0, 152);
  EXPECT_EQ(at(230), 0) << "a large task could start there";
}

// A zone with all tasks of an array is cut off. Until its machines send heartbeats again, nothing
// proves that the tasks have ended, but the array makes no progress from the end of the leases on.
TEST_F(Plan, AJobOnSilentMachinesIsIdleFromTheEndOfTheirLeases) {
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
  const double idle_from = 1 + cluster_.platform.worker_timings.lease_s;
  const auto at = [&](double now) {
    cluster_.hosts[large]->last_heartbeat_at = now;
    return plan(cluster_, now);
  };
  EXPECT_EQ(at(idle_from + 29), 0) << "the room is reserved for large tasks";
  EXPECT_EQ(at(idle_from + 31), 1);
  EXPECT_EQ(at(idle_from + 32), 0) << "one task of the job may be running now";
  EXPECT_EQ(cluster_.jobs[job]->attempts.size(), placed + 1);
}

// Guards against a machine that is backfilled, taken back for a large task that cannot use it, and
// backfilled again, every second, and is never returned. In simulated days this happened up to 605
// times to one machine.
TEST_F(Plan, AMachineIsNotBackfilledAgainBeforeItHasHadATask) {
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
  EXPECT_TRUE(cluster_.hosts[host]->backfilled)
      << "the waiting large task may not use spot machines";
  EXPECT_GT(plan(cluster_, 3), 0);
  const Index idle = machine("large", "a", true);
  ASSERT_TRUE(try_backfill(cluster_, idle));
  jobs::Header fitting = big;
  fitting.spec.id = "j-10";
  fitting.spec.zone = "a";
  cluster_.add_job(fitting, 4, 3);
  cluster_.update_large_task_reservations(3.5);
  EXPECT_FALSE(cluster_.hosts[idle]->backfilled) << "a waiting large task can use the machine";
  EXPECT_FALSE(try_backfill(cluster_, idle))
      << "a machine without a task since its backfilling is returned";
}

// Guards against returning an idle machine that is still reserved for large tasks while small tasks
// wait: three machines were returned as "not needed" while ten arrays waited (run hunt-7b89-3).
TEST_F(Plan, AnIdleReservedMachineIsBackfilledOnce) {
  const Index host = machine("large", "a", false);
  jobs::Header big = header(1, 30);
  big.spec.team = "free";
  const Index large = cluster_.add_job(big, 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 1);
  cluster_.end_attempt(large, 0, 2);
  cluster_.mark_done(large, 0, 2);
  EXPECT_FALSE(try_backfill(cluster_, host)) << "no job waits";
  jobs::Header small = header(4, 1);
  const Index job = cluster_.add_job(small, 2, 2);
  cluster_.jobs[job]->cancelled = true;
  EXPECT_FALSE(try_backfill(cluster_, host)) << "the waiting job is cancelled";
  cluster_.jobs[job]->cancelled = false;
  EXPECT_EQ(plan(cluster_, 3), 0);
  EXPECT_TRUE(try_backfill(cluster_, host));
  EXPECT_EQ(plan(cluster_, 3.5), 4);
  EXPECT_FALSE(try_backfill(cluster_, host))
      << "a second time would keep the machine from being returned";

  // A waiting large task gets the machine as soon as the small tasks have ended.
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

// Guards against arrays that take each core within their team's limit as it becomes free, while a
// gang of the team needs all its cores at once. Only half of the jobs of the gang's class were
// served (run hunt-7b89-5).
TEST_F(Plan, ArraysLeaveRoomInTheirTeamsLimitForAGang) {
  for (int i = 0; i < 4; ++i) machine("small", "a");
  const Index array = cluster_.add_job(header(40, 1), 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 6) << "the team's limit";
  jobs::Header four = header(1, 4);
  four.spec.shape = jobs::Shape::gang;
  const Index gang = cluster_.add_job(four, 2, 1);
  jobs::Header other = header(1, 3);
  other.spec.shape = jobs::Shape::gang;
  const Index second = cluster_.add_job(other, 3, 2);
  const auto end_one = [&](double now) {
    const std::uint32_t task = cluster_.jobs[array]->attempts.begin()->first;
    cluster_.end_attempt(array, task, now);
    cluster_.mark_done(array, task, now);
  };
  for (const auto& host : cluster_.hosts) host->last_heartbeat_at = 40;
  end_one(20);
  EXPECT_EQ(plan(cluster_, 20), 1) << "the gang has not waited long enough";
  for (int i = 0; i < 3; ++i) {
    end_one(40 + i);
    EXPECT_EQ(plan(cluster_, 40 + i), 0) << i;
  }
  end_one(44);
  EXPECT_EQ(plan(cluster_, 44), 1);
  EXPECT_EQ(cluster_.jobs[gang]->attempts.size(), 1u);
  // While the first gang runs, arrays cannot make room for the second one and are placed again.
  end_one(45);
  EXPECT_EQ(plan(cluster_, 45), 1);
  EXPECT_TRUE(cluster_.jobs[second]->attempts.empty());
}

// Guards against reserving a team's limit for a gang that must stay in a single zone, while no zone
// has enough machines. A simulated run never finished: the team's array had rented only three
// machines, in two zones, and neither job ever started.
TEST_F(Plan, TheLimitIsNotReservedForAGangThatNoZoneCouldHold) {
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

// Guards against checking only whether all machines together would run a team's arrays in time:
// here they would, but the team's limit makes all of the arrays late (run hunt-7b89-5).
TEST_F(Plan, ArraysThatTheTeamsLimitMakesLateGoLast) {
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

// Guards against a job that has failed once on every machine never being placed again.
TEST_F(Plan, AMachineIsAvoidedOnlyForALimitedTime) {
  const Index host = machine("small", "a");
  const Index job = cluster_.add_job(header(1, 1), 1, 0);
  cluster_.jobs[job]->failed_on[host] = 9;
  EXPECT_EQ(plan(cluster_, 8), 0);
  EXPECT_EQ(plan(cluster_, 9.5), 1);
}

TEST_F(Plan, AMachineUnderReclaimGetsNoNewTasks) {
  const Index host = machine("small", "a");
  cluster_.hosts[host]->reclaim_at = 30;
  cluster_.add_job(header(1, 1), 1, 0);
  EXPECT_EQ(plan(cluster_, 1), 0);
}

}  // namespace
}  // namespace reachramp::placement
