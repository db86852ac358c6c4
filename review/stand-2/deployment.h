// A small deployment on loopback for the cases of this review: the controllers are real processes,
// started with the command of the deploy file; the state service, the cloud and its workers are the
// project's own emulators. Proxies that can fail stand between the controllers, before the state
// service, which tells the controllers apart, and before the controllers' address for workers.
#pragma once

#include <fmt/format.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "kv/steady_clock.h"
#include "loopback/child_process.h"
#include "loopback/controller_processes.h"
#include "loopback/fleet_server.h"
#include "loopback/state_server.h"
#include "ports.h"
#include "proxy.h"
#include "wire/http.h"

namespace reachramp::review {

using wire::Json;
using namespace std::chrono_literals;

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCannotRun = 2;
// A case counts only if this machine never kept a program waiting for longer.
inline constexpr double kLongestStall_s = 1;

inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Whether the case runs with its disruption: the variable TROUBLE, which run.sh passes on, is not
// 0.
inline bool trouble = true;
inline bool with_trouble() { return trouble; }

// Watches whether this machine lets programs run in time. Where it stalls, a case proves nothing.
class StallWatch {
 public:
  StallWatch() : thread_([this] { run(); }) {}
  ~StallWatch() {
    stopping_ = true;
    thread_.join();
  }
  // The longest delay so far of a pause of 0.1 s, in seconds.
  double longest_s() const { return longest_s_; }

 private:
  void run() {
    while (!stopping_) {
      const double before = kv::steady_now();
      sleep_s(0.1);
      longest_s_ = std::max(longest_s_.load(), kv::steady_now() - before - 0.1);
    }
  }
  std::atomic<bool> stopping_{false};
  std::atomic<double> longest_s_{0};
  std::thread thread_;
};

// The file record.txt: what was sent, answered and run, a line each, in seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), began_at_(kv::steady_now()) {}
  // Adds a line.
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << fmt::format("{:8.3f} {}\n", now(), text) << std::flush;
  }
  // Adds a line and prints it.
  void say(const std::string& text) {
    line(text);
    std::cout << fmt::format("{:8.3f} {}\n", now(), text) << std::flush;
  }
  // Seconds since the start.
  double now() const { return kv::steady_now() - began_at_; }
  double began_at() const { return began_at_; }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const double began_at_;
};

// The figures of a deployment.
struct Site {
  int nodes = 3;
  std::vector<std::string> node_zones{"a"};  // node i is in zone i modulo their number
  std::vector<settings::Team> teams{{"crew", 0, 0, 0, 0}};
  settings::WorkerTimings workers;
  settings::StoreLimits store;
  settings::CloudLimits cloud;
  int fd_limit = 700;
  double ram_mb = 72;
  cloud::Catalog catalog;
  std::map<lab::PoolKey, int> capacity;
};

// An answer to a user.
struct Answer {
  int status = 0;  // 0: no answer in time
  std::string phase;
  std::string text() const {
    return status == 0 ? "no answer" : fmt::format("{} {}", status, phase);
  }
};

class Deployment {
 public:
  Deployment(const Site& site, Record& record, const std::string& program,
             const std::string& folder)
      : site_(site), record_(record), program_(program), folder_(folder) {
    std::filesystem::create_directories(folder_);
    store_ = std::make_unique<lab::StateServer>(site.store, 1);
    lab::FleetSpec fleet;
    fleet.cloud.catalog = site.catalog;
    fleet.cloud.capacity = site.capacity;
    fleet.cloud.limits = site.cloud;
    fleet.workers = site.workers;
    fleet.teams = site.teams;
    fleet.worker_port = ports_.reserve();
    const std::uint16_t cloud_port = ports_.reserve();
    for (int i = 0; i < site.nodes; ++i) {
      settings::Platform platform;
      platform.node_name = name_of(i);
      platform.failure_domain = site.node_zones[i % site.node_zones.size()];
      platform.serve_on = {"127.0.0.1", ports_.reserve()};
      platform.cluster_listen = {"127.0.0.1", ports_.reserve()};
      const std::uint16_t store_port = ports_.reserve();
      store_->listen_for_node(platform.node_name, store_port);
      platform.store_address = through(state_links_, i, {"127.0.0.1", store_port});
      platform.cloud_address = {"127.0.0.1", cloud_port};
      platform.teams = site.teams;
      platform.worker_timings = site.workers;
      platform.store_limits = site.store;
      platform.cloud_limits = site.cloud;
      platform.fd_limit = site.fd_limit;
      platform.ram_mb = site.ram_mb;
      fleet.controllers[platform.node_name] = through(worker_links_, i, platform.serve_on);
      platforms_.push_back(platform);
    }
    for (auto& platform : platforms_) {
      for (const auto& other : platforms_) {
        if (other.node_name == platform.node_name) continue;
        platform.members.push_back(
            {other.node_name, other.failure_domain,
             through(peer_links_, {number_of(platform), number_of(other)}, other.cluster_listen)});
      }
      std::ofstream(settings_file(platform.node_name)) << lab::platform_toml(platform);
    }
    pids_.assign(site.nodes, 0);
    fleet_ = std::make_unique<lab::FleetServer>(fleet, cloud_port, 1);
  }
  ~Deployment() {
    for (int i = 0; i < site_.nodes; ++i) kill_node(i);
  }
  Deployment(const Deployment&) = delete;

