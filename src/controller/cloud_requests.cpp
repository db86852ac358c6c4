#include "controller/cloud_requests.h"

#include <algorithm>

namespace reachramp::controller {

namespace {

enum class Rank { urgent_return, rental, other_return };

Rank rank_of(const QueuedCloudRequest& call) {
  if (call.request.urgent) return Rank::urgent_return;
  return call.request.kind == CloudRequest::Kind::scale_out ? Rank::rental : Rank::other_return;
}

}  // namespace

bool has_urgent_request(const std::deque<QueuedCloudRequest>& waiting) {
  return std::any_of(waiting.begin(), waiting.end(),
                     [](const QueuedCloudRequest& call) { return call.request.urgent; });
}

// Returns go together: one call a machine took a minute and a half for the fleet of a grown site,
// which was charged meanwhile.
QueuedCloudRequest take_next_request(std::deque<QueuedCloudRequest>& waiting) {
  const auto first = std::min_element(waiting.begin(), waiting.end(),
                                      [](const QueuedCloudRequest& a, const QueuedCloudRequest& b) {
                                        return rank_of(a) < rank_of(b);
                                      });
  const Rank rank = rank_of(*first);
  QueuedCloudRequest next = std::move(*first);
  waiting.erase(first);
  if (rank == Rank::rental) return next;
  std::vector<std::string>& machines = next.request.machines;
  for (auto at = waiting.begin(); at != waiting.end();) {
    const std::vector<std::string>& more = at->request.machines;
    const bool fits = machines.size() + more.size() <= cloud::kMostPerReturn;
    if (rank_of(*at) != rank || !fits) {
      ++at;
      continue;
    }
    machines.insert(machines.end(), more.begin(), more.end());
    at = waiting.erase(at);
  }
  return next;
}

}  // namespace reachramp::controller
