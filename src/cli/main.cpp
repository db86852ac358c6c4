// The command `reachramp`: `serve` runs a controller node, `check` validates its settings.
#include <malloc.h>
#include <pthread.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "controller/server.h"
#include "drains/policy_file_watcher.h"
#include "leadership/read_freshness.h"
#include "settings/settings.h"

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitFailure = 1;

// Logs to standard error. LOG_LEVEL sets the level; an unknown value counts as "info".
void configure_logging() {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("reachramp"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(spdlog::level::from_str(level == nullptr ? "info" : level));
  if (level != nullptr && std::string(level) != "off" &&
      spdlog::get_level() == spdlog::level::off) {
    spdlog::set_level(spdlog::level::info);
  }
}

// A controller node has little memory. Its threads share few heap arenas, freed memory goes back to
// the system early, and thread stacks have a fixed, small size.
void limit_memory_use() {
  mallopt(M_ARENA_MAX, 2);
  mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
  // ThreadSanitizer's thread-local storage exceeds such a stack: no thread could start.
#ifndef __SANITIZE_THREAD__
  constexpr std::size_t kThreadStack_bytes = 256 * 1024;
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStack_bytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
#endif
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"reachramp: a cluster scheduler on rented machines"};
  app.set_version_flag("--version", "reachramp " REACHRAMP_VERSION);
  app.require_subcommand(1);
  std::string config;
  std::string policy_path;
  const auto add_settings_options = [&](CLI::App* command) {
    command->add_option("--config", config, "the platform's settings (TOML)")->required();
    command->add_option("--policy", policy_path, "operators' policy (S-expressions)");
    return command;
  };
  CLI::App* serve = add_settings_options(app.add_subcommand("serve", "run a controller node"));
  add_settings_options(
      app.add_subcommand("check", "read the settings and say what is wrong with them"));
  CLI11_PARSE(app, argc, argv);

  configure_logging();
  limit_memory_use();
  std::signal(SIGPIPE, SIG_IGN);
  try {
    using namespace reachramp;
    const settings::Platform platform = settings::load_platform(config);
    const settings::Policy policy =
        policy_path.empty() ? settings::Policy{} : settings::load_policy(policy_path);
    if (policy.drains) drains::parse_drain_policy(*policy.drains, platform, policy_path);
    if (!serve->parsed()) {
      std::cout << "settings are valid\n";
      if (!leadership::staleness_bound_holds(platform.worker_timings)) {
        std::cout << config
                  << ": facts.workers.cancel_s: less than lease_s and 4 s more: users are told of "
                     "a cancellation only once all tasks of the job are proven to have ended\n";
      }
      return 0;
    }
    std::signal(SIGHUP, [](int) { drains::PolicyFileWatcher::request_reload(); });
    controller::Server(platform, policy, policy_path).run();
  } catch (const reachramp::settings::BadSettings& error) {
    std::cerr << "reachramp: " << error.what() << "\n";
    return kExitBadSettings;
  } catch (const std::exception& error) {
    std::cerr << "reachramp: " << error.what() << "\n";
    return kExitFailure;
  }
}
