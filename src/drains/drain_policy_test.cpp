#include "drains/drain_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace reachramp::drains {
namespace {

settings::Platform platform() {
  settings::Platform p;
  p.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  return p;
}

DrainPolicy read(const std::string& text) {
  return parse_drain_policy(settings::parse_s_expression(text, "p.sexp"), platform(), "p.sexp");
}

std::string error_of(const std::string& text) {
  try {
    read(text);
  } catch (const settings::BadSettings& error) {
    return error.what();
  }
  return "";
}

TEST(DrainPolicyTest, DefaultsAndValues) {
  const DrainPolicy policy = read(R"((drains (serial 7)
    (budget (down 0.2) (stops-a-job 1))
    (budget (team red) (down 0))
    (machines (names n-1 n-2))
    (machines (zone a) (spot no))
    (replace (older-than-s 3600) (type g8))
    (replace (before 6))
    (steps (first 2) (most 0.25) (surge no))))");
  EXPECT_EQ(policy.serial, 7u);
  EXPECT_EQ(policy.budget_of("blue").max_down_share, 0.2);
  EXPECT_EQ(policy.budget_of("red").max_down_share, 0);
  EXPECT_EQ(policy.budget_of("red").max_stops_per_job, 1u)
      << "a missing field is taken from the default budget";
  ASSERT_EQ(policy.rules.size(), 4u);
  EXPECT_FALSE(policy.rules[0].is_rolling);
  EXPECT_TRUE(policy.rules[1].selector.selects_whole_pools());
  EXPECT_EQ(policy.rules[2].selector.older_than_s, 3600);
  EXPECT_EQ(policy.rules[3].selector.rented_before_serial, 6u);
  EXPECT_EQ(policy.rollout.first_step_size, 2u);
  EXPECT_FALSE(policy.rollout.surge);
  EXPECT_EQ(read("(drains (serial 1))").default_budget, DisruptionBudget{});
}

TEST(DrainPolicyTest, ErrorsNameLineFieldAndReason) {
  const std::pair<const char*, const char*> cases[] = {
      {"(drains)", "line 1: serial: missing, or 0"},
      {"(drains (serial 0))", "line 1: serial: missing, or 0"},
      {"(drains\n(serial 1.5))", "line 2: serial: not a whole number"},
      {"(drains (serial 1)\n\n(budget (down 1.5)))", "line 3: down: must lie between 0 and 1"},
      {"(drains (serial 1)\n(budget (team green)))", "line 2: team: no such team: green"},
      {"(drains (serial 1)\n(budget (team red))\n(budget (team red)))",
       "line 3: team: given twice: red"},
      {"(drains (serial 1) (budget)\n(budget))", "line 2: budget: given twice for all teams"},
      {"(drains (serial 1)\n(machines))", "line 2: machines: says of no machine"},
      {"(drains (serial 1)\n(machines (spot maybe)))", "line 2: spot: must be yes or no"},
      {"(drains (serial 1)\n(machines (names)))", "line 2: names: none, or too many"},
      {"(drains (serial 1)\n(replace (type g8)))", "line 2: replace: the new ones"},
      {"(drains (serial 1)\n(replace (before 2)))", "before: a serial that is yet to come"},
      {"(drains (serial 1)\n(replace (older-than-s nan)))", "line 2: older-than-s: must lie"},
      {"(drains (serial 1)\n(steps (frist 2)))", "line 2: frist: no such field of steps"},
      {"(drains (serial 1)\n(drain (zone a)))", "line 2: drain: no such field of drains"},
      {"(drains (serial 1)\nzone)", "drains: expected (name value)"},
      {"(drains (serial 1) (soon-s 1)\n(soon-s 2))", "line 2: soon-s: given twice"},
  };
  for (const auto& [text, expected] : cases) {
    const std::string found = error_of(text);
    EXPECT_EQ(found.find("p.sexp: line "), 0u) << text << ": " << found;
    EXPECT_NE(found.find(expected), std::string::npos) << text << ": " << found;
  }
  EXPECT_EQ(find_unknown_names(read("(drains (serial 1) (machines (type g9)) (machines (zone a)))"),
                               {"g8"}, {"a"}),
            std::vector<std::string>{"(machines (type g9)): no such type"});
}

RC_GTEST_PROP(DrainPolicyTest, RandomTextThrowsOnlyBadSettings, ()) {
  static const char* const kTokens[] = {
      "(",     ")",    "drains",   "serial", "1",      "budget",       "team",      "red", "down",
      "0.1",   "x",    "\"",       "names",  "before", "older-than-s", "replace",   "-1",  "\n",
      "steps", "most", "machines", "1e999",  ";",      "spot",         "(serial 3)"};
  std::string text = "(drains ";
  for (const auto i : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 25))) {
    text += std::string(kTokens[i]) + " ";
  }
  try {
    const DrainPolicy policy = read(text + ")");
    RC_ASSERT(policy.serial > 0);
  } catch (const settings::BadSettings&) {
  }
}

TEST(AcceptedPolicyTest, HighestSerialWinsAndEarlierRevisionsAreKept) {
  const auto first = next_accepted_policy(std::nullopt, 0, 3, "(drains (serial 3))");
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->earlier_revisions.empty());
  EXPECT_FALSE(next_accepted_policy(first, 40, 3, "(drains (serial 3) (soon-s 1))"))
      << "the same serial is not accepted again";
  EXPECT_FALSE(next_accepted_policy(first, 40, 2, "(drains (serial 2))"));
  auto next = next_accepted_policy(first, 40, 5, "(drains (serial 5))");
  ASSERT_TRUE(next);
  EXPECT_EQ(next->earlier_revisions.at(3), 40u);
  next = decode_accepted_policy(encode_accepted_policy(*next));
  EXPECT_EQ(next->serial, 5u);
  EXPECT_EQ(next->text, "(drains (serial 5))");
  for (std::uint64_t serial = 6; serial < 60; ++serial) {
    next = next_accepted_policy(next, serial * 10, serial, "(drains)");
  }
  EXPECT_EQ(next->earlier_revisions.size(), 16u);
  EXPECT_EQ(next->earlier_revisions.rbegin()->first, 58u);
  for (const wire::Json& bad : {wire::Json("x"), wire::Json::object(), wire::Json{{"serial", -1}},
                                wire::Json{{"serial", 1}, {"text", "x"}, {"stamps", {{1, "x"}}}},
                                wire::Json{{"serial", 1}, {"text", "x"}, {"stamps", {1}}}}) {
    EXPECT_THROW(decode_accepted_policy(bad), wire::BadMessage) << bad.dump();
  }
}

}  // namespace
}  // namespace reachramp::drains
