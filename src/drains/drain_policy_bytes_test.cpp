// Keeps the stored form of the record `drains`, and the syntax of the policy section, unchanged.
#include "drains/drain_policy.h"
#include "encoding_assertions.h"
#include "settings/settings.h"

namespace reachramp::drains {
namespace {

TEST(DrainsRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord =
      R"~({"serial":7,"text":"(drains (serial 7))","stamps":[[3,120],[5,400]]})~";
  EXPECT_TRUE(test::is_encoded_as(
      encode_accepted_policy({7, "(drains (serial 7))", {{3, 120}, {5, 400}}}), kRecord));
  const AcceptedPolicy read = decode_accepted_policy(test::wire_round_trip(kRecord));
  EXPECT_EQ(read.serial, 7u);
  EXPECT_EQ(read.text, "(drains (serial 7))");
  EXPECT_EQ(read.earlier_revisions, (std::map<std::uint64_t, std::uint64_t>{{3, 120}, {5, 400}}));
  EXPECT_STREQ(kPolicyKey, "drains");
}

TEST(DrainsPolicyText, EveryFieldIsReadFromLiteral) {
  settings::Platform platform;
  platform.teams = {{"red", 0, 0, 0, 0}};
  const DrainPolicy policy = parse_drain_policy(
      settings::parse_s_expression(
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
  DrainPolicy expected;
  expected.serial = 7;
  expected.default_budget = {0.2, 7200, 0.5, 4};
  expected.team_budgets = {{"red", {0.3, 60, 0.25, 1}}};
  DrainRule machines;
  machines.selector.host_names = {"n-1", "n-2"};
  machines.selector.type = "g8";
  machines.selector.zone = "a";
  machines.selector.spot = true;
  machines.source_text = "(machines (names n-1 n-2) (type g8) (zone a) (spot yes))";
  DrainRule replace;
  replace.selector.older_than_s = 3600;
  replace.selector.rented_before_serial = 5;
  replace.selector.spot = false;
  replace.is_rolling = true;
  replace.source_text = "(replace (older-than-s 3600) (before 5) (spot no))";
  expected.rules = {machines, replace};
  expected.rollout = {2, 0.25, false, 45, 300, 0.5, 99.5};
  expected.ending_soon_s = 15;
  expected.grace_period_s = 240;
  EXPECT_TRUE(policy == expected);
  EXPECT_EQ(policy.default_budget.max_down_share, 0.2);
  EXPECT_EQ(policy.default_budget.max_lost_core_s_per_hour, 7200);
  EXPECT_EQ(policy.default_budget.min_replicas_up_share, 0.5);
  EXPECT_EQ(policy.default_budget.max_stops_per_job, 4u);
  EXPECT_EQ(policy.rules.size(), 2u);
  EXPECT_EQ(policy.rollout.first_step_size, 2u);
  EXPECT_EQ(policy.rollout.retry_after_s, 300);
}

}  // namespace
}  // namespace reachramp::drains
