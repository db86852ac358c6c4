// Helpers for reads of the key-value store that take several calls, or in which a missing key is
// not an error.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kv/client.h"

namespace reachramp::controller {

// Reads all entries whose keys begin with `prefix`, page by page; returns none if a page could not
// be read. If `first_revision` is given and its value is 0, sets it to the store's revision at the
// first page. Any thread may call it; blocks.
std::optional<std::vector<kv::Entry>> list_all(kv::Client& store, const std::string& prefix,
                                               std::uint64_t* first_revision = nullptr);

// Reads a record that may be missing: sets `entry` if the record exists and leaves it unchanged
// otherwise. Returns false if the store did not answer. Any thread may call it; blocks.
bool read_optional(kv::Client& store, const std::string& key, std::optional<kv::Entry>& entry);

}  // namespace reachramp::controller
