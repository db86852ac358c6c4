#include "wire/connection_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <thread>

#include "wire/http.h"

namespace reachramp::wire {
namespace {

using namespace std::chrono_literals;

ClientKind kind_of(int i) { return static_cast<ClientKind>(i % 4); }

// Guards against one kind of client that floods a server and shuts out the two others: their
// reserved connections stay open, and no connection is closed while a request on it is being
// answered.
RC_GTEST_PROP(ConnectionLimiter, NoKindOfClientShutsOutAnother, ()) {
  std::vector<ConnectionStatus> connections;
  for (int i = 0, size = *rc::gen::inRange(1, 60); i < size; ++i) {
    connections.push_back({kind_of(*rc::gen::inRange(0, 4)), *rc::gen::inRange(0, 3) == 0,
                           *rc::gen::inRange<std::int64_t>(0, 50)});
  }
  const ClientKind new_kind = kind_of(*rc::gen::inRange(0, 4));
  const auto count = [&](ClientKind of) {
    return std::count_if(connections.begin(), connections.end(),
                         [&](const ConnectionStatus& h) { return h.kind == of; });
  };
  const auto reserved = static_cast<std::ptrdiff_t>(connections.size() / 4);
  const auto may_close = [&](const ConnectionStatus& one) {
    return !one.busy &&
           (one.kind == ClientKind::unknown || one.kind == new_kind || count(one.kind) > reserved);
  };
  const auto chosen = choose_connection_to_close(connections, new_kind);
  RC_ASSERT(chosen.has_value() == std::any_of(connections.begin(), connections.end(), may_close));
  if (!chosen) return;
  RC_ASSERT(may_close(connections[*chosen]));
  for (const ConnectionStatus& one : connections) {
    RC_ASSERT(!may_close(one) || one.idle_since_ms >= connections[*chosen].idle_since_ms);
  }
}

// Requests begin and end in any order. There are never more at once than the limit, and a request
// of a kind that uses less than its reserved quarter is never rejected.
RC_GTEST_PROP(ConnectionLimiter, RequestsLeaveRoomForOtherKindsOfClient, ()) {
  const auto max_requests = *rc::gen::inRange<std::size_t>(16, 40);
  RequestCounts busy{};
  for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 8))) {
    const auto kind = static_cast<std::size_t>(1 + step % 3);
    if (step >= 5 && busy[kind] > 0) {
      --busy[kind];
    } else if (may_begin_request(busy, static_cast<ClientKind>(kind), max_requests)) {
      ++busy[kind];
    } else {
      RC_ASSERT(busy[kind] >= max_requests / 4);
    }
    RC_ASSERT(busy[1] + busy[2] + busy[3] <= max_requests);
  }
}

// Guards against a limit that leaves out a resource: 188 MB and 3,799 descriptors once allowed
// 3,200 connections, each with a thread, although a process may have only 2,000 threads.
TEST(ConnectionLimiter, FollowsTheScarcestResource) {
  EXPECT_LT(max_connections_within({3799, 188, 2000}), 1950u);
  EXPECT_LT(max_connections_within({700, 10000, 2000}), 500u);
  EXPECT_LT(max_connections_within({10000, 20, 2000}), 250u);
  EXPECT_GE(max_connections_within({32, 8, 128}), 16u);
}

class TwoServers : public ::testing::Test {
 protected:
  static constexpr std::size_t kMaxConnections = 16;

  static Server make_server(ConnectionLimiter& limiter, std::uint16_t port,
                            ClientKind initial_kind) {
    return Server(
        {"127.0.0.1", port}, limiter, initial_kind,
        [initial_kind](const Request& request) {
          if (initial_kind == ClientKind::peer) return ClientKind::peer;
          return request.path == "/report" ? ClientKind::worker : ClientKind::user;
        },
        [](const Request& request) {
          if (request.path == "/slow") std::this_thread::sleep_for(1s);
          return Response{};
        });
  }

  static bool is_served(std::vector<std::unique_ptr<Client>>& clients, std::uint16_t port,
                        const char* path) {
    clients.push_back(std::make_unique<Client>(Address{"127.0.0.1", port}, 1, kMaxBody_bytes));
    return clients.back()->call("GET", path, nullptr, 2s).status == 200;
  }
};

TEST_F(TwoServers, ShareOneLimitAndServeAllKindsOfClient) {
  ConnectionLimiter limiter(kMaxConnections);
  Server users = make_server(limiter, 18391, ClientKind::unknown);
  Server peers = make_server(limiter, 18392, ClientKind::peer);
  std::vector<std::unique_ptr<Client>> clients;
  // Many workers and peers connect and keep their connections: each of them is served.
  for (int i = 0; i < 40; ++i) {
    EXPECT_TRUE(is_served(clients, 18391, "/report"));
    EXPECT_TRUE(is_served(clients, 18392, "/carry"));
    EXPECT_LE(limiter.open_count(), kMaxConnections);
  }
  // Users can nevertheless open as many connections as are reserved for them.
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(is_served(clients, 18391, "/ready"));
  for (int i = 0; i < 40; ++i) EXPECT_TRUE(is_served(clients, 18392, "/carry"));
  const std::size_t first_user = 80;
  EXPECT_EQ(clients[first_user]->call("GET", "/ready", nullptr, 2s).status, 200);
}

TEST_F(TwoServers, RequestsThatHangLeaveRoomForOthers) {
  ConnectionLimiter limiter(kMaxConnections);
  Server users = make_server(limiter, 18393, ClientKind::unknown);
  Server peers = make_server(limiter, 18394, ClientKind::peer);
  std::vector<std::thread> hanging;
  for (int i = 0; i < 30; ++i) {
    hanging.emplace_back([] {
      Client client({"127.0.0.1", 18394}, 0, kMaxBody_bytes);
      client.call("GET", "/slow", nullptr, 3s);
    });
  }
  std::this_thread::sleep_for(300ms);
  std::vector<std::unique_ptr<Client>> clients;
  EXPECT_TRUE(is_served(clients, 18393, "/ready"));
  EXPECT_LE(limiter.open_count(), kMaxConnections);
  for (auto& thread : hanging) thread.join();
}

// Guards against a pool that holds more threads than there is work, because new ones are started
// while others are ending.
TEST(ThreadPool, HasNoMoreThreadsThanWork) {
  ThreadPool pool(10ms);
  std::atomic<int> done{0};
  for (int wave = 0; wave < 50; ++wave) {
    std::atomic<int> running{0};
    for (int i = 0; i < 8; ++i) {
      pool.run([&] {
        ++running;
        while (running < 8) std::this_thread::yield();
        ++done;
      });
      EXPECT_LE(pool.thread_count(), 16u);
    }
    // Waits until the threads are idle again, not only until their work is done: on a busy machine
    // the former takes longer.
    while (done < (wave + 1) * 8 || pool.idle_count() < pool.thread_count())
      std::this_thread::yield();
  }
  EXPECT_EQ(done, 400);
}

}  // namespace
}  // namespace reachramp::wire
