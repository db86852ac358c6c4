// Reads a platform file and a policy file in literal form, with every field given: guards against a
// field whose outer name changes with a renaming in the code.
#include <gtest/gtest.h>

#include "settings/s_expression.h"
#include "settings/settings.h"

namespace reachramp::settings {
namespace {

constexpr const char* kPlatform = R"(
node_name = "node-0"
domain = "a"
serve_on = "127.0.0.1:8080"
cluster_listen = "127.0.0.2:8081"
[[members]]
node_name = "node-1"
domain = "b"
addr = "127.0.0.3:9081"
[services]
cloud = "127.0.0.4:8443"
state = "127.0.0.5:2379"
[[facts.teams]]
name = "red"
cpus = 4.5
cpus_max = 8.5
gpus = 1.5
gpus_max = 2.5
[[facts.objectives]]
class = "train"
kind = "wait"
within_s = 60.5
[[facts.objectives]]
class = "batch"
kind = "finished"
within_s = 600.5
[[facts.objectives]]
class = "sweep"
kind = "deadline"
times = 1.5
[facts.workers]
report_s = 1.5
lease_s = 10.5
gang_wait_s = 31.5
gang_peer_s = 5.5
cancel_s = 30.5
[facts.state]
rps = 250.5
write_rps = 15.5
value_kb = 8.5
txn_ops = 9
[facts.state.next]
rps = 200.5
write_rps = 12.5
value_kb = 4.5
txn_ops = 7
[facts.cloud]
rps = 5.5
list_lag_s = 3.5
[facts.limits]
fd_limit = 700
ram_mb = 56.5
thread_limit = 900
)";

TEST(PlatformText, EveryFieldIsReadFromLiteral) {
  const Platform platform = parse_platform(kPlatform, "node.toml");
  EXPECT_EQ(platform.node_name, "node-0");
  EXPECT_EQ(platform.failure_domain, "a");
  EXPECT_EQ(platform.serve_on.host, "127.0.0.1");
  EXPECT_EQ(platform.serve_on.port, 8080);
  EXPECT_EQ(platform.cluster_listen.host, "127.0.0.2");
  EXPECT_EQ(platform.cluster_listen.port, 8081);
  ASSERT_EQ(platform.members.size(), 1u);
  EXPECT_EQ(platform.members[0].name, "node-1");
  EXPECT_EQ(platform.members[0].failure_domain, "b");
  EXPECT_EQ(platform.members[0].address.host, "127.0.0.3");
  EXPECT_EQ(platform.members[0].address.port, 9081);
  EXPECT_EQ(platform.cloud_address.host, "127.0.0.4");
  EXPECT_EQ(platform.cloud_address.port, 8443);
  EXPECT_EQ(platform.store_address.host, "127.0.0.5");
  EXPECT_EQ(platform.store_address.port, 2379);
  ASSERT_EQ(platform.teams.size(), 1u);
  EXPECT_EQ(platform.teams[0].name, "red");
  EXPECT_EQ(platform.teams[0].guaranteed_cpus, 4.5);
  EXPECT_EQ(platform.teams[0].max_cpus, 8.5);
  EXPECT_EQ(platform.teams[0].guaranteed_gpus, 1.5);
  EXPECT_EQ(platform.teams[0].max_gpus, 2.5);
  ASSERT_EQ(platform.objectives.size(), 3u);
  EXPECT_EQ(platform.objectives[0].kind, ServiceLevelObjective::Kind::wait);
  EXPECT_EQ(platform.objectives[0].job_class, "train");
  EXPECT_EQ(platform.objectives[0].within_s, 60.5);
  EXPECT_EQ(platform.objectives[1].kind, ServiceLevelObjective::Kind::finished);
  EXPECT_EQ(platform.objectives[1].job_class, "batch");
  EXPECT_EQ(platform.objectives[1].within_s, 600.5);
  EXPECT_EQ(platform.objectives[2].kind, ServiceLevelObjective::Kind::deadline);
  EXPECT_EQ(platform.objectives[2].job_class, "sweep");
  EXPECT_EQ(platform.objectives[2].deadline_factor, 1.5);
  EXPECT_EQ(platform.worker_timings.report_interval_s, 1.5);
  EXPECT_EQ(platform.worker_timings.lease_s, 10.5);
  EXPECT_EQ(platform.worker_timings.gang_wait_s, 31.5);
  EXPECT_EQ(platform.worker_timings.gang_peer_s, 5.5);
  EXPECT_EQ(platform.worker_timings.cancel_s, 30.5);
  EXPECT_EQ(platform.store_limits.rps, 250.5);
  EXPECT_EQ(platform.store_limits.write_rps, 15.5);
  EXPECT_EQ(platform.store_limits.value_kb, 8.5);
  EXPECT_EQ(platform.store_limits.txn_ops, 9);
  EXPECT_EQ(platform.upcoming_store_limits.rps, 200.5);
  EXPECT_EQ(platform.upcoming_store_limits.write_rps, 12.5);
  EXPECT_EQ(platform.upcoming_store_limits.value_kb, 4.5);
  EXPECT_EQ(platform.upcoming_store_limits.txn_ops, 7);
  EXPECT_EQ(platform.cloud_limits.rps, 5.5);
  EXPECT_EQ(platform.cloud_limits.list_lag_s, 3.5);
  EXPECT_EQ(platform.fd_limit, 700);
  EXPECT_EQ(platform.ram_mb, 56.5);
  EXPECT_EQ(platform.thread_limit, 900);
}

// The fields of the section (drains ...) are tested in src/drains/, which parses them.
TEST(PolicyText, EveryFieldIsReadFromLiteral) {
  const Policy policy = parse_policy(
      "(policy (target 0.9) (gamma 0.02) (prior 0.2) (price-window-s 300) (tick-s 5)"
      " (horizon-s 120) (levels (hold-at 4)) (drains (serial 3)))",
      "p");
  EXPECT_EQ(policy.target_utility, 0.9);
  EXPECT_EQ(policy.gamma, 0.02);
  EXPECT_EQ(policy.prior_reclaim_probability, 0.2);
  EXPECT_EQ(policy.price_window_s, 300);
  EXPECT_EQ(policy.scaling_interval_s, 5);
  EXPECT_EQ(policy.horizon_s, 120);
  EXPECT_EQ(policy.hold_at, 4u);
  ASSERT_TRUE(policy.drains);
  EXPECT_EQ(to_text(*policy.drains), "(drains (serial 3))");
}

}  // namespace
}  // namespace reachramp::settings
