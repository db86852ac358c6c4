// The literal form of the record `drains` and of the policy's section of that name.
#include "bytes.h"
#include "drains/rules.h"
#include "settings/settings.h"

namespace reachramp::drains {
namespace {

TEST(DrainsRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord =
      R"~({"serial":7,"text":"(drains (serial 7))","stamps":[[3,120],[5,400]]})~";
  EXPECT_TRUE(test::is_written_as(encode_accepted({7, "(drains (serial 7))", {{3, 120}, {5, 400}}}),
                                  kRecord));
  const Accepted read = decode_accepted(test::received(kRecord));
  EXPECT_EQ(read.serial, 7u);
  EXPECT_EQ(read.text, "(drains (serial 7))");
  EXPECT_EQ(read.revisions, (std::map<std::uint64_t, std::uint64_t>{{3, 120}, {5, 400}}));
  EXPECT_STREQ(kRulesKey, "drains");
}

TEST(DrainsPolicyText, EveryFieldIsReadFromLiteral) {
  settings::Platform platform;
  platform.teams = {{"red", 0, 0, 0, 0}};
  const Rules rules = read_rules(
      settings::parse_tree(
          "(drains (serial 7)"
          " (budget (down 0.2) (lost-core-s-an-hour 7200) (replicas-up 0.5) (stops-a-job 4))"
          " (budget (team red) (down 0.3) (lost-core-s-an-hour 60) (replicas-up 0.25)"
          "  (stops-a-job 1))"
          " (machines (names n-1 n-2) (type g8) (zone a) (spot yes))"
          " (replace (older-than-s 3600) (before 5) (spot no))"
          " (steps (first 2) (most 0.25) (surge no) (settle-s 45) (again-s 300) (failures 0.5)"
          "  (most-price 99.5))"
          " (soon-s 15) (attrition-s 240))",
          "p"),
      platform, "p");
  Rules expected;
  expected.serial = 7;
  expected.budget = {0.2, 7200, 0.5, 4};
  expected.teams = {{"red", {0.3, 60, 0.25, 1}}};
  Entry machines;
  machines.match.names = {"n-1", "n-2"};
  machines.match.type = "g8";
  machines.match.zone = "a";
  machines.match.spot = true;
  machines.text = "(machines (names n-1 n-2) (type g8) (zone a) (spot yes))";
  Entry replace;
  replace.match.older_than_s = 3600;
  replace.match.before = 5;
  replace.match.spot = false;
  replace.in_steps = true;
  replace.text = "(replace (older-than-s 3600) (before 5) (spot no))";
  expected.entries = {machines, replace};
  expected.steps = {2, 0.25, false, 45, 300, 0.5, 99.5};
  expected.soon_s = 15;
  expected.attrition_s = 240;
  EXPECT_TRUE(rules == expected);
  EXPECT_EQ(rules.budget.down, 0.2);
  EXPECT_EQ(rules.budget.lost_core_s_an_hour, 7200);
  EXPECT_EQ(rules.budget.replicas_up, 0.5);
  EXPECT_EQ(rules.budget.stops_a_job, 4u);
  EXPECT_EQ(rules.entries.size(), 2u);
  EXPECT_EQ(rules.steps.first, 2u);
  EXPECT_EQ(rules.steps.again_s, 300);
}

}  // namespace
}  // namespace reachramp::drains