  // The proxies: between a node and the state service, between workers and a node, and from a node
  // to another one.
  Proxy& state_link(int node) { return *state_links_.at(node); }
  Proxy& worker_link(int node) { return *worker_links_.at(node); }
  Proxy& peer_link(int from, int to) { return *peer_links_.at({from, to}); }

  static std::string name_of(int node) { return "rampnode-" + std::to_string(node); }
  int nodes() const { return site_.nodes; }
  lab::StateServer& store() { return *store_; }
  lab::FleetServer& fleet() { return *fleet_; }

  // The process stays in the process group of this program, so that `timeout` ends it, too.
  void start_node(int node) {
    pids_[node] = lab::spawn({.program = program_,
                              .arguments = {"serve", "--config", settings_file(name_of(node))},
                              .log_file = folder_ + "/" + name_of(node) + ".log",
                              .own_process_group = false});
    record_.say(fmt::format("{} started", name_of(node)));
  }
  void start_all() {
    for (int i = 0; i < site_.nodes; ++i) start_node(i);
  }
  void kill_node(int node) {
    if (pids_[node] == 0) return;
    ::kill(pids_[node], SIGCONT);
    lab::kill_and_wait(pids_[node]);
    pids_[node] = 0;
    record_.say(fmt::format("{} killed", name_of(node)));
  }
  void signal_node(int node, int signal) {
    if (pids_[node] != 0) ::kill(pids_[node], signal);
    record_.say(fmt::format("{} gets signal {}", name_of(node), signal));
  }
  pid_t pid_of(int node) const { return pids_[node]; }
  // Whether the process has not ended by itself.
  bool is_running(int node) {
    if (pids_[node] != 0 && ::waitpid(pids_[node], nullptr, WNOHANG) == pids_[node])
      pids_[node] = 0;
    return pids_[node] != 0;
  }
  // Whether all controllers run. Where one has ended by itself, a case proves nothing.
  bool all_running() {
    for (int i = 0; i < site_.nodes; ++i) {
      if (is_running(i)) continue;
      record_.say(name_of(i) + " has ended by itself");
      return false;
    }
    return true;
  }
  // The node that the key `leader` names; -1: none.
  int leader() {
    return store_->with_model([&](const lab::StateService& model) {
      const auto at = model.items().find("leader");
      if (at == model.items().end()) return -1;
      for (int i = 0; i < site_.nodes; ++i) {
        if (at->second.value.value("node", "") == name_of(i)) return i;
      }
      return -1;
    });
  }
  bool is_ready(int node) {
    wire::Client client(platforms_[node].serve_on, 0, wire::kMaxBody_bytes);
    return client.call("GET", "/ready", nullptr, 1000ms).status == 200;
  }
  // Waits until all nodes are ready and one of them leads.
  bool wait_until_ready(double seconds) {
    return within(seconds, [&] {
      if (leader() < 0) return false;
      for (int i = 0; i < site_.nodes; ++i) {
        if (!is_ready(i)) return false;
      }
      return true;
    });
  }

