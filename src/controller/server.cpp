#include "controller/server.h"

#include <spdlog/spdlog.h>

#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

constexpr int kProberThreads = 3;
// The part of a node's rate limit at the key-value store that this process uses.
constexpr double kStoreRateFraction = 0.6;

}  // namespace

Server::Server(const settings::Platform& platform, const settings::Policy& policy,
               const std::string& policy_path)
    : platform_(platform),
      policy_(policy),
      store_(platform_.store_address, platform_.store_limits.rps * kStoreRateFraction),
      supported_levels_{schema::kOldestLevel, schema::kNewestLevel, policy_.hold_at,
                        REACHRAMP_VERSION},
      version_tracker_(store_, platform_, supported_levels_),
      election_(
          store_, platform_, [this] { return version_tracker_.defers_leadership(); },
          [this](double silent_s, double lease_duration_s, std::uint64_t fencing_token) {
            return health_.leader_must_step_down(silent_s, lease_duration_s, fencing_token);
          }),
      members_(store_, platform_),
      forwarder_(platform_),
      recent_cancellations_(platform_.worker_timings.cancel_s, kv::steady_now()),
      health_(store_, platform_, recent_cancellations_),
      catalog_(store_),
      jobs_(store_, platform_, members_, version_tracker_, recent_cancellations_,
            [this] { return catalog_.get(); }),
      job_watcher_(platform_, policy_, supported_levels_, election_, store_, members_, events_),
      transaction_sender_(election_, store_, events_),
      cancellation_poller_(election_, health_, events_),
      strong_reader_(election_, store_, events_),
      cloud_worker_(platform_, election_, catalog_, events_),
      machine_prober_(election_, events_),
      event_loop_(election_, members_, events_,
                  {job_watcher_, transaction_sender_, cancellation_poller_, strong_reader_,
                   cloud_worker_, machine_prober_}),
      heartbeat_router_(platform_, election_, forwarder_, events_),
      user_routes_(version_tracker_, health_, jobs_, heartbeat_router_),
      peer_routes_(version_tracker_, health_, election_, heartbeat_router_) {
  if (!policy_path.empty()) {
    policy_watcher_.emplace(store_, version_tracker_, platform_, policy_path);
  }
}

// The listeners are opened first. If that fails, too few ports are free, or another process with
// this node's name is running; in that case, this process must not have sent anything to the
// key-value store under that name.
void Server::run() {
  wire::ConnectionLimiter connections(
      wire::max_connections_within({platform_.fd_limit, platform_.ram_mb, platform_.thread_limit}));
  wire::Server peer_listener(
      platform_.cluster_listen, connections, wire::ClientKind::peer,
      [](const wire::Request&) { return wire::ClientKind::peer; },
      [this](const wire::Request& request) { return peer_routes_.serve(request); });
  wire::Server user_listener(
      platform_.serve_on, connections, wire::ClientKind::unknown, UserRoutes::client_kind,
      [this](const wire::Request& request) { return user_routes_.serve(request); });
  const std::vector<std::thread> threads = start_threads();
  spdlog::info("{} serves on {}:{}", platform_.node_name, platform_.serve_on.host,
               platform_.serve_on.port);
  election_.run();
  std::terminate();  // run() does not return
}

std::vector<std::thread> Server::start_threads() {
  std::vector<std::thread> threads;
  threads.emplace_back([this] { event_loop_.run(); });
  threads.emplace_back([this] { members_.run(); });
  threads.emplace_back([this] {
    version_tracker_.run([this](bool incompatible) { election_.set_disabled(incompatible); });
  });
  if (policy_watcher_) threads.emplace_back([this] { policy_watcher_->run(); });
  threads.emplace_back([this] { transaction_sender_.run(); });
  threads.emplace_back([this] { strong_reader_.run(); });
  threads.emplace_back([this] { job_watcher_.run(); });
  threads.emplace_back([this] { cloud_worker_.run(); });
  threads.emplace_back([this] { cancellation_poller_.run(); });
  for (int i = 0; i < kProberThreads; ++i) {
    threads.emplace_back([this] { machine_prober_.run(); });
  }
  return threads;
}

}  // namespace reachramp::controller
