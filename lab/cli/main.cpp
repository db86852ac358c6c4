// ramplab: emulates everything that reachramp's controllers talk to (cloud, key-value store,
// workers, users) on one machine and runs real controllers against it.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "kv/steady_clock.h"
#include "load/load.h"
#include "loopback/balancer.h"
#include "loopback/controller_processes.h"
#include "loopback/fleet_server.h"
#include "loopback/state_server.h"

namespace {

using namespace reachramp;
using kv::steady_now;

constexpr int kExitBroken = 1;     // a rule was broken, or a user's job was lost or did not end
constexpr int kExitCannotRun = 2;  // invalid arguments, a port in use, a missing program

std::atomic<bool> stopping{false};
void on_signal(int) { stopping = true; }

// Options of `ramplab up`.
struct UpOptions {
  std::string program = "target/bin/reachramp";
  std::string folder;
  int nodes = 3;
  int machines = 40;
  int base_port = 18100;
  std::uint64_t seed = 1;
  double run_for_s = 0;
  double kill_leader_after_s = 0;
  double jobs_per_second = 0;
  double submit_for_s = 30;
};

std::string node_name(int i) { return "rampnode-" + std::to_string(i); }

std::string address_text(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

wire::Address loopback_address(int port) { return {"127.0.0.1", static_cast<std::uint16_t>(port)}; }

// The settings that all controllers share: a small site with few faults. Its figures are chosen for
// the emulator and describe no real site.
settings::Platform common_settings(const UpOptions& up) {
  settings::Platform p;
  p.teams = {{"crew", 0, 0, 0, 0}};
  p.worker_timings = {1, 10, 30, 5, 30};
  p.store_limits = {500, 60, 8, 8};
  p.cloud_limits = {10, 2};
  p.fd_limit = 700;
  p.ram_mb = 128;
  p.store_address = loopback_address(up.base_port);
  p.cloud_address = loopback_address(up.base_port + 1);
  return p;
}

lab::FleetSpec make_fleet_spec(const UpOptions& up, const settings::Platform& p) {
  lab::FleetSpec fleet;
  fleet.cloud.catalog = {{"small", 4, 0, 16, 30, 0.5, 0.2, 0.06, 5, {"north", "south"}},
                         {"large", 32, 0, 128, 60, 0.5, 1.4, 0.5, 8, {"north", "south"}}};
  for (const auto& type : fleet.cloud.catalog) {
    for (const auto& zone : type.zones) {
      const int share = type.name == "small" ? up.machines * 4 / 5 / 4 : up.machines / 5 / 4;
      for (const bool spot : {true, false}) {
        fleet.cloud.capacity[{type.name, zone, spot}] = std::max(1, share);
      }
    }
  }
  fleet.cloud.limits = p.cloud_limits;
  fleet.cloud.spot_reclaims_per_hour = 1;
  fleet.cloud.unannounced_reclaim_share = 0.3;
  fleet.workers = p.worker_timings;
  fleet.teams = p.teams;
  fleet.worker_port = static_cast<std::uint16_t>(up.base_port + 3);
  return fleet;
}

// The name of the node that the store's `leader` key names; empty if there is none.
std::string leader_name(lab::StateServer& state) {
  return state.with_model([](const lab::StateService& model) {
    const auto key = model.items().find("leader");
    return key == model.items().end() ? std::string() : key->second.value.value("node", "");
  });
}

// The figures in a line of progress on standard output.
struct Counts {
  std::size_t live_jobs = 0, ended_jobs = 0, machines = 0;
  double total_cost = 0;
};

Counts read_counts(lab::StateServer& state, lab::FleetServer& fleet) {
  Counts counts;
  state.with_model([&](const lab::StateService& model) {
    counts.live_jobs = model.list("job/").size();
    counts.ended_jobs = model.list("end/").size();
    return 0;
  });
  fleet.with_cloud([&](const lab::Cloud& cloud) {
    for (const auto& [name, machine] : cloud.machines()) {
      counts.machines += machine.up_reported && !machine.gone_reported ? 1 : 0;
    }
    counts.total_cost = cloud.total_cost(steady_now());
    return 0;
  });
  return counts;
}

void print_result(const lab::LoadGenerator::Result& result) {
  std::cout << fmt::format(
      "users: {} submitted, {} accepted (50% within {:.0f} ms, 99% within {:.0f} ms), {} done (50% "
      "within {:.1f} s, 99% within {:.1f} s), {} withdrawn, {} without an end\n",
      result.submitted, result.accepted, result.accepted_p50_ms, result.accepted_p99_ms,
      result.done, result.done_p50_s, result.done_p99_s, result.aborted, result.without_end);
  for (const std::string& what : result.contradictions) std::cout << "broken: " << what << "\n";
}

// Whether every submitted job was accepted and has its end, and no response contradicted another.
bool load_succeeded(const lab::LoadGenerator::Result& result) {
  return result.contradictions.empty() && result.without_end == 0 &&
         result.accepted == result.submitted;
}

// Runs `ramplab up` and returns the exit code.
int run_up(UpOptions up) {
  if (up.folder.empty()) {
    up.folder =
        (std::filesystem::temp_directory_path() / fmt::format("ramplab-{}", getpid())).string();
  }
  std::filesystem::create_directories(up.folder);
  const settings::Platform p = common_settings(up);
  std::map<std::string, wire::Address> controllers;
  std::vector<settings::Platform> platforms;
  for (int i = 0; i < up.nodes; ++i) {
    settings::Platform platform = p;
    platform.node_name = node_name(i);
    platform.failure_domain = i % 2 == 0 ? "north" : "south";
    platform.serve_on = loopback_address(up.base_port + 10 + 2 * i);
    platform.cluster_listen = loopback_address(up.base_port + 11 + 2 * i);
    controllers[platform.node_name] = platform.serve_on;
    platforms.push_back(platform);
  }
  for (auto& platform : platforms) {
    for (const auto& other : platforms) {
      if (other.node_name != platform.node_name) {
        platform.members.push_back({other.node_name, other.failure_domain, other.cluster_listen});
      }
    }
  }
  lab::StateServer store(p.store_limits, up.seed);
  store.listen_for_node("all", p.store_address.port);
  lab::FleetSpec spec = make_fleet_spec(up, p);
  spec.controllers = controllers;
  lab::FleetServer fleet(spec, p.cloud_address.port, up.seed);
  lab::Balancer balancer(
      static_cast<std::uint16_t>(up.base_port + 2), controllers, fleet,
      [](const jobs::Spec& job) { return std::max(job.estimated_duration_s, 0.1); });
  lab::ControllerProcesses nodes(up.program, up.folder, platforms);
  for (const auto& platform : platforms) nodes.start(platform.node_name);

  std::cout << "users:         http://"
            << address_text(static_cast<std::uint16_t>(up.base_port + 2))
            << "/submissions (MessagePack)\nstate service: http://"
            << address_text(p.store_address.port) << "\ncloud:         http://"
            << address_text(p.cloud_address.port) << "\n";
  for (const auto& platform : platforms) {
    std::cout << platform.node_name << ":    http://" << address_text(platform.serve_on.port)
              << "\n";
  }
  std::cout << "settings, logs: " << up.folder << "\nCtrl-C ends it.\n" << std::flush;

  lab::LoadGenerator::Result result;
  std::atomic<bool> load_finished{up.jobs_per_second <= 0};
  std::thread load_thread;
  if (up.jobs_per_second > 0) {
    lab::LoadSpec load;
    load.address = loopback_address(up.base_port + 2);
    load.jobs_per_second = up.jobs_per_second;
    load.submit_for_s = up.submit_for_s;
    load.team = p.teams.front().name;
    load.withdrawn_share = 0.05;
    load_thread = std::thread([&, load] {
      result = lab::LoadGenerator(load, up.seed).run(stopping);
      load_finished = true;
    });
  }
  const double begin = steady_now();
  bool killed = up.kill_leader_after_s <= 0;
  std::string node_to_restart;
  double restart_at = 0, printed_at = begin;
  const bool is_terminal = isatty(STDOUT_FILENO) == 1;
  while (!stopping && !(up.jobs_per_second > 0 && load_finished) &&
         !(up.run_for_s > 0 && steady_now() - begin >= up.run_for_s)) {
    poll(nullptr, 0, 200);
    const double elapsed_s = steady_now() - begin;
    if (!killed && elapsed_s >= up.kill_leader_after_s) {
      const std::string name = leader_name(store);
      if (!name.empty()) {
        std::cout << fmt::format("{:6.1f} s  {} leads and is killed\n", elapsed_s, name)
                  << std::flush;
        nodes.kill(name);
        killed = true;
        node_to_restart = name;
        restart_at = elapsed_s + 6;
      }
    }
    if (!node_to_restart.empty() && elapsed_s >= restart_at) {
      nodes.start(std::exchange(node_to_restart, ""));
    }
    for (const auto& platform : platforms) {
      if (platform.node_name != node_to_restart && !nodes.is_running(platform.node_name)) {
        std::cout << platform.node_name << " has ended by itself; see its log\n";
        stopping = true;
      }
    }
    if (steady_now() - printed_at >= (is_terminal ? 1 : 5)) {
      printed_at = steady_now();
      const Counts counts = read_counts(store, fleet);
      std::cout << fmt::format(
                       "{:6.1f} s  leader {:<12} jobs {:4} live {:4} ended  machines {:4}  spent "
                       "{:.4f}\n",
                       elapsed_s, leader_name(store), counts.live_jobs, counts.ended_jobs,
                       counts.machines, counts.total_cost)
                << std::flush;
    }
  }
  const bool stopped_by_user = stopping.exchange(true);
  if (load_thread.joinable()) load_thread.join();
  if (up.jobs_per_second > 0) print_result(result);
  const std::vector<std::string> violations = fleet.rule_violations();
  for (const std::string& rule : violations) std::cout << "broken: " << rule << "\n";
  std::cout << (violations.empty() ? "no rule broken\n" : "");
  if (!violations.empty()) return kExitBroken;
  return up.jobs_per_second > 0 && !stopped_by_user && !load_succeeded(result) ? kExitBroken : 0;
}

// Runs `ramplab load` and returns the exit code.
int run_load(const lab::LoadSpec& spec, std::uint64_t seed) {
  const lab::LoadGenerator::Result result = lab::LoadGenerator(spec, seed).run(stopping);
  print_result(result);
  return load_succeeded(result) ? 0 : kExitBroken;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"ramplab: a cloud, a state service, workers and users for reachramp, emulated"};
  app.set_version_flag("--version", "ramplab " REACHRAMP_VERSION);
  app.require_subcommand(1);
  app.footer("Exit codes: 0 no rule broken and every job has its end, 1 otherwise, 2 cannot run.");
  UpOptions up;
  CLI::App* run = app.add_subcommand("up", "serve the models beside real controllers");
  run->add_option("--program", up.program, "the reachramp program")->check(CLI::ExistingFile);
  run->add_option("--folder", up.folder, "settings and logs of the nodes (default: a new one)");
  run->add_option("--nodes", up.nodes, "controllers")->check(CLI::Range(1, 9));
  run->add_option("--machines", up.machines, "machines that the cloud has at most")
      ->check(CLI::Range(8, 1000));
  run->add_option("--base-port", up.base_port, "the first of some thirty ports that are used")
      ->check(CLI::Range(1024, 65000));
  run->add_option("--seed", up.seed, "of all that is drawn by lot");
  run->add_option("--for", up.run_for_s, "seconds, then end (default: until Ctrl-C)");
  run->add_option("--load", up.jobs_per_second,
                  "submit so many jobs a second, and end when all have theirs");
  run->add_option("--load-for", up.submit_for_s, "seconds during which jobs are submitted");
  run->add_option("--kill-leader", up.kill_leader_after_s, "kill the leader after so many seconds");
  lab::LoadSpec load;
  load.team = "crew";
  std::string to = "127.0.0.1:18102";
  std::uint64_t seed = 1;
  CLI::App* users =
      app.add_subcommand("load", "submit jobs to a running `up`, at a rate of their own");
  users->add_option("--to", to, "where users are served");
  users->add_option("--rate", load.jobs_per_second, "jobs a second")->check(CLI::PositiveNumber);
  users->add_option("--for", load.submit_for_s, "seconds during which jobs are submitted");
  users->add_option("--tasks", load.tasks_per_job, "tasks of a job")->check(CLI::Range(1, 100000));
  users->add_option("--run", load.task_run_time_s, "seconds that a task runs")
      ->check(CLI::PositiveNumber);
  users->add_option("--team", load.team, "whose jobs they are");
  users->add_option("--withdrawn", load.withdrawn_share, "share that is withdrawn")
      ->check(CLI::Range(0.0, 1.0));
  users->add_option("--wait", load.max_wait_s, "seconds that a user waits for the end of a job");
  users->add_option("--seed", seed, "of all that is drawn by lot");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitCannotRun;
  }
  spdlog::set_default_logger(spdlog::stderr_logger_mt("ramplab"));
  spdlog::set_level(spdlog::level::err);
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGINT, on_signal);
  ::signal(SIGTERM, on_signal);
  try {
    if (run->parsed()) return run_up(up);
    load.address = wire::parse_address(to);
    return run_load(load, seed);
  } catch (const std::exception& error) {
    std::cerr << "ramplab: " << error.what() << "\n";
    return kExitCannotRun;
  }
}
