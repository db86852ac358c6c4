// Whether a message or record is written exactly as a literal, types of numbers included: as
// MessagePack 1 and 1.0 differ.
#pragma once

#include <gtest/gtest.h>

#include "wire/message.h"

namespace reachramp::test {

inline testing::AssertionResult is_encoded_as(const wire::Json& actual, const char* literal) {
  const wire::Json expected = wire::Json::parse(literal);
  if (actual == expected && wire::Json::to_msgpack(actual) == wire::Json::to_msgpack(expected)) {
    return testing::AssertionSuccess();
  }
  return testing::AssertionFailure()
         << "written: " << actual.dump() << "\nliteral: " << expected.dump();
}

// As it comes from the wire.
inline wire::Json wire_round_trip(const char* literal) {
  return wire::decode_map(wire::encode(wire::Json::parse(literal)));
}

}  // namespace reachramp::test
