#include "peers/heartbeat_forwarder.h"

#include <algorithm>

#include "kv/steady_clock.h"

namespace reachramp::peers {

namespace {

// The leader responds within about a second. An intermediate node responds faster, unless it can't
// reach the leader either.
constexpr double kLeaderTimeout_s = 1.5;
constexpr double kIntermediateNodeTimeout_s = 0.7;
constexpr double kUnreachableFor_s = 4;  // for which a node that timed out is not tried
// After a change of leaders all workers send heartbeats at once. A node without a file descriptor
// for forwarding one would take the leader for unreachable. So one share of the descriptors is set
// aside for forwarding, and another for idle connections to the other nodes. All nodes together
// must also leave at least half of the connections that the leader can serve to others.
constexpr double kForwardDescriptorShare = 0.2;
constexpr double kPooledConnectionShare = 0.1;
constexpr std::size_t kMinForwardSlots = 8;
constexpr auto kSlotTimeout = std::chrono::milliseconds(300);

}  // namespace

class HeartbeatForwarder::Slot {
 public:
  explicit Slot(HeartbeatForwarder& forwarder) : forwarder_(forwarder) {
    std::unique_lock lock(forwarder.mutex_);
    acquired_ = forwarder.slot_freed_.wait_for(lock, kSlotTimeout,
                                               [&] { return forwarder.free_slots_ > 0; });
    if (acquired_) --forwarder.free_slots_;
  }
  ~Slot() {
    if (!acquired_) return;
    std::lock_guard lock(forwarder_.mutex_);
    ++forwarder_.free_slots_;
    forwarder_.slot_freed_.notify_one();
  }
  Slot(const Slot&) = delete;
  bool acquired() const { return acquired_; }

 private:
  HeartbeatForwarder& forwarder_;
  bool acquired_ = false;
};

HeartbeatForwarder::HeartbeatForwarder(const settings::Platform& platform) {
  const std::size_t other_count = std::max<std::size_t>(1, platform.members.size());
  const auto share = [&](double part) {
    return static_cast<std::size_t>(platform.fd_limit * part);
  };
  const std::size_t served_connections =
      wire::max_connections_within({platform.fd_limit, platform.ram_mb, platform.thread_limit});
  free_slots_ = std::max(kMinForwardSlots, std::min(share(kForwardDescriptorShare),
                                                    served_connections / 2 / other_count));
  for (const settings::Member& member : platform.members) {
    clients_[member.name] = std::make_unique<wire::Client>(
        member.address, share(kPooledConnectionShare) / other_count, 2 * wire::kMaxBody_bytes);
  }
}

bool HeartbeatForwarder::recently_unreachable(const std::string& node, double now) {
  std::lock_guard lock(mutex_);
  const auto at = unreachable_until_.find(node);
  return at != unreachable_until_.end() && now < at->second;
}

// Requests to a node behind a network partition time out instead of failing at once. A node that
// has timed out is therefore skipped for a while, as the leader or as an intermediate node. Without
// this, an intermediate node that had lost power cost workers their leases: their heartbeats were
// not answered in time, and the node that they tried next was the dead one.
std::optional<wire::Response> HeartbeatForwarder::send_to(const std::string& node, const char* path,
                                                          const wire::Json& heartbeat,
                                                          double timeout_s, double deadline) {
  const double now = kv::steady_now();
  const double available_s = std::min(timeout_s, deadline - now);
  if (available_s <= 0 || recently_unreachable(node, now)) return std::nullopt;
  const wire::CallResult response = clients_.at(node)->call(
      "POST", path, &heartbeat, std::chrono::milliseconds(static_cast<int>(available_s * 1000)));
  if (response.status == 200 || response.status == kStatusMisdirectedRequest) {
    return wire::Response{response.status, response.body};
  }
  if (!response.received_response && available_s == timeout_s) {
    std::lock_guard lock(mutex_);
    unreachable_until_[node] = now + kUnreachableFor_s;
  }
  return std::nullopt;
}

std::optional<wire::Response> HeartbeatForwarder::forward(const std::string& leader,
                                                          const wire::Json& heartbeat,
                                                          bool allow_intermediate_node,
                                                          double deadline) {
  const bool known = clients_.contains(leader);
  if (!known && !allow_intermediate_node) return std::nullopt;
  const Slot slot(*this);
  if (!slot.acquired()) return std::nullopt;
  std::optional<wire::Response> response;
  if (known)
    response = send_to(leader, kForwardToLeaderPath, heartbeat, kLeaderTimeout_s, deadline);
  for (const auto& [name, other] : clients_) {
    if (response || !allow_intermediate_node) break;
    if (name != leader)
      response =
          send_to(name, kIntermediateHopPath, heartbeat, kIntermediateNodeTimeout_s, deadline);
  }
  return response;
}

}  // namespace reachramp::peers
