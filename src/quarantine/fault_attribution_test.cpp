// Checks the attribution of failures in simulated clusters in which the faulty machines and jobs
// are known.
#include "quarantine/fault_attribution.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "cluster_fixtures.h"
#include "placement/plan.h"

namespace reachramp::quarantine {
namespace {

struct FailureSimulation {
  FailureSimulation() : cluster(platform, 1, jobs::TaskRecordFormat::compact) {
    cluster.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
  }
  Index machine() { return test::add_machine(cluster, "small", "a", true); }
  Index job(std::uint32_t tasks) {
    jobs::Header header;
    header.spec.id = "j-" + std::to_string(made++);
    header.spec.team = "red";
    header.spec.tasks = tasks;
    header.spec.cpus = 1;
    header.spec.allow_spot = true;
    return cluster.add_job(header, 1 + made, now);
  }
  // Ends all placed tasks, as a failure or a success.
  void end_all(const std::function<bool(Index, Index)>& fails) {
    for (Index job = 0; job < cluster.jobs.size(); ++job) {
      if (!cluster.jobs[job]) continue;
      std::vector<std::pair<std::uint32_t, Index>> running;
      for (const auto& [task, attempt] : cluster.jobs[job]->attempts) {
        running.emplace_back(task, attempt.host);
      }
      for (const auto& [task, host] : running) {
        ++attempts;
        if (fails(job, host)) {
          rounds[host].insert({job, now});
          note_failure(cluster, job, host, now);
        } else {
          cluster.mark_done(job, task, now);
          note_success(cluster, job, host);
        }
        cluster.end_attempt(job, task, now);
      }
    }
  }
  void pass(const std::function<bool(Index, Index)>& fails) {
    now += 1;
    for (auto& host : cluster.hosts) host->last_heartbeat_at = now;
    placement::plan(cluster, now);
    end_all(fails);
  }

  settings::Platform platform = [] {
    settings::Platform p;
    p.teams = {{"red", 0, 0, 0, 0}};
    return p;
  }();
  placement::Cluster cluster;
  // Failures of a job at the same time count as one round; by machine.
  std::map<Index, std::set<std::pair<Index, double>>> rounds;
  int made = 0, attempts = 0;
  double now = 0;
};

// Counts the healthy machines that are quarantined by mistake, the faulty ones that are missed, and
// the rounds of failures until a faulty machine is found. One job in eight always fails, another
// job fails anywhere with probability 0.3, and up to seven of twenty machines are faulty.
TEST(FaultAttribution, FindsFaultyMachinesOnly) {
  int false_positives = 0, missed = 0, faulty_machines = 0, max_rounds = 0, unfinished = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    FailureSimulation simulated;
    std::mt19937 random(seed);
    for (int i = 0; i < 20; ++i) simulated.machine();
    const Index faulty = seed % 8;
    std::set<Index> failing_jobs;
    const Index flaky = simulated.job(40);
    for (int i = 0; i < 16; ++i) {
      const Index job = simulated.job(1 + random() % 60);
      if (i % 8 == 3) failing_jobs.insert(job);
    }
    const auto fails = [&](Index job, Index host) {
      return host < faulty || failing_jobs.contains(job) || (job == flaky && random() % 10 < 3);
    };
    for (int i = 0; i < 200; ++i) simulated.pass(fails);
    for (Index host = 0; host < 20; ++host) {
      const bool found = simulated.cluster.hosts[host]->quarantined;
      false_positives += found && host >= faulty;
      missed += !found && host < faulty;
      if (host < faulty)
        max_rounds = std::max(max_rounds, static_cast<int>(simulated.rounds[host].size()));
    }
    faulty_machines += static_cast<int>(faulty);
    for (Index job = 0; job < simulated.cluster.jobs.size(); ++job) {
      unfinished += !failing_jobs.contains(job) && !simulated.cluster.jobs[job]->is_complete();
    }
  }
  std::cout << false_positives << " of " << 60 * 20 - faulty_machines
            << " healthy machines blamed, " << missed << " of " << faulty_machines
            << " faulty ones missed, at most " << max_rounds
            << " rounds of failures on one of them\n";
  EXPECT_EQ(false_positives, 0);
  EXPECT_EQ(missed, 0);
  EXPECT_LE(max_rounds, 5);
  EXPECT_EQ(unfinished, 0);
}

// An array that always fails is retried one task at a time, with growing pauses, once it has failed
// on two machines. Otherwise its hundreds of tasks would take the room of other jobs each time.
TEST(FaultAttribution, AFailingJobIsRetriedOneTaskAtATimeAndDelaysNoOther) {
  FailureSimulation simulated;
  for (int i = 0; i < 10; ++i) simulated.machine();
  const Index failing_job = simulated.job(300);
  const auto fails = [&](Index job, Index) { return job == failing_job; };
  simulated.pass(fails);
  EXPECT_EQ(simulated.attempts, 40);
  EXPECT_TRUE(simulated.cluster.jobs[failing_job]->fails_everywhere());
  const Index other = simulated.job(40);
  simulated.pass(fails);
  EXPECT_TRUE(simulated.cluster.jobs[other]->is_complete());
  const int before = simulated.attempts;
  for (int i = 0; i < 300; ++i) simulated.pass(fails);
  EXPECT_LE(simulated.attempts - before, 12);
  EXPECT_GE(simulated.attempts - before, 5) << "the failing job is still retried";
  for (const auto& host : simulated.cluster.hosts) EXPECT_FALSE(host->quarantined);
}

// A job failed on two machines that later turn out to be faulty by the failures of other jobs.
// Those failures must not count against the first job.
TEST(FaultAttribution, FailuresOnFaultyMachinesDoNotCountAgainstTheJob) {
  FailureSimulation simulated;
  for (int i = 0; i < 2; ++i) simulated.machine();
  const Index first = simulated.job(8);
  simulated.pass([](Index, Index) { return true; });
  EXPECT_TRUE(simulated.cluster.jobs[first]->fails_everywhere());
  simulated.machine();
  simulated.now = 100;
  const Index other = simulated.job(12);
  for (int i = 0; i < 40; ++i) simulated.pass([](Index, Index host) { return host < 2; });
  EXPECT_TRUE(simulated.cluster.jobs[other]->is_complete());
  EXPECT_TRUE(simulated.cluster.hosts[0]->quarantined && simulated.cluster.hosts[1]->quarantined);
  EXPECT_FALSE(simulated.cluster.jobs[first]->fails_everywhere());
  for (int i = 0; i < 3; ++i) simulated.pass([](Index, Index host) { return host < 2; });
  EXPECT_TRUE(simulated.cluster.jobs[first]->is_complete());
}

}  // namespace
}  // namespace reachramp::quarantine
