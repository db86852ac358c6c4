#include "jobs/dependency_graph.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

namespace reachramp::jobs {
namespace {

// A job's record in the store: a header, or the final state that has replaced it.
struct StoredJob {
  Header header;
  std::uint64_t revision = 0;
  std::optional<bool> ended_as_cancelled;
};

StoredJob live(const std::string& id, std::vector<std::string> depends_on) {
  StoredJob job;
  job.header.spec.id = id;
  job.header.spec.depends_on = std::move(depends_on);
  return job;
}
StoredJob cancelled(const std::string& id) {
  StoredJob job = live(id, {});
  job.header.cancelled = true;
  return job;
}
StoredJob started(const std::string& id, std::vector<std::string> depends_on) {
  StoredJob job = live(id, std::move(depends_on));
  job.header.running = 1;
  return job;
}
StoredJob ended(const std::string& id, bool as_cancelled) {
  StoredJob job = live(id, {});
  job.ended_as_cancelled = as_cancelled;
  return job;
}

class DependencyGraphEvents : public ::testing::Test {
 protected:
  DependencyGraph graph_;

  void store(const std::vector<StoredJob>& jobs) {
    for (const StoredJob& job : jobs) {
      if (!job.ended_as_cancelled) graph_.apply_header(job.header, ++revision_);
    }
    for (const StoredJob& job : jobs) {
      if (job.ended_as_cancelled) graph_.apply_end(job.header.spec.id, *job.ended_as_cancelled);
    }
  }
  void end(const std::string& id) { graph_.apply_removal(id, ++revision_); }
  // A job that needs these, and whether it can never start.
  bool makes_impossible(const std::vector<std::string>& depends_on) {
    const std::string id = fmt::format("asked-{}", ++revision_);
    graph_.apply_header(live(id, depends_on).header, revision_);
    return graph_.is_waiting(id) && graph_.is_cancelled(id);
  }

