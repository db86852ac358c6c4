#include "peers/readiness.h"

#include <gtest/gtest.h>

namespace reachramp::peers {
namespace {

TEST(Readiness, ANodeThatAloneIsRefusedSaysSoAndTakesItsTimeToComeBack) {
  Readiness readiness;
  const auto others = [](bool served) { return [served] { return served; }; };
  EXPECT_TRUE(readiness.judge(0, others(true), 0));
  EXPECT_TRUE(readiness.judge(1, others(true), 1)) << "one refusal is nothing";
  EXPECT_FALSE(readiness.judge(3, others(true), 3));
  EXPECT_FALSE(readiness.judge(0, others(true), 4)) << "not at the first answer";
  EXPECT_FALSE(readiness.judge(0.5, others(true), 5));
  EXPECT_FALSE(readiness.judge(0, others(true), 7.5));
  EXPECT_TRUE(readiness.judge(0, others(true), 8.5));
}

TEST(Readiness, InAnOutageAllStayReady) {
  Readiness readiness;
  const auto nobody = [] { return false; };
  EXPECT_TRUE(readiness.judge(30, nobody, 30));
  EXPECT_FALSE(readiness.judge(
      31, [] { return true; }, 31))
      << "the others are back";
  EXPECT_TRUE(readiness.judge(40, nobody, 40)) << "now they are refused too";
}

// The users' trouble: a controller loses the state service and the others, but not its workers, who
// would stay with it. In an outage for all they must stay.
TEST(LettingGo, TellsACutFromAnOutage) {
  const double permit_s = 3;
  const auto lets_go = [&](Isolation isolation) { return must_let_go(isolation, permit_s); };
  EXPECT_FALSE(lets_go({3.5, false, 2, 0, false})) << "its permit may still stand";
  EXPECT_TRUE(lets_go({5, false, 2, 0, false})) << "cut off from all";
  EXPECT_FALSE(lets_go({50, true, 2, 2, false})) << "an outage";
  EXPECT_FALSE(lets_go({50, false, 2, 1, false})) << "the others have no answer either";
  EXPECT_TRUE(lets_go({5, true, 2, 1, true})) << "it is refused alone";
  EXPECT_TRUE(lets_go({5, false, 4, 2, true}));
  EXPECT_FALSE(lets_go({50, true, 2, 0, false})) << "nothing can tell yet";
  EXPECT_TRUE(lets_go({61, true, 2, 0, false}));
  EXPECT_FALSE(lets_go({500, false, 0, 0, false})) << "there is nobody else to lead";
}

}  // namespace
}  // namespace reachramp::peers
