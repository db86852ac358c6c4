// Encoding and decoding of MessagePack bodies. Every message that enters or leaves a process goes
// through these functions.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace reachramp::wire {

using Json = nlohmann::json;

// Size limit of a request body that the server accepts.
inline constexpr std::size_t kMaxBody_bytes = 64 * 1024;

// Thrown for a message that is malformed; what() names the offending field.
class BadMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Decodes one MessagePack map. Throws BadMessage for anything else: other encodings, trailing
// bytes, binary data, numbers that are not finite, or nesting deeper than any message needs.
Json decode_map(std::string_view body);
// Encodes a message as MessagePack.
std::string encode(const Json& message);

// Returns the size of a message in bytes of its JSON form, in which size limits are measured.
std::size_t json_size(const Json& message);

// Readers of fields. A field with the value null counts as absent. All but find() throw BadMessage
// for a field of another type or outside its limits, and for an absent one unless it is optional.

// Returns the field, or null if it is absent.
const Json* find(const Json& map, const char* field);
// Returns the field, whatever its type.
const Json& require(const Json& map, const char* field);
// Text that is not empty and has at most `max_size` bytes.
std::string text(const Json& map, const char* field, std::size_t max_size = 200);
std::optional<std::string> optional_text(const Json& map, const char* field,
                                         std::size_t max_size = 200);
// A whole number from 0 to `max`.
std::uint64_t count(const Json& map, const char* field,
                    std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
// A finite number from 0 to `max`.
double amount(const Json& map, const char* field, double max = 1e12);
std::optional<double> optional_amount(const Json& map, const char* field, double max = 1e12);
// A boolean.
bool flag(const Json& map, const char* field);
// A list.
const Json& list(const Json& map, const char* field);

}  // namespace reachramp::wire
