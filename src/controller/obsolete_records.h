// Which stored records are not of the form that is written at a level, all slices asked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/message.h"

namespace reachramp::controller {

// All keys of records that some level finds stale begin with one of these.
std::vector<std::string> obsolete_record_prefixes();

// A step to the level is not over while such a record stands.
bool is_obsolete(const std::string& key, const wire::Json& value, std::uint32_t level);
// At any level that this version knows.
bool is_obsolete_at_any_level(const std::string& key, const wire::Json& value);

}  // namespace reachramp::controller
