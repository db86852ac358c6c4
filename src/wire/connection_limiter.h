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
enum class ClientKind { fresh, user, worker, peer };

struct ConnectionStatus {
  ClientKind party = ClientKind::fresh;
  bool busy = false;  // a request is being answered
  std::int64_t silent_since_ms = 0;
};

// Of connections that fill a budget, the one to close so that another of `newcomer` finds room;
// nothing: refuse the newcomer. Users, workers and peers are each due a quarter: of the idle ones
// the longest silent goes, but never one of a party within its due for the sake of another party.
std::optional<std::size_t> to_close(const std::vector<ConnectionStatus>& held, ClientKind newcomer);

// Whether one more request of the party may be answered while so many of users, workers and peers
// are. What one has beyond its due leaves the others theirs; /ready counts among the users'.
using Busy = std::array<std::size_t, 4>;  // by party
bool may_begin(const Busy& busy, ClientKind party, std::size_t most);

// What the machine allows a process that serves this many at once.
struct ProcessLimits {
  int descriptors = 0;
  double memory_mb = 0;
  int threads = 0;
};
// Connections to serve. The other descriptors are for connections to others, the other threads are
// the process's own; a connection's thread and buffers were measured to take 43 KB.
std::size_t connections_for(const ProcessLimits& means);

class ConnectionLimiter {
 public:
  struct Connection {
    Socket socket;
    const void* door = nullptr;
    ConnectionStatus held;
    bool closing = false;
  };
  using Shared = std::shared_ptr<Connection>;

  // `most`: connections at once, those that are being closed included.
  explicit ConnectionLimiter(std::size_t most);

  // Takes a connection in, if need be in another one's place, and serves it on a thread of its own.
  // False: there is no room, it is to be closed at once.
  bool admit(const Shared& connection, std::function<void()> serve);
  // A request of the party has come. False: too many of the party are being answered, turn it away.
  bool begin(Connection& connection, ClientKind party);
  void end(Connection& connection);
  // Frees a descriptor, when the system has none left.
  void make_room(ClientKind newcomer);
  void close_all(const void* door);
  std::size_t open() const;

 private:
  bool close_one(ClientKind newcomer);
  bool take(const Shared& connection);
  void leave(const Shared& connection);

  const std::size_t most_;
  mutable std::mutex mutex_;
  std::condition_variable left_;
  std::unordered_set<Shared> connections_;
  Busy busy_{};
  ThreadPool crew_;  // the last: it ends first
};

}  // namespace reachramp::wire
