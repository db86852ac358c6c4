// A small deployment for the cases of the review: real controller processes on loopback, beside the
// project's emulators of the state service, the cloud and the workers, which run in this process.
// Every node reaches the state service through a port of its own.
#pragma once

#include <arpa/inet.h>
#include <fmt/format.h>
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "kv/steady_clock.h"
#include "loopback/child_process.h"
#include "loopback/controller_processes.h"
#include "loopback/fleet_server.h"
#include "loopback/state_server.h"
#include "settings/settings.h"

namespace review {

using namespace reachramp;
using kv::steady_now;
using wire::Json;

inline constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

// Thrown if the case cannot run: the situation that it needs did not come about.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes record.txt, a line for each event, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), begin_(steady_now()) {}
  double now() const { return steady_now() - begin_; }
  // The time `at` of steady_now() as shown in the record.
  double shown(double at) const { return at - begin_; }
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << fmt::format("{:8.3f}  {}\n", now(), text) << std::flush;
  }
  void raw(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << text << "\n" << std::flush;
  }

 private:
  std::ofstream file_;
  double begin_;
  std::mutex mutex_;
};

// Reserves loopback ports that are free and keeps them reserved: a bound socket that does not
// listen. A server with SO_REUSEADDR can listen there.
class Ports {
 public:
  ~Ports() {
    for (const int socket : sockets_) ::close(socket);
  }
  std::uint16_t reserve() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0)
      throw CannotRun("no free port");
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockets_.push_back(socket);
    return ntohs(address.sin_port);
  }

 private:
  std::vector<int> sockets_;
};

// An answer to a user.
struct Answer {
  int status = 0;  // 0: none within the time that users wait
  std::string phase;
  double sent_at = 0, answered_at = 0;
};

// Stands between one node and the state service, so that the service can refuse this node alone as
// PROTOCOL says: new requests get 503, and watches that are open wait as in an outage. (The
// emulator's own refusal goes on answering open watches.)
class Gate {
 public:
  Gate(std::uint16_t port, const wire::Address& service)
      : client_(service, 64, 8 * 1024 * 1024),
        limiter_(200),
        server_(
            {"127.0.0.1", port}, limiter_, wire::ClientKind::user,
            [](const wire::Request&) { return wire::ClientKind::user; },
            [this](const wire::Request& request) { return serve(request); }) {}
  void set_refused(bool refused) { refused_ = refused; }

 private:
  wire::Response serve(const wire::Request& request) {
    if (refused_) return {503, {{"error", "trouble"}}};
    std::optional<Json> body;
    if (!request.body.empty()) body = wire::decode_map(request.body);
    const std::string target = request.path + (request.query.empty() ? "" : "?" + request.query);
    const wire::CallResult answer = client_.call(request.method.c_str(), target,
                                                 body ? &*body : nullptr, std::chrono::seconds(70));
    while (refused_ && request.path == "/follow") sleep_s(0.01);
    if (!answer.received_response) return {503, {{"error", "trouble"}}};
    return {answer.status, answer.body, answer.retry_after_s};
  }

  std::atomic<bool> refused_{false};
  wire::Client client_;
  wire::ConnectionLimiter limiter_;
  wire::Server server_;
};

// What a case chooses of its deployment.
struct SiteSpec {
  bool gates = false;  // each node reaches the state service through a Gate
  int nodes = 3;
  settings::WorkerTimings timings;
  settings::StoreLimits store;
  settings::CloudLimits cloud;
  std::vector<settings::Team> teams;
  double ram_mb = 72;
  int fd_limit = 1500;
  cloud::Catalog catalog;
  std::map<lab::PoolKey, int> capacity;
};

