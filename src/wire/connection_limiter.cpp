#include "wire/connection_limiter.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <system_error>
#include <utility>

namespace reachramp::wire {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kClientKinds = 4;
// One in this many connections, or requests, is reserved for each kind of client.
constexpr std::size_t kReservedDivisor = 4;
// The shares of the process's resources that the served connections may take.
constexpr double kConnectionShareOfDescriptors = 0.65;
constexpr double kConnectionShareOfMemory = 0.5;
constexpr double kConnectionMemory_mb = 0.044;  // of one connection and its thread
constexpr double kConnectionShareOfThreads = 0.9;
constexpr auto kConnectionThreadIdleTimeout = 10s;
constexpr double kMinConnections = 16;
// How long a new connection waits until the thread of the one that was shut down for it has ended.
constexpr auto kCloseTimeout = 200ms;

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::size_t index_of(ClientKind kind) { return static_cast<std::size_t>(kind); }

}  // namespace

std::optional<std::size_t> choose_connection_to_close(
    const std::vector<ConnectionStatus>& connections, ClientKind new_kind) {
  std::size_t counts[kClientKinds] = {};
  for (const ConnectionStatus& connection : connections) ++counts[index_of(connection.kind)];
  const std::size_t reserved = connections.size() / kReservedDivisor;
  const auto may_close = [&](const ConnectionStatus& connection) {
    return !connection.busy &&
           (connection.kind == ClientKind::unknown || connection.kind == new_kind ||
            counts[index_of(connection.kind)] > reserved);
  };
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    if (may_close(connections[i]) &&
        (!chosen || connections[i].idle_since_ms < connections[*chosen].idle_since_ms)) {
      chosen = i;
    }
  }
  return chosen;
}

bool may_begin_request(const RequestCounts& in_progress, ClientKind kind,
                       std::size_t max_requests) {
  const std::size_t reserved = max_requests / kReservedDivisor;
  if (in_progress[index_of(kind)] < reserved) return true;
  std::size_t taken_or_reserved = 0;
  for (const ClientKind other : {ClientKind::user, ClientKind::worker, ClientKind::peer}) {
    taken_or_reserved += std::max(in_progress[index_of(other)], reserved);
  }
  return taken_or_reserved < max_requests;
}

std::size_t max_connections_within(const ProcessLimits& limits) {
  const double max_connections =
      std::min({limits.descriptors * kConnectionShareOfDescriptors,
                limits.memory_mb * kConnectionShareOfMemory / kConnectionMemory_mb,
                limits.threads * kConnectionShareOfThreads});
  return static_cast<std::size_t>(std::max(max_connections, kMinConnections));
}

bool ConnectionLimiter::close_one_locked(ClientKind new_kind) {
  std::vector<ConnectionStatus> statuses;
  std::vector<Connection*> candidates;
  for (const ConnectionPtr& connection : connections_) {
    if (connection->is_closing) continue;
    statuses.push_back(connection->status);
    candidates.push_back(connection.get());
  }
  const auto chosen = choose_connection_to_close(statuses, new_kind);
  if (!chosen) return false;
  candidates[*chosen]->is_closing = true;
  candidates[*chosen]->socket.shutdown();
  return true;
}

ConnectionLimiter::ConnectionLimiter(std::size_t max_connections)
    : max_connections_(max_connections), thread_pool_(kConnectionThreadIdleTimeout) {}

bool ConnectionLimiter::admit(const ConnectionPtr& connection, std::function<void()> serve) {
  if (!add(connection)) return false;
  try {
    thread_pool_.run([this, connection, serve = std::move(serve)] {
      serve();
      remove(connection);
    });
  } catch (const std::system_error& error) {
    spdlog::error("cannot start a thread for a connection: {}", error.what());
    remove(connection);
    return false;
  }
  return true;
}

bool ConnectionLimiter::add(const ConnectionPtr& connection) {
  connection->status.idle_since_ms = now_ms();
  std::unique_lock lock(mutex_);
  if (connections_.size() >= max_connections_) {
    const auto has_room = [&] { return connections_.size() < max_connections_; };
    if (!close_one_locked(connection->status.kind)) return false;
    if (!removed_.wait_for(lock, kCloseTimeout, has_room)) return false;
  }
  connections_.insert(connection);
  return true;
}

void ConnectionLimiter::remove(const ConnectionPtr& connection) {
  std::lock_guard lock(mutex_);
  connections_.erase(connection);
  removed_.notify_one();
}

bool ConnectionLimiter::begin_request(Connection& connection, ClientKind kind) {
  std::lock_guard lock(mutex_);
  connection.status.kind = kind;
  if (!may_begin_request(requests_in_progress_, kind, max_connections_)) return false;
  ++requests_in_progress_[index_of(kind)];
  connection.status.busy = true;
  return true;
}

void ConnectionLimiter::end_request(Connection& connection) {
  std::lock_guard lock(mutex_);
  if (std::exchange(connection.status.busy, false))
    --requests_in_progress_[index_of(connection.status.kind)];
  connection.status.idle_since_ms = now_ms();
}

void ConnectionLimiter::close_one_for(ClientKind new_kind) {
  std::lock_guard lock(mutex_);
  close_one_locked(new_kind);
}

void ConnectionLimiter::close_all(const void* server) {
  std::lock_guard lock(mutex_);
  for (const ConnectionPtr& connection : connections_) {
    if (connection->server == server) connection->socket.shutdown();
  }
}

std::size_t ConnectionLimiter::open_count() const {
  std::lock_guard lock(mutex_);
  return connections_.size();
}

}  // namespace reachramp::wire
