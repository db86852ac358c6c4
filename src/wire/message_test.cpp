#include "wire/message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "wire/socket.h"

namespace reachramp::wire {
namespace {

RC_GTEST_PROP(Message, AnyBytesAreDecodedOrRejectedWithoutACrash, (const std::string& bytes)) {
  try {
    RC_ASSERT(decode_map(bytes).is_object());
  } catch (const BadMessage&) {
  }
}

// A valid message with one byte changed gets further into the parser than random bytes do.
RC_GTEST_PROP(Message, DamagedMessagesAreDecodedOrRejected,
              (const std::map<std::string, std::vector<int>>& content)) {
  std::string bytes = encode(Json(content));
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  try {
    decode_map(bytes);
  } catch (const BadMessage&) {
  }
}

RC_GTEST_PROP(Message, RoundTrip, (const std::map<std::string, std::vector<int>>& content)) {
  const Json message = content.empty() ? Json::object() : Json(content);
  RC_ASSERT(decode_map(encode(message)) == message);
}

// Guards against a stack overflow: 64 KiB of nested lists once caused as many nested calls in the
// library's parser.
TEST(Message, DeepNestingIsRejectedBeforeItTakesStack) {
  EXPECT_THROW(decode_map(std::string(kMaxBody_bytes, '\x91')), BadMessage);
  EXPECT_THROW(decode_map("\x81\xa1x" + std::string(60000, '\x91')), BadMessage);
}

TEST(Message, OnlyFiniteNumbersTextAndMaps) {
  EXPECT_THROW(decode_map(""), BadMessage);
  EXPECT_THROW(decode_map(encode(Json::array({1}))), BadMessage);
  EXPECT_THROW(decode_map(encode(Json{{"x", std::nan("")}})), BadMessage);
  EXPECT_THROW(decode_map(encode(Json{{"x", Json::binary({1, 2})}})), BadMessage);
  EXPECT_THROW(decode_map(encode(Json{{"x", 1}}) + "y"), BadMessage);
}

TEST(Message, FieldsOfTheWrongKindAreNamed) {
  const Json map{{"n", -1},    {"big", 1e300}, {"t", ""},
                 {"whole", 2}, {"half", 0.5},  {"none", nullptr}};
  EXPECT_THROW(count(map, "n"), BadMessage);
  EXPECT_THROW(count(map, "half"), BadMessage);
  EXPECT_THROW(amount(map, "n"), BadMessage);
  EXPECT_THROW(amount(map, "big"), BadMessage);
  EXPECT_THROW(text(map, "t"), BadMessage);
  EXPECT_THROW(amount(map, "none"), BadMessage) << "null is absent";
  EXPECT_EQ(optional_amount(map, "none"), std::nullopt);
  EXPECT_EQ(amount(map, "whole"), 2.0) << "decimals may arrive as whole numbers";
}

TEST(Address, OnlyNumericHostsWithAPort) {
  EXPECT_EQ(parse_address("10.0.0.1:8080").port, 8080);
  for (const char* bad : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:99999", "host:80"}) {
    EXPECT_THROW(parse_address(bad), std::invalid_argument) << bad;
  }
}

}  // namespace
}  // namespace reachramp::wire
