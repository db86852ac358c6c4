// Meetings of troubles (docs/design/meetings.md), each brought about in every world of the
// simulated cluster, whose other troubles go on beside it. A test also asserts that its meeting
// took place.
#include <gtest/gtest.h>

#include <functional>

#include "simulated_cluster.h"

namespace reachramp::test {
namespace {

constexpr std::uint64_t kWorlds = 25;

std::string id_of(int number) { return std::string("j-").append(std::to_string(number)); }

// An array whose tasks take one core each.
jobs::Spec array_job(int number, const std::string& team, std::uint32_t tasks) {
  jobs::Spec spec;
  spec.id = id_of(number);
  spec.job_class = team;
  spec.team = team;
  spec.tasks = tasks;
  spec.cpus = 1;
  spec.ram_gb = 1;
  spec.image = team;
  spec.image_gb = 1;
  spec.allow_spot = true;
  spec.estimated_duration_s = 20;
  return spec;
}

// Nodes of the present version, whose stored state is at its last form soon.
SimulatedWorld present_world() {
  SimulatedWorld world;
  world.upgraded_after_s = 0;
  return world;
}

// Plays the meeting in as many worlds; when the trouble is over all jobs end and no rule broke.
// `play` tells whether the meeting took place, which it must in most worlds.
void play_worlds(const SimulatedWorld& world, const std::function<bool(SimulatedCluster&)>& play,
                 std::uint64_t worlds = kWorlds) {
  std::uint64_t met = 0;
  for (std::uint64_t seed = 1; seed <= worlds; ++seed) {
    SimulatedCluster cluster(seed, world);
    met += play(cluster) ? 1 : 0;
    cluster.calm();
    cluster.run(400);
    EXPECT_EQ(cluster.broken, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_TRUE(cluster.all_over()) << "seed " << seed << "\n" << cluster.unfinished();
  }
  EXPECT_GT(met, worlds / 2) << "the meeting did not take place";
}

// "Every team is at its limit while jobs are cancelled whose machines are cut off or hang, and the
// leader changes."
TEST(Meetings, EveryTeamAtItsLimitWhileCancelledTasksHangAndTheLeaderChanges) {
  SimulatedWorld world = present_world();
  world.platform.teams = {{"red", 2, 6, 0, 0}, {"blue", 2, 5, 0, 0}};
  world.task_run_s = 60;
  play_worlds(world, [](SimulatedCluster& cluster) {
    bool met = false;
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < 2; ++i) {
        cluster.submit(array_job(4 * round + 2 * i, "red", 6));
        cluster.submit(array_job(4 * round + 2 * i + 1, "blue", 6));
      }
      for (int i = 0; i < 40 && !(cluster.is_at_limit("red") && cluster.is_at_limit("blue")); ++i) {
        cluster.run(1);
      }
      const bool at_limit = cluster.is_at_limit("red") && cluster.is_at_limit("blue");
      cluster.cancel_running(cluster.between(3, 70));
      met = met || (at_limit && cluster.cancelled_tasks() > 0);
      cluster.run(cluster.between(0, 3));
      cluster.change_leader();
      cluster.run(35);
    }
    return met;
  });
}

// "Jobs are cancelled in the seconds in which one controller's work changes hands"; "leaders change
// ten times in two minutes"; "jobs of two or three tasks end far apart across a change of leaders".
TEST(Meetings, CancelledWhileTheLeadChangesHandsTenTimesInTwoMinutes) {
  SimulatedWorld world = present_world();
  world.task_run_s = 9;
  play_worlds(world, [](SimulatedCluster& cluster) {
    int cancelled = 0;
    for (int round = 0; round < 10; ++round) {
      cluster.submit(array_job(3 * round, "red", 2));
      cluster.submit(array_job(3 * round + 1, "blue", 3));
      cluster.submit(array_job(3 * round + 2, "blue", 3));
      cluster.run(cluster.between(5, 8));
      if (round % 2 == 0) cluster.change_leader();
      cluster.run(cluster.between(0, 1.5));
      cluster.cancel(id_of(3 * round + round % 3));
      if (cluster.cancelled_tasks() > 0) ++cancelled;
      cluster.run(cluster.between(0, 1.5));
      if (round % 2 == 1) cluster.change_leader();
      cluster.run(cluster.between(1, 4));
    }
    return cancelled >= 3;
  });
}

// "New machines are up within two seconds and get work at once while writes lag, and the leader
// ends": they report before their rental is answered.
TEST(Meetings, MachinesUpBeforeTheirRentalIsAnsweredWhileWritesLagAndTheLeaderEnds) {
  SimulatedWorld world = present_world();
  world.boot_least_s = 0.2;
  world.boot_most_s = 2;
  world.rental_answer_s = 3;
  world.late_writes = 0.4;
  world.task_run_s = 6;
  play_worlds(world, [](SimulatedCluster& cluster) {
    for (int round = 0; round < 6; ++round) {
      cluster.submit(array_job(2 * round, "red", 8));
      cluster.submit(array_job(2 * round + 1, "blue", 20));
      cluster.run(cluster.between(1, 5));
      cluster.change_leader();
      cluster.run(cluster.between(4, 12));
    }
    return true;
  });
}

// "An old report reaches every controller just as a new leader begins", "a report is held back
// until a new leader has acted": a copy of every third report waits for the next leader, and
// reaches the one before as well.
TEST(Meetings, OldReportsReachEveryControllerAsALeaderBegins) {
  SimulatedWorld world = present_world();
  world.kept_reports = 0.3;
  world.task_run_s = 7;
  play_worlds(world, [](SimulatedCluster& cluster) {
    std::size_t copies = 0;
    for (int round = 0; round < 8; ++round) {
      cluster.submit(array_job(2 * round, "red", 5));
      cluster.submit(array_job(2 * round + 1, "blue", 12));
      cluster.run(cluster.between(4, 14));
      copies += cluster.kept_reports();
      cluster.change_leader();
      cluster.run(cluster.between(2.5, 8));
      if (round % 3 == 0) cluster.cancel(id_of(2 * round + 1));
    }
    return copies > 50;
  });
}

// "One-task jobs come four a second for minutes, a quarter of them cancelled", where the state
// service takes 30 changes a second, under leaders that change.
TEST(Meetings, OneTaskJobsFourASecondAQuarterCancelled) {
  SimulatedWorld world = present_world();
  world.platform.store_limits.write_rps = world.platform.upcoming_store_limits.write_rps = 30;
  world.task_run_s = 3;
  play_worlds(
      world,
      [](SimulatedCluster& cluster) {
        constexpr int kJobs = 480;
        for (int i = 0; i < kJobs; ++i) {
          cluster.submit(array_job(i, i % 2 == 0 ? "red" : "blue", 1));
          cluster.run(0.25);
          if (i % 4 == 3) cluster.cancel(id_of(i - i % 16));
          if (i % 160 == 100) cluster.change_leader();
        }
        return true;
      },
      4);
}

// "There is more work than room, urgent and not, over slow links."
TEST(Meetings, MoreWorkThanRoomUrgentAndNotOverSlowLinks) {
  SimulatedWorld world = present_world();
  world.slow_links = 10;
  world.machines_per_pool = 1;
  world.task_run_s = 5;
  play_worlds(world, [](SimulatedCluster& cluster) {
    for (int i = 0; i < 16; ++i) {
      jobs::Spec spec = array_job(i, i % 2 == 0 ? "red" : "blue", 20);
      spec.priority = i % 3 == 0 ? jobs::Priority::high : jobs::Priority::normal;
      cluster.submit(spec);
      cluster.run(4);
      if (i % 5 == 4) cluster.change_leader();
      if (i % 4 == 3) cluster.cancel(id_of(i));
    }
    return !cluster.all_over();
  });
}

}  // namespace
}  // namespace reachramp::test
