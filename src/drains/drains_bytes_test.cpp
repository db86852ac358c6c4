// Keeps the stored form of the record `drains/used` unchanged, so that other versions can read it.
#include "cluster_fixtures.h"
#include "drains/drains.h"
#include "encoding_assertions.h"

namespace reachramp::drains {
namespace {

settings::Platform platform() {
  settings::Platform made;
  made.teams = {{"red", 0, 0, 0, 0}};
  return made;
}

TEST(DrainsUsedRecordBytes, BudgetsAreReadAndWrittenAsLiteral) {
  constexpr const char* kRecord =
      R"({"teams":[{"name":"blue","core_s":7200.0,"stops":5},{"name":"red","core_s":0.0,"stops":1}],
          "jobs":[{"name":"j-2","stops":3},{"name":"j-1","stops":1}]})";
  const settings::Platform settings = platform();
  Cluster cluster(settings, 1, jobs::TaskRecordFormat::compact);
  for (const char* id : {"j-1", "j-2"}) {
    jobs::Header header;
    header.spec.id = id;
    header.spec.team = "red";
    cluster.add_job(header, 1, 0);
  }
  BudgetTracker budgets;
  budgets.restore(test::wire_round_trip(kRecord), 10);
  EXPECT_EQ(budgets.lost_core_s({}, "blue", 10), 7200);
  EXPECT_EQ(budgets.stopped_tasks("blue"), 5u);
  EXPECT_EQ(budgets.stopped_tasks("red"), 1u);
  EXPECT_TRUE(test::is_encoded_as(budgets.encode({}, cluster, 10), kRecord));
}

// A step starts with the size in the restored record, so the record that is written after the start
// of the step equals the one that was read.
TEST(DrainsUsedRecordBytes, RecordWithStepsIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord =
      R"({"teams":[{"name":"red","core_s":60.0,"stops":2}],"jobs":[],
          "lines":[{"name":"ordinary large","size":8,"halts":0},
                   {"name":"spot small","size":4,"halts":1}]})";
  const settings::Platform settings = platform();
  Cluster cluster(settings, 1, jobs::TaskRecordFormat::compact);
  cluster.set_catalog({{"large", 8, 0, 32, 50, 1, 0.4, 0.1, 20, {"a"}},
                       {"small", 8, 0, 32, 50, 1, 0.4, 0.1, 20, {"a"}}});
  for (int i = 0; i < 20; ++i) {
    const Index host = test::add_machine(cluster, i < 10 ? "large" : "small", "a", i >= 10, 100);
    cluster.hosts[host]->rented_at = -1000;
  }
  Drains drains;
  drains.apply_policy(
      parse_drain_policy(
          settings::parse_s_expression("(drains (serial 1) (replace (older-than-s 100)))", "p"),
          settings, "p"),
      {}, 100);
  drains.restore(test::wire_round_trip(kRecord), 100);
  EXPECT_TRUE(test::is_encoded_as(
      drains.encode(cluster, 100),
      R"({"teams":[{"name":"red","core_s":60.0,"stops":2}],"jobs":[],"lines":[]})"));
  drains.advance(cluster,
                 {false, [](const Pool&) { return false; }, [](const Pool&) { return 1.0; }}, 100);
  EXPECT_TRUE(test::is_encoded_as(drains.encode(cluster, 100), kRecord));
  EXPECT_STREQ(kUsageKey, "drains/used");
}

}  // namespace
}  // namespace reachramp::drains
