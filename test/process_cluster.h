// Three real processes against the lab's models of the key-value store, the cloud and its workers,
// on loopback; each can be killed and started again, and their ways to each other can be cut.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "failure_artifacts.h"
#include "kv/steady_clock.h"
#include "loopback/child_process.h"
#include "loopback/fleet_server.h"
#include "loopback/state_server.h"
#include "port_reservations.h"
#include "schema/schema.h"
#include "tcp_proxy.h"

namespace reachramp::test {

using wire::Json;
using namespace std::chrono_literals;

inline constexpr int kNodeCount = 3;
// Well above a lease: a machine that is slow for a second must not decide what a leader may answer.
inline constexpr double kCancelTime_s = 20;
inline constexpr settings::StoreLimits kStoreLimits{500, 100, 8, 8};

inline std::string toml_loopback_address(std::uint16_t port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}
inline std::string node_name(int node) { return "node-" + std::to_string(node); }

class EndToEnd : public ::testing::Test {
 protected:
  void SetUp() override {
    const std::uint16_t state_port = ports_.reserve();
    const std::uint16_t cloud_port = ports_.reserve();
    std::map<std::string, wire::Address> controllers;
    for (int i = 0; i < kNodeCount; ++i) {
      user_ports_[i] = ports_.reserve();
      peer_ports_[i] = ports_.reserve();
      controllers[node_name(i)] = {"127.0.0.1", user_ports_[i]};
      clients_[i] =
          std::make_unique<wire::Client>(controllers[node_name(i)], 1, wire::kMaxBody_bytes);
    }
    store_ = std::make_unique<lab::StateServer>(kStoreLimits, 1);
    store_->listen_for_node("all", state_port);
    lab::FleetSpec fleet;
    fleet.cloud.catalog = {{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 1, {"a", "b"}}};
    for (const char* zone : {"a", "b"}) {
      for (const bool spot : {true, false}) fleet.cloud.capacity[{"small", zone, spot}] = 200;
    }
    fleet.cloud.limits = {20, 1};
    fleet.workers = {0.2, 5, 10, 2, cancel_s()};
    fleet.teams = {{"red", 0, 0, 0, 0}};
    for (const auto& [node, address] : controllers) {
      fleet.controllers[node] = {"127.0.0.1", worker_connect_port(address.port)};
    }
    fleet.worker_port = ports_.reserve();
    cloud_ = std::make_unique<lab::FleetServer>(fleet, cloud_port, 1);
    for (int i = 0; i < kNodeCount; ++i) {
      std::ofstream file(settings_file(i));
      file << "node_name = \"" << node_name(i)
           << "\"\ndomain = \"a\"\nserve_on = " << toml_loopback_address(user_ports_[i])
           << "cluster_listen = " << toml_loopback_address(peer_ports_[i]);
      for (int other = 0; other < kNodeCount; ++other) {
        if (other == i) continue;
        file << "[[members]]\nnode_name = \"" << node_name(other) << "\"\ndomain = \"a\"\naddr = "
             << toml_loopback_address(connect_port(i, peer_ports_[other], other));
      }
      file << "[services]\ncloud = " << toml_loopback_address(cloud_port)
           << "state = " << toml_loopback_address(connect_port(i, state_port, i))
           << "[[facts.teams]]\nname = \"red\"\n"
              "[facts.workers]\nreport_s = 0.2\nlease_s = 5.0\ngang_wait_s = 10.0\n"
              "gang_peer_s = 2.0\ncancel_s = "
           << cancel_s()
           << "\n"
              "[facts.state]\nrps = 500.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 8\n"
              "[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n"
              "[facts.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[facts.limits]\nram_mb = "
              "256.0\nfd_limit = 300\n";
    }
    if (program_ != nullptr) {
      for (int i = 0; i < kNodeCount; ++i) start_node(i);
    }
  }

  // The port under which the node reaches another, or the key-value store, which is no node.
  virtual std::uint16_t connect_port(int, std::uint16_t to, int) { return to; }

  virtual double cancel_s() const { return kCancelTime_s; }

  // The port under which workers reach a node.
  virtual std::uint16_t worker_connect_port(std::uint16_t to) { return to; }

  int leader_node() {
    const Json value = store_->with_model([](const lab::StateService& model) {
      const auto at = model.items().find("leader");
      return at == model.items().end() ? Json() : at->second.value;
    });
    for (int i = 0; i < kNodeCount; ++i) {
      if (value.is_object() && value.value("node", "") == node_name(i)) return i;
    }
    return -1;
  }

  void TearDown() override {
    for (int i = 0; i < kNodeCount; ++i) kill_node(i);
    if (HasFailure()) write_artifacts();
    for (int i = 0; i < kNodeCount; ++i) std::remove(settings_file(i).c_str());
  }

