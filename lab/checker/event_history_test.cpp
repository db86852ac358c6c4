#include "checker/event_history.h"

#include <gtest/gtest.h>

namespace reachramp::lab {
namespace {

using Lines = std::vector<std::string>;

TEST(EventHistory, LinesAreSelectedBySubjectAndPeriodInOrder) {
  EventHistory history;
  history.record(1, "n-1", "up");
  history.record(2, "n-2", "up");
  history.record(3, "n-1", "gone");
  EXPECT_EQ(history.lines_about({"n-1"}, 0, 5), (Lines{"1.0000 n-1 up", "3.0000 n-1 gone"}));
  EXPECT_EQ(history.lines_about({"n-1", "n-2"}, 1.5, 2.5), Lines{"2.0000 n-2 up"});
}

TEST(EventHistory, OldestEventsAreDroppedFirst) {
  EventHistory history(2);
  for (int i = 0; i < 4; ++i) history.record(i, "n-1", "up");
  EXPECT_EQ(history.lines(), (Lines{"2.0000 n-1 up", "3.0000 n-1 up"}));
}

}  // namespace
}  // namespace reachramp::lab
