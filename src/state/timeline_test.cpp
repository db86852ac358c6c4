#include "state/timeline.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace reachramp::state {
namespace {

// A service whose epoch moves in steps that nobody times, and what a leader and its successors see.
struct History {
  double now = 1000;
  std::uint64_t epoch = 5;
  std::vector<double> given{0, 0, 0, 0, 0, 0};  // by stamp

  void change() {
    ++epoch;
    given.push_back(now);
  }
};

// What must not be taken for younger than it is: never later than the stamp was given, and unknown
// for a stamp from before this process began to look, whatever an earlier leader wrote of it.
RC_GTEST_PROP(Timeline, TheEarliestTimeOfAStampIsNeverLaterThanTheStamp, ()) {
  History world;
  for (int i = 0; i < 20; ++i) {
    world.now += 1;
    world.change();
  }
  Timeline earlier;
  earlier.note(world.epoch, world.now);
  const std::uint64_t written = world.epoch;
  Timeline timeline;
  world.now += 30;
  world.change();
  const std::uint64_t first = world.epoch;
  timeline.note(first, world.now);
  timeline.inherit(earlier.encode(world.now), written, world.now);
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    world.now += *rc::gen::inRange(1, 30) / 10.0;
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) world.change();
    if (*rc::gen::inRange(0, 3) > 0) timeline.note(world.epoch, world.now);
  }
  for (std::uint64_t stamp = 1; stamp <= world.epoch; ++stamp) {
    const auto earliest = timeline.not_before(stamp);
    RC_ASSERT(earliest.has_value() == (stamp > first));
    if (earliest) RC_ASSERT(*earliest <= world.given[stamp]);
  }
}

// Through any number of leaders who saw nothing themselves, each reading what the last one wrote:
// no stamp seems older than it is by more than marks lie apart, and none loses more than the time
// in which nobody led and the last few seconds before.
RC_GTEST_PROP(Timeline, AgesOutliveLeadersThatSawNothing, ()) {
  History world;
  double lost = 0;
  std::optional<std::pair<wire::Json, std::uint64_t>> record;
  const int leaders = *rc::gen::inRange(1, 6);
  for (int leader = 0; leader < leaders; ++leader) {
    Timeline timeline;
    timeline.note(world.epoch, world.now);
    if (record) timeline.inherit(record->first, record->second, world.now);
    const int steps = *rc::gen::inRange(1, 200);
    double told_at = world.now;
    for (int step = 0; step < steps; ++step) {
      world.now += *rc::gen::inRange(1, 30) / 10.0;
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) world.change();
      timeline.note(world.epoch, world.now);
      if (world.now - told_at < 5) continue;
      told_at = world.now;
      const wire::Json told = timeline.encode(world.now);
      RC_ASSERT(wire::json_size(told) <= 2048u);
      world.change();
      record = std::pair(told, world.epoch);
    }
    for (std::uint64_t stamp = 6; stamp <= world.epoch; ++stamp) {
      const double age = world.now - world.given[stamp];
      const double reckoned = world.now - timeline.time_of(stamp, world.now);
      RC_ASSERT(reckoned >= 0);
      // Marks lie at most an eighth of the age apart, on either side of a stamp.
      RC_ASSERT(reckoned <= age * 1.3 + 4);
      if (record) RC_ASSERT(reckoned >= (age - lost) * 0.7 - 12);
    }
    const double gap = *rc::gen::inRange(0, 20);
    lost += gap + (world.now - told_at);
    world.now += gap;
  }
}

TEST(Timeline, WhoeverWasThereKnowsBetterThanTheRecord) {
  Timeline leader, follower;
  for (int i = 0; i < 60; ++i) {
    leader.note(100 + i, 10 + i);
    follower.note(100 + i, 500 + i);  // another steady clock
  }
  const wire::Json told = leader.encode(70);
  follower.note(160, 561);
  follower.inherit(told, 160, 600);  // a long time after it was written
  EXPECT_NEAR(follower.time_of(130, 600), 530, 1.5);
  EXPECT_EQ(follower.time_of(999, 600), 600) << "not given yet, as far as we know";
}

TEST(Timeline, QuietTimesDoNotStretch) {
  Timeline timeline;
  timeline.note(10, 0);
  for (int i = 1; i <= 60; ++i) timeline.note(10, i);
  timeline.note(15, 61);
  EXPECT_GE(timeline.time_of(11, 70), 60);
  EXPECT_EQ(timeline.time_of(10, 70), 0);
}

TEST(Timeline, RecordsThatCannotBeAreRefusedWhole) {
  for (const char* bad :
       {"[]", "{}", R"({"marks":7})", R"({"marks":[7]})", R"({"marks":[[7]]})",
        R"({"marks":[[-7,1]]})", R"({"marks":[[7,"1"]]})", R"({"marks":[[7,1e300]]})",
        R"({"marks":[[99,1]]})", R"({"marks":[[7,1],[6,0]]})", R"({"marks":[[7,1],[8,5]]})",
        R"({"marks":[[7,18446744073709551615]]})"}) {
    Timeline timeline;
    timeline.note(60, 100);
    EXPECT_THROW(timeline.inherit(wire::Json::parse(bad), 50, 100), std::exception) << bad;
    EXPECT_EQ(timeline.time_of(7, 100), 100) << bad;
  }
}

}  // namespace
}  // namespace reachramp::state
