#include "placement/available_hosts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "cluster_fixtures.h"
#include "placement/plan.h"

namespace reachramp::placement {
namespace {

settings::Platform platform() {
  settings::Platform p;
  p.teams = {{"red", 0, 0, 0, 0}, {"blue", 1000, 0, 0, 0}};
  return p;
}

struct TestCluster {
  TestCluster() : cluster(p, 1, jobs::TaskRecordFormat::compact) {
    cluster.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a", "b"}},
                         {"odd", 4, 1, 16, 50, 1, 0.4, 0.1, 5, {"b"}},
                         {"large", 32, 0, 128, 50, 1, 3.2, 0.8, 5, {"a", "b"}}});
  }
  Index add(std::uint32_t tasks, double cpus, double ram_gb, const std::string& team = "red") {
    jobs::Header made;
    made.spec.id = "j-" + std::to_string(cluster.jobs.size());
    made.spec.team = team;
    made.spec.tasks = tasks;
    made.spec.cpus = cpus;
    made.spec.ram_gb = ram_gb;
    made.spec.image = "img-" + std::to_string(cluster.jobs.size() % 3);
    made.spec.allow_spot = true;
    return cluster.add_job(made, cluster.jobs.size() + 1, 0);
  }
  settings::Platform p = platform();
  Cluster cluster;
};

// The expected result of candidates(), computed by checking every machine.
std::vector<Index> expected_candidates(const Cluster& cluster, const Job& job,
                                       const std::vector<bool>& excluded) {
  std::vector<std::tuple<bool, double, Index, bool, Index>> found;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const Host& host = *cluster.hosts[i];
    if (excluded[i] || !is_usable(cluster, host, 1) || !may_run_on(cluster, job, host) ||
        !host.free.holds(job.resources_per_task)) {
      continue;
    }
    found.emplace_back(!host.spot, cluster.type_of(host)->cpus, host.type,
                       !host.cached_images.contains(job.spec.image), i);
  }
  std::sort(found.begin(), found.end());
  std::vector<Index> order;
  for (const auto& entry : found) order.push_back(std::get<4>(entry));
  return order;
}

// Guards against skipping a group that has a suitable machine: after tasks were placed or ended, or
// machines were excluded, candidates() must still find what a check of every machine finds.
RC_GTEST_PROP(AvailableHosts, FindsTheSameMachinesAsACheckOfEveryMachine, ()) {
  TestCluster test_cluster;
  Cluster& cluster = test_cluster.cluster;
  const auto pick = [](int end) { return *rc::gen::inRange(0, end); };
  const std::vector<std::string> types{"small", "odd", "large"};
  for (int i = 0, size = 1 + pick(20); i < size; ++i) {
    const Index host = test::add_machine(cluster, types[pick(3)], pick(2) ? "a" : "b", pick(2));
    cluster.hosts[host]->draining = pick(6) == 0;
    cluster.hosts[host]->cached_images.insert("img-" + std::to_string(pick(3)));
  }
  for (int i = 0; i < 6; ++i) {
    const Index job = test_cluster.add(30, 1 + pick(6), pick(20));
    cluster.jobs[job]->zone = pick(3) == 0 ? cluster.zones.find("a") : kNone;
    cluster.jobs[job]->spec.allow_spot = pick(3) != 0;
  }
  AvailableHosts available(cluster, 1);
  std::vector<bool> excluded(cluster.hosts.size());
  for (int step = 0; step < 30; ++step) {
    const Index index = static_cast<Index>(pick(6));
    Job& job = *cluster.jobs[index];
    const auto found = available.candidates(job);
    RC_ASSERT(found == expected_candidates(cluster, job, excluded));
    const std::uint32_t task = cluster.next_pending_task(job, 0);
    if (!found.empty() && task < job.spec.tasks && pick(4) > 0) {
      cluster.place(index, task, 1, found[pick(static_cast<int>(found.size()))], 1);
    } else if (!job.attempts.empty() && pick(2) == 0) {
      cluster.end_attempt(index, job.attempts.begin()->first, 1);
      available.refresh_bounds();
    } else if (!found.empty()) {
      available.exclude({found.front()});
      excluded[found.front()] = true;
    }
  }
}

// Guards against checking each of many waiting jobs against each machine of a full fleet, which was
// done ten times a second.
TEST(AvailableHosts, WaitingJobsSkipMachinesThatAreFull) {
  TestCluster test_cluster;
  constexpr std::size_t kMachines = 200, kJobs = 300;
  for (std::size_t i = 0; i < kMachines; ++i) {
    test::add_machine(test_cluster.cluster, "small", i % 2 ? "a" : "b", true);
  }
  const Index first = test_cluster.add(kMachines * 4, 1, 1);
  EXPECT_EQ(plan(test_cluster.cluster, 1), static_cast<int>(kMachines * 4));
  AvailableHosts available(test_cluster.cluster, 1);
  for (std::size_t i = 0; i < kJobs; ++i) {
    const Job& job = *test_cluster.cluster.jobs[test_cluster.add(10, 1, 1)];
    EXPECT_TRUE(available.candidates(job).empty());
    EXPECT_TRUE(available.hosts_with_partial_room(job).empty());
  }
  EXPECT_EQ(available.hosts_examined(), kMachines)
      << "each machine once, when the placement pass began";
  test_cluster.cluster.end_attempt(first, 0, 1);
  available.refresh_bounds();
  EXPECT_EQ(available.candidates(*test_cluster.cluster.jobs.back()).size(), 1u);
}

}  // namespace
}  // namespace reachramp::placement
