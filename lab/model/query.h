// Reads parameters of the query part of a URL, such as `after=5&limit=100`.
#pragma once

#include <cstdint>
#include <string>

namespace reachramp::lab {

// The value of the parameter; empty if the query doesn't have it.
std::string query_parameter(const std::string& query, const std::string& name);
// Parses a non-negative integer. Throws wire::BadMessage, which names `field`, for anything else.
std::uint64_t parse_count(const std::string& text, const char* field);
// The same, but returns `fallback` for an empty text.
std::uint64_t parse_count_or(const std::string& text, const char* field, std::uint64_t fallback);

}  // namespace reachramp::lab
