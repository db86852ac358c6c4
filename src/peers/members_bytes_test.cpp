// The literal form of the record member/<node>, which all versions since 0.3.0 write in the same
// way.
#include "encoding_assertions.h"
#include "peers/members.h"

namespace reachramp::peers {
namespace {

TEST(MemberRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  EXPECT_TRUE(test::is_encoded_as(encode_member(kMemberRecordFormat), R"({"format":2})"));
  EXPECT_EQ(member_key("node-1"), "member/node-1");
  const auto is_supported = [](const char* record) {
    return all_support_format({"node-1"}, {{"member/node-1", test::wire_round_trip(record), 3, 0}});
  };
  EXPECT_TRUE(is_supported(R"({"format":2})"));
  EXPECT_TRUE(is_supported(R"({"format":3})"));
  EXPECT_FALSE(is_supported(R"({"format":1})"));
  EXPECT_FALSE(is_supported(R"({"form":2})"));
}

}  // namespace
}  // namespace reachramp::peers
