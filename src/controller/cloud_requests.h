// Calls to the cloud that wait for their turn under its rate limit, and which of them is next.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cloud/client.h"

namespace reachramp::controller {

struct CloudRequest {
  enum class Kind { scale_out, scale_in } kind = Kind::scale_out;
  cloud::ScaleOutRequest scale_out;
  std::vector<std::string> scale_in_machines;
  // A return before all other calls: a rule depends on it (workers/cancelled_tasks.h).
  bool urgent = false;
};

struct QueuedCloudRequest {
  std::uint64_t fencing_token = 0;  // fencing token of the leader that decided on it
  CloudRequest request;
};

// Takes the most important call out of `waiting`, which must not be empty: urgent returns, then
// rentals, since work waits for them, then other returns; of equals the oldest. Returns of one kind
// are put together into one call, as far as a call may name so many machines.
QueuedCloudRequest take_next_request(std::deque<QueuedCloudRequest>& waiting);

bool has_urgent_request(const std::deque<QueuedCloudRequest>& waiting);

}  // namespace reachramp::controller
