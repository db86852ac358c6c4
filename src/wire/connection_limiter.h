// How many connections a process keeps at once, over all its doors, and which of them has to go
// when another one comes: each is a thread, a descriptor and some memory.
#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <vector>

#include "wire/socket.h"
#include "wire/thread_pool.h"

namespace reachramp::wire {

// Who is at the other end, as the last request on the connection tells; `fresh` before the first.
enum class ClientKind { unknown, user, worker, peer };

struct ConnectionStatus {
  ClientKind kind = ClientKind::unknown;
  bool busy = false;  // a request is being answered
  std::int64_t idle_since_ms = 0;
};

// Of connections that fill a budget, the one to close so that another of `newcomer` finds room;
// nothing: refuse the newcomer. Users, workers and peers are each due a quarter: of the idle ones
// the longest silent goes, but never one of a party within its due for the sake of another party.
std::optional<std::size_t> choose_connection_to_close(
    const std::vector<ConnectionStatus>& connections, ClientKind new_kind);

// Whether one more request of the party may be answered while so many of users, workers and peers
// are. What one has beyond its due leaves the others theirs; /ready counts among the users'.
using RequestCounts = std::array<std::size_t, 4>;  // by party
bool may_begin_request(const RequestCounts& in_progress, ClientKind kind, std::size_t max_requests);

// What the machine allows a process that serves this many at once.
struct ProcessLimits {
  int descriptors = 0;
  double memory_mb = 0;
  int threads = 0;
};
// Connections to serve. The other descriptors are for connections to others, the other threads are
// the process's own; a connection's thread and buffers were measured to take 43 KB.
std::size_t max_connections_within(const ProcessLimits& limits);

class ConnectionLimiter {
 public:
  struct Connection {
    Socket socket;
    const void* server = nullptr;
    ConnectionStatus status;
    bool is_closing = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  // `most`: connections at once, those that are being closed included.
  explicit ConnectionLimiter(std::size_t max_connections);

  // Takes a connection in, if need be in another one's place, and serves it on a thread of its own.
  // False: there is no room, it is to be closed at once.
  bool admit(const ConnectionPtr& connection, std::function<void()> serve);
  // A request of the party has come. False: too many of the party are being answered, turn it away.
  bool begin_request(Connection& connection, ClientKind kind);
  void end_request(Connection& connection);
  // Frees a descriptor, when the system has none left.
  void close_one_for(ClientKind new_kind);
  void close_all(const void* server);
  std::size_t open_count() const;

 private:
  bool close_one_locked(ClientKind new_kind);
  bool add(const ConnectionPtr& connection);
  void remove(const ConnectionPtr& connection);

  const std::size_t max_connections_;
  mutable std::mutex mutex_;
  std::condition_variable removed_;
  std::unordered_set<ConnectionPtr> connections_;
  RequestCounts requests_in_progress_{};
  ThreadPool thread_pool_;  // the last: it ends first
};

}  // namespace reachramp::wire
