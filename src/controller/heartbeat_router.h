// Decides which node responds to a worker's heartbeat.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "controller/events.h"
#include "leadership/leader_election.h"
#include "peers/heartbeat_forwarder.h"
#include "settings/settings.h"

namespace reachramp::controller {

// How a heartbeat has reached this node, which limits how it may be forwarded.
// - worker: directly from the worker. It may be forwarded to the leader, also through another node.
// - intermediate_hop: from a node that could not reach the leader. It may be forwarded to the
//   leader only.
// - final_hop: from a node that considers this one the leader. It may not be forwarded again.
enum class HeartbeatOrigin { worker, intermediate_hop, final_hop };

// Routes heartbeats to this node's event loop or to the leader's node. Any thread may call it.
class HeartbeatRouter {
 public:
  // Keeps references to `election`, `forwarder` and `events`, which must outlive it.
  HeartbeatRouter(const settings::Platform& platform, leadership::LeaderElection& election,
                  peers::HeartbeatForwarder& forwarder, EventQueue& events)
      : node_name_(platform.node_name),
        election_(election),
        forwarder_(forwarder),
        events_(events) {}

  // Returns the leader's reply, from this node or from the leader's node, or 503 if there is none
  // in time. Only a heartbeat that comes directly from a worker waits for a new leader to be
  // elected. Blocks for up to 3.4 s, plus the time that a call already begun takes. Throws
  // wire::BadMessage if the body is not a heartbeat.
  wire::Response route(const std::string& body, HeartbeatOrigin origin);

 private:
  // The reply from the leader's node; none if the leader is unknown or cannot be reached.
  std::optional<wire::Response> forward(const leadership::LeadershipStatus& status,
                                        const wire::Json& message, bool allow_intermediate_node,
                                        double deadline);
  // The reply from this node's event loop; 503 if it takes longer than 3 s.
  wire::Response answer_locally(std::uint64_t fencing_token, const workers::Heartbeat& heartbeat);

  const std::string node_name_;
  leadership::LeaderElection& election_;
  peers::HeartbeatForwarder& forwarder_;
  EventQueue& events_;
};

}  // namespace reachramp::controller
