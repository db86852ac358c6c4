#include "wire/connection_limiter.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <system_error>
#include <utility>

namespace reachramp::wire {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kParties = 4;
constexpr std::size_t kDue = 4;  // a party's due is one in this many
constexpr double kOfDescriptors = 0.65;
constexpr double kOfMemory = 0.5;
constexpr double kConnectionMb = 0.044;
constexpr double kOfThreads = 0.9;
constexpr auto kThreadsStay = 10s;
constexpr double kLeast = 16;
// A connection that was told to close needs its thread's turn to be gone.
constexpr auto kWaitForLeaving = 200ms;

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::size_t number(ClientKind party) { return static_cast<std::size_t>(party); }

}  // namespace

std::optional<std::size_t> to_close(const std::vector<ConnectionStatus>& held,
                                    ClientKind newcomer) {
  std::size_t count[kParties] = {};
  for (const ConnectionStatus& one : held) ++count[number(one.party)];
  const std::size_t due = held.size() / kDue;
  const auto may_go = [&](const ConnectionStatus& one) {
    return !one.busy && (one.party == ClientKind::fresh || one.party == newcomer ||
                         count[number(one.party)] > due);
  };
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < held.size(); ++i) {
    if (may_go(held[i]) && (!found || held[i].silent_since_ms < held[*found].silent_since_ms)) {
      found = i;
    }
  }
  return found;
}

bool may_begin(const Busy& busy, ClientKind party, std::size_t most) {
  const std::size_t due = most / kDue;
  if (busy[number(party)] < due) return true;
  std::size_t spoken_for = 0;
  for (const ClientKind other : {ClientKind::user, ClientKind::worker, ClientKind::peer}) {
    spoken_for += std::max(busy[number(other)], due);
  }
  return spoken_for < most;
}

std::size_t connections_for(const ProcessLimits& means) {
  const double most =
      std::min({means.descriptors * kOfDescriptors, means.memory_mb * kOfMemory / kConnectionMb,
                means.threads * kOfThreads});
  return static_cast<std::size_t>(std::max(most, kLeast));
}

bool ConnectionLimiter::close_one(ClientKind newcomer) {
  std::vector<ConnectionStatus> held;
  std::vector<Connection*> which;
  for (const Shared& connection : connections_) {
    if (connection->closing) continue;
    held.push_back(connection->held);
    which.push_back(connection.get());
  }
  const auto found = to_close(held, newcomer);
  if (!found) return false;
  which[*found]->closing = true;
  which[*found]->socket.shut();
  return true;
}

ConnectionLimiter::ConnectionLimiter(std::size_t most) : most_(most), crew_(kThreadsStay) {}

bool ConnectionLimiter::admit(const Shared& connection, std::function<void()> serve) {
  if (!take(connection)) return false;
  try {
    crew_.run([this, connection, serve = std::move(serve)] {
      serve();
      leave(connection);
    });
  } catch (const std::system_error& error) {
    spdlog::error("no thread for a connection: {}", error.what());
    leave(connection);
    return false;
  }
  return true;
}

bool ConnectionLimiter::take(const Shared& connection) {
  connection->held.silent_since_ms = now_ms();
  std::unique_lock lock(mutex_);
  if (connections_.size() >= most_) {
    const auto room = [&] { return connections_.size() < most_; };
    if (!close_one(connection->held.party)) return false;
    if (!left_.wait_for(lock, kWaitForLeaving, room)) return false;
  }
  connections_.insert(connection);
  return true;
}

void ConnectionLimiter::leave(const Shared& connection) {
  std::lock_guard lock(mutex_);
  connections_.erase(connection);
  left_.notify_one();
}

bool ConnectionLimiter::begin(Connection& connection, ClientKind party) {
  std::lock_guard lock(mutex_);
  connection.held.party = party;
  if (!may_begin(busy_, party, most_)) return false;
  ++busy_[number(party)];
  connection.held.busy = true;
  return true;
}

void ConnectionLimiter::end(Connection& connection) {
  std::lock_guard lock(mutex_);
  if (std::exchange(connection.held.busy, false)) --busy_[number(connection.held.party)];
  connection.held.silent_since_ms = now_ms();
}

void ConnectionLimiter::make_room(ClientKind newcomer) {
  std::lock_guard lock(mutex_);
  close_one(newcomer);
}

void ConnectionLimiter::close_all(const void* door) {
  std::lock_guard lock(mutex_);
  for (const Shared& connection : connections_) {
    if (connection->door == door) connection->socket.shut();
  }
}

std::size_t ConnectionLimiter::open() const {
  std::lock_guard lock(mutex_);
  return connections_.size();
}

}  // namespace reachramp::wire
