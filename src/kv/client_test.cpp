// How the client handles throttling and outages, against a server whose responses the test sets.
#include "kv/client.h"

#include <atomic>

#include "kv/steady_clock.h"
#include "recording_server.h"

namespace reachramp::kv {
namespace {

using test::wire_round_trip;

wire::Response reply(int status) { return {status, wire_round_trip(R"({"epoch":3})"), 0}; }

// Guards against users' requests that fail although a short pause would have avoided it.
TEST(KeyValueClient, ThrottledTransactionIsRepeatedAndCounted) {
  std::atomic<int> requests{0};
  test::RecordingServer store(
      [&](const wire::Request&) { return reply(++requests <= 2 ? 429 : 200); });
  Client client(store.address(), 1000);
  const CommitResult result = client.commit({{{"level", 4}}, {}});
  EXPECT_EQ(result.outcome, Outcome::ok);
  EXPECT_EQ(result.store_revision, 3u);
  EXPECT_EQ(result.throttle_count, 2);
  EXPECT_EQ(requests, 3);
}

// Guards against retrying for ever, and against counting throttling as an outage.
TEST(KeyValueClient, TransactionThrottledFiveTimesIsRefusedButStoreCountsAsServing) {
  std::atomic<int> requests{0};
  test::RecordingServer store([&](const wire::Request&) {
    ++requests;
    return reply(429);
  });
  Client client(store.address(), 1000);
  const CommitResult result = client.commit({{{"level", 4}}, {}});
  EXPECT_EQ(result.outcome, Outcome::refused);
  EXPECT_EQ(result.throttle_count, 5);
  EXPECT_EQ(requests, 5);
  EXPECT_EQ(client.refused_duration_s(steady_now()), 0);
}

TEST(KeyValueClient, OutageIsNotRepeatedAndLastsUntilNextOtherResponse) {
  std::atomic<int> status{503};
  test::RecordingServer store([&](const wire::Request&) { return reply(status); });
  Client client(store.address(), 1000);
  EXPECT_EQ(client.refused_duration_s(steady_now()), 0);
  EXPECT_GT(client.seconds_since_served(steady_now()), 1e9 - 1);
  EXPECT_EQ(client.get("level").outcome, Outcome::refused);
  EXPECT_EQ(store.requests().size(), 1u);
  EXPECT_GE(client.refused_duration_s(steady_now()), 1e-3);
  EXPECT_GT(client.seconds_since_served(steady_now()), 1e9 - 1);
  status = 404;
  EXPECT_EQ(client.get("level").outcome, Outcome::absent);
  EXPECT_EQ(client.refused_duration_s(steady_now()), 0);
  EXPECT_LT(client.seconds_since_served(steady_now()), 60);
}

TEST(KeyValueClient, EachStoreRevisionInAResponseIsASampleOfTheRevisionClock) {
  test::RecordingServer store([](const wire::Request&) { return reply(404); });
  Client client(store.address(), 1000);
  const double before = steady_now();
  client.get("level");
  const double assigned_at = client.revision_clock().time_of(3, before + 1000);
  EXPECT_GE(assigned_at, before);
  EXPECT_LE(assigned_at, steady_now());
}

// Guards against an ever growing number of callers that wait for our own rate limit.
TEST(KeyValueClient, RequestThatWouldWaitLongForOurOwnRateIsRefusedUnsent) {
  test::RecordingServer store([](const wire::Request&) { return reply(404); });
  Client client(store.address(), 0.1);
  EXPECT_EQ(client.get("level").outcome, Outcome::absent);
  EXPECT_EQ(client.get("level").outcome, Outcome::refused);
  EXPECT_EQ(store.requests().size(), 1u);
}

}  // namespace
}  // namespace reachramp::kv
