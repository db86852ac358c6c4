#include "wire/connection_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <thread>

#include "wire/http.h"

namespace reachramp::wire {
namespace {

using namespace std::chrono_literals;

ClientKind party(int i) { return static_cast<ClientKind>(i % 4); }

// Whoever floods a door, the two other parties keep what is due to them, and no request that is
// being answered is cut off.
RC_GTEST_PROP(Budget, NoPartyStarvesAnother, ()) {
  std::vector<ConnectionStatus> held;
  for (int i = 0, size = *rc::gen::inRange(1, 60); i < size; ++i) {
    held.push_back({party(*rc::gen::inRange(0, 4)), *rc::gen::inRange(0, 3) == 0,
                    *rc::gen::inRange<std::int64_t>(0, 50)});
  }
  const ClientKind newcomer = party(*rc::gen::inRange(0, 4));
  const auto count = [&](ClientKind of) {
    return std::count_if(held.begin(), held.end(),
                         [&](const ConnectionStatus& h) { return h.kind == of; });
  };
  const auto due = static_cast<std::ptrdiff_t>(held.size() / 4);
  const auto may_go = [&](const ConnectionStatus& one) {
    return !one.busy &&
           (one.kind == ClientKind::unknown || one.kind == newcomer || count(one.kind) > due);
  };
  const auto found = choose_connection_to_close(held, newcomer);
  RC_ASSERT(found.has_value() == std::any_of(held.begin(), held.end(), may_go));
  if (!found) return;
  RC_ASSERT(may_go(held[*found]));
  for (const ConnectionStatus& one : held) {
    RC_ASSERT(!may_go(one) || one.idle_since_ms >= held[*found].idle_since_ms);
  }
}

// Requests come and end in any order: never more at once than the budget, and a party with less
// than its due is never turned away.
RC_GTEST_PROP(Budget, RequestsLeaveRoomForTheOtherParties, ()) {
  const auto most = *rc::gen::inRange<std::size_t>(16, 40);
  RequestCounts busy{};
  for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 8))) {
    const auto who = static_cast<std::size_t>(1 + step % 3);
    if (step >= 5 && busy[who] > 0) {
      --busy[who];
    } else if (may_begin_request(busy, static_cast<ClientKind>(who), most)) {
      ++busy[who];
    } else {
      RC_ASSERT(busy[who] >= most / 4);
    }
    RC_ASSERT(busy[1] + busy[2] + busy[3] <= most);
  }
}

// 188 MB and 3,799 descriptors once allowed 3,200 connections, a thread each, where a process may
// have 2,000 threads.
TEST(Budget, FollowsWhateverIsScarcest) {
  EXPECT_LT(max_connections_within({3799, 188, 2000}), 1950u);
  EXPECT_LT(max_connections_within({700, 10000, 2000}), 500u);
  EXPECT_LT(max_connections_within({10000, 20, 2000}), 250u);
  EXPECT_GE(max_connections_within({32, 8, 128}), 16u);
}

class TwoDoors : public ::testing::Test {
 protected:
  static constexpr std::size_t kMost = 16;

  static Server door(ConnectionLimiter& budget, std::uint16_t port, ClientKind newcomers) {
    return Server(
        {"127.0.0.1", port}, budget, newcomers,
        [newcomers](const Request& request) {
          if (newcomers == ClientKind::peer) return ClientKind::peer;
          return request.path == "/report" ? ClientKind::worker : ClientKind::user;
        },
        [](const Request& request) {
          if (request.path == "/slow") std::this_thread::sleep_for(1s);
          return Response{};
        });
  }

  static bool asks(std::vector<std::unique_ptr<Client>>& clients, std::uint16_t port,
                   const char* path) {
    clients.push_back(std::make_unique<Client>(Address{"127.0.0.1", port}, 1, kMaxBody_bytes));
    return clients.back()->call("GET", path, nullptr, 2s).status == 200;
  }
};

TEST_F(TwoDoors, ShareOneBudgetAndStayOpenToAll) {
  ConnectionLimiter budget(kMost);
  Server users = door(budget, 18391, ClientKind::unknown);
  Server peers = door(budget, 18392, ClientKind::peer);
  std::vector<std::unique_ptr<Client>> clients;
  // Workers and peers come in crowds and stay; every one of them is served.
  for (int i = 0; i < 40; ++i) {
    EXPECT_TRUE(asks(clients, 18391, "/report"));
    EXPECT_TRUE(asks(clients, 18392, "/carry"));
    EXPECT_LE(budget.open_count(), kMost);
  }
  // And a user finds room for as many connections as are due to users.
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(asks(clients, 18391, "/ready"));
  for (int i = 0; i < 40; ++i) EXPECT_TRUE(asks(clients, 18392, "/carry"));
  const std::size_t first_user = 80;
  EXPECT_EQ(clients[first_user]->call("GET", "/ready", nullptr, 2s).status, 200);
}

TEST_F(TwoDoors, RequestsThatHangLeaveRoomForOthers) {
  ConnectionLimiter budget(kMost);
  Server users = door(budget, 18393, ClientKind::unknown);
  Server peers = door(budget, 18394, ClientKind::peer);
  std::vector<std::thread> hanging;
  for (int i = 0; i < 30; ++i) {
    hanging.emplace_back([] {
      Client client({"127.0.0.1", 18394}, 0, kMaxBody_bytes);
      client.call("GET", "/slow", nullptr, 3s);
    });
  }
  std::this_thread::sleep_for(300ms);
  std::vector<std::unique_ptr<Client>> clients;
  EXPECT_TRUE(asks(clients, 18393, "/ready"));
  EXPECT_LE(budget.open_count(), kMost);
  for (auto& thread : hanging) thread.join();
}

// Threads that were on their way out came on top of those at work.
TEST(Crew, HasNoMoreThreadsThanWork) {
  ThreadPool crew(10ms);
  std::atomic<int> done{0};
  for (int wave = 0; wave < 50; ++wave) {
    std::atomic<int> here{0};
    for (int i = 0; i < 8; ++i) {
      crew.run([&] {
        ++here;
        while (here < 8) std::this_thread::yield();
        ++done;
      });
      EXPECT_LE(crew.thread_count(), 16u);
    }
    // Until they have come back, not only done their work: on a busy machine that takes them a
    // while.
    while (done < (wave + 1) * 8 || crew.idle_count() < crew.thread_count())
      std::this_thread::yield();
  }
  EXPECT_EQ(done, 400);
}

}  // namespace
}  // namespace reachramp::wire
