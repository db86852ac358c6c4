// The settings that all nodes must share. Nodes announce a digest of them in their claims and
// compare it with those of others, to find settings that differ.
#pragma once

#include <cstdint>

#include "settings/settings.h"

namespace reachramp::schema {

// Covers teams, limits, objectives, timings of workers and names of nodes, but neither which of the
// nodes this is nor addresses. It is the same on every node and in every version of the program for
// the same settings. For any thread.
std::uint64_t shared_settings_digest(const settings::Platform& platform);

}  // namespace reachramp::schema
