#include "peers/readiness.h"

#include <gtest/gtest.h>

namespace reachramp::peers {
namespace {

TEST(Readiness, ANodeThatAloneIsRefusedSaysSoAndTakesItsTimeToComeBack) {
  Readiness readiness;
  const auto others = [](bool served) { return [served] { return served; }; };
  EXPECT_TRUE(readiness.update(0, others(true), 0));
  EXPECT_TRUE(readiness.update(1, others(true), 1)) << "one refusal is nothing";
  EXPECT_FALSE(readiness.update(3, others(true), 3));
  EXPECT_FALSE(readiness.update(0, others(true), 4)) << "not at the first answer";
  EXPECT_FALSE(readiness.update(0.5, others(true), 5));
  EXPECT_FALSE(readiness.update(0, others(true), 7.5));
  EXPECT_TRUE(readiness.update(0, others(true), 8.5));
}

// Cut, not refused: no answer comes, and users would be told to come back for as long as it lasts.
TEST(Readiness, ANodeThatIsNotAnsweredIsNotServed) {
  EXPECT_EQ(unserved_duration_s(0, 5), 0) << "watches are quiet for so long";
  EXPECT_EQ(unserved_duration_s(0, 9), 9);
  EXPECT_EQ(unserved_duration_s(2, 5), 2);
  Readiness readiness;
  EXPECT_FALSE(readiness.update(
      unserved_duration_s(0, 9), [] { return true; }, 9));
}

TEST(Readiness, InAnOutageAllStayReady) {
  Readiness readiness;
  const auto nobody = [] { return false; };
  EXPECT_TRUE(readiness.update(30, nobody, 30));
  EXPECT_FALSE(readiness.update(
      31, [] { return true; }, 31))
      << "the others are back";
  EXPECT_TRUE(readiness.update(40, nobody, 40)) << "now they are refused too";
}

// The users' trouble: a controller loses the key-value store and the others, but not its workers,
// who would stay with it. In an outage for all they must stay.
TEST(LettingGo, TellsACutFromAnOutage) {
  const double lease_duration_s = 3;
  const auto lets_go = [&](IsolationEvidence isolation) {
    return must_step_down(isolation, lease_duration_s);
  };
  EXPECT_FALSE(lets_go({3.5, false, 2, 0, false})) << "its permit may still stand";
  EXPECT_TRUE(lets_go({5, false, 2, 0, false})) << "cut off from all";
  EXPECT_FALSE(lets_go({50, true, 2, 2, false})) << "an outage";
  EXPECT_FALSE(lets_go({50, false, 2, 1, false})) << "the others have no answer either";
  EXPECT_TRUE(lets_go({5, true, 2, 1, true})) << "another leads";
  EXPECT_TRUE(lets_go({5, false, 4, 2, true}));
  EXPECT_FALSE(lets_go({50, true, 2, 0, false})) << "nothing can tell: its staleness ends it";
  EXPECT_FALSE(lets_go({500, false, 0, 0, false})) << "there is nobody else to lead";
}

// A member that says what makes no sense vouches for nothing, and stops nothing.
TEST(Words, OfBadAnswersNothingCounts) {
  const auto word = [](wire::Json body, int status = 200) {
    wire::CallResult answer;
    answer.received_response = true;
    answer.status = status;
    answer.body = std::move(body);
    return decode_cancellation_digest(answer);
  };
  const wire::Json good = {{"told", encode_recent_cancellations({7.5, {"j-1", "j-2"}})}};
  ASSERT_TRUE(word(good));
  EXPECT_EQ(word(good)->covered_s, 7.5);
  EXPECT_EQ(word(good)->cancelled, (std::vector<std::string>{"j-1", "j-2"}));
  EXPECT_FALSE(word(good, 503));
  EXPECT_FALSE(word({{"served", true}, {"ago_s", 0.1}})) << "an older version";
  for (const wire::Json& told :
       {wire::Json("x"), wire::Json{{"complete_s", -1}, {"cancelled", {"j-1"}}},
        wire::Json{{"complete_s", 1}}, wire::Json{{"complete_s", "1"}, {"cancelled", {"j-1"}}},
        wire::Json{{"complete_s", 1}, {"cancelled", {"j-1", 7}}},
        wire::Json{{"complete_s", 1}, {"cancelled", {"j-1", "no job"}}}}) {
    EXPECT_FALSE(word({{"told", told}})) << told.dump();
  }
}

TEST(Told, ListsWhatWasToldSinceAndHowFarBackThatIsAll) {
  RecentCancellations told(30, 100);
  told.record("j-1", 101);
  told.record("j-2", 105);
  told.record("j-1", 108);  // again: whoever heard of it needs it no more
  EXPECT_EQ(told.confirmed_within(4, 108).jobs, std::vector<std::string>{"j-2"});
  EXPECT_EQ(told.confirmed_within(100, 108).jobs.size(), 2u);
  EXPECT_EQ(told.confirmed_within(100, 108).covered_s, 8) << "since it began";
  told.record("j-3", 107);  // by a thread that took the time before the last look
  EXPECT_EQ(told.confirmed_within(0.5, 108).jobs, std::vector<std::string>{"j-3"});
  EXPECT_NEAR(told.confirmed_within(100, 132).covered_s, 31, 1e-9) << "j-1 is too old to be kept";
  for (int i = 0; i < 5000; ++i) told.record("j-x" + std::to_string(i), 140);
  EXPECT_LE(told.confirmed_within(100, 141).jobs.size(), 2000u);
  EXPECT_LE(told.confirmed_within(100, 141).covered_s, 1)
      << "too many to keep: it vouches for less";
}

}  // namespace
}  // namespace reachramp::peers
