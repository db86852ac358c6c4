#include "controller/heartbeat_router.h"

#include <algorithm>

#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

using kv::steady_now;

constexpr auto kLocalAnswerTimeout = std::chrono::seconds(3);
// The timeout is less than the 4 s that a worker waits for a response, and long enough for a leader
// that has failed to be replaced.
constexpr double kForwardTimeout_s = 3.4;
constexpr double kForwardRetryInterval_s = 0.5;

}  // namespace

wire::Response HeartbeatRouter::route(const std::string& body, HeartbeatOrigin origin) {
  const wire::Json message = wire::decode_map(body);
  const workers::Heartbeat heartbeat = workers::decode_heartbeat(message);
  const double deadline = steady_now() + kForwardTimeout_s;
  const bool is_from_worker = origin == HeartbeatOrigin::worker;
  for (;;) {
    const leadership::LeadershipStatus status = election_.status();
    const bool is_leader = status.fencing_token != 0;
    if (is_leader) {
      wire::Response reply = answer_locally(status.fencing_token, heartbeat);
      if (reply.status != peers::kStatusMisdirectedRequest || !is_from_worker) return reply;
    }
    if (origin == HeartbeatOrigin::final_hop) break;
    if (auto reply = forward(status, message, is_from_worker, deadline)) return *reply;
    // A leader that has failed is replaced well within the time that a worker waits. A worker that
    // is rejected tries the next node, which may be down as well: workers lost their leases when
    // two nodes that they tried in a row were down.
    const double remaining_s = deadline - steady_now();
    if (is_leader || status.isolated || !is_from_worker || remaining_s <= 0) break;
    election_.wait_for_change(status, std::min(remaining_s, kForwardRetryInterval_s));
  }
  return {503, {{"error", "no leader answers"}}};
}

std::optional<wire::Response> HeartbeatRouter::forward(const leadership::LeadershipStatus& status,
                                                       const wire::Json& message,
                                                       bool allow_intermediate_node,
                                                       double deadline) {
  // This node is the leader but must not respond now, or it has stepped down because it is
  // isolated. If this node is only cut off from the key-value store, other nodes know the leader,
  // so its workers need not move to another node. If no node knows another leader, the heartbeat is
  // rejected at once and the worker tries the next node.
  if (status.fencing_token != 0 || status.isolated) {
    return forwarder_.forward("", message, allow_intermediate_node, deadline);
  }
  if (status.leader.empty() || status.leader == node_name_) return std::nullopt;
  return forwarder_.forward(status.leader, message, allow_intermediate_node, deadline);
}

wire::Response HeartbeatRouter::answer_locally(std::uint64_t fencing_token,
                                               const workers::Heartbeat& heartbeat) {
  auto reply = std::make_shared<std::promise<wire::Response>>();
  std::future<wire::Response> answer = reply->get_future();
  events_.push({fencing_token, HeartbeatReceived{heartbeat, reply}});
  if (answer.wait_for(kLocalAnswerTimeout) == std::future_status::ready) return answer.get();
  return {503, {{"error", "busy"}}};
}

}  // namespace reachramp::controller
