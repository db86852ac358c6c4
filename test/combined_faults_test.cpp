// Combinations of faults (docs/design/meetings.md). Each runs with many seeds of the simulated
// cluster, whose random faults continue meanwhile. A test also asserts that its combination
// occurred.
#include <gtest/gtest.h>

#include <functional>

#include "simulated_cluster.h"

namespace reachramp::test {
namespace {

constexpr std::uint64_t kSeedCount = 25;

std::string job_id(int number) { return std::string("j-").append(std::to_string(number)); }

// A job array whose tasks need one core each.
jobs::Spec array_job(int number, const std::string& team, std::uint32_t tasks) {
  jobs::Spec spec;
  spec.id = job_id(number);
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

// All nodes run the current version, so that the newest schema level is settled soon.
SimulationOptions current_version_options() {
  SimulationOptions options;
  options.all_upgraded_after_s = 0;
  return options;
}

// Runs `scenario` with the seeds from 1 to `seed_count`. After the faults end, all jobs must end
// and no rule may be broken. `scenario` returns whether its combination of faults occurred, which
// it must for most seeds.
void run_scenario(const SimulationOptions& options,
                  const std::function<bool(SimulatedCluster&)>& scenario,
                  std::uint64_t seed_count = kSeedCount) {
  std::uint64_t scenarios_reached = 0;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SimulatedCluster cluster(seed, options);
    scenarios_reached += scenario(cluster) ? 1 : 0;
    cluster.end_faults();
    cluster.run_for(400);
    EXPECT_EQ(cluster.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_TRUE(cluster.all_jobs_ended()) << "seed " << seed << "\n" << cluster.unfinished_jobs();
  }
  EXPECT_GT(scenarios_reached, seed_count / 2) << "the combination of faults did not occur";
}

// Every team is at its limit while jobs are cancelled whose machines are cut off or hang, and the
// leader changes.
TEST(CombinedFaults, EveryTeamAtItsLimitWhileCancelledTasksHangAndTheLeaderChanges) {
  SimulationOptions options = current_version_options();
  options.platform.teams = {{"red", 2, 6, 0, 0}, {"blue", 2, 5, 0, 0}};
  options.task_duration_s = 60;
  run_scenario(options, [](SimulatedCluster& cluster) {
    bool occurred = false;
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < 2; ++i) {
        cluster.submit(array_job(4 * round + 2 * i, "red", 6));
        cluster.submit(array_job(4 * round + 2 * i + 1, "blue", 6));
      }
      for (int i = 0;
           i < 40 && !(cluster.is_team_at_limit("red") && cluster.is_team_at_limit("blue")); ++i) {
        cluster.run_for(1);
      }
      const bool at_limit = cluster.is_team_at_limit("red") && cluster.is_team_at_limit("blue");
      cluster.cancel_running_jobs(cluster.random_between(3, 70));
      occurred = occurred || (at_limit && cluster.running_cancelled_task_count() > 0);
      cluster.run_for(cluster.random_between(0, 3));
      cluster.change_leader();
      cluster.run_for(35);
    }
    return occurred;
  });
}

// Jobs are cancelled in the seconds in which the leadership changes, and leaders change ten times
// in two minutes. The jobs have two or three tasks, which end far apart, before and after a change
// of leaders.
TEST(CombinedFaults, CancelledWhileTheLeadChangesHandsTenTimesInTwoMinutes) {
  SimulationOptions options = current_version_options();
  options.task_duration_s = 9;
  run_scenario(options, [](SimulatedCluster& cluster) {
    int cancelled = 0;
    for (int round = 0; round < 10; ++round) {
      cluster.submit(array_job(3 * round, "red", 2));
      cluster.submit(array_job(3 * round + 1, "blue", 3));
      cluster.submit(array_job(3 * round + 2, "blue", 3));
      cluster.run_for(cluster.random_between(5, 8));
      if (round % 2 == 0) cluster.change_leader();
      cluster.run_for(cluster.random_between(0, 1.5));
      cluster.cancel(job_id(3 * round + round % 3));
      if (cluster.running_cancelled_task_count() > 0) ++cancelled;
      cluster.run_for(cluster.random_between(0, 1.5));
      if (round % 2 == 1) cluster.change_leader();
      cluster.run_for(cluster.random_between(1, 4));
    }
    return cancelled >= 3;
  });
}

// New machines boot within two seconds and get tasks at once while transactions are applied late,
// and the leader changes. The machines report before the response to their scale-out request
// arrives.
TEST(CombinedFaults, MachinesUpBeforeTheirRentalIsAnsweredWhileWritesLagAndTheLeaderEnds) {
  SimulationOptions options = current_version_options();
  options.min_boot_s = 0.2;
  options.max_boot_s = 2;
  options.rental_response_delay_s = 3;
  options.unanswered_transaction_share = 0.4;
  options.task_duration_s = 6;
  run_scenario(options, [](SimulatedCluster& cluster) {
    for (int round = 0; round < 6; ++round) {
      cluster.submit(array_job(2 * round, "red", 8));
      cluster.submit(array_job(2 * round + 1, "blue", 20));
      cluster.run_for(cluster.random_between(1, 5));
      cluster.change_leader();
      cluster.run_for(cluster.random_between(4, 12));
    }
    return true;
  });
}

// Old reports reach every controller just as a new leader starts: copies of 30% of the reports wait
// for the next leader, and are sent to the former leader as well.
TEST(CombinedFaults, OldReportsReachEveryControllerAsALeaderBegins) {
  SimulationOptions options = current_version_options();
  options.replayed_report_share = 0.3;
  options.task_duration_s = 7;
  run_scenario(options, [](SimulatedCluster& cluster) {
    std::size_t copies = 0;
    for (int round = 0; round < 8; ++round) {
      cluster.submit(array_job(2 * round, "red", 5));
      cluster.submit(array_job(2 * round + 1, "blue", 12));
      cluster.run_for(cluster.random_between(4, 14));
      copies += cluster.pending_report_copy_count();
      cluster.change_leader();
      cluster.run_for(cluster.random_between(2.5, 8));
      if (round % 3 == 0) cluster.cancel(job_id(2 * round + 1));
    }
    return copies > 50;
  });
}

// Workers come back under their names within a second, having forgotten everything, also while the
// leader changes; copies of old reports and of direct commands arrive late, after tasks were
// cleared, moved or cancelled. No copy may start a task once more.
TEST(CombinedFaults, WorkersReturnUnderTheirNamesAndMeetLateCopies) {
  SimulationOptions options = current_version_options();
  options.worker_restart_probability = 0.003;
  options.replayed_report_share = 0.3;
  options.repeated_direct_command_share = 0.5;
  options.task_duration_s = 12;
  run_scenario(options, [](SimulatedCluster& cluster) {
    for (int round = 0; round < 8; ++round) {
      cluster.submit(array_job(2 * round, "red", 5));
      cluster.submit(array_job(2 * round + 1, "blue", 8));
      cluster.run_for(cluster.random_between(4, 14));
      if (round % 2 == 0) cluster.change_leader();
      cluster.cancel_running_jobs(round % 4 == 1 ? 8 : 0);
      cluster.run_for(cluster.random_between(0.5, 6));
    }
    return cluster.worker_restart_count() > 5;
  });
}

// One-task jobs arrive at four a second for two minutes and a quarter of them are cancelled, while
// the key-value store accepts 30 writes a second and leaders change.
TEST(CombinedFaults, OneTaskJobsFourASecondAQuarterCancelled) {
  SimulationOptions options = current_version_options();
  options.platform.store_limits.write_rps = options.platform.upcoming_store_limits.write_rps = 30;
  options.task_duration_s = 3;
  run_scenario(
      options,
      [](SimulatedCluster& cluster) {
        constexpr int kJobs = 480;
        for (int i = 0; i < kJobs; ++i) {
          cluster.submit(array_job(i, i % 2 == 0 ? "red" : "blue", 1));
          cluster.run_for(0.25);
          if (i % 4 == 3) cluster.cancel(job_id(i - i % 16));
          if (i % 160 == 100) cluster.change_leader();
        }
        return true;
      },
      4);
}

// There are more tasks, of high and normal priority, than the machines have room for, and messages
// are slow.
TEST(CombinedFaults, MoreWorkThanRoomUrgentAndNotOverSlowLinks) {
  SimulationOptions options = current_version_options();
  options.message_delay_factor = 10;
  options.machines_per_pool = 1;
  options.task_duration_s = 5;
  run_scenario(options, [](SimulatedCluster& cluster) {
    for (int i = 0; i < 16; ++i) {
      jobs::Spec spec = array_job(i, i % 2 == 0 ? "red" : "blue", 20);
      spec.priority = i % 3 == 0 ? jobs::Priority::high : jobs::Priority::normal;
      cluster.submit(spec);
      cluster.run_for(4);
      if (i % 5 == 4) cluster.change_leader();
      if (i % 4 == 3) cluster.cancel(job_id(i));
    }
    return !cluster.all_jobs_ended();
  });
}

}  // namespace
}  // namespace reachramp::test
