#include "peers/readiness.h"

#include <gtest/gtest.h>

namespace reachramp::peers {
namespace {

TEST(Readiness, ANodeThatAloneIsRefusedIsNotReadyAndRecoversWithDelay) {
  Readiness readiness;
  const auto others = [](bool served) { return [served] { return served; }; };
  EXPECT_TRUE(readiness.update(0, others(true), 0));
  EXPECT_TRUE(readiness.update(1, others(true), 1)) << "a short refusal is tolerated";
  EXPECT_FALSE(readiness.update(3, others(true), 3));
  EXPECT_FALSE(readiness.update(0, others(true), 4)) << "the first response is not enough";
  EXPECT_FALSE(readiness.update(0.5, others(true), 5));
  EXPECT_FALSE(readiness.update(0, others(true), 7.5));
  EXPECT_TRUE(readiness.update(0, others(true), 8.5));
}

// The store is unreachable and does not refuse: users would be told to retry for as long as that
// lasts.
TEST(Readiness, ANodeWithoutResponsesIsNotServed) {
  EXPECT_EQ(unserved_duration_s(0, 5), 0) << "watches may pause for this long";
  EXPECT_EQ(unserved_duration_s(0, 9), 9);
  EXPECT_EQ(unserved_duration_s(2, 5), 2);
  Readiness readiness;
  EXPECT_FALSE(readiness.update(
      unserved_duration_s(0, 9), [] { return true; }, 9));
}

TEST(Readiness, InAnOutageAllStayReady) {
  Readiness readiness;
  const auto none_served = [] { return false; };
  EXPECT_TRUE(readiness.update(30, none_served, 30));
  EXPECT_FALSE(readiness.update(
      31, [] { return true; }, 31))
      << "the other nodes are served again";
  EXPECT_TRUE(readiness.update(40, none_served, 40)) << "now the other nodes are refused too";
}

// Guards against a failure that users met: a leader loses the key-value store and the other nodes,
// but not its workers, which stayed connected to it. In an outage of the store they must stay.
TEST(StepDown, DistinguishesIsolationFromAnOutage) {
  const double lease_duration_s = 3;
  const auto steps_down = [&](IsolationEvidence isolation) {
    return must_step_down(isolation, lease_duration_s);
  };
  EXPECT_FALSE(steps_down({3.5, false, 2, 0, false})) << "its lease may not have expired";
  EXPECT_TRUE(steps_down({5, false, 2, 0, false})) << "isolated from the store and from all nodes";
  EXPECT_FALSE(steps_down({50, true, 2, 2, false})) << "an outage";
  EXPECT_FALSE(steps_down({50, false, 2, 1, false})) << "the other nodes get no response either";
  EXPECT_TRUE(steps_down({5, true, 2, 1, true})) << "another node leads";
  EXPECT_TRUE(steps_down({5, false, 4, 2, true}));
  EXPECT_FALSE(steps_down({50, true, 2, 0, false})) << "undecided: the staleness bound limits it";
  EXPECT_FALSE(steps_down({500, false, 0, 0, false})) << "there is no other node to lead";
}

// A response with an invalid list proves nothing, and the other members' lists still count.
TEST(CancellationDigest, InvalidResponsesAreIgnored) {
  const auto digest = [](wire::Json body, int status = 200) {
    wire::CallResult response;
    response.received_response = true;
    response.status = status;
    response.body = std::move(body);
    return decode_cancellation_digest(response);
  };
  const wire::Json valid = {{"told", encode_recent_cancellations({7.5, {"j-1", "j-2"}})}};
  ASSERT_TRUE(digest(valid));
  EXPECT_EQ(digest(valid)->covered_s, 7.5);
  EXPECT_EQ(digest(valid)->cancelled, (std::vector<std::string>{"j-1", "j-2"}));
  EXPECT_FALSE(digest(valid, 503));
  EXPECT_FALSE(digest({{"served", true}, {"ago_s", 0.1}})) << "an older version";
  for (const wire::Json& confirmed :
       {wire::Json("x"), wire::Json{{"complete_s", -1}, {"cancelled", {"j-1"}}},
        wire::Json{{"complete_s", 1}}, wire::Json{{"complete_s", "1"}, {"cancelled", {"j-1"}}},
        wire::Json{{"complete_s", 1}, {"cancelled", {"j-1", 7}}},
        wire::Json{{"complete_s", 1}, {"cancelled", {"j-1", "no job"}}}}) {
    EXPECT_FALSE(digest({{"told", confirmed}})) << confirmed.dump();
  }
}

TEST(RecentCancellations, ListsAWindowAndHowFarBackItIsComplete) {
  RecentCancellations confirmed(30, 100);
  confirmed.record("j-1", 101);
  confirmed.record("j-2", 105);
  confirmed.record("j-1", 108);  // confirmed again: callers that have read it already know of it
  EXPECT_EQ(confirmed.confirmed_within(4, 108).jobs, std::vector<std::string>{"j-2"});
  EXPECT_EQ(confirmed.confirmed_within(100, 108).jobs.size(), 2u);
  EXPECT_EQ(confirmed.confirmed_within(100, 108).covered_s, 8) << "since the process started";
  // Recorded by a thread that took the time before the last read of the list.
  confirmed.record("j-3", 107);
  EXPECT_EQ(confirmed.confirmed_within(0.5, 108).jobs, std::vector<std::string>{"j-3"});
  EXPECT_NEAR(confirmed.confirmed_within(100, 132).covered_s, 31, 1e-9)
      << "j-1 is too old to be kept";
  for (int i = 0; i < 5000; ++i) confirmed.record("j-x" + std::to_string(i), 140);
  EXPECT_LE(confirmed.confirmed_within(100, 141).jobs.size(), 2000u);
  EXPECT_LE(confirmed.confirmed_within(100, 141).covered_s, 1)
      << "too many to keep: the list covers a shorter time";
}

}  // namespace
}  // namespace reachramp::peers
