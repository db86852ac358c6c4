// Decides which node answers a worker's heartbeat.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "controller/events.h"
#include "leadership/leader_election.h"
#include "peers/heartbeat_forwarder.h"
#include "settings/settings.h"

namespace reachramp::controller {

// Where a heartbeat comes from, which decides how far it may still be forwarded: straight from the
// worker, anywhere and by way of another node; from a node that could not reach the leader itself,
// to the leader only; from a node that takes this one for the leader, nowhere.
enum class HeartbeatOrigin { worker, intermediate_hop, final_hop };

// Owns nothing but the rule. For any thread that serves a request.
class HeartbeatRouter {
 public:
  HeartbeatRouter(const settings::Platform& platform, leadership::LeaderElection& election,
                  peers::HeartbeatForwarder& forwarder, EventQueue& events)
      : node_name_(platform.node_name),
        election_(election),
        forwarder_(forwarder),
        events_(events) {}

  // The leader's reply, from here or from the node that leads; 503 if none can be had in time. Only
  // a worker's own heartbeat waits for a new leader. Blocks for up to 3.4 s, and longer by what a
  // call takes that has begun. Throws wire::BadMessage where the body is not a heartbeat.
  wire::Response route(const std::string& body, HeartbeatOrigin origin);

 private:
  // From the node that leads; nothing: it cannot be reached, or is not known.
  std::optional<wire::Response> forward(const leadership::LeadershipStatus& status,
                                        const wire::Json& message, bool allow_intermediate_node,
                                        double deadline);
  // From this node's event loop; 503 if it takes longer than 3 s.
  wire::Response answer_locally(std::uint64_t fencing_token, const workers::Heartbeat& heartbeat);

  const std::string node_name_;
  leadership::LeaderElection& election_;
  peers::HeartbeatForwarder& forwarder_;
  EventQueue& events_;
};

}  // namespace reachramp::controller
