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

#include "evidence.h"
#include "kv/steady_clock.h"
#include "loopback/child_process.h"
#include "loopback/fleet_server.h"
#include "loopback/state_server.h"
#include "ports.h"
#include "proxy.h"
#include "schema/schema.h"

namespace reachramp::test {

using wire::Json;
using namespace std::chrono_literals;

inline constexpr int kNodes = 3;
// Well above a lease: a machine that is slow for a second must not decide what a leader may answer.
inline constexpr double kCancel_s = 20;
inline constexpr settings::StoreLimits kStateLimits{500, 100, 8, 8};

inline std::string local(std::uint16_t port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}
inline std::string name(int node) { return "node-" + std::to_string(node); }

class EndToEnd : public ::testing::Test {
 protected:
  void SetUp() override {
    const std::uint16_t state_port = ports_.reserve();
    const std::uint16_t cloud_port = ports_.reserve();
    std::map<std::string, wire::Address> controllers;
    for (int i = 0; i < kNodes; ++i) {
      serve_[i] = ports_.reserve();
      peer_[i] = ports_.reserve();
      controllers[name(i)] = {"127.0.0.1", serve_[i]};
      clients_[i] = std::make_unique<wire::Client>(controllers[name(i)], 1, wire::kMaxBody_bytes);
    }
    state_ = std::make_unique<lab::StateServer>(kStateLimits, 1);
    state_->open("all", state_port);
    lab::FleetSpec fleet;
    fleet.cloud.catalog = {{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 1, {"a", "b"}}};
    for (const char* zone : {"a", "b"}) {
      for (const bool spot : {true, false}) fleet.cloud.capacity[{"small", zone, spot}] = 200;
    }
    fleet.cloud.limits = {20, 1};
    fleet.workers = {0.2, 5, 10, 2, cancel_s()};
    fleet.teams = {{"red", 0, 0, 0, 0}};
    for (const auto& [node, address] : controllers) {
      fleet.controllers[node] = {"127.0.0.1", workers_way(address.port)};
    }
    fleet.worker_port = ports_.reserve();
    cloud_ = std::make_unique<lab::FleetServer>(fleet, cloud_port, 1);
    for (int i = 0; i < kNodes; ++i) {
      std::ofstream file(settings(i));
      file << "node_name = \"" << name(i) << "\"\ndomain = \"a\"\nserve_on = " << local(serve_[i])
           << "cluster_listen = " << local(peer_[i]);
      for (int other = 0; other < kNodes; ++other) {
        if (other == i) continue;
        file << "[[members]]\nnode_name = \"" << name(other)
             << "\"\ndomain = \"a\"\naddr = " << local(way(i, peer_[other], other));
      }
      file << "[services]\ncloud = " << local(cloud_port)
           << "state = " << local(way(i, state_port, i))
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
      for (int i = 0; i < kNodes; ++i) start(i);
    }
  }

  // The port under which the node reaches another, or the key-value store, which is no node.
  virtual std::uint16_t way(int, std::uint16_t to, int) { return to; }

  virtual double cancel_s() const { return kCancel_s; }

  // The port under which workers reach a node.
  virtual std::uint16_t workers_way(std::uint16_t to) { return to; }

  int leader() {
    const Json value = state_->with([](const lab::StateService& model) {
      const auto at = model.items().find("leader");
      return at == model.items().end() ? Json() : at->second.value;
    });
    for (int i = 0; i < kNodes; ++i) {
      if (value.is_object() && value.value("node", "") == name(i)) return i;
    }
    return -1;
  }

  void TearDown() override {
    for (int i = 0; i < kNodes; ++i) kill_node(i);
    if (HasFailure()) keep_evidence();
    for (int i = 0; i < kNodes; ++i) std::remove(settings(i).c_str());
  }

  std::string settings(int node) const {
    return ::testing::TempDir() + "reachramp-" + std::to_string(::getpid()) + "-" + name(node) +
           ".toml";
  }

