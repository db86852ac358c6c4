#include "kv/revision_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace reachramp::kv {
namespace {

// A service whose store revision moves in steps that nobody times, and what a leader and its
// successors see.
struct History {
  double now = 1000;
  std::uint64_t store_revision = 5;
  std::vector<double> given{0, 0, 0, 0, 0, 0};  // by revision

  void change() {
    ++store_revision;
    given.push_back(now);
  }
};

// What must not be taken for younger than it is: never later than the revision was given, and
// unknown for a revision from before this process began to look, whatever an earlier leader wrote
// of it.
RC_GTEST_PROP(Timeline, TheEarliestTimeOfARevisionIsNeverLaterThanTheRevision, ()) {
  History world;
  for (int i = 0; i < 20; ++i) {
    world.now += 1;
    world.change();
  }
  RevisionClock earlier;
  earlier.observe(world.store_revision, world.now);
  const std::uint64_t written = world.store_revision;
  RevisionClock timeline;
  world.now += 30;
  world.change();
  const std::uint64_t first = world.store_revision;
  timeline.observe(first, world.now);
  timeline.restore(earlier.encode(world.now), written, world.now);
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    world.now += *rc::gen::inRange(1, 30) / 10.0;
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) world.change();
    if (*rc::gen::inRange(0, 3) > 0) timeline.observe(world.store_revision, world.now);
  }
  for (std::uint64_t revision = 1; revision <= world.store_revision; ++revision) {
    const auto earliest = timeline.earliest_time_of(revision);
    RC_ASSERT(earliest.has_value() == (revision > first));
    if (earliest) RC_ASSERT(*earliest <= world.given[revision]);
  }
}

// Through any number of leaders who saw nothing themselves, each reading what the last one wrote:
// no revision seems older than it is by more than marks lie apart, and none loses more than the
// time in which nobody led and the last few seconds before.
RC_GTEST_PROP(Timeline, AgesOutliveLeadersThatSawNothing, ()) {
  History world;
  double lost = 0;
  std::optional<std::pair<wire::Json, std::uint64_t>> record;
  const int leaders = *rc::gen::inRange(1, 6);
  for (int leader = 0; leader < leaders; ++leader) {
    RevisionClock timeline;
    timeline.observe(world.store_revision, world.now);
    if (record) timeline.restore(record->first, record->second, world.now);
    const int steps = *rc::gen::inRange(1, 200);
    double told_at = world.now;
    for (int step = 0; step < steps; ++step) {
      world.now += *rc::gen::inRange(1, 30) / 10.0;
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) world.change();
      timeline.observe(world.store_revision, world.now);
      if (world.now - told_at < 5) continue;
      told_at = world.now;
      const wire::Json told = timeline.encode(world.now);
      RC_ASSERT(wire::json_size(told) <= 2048u);
      world.change();
      record = std::pair(told, world.store_revision);
    }
    for (std::uint64_t revision = 6; revision <= world.store_revision; ++revision) {
      const double age = world.now - world.given[revision];
      const double reckoned = world.now - timeline.time_of(revision, world.now);
      RC_ASSERT(reckoned >= 0);
      // Marks lie at most an eighth of the age apart, on either side of a revision.
      RC_ASSERT(reckoned <= age * 1.3 + 4);
      if (record) RC_ASSERT(reckoned >= (age - lost) * 0.7 - 12);
    }
    const double gap = *rc::gen::inRange(0, 20);
    lost += gap + (world.now - told_at);
    world.now += gap;
  }
}

TEST(Timeline, WhoeverWasThereKnowsBetterThanTheRecord) {
  RevisionClock leader, follower;
  for (int i = 0; i < 60; ++i) {
    leader.observe(100 + i, 10 + i);
    follower.observe(100 + i, 500 + i);  // another steady clock
  }
  const wire::Json told = leader.encode(70);
  follower.observe(160, 561);
  follower.restore(told, 160, 600);  // a long time after it was written
  EXPECT_NEAR(follower.time_of(130, 600), 530, 1.5);
  EXPECT_EQ(follower.time_of(999, 600), 600) << "not given yet, as far as we know";
}

TEST(Timeline, QuietTimesDoNotStretch) {
  RevisionClock timeline;
  timeline.observe(10, 0);
  for (int i = 1; i <= 60; ++i) timeline.observe(10, i);
  timeline.observe(15, 61);
  EXPECT_GE(timeline.time_of(11, 70), 60);
  EXPECT_EQ(timeline.time_of(10, 70), 0);
}

TEST(Timeline, RecordsThatCannotBeAreRefusedWhole) {
  for (const char* bad :
       {"[]", "{}", R"({"marks":7})", R"({"marks":[7]})", R"({"marks":[[7]]})",
        R"({"marks":[[-7,1]]})", R"({"marks":[[7,"1"]]})", R"({"marks":[[7,1e300]]})",
        R"({"marks":[[99,1]]})", R"({"marks":[[7,1],[6,0]]})", R"({"marks":[[7,1],[8,5]]})",
        R"({"marks":[[7,18446744073709551615]]})"}) {
    RevisionClock timeline;
    timeline.observe(60, 100);
    EXPECT_THROW(timeline.restore(wire::Json::parse(bad), 50, 100), std::exception) << bad;
    EXPECT_EQ(timeline.time_of(7, 100), 100) << bad;
  }
}

}  // namespace
}  // namespace reachramp::kv
