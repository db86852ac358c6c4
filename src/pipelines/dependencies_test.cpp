#include "pipelines/dependencies.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "placement/service_order.h"

namespace reachramp::pipelines {
namespace {

settings::Platform platform() {
  settings::Platform p;
  p.teams = {{"red", 4, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  p.worker_timings = {1, 10, 15, 4, 30};
  p.objectives = {{settings::ServiceLevelObjective::Kind::wait, "swept", 40, 1},
                  {settings::ServiceLevelObjective::Kind::deadline, "pushed", 0, 1.5}};
  return p;
}

class Dependencies : public ::testing::Test {
 protected:
  Index add(const std::string& id, std::vector<std::string> depends_on, double now = 0,
            bool cancelled = false) {
    jobs::Header header;
    header.spec.id = id;
    header.spec.team = "red";
    header.spec.job_class = "c";
    header.spec.image = "img";
    header.spec.cpus = 1;
    header.spec.estimated_duration_s = 10;
    header.spec.depends_on = std::move(depends_on);
    header.cancelled = cancelled;
    return add(header, now);
  }
  Index add(const jobs::Header& header, double now) {
    const Index index = cluster_.add_job(header, ++revision_, now);
    track_dependencies(cluster_, index, now);
    return index;
  }
  // Removes the job as the leader does once its final state is stored.
  void end(const std::string& id, DependencyState state, double now = 1) {
    cluster_.remove_job(cluster_.job_index.at(id));
    resolve_dependents(cluster_, id, state, now);
  }
  bool is_eligible(Index job) {
    const auto order = placement::service_order(cluster_, 1).jobs;
    return std::find(order.begin(), order.end(), job) != order.end();
  }
  placement::Job& job(Index index) { return *cluster_.jobs[index]; }

  settings::Platform platform_ = platform();
  Cluster cluster_{platform_, 1, jobs::TaskRecordFormat::compact};
  std::uint64_t revision_ = 0;
};

TEST_F(Dependencies, AJobIsEligibleOnceAllItsDependenciesAreDone) {
  add("j-1", {});
  const Index two = add("j-2", {"j-1", "j-9"});
  EXPECT_EQ(unresolved_dependencies(cluster_), (std::vector<std::string>{"j-9"}));
  cluster_.mark_done(0, 0, 1);
  EXPECT_FALSE(is_eligible(two)) << "all its tasks are done, but its final state is not stored yet";
  end("j-1", DependencyState::done);
  EXPECT_FALSE(is_eligible(two)) << "the state of j-9 is not known";
  resolve_dependents(cluster_, "j-9", DependencyState::done, 5);
  EXPECT_TRUE(is_eligible(two));
  EXPECT_EQ(job(two).unblocked_at, 5);
  EXPECT_TRUE(unresolved_dependencies(cluster_).empty());
}

TEST_F(Dependencies, ABlockedJobUsesNoneOfItsTeamsGuarantee) {
  add("j-1", {});
  jobs::Header large;
  large.spec = job(0).spec;
  large.spec.id = "j-2";
  large.spec.tasks = 4;
  large.spec.depends_on = {"j-1"};
  add(large, 0);
  const Index last = add("j-3", {});
  EXPECT_TRUE(placement::service_order(cluster_, 1).guaranteed[last]);
  end("j-1", DependencyState::done);
  EXPECT_FALSE(placement::service_order(cluster_, 1).guaranteed[last]);
}

TEST_F(Dependencies, TheOrderInWhichRecordsAreReadDoesNotMatter) {
  const Index late = add("j-1", {"j-2"});
  EXPECT_EQ(job(late).dependencies[0].state, DependencyState::unknown);
  add("j-2", {});
  EXPECT_EQ(job(late).dependencies[0].state, DependencyState::live);
  const Index dependent = add("j-3", {"j-4"});
  add("j-4", {}, 0, true);
  EXPECT_TRUE(job(dependent).cancelled);
}

TEST_F(Dependencies, ANewLeaderKnowsFromTheRecordsThatAJobHasStarted) {
  jobs::Header header;
  header.spec.id = "j-2";
  header.spec.team = "red";
  header.spec.depends_on = {"j-1"};
  const Index index = cluster_.add_job(header, 5, 0);
  placement::StoredRecord stored;
  stored.store_key = jobs::compact_task_range_key("j-2", 0, 1);
  stored.parsed_key = *jobs::parse_task_range_key(stored.store_key);
  stored.record.last_attempt = 1;
  cluster_.restore(index, {stored}, 0);
  track_dependencies(cluster_, index, 0);
  EXPECT_FALSE(job(index).is_blocked());
}

TEST_F(Dependencies, PriorityAndLatestStartsComeFromDependents) {
  add("j-1", {});
  const Index middle = add("j-2", {"j-1"});
  add("j-3", {"j-1"});
  propagate_priorities(cluster_);
  EXPECT_TRUE(job(0).latest_starts.empty());
  jobs::Header last;
  last.spec = job(middle).spec;
  last.spec.id = "j-4";
  last.spec.job_class = "pushed";
  last.spec.priority = jobs::Priority::high;
  last.spec.deadline_s = 100;
  last.spec.depends_on = {"j-2", "j-3"};
  const Index last_job = add(last, 2);
  propagate_priorities(cluster_);
  // Each job runs for 10 s, and two heartbeats lie between two jobs: the latest starts are 92 s, 80
  // s and 68 s. The class's objective adds a deadline that is half as long again.
  EXPECT_EQ(job(last_job).latest_starts, (std::vector<double>{92, 142}));
  EXPECT_EQ(job(middle).latest_starts, (std::vector<double>{80, 130}));
  EXPECT_EQ(job(0).latest_starts.front(), 68);
  EXPECT_EQ(job(0).priority, jobs::Priority::high);
  cluster_.cancel_job(last_job, {.latest = 3});
  propagate_priorities(cluster_);
  EXPECT_EQ(job(0).priority, jobs::Priority::normal);
  EXPECT_TRUE(job(0).latest_starts.empty());
}

TEST_F(Dependencies, ObjectivesOtherThanDeadlinesCountFromWhenAJobIsUnblocked) {
  add("j-1", {});
  jobs::Header header;
  header.spec = job(0).spec;
  header.spec.id = "j-2";
  header.spec.job_class = "swept";
  header.spec.depends_on = {"j-1"};
  const Index middle = add(header, 0);
  EXPECT_TRUE(job(middle).latest_starts.empty());
  end("j-1", DependencyState::done, 30);
  propagate_priorities(cluster_);
  EXPECT_EQ(job(middle).latest_starts, (std::vector<double>{70}));
}

TEST_F(Dependencies, BlockedJobsAreExpectedAfterTheLongestPath) {
  const Index first = add("j-1", {});
  const Index second = add("j-2", {"j-1"});
  const Index third = add("j-3", {"j-1", "j-2"});
  const Index unresolved = add("j-4", {"j-9"});
  estimate_unblock_times(cluster_, 5);
  EXPECT_EQ(job(second).expected_unblocked_at, 17) << "a run of 10 s and two heartbeats";
  EXPECT_EQ(job(third).expected_unblocked_at, 29);
  EXPECT_EQ(job(unresolved).expected_unblocked_at, placement::kNever);
  cluster_.place(first, 0, 1, cluster_.add_host("n-1", 0), 5);
  job(first).attempts.at(0).running_since = 6;
  estimate_unblock_times(cluster_, 12);
  EXPECT_EQ(job(second).expected_unblocked_at, 18);
  estimate_unblock_times(cluster_, 40);
  EXPECT_EQ(job(second).expected_unblocked_at, 42)
      << "later than estimated, so expected to end at once";
}

// Compares random pipelines, whose jobs end or are cancelled in any order, with a simple model.
RC_GTEST_PROP(RandomPipelines, EndAsInTheModel,
              (const std::vector<std::set<std::uint8_t>>& shape,
               const std::vector<std::pair<std::uint8_t, bool>>& events)) {
  settings::Platform p = platform();
  Cluster cluster(p, 1, jobs::TaskRecordFormat::compact);
  const auto name = [](std::size_t i) { return "j-" + std::to_string(i); };
  enum class State { live, done, cancelled };
  std::vector<State> states;
  std::vector<std::set<std::size_t>> depends_on;
  const auto cancel = [&](std::size_t i, auto&& cancel_dependent) -> void {
    if (states[i] != State::live) return;
    states[i] = State::cancelled;
    for (std::size_t j = 0; j < states.size(); ++j) {
      if (depends_on[j].contains(i)) cancel_dependent(j, cancel_dependent);
    }
  };
  for (std::size_t i = 0; i < shape.size(); ++i) {
    jobs::Header header;
    header.spec.id = name(i);
    header.spec.team = i % 2 == 0 ? "red" : "blue";
    depends_on.emplace_back();
    for (const std::uint8_t dependency : shape[i]) {
      if (i > 0 && depends_on[i].insert(dependency % i).second)
        header.spec.depends_on.push_back(name(dependency % i));
    }
    states.push_back(State::live);
    track_dependencies(cluster, cluster.add_job(header, i + 1, 0), 0);
  }
  for (const auto& [number, cancels] : events) {
    if (shape.empty()) break;
    const std::size_t i = number % shape.size();
    const auto at = cluster.job_index.find(name(i));
    if (at == cluster.job_index.end()) continue;
    const Index index = at->second;
    if (cluster.jobs[index]->cancelled) {
      cluster.remove_job(index);
      resolve_dependents(cluster, name(i), DependencyState::cancelled, 1);
    } else if (cancels) {
      cluster.cancel_job(index, {.latest = 1});
      resolve_dependents(cluster, name(i), DependencyState::cancelled, 1);
      cancel(i, cancel);
    } else if (!cluster.jobs[index]->is_blocked()) {
      cluster.remove_job(index);
      resolve_dependents(cluster, name(i), DependencyState::done, 1);
      states[i] = State::done;
    }
    propagate_priorities(cluster);
    for (std::size_t j = 0; j < shape.size(); ++j) {
      const placement::Job* job = cluster.find_job(name(j));
      if (job == nullptr) {
        RC_ASSERT(states[j] != State::live);
        continue;
      }
      RC_ASSERT(job->cancelled == (states[j] == State::cancelled));
      const bool may_begin = std::all_of(depends_on[j].begin(), depends_on[j].end(),
                                         [&](std::size_t n) { return states[n] == State::done; });
      RC_ASSERT(job->is_blocked() != may_begin);
    }
  }
}

}  // namespace
}  // namespace reachramp::pipelines
