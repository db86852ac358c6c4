// Limits the connections that a process serves at once, on all its listening sockets together,
// since each takes a thread, a file descriptor and some memory. At the limit, a new connection
// replaces an idle one. Users, workers and peers each have a quarter of the connections reserved,
// so that a flood of one kind does not shut out the others.
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

// The kind of client on a connection, as its latest request shows; `unknown` before the first,
// unless the listening socket is for one kind only. A peer is another controller node.
enum class ClientKind { unknown, user, worker, peer };

// What decides which connection to close.
struct ConnectionStatus {
  ClientKind kind = ClientKind::unknown;
  bool busy = false;               // a request is being answered
  std::int64_t idle_since_ms = 0;  // by the steady clock; kept while busy
};

// Returns the index of the connection to close in favour of a new one of `new_kind` when the limit
// is reached; none if the new one is to be refused. Chooses the one that has been idle for longest,
// but no connection of another kind that does not use more than its reserved quarter.
std::optional<std::size_t> choose_connection_to_close(
    const std::vector<ConnectionStatus>& connections, ClientKind new_kind);

// Requests that are being answered, indexed by ClientKind.
using RequestCounts = std::array<std::size_t, 4>;
// Whether one more request of `kind` may be answered. Above the quarter that is reserved for its
// kind, it may only if what is reserved for the other kinds stays free for them. Requests of /ready
// count as users'.
bool may_begin_request(const RequestCounts& in_progress, ClientKind kind, std::size_t max_requests);

// Resources that the process may use.
struct ProcessLimits {
  int descriptors = 0;
  double memory_mb = 0;
  int threads = 0;
};
// Returns how many connections to serve at once. The remaining descriptors are for outgoing
// connections, the remaining threads for the process's own use. The thread and the buffers of a
// connection were measured to take 43 KB.
std::size_t max_connections_within(const ProcessLimits& limits);

// Owns the connections of all servers of a process and the threads that serve them. Any thread may
// call its functions.
class ConnectionLimiter {
 public:
  struct Connection {
    Socket socket;
    const void* server = nullptr;  // the server that accepted it
    ConnectionStatus status;
    bool is_closing = false;  // shut down, but its thread has not ended yet
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  // `max_connections`: at once, including those that are being closed.
  explicit ConnectionLimiter(std::size_t max_connections);

  // Adds a connection, if necessary in place of another one, and calls `serve` on a thread of its
  // own. Returns false if the limit is reached: the caller then closes the connection.
  bool admit(const ConnectionPtr& connection, std::function<void()> serve);
  // Marks the connection as answering a request of `kind`. Returns false if too many requests of
  // this kind are being answered: the caller then rejects the request.
  bool begin_request(Connection& connection, ClientKind kind);
  // Marks the connection as idle. Also called after a rejected request.
  void end_request(Connection& connection);
  // Closes an idle connection, if there is one, to free a descriptor for a connection of
  // `new_kind`.
  void close_one_for(ClientKind new_kind);
  // Shuts down all connections that `server` accepted.
  void close_all(const void* server);
  // The number of connections, including those that are being closed.
  std::size_t open_count() const;

 private:
  // As close_one_for(), with mutex_ held. Returns whether there was one to close.
  bool close_one_locked(ClientKind new_kind);
  // Makes room if necessary. Returns false if there is none.
  bool add(const ConnectionPtr& connection);
  void remove(const ConnectionPtr& connection);

  const std::size_t max_connections_;
  mutable std::mutex mutex_;
  std::condition_variable removed_;
  std::unordered_set<ConnectionPtr> connections_;
  RequestCounts requests_in_progress_{};
  ThreadPool thread_pool_;  // declared last: its threads use the members above
};

}  // namespace reachramp::wire
