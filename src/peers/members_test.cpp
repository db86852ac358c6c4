#include "peers/members.h"

#include <gtest/gtest.h>

namespace reachramp::peers {
namespace {

TEST(Members, AllNodesMustHaveAnnouncedTheCurrentFormat) {
  const std::vector<std::string> nodes{"node-0", "node-1"};
  const auto entry = [](const std::string& node, const char* record) {
    return kv::Entry{member_key(node), kv::Json::parse(record), 1};
  };
  const kv::Entry own{member_key("node-0"), encode_member(kMemberRecordFormat), 1};
  EXPECT_FALSE(all_support_format(nodes, {}));
  EXPECT_FALSE(all_support_format(nodes, {own}));
  EXPECT_FALSE(all_support_format(nodes, {own, entry("node-7", R"({"format":2})")}))
      << "another node";
  for (const char* older :
       {R"({"format":1})", "{}", "[]", R"({"format":"2"})", R"({"format":-2})"}) {
    EXPECT_FALSE(all_support_format(nodes, {own, entry("node-1", older)})) << older;
  }
  EXPECT_TRUE(all_support_format(nodes, {own, entry("node-1", R"({"format":2})")}));
  EXPECT_TRUE(all_support_format(nodes, {own, entry("node-1", R"({"format":3,"more":1})")}))
      << "newer still";
}

}  // namespace
}  // namespace reachramp::peers
