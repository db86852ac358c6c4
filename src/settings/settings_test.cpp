#include "settings/settings.h"

#include <gtest/gtest.h>

#include "settings/s_expression.h"

namespace reachramp::settings {
namespace {

const char* const kPlatform = R"(
node_name = "node-0"
domain = "a"
serve_on = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
newer = 1
[[members]]
node_name = "node-1"
domain = "b"
addr = "127.0.0.1:9081"
[services]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[[facts.teams]]
name = "red"
cpus = 4
cpus_max = 0.0
[facts.workers]
report_s = 1
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 30.0
[facts.state]
rps = 250.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 8
[facts.cloud]
rps = 5.0
list_lag_s = 3.0
[facts.limits]
ram_mb = 56.0
fd_limit = 700
)";

std::string error_of(const std::string& text) {
  try {
    parse_platform(text, "node.toml");
  } catch (const BadSettings& error) {
    return error.what();
  }
  return "";
}

std::string without_line(std::string text, const std::string& line) {
  return text.erase(text.find(line), line.size());
}

TEST(Platform, UpcomingLimitsMayBeGivenInPart) {
  Platform platform = parse_platform(kPlatform, "node.toml");
  EXPECT_EQ(platform.upcoming_store_limits.value_kb, 8);
  std::string text = kPlatform;
  text.insert(text.find("[facts.cloud]"), "[facts.state.next]\nvalue_kb = 2.0\nwrite_rps = 20\n");
  platform = parse_platform(text, "node.toml");
  EXPECT_EQ(platform.upcoming_store_limits.txn_ops, 8);
  const StoreLimits both = stricter_limits(platform.store_limits, platform.upcoming_store_limits);
  EXPECT_EQ(both.value_kb, 2);
  EXPECT_EQ(both.write_rps, 15) << "limits may also rise";
  text.insert(text.find("value_kb = 2.0"), "txn_ops = 0\n");
  EXPECT_EQ(error_of(text), "node.toml: facts.state.next.txn_ops: out of range");
}

TEST(Platform, UnknownFieldsAreIgnored) {
  const Platform platform = parse_platform(kPlatform, "node.toml");
  EXPECT_EQ(platform.members.at(0).address.port, 9081);
  EXPECT_EQ(platform.teams.at(0).guaranteed_cpus, 4);
  EXPECT_EQ(platform.worker_timings.report_interval_s, 1);
}

TEST(Platform, NamesFileFieldAndReason) {
  EXPECT_EQ(error_of(without_line(kPlatform, "lease_s = 10.0")),
            "node.toml: facts.workers.lease_s: missing or not a number");
  EXPECT_NE(error_of(without_line(kPlatform, "serve_on = \"127.0.0.1:8080\"")).find("serve_on"),
            std::string::npos);
  EXPECT_NE(error_of("x = ").find("node.toml: line 1"), std::string::npos);
  std::string bad = kPlatform;
  bad.replace(bad.find("127.0.0.1:9081"), 14, "somewhere:9081");
  EXPECT_NE(error_of(bad).find("members[0].addr"), std::string::npos);
}

TEST(Policy, DefaultsAndValues) {
  const Policy policy = parse_policy("(policy (target 0.9) (tick-s 2) (newer 7))", "p");
  EXPECT_EQ(policy.target_utility, 0.9);
  EXPECT_EQ(policy.scaling_interval_s, 2);
  EXPECT_EQ(policy.horizon_s, Policy{}.horizon_s);
}

TEST(Policy, HoldAtMustBeAnExistingLevel) {
  EXPECT_EQ(parse_policy("(policy)", "p").hold_at, 0u);
  EXPECT_EQ(parse_policy("(policy (levels (hold-at 3) (newer 1)))", "p").hold_at, 3u);
  for (const char* bad : {"1", "99", "2.5", "x", "3 4", "-3", "nan"}) {
    const std::string text = std::string("(policy (levels (hold-at ") + bad + ")))";
    try {
      parse_policy(text, "p.sexp");
      FAIL() << text;
    } catch (const BadSettings& error) {
      EXPECT_EQ(std::string(error.what()).find("p.sexp: line 1: hold-at: "), 0u) << error.what();
    }
  }
  EXPECT_THROW(parse_policy("(policy (levels 3))", "p"), BadSettings);
  EXPECT_THROW(parse_policy("(policy (levels) (levels))", "p"), BadSettings);
}

TEST(SExpression, HasLineNumbersAndRoundTripsThroughText) {
  const std::string text =
      "(policy ; (not a list)\n (target 0.9)\n (drains (serial 3)\n  (machines (names \"n (1\" "
      "x))))";
  const SExpression tree = parse_s_expression(text, "p");
  EXPECT_EQ(tree.items.at(1).line, 2);
  const SExpression& drains = tree.items.at(2);
  EXPECT_EQ(drains.line, 3);
  EXPECT_EQ(drains.items.at(2).line, 4);
  EXPECT_EQ(drains.items.at(2).items.at(1).items.at(1).atom, "n (1");
  EXPECT_EQ(to_text(parse_s_expression(to_text(tree), "p")), to_text(tree));
  try {
    parse_policy("(policy\n (tick-s 2)\n (gamma x))", "p.sexp");
    FAIL();
  } catch (const BadSettings& error) {
    EXPECT_EQ(std::string(error.what()), "p.sexp: line 3: gamma: not a number: x");
  }
}

TEST(Policy, InvalidPolicyIsRejected) {
  for (const char* bad : {"", "(", "policy", "(other)", "(policy target)", "(policy (target))",
                          "(policy (target x))", "(policy (target 2))", "(policy (gamma 0))",
                          "(policy (target 0.9) (target 0.8))", "(policy (target 0.9 0.8))"}) {
    EXPECT_THROW(parse_policy(bad, "p"), BadSettings) << bad;
  }
}

}  // namespace
}  // namespace reachramp::settings
