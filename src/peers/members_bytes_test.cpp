// The literal form of the record `member/`, which versions from 0.3.0 on write alike.
#include "bytes.h"
#include "peers/members.h"

namespace reachramp::peers {
namespace {

TEST(MemberRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  EXPECT_TRUE(test::is_written_as(encode_member(kMemberRecordFormat), R"({"format":2})"));
  EXPECT_EQ(member_key("node-1"), "member/node-1");
  const auto stands = [](const char* record) {
    return all_support_format({"node-1"}, {{"member/node-1", test::received(record), 3, 0}});
  };
  EXPECT_TRUE(stands(R"({"format":2})"));
  EXPECT_TRUE(stands(R"({"format":3})"));
  EXPECT_FALSE(stands(R"({"format":1})"));
  EXPECT_FALSE(stands(R"({"form":2})"));
}

}  // namespace
}  // namespace reachramp::peers