class Site {
 public:
  Site(std::string program, std::string folder, Record& record, const SiteSpec& spec)
      : program_(std::move(program)), folder_(std::move(folder)), record_(record), spec_(spec) {
    const std::uint16_t cloud_port = ports_.reserve();
    store_ = std::make_unique<lab::StateServer>(spec.store, 1);
    lab::FleetSpec fleet;
    fleet.cloud.catalog = spec.catalog;
    fleet.cloud.capacity = spec.capacity;
    fleet.cloud.limits = spec.cloud;
    fleet.workers = spec.timings;
    fleet.teams = spec.teams;
    fleet.worker_port = ports_.reserve();
    for (int i = 0; i < spec.nodes; ++i) {
      settings::Platform platform;
      platform.node_name = name(i);
      platform.failure_domain = "a";
      platform.serve_on = {"127.0.0.1", ports_.reserve()};
      platform.cluster_listen = {"127.0.0.1", ports_.reserve()};
      platform.cloud_address = {"127.0.0.1", cloud_port};
      platform.store_address = {"127.0.0.1", ports_.reserve()};
      platform.teams = spec.teams;
      platform.worker_timings = spec.timings;
      platform.store_limits = spec.store;
      platform.cloud_limits = spec.cloud;
      platform.ram_mb = spec.ram_mb;
      platform.fd_limit = spec.fd_limit;
      if (spec.gates) {
        const std::uint16_t behind = ports_.reserve();
        store_->listen_for_node(platform.node_name, behind);
        gates_.push_back(std::make_unique<Gate>(platform.store_address.port,
                                                wire::Address{"127.0.0.1", behind}));
      } else {
        store_->listen_for_node(platform.node_name, platform.store_address.port);
      }
      fleet.controllers[platform.node_name] = platform.serve_on;
      platforms_.push_back(platform);
    }
    for (auto& platform : platforms_) {
      for (const auto& other : platforms_) {
        if (other.node_name != platform.node_name)
          platform.members.push_back({other.node_name, other.failure_domain, other.cluster_listen});
      }
      std::ofstream file(folder_ + "/" + platform.node_name + ".toml");
      file << lab::platform_toml(platform);
      if (!file.flush()) throw CannotRun("cannot write to " + folder_);
    }
    fleet_ = std::make_unique<lab::FleetServer>(fleet, cloud_port, 1);
    pids_.resize(static_cast<std::size_t>(spec.nodes));
  }
  ~Site() {
    for (int i = 0; i < spec_.nodes; ++i) kill(i);
  }
  Site(const Site&) = delete;

  static std::string name(int node) { return "rampnode-" + std::to_string(node); }
  const settings::Platform& platform(int node) const { return platforms_.at(index(node)); }

  // The command of the deploy file.
  void start(int node) {
    pids_[index(node)] =
        lab::spawn({.program = program_,
                    .arguments = {"serve", "--config", folder_ + "/" + name(node) + ".toml"},
                    .log_file = folder_ + "/" + name(node) + ".log",
                    .log_level = "info",
                    .own_process_group = true});
    std::ofstream(folder_ + "/pids", std::ios::app)
        << pids_[index(node)] << " " << name(node) << "\n";
    record_.line(fmt::format("{} started, process {}", name(node), pids_[index(node)]));
  }
  void start_all() {
    for (int i = 0; i < spec_.nodes; ++i) start(i);
  }
  void kill(int node) {
    pid_t& pid = pids_[index(node)];
    if (pid == 0) return;
    lab::kill_and_wait(pid);
    record_.line(fmt::format("{} killed, process {}", name(node), pid));
    pid = 0;
  }
  void signal(int node, int number) {
    if (pids_[index(node)] != 0) ::kill(pids_[index(node)], number);
    record_.line(fmt::format("{} gets signal {}", name(node), number));
  }
  // Whether a controller has ended by itself; throws if so.
  bool ended_by_itself(int node) {
    pid_t& pid = pids_[index(node)];
    if (pid == 0 || ::waitpid(pid, nullptr, WNOHANG) != pid) return false;
    record_.line(fmt::format("{} has ended by itself, process {}", name(node), pid));
    pid = 0;
    return true;
  }

  // The node that the state service names as the leader; -1: none.
  int leader() {
    const Json value = store_->with_model([](const lab::StateService& model) {
      const auto at = model.items().find("leader");
      return at == model.items().end() ? Json() : at->second.value;
    });
    for (int i = 0; i < spec_.nodes; ++i) {
      if (value.is_object() && value.value("node", "") == name(i)) return i;
    }
    return -1;
  }

  void wait(const std::string& what, double seconds, const std::function<bool()>& condition) {
    const double end = steady_now() + seconds;
    while (steady_now() < end) {
      if (condition()) {
        record_.line("reached: " + what);
        return;
      }
      sleep_s(0.05);
    }
    throw CannotRun("not reached: " + what);
  }