 private:
  std::uint64_t revision_ = 0;
};

TEST_F(DependencyGraphEvents, ACancelledJobCountsForAllThatNeedItDirectlyOrThroughOthers) {
  store({live("b", {"a"}), live("c", {"b"}), live("e", {"d", "f"}), live("f", {}),
         live("left", {"a"}), live("right", {"f"}), cancelled("a"), ended("d", true)});
  EXPECT_TRUE(makes_impossible({"a"}));
  EXPECT_TRUE(makes_impossible({"c"})) << "a chain";
  EXPECT_TRUE(makes_impossible({"e"})) << "of the two that it needs one is not cancelled";
  EXPECT_TRUE(makes_impossible({"right", "left"})) << "a diamond";
  EXPECT_FALSE(makes_impossible({"right", "f"}));
  EXPECT_FALSE(graph_.is_waiting("a"));
  EXPECT_EQ(graph_.undetermined_ends(), std::set<std::string>{});
}

// What comes before a job that is done or has started must be done, whatever is known of it.
TEST_F(DependencyGraphEvents, JobsThatAreDoneOrHaveStartedNeedNoOthers) {
  store({started("runs", {"unknown"}), live("b", {"done", "runs"}), ended("done", false)});
  EXPECT_FALSE(makes_impossible({"done", "runs"}));
  EXPECT_FALSE(graph_.is_waiting("runs"));
  graph_.apply_end("done", false);
  EXPECT_EQ(graph_.undetermined_ends(), std::set<std::string>{});
  store({started("b", {"done", "runs"})});
  EXPECT_FALSE(graph_.is_waiting("b"));
}

// The removal of a header does not say whether the job was done or cancelled.
TEST_F(DependencyGraphEvents, TheEndOfAJobThatOthersNeedIsUndeterminedUntilItIsRead) {
  store({live("a", {}), live("free", {}), live("b", {"a"}), live("c", {"never-seen"})});
  end("a");
  end("free");
  EXPECT_EQ(graph_.undetermined_ends(), (std::set<std::string>{"a", "never-seen"}));
  graph_.apply_end("a", true);
  EXPECT_TRUE(graph_.is_cancelled("b"));
  graph_.apply_end("never-seen", false);
  EXPECT_FALSE(graph_.is_cancelled("c"));
  EXPECT_EQ(graph_.undetermined_ends(), std::set<std::string>{});
}

// A job that is known to be cancelled stays so when its header is removed: nothing is to be read.
TEST_F(DependencyGraphEvents, TheEndOfACancelledJobIsKnown) {
  store({live("a", {}), live("b", {"a"}), live("c", {"b"}), cancelled("a")});
  end("a");
  end("b");
  EXPECT_TRUE(graph_.is_cancelled("c"));
  EXPECT_EQ(graph_.undetermined_ends(), std::set<std::string>{});
}

// With a job that has no record its users must not be left without an answer for ever. If its
// header appears after all, it counts.
TEST_F(DependencyGraphEvents, AJobWithoutAnyRecordCountsAsNotCancelledUntilItHasOne) {
  store({live("b", {"late"}), ended("late", false)});
  EXPECT_FALSE(graph_.is_cancelled("b"));
  store({live("late", {})});
  end("late");
  EXPECT_EQ(graph_.undetermined_ends(), std::set<std::string>{"late"});
  graph_.apply_end("late", true);
  EXPECT_TRUE(graph_.is_cancelled("b"));
}

// A page that was read before a change may be applied after it.
TEST_F(DependencyGraphEvents, OlderHeadersChangeNothing) {
  graph_.apply_header(cancelled("a").header, 5);
  graph_.apply_header(live("a", {}).header, 4);
  graph_.apply_header(live("b", {"a"}).header, 6);
  graph_.apply_removal("b", 3);
  EXPECT_TRUE(graph_.is_cancelled("a"));
  EXPECT_TRUE(graph_.is_waiting("b") && graph_.is_cancelled("b"));
}

// Replaces the bound on how many jobs were followed: however long a pipeline is, a cancellation
// reaches all of it, and nothing is left of jobs that have ended.
TEST_F(DependencyGraphEvents, ACancellationReachesTheWholePipelineHoweverLongItIs) {
  constexpr int kJobs = 5000;
  const auto id = [](int i) { return fmt::format("j-{:06}", i); };
  for (int i = 0; i < kJobs; ++i) {
    store({live(id(i), i == 0 ? std::vector<std::string>{} : std::vector{id(i - 1)})});
  }
  EXPECT_FALSE(graph_.is_cancelled(id(kJobs - 1)));
  store({cancelled(id(0))});
  for (int i = 1; i < kJobs; ++i)
    ASSERT_TRUE(graph_.is_waiting(id(i)) && graph_.is_cancelled(id(i)));
  EXPECT_EQ(graph_.size(), static_cast<std::size_t>(kJobs));
  for (int i = 0; i < kJobs; ++i) end(id(i));
  EXPECT_EQ(graph_.size(), 0u);
}

// Jobs that were generated with all that may happen to them. Headers and removals arrive in the
// order of their revisions, some of them a second time and late. Whenever no end is undetermined,
// each waiting job is impossible if and only if a job that it needs is cancelled.
RC_GTEST_PROP(DependencyGraph, AgreesWithTheStoredRecords, ()) {
  const int count = *rc::gen::inRange(1, 20);
  const auto id = [](int i) { return fmt::format("j-{}", i); };
  std::map<std::string, StoredJob> stored;
  DependencyGraph graph;
  std::vector<std::pair<Header, std::uint64_t>> past_headers;
  std::uint64_t revision = 0;
  const auto apply = [&](StoredJob& job) {
    job.revision = ++revision;
    if (job.ended_as_cancelled) {
      graph.apply_removal(job.header.spec.id, revision);
    } else {
      graph.apply_header(job.header, revision);
      past_headers.emplace_back(job.header, revision);
    }
  };
  // In the store's own words: nothing is cached, everything is followed.
  const std::function<bool(const std::string&)> is_dead = [&](const std::string& job) {
    const StoredJob& found = stored.at(job);
    if (found.ended_as_cancelled) return *found.ended_as_cancelled;
    if (found.header.cancelled) return true;
    if (!is_waiting(found.header)) return false;
    const auto& needed = found.header.spec.depends_on;
    return std::any_of(needed.begin(), needed.end(), is_dead);
  };
  const auto all_done = [&](const StoredJob& job) {
    const auto& needed = job.header.spec.depends_on;
    return std::all_of(needed.begin(), needed.end(), [&](const std::string& other) {
      return stored.at(other).ended_as_cancelled == false;
    });
  };
  for (int step = 0; step < 3 * count; ++step) {
    if (static_cast<int>(stored.size()) < count && *rc::gen::inRange(0, 2) == 0) {
      const std::string name = id(static_cast<int>(stored.size()));
      std::vector<std::string> depends_on;
      for (const auto& [other, job] : stored) {
        if (*rc::gen::inRange(0, 4) == 0) depends_on.push_back(other);
      }
      stored[name] = live(name, depends_on);
      apply(stored[name]);
    } else if (!stored.empty()) {
      StoredJob& job = stored[id(*rc::gen::inRange(0, static_cast<int>(stored.size())))];
      if (job.ended_as_cancelled) continue;
      const int event = *rc::gen::inRange(0, 3);
      if (event == 0) job.header.cancelled = true;
      if (event == 1 && all_done(job) && !job.header.cancelled) job.header.running = 1;
      if (event == 2 && (all_done(job) || is_dead(job.header.spec.id))) {
        job.ended_as_cancelled = is_dead(job.header.spec.id);
      }
      apply(job);
    }
    if (past_headers.empty()) continue;
    const auto& [old_header, old_revision] =
        past_headers[*rc::gen::inRange<std::size_t>(0, past_headers.size())];
    if (!stored.at(old_header.spec.id).ended_as_cancelled) {
      graph.apply_header(old_header, old_revision);
    }
    if (*rc::gen::inRange(0, 3) == 0) continue;  // the ends are read later
    const std::set<std::string> undetermined = graph.undetermined_ends();
    for (const std::string& job : undetermined) {
      RC_ASSERT(stored.at(job).ended_as_cancelled.has_value());
      graph.apply_end(job, *stored.at(job).ended_as_cancelled);
    }
    for (const auto& [name, job] : stored) {
      const bool waits = !job.ended_as_cancelled && is_waiting(job.header);
      RC_ASSERT(graph.is_waiting(name) == waits);
      if (waits) RC_ASSERT(graph.is_cancelled(name) == is_dead(name));
    }
  }
}

}  // namespace
}  // namespace reachramp::jobs
