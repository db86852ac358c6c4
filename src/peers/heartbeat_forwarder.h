// Forwards workers' heartbeats to the leader. Workers stay connected to the node they chose: if all
// of them were connected to the leader, its failure would cut off every worker at once.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "settings/settings.h"
#include "wire/http.h"

namespace reachramp::peers {

// The path on the peer listener for heartbeats that a node sends straight to the leader.
inline constexpr const char* kForwardToLeaderPath = "/relay/report";
// The path for heartbeats that an intermediate node is to forward to the leader: when the network
// between two zones is down, a third zone may still reach both.
inline constexpr const char* kIntermediateHopPath = "/relay/onward";

// The HTTP status of a node that does not lead. A forwarding node passes such a response on
// unchanged.
inline constexpr int kStatusMisdirectedRequest = 421;

// Owns the connections to the other nodes and limits the number of heartbeats that are forwarded at
// the same time. Thread-safe.
class HeartbeatForwarder {
 public:
  explicit HeartbeatForwarder(const settings::Platform& platform);

  // Returns the leader's response to the heartbeat, or none if it does not arrive before `deadline`
  // (steady seconds). Tries the leader first and then, if `allow_intermediate_node`, each other
  // node. If `leader` is not the name of a known node, it tries only intermediate nodes, which may
  // know the leader.
  std::optional<wire::Response> forward(const std::string& leader, const wire::Json& heartbeat,
                                        bool allow_intermediate_node, double deadline);

 private:
  // Holds one of the slots of `free_slots_` while a heartbeat is forwarded.
  class Slot;

  // Sends the heartbeat to one node. None if the node does not respond in time or was recently
  // unreachable, or if its response is neither 200 nor kStatusMisdirectedRequest.
  std::optional<wire::Response> send_to(const std::string& node, const char* path,
                                        const wire::Json& heartbeat, double timeout_s,
                                        double deadline);
  // Whether the node is not to be tried for now because an earlier request to it timed out.
  bool recently_unreachable(const std::string& node, double now);

  std::map<std::string, std::unique_ptr<wire::Client>> clients_;
  std::mutex mutex_;
  std::condition_variable slot_freed_;
  std::size_t free_slots_;  // how many more heartbeats may be forwarded at the same time
  std::map<std::string, double> unreachable_until_;
};

}  // namespace reachramp::peers
