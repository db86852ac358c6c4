#include "controller/cloud_requests.h"

#include <algorithm>

namespace reachramp::controller {

namespace {

enum class RequestPriority { urgent_scale_in, scale_out, ordinary_scale_in };

RequestPriority priority_of(const QueuedCloudRequest& queued) {
  if (queued.request.urgent) return RequestPriority::urgent_scale_in;
  return queued.request.kind == CloudRequest::Kind::scale_out ? RequestPriority::scale_out
                                                              : RequestPriority::ordinary_scale_in;
}

}  // namespace

bool has_urgent_request(const std::deque<QueuedCloudRequest>& waiting) {
  return std::any_of(waiting.begin(), waiting.end(),
                     [](const QueuedCloudRequest& call) { return call.request.urgent; });
}

// Returns are merged into one call. With one call per machine, returning the fleet of a large site
// took a minute and a half, during which the cloud charged for the machines.
QueuedCloudRequest take_next_request(std::deque<QueuedCloudRequest>& waiting) {
  const auto first = std::min_element(waiting.begin(), waiting.end(),
                                      [](const QueuedCloudRequest& a, const QueuedCloudRequest& b) {
                                        return priority_of(a) < priority_of(b);
                                      });
  const RequestPriority priority = priority_of(*first);
  QueuedCloudRequest next = std::move(*first);
  waiting.erase(first);
  if (priority == RequestPriority::scale_out) return next;
  std::vector<std::string>& machines = next.request.scale_in_machines;
  for (auto at = waiting.begin(); at != waiting.end();) {
    const std::vector<std::string>& additional = at->request.scale_in_machines;
    const bool fits = machines.size() + additional.size() <= cloud::kMaxMachinesPerReturn;
    if (priority_of(*at) != priority || !fits) {
      ++at;
      continue;
    }
    machines.insert(machines.end(), additional.begin(), additional.end());
    at = waiting.erase(at);
  }
  return next;
}

}  // namespace reachramp::controller
