#include "model/query.h"

#include <charconv>

#include "wire/message.h"

namespace reachramp::lab {

std::string query_parameter(const std::string& query, const std::string& name) {
  const std::string padded = "&" + query;
  const auto at = padded.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 2;
  return padded.substr(begin, padded.find('&', begin) - begin);
}

std::uint64_t parse_count(const std::string& text, const char* field) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end)
    throw wire::BadMessage(std::string(field) + ": no count");
  return value;
}

std::uint64_t parse_count_or(const std::string& text, const char* field, std::uint64_t fallback) {
  return text.empty() ? fallback : parse_count(text, field);
}

}  // namespace reachramp::lab
