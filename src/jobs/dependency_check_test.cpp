#include "jobs/dependency_check.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace reachramp::jobs {
namespace {

constexpr double kNotBefore = 100, kRecent = 105, kOld = 95;

Lookup live(std::vector<std::string> depends_on, double current_as_of = kRecent) {
  Lookup lookup;
  lookup.state = JobState::live;
  lookup.header.spec.depends_on = std::move(depends_on);
  lookup.current_as_of = current_as_of;
  return lookup;
}
Lookup cancelled() {
  Lookup lookup = live({}, kOld);
  lookup.header.cancelled = true;
  return lookup;
}
Lookup started(std::vector<std::string> depends_on) {
  Lookup lookup = live(std::move(depends_on));
  lookup.header.running = 1;
  return lookup;
}
Lookup ended(bool as_cancelled) {
  Lookup lookup;
  lookup.state = JobState::ended;
  lookup.final_state.cancelled = as_cancelled;
  return lookup;
}

class DependencyChecks : public ::testing::Test {
 protected:
  std::map<std::string, Lookup> known_;

  DependencyCheck check(const std::vector<std::string>& depends_on) {
    const KnownJobs known_jobs = [&](const std::string& id) {
      const auto at = known_.find(id);
      return at == known_.end() ? nullptr : &at->second;
    };
    return check_dependencies(depends_on, known_jobs, kNotBefore);
  }
  DependencyVerdict verdict(const std::vector<std::string>& depends_on) {
    return check(depends_on).verdict;
  }
};

TEST_F(DependencyChecks, ACancelledJobCountsForAllThatNeedItDirectlyOrThroughOthers) {
  known_ = {{"a", cancelled()},    {"b", live({"a"})},      {"c", live({"b"})},
            {"d", ended(true)},    {"e", live({"d", "f"})}, {"f", live({})},
            {"left", live({"a"})}, {"right", live({"f"})}};
  EXPECT_EQ(verdict({"a"}), DependencyVerdict::some_cancelled);
  EXPECT_EQ(verdict({"c"}), DependencyVerdict::some_cancelled) << "a chain";
  EXPECT_EQ(verdict({"f", "d"}), DependencyVerdict::some_cancelled) << "the second of two";
  EXPECT_EQ(verdict({"e"}), DependencyVerdict::some_cancelled);
  EXPECT_EQ(verdict({"right", "left"}), DependencyVerdict::some_cancelled) << "a diamond";
  EXPECT_EQ(verdict({"right", "f"}), DependencyVerdict::none_cancelled);
}

// What comes before a job that is done or has started must be done, whatever is cached of it.
TEST_F(DependencyChecks, JobsThatAreDoneOrHaveStartedNeedNoOthers) {
  known_ = {{"done", ended(false)}, {"runs", started({"unknown"})}};
  EXPECT_EQ(verdict({"done", "runs"}), DependencyVerdict::none_cancelled);
}

TEST_F(DependencyChecks, JobsThatAreUnknownOrKnownFromLongAgoAreToBeRead) {
  known_ = {{"old", live({"unknown"}, kOld)}, {"done", ended(false)}, {"recent", live({"old"})}};
  known_["runs"] = started({});
  known_["runs"].current_as_of = kOld;
  DependencyCheck found = check({"recent", "done", "runs"});
  EXPECT_EQ(found.verdict, DependencyVerdict::undetermined);
  std::sort(found.outdated.begin(), found.outdated.end());
  EXPECT_EQ(found.outdated, (std::vector<std::string>{"old", "runs", "unknown"}));
}

// With a job that cannot be read any more its user must not be left without an answer for ever.
TEST_F(DependencyChecks, AJobWithoutAnyRecordCountsAsNotCancelled) {
  known_["gone"].state = JobState::absent;
  known_["gone"].current_as_of = kRecent;
  EXPECT_EQ(verdict({"gone"}), DependencyVerdict::none_cancelled);
}

// A check of a job that needs very many others ends all the same, and finds the nearest ones.
TEST_F(DependencyChecks, AtMostTheNearestJobsAreFollowed) {
  const auto id = [](std::size_t i) { return fmt::format("j-{}", i); };
  for (std::size_t i = 0; i < 3 * kMaxFollowedJobs; ++i) known_[id(i)] = live({id(i + 1)}, kOld);
  EXPECT_EQ(check({id(0)}).outdated.size(), kMaxFollowedJobs);
  for (auto& [name, lookup] : known_) lookup.current_as_of = kRecent;
  EXPECT_EQ(verdict({id(0)}), DependencyVerdict::none_cancelled);
  known_[id(kMaxFollowedJobs - 1)] = cancelled();
  EXPECT_EQ(verdict({id(0)}), DependencyVerdict::some_cancelled);
}

// Generated jobs, of which a node knows a part, from different times. Whatever it knows, reading
// what the check asks for leads to the true verdict, and no verdict before that is wrong.
RC_GTEST_PROP(DependencyCheck, ReadingWhatIsOutdatedLeadsToTheTruth, ()) {
  const int count = *rc::gen::inRange(1, 25);
  const auto id = [](int i) { return fmt::format("j-{}", i); };
  std::map<std::string, Lookup> stored, known;
  std::map<std::string, bool> is_dead;  // cancelled, or waits for a job that is
  for (int i = 0; i < count; ++i) {
    std::vector<std::string> depends_on;
    for (int earlier = 0; earlier < i; ++earlier) {
      if (*rc::gen::inRange(0, 4) == 0) depends_on.push_back(id(earlier));
    }
    bool needs_dead = false, needs_unfinished = false;
    for (const std::string& needed : depends_on) {
      needs_dead = needs_dead || is_dead[needed];
      needs_unfinished = needs_unfinished || stored[needed].state == JobState::live;
    }
    const int choice =
        needs_dead || needs_unfinished ? *rc::gen::inRange(0, 3) : *rc::gen::inRange(0, 6);
    stored[id(i)] = choice == 0   ? cancelled()
                    : choice == 1 ? ended(true)
                    : choice == 3 ? started(depends_on)
                    : choice == 4 ? ended(false)
                                  : live(depends_on);
    is_dead[id(i)] = choice <= 1 || (choice != 3 && choice != 4 && needs_dead);
    const int knowledge = *rc::gen::inRange(0, 4);
    if (knowledge == 0) continue;
    known[id(i)] = stored[id(i)];
    if (knowledge == 1) known[id(i)] = live(depends_on, kOld);
  }
  const KnownJobs known_jobs = [&](const std::string& job) {
    const auto at = known.find(job);
    return at == known.end() ? nullptr : &at->second;
  };
  const std::string last = id(count - 1);
  for (int step = 0; step <= count; ++step) {
    const DependencyCheck check = check_dependencies({last}, known_jobs, kNotBefore);
    if (check.verdict != DependencyVerdict::undetermined) {
      RC_ASSERT((check.verdict == DependencyVerdict::some_cancelled) == is_dead[last]);
      return;
    }
    RC_ASSERT(!check.outdated.empty());
    for (const std::string& job : check.outdated) {
      known[job] = stored[job];
      known[job].current_as_of = kRecent;
    }
  }
  RC_FAIL("no verdict after each job was read");
}

}  // namespace
}  // namespace reachramp::jobs
