// Encodes and decodes the leader's record in its literal stored form.
#include "encoding_assertions.h"
#include "leadership/holder.h"

namespace reachramp::leadership {
namespace {

const Identity kSelf{"node-1", "10.0.0.1:8081", "77-"};

TEST(LeaderRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord = R"({"node":"node-1","at":"10.0.0.1:8081","nonce":"77-5"})";
  EXPECT_TRUE(test::is_encoded_as(encode_holder(kSelf, 5), kRecord));
  const wire::Json record = test::wire_round_trip(kRecord);
  EXPECT_EQ(node_of(record), "node-1");
  EXPECT_EQ(holder_of(record, kSelf, 5), Holder::ours);
  EXPECT_EQ(holder_of(record, kSelf, 6), Holder::predecessor);
  EXPECT_EQ(holder_of(record, {"node-1", "10.0.0.2:8081", "77-"}, 6), Holder::other);
}

// Versions 0.2.0, 0.3.0 and 0.4.0 write the same two fields.
TEST(LeaderRecordBytes, RecordOfEarlierVersionsWithoutAddressIsAnotherHolders) {
  const wire::Json record = test::wire_round_trip(R"({"node":"node-1","nonce":"4711-9"})");
  EXPECT_EQ(node_of(record), "node-1");
  EXPECT_EQ(holder_of(record, kSelf, 9), Holder::other);
}

}  // namespace
}  // namespace reachramp::leadership
