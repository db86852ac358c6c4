#include "kv/token_bucket.h"

#include <gtest/gtest.h>

namespace reachramp::kv {
namespace {

TEST(TokenBucket, FullBucketGrantsABurstAndThenTellsTheWait) {
  TokenBucket bucket(2, 4);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(bucket.take(1, 100), 0);
  EXPECT_EQ(bucket.take(1, 100), 0.5);
  EXPECT_EQ(bucket.take(1, 100.25), 0.25);
  EXPECT_EQ(bucket.take(1, 100.5), 0);
}

TEST(TokenBucket, IdleBucketRefillsNoFurtherThanABurst) {
  TokenBucket bucket(2, 4);
  EXPECT_EQ(bucket.take(4, 0), 0);
  EXPECT_EQ(bucket.level(1), 0.5);
  EXPECT_EQ(bucket.available(1000), 4);
}

// Guards against a transaction larger than a burst that could never be sent.
TEST(TokenBucket, AmountAboveABurstLeavesADebt) {
  TokenBucket bucket(2, 4);
  EXPECT_EQ(bucket.take(6, 0), 0);
  EXPECT_EQ(bucket.available(0), -2);
  EXPECT_EQ(bucket.take(1, 0), 1.5);
}

}  // namespace
}  // namespace reachramp::kv