  std::string settings_file(int node) const {
    return ::testing::TempDir() + "reachramp-" + std::to_string(::getpid()) + "-" +
           node_name(node) + ".toml";
  }

  void start_node(int node) {
    std::vector<std::string> arguments{"serve", "--config", settings_file(node)};
    if (!policy_file_.empty()) arguments.insert(arguments.end(), {"--policy", policy_file_});
    const std::string log = fmt::format("{}-start-{}.log", node_name(node), ++start_counts_[node]);
    pids_[node] = lab::spawn({.program = program_,
                              .arguments = arguments,
                              .log_file = artifacts_.path(log),
                              .log_level = FailureArtifacts::log_level(),
                              .max_log_bytes = FailureArtifacts::kMaxLog_bytes});
  }

  // What the machines and the key-value store saw, beside the nodes' logs.
  void write_artifacts() {
    if (!cloud_) return;
    artifacts_.write_lines("machines.log", cloud_->history());
    artifacts_.write_lines("transactions.log", store_->history());
    for (const std::string& line : cloud_->history_of_violations()) std::cout << line << "\n";
  }

  void kill_node(int node) {
    if (pids_[node] <= 0) return;
    lab::kill_and_wait(pids_[node]);
    pids_[node] = 0;
  }

  wire::CallResult call_node(int node, const char* method, const std::string& path,
                             const Json* body = nullptr) {
    return clients_[node]->call(method, path, body, 3000ms);
  }

