// Tells which stored records are obsolete, that is, not in the form that a given schema level
// writes. Combines the checks of all modules that own records.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/message.h"

namespace reachramp::controller {

// The key prefixes of all records that can be obsolete at some level.
std::vector<std::string> obsolete_record_prefixes();

// Whether the record is obsolete at `level`. A migration to that level is complete only when no
// such record remains.
bool is_obsolete(const std::string& key, const wire::Json& value, std::uint32_t level);
// Whether the record is obsolete at any level that this program version supports.
bool is_obsolete_at_any_level(const std::string& key, const wire::Json& value);

}  // namespace reachramp::controller
