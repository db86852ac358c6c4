// Controller nodes as far as users' requests are concerned, on the lab's key-value store, without a
// leader: tests play its part.
#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "jobs/job_service.h"
#include "kv/steady_clock.h"
#include "loopback/state_server.h"
#include "port_reservations.h"
#include "schema/schema_records.h"

namespace reachramp::test {

using wire::Json;

inline constexpr double kLease_s = 0.5, kCancelTime_s = 6;
inline constexpr settings::StoreLimits kLimits{400, 200, 4, 8};
// For so long users may be left without an answer.
inline constexpr double kMaxUnanswered_s = 75;

inline const std::string kPending = "200 pending", kAborted = "200 aborted", kDone = "200 done";

inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline settings::Platform platform(const std::string& node, const settings::StoreLimits& limits,
                                   double lease_s, int nodes) {
  settings::Platform platform;
  platform.node_name = node;
  platform.teams = {{"red", 0, 0, 0, 0}};
  platform.worker_timings = {0.2, lease_s, 15, 4, kCancelTime_s};
  platform.store_limits = platform.upcoming_store_limits = limits;
  for (int i = 0; i < nodes; ++i) {
    const std::string name = fmt::format("node-{}", i);
    if (name != node) platform.members.push_back({name, "a", {"127.0.0.1", 1}});
  }
  return platform;
}

inline jobs::Spec spec(const std::string& id, const std::vector<std::string>& depends_on) {
  jobs::Spec spec;
  spec.id = id;
  spec.job_class = "c";
  spec.team = "red";
  spec.image = "img";
  spec.cpus = 1;
  spec.depends_on = depends_on;
  return spec;
}

// A node with a cache of its own.
class Node {
 public:
  Node(const std::string& name, std::uint16_t store_port,
       const settings::StoreLimits& limits = kLimits, double lease_s = kLease_s, int nodes = 2)
      : platform_(platform(name, limits, lease_s, nodes)),
        store_({"127.0.0.1", store_port}, limits.rps) {}

  std::string submit(const std::string& id, const std::vector<std::string>& depends_on) {
    return shown(service_.submit(wire::encode(jobs::encode_spec(spec(id, depends_on)))));
  }
  std::string query(const std::string& id) { return shown(service_.query(id)); }
  std::string cancel(const std::string& id) { return shown(service_.cancel(id)); }

  // Queries until the answer is no 503, for at most as long as users may be left without one.
  std::string query_until_answered(const std::string& id) {
    const double end = kv::steady_now() + kMaxUnanswered_s;
    std::string answer = query(id);
    while (answer.starts_with("503") && kv::steady_now() < end) {
      sleep_s(0.2);
      answer = query(id);
    }
    return answer;
  }

 private:
  // Status and phase.
  static std::string shown(const wire::Response& response) {
    return fmt::format("{} {}", response.status, response.body.value("phase", ""));
  }

  const settings::Platform platform_;
  kv::Client store_;
  peers::Members members_{store_, platform_};
  schema::SchemaVersionTracker version_tracker_{store_, platform_, {}};
  peers::RecentCancellations recent_cancellations_{30, kv::steady_now()};
  jobs::JobService service_{
      store_, platform_, members_, version_tracker_, recent_cancellations_, [] {
        return std::make_shared<const cloud::Catalog>(
            cloud::Catalog{{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
      }};
};

// The store, in which all nodes have announced themselves. Its schema level is the oldest that
// nodes of this version may find; set_newest_level() tells them that no older version serves.
class UserRequests : public ::testing::Test {
 protected:
  void SetUp() override {
    server_.listen_for_node("all", port_);
    for (int i = 0; i < kMaxNodes; ++i) {
      store(peers::member_key(fmt::format("node-{}", i)),
            peers::encode_member(peers::kMemberRecordFormat));
    }
  }

  void store(const std::string& key, const Json& value) {
    server_.with_model([&](lab::StateService& model) {
      model.commit({{}, {{key, value, std::nullopt}}});
    });
  }
  void set_newest_level() {
    store(schema::kLevelKey,
          schema::encode_stored({schema::kNewestLevel, schema::kNewestLevel, true}));
  }
  // As a node accepts a job.
  void store_job(const std::string& id, const std::vector<std::string>& depends_on) {
    jobs::Header header;
    header.spec = spec(id, depends_on);
    store(jobs::job_key(id), jobs::encode_header(header));
  }
  // As a leader ends a job.
  void end(const std::string& id, bool cancelled) {
    server_.with_model([&](lab::StateService& model) {
      model.commit({{},
                    {{jobs::end_key(id), jobs::encode_final_state({cancelled, 0}), std::nullopt},
                     {jobs::job_key(id), std::nullopt, std::nullopt}}});
    });
  }
  bool is_stored_as_cancelled(const std::string& id) {
    return server_.with_model([&](const lab::StateService& model) {
      return jobs::decode_header(model.items().at(jobs::job_key(id)).value).cancelled;
    });
  }
  void set_outage(bool out) {
    server_.with_model([&](lab::StateService& model) {
      if (out) {
        model.begin_outage(kv::steady_now());
      } else {
        model.end_outage(kv::steady_now());
      }
    });
  }
  std::uint64_t request_count() {
    return server_.with_model([](const lab::StateService& model) { return model.request_count(); });
  }
  std::uint64_t store_revision() {
    return server_.with_model(
        [](const lab::StateService& model) { return model.store_revision(); });
  }

  static constexpr int kMaxNodes = 5;
  test::PortReservations ports_;
  const std::uint16_t port_ = ports_.reserve();
  lab::StateServer server_{kLimits, 1};
};

}  // namespace reachramp::test
