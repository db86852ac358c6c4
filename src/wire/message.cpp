#include "wire/message.h"

#include <cmath>

namespace reachramp::wire {

namespace {

// Deeper than any message of the protocol.
constexpr int kMaxNestingDepth = 12;

// Checks a body without building a document, so that a hostile one is rejected before it takes
// memory or stack: the library's parser recurses once for every level of nesting.
class MessageValidator : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t value, const string_t&) override { return std::isfinite(value); }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxNestingDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth_ >= 0; }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxNestingDepth; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  int depth_ = 0;
};

[[noreturn]] void throw_bad_message(const char* field, const char* reason) {
  throw BadMessage(std::string(field) + ": " + reason);
}

double read_amount(const Json& value, const char* field, double max) {
  if (!value.is_number()) throw_bad_message(field, "not a number");
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0 || number > max)
    throw_bad_message(field, "out of range");
  return number;
}

std::string read_text(const Json& value, const char* field, std::size_t max_size) {
  if (!value.is_string()) throw_bad_message(field, "not text");
  const auto& found = value.get_ref<const std::string&>();
  if (found.empty() || found.size() > max_size) throw_bad_message(field, "empty or too long");
  return found;
}

}  // namespace

Json decode_map(std::string_view body) {
  MessageValidator validator;
  if (body.empty() ||
      !Json::sax_parse(body.begin(), body.end(), &validator, Json::input_format_t::msgpack)) {
    throw BadMessage("body: not MessagePack that a message may hold");
  }
  Json message = Json::from_msgpack(body.begin(), body.end(), true, false);
  if (!message.is_object()) throw BadMessage("body: not a map");
  return message;
}

std::string encode(const Json& message) {
  std::string body;
  Json::to_msgpack(message, nlohmann::detail::output_adapter<char>(body));
  return body;
}

std::size_t json_size(const Json& message) {
  return message.dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

const Json* find(const Json& map, const char* field) {
  const auto at = map.find(field);
  return at == map.end() || at->is_null() ? nullptr : &*at;
}

const Json& require(const Json& map, const char* field) {
  const Json* value = map.is_object() ? find(map, field) : nullptr;
  if (value == nullptr) throw_bad_message(field, "missing");
  return *value;
}

std::string text(const Json& map, const char* field, std::size_t max_size) {
  return read_text(require(map, field), field, max_size);
}

std::optional<std::string> optional_text(const Json& map, const char* field, std::size_t max_size) {
  const Json* value = find(map, field);
  if (value == nullptr) return std::nullopt;
  return read_text(*value, field, max_size);
}

std::uint64_t count(const Json& map, const char* field, std::uint64_t max) {
  const Json& value = require(map, field);
  if (!value.is_number_integer()) throw_bad_message(field, "not a whole number");
  if (!value.is_number_unsigned() && value.get<std::int64_t>() < 0)
    throw_bad_message(field, "negative");
  const auto number = value.get<std::uint64_t>();
  if (number > max) throw_bad_message(field, "too large");
  return number;
}

double amount(const Json& map, const char* field, double max) {
  return read_amount(require(map, field), field, max);
}

std::optional<double> optional_amount(const Json& map, const char* field, double max) {
  const Json* value = find(map, field);
  if (value == nullptr) return std::nullopt;
  return read_amount(*value, field, max);
}

bool flag(const Json& map, const char* field) {
  const Json& value = require(map, field);
  if (!value.is_boolean()) throw_bad_message(field, "neither true nor false");
  return value.get<bool>();
}

const Json& list(const Json& map, const char* field) {
  const Json& value = require(map, field);
  if (!value.is_array()) throw_bad_message(field, "not a list");
  return value;
}

}  // namespace reachramp::wire
