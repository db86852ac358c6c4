// Calls to the cloud that wait for their turn under its rate limit, and which of them is next.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cloud/client.h"

namespace reachramp::controller {

struct CloudOrder {
  enum class Kind { hire, give_back } kind = Kind::hire;
  cloud::Hire hire;
  std::vector<std::string> machines;
  // A return before all other calls: a rule depends on it (workers/cancelled_tasks.h).
  bool urgent = false;
};

struct CloudCall {
  std::uint64_t token = 0;  // fencing token of the leader that decided on it
  CloudOrder order;
};

// Takes the most important call out of `waiting`, which must not be empty: urgent returns, then
// rentals, since work waits for them, then other returns; of equals the oldest. Returns of one kind
// are put together into one call, as far as a call may name so many machines.
CloudCall take_next_call(std::deque<CloudCall>& waiting);

bool has_urgent_call(const std::deque<CloudCall>& waiting);

}  // namespace reachramp::controller