  // One request of a user on a connection of its own.
  Answer ask(int node, const char* method, const std::string& path, const Json* body,
             std::chrono::milliseconds timeout) {
    wire::Client client(platforms_[node].serve_on, 0, wire::kMaxBody_bytes);
    const wire::CallResult result = client.call(method, path, body, timeout);
    Answer answer;
    if (result.received_response) answer.status = result.status;
    if (answer.status == 200 || answer.status == 201) answer.phase = result.body.value("phase", "");
    record_.line(
        fmt::format("user -> {}: {} {} -> {}", name_of(node), method, path, answer.text()));
    return answer;
  }
  Answer poll(int node, const std::string& id) {
    return ask(node, "GET", "/submissions/" + id, nullptr, 2000ms);
  }
  Answer withdraw(int node, const std::string& id) {
    return ask(node, "POST", "/submissions/" + id + "/withdraw", nullptr, 5000ms);
  }
  Answer submit_once(int node, const Json& body) {
    return ask(node, "POST", "/submissions", &body, 5000ms);
  }
  // Uploads the job for the workers and submits it as a user does: repeated for up to 60 s, at
  // nodes in turn, until it is accepted or refused. Returns the last answer.
  Answer submit(int first_node, const Json& body, double run_time_s) {
    fleet_->upload({jobs::decode_spec(body), run_time_s, false});
    const double end = kv::steady_now() + 60;
    Answer answer;
    for (int node = first_node; kv::steady_now() < end; node = (node + 1) % site_.nodes) {
      answer = submit_once(node, body);
      if (answer.status != 0 && answer.status != 503 && answer.status != 504) return answer;
      sleep_s(1);
    }
    return answer;
  }

  template <class Condition>
  bool within(double seconds, Condition condition) {
    const double end = kv::steady_now() + seconds;
    while (kv::steady_now() < end) {
      if (condition()) return true;
      sleep_s(0.05);
    }
    return false;
  }

  // Adds to the record what ran where, and which rules the emulated workers saw broken.
  std::vector<std::string> record_machines() {
    for (const std::string& text : fleet_->history()) record_.line("machines: " + text);
    std::vector<std::string> violations = fleet_->rule_violations();
    for (const std::string& text : violations) record_.say("broken: " + text);
    return violations;
  }

 private:
  // Puts a proxy before the target and returns its address.
  template <class Links>
  wire::Address through(Links& links, typename Links::key_type key, const wire::Address& target) {
    const std::uint16_t port = ports_.reserve();
    links[key] = std::make_unique<Proxy>(port, target);
    return {"127.0.0.1", port};
  }
  int number_of(const settings::Platform& platform) const {
    return static_cast<int>(&platform - platforms_.data());
  }
  std::string settings_file(const std::string& node) const {
    return folder_ + "/" + node + ".toml";
  }

  const Site site_;
  Record& record_;
  const std::string program_;
  const std::string folder_;
  Ports ports_;
  std::vector<settings::Platform> platforms_;
  std::vector<pid_t> pids_;
  std::unique_ptr<lab::StateServer> store_;
  std::unique_ptr<lab::FleetServer> fleet_;
  std::map<int, std::unique_ptr<Proxy>> state_links_, worker_links_;
  std::map<std::pair<int, int>, std::unique_ptr<Proxy>> peer_links_;
};

// The submission of an array of one-core tasks.
inline Json array_job(const std::string& id, const std::string& team, int tasks) {
  return {{"ref", id},
          {"jobclass", "c"},
          {"owner", team},
          {"shape", "array"},
          {"urgency", "normal"},
          {"pieces", tasks},
          {"vcpus", 1.0},
          {"accelerators", 0.0},
          {"ram_gb", 1.0},
          {"bundle", "img"},
          {"pull_gb", 0.1},
          {"rigs", nullptr},
          {"hall", nullptr},
          {"together", false},
          {"scatter", false},
          {"loaner", true},
          {"expected_s", 1.0},
          {"snapshot_every_s", 0.0},
          {"snapshot_cost_s", 0.0},
          {"due_s", nullptr}};
}

// Runs a case: `play` gets the record and a temporary folder, and returns the exit code.
inline int run_case(int argc, char** argv,
                    const std::function<int(Record&, const std::string& program,
                                            const std::string& folder)>& play) {
  if (argc != 4) {
    std::cerr << "usage: " << argv[0] << " PROGRAM RECORD TROUBLE\n";
    return kCannotRun;
  }
  trouble = std::string(argv[3]) != "0";
  ::signal(SIGPIPE, SIG_IGN);
  const std::string folder =
      (std::filesystem::temp_directory_path() / fmt::format("reachramp-review-{}", getpid()))
          .string();
  int code = kCannotRun;
  try {
    Record record(argv[2]);
    record.say(trouble ? "with the disruption" : "without the disruption");
    const StallWatch stalls;
    code = play(record, argv[1], folder);
    if (stalls.longest_s() > kLongestStall_s) {
      record.say(fmt::format("this machine stalled for {:.1f} s", stalls.longest_s()));
      code = kCannotRun;
    }
    record.say(code == kRuleBroken ? "the rule was broken"
               : code == kRuleHeld ? "the rule held"
                                   : "the case could not run");
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder);
  return code;
}

}  // namespace reachramp::review
