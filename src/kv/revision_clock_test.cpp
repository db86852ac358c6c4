// Compares the estimated ages of records with the true history of an emulated store.
#include "kv/revision_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace reachramp::kv {
namespace {

// A store whose revision changes at times that no node observes exactly. Records when each revision
// was assigned.
struct StoreHistory {
  double now = 1000;
  std::uint64_t store_revision = 5;
  std::vector<double> assigned_at{0, 0, 0, 0, 0, 0};  // steady seconds, by revision

  void commit() {
    ++store_revision;
    assigned_at.push_back(now);
  }
};

// A record `timeline` as a leader wrote it, and the revision of that write.
struct StoredRecord {
  wire::Json value;
  std::uint64_t revision = 0;
};

// Guards against an age that is underestimated: the bound is never later than the time at which the
// revision was assigned, and there is none for a revision from before this process's first sample,
// whatever an earlier leader wrote about it.
RC_GTEST_PROP(RevisionClock, EarliestTimeIsNeverLaterThanTheRevisionWasAssigned, ()) {
  StoreHistory store;
  for (int i = 0; i < 20; ++i) {
    store.now += 1;
    store.commit();
  }
  RevisionClock earlier_leader;
  earlier_leader.observe(store.store_revision, store.now);
  const std::uint64_t recorded_revision = store.store_revision;
  RevisionClock clock;
  store.now += 30;
  store.commit();
  const std::uint64_t first_observed = store.store_revision;
  clock.observe(first_observed, store.now);
  clock.restore(earlier_leader.encode(store.now), recorded_revision, store.now);
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    store.now += *rc::gen::inRange(1, 30) / 10.0;
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) store.commit();
    if (*rc::gen::inRange(0, 3) > 0) clock.observe(store.store_revision, store.now);
  }
  for (std::uint64_t revision = 1; revision <= store.store_revision; ++revision) {
    const auto earliest = clock.earliest_time_of(revision);
    RC_ASSERT(earliest.has_value() == (revision > first_observed));
    if (earliest) RC_ASSERT(*earliest <= store.assigned_at[revision]);
  }
}

// Guards against ages that are lost in failovers. Several leaders follow one another; each of them
// observed nothing before it led, and restores what the last one wrote. No revision seems older
// than it is by more than the spacing of samples, and none seems younger by more than the time
// without a leader and the few seconds between the last record and the leader's end.
RC_GTEST_PROP(RevisionClock, AgesSurviveFailoversToNodesWithoutSamples, ()) {
  StoreHistory store;
  double lost = 0;
  std::optional<StoredRecord> record;
  const int leaders = *rc::gen::inRange(1, 6);
  for (int leader = 0; leader < leaders; ++leader) {
    RevisionClock clock;
    clock.observe(store.store_revision, store.now);
    if (record) clock.restore(record->value, record->revision, store.now);
    const int steps = *rc::gen::inRange(1, 200);
    double recorded_at = store.now;
    for (int step = 0; step < steps; ++step) {
      store.now += *rc::gen::inRange(1, 30) / 10.0;
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) store.commit();
      clock.observe(store.store_revision, store.now);
      if (store.now - recorded_at < 5) continue;
      recorded_at = store.now;
      const wire::Json encoded = clock.encode(store.now);
      RC_ASSERT(wire::json_size(encoded) <= 2048u);
      store.commit();
      record = StoredRecord{encoded, store.store_revision};
    }
    for (std::uint64_t revision = 6; revision <= store.store_revision; ++revision) {
      const double age = store.now - store.assigned_at[revision];
      const double estimated = store.now - clock.time_of(revision, store.now);
      RC_ASSERT(estimated >= 0);
      // Samples lie at most an eighth of the age apart, on either side of a revision.
      RC_ASSERT(estimated <= age * 1.3 + 4);
      if (record) RC_ASSERT(estimated >= (age - lost) * 0.7 - 12);
    }
    const double gap = *rc::gen::inRange(0, 20);
    lost += gap + (store.now - recorded_at);
    store.now += gap;
  }
}

TEST(RevisionClock, OwnSamplesTakePrecedenceOverRestoredRecord) {
  RevisionClock leader, follower;
  for (int i = 0; i < 60; ++i) {
    leader.observe(100 + i, 10 + i);
    follower.observe(100 + i, 500 + i);  // by another steady clock
  }
  const wire::Json encoded = leader.encode(70);
  follower.observe(160, 561);
  follower.restore(encoded, 160, 600);  // a long time after it was written
  EXPECT_NEAR(follower.time_of(130, 600), 530, 1.5);
  EXPECT_EQ(follower.time_of(999, 600), 600) << "not assigned yet, as far as the samples tell";
}

TEST(RevisionClock, RevisionAfterQuietPeriodIsNotDatedIntoIt) {
  RevisionClock clock;
  clock.observe(10, 0);
  for (int i = 1; i <= 60; ++i) clock.observe(10, i);
  clock.observe(15, 61);
  EXPECT_GE(clock.time_of(11, 70), 60);
  EXPECT_EQ(clock.time_of(10, 70), 0);
}

TEST(RevisionClock, InvalidRecordIsRejectedAsAWhole) {
  for (const char* invalid :
       {"[]", "{}", R"({"marks":7})", R"({"marks":[7]})", R"({"marks":[[7]]})",
        R"({"marks":[[-7,1]]})", R"({"marks":[[7,"1"]]})", R"({"marks":[[7,1e300]]})",
        R"({"marks":[[99,1]]})", R"({"marks":[[7,1],[6,0]]})", R"({"marks":[[7,1],[8,5]]})",
        R"({"marks":[[7,18446744073709551615]]})"}) {
    RevisionClock clock;
    clock.observe(60, 100);
    EXPECT_THROW(clock.restore(wire::Json::parse(invalid), 50, 100), std::exception) << invalid;
    EXPECT_EQ(clock.time_of(7, 100), 100) << invalid;
  }
}

}  // namespace
}  // namespace reachramp::kv
