// Requests to the cloud that wait because of its rate limit, and the choice of the next one to
// send.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cloud/client.h"

namespace reachramp::controller {

// A request to rent machines (`scale_out`) or to return the machines named in `scale_in_machines`.
struct CloudRequest {
  enum class Kind { scale_out, scale_in } kind = Kind::scale_out;
  cloud::ScaleOutRequest scale_out;
  std::vector<std::string> scale_in_machines;
  // A return that is sent before all other requests, because a cancelled task may still run on the
  // machine and must end in time (workers/cancelled_tasks.h).
  bool urgent = false;
};

// A request together with the leader that decided on it.
struct QueuedCloudRequest {
  std::uint64_t fencing_token = 0;  // of the leader that made the request
  CloudRequest request;
};

// Removes the request with the highest priority from `waiting`, which must not be empty, and
// returns it. Urgent returns come first, then rentals, since work waits for them, then other
// returns; among equals the oldest. Returns of the same priority are merged into one call, up to
// the number of machines that a call may name.
QueuedCloudRequest take_next_request(std::deque<QueuedCloudRequest>& waiting);

// Whether any of the waiting requests is urgent.
bool has_urgent_request(const std::deque<QueuedCloudRequest>& waiting);

}  // namespace reachramp::controller
