#include "controller/heartbeat_router.h"

#include <algorithm>

#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

using kv::steady_now;

constexpr auto kAnswerLimit = std::chrono::seconds(3);
// Less than the 4 s that a worker waits, and long enough for a silent leader to be replaced.
constexpr double kForwardFor_s = 3.4;
constexpr double kForwardAgain_s = 0.5;

}  // namespace

wire::Reply HeartbeatRouter::route(const std::string& body, HeartbeatOrigin origin) {
  const wire::Json message = wire::decode_map(body);
  const workers::Heartbeat heartbeat = workers::decode_heartbeat(message);
  const double give_up = steady_now() + kForwardFor_s;
  const bool via_other_node = origin == HeartbeatOrigin::worker;
  for (;;) {
    const leadership::LeadershipStatus status = election_.status();
    const bool leading = status.fencing_token != 0;
    if (leading) {
      wire::Reply reply = answer_here(status.fencing_token, heartbeat);
      if (reply.status != peers::kMisdirected || !via_other_node) return reply;
    }
    if (origin == HeartbeatOrigin::leader_hop) break;
    if (auto reply = forward(status, message, via_other_node, give_up)) return *reply;
    // A leader that has just died is replaced well within the time that a worker waits for an
    // answer. Turned away, it would try the next node, which may be gone as well: workers lost
    // their leases to two dead nodes in a row.
    const double left = give_up - steady_now();
    if (leading || status.isolated || !via_other_node || left <= 0) break;
    election_.wait_for_change(status, std::min(left, kForwardAgain_s));
  }
  return {503, {{"error", "no leader answers"}}};
}

std::optional<wire::Reply> HeartbeatRouter::forward(const leadership::LeadershipStatus& status,
                                                    const wire::Json& message, bool via_other_node,
                                                    double until) {
  // This node may answer no longer, or has given up its leadership. Refused by the key-value store
  // alone it still has the other nodes, who know of a leader: its workers need not move. Cut off
  // from all, or where they all know of none but this one, it sends them on at once.
  if (status.fencing_token != 0 || status.isolated) {
    return forwarder_.forward("", message, via_other_node, until);
  }
  if (status.leader.empty() || status.leader == node_name_) return std::nullopt;
  return forwarder_.forward(status.leader, message, via_other_node, until);
}

wire::Reply HeartbeatRouter::answer_here(std::uint64_t fencing_token,
                                         const workers::Heartbeat& heartbeat) {
  auto reply = std::make_shared<std::promise<wire::Reply>>();
  std::future<wire::Reply> answer = reply->get_future();
  events_.push({fencing_token, HeartbeatReceived{heartbeat, reply}});
  if (answer.wait_for(kAnswerLimit) == std::future_status::ready) return answer.get();
  return {503, {{"error", "busy"}}};
}

}  // namespace reachramp::controller
