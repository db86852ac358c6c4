// Reads of the key-value store that take more than one call, or for which absence is an answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kv/client.h"

namespace reachramp::controller {

// All entries whose keys begin with `prefix`, page by page; nothing if a page could not be read.
// `first_revision`: if given and 0, it is set to the store's revision at the first page. For any
// thread; blocks.
std::optional<std::vector<kv::Entry>> list_all(kv::Client& store, const std::string& prefix,
                                               std::uint64_t* first_revision = nullptr);

// Reads a record that need not exist: `into` is set to the entry, and left as it is where there is
// none. False: the store did not answer. For any thread; blocks.
bool read_optional(kv::Client& store, const std::string& key, std::optional<kv::Entry>& entry);

}  // namespace reachramp::controller