  // One request of a user on a connection of its own.
  Answer call(int node, const char* method, const std::string& path, const Json* body,
              double timeout_s, bool recorded = true) {
    wire::Client client(platform(node).serve_on, 0, wire::kMaxBody_bytes);
    Answer answer;
    answer.sent_at = steady_now();
    const wire::CallResult result = client.call(
        method, path, body, std::chrono::milliseconds(static_cast<int>(timeout_s * 1000)));
    answer.answered_at = steady_now();
    if (result.received_response) answer.status = result.status;
    if (result.body.is_object() && result.body.contains("phase"))
      answer.phase = result.body.value("phase", "");
    if (recorded) {
      record_.line(fmt::format("{} {} at {}, sent {:.3f} -> {} {}", method, path, name(node),
                               record_.shown(answer.sent_at), answer.status, answer.phase));
    }
    return answer;
  }
  Answer query(int node, const std::string& id) {
    return call(node, "GET", "/submissions/" + id, nullptr, 2);
  }
  // Uploads the job for the workers and submits it until it is accepted, as users do.
  void submit(int node, const Json& body, double run_time_s) {
    const jobs::Spec spec = jobs::decode_spec(body);
    fleet_->upload({spec, run_time_s, false});
    const double end = steady_now() + 60;
    while (steady_now() < end) {
      const Answer answer = call(node, "POST", "/submissions", &body, 5);
      if (answer.status == 200 || answer.status == 201) return;
      if (answer.status == 400 || answer.status == 422) throw CannotRun("refused: " + spec.id);
      sleep_s(1);
      node = (node + 1) % spec_.nodes;
    }
    throw CannotRun("not accepted: " + spec.id);
  }

  Gate& gate(int node) { return *gates_.at(index(node)); }
  lab::StateServer& store() { return *store_; }
  lab::FleetServer& fleet() { return *fleet_; }
  int nodes() const { return spec_.nodes; }

 private:
  static std::size_t index(int node) { return static_cast<std::size_t>(node); }

  std::string program_, folder_;
  Record& record_;
  SiteSpec spec_;
  Ports ports_;
  std::vector<settings::Platform> platforms_;
  std::unique_ptr<lab::StateServer> store_;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::unique_ptr<lab::FleetServer> fleet_;
  std::vector<pid_t> pids_;
};

// A submission as in PROTOCOL, an array with one core a task; `change` overwrites fields.
inline Json job(const std::string& id, const std::string& team, int pieces, const Json& change) {
  Json body{{"ref", id},
            {"jobclass", "batch"},
            {"owner", team},
            {"shape", "array"},
            {"urgency", "normal"},
            {"pieces", pieces},
            {"vcpus", 1.0},
            {"accelerators", 0.0},
            {"ram_gb", 1.0},
            {"bundle", "img-01"},
            {"pull_gb", 0.1},
            {"rigs", nullptr},
            {"hall", nullptr},
            {"together", false},
            {"scatter", false},
            {"loaner", false},
            {"expected_s", 30.0},
            {"snapshot_every_s", 0.0},
            {"snapshot_cost_s", 0.0},
            {"due_s", nullptr}};
  body.update(change);
  return body;
}

// Runs the case: `run(site program, folder, record, trouble)` returns an exit code.
template <class Run>
int run_case(int argc, char** argv, Run run) {
  if (argc != 5) {
    std::cerr << "usage: case PROGRAM FOLDER RECORD TROUBLE\n";
    return kCannotRun;
  }
  spdlog::set_default_logger(spdlog::stderr_logger_mt("review"));
  spdlog::set_level(spdlog::level::err);
  ::signal(SIGPIPE, SIG_IGN);
  Record record(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  record.line(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  int result = kCannotRun;
  try {
    result = run(argv[1], argv[2], record, trouble);
  } catch (const std::exception& error) {
    record.line(std::string("could not run: ") + error.what());
    std::cout << "could not run: " << error.what() << "\n";
    return kCannotRun;
  }
  const char* verdict = result == kHeld     ? "the rule held"
                        : result == kBroken ? "the rule was broken"
                                            : "the case could not run";
  record.line(verdict);
  std::cout << verdict << "\n" << std::flush;
  return result;
}

}  // namespace review
