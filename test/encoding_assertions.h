// Assertions on the encoding of messages and records. They compare the types of numbers too, since
// 1 and 1.0 differ in MessagePack.
#pragma once

#include <gtest/gtest.h>

#include "wire/message.h"

namespace reachramp::test {

// Succeeds if `actual` equals the JSON text `literal`, also in its encoding as MessagePack.
inline testing::AssertionResult is_encoded_as(const wire::Json& actual, const char* literal) {
  const wire::Json expected = wire::Json::parse(literal);
  if (actual == expected && wire::Json::to_msgpack(actual) == wire::Json::to_msgpack(expected)) {
    return testing::AssertionSuccess();
  }
  return testing::AssertionFailure()
         << "actual:   " << actual.dump() << "\nexpected: " << expected.dump();
}

// Parses a JSON literal and passes it through MessagePack, so that the result is what the receiver
// of such a message decodes.
inline wire::Json wire_round_trip(const char* literal) {
  return wire::decode_map(wire::encode(wire::Json::parse(literal)));
}

}  // namespace reachramp::test
