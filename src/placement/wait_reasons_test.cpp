// Simulates overloaded clusters with and without the share of the machines for the longest-waiting
// jobs, and compares how long jobs wait.
#include "placement/wait_reasons.h"

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <random>

#include "cluster_fixtures.h"
#include "placement/plan.h"

namespace reachramp::placement {
namespace {

constexpr std::uint32_t kMachines = 30;  // with four cores each
constexpr double kSimulatedTime_s = 700;

struct SimulationResult {
  int submitted = 0, in_time = 0, largest = 0, largest_done = 0;
  double latest_start_s = 0;
};

// Arrays of 1 to 400 tasks of ten seconds each arrive 25% faster than the machines can run them.
// They belong to two teams and have two priorities. A job is in time if it ends within 100 s.
SimulationResult simulate(unsigned seed, double share) {
  settings::Platform platform;
  platform.teams = {{"red", 40, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  settings::ServiceLevelObjective finished;
  finished.kind = settings::ServiceLevelObjective::Kind::finished;
  finished.job_class = "c";
  finished.within_s = 100;
  platform.objectives = {finished};
  Cluster cluster(platform, 1, jobs::TaskRecordFormat::compact);
  cluster.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
  for (std::uint32_t i = 0; i < kMachines; ++i) test::add_machine(cluster, "small", "a", true);
  std::mt19937 random(seed);
  std::lognormal_distribution<double> size(3.0, 1.4);
  std::map<std::string, double> submitted, began, ended;
  std::map<std::string, std::uint32_t> tasks;
  double tasks_to_submit = 0;
  int job_count = 0;
  for (double now = 0; now < kSimulatedTime_s; now += 1) {
    for (auto& host : cluster.hosts) host->last_heartbeat_at = now;
    // Jobs stop arriving 250 s before the end, so that the last ones can still be run.
    for (tasks_to_submit += 4 * kMachines * 1.25 / 10;
         now < kSimulatedTime_s - 250 && tasks_to_submit > 0;) {
      jobs::Header header;
      header.spec.id = "j-" + std::to_string(job_count++);
      header.spec.job_class = "c";
      header.spec.team = random() % 2 == 0 ? "red" : "blue";
      header.spec.priority = random() % 4 == 0 ? jobs::Priority::high : jobs::Priority::normal;
      header.spec.tasks = static_cast<std::uint32_t>(std::clamp(size(random), 1.0, 400.0));
      header.spec.cpus = 1;
      header.spec.allow_spot = true;
      header.spec.estimated_duration_s = 10;
      cluster.add_job(header, static_cast<std::uint64_t>(job_count), now);
      submitted[header.spec.id] = now;
      tasks[header.spec.id] = header.spec.tasks;
      tasks_to_submit -= header.spec.tasks;
    }
    plan(cluster, now, {}, share);
    for (Index index = 0; index < cluster.jobs.size(); ++index) {
      if (!cluster.jobs[index]) continue;
      Job& job = *cluster.jobs[index];
      std::vector<std::uint32_t> ended_tasks;
      for (const auto& [task, attempt] : job.attempts) {
        began.try_emplace(job.spec.id, now);
        if (now - attempt.placed_at >= 9) ended_tasks.push_back(task);
      }
      for (const std::uint32_t task : ended_tasks) {
        cluster.mark_done(index, task, now);
        cluster.end_attempt(index, task, now);
      }
      if (job.is_complete()) {
        ended[job.spec.id] = now;
        cluster.remove_job(index);
      }
    }
  }
  std::vector<std::uint32_t> sizes;
  for (const auto& [id, count] : tasks) sizes.push_back(count);
  std::sort(sizes.begin(), sizes.end());
  SimulationResult result;
  for (const auto& [id, at] : submitted) {
    ++result.submitted;
    const bool done = ended.contains(id);
    result.in_time += done && ended[id] - at <= 100 ? 1 : 0;
    if (tasks[id] >= sizes[sizes.size() * 3 / 4]) {
      ++result.largest;
      result.largest_done += done ? 1 : 0;
    }
    const double begin = began.contains(id) ? began[id] : kSimulatedTime_s;
    result.latest_start_s = std::max(result.latest_start_s, begin - at);
  }
  return result;
}

TEST(WaitReasons, TheLargestJobsStartWithinFourMinutesAndHalfAreDone) {
  SimulationResult sums[2];
  for (unsigned seed = 1; seed <= 8; ++seed) {
    for (const bool with_share : {false, true}) {
      const SimulationResult one = simulate(seed, with_share ? kLongWaitingShare : 0);
      SimulationResult& sum = sums[with_share];
      sum.submitted += one.submitted;
      sum.in_time += one.in_time;
      sum.largest += one.largest;
      sum.largest_done += one.largest_done;
      sum.latest_start_s = std::max(sum.latest_start_s, one.latest_start_s);
      if (!with_share) continue;
      EXPECT_LT(one.latest_start_s, 240) << seed;
      EXPECT_GE(one.largest_done * 2, one.largest) << seed;
    }
  }
  for (const bool with_share : {false, true}) {
    const SimulationResult& sum = sums[with_share];
    std::cout << (with_share ? "with" : "without")
              << " the share for the longest-waiting jobs: " << sum.in_time << " of "
              << sum.submitted << " jobs in time, " << sum.largest_done << " of " << sum.largest
              << " largest done, first tasks within " << sum.latest_start_s << " s\n";
  }
  EXPECT_GT(sums[0].latest_start_s, 240)
      << "otherwise the simulated load is too low for a comparison";
  EXPECT_GE(sums[1].in_time, sums[0].in_time * 0.9);
}

// Each waiting job has a specific reason in the log.
TEST(WaitReasons, EachWaitingJobHasAReason) {
  settings::Platform platform;
  platform.teams = {{"red", 0, 2, 0, 0}, {"blue", 0, 0, 0, 0}};
  Cluster cluster(platform, 1, jobs::TaskRecordFormat::compact);
  cluster.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a", "b"}}});
  const auto add = [&](const std::string& team, std::uint32_t tasks) -> Index {
    jobs::Header header;
    header.spec.id = "j-" + std::to_string(cluster.jobs.size());
    header.spec.team = team;
    header.spec.tasks = tasks;
    header.spec.cpus = 1;
    header.spec.allow_spot = true;
    return cluster.add_job(header, 1, 0);
  };
  const Index limited = add("red", 5);
  const Index first = add("blue", 2);
  const Index second = add("blue", 9);
  EXPECT_EQ(wait_reason(cluster, first, 1), "no machine that it may run on is up");
  test::add_machine(cluster, "small", "a", true);
  plan(cluster, 1);
  EXPECT_EQ(wait_reason(cluster, limited, 1), "its team's limit: red");
  EXPECT_EQ(wait_reason(cluster, first, 1), "task 0 on n-0: its record is not stored yet");
  EXPECT_EQ(wait_reason(cluster, second, 1), "1 machines have room for 0 tasks");
  cluster.jobs[second]->retry_not_before = 5;
  EXPECT_EQ(wait_reason(cluster, second, 1), "tried again in 4 s: it failed on 0 machines");
  EXPECT_EQ(longest_waiting_jobs(cluster, 5, 1).size(), 2u);
}

}  // namespace
}  // namespace reachramp::placement