  template <class Condition>
  bool within(double seconds, Condition condition) {
    const double end = kv::steady_now() + seconds;
    while (kv::steady_now() < end) {
      if (condition()) return true;
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  Json job_body(const std::string& id, int tasks) {
    return {{"ref", id},           {"jobclass", "c"}, {"owner", "red"},    {"shape", "array"},
            {"urgency", "normal"}, {"pieces", tasks}, {"vcpus", 1.0},      {"accelerators", 0},
            {"ram_gb", 1.0},       {"bundle", "img"}, {"pull_gb", 0.1},    {"together", false},
            {"scatter", false},    {"loaner", true},  {"expected_s", 1.0}, {"snapshot_every_s", 0},
            {"snapshot_cost_s", 0}};
  }

  // Uploads what is well-formed, then submits. Refused at first while no node knows the machine
  // types.
  int submit(int node, const Json& body) {
    const jobs::Spec spec = jobs::decode_spec(body);
    cloud_->upload(
        {spec, endless_jobs_.contains(spec.id) ? 1e9 : spec.estimated_duration_s, false});
    int status = 0;
    within(30, [&] {
      status = call_node(node, "POST", "/submissions", &body).status;
      return status != 503 && status != 0;
    });
    return status;
  }

  int submit_once(int node, const Json& body) {
    return call_node(node, "POST", "/submissions", &body).status;
  }

  // Known already: a first answer may have been lost.
  bool accepts(int node, const Json& body) {
    const int status = submit(node, body);
    return status == 201 || status == 200;
  }

  std::string job_phase(int node, const std::string& id) {
    const wire::CallResult answer = call_node(node, "GET", "/submissions/" + id);
    return answer.status == 200 ? answer.body.value("phase", "") : "";
  }

  Json dependent_job_body(const std::string& id, int tasks,
                          const std::vector<std::string>& dependencies) {
    Json made = job_body(id, tasks);
    made["waits_on"] = dependencies;
    return made;
  }

  // A job that runs with so many tasks, on machines that then all hang.
  void run_and_hang(const std::string& id, std::size_t tasks);

  // A chain, a job that needs two of it, and a chain that is cancelled at its head.
  void run_job_chains(const std::string& node_name);

  FailureArtifacts artifacts_;
  const char* program_ = REACHRAMP_PROGRAM;
  PortReservations ports_;
  std::uint16_t user_ports_[kNodeCount], peer_ports_[kNodeCount];
  pid_t pids_[kNodeCount] = {};
  int start_counts_[kNodeCount] = {};
  std::unique_ptr<wire::Client> clients_[kNodeCount];
  std::size_t member_count() {
    return store_->with_model(
        [](const lab::StateService& model) { return model.list("member/").size(); });
  }

  // The level that is stored and settled; 0: none.
  std::uint32_t settled_level() {
    return store_->with_model([](const lab::StateService& model) -> std::uint32_t {
      const auto at = model.items().find(schema::kLevelKey);
      if (at == model.items().end()) return 0;
      const schema::StoredSchema read_entry = schema::decode_stored(at->second.value);
      return read_entry.settled ? read_entry.level : 0;
    });
  }
  void write_level(const Json& value) {
    store_->with_model([&](lab::StateService& model) {
      model.commit({{}, {{schema::kLevelKey, value, std::nullopt}}});
    });
  }

  void lower_store_limits() {
    store_->with_model([](lab::StateService& model) { model.set_limits({500, 100, 2, 4}); });
  }

  std::string policy_file_;  // its file; empty: none
  std::unique_ptr<lab::StateServer> store_;
  std::set<std::string> endless_jobs_;  // jobs whose tasks end only when they are stopped
  std::unique_ptr<lab::FleetServer> cloud_;
};

inline void EndToEnd::run_and_hang(const std::string& id, std::size_t tasks) {
  endless_jobs_.insert(id);
  ASSERT_TRUE(accepts(0, job_body(id, static_cast<int>(tasks))));
  ASSERT_TRUE(within(30, [&] { return cloud_->held_task_count(id) == tasks; }));
  ASSERT_TRUE(within(30, [&] { return job_phase(0, id) == "running"; }));
  ASSERT_GT(cloud_->hang_machines_of(id), 0u);
}

inline void EndToEnd::run_job_chains(const std::string& node_name) {
  const auto id = [&](int i) { return "j-" + node_name + std::to_string(i); };
  ASSERT_TRUE(accepts(0, job_body(id(0), 3)));
  ASSERT_TRUE(accepts(1, dependent_job_body(id(1), 9, {id(0)})));
  ASSERT_TRUE(accepts(2, dependent_job_body(id(2), 2, {id(1), id(0), id(1)})));
  endless_jobs_.insert(id(3));
  ASSERT_TRUE(accepts(0, job_body(id(3), 1)));
  ASSERT_TRUE(accepts(1, dependent_job_body(id(4), 2, {id(3)})));
  ASSERT_TRUE(accepts(2, dependent_job_body(id(5), 2, {id(4), id(0)})));
  const Json stranger = dependent_job_body(id(6), 1, {"j-never"});
  EXPECT_EQ(submit(0, stranger), 422);
  ASSERT_TRUE(within(20, [&] {
    return call_node(1, "POST", "/submissions/" + id(3) + "/withdraw").status == 200;
  }));
  EXPECT_TRUE(accepts(2, dependent_job_body(id(7), 1, {id(3)})))
      << "accepted, and cancelled with it";
  for (int i : {4, 5, 7}) {
    EXPECT_TRUE(within(20, [&] { return job_phase(i % kNodeCount, id(i)) == "aborted"; })) << i;
  }
  EXPECT_TRUE(within(60, [&] { return job_phase(0, id(2)) == "done"; }));
  EXPECT_EQ(submit(1, dependent_job_body(id(5), 2, {id(4), id(0)})), 200)
      << "known, whatever it needs";
  EXPECT_TRUE(accepts(1, dependent_job_body(id(8), 1, {id(0), id(2)}))) << "all of it is over";
  EXPECT_TRUE(within(60, [&] { return job_phase(2, id(8)) == "done"; }));
}

// What stands under the key, with its revision; 0: nothing.
inline std::pair<Json, std::uint64_t> read_entry(lab::StateServer& state, const std::string& key) {
  return state.with_model([&](const lab::StateService& model) -> std::pair<Json, std::uint64_t> {
    const auto at = model.items().find(key);
    if (at == model.items().end()) return {Json(), 0};
    return {at->second.value, at->second.revision};
  });
}

// All ways between nodes and to the key-value store, each of which can be cut; workers and users
// are not.
class CutOff : public EndToEnd {
 protected:
  std::uint16_t connect_port(int from, std::uint16_t to, int other) override {
    const std::uint16_t port = ports_.reserve();
    links_.push_back({from, other, std::make_unique<TcpProxy>(port, to)});
    return port;
  }
  void set_node_cut(int node, bool cut) {
    for (auto& [from, other, proxy] : links_) {
      if (from == node || other == node) proxy->set_blocked(cut);
    }
  }
  void set_store_cut(bool cut) {
    for (auto& [from, other, proxy] : links_) {
      if (from == other) proxy->set_blocked(cut);
    }
  }
  // What a worker that comes to the node is told.
  int report_status(int node) {
    const Json report{{"host", "n-999999"},      {"address", "127.0.0.1:1"},
                      {"rig", "small"},          {"hall", "a"},
                      {"loaner", true},          {"tenure", 1},
                      {"tick", ++tick_},         {"baton", 0},
                      {"reclaim_in_s", nullptr}, {"pieces", Json::array()}};
    return clients_[node]->call("POST", "/v1/report", &report, 5000ms).status;
  }
  void TearDown() override {
    EndToEnd::TearDown();
    links_.clear();
  }

  struct ProxiedLink {
    int from_node, to_node;
    std::unique_ptr<TcpProxy> proxy;
  };
  std::vector<ProxiedLink> links_;
  std::uint64_t tick_ = 0;
};

}  // namespace reachramp::test