  void start(int node) {
    std::vector<std::string> arguments{"serve", "--config", settings(node)};
    if (!policy_.empty()) arguments.insert(arguments.end(), {"--policy", policy_});
    const std::string log = fmt::format("{}-start-{}.log", name(node), ++starts_[node]);
    pids_[node] = lab::spawn({.program = program_,
                              .arguments = arguments,
                              .log_file = evidence_.file(log),
                              .log_level = Evidence::log_level(),
                              .most_log_bytes = Evidence::kMostLogBytes});
  }

  // What the machines and the key-value store saw, beside the nodes' logs.
  void keep_evidence() {
    if (!cloud_) return;
    evidence_.write("machines.log", cloud_->history());
    evidence_.write("transactions.log", state_->history());
    for (const std::string& line : cloud_->history_of_broken_rules()) std::cout << line << "\n";
  }

  void kill_node(int node) {
    if (pids_[node] <= 0) return;
    lab::kill_and_wait(pids_[node]);
    pids_[node] = 0;
  }

  wire::CallResult ask(int node, const char* method, const std::string& path,
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

  Json job(const std::string& id, int tasks) {
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
    cloud_->upload({spec, forever_.contains(spec.id) ? 1e9 : spec.estimated_duration_s, false});
    int status = 0;
    within(30, [&] {
      status = ask(node, "POST", "/submissions", &body).status;
      return status != 503 && status != 0;
    });
    return status;
  }

  int submit_once(int node, const Json& body) {
    return ask(node, "POST", "/submissions", &body).status;
  }

  // Known already: a first answer may have been lost.
  bool accepts(int node, const Json& body) {
    const int status = submit(node, body);
    return status == 201 || status == 200;
  }

  std::string phase(int node, const std::string& id) {
    const wire::CallResult answer = ask(node, "GET", "/submissions/" + id);
    return answer.status == 200 ? answer.body.value("phase", "") : "";
  }

  Json after(const std::string& id, int tasks, const std::vector<std::string>& needs) {
    Json made = job(id, tasks);
    made["waits_on"] = needs;
    return made;
  }

  // A job that runs with so many tasks, on machines that then all hang.
  void run_and_hang(const std::string& id, std::size_t tasks);

  // A chain, a job that needs two of it, and a chain that is cancelled at its head.
  void pipelines(const std::string& name);

  Evidence evidence_;
  const char* program_ = REACHRAMP_PROGRAM;
  PortReservations ports_;
  std::uint16_t serve_[kNodes], peer_[kNodes];
  pid_t pids_[kNodes] = {};
  int starts_[kNodes] = {};
  std::unique_ptr<wire::Client> clients_[kNodes];
  std::size_t members() {
    return state_->with(
        [](const lab::StateService& model) { return model.list("member/").size(); });
  }

  // The level that is stored and settled; 0: none.
  std::uint32_t settled_level() {
    return state_->with([](const lab::StateService& model) -> std::uint32_t {
      const auto at = model.items().find(schema::kLevelKey);
      if (at == model.items().end()) return 0;
      const schema::StoredSchema stored = schema::decode_stored(at->second.value);
      return stored.settled ? stored.level : 0;
    });
  }
  void store_level(const Json& value) {
    state_->with([&](lab::StateService& model) {
      model.commit({{}, {{schema::kLevelKey, value, std::nullopt}}});
    });
  }

  void lower_limits() {
    state_->with([](lab::StateService& model) { model.limit({500, 100, 2, 4}); });
  }

  std::string policy_;  // its file; empty: none
  std::unique_ptr<lab::StateServer> state_;
  std::set<std::string> forever_;  // jobs whose tasks end only when they are stopped
  std::unique_ptr<lab::FleetServer> cloud_;
};

inline void EndToEnd::run_and_hang(const std::string& id, std::size_t tasks) {
  forever_.insert(id);
  ASSERT_TRUE(accepts(0, job(id, static_cast<int>(tasks))));
  ASSERT_TRUE(within(30, [&] { return cloud_->tasks_of(id) == tasks; }));
  ASSERT_TRUE(within(30, [&] { return phase(0, id) == "running"; }));
  ASSERT_GT(cloud_->hang_machines_of(id), 0u);
}

inline void EndToEnd::pipelines(const std::string& name) {
  const auto id = [&](int i) { return "j-" + name + std::to_string(i); };
  ASSERT_TRUE(accepts(0, job(id(0), 3)));
  ASSERT_TRUE(accepts(1, after(id(1), 9, {id(0)})));
  ASSERT_TRUE(accepts(2, after(id(2), 2, {id(1), id(0), id(1)})));
  forever_.insert(id(3));
  ASSERT_TRUE(accepts(0, job(id(3), 1)));
  ASSERT_TRUE(accepts(1, after(id(4), 2, {id(3)})));
  ASSERT_TRUE(accepts(2, after(id(5), 2, {id(4), id(0)})));
  const Json stranger = after(id(6), 1, {"j-never"});
  EXPECT_EQ(submit(0, stranger), 422);
  ASSERT_TRUE(within(
      20, [&] { return ask(1, "POST", "/submissions/" + id(3) + "/withdraw").status == 200; }));
  EXPECT_TRUE(accepts(2, after(id(7), 1, {id(3)}))) << "accepted, and cancelled with it";
  for (int i : {4, 5, 7}) {
    EXPECT_TRUE(within(20, [&] { return phase(i % kNodes, id(i)) == "aborted"; })) << i;
  }
  EXPECT_TRUE(within(60, [&] { return phase(0, id(2)) == "done"; }));
  EXPECT_EQ(submit(1, after(id(5), 2, {id(4), id(0)})), 200) << "known, whatever it needs";
  EXPECT_TRUE(accepts(1, after(id(8), 1, {id(0), id(2)}))) << "all of it is over";
  EXPECT_TRUE(within(60, [&] { return phase(2, id(8)) == "done"; }));
}

// What stands under the key, with its revision; 0: nothing.
inline std::pair<Json, std::uint64_t> stored(lab::StateServer& state, const std::string& key) {
  return state.with([&](const lab::StateService& model) -> std::pair<Json, std::uint64_t> {
    const auto at = model.items().find(key);
    if (at == model.items().end()) return {Json(), 0};
    return {at->second.value, at->second.revision};
  });
}

// All ways between nodes and to the key-value store, each of which can be cut; workers and users
// are not.
class CutOff : public EndToEnd {
 protected:
  std::uint16_t way(int from, std::uint16_t to, int other) override {
    const std::uint16_t port = ports_.reserve();
    ways_.push_back({from, other, std::make_unique<Proxy>(port, to)});
    return port;
  }
  void cut(int node, bool cut) {
    for (auto& [from, other, proxy] : ways_) {
      if (from == node || other == node) proxy->cut(cut);
    }
  }
  void cut_state(bool cut) {
    for (auto& [from, other, proxy] : ways_) {
      if (from == other) proxy->cut(cut);
    }
  }
  // What a worker that comes to the node is told.
  int status_for_a_worker(int node) {
    const Json report{{"host", "n-999999"},      {"address", "127.0.0.1:1"},
                      {"rig", "small"},          {"hall", "a"},
                      {"loaner", true},          {"tenure", 1},
                      {"tick", ++tick_},         {"baton", 0},
                      {"reclaim_in_s", nullptr}, {"pieces", Json::array()}};
    return clients_[node]->call("POST", "/v1/report", &report, 5000ms).status;
  }
  void TearDown() override {
    EndToEnd::TearDown();
    ways_.clear();
  }

  struct Way {
    int from, other;
    std::unique_ptr<Proxy> proxy;
  };
  std::vector<Way> ways_;
  std::uint64_t tick_ = 0;
};

}  // namespace reachramp::test
