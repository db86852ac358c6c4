// Test fixtures that run three real controller processes on loopback, with the lab's models of the
// key-value store, the cloud and its workers. Tests can kill and restart each process and cut the
// connections between nodes.
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

// The number of controller processes.
inline constexpr int kNodeCount = 3;
// The setting cancel_s. It is well above the duration of a worker's lease, so that a second in
// which the machine that runs the tests stalls does not change what a leader may answer.
inline constexpr double kCancelTime_s = 20;
// Limits of the key-value store: requests and writes a second, KB of a value, operations of a
// transaction.
inline constexpr settings::StoreLimits kStoreLimits{500, 100, 8, 8};

// The loopback address with this port, as a TOML string that ends its line.
inline std::string toml_loopback_address(std::uint16_t port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}
// The name of a node in the settings and in stored records.
inline std::string node_name(int node) { return "node-" + std::to_string(node); }

// Starts the models and the three nodes before a test, and kills the nodes after it.
class EndToEnd : public ::testing::Test {
 protected:
  void SetUp() override {
    const std::uint16_t store_port = ports_.reserve();
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
    store_->listen_for_node("all", store_port);
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
           << "state = " << toml_loopback_address(connect_port(i, store_port, i))
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

  // The port at which the node `from_node` connects to a service of `to_node` that listens on `to`.
  // The key-value store belongs to no node; for it, `to_node` equals `from_node`. Fixtures that put
  // a proxy between them return the proxy's port.
  virtual std::uint16_t connect_port(int /*from_node*/, std::uint16_t to, int /*to_node*/) {
    return to;
  }

  // The setting cancel_s: the longest time that a cancelled task may remain.
  virtual double cancel_s() const { return kCancelTime_s; }

  // The port at which workers connect to a node that listens for them on `to`.
  virtual std::uint16_t worker_connect_port(std::uint16_t to) { return to; }

  // The number of the node that the key-value store names as the leader; -1: none.
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

  // The path of the node's settings.
  std::string settings_file(int node) const {
    return ::testing::TempDir() + "reachramp-" + std::to_string(::getpid()) + "-" +
           node_name(node) + ".toml";
  }

  // Starts the node's process with a log file of its own for each start.
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

  // Writes the histories of the machines and of the key-value store beside the nodes' logs, and
  // prints the history of each broken rule.
  void write_artifacts() {
    if (!cloud_) return;
    artifacts_.write_lines("machines.log", cloud_->history());
    artifacts_.write_lines("transactions.log", store_->history());
    for (const std::string& line : cloud_->history_of_violations()) std::cout << line << "\n";
  }

  // Kills the node's process, if one runs, and waits for its end.
  void kill_node(int node) {
    if (pids_[node] <= 0) return;
    lab::kill_and_wait(pids_[node]);
    pids_[node] = 0;
  }

  // Sends a request to the node as a user; the timeout is 3 s.
  wire::CallResult call_node(int node, const char* method, const std::string& path,
                             const Json* body = nullptr) {
    return clients_[node]->call(method, path, body, 3000ms);
  }

  // Polls `condition` every 100 ms until it holds; false if it does not hold within `seconds`.
  template <class Condition>
  bool within(double seconds, Condition condition) {
    const double end = kv::steady_now() + seconds;
    while (kv::steady_now() < end) {
      if (condition()) return true;
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  // The submission of a job array of `tasks` tasks that need one core and run for 1 s.
  Json job_body(const std::string& id, int tasks) {
    return {{"ref", id},           {"jobclass", "c"}, {"owner", "red"},    {"shape", "array"},
            {"urgency", "normal"}, {"pieces", tasks}, {"vcpus", 1.0},      {"accelerators", 0},
            {"ram_gb", 1.0},       {"bundle", "img"}, {"pull_gb", 0.1},    {"together", false},
            {"scatter", false},    {"loaner", true},  {"expected_s", 1.0}, {"snapshot_every_s", 0},
            {"snapshot_cost_s", 0}};
  }

  // Uploads a well-formed job to the emulated cloud, then submits it at `node`. Retries for up to
  // 30 s while the node does not respond or responds with status 503, as all nodes do until one of
  // them knows the machine types.
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

  // Sends the submission once and returns the status.
  int submit_once(int node, const Json& body) {
    return call_node(node, "POST", "/submissions", &body).status;
  }

  // Whether `node` accepts the job. Status 200, for a job that is already known, counts as well:
  // the response to an earlier attempt may have been lost.
  bool accepts(int node, const Json& body) {
    const int status = submit(node, body);
    return status == 201 || status == 200;
  }

  // The phase of the job in the node's response; empty if the status is not 200.
  std::string job_phase(int node, const std::string& id) {
    const wire::CallResult answer = call_node(node, "GET", "/submissions/" + id);
    return answer.status == 200 ? answer.body.value("phase", "") : "";
  }

  // As job_body(), for a job that starts only after its dependencies are done.
  Json dependent_job_body(const std::string& id, int tasks,
                          const std::vector<std::string>& dependencies) {
    Json body = job_body(id, tasks);
    body["waits_on"] = dependencies;
    return body;
  }

  // Runs a job of `tasks` endless tasks and then hangs all machines that they run on.
  void run_and_hang(const std::string& id, std::size_t tasks);

  // Runs a chain of jobs, a job that depends on two jobs of the chain, and a chain whose first job
  // is cancelled, and checks the outcome of each. `name` is part of the jobs' ids.
  void run_job_chains(const std::string& name);

  FailureArtifacts artifacts_;
  const char* program_ = REACHRAMP_PROGRAM;
  PortReservations ports_;
  std::uint16_t user_ports_[kNodeCount], peer_ports_[kNodeCount];
  pid_t pids_[kNodeCount] = {};
  int start_counts_[kNodeCount] = {};
  std::unique_ptr<wire::Client> clients_[kNodeCount];
  // The number of nodes with a record under member/ in the key-value store.
  std::size_t member_count() {
    return store_->with_model(
        [](const lab::StateService& model) { return model.list("member/").size(); });
  }

  // The stored schema level if it is settled, otherwise 0.
  std::uint32_t settled_level() {
    return store_->with_model([](const lab::StateService& model) -> std::uint32_t {
      const auto at = model.items().find(schema::kLevelKey);
      if (at == model.items().end()) return 0;
      const schema::StoredSchema stored = schema::decode_stored(at->second.value);
      return stored.settled ? stored.level : 0;
    });
  }
  // Overwrites the record of the schema level.
  void write_level(const Json& value) {
    store_->with_model([&](lab::StateService& model) {
      model.commit({{}, {{schema::kLevelKey, value, std::nullopt}}});
    });
  }

  // Lowers the limits of the key-value store to those that the settings announce as the next ones.
  void lower_store_limits() {
    store_->with_model([](lab::StateService& model) { model.set_limits({500, 100, 2, 4}); });
  }

  std::string policy_file_;  // path of the operators' policy; empty: none
  std::unique_ptr<lab::StateServer> store_;
  std::set<std::string> endless_jobs_;  // jobs whose tasks run until they are stopped
  std::unique_ptr<lab::FleetServer> cloud_;
};

inline void EndToEnd::run_and_hang(const std::string& id, std::size_t tasks) {
  endless_jobs_.insert(id);
  ASSERT_TRUE(accepts(0, job_body(id, static_cast<int>(tasks))));
  ASSERT_TRUE(within(30, [&] { return cloud_->held_task_count(id) == tasks; }));
  ASSERT_TRUE(within(30, [&] { return job_phase(0, id) == "running"; }));
  ASSERT_GT(cloud_->hang_machines_of(id), 0u);
}

inline void EndToEnd::run_job_chains(const std::string& name) {
  const auto id = [&](int i) { return "j-" + name + std::to_string(i); };
  ASSERT_TRUE(accepts(0, job_body(id(0), 3)));
  ASSERT_TRUE(accepts(1, dependent_job_body(id(1), 9, {id(0)})));
  ASSERT_TRUE(accepts(2, dependent_job_body(id(2), 2, {id(1), id(0), id(1)})));
  endless_jobs_.insert(id(3));
  ASSERT_TRUE(accepts(0, job_body(id(3), 1)));
  ASSERT_TRUE(accepts(1, dependent_job_body(id(4), 2, {id(3)})));
  ASSERT_TRUE(accepts(2, dependent_job_body(id(5), 2, {id(4), id(0)})));
  const Json with_unknown_dependency = dependent_job_body(id(6), 1, {"j-never"});
  EXPECT_EQ(submit(0, with_unknown_dependency), 422);
  ASSERT_TRUE(within(20, [&] {
    return call_node(1, "POST", "/submissions/" + id(3) + "/withdraw").status == 200;
  }));
  EXPECT_TRUE(accepts(2, dependent_job_body(id(7), 1, {id(3)})))
      << "the job is accepted, and cancelled like its dependency";
  for (int i : {4, 5, 7}) {
    EXPECT_TRUE(within(20, [&] { return job_phase(i % kNodeCount, id(i)) == "aborted"; })) << i;
  }
  EXPECT_TRUE(within(60, [&] { return job_phase(0, id(2)) == "done"; }));
  EXPECT_EQ(submit(1, dependent_job_body(id(5), 2, {id(4), id(0)})), 200)
      << "the job is known, so its dependencies are not checked again";
  EXPECT_TRUE(accepts(1, dependent_job_body(id(8), 1, {id(0), id(2)})))
      << "all its dependencies are done";
  EXPECT_TRUE(within(60, [&] { return job_phase(2, id(8)) == "done"; }));
}

// The value of a key and its revision; null and 0 if the key is absent.
inline std::pair<Json, std::uint64_t> read_entry(lab::StateServer& store, const std::string& key) {
  return store.with_model([&](const lab::StateService& model) -> std::pair<Json, std::uint64_t> {
    const auto at = model.items().find(key);
    if (at == model.items().end()) return {Json(), 0};
    return {at->second.value, at->second.revision};
  });
}

// Connects the nodes to each other and to the key-value store through proxies that can be cut.
// Workers and users connect directly.
class CutOff : public EndToEnd {
 protected:
  std::uint16_t connect_port(int from_node, std::uint16_t to, int to_node) override {
    const std::uint16_t port = ports_.reserve();
    links_.push_back({from_node, to_node, std::make_unique<TcpProxy>(port, to)});
    return port;
  }
  // Cuts or restores the connections between the node and the other nodes, and between it and the
  // key-value store.
  void set_node_cut(int node, bool cut) {
    for (auto& [from_node, to_node, proxy] : links_) {
      if (from_node == node || to_node == node) proxy->set_blocked(cut);
    }
  }
  // Cuts or restores the connections of all nodes to the key-value store.
  void set_store_cut(bool cut) {
    for (auto& [from_node, to_node, proxy] : links_) {
      if (from_node == to_node) proxy->set_blocked(cut);
    }
  }
  // The HTTP status of the node's response to a report from a worker that is unknown to it.
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

  // The proxy that `from_node` connects to instead of `to_node` or, if both are equal, instead of
  // the key-value store.
  struct ProxiedLink {
    int from_node, to_node;
    std::unique_ptr<TcpProxy> proxy;
  };
  std::vector<ProxiedLink> links_;
  std::uint64_t tick_ = 0;
};

// The key-value store has a port for each node, so that it can refuse a single node.
class RefusedAlone : public CutOff {
 protected:
  std::uint16_t connect_port(int from_node, std::uint16_t to, int to_node) override {
    if (from_node != to_node) return CutOff::connect_port(from_node, to, to_node);
    const std::uint16_t port = ports_.reserve();
    store_->listen_for_node(node_name(from_node), port);
    return port;
  }
  // Makes the key-value store refuse the node, or serve it again.
  void set_store_refused(int node, bool refused) {
    store_->with_model(
        [&](lab::StateService& model) { model.set_refused(node_name(node), refused); });
  }
};

}  // namespace reachramp::test
