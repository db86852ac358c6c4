#include "controller/cloud_calls.h"

#include <algorithm>

namespace reachramp::controller {

namespace {

enum class Rank { urgent_return, rental, other_return };

Rank rank_of(const CloudCall& call) {
  if (call.order.urgent) return Rank::urgent_return;
  return call.order.kind == CloudOrder::Kind::hire ? Rank::rental : Rank::other_return;
}

}  // namespace

bool has_urgent_call(const std::deque<CloudCall>& waiting) {
  return std::any_of(waiting.begin(), waiting.end(),
                     [](const CloudCall& call) { return call.order.urgent; });
}

// Returns go together: one call a machine took a minute and a half for the fleet of a grown site,
// which was charged meanwhile.
CloudCall take_next_call(std::deque<CloudCall>& waiting) {
  const auto first = std::min_element(
      waiting.begin(), waiting.end(),
      [](const CloudCall& a, const CloudCall& b) { return rank_of(a) < rank_of(b); });
  const Rank rank = rank_of(*first);
  CloudCall next = std::move(*first);
  waiting.erase(first);
  if (rank == Rank::rental) return next;
  std::vector<std::string>& machines = next.order.machines;
  for (auto at = waiting.begin(); at != waiting.end();) {
    const std::vector<std::string>& more = at->order.machines;
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
