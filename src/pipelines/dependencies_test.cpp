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

class Needs : public ::testing::Test {
 protected:
  Index add(const std::string& id, std::vector<std::string> needs, double now = 0,
            bool cancelled = false) {
    jobs::Header header;
    header.spec.id = id;
    header.spec.team = "red";
    header.spec.job_class = "c";
    header.spec.image = "img";
    header.spec.cpus = 1;
    header.spec.estimated_duration_s = 10;
    header.spec.depends_on = std::move(needs);
    header.cancelled = cancelled;
    return add(header, now);
  }
  Index add(const jobs::Header& header, double now) {
    const Index index = cluster_.add_job(header, ++revision_, now);
    track_dependencies(cluster_, index, now);
    return index;
  }
  // As when its end is durable.
  void end(const std::string& id, DependencyState fate, double now = 1) {
    cluster_.remove_job(cluster_.job_index.at(id));
    resolve_dependents(cluster_, id, fate, now);
  }
  bool served(Index job) {
    const auto order = placement::service_order(cluster_, 1).jobs;
    return std::find(order.begin(), order.end(), job) != order.end();
  }
  placement::Job& job(Index index) { return *cluster_.jobs[index]; }

  settings::Platform platform_ = platform();
  Cluster cluster_{platform_, 1, jobs::TaskRecordFormat::compact};
  std::uint64_t revision_ = 0;
};

TEST_F(Needs, AJobIsServedOnceAllThatItNeedsHaveEndedAsDone) {
  add("j-1", {});
  const Index two = add("j-2", {"j-1", "j-9"});
  EXPECT_EQ(unresolved_dependencies(cluster_), (std::vector<std::string>{"j-9"}));
  cluster_.mark_done(0, 0, 1);
  EXPECT_FALSE(served(two)) << "all its tasks are done, but its user may still be told otherwise";
  end("j-1", DependencyState::done);
  EXPECT_FALSE(served(two)) << "nothing is known of j-9";
  resolve_dependents(cluster_, "j-9", DependencyState::done, 5);
  EXPECT_TRUE(served(two));
  EXPECT_EQ(job(two).unblocked_at, 5);
  EXPECT_TRUE(unresolved_dependencies(cluster_).empty());
}

TEST_F(Needs, AWaitingJobHoldsNothingOfItsTeamsGuarantee) {
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

TEST_F(Needs, TheOrderInWhichRecordsAreReadDoesNotMatter) {
  const Index late = add("j-1", {"j-2"});
  EXPECT_EQ(job(late).dependencies[0].state, DependencyState::unknown);
  add("j-2", {});
  EXPECT_EQ(job(late).dependencies[0].state, DependencyState::live);
  const Index doomed = add("j-3", {"j-4"});
  add("j-4", {}, 0, true);
  EXPECT_TRUE(job(doomed).cancelled);
}

TEST_F(Needs, ALeaderThatTakesOverKnowsFromTheRecordsThatAJobHasBegun) {
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

TEST_F(Needs, PriorityAndLatestStartsComeFromTheLastJob) {
  add("j-1", {});
  const Index sweep = add("j-2", {"j-1"});
  add("j-3", {"j-1"});
  propagate_priorities(cluster_);
  EXPECT_TRUE(job(0).latest_starts.empty());
  jobs::Header last;
  last.spec = job(sweep).spec;
  last.spec.id = "j-4";
  last.spec.job_class = "pushed";
  last.spec.priority = jobs::Priority::high;
  last.spec.deadline_s = 100;
  last.spec.depends_on = {"j-2", "j-3"};
  const Index push = add(last, 2);
  propagate_priorities(cluster_);
  // Ends of 10 s runs with two reports between: 92, then 80, then 68; half as long again as well.
  EXPECT_EQ(job(push).latest_starts, (std::vector<double>{92, 142}));
  EXPECT_EQ(job(sweep).latest_starts, (std::vector<double>{80, 130}));
  EXPECT_EQ(job(0).latest_starts.front(), 68);
  EXPECT_EQ(job(0).priority, jobs::Priority::high);
  cluster_.cancel_job(push, {.latest = 3});
  propagate_priorities(cluster_);
  EXPECT_EQ(job(0).priority, jobs::Priority::normal);
  EXPECT_TRUE(job(0).latest_starts.empty());
}

TEST_F(Needs, TimesOtherThanDeadlinesBeginWhenAJobIsFreed) {
  add("j-1", {});
  jobs::Header header;
  header.spec = job(0).spec;
  header.spec.id = "j-2";
  header.spec.job_class = "swept";
  header.spec.depends_on = {"j-1"};
  const Index sweep = add(header, 0);
  EXPECT_TRUE(job(sweep).latest_starts.empty());
  end("j-1", DependencyState::done, 30);
  propagate_priorities(cluster_);
  EXPECT_EQ(job(sweep).latest_starts, (std::vector<double>{70}));
}

TEST_F(Needs, WaitingJobsAreExpectedAfterTheLongestPath) {
  const Index first = add("j-1", {});
  const Index second = add("j-2", {"j-1"});
  const Index third = add("j-3", {"j-1", "j-2"});
  const Index strange = add("j-4", {"j-9"});
  estimate_unblock_times(cluster_, 5);
  EXPECT_EQ(job(second).expected_unblocked_at, 17) << "a run of 10 s and two reports";
  EXPECT_EQ(job(third).expected_unblocked_at, 29);
  EXPECT_EQ(job(strange).expected_unblocked_at, placement::kNever);
  cluster_.place(first, 0, 1, cluster_.add_host("n-1", 0), 5);
  job(first).attempts.at(0).running_since = 6;
  estimate_unblock_times(cluster_, 12);
  EXPECT_EQ(job(second).expected_unblocked_at, 18);
  estimate_unblock_times(cluster_, 40);
  EXPECT_EQ(job(second).expected_unblocked_at, 42) << "late, and due at any moment";
}

// Random pipelines whose jobs end or are cancelled in any order, against a plain model.
RC_GTEST_PROP(RandomPipelines, EndAsTheirNeedsSay,
              (const std::vector<std::set<std::uint8_t>>& shape,
               const std::vector<std::pair<std::uint8_t, bool>>& events)) {
  settings::Platform p = platform();
  Cluster cluster(p, 1, jobs::TaskRecordFormat::compact);
  const auto name = [](std::size_t i) { return "j-" + std::to_string(i); };
  enum class State { live, done, cancelled };
  std::vector<State> states;
  std::vector<std::set<std::size_t>> needs;
  const auto cancel = [&](std::size_t i, auto&& again) -> void {
    if (states[i] != State::live) return;
    states[i] = State::cancelled;
    for (std::size_t j = 0; j < states.size(); ++j) {
      if (needs[j].contains(i)) again(j, again);
    }
  };
  for (std::size_t i = 0; i < shape.size(); ++i) {
    jobs::Header header;
    header.spec.id = name(i);
    header.spec.team = i % 2 == 0 ? "red" : "blue";
    needs.emplace_back();
    for (const std::uint8_t need : shape[i]) {
      if (i > 0 && needs[i].insert(need % i).second)
        header.spec.depends_on.push_back(name(need % i));
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
      const bool may_begin = std::all_of(needs[j].begin(), needs[j].end(),
                                         [&](std::size_t n) { return states[n] == State::done; });
      RC_ASSERT(job->is_blocked() != may_begin);
    }
  }
}

}  // namespace
}  // namespace reachramp::pipelines
