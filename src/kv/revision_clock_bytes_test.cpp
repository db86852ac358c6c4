// Encodes and decodes the record `timeline` in its literal form, which must not change: later
// versions read it.
#include "encoding_assertions.h"
#include "kv/revision_clock.h"

namespace reachramp::kv {
namespace {

TEST(RevisionClockBytes, RecordIsEncodedAndDecodedAsLiteral) {
  constexpr const char* kRecord = R"({"marks":[[10,30000],[20,20000],[30,500]]})";
  RevisionClock written;
  written.observe(10, 70);
  written.observe(20, 80);
  written.observe(30, 99.5);
  EXPECT_TRUE(test::is_encoded_as(written.encode(100), kRecord));
  RevisionClock read;
  read.restore(test::wire_round_trip(kRecord), 40, 200);
  EXPECT_EQ(read.time_of(10, 200), 170);
  EXPECT_EQ(read.time_of(20, 200), 180);
  EXPECT_EQ(read.time_of(30, 200), 199.5);
  EXPECT_STREQ(kTimelineKey, "timeline");
}

TEST(RevisionClockBytes, RecordOfVersion040IsDecoded) {
  RevisionClock read;
  read.restore(test::wire_round_trip(R"({"marks":[[7,4000],[9,0]]})"), 9, 50);
  EXPECT_EQ(read.time_of(7, 50), 46);
}

}  // namespace
}  // namespace reachramp::kv
