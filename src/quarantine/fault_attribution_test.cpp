// Whose fault a failed task is: worlds with known culprits.
#include "quarantine/fault_attribution.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "machines.h"
#include "placement/plan.h"

namespace reachramp::quarantine {
namespace {

struct World {
  World() : cluster(platform, 1, jobs::TaskRecordFormat::compact) {
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
  // What is placed runs for a moment and ends.
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
  std::map<Index, std::set<std::pair<Index, double>>> rounds;  // what failed together is one
  int made = 0, attempts = 0;
  double now = 0;
};

// Healthy machines blamed, and what faulty ones fail until they are found, are counted: among
// ordinary jobs, one of eight broken, one that fails anywhere with a chance of 0.3, and up to seven
// faulty machines of twenty.
TEST(Blame, FindsTheFaultyAndSparesTheRest) {
  int blamed = 0, missed = 0, faulty_machines = 0, most = 0, unfinished = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    World world;
    std::mt19937 random(seed);
    for (int i = 0; i < 20; ++i) world.machine();
    const Index faulty = seed % 8;
    std::set<Index> broken;
    const Index flaky = world.job(40);
    for (int i = 0; i < 16; ++i) {
      const Index job = world.job(1 + random() % 60);
      if (i % 8 == 3) broken.insert(job);
    }
    const auto fails = [&](Index job, Index host) {
      return host < faulty || broken.contains(job) || (job == flaky && random() % 10 < 3);
    };
    for (int i = 0; i < 200; ++i) world.pass(fails);
    for (Index host = 0; host < 20; ++host) {
      const bool found = world.cluster.hosts[host]->quarantined;
      blamed += found && host >= faulty;
      missed += !found && host < faulty;
      if (host < faulty) most = std::max(most, static_cast<int>(world.rounds[host].size()));
    }
    faulty_machines += static_cast<int>(faulty);
    for (Index job = 0; job < world.cluster.jobs.size(); ++job) {
      unfinished += !broken.contains(job) && !world.cluster.jobs[job]->is_complete();
    }
  }
  std::cout << blamed << " of " << 60 * 20 - faulty_machines << " healthy machines blamed, "
            << missed << " of " << faulty_machines << " faulty ones missed, at most " << most
            << " rounds of failures on one of them\n";
  EXPECT_EQ(blamed, 0);
  EXPECT_EQ(missed, 0);
  EXPECT_LE(most, 5);
  EXPECT_EQ(unfinished, 0);
}

// A broken array of hundreds is one task at a time once it has failed on two machines, with growing
// pauses, and does not keep others from their room.
TEST(Blame, ABrokenJobIsTriedOneByOneAndHoldsUpNobody) {
  World world;
  for (int i = 0; i < 10; ++i) world.machine();
  const Index broken = world.job(300);
  const auto fails = [&](Index job, Index) { return job == broken; };
  world.pass(fails);
  EXPECT_EQ(world.attempts, 40);
  EXPECT_TRUE(world.cluster.jobs[broken]->fails_everywhere());
  const Index other = world.job(40);
  world.pass(fails);
  EXPECT_TRUE(world.cluster.jobs[other]->is_complete());
  const int before = world.attempts;
  for (int i = 0; i < 300; ++i) world.pass(fails);
  EXPECT_LE(world.attempts - before, 12);
  EXPECT_GE(world.attempts - before, 5) << "but it is tried";
  for (const auto& host : world.cluster.hosts) EXPECT_FALSE(host->quarantined);
}

// Two machines were at fault, and found by others' failures: the job was not.
TEST(Blame, WhatFailedOnFaultyMachinesIsNotSuspect) {
  World world;
  for (int i = 0; i < 2; ++i) world.machine();
  const Index first = world.job(8);
  world.pass([](Index, Index) { return true; });
  EXPECT_TRUE(world.cluster.jobs[first]->fails_everywhere());
  world.machine();
  world.now = 100;
  const Index other = world.job(12);
  for (int i = 0; i < 40; ++i) world.pass([](Index, Index host) { return host < 2; });
  EXPECT_TRUE(world.cluster.jobs[other]->is_complete());
  EXPECT_TRUE(world.cluster.hosts[0]->quarantined && world.cluster.hosts[1]->quarantined);
  EXPECT_FALSE(world.cluster.jobs[first]->fails_everywhere());
  for (int i = 0; i < 3; ++i) world.pass([](Index, Index host) { return host < 2; });
  EXPECT_TRUE(world.cluster.jobs[first]->is_complete());
}

}  // namespace
}  // namespace reachramp::quarantine
