#include "jobs/status_query_queue.h"

#include <gtest/gtest.h>

namespace reachramp::jobs {
namespace {

bool accept_any(const StatusQuery&) { return true; }

TEST(StatusQueryQueue, LongestUnansweredJobComesFirst) {
  StatusQueryQueue queue;
  queue.join("j-new", 9);
  queue.join("j-old", 2);
  queue.join("j-newer", 9);
  EXPECT_EQ(queue.take_front()->id, "j-old");
  EXPECT_EQ(queue.take_front()->id, "j-new");
  EXPECT_EQ(queue.take_front()->id, "j-newer");
  EXPECT_TRUE(queue.empty());
}

TEST(StatusQueryQueue, QueriesAboutOneJobAreOneUntilItIsTaken) {
  StatusQueryQueue queue;
  const auto first = queue.join("j-1", 1);
  EXPECT_EQ(queue.join("j-1", 1), first);
  EXPECT_EQ(queue.take(9, accept_any).size(), 1u);
  EXPECT_NE(queue.join("j-1", 1), first)
      << "the request for the first query may have been executed already";
}

TEST(StatusQueryQueue, ARequeuedQueryKeepsItsPlaceAndCanBeJoined) {
  StatusQueryQueue queue;
  const auto first = queue.join("j-1", 1);
  queue.join("j-2", 2);
  queue.requeue(queue.take_front());
  EXPECT_EQ(queue.front(), first);
  EXPECT_EQ(queue.join("j-1", 1), first);
}

TEST(StatusQueryQueue, AQueryWithoutWaitersLeavesTheQueue) {
  StatusQueryQueue queue;
  const auto one = queue.join("j-1", 1);
  queue.join("j-1", 1);
  queue.leave(one);
  EXPECT_FALSE(queue.empty());
  queue.leave(one);
  EXPECT_TRUE(queue.empty());
  const auto taken = queue.join("j-2", 1);
  queue.take_front();
  queue.leave(taken);
  queue.requeue(taken);
  EXPECT_TRUE(queue.empty());
}

TEST(StatusQueryQueue, TakesAtMostMaxCountThatPassTheFilter) {
  StatusQueryQueue queue;
  for (const char* id : {"j-1", "j-2", "j-3", "j-4"}) queue.join(id, 1);
  const auto taken = queue.take(2, [](const StatusQuery& query) { return query.id != "j-1"; });
  ASSERT_EQ(taken.size(), 2u);
  EXPECT_EQ(taken[0]->id, "j-2");
  EXPECT_EQ(taken[1]->id, "j-3");
  EXPECT_EQ(queue.front()->id, "j-1");
}

}  // namespace
}  // namespace reachramp::jobs
