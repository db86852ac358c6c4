#include "jobs/status_query_queue.h"

#include <gtest/gtest.h>

namespace reachramp::jobs {
namespace {

bool accept_any(const StatusQuery&) { return true; }

// Stands for a thread that waits.
std::condition_variable any_waiter;

TEST(StatusQueryQueue, LongestUnansweredJobComesFirst) {
  StatusQueryQueue queue;
  queue.join("j-new", 9, any_waiter);
  queue.join("j-old", 2, any_waiter);
  queue.join("j-newer", 9, any_waiter);
  EXPECT_EQ(queue.take_front()->id, "j-old");
  EXPECT_EQ(queue.take_front()->id, "j-new");
  EXPECT_EQ(queue.take_front()->id, "j-newer");
  EXPECT_TRUE(queue.empty());
}

TEST(StatusQueryQueue, QueriesAboutOneJobAreOneUntilItIsTaken) {
  StatusQueryQueue queue;
  const auto first = queue.join("j-1", 1, any_waiter);
  EXPECT_EQ(queue.join("j-1", 1, any_waiter), first);
  EXPECT_EQ(queue.take(9, accept_any).size(), 1u);
  EXPECT_NE(queue.join("j-1", 1, any_waiter), first)
      << "the request for the first query may have been executed already";
}

TEST(StatusQueryQueue, ARequeuedQueryKeepsItsPlaceAndCanBeJoined) {
  StatusQueryQueue queue;
  const auto first = queue.join("j-1", 1, any_waiter);
  queue.join("j-2", 2, any_waiter);
  queue.requeue(queue.take_front());
  EXPECT_EQ(queue.front(), first);
  EXPECT_EQ(queue.join("j-1", 1, any_waiter), first);
}

TEST(StatusQueryQueue, AQueryWithoutWaitersLeavesTheQueue) {
  StatusQueryQueue queue;
  std::condition_variable another_waiter;
  const auto one = queue.join("j-1", 1, any_waiter);
  queue.join("j-1", 1, another_waiter);
  queue.leave(one, any_waiter);
  EXPECT_FALSE(queue.empty());
  queue.leave(one, another_waiter);
  EXPECT_TRUE(queue.empty());
  const auto taken = queue.join("j-2", 1, any_waiter);
  queue.take_front();
  queue.leave(taken, any_waiter);
  queue.requeue(taken);
  EXPECT_TRUE(queue.empty());
}

TEST(StatusQueryQueue, TakesAtMostMaxCountThatPassTheFilter) {
  StatusQueryQueue queue;
  for (const char* id : {"j-1", "j-2", "j-3", "j-4"}) queue.join(id, 1, any_waiter);
  const auto taken = queue.take(2, [](const StatusQuery& query) { return query.id != "j-1"; });
  ASSERT_EQ(taken.size(), 2u);
  EXPECT_EQ(taken[0]->id, "j-2");
  EXPECT_EQ(taken[1]->id, "j-3");
  EXPECT_EQ(queue.front()->id, "j-1");
}

}  // namespace
}  // namespace reachramp::jobs
