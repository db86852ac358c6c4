// Parameters of a request's query.
#pragma once

#include <cstdint>
#include <string>

namespace reachramp::lab {

// Empty if it is not there.
std::string query_parameter(const std::string& query, const std::string& name);
// Throws wire::BadMessage for what is no count.
std::uint64_t parse_count(const std::string& text, const char* field);
std::uint64_t parse_count_or(const std::string& text, const char* field, std::uint64_t otherwise);

}  // namespace reachramp::lab
