// MessagePack bodies: the door through which every message enters and leaves.
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

inline constexpr std::size_t kMaxBody_bytes = 64 * 1024;

// A message that cannot be taken; what() names the offending field.
class BadMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Decodes one MessagePack map. Throws BadMessage for anything else: other encodings, trailing
// bytes, binary data, numbers that are not finite, nesting beyond what any message needs.
Json decode_map(std::string_view body);
std::string encode(const Json& message);

// The size a message counts as: limits are measured in the JSON form.
std::size_t json_size(const Json& message);

// Readers for fields. A null field counts as absent; a missing required one throws BadMessage.
const Json* find(const Json& map, const char* field);
const Json& require(const Json& map, const char* field);
std::string text(const Json& map, const char* field, std::size_t max_size = 200);
std::optional<std::string> optional_text(const Json& map, const char* field,
                                         std::size_t max_size = 200);
std::uint64_t count(const Json& map, const char* field,
                    std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
double amount(const Json& map, const char* field, double max = 1e12);
std::optional<double> optional_amount(const Json& map, const char* field, double max = 1e12);
bool flag(const Json& map, const char* field);
const Json& list(const Json& map, const char* field);

}  // namespace reachramp::wire
