#include "peers/heartbeat_forwarder.h"

#include <algorithm>

#include "kv/steady_clock.h"

namespace reachramp::peers {

namespace {

// The leader answers within a second or so. A detour tells at once, or the third node has no way
// either.
constexpr double kLimit_s = 1.5;
constexpr double kDetourLimit_s = 0.7;
constexpr double kCutOffFor_s = 4;
// A change of leaders sets all workers' reports going at once. Without a descriptor for it, one
// would take the leader for cut off; and all nodes together must leave the leader half of the
// connections that it can serve.
constexpr double kCarriedShare = 0.2;  // of descriptors
constexpr double kKeptShare = 0.1;     // of descriptors
constexpr std::size_t kCarryAtLeast = 8;
constexpr auto kWaitForSlot = std::chrono::milliseconds(300);

}  // namespace

class HeartbeatForwarder::Slot {
 public:
  explicit Slot(HeartbeatForwarder& relay) : relay_(relay) {
    std::unique_lock lock(relay.mutex_);
    taken_ = relay.freed_.wait_for(lock, kWaitForSlot, [&] { return relay.free_ > 0; });
    if (taken_) --relay.free_;
  }
  ~Slot() {
    if (!taken_) return;
    std::lock_guard lock(relay_.mutex_);
    ++relay_.free_;
    relay_.freed_.notify_one();
  }
  Slot(const Slot&) = delete;
  bool taken() const { return taken_; }

 private:
  HeartbeatForwarder& relay_;
  bool taken_ = false;
};

HeartbeatForwarder::HeartbeatForwarder(const settings::Platform& platform) {
  const std::size_t others = std::max<std::size_t>(1, platform.members.size());
  const auto share = [&](double part) {
    return static_cast<std::size_t>(platform.fd_limit * part);
  };
  const std::size_t served =
      wire::connections_for({platform.fd_limit, platform.ram_mb, platform.thread_limit});
  free_ = std::max(kCarryAtLeast, std::min(share(kCarriedShare), served / 2 / others));
  for (const settings::Member& member : platform.members) {
    clients_[member.name] = std::make_unique<wire::Client>(
        member.address, share(kKeptShare) / others, 2 * wire::kBodyLimit);
  }
}

bool HeartbeatForwarder::cut_off(const std::string& leader, double now) {
  std::lock_guard lock(mutex_);
  const auto at = cut_off_until_.find(leader);
  return at != cut_off_until_.end() && now < at->second;
}

// Cuts hang: whoever has met one does not wait for it again with every report, be it on the way to
// the leader or on a detour. A machine without power on the detour cost workers their leases: their
// report had no answer in time, and the node that they tried next was the dead one.
std::optional<wire::Reply> HeartbeatForwarder::by_way_of(const std::string& node, const char* path,
                                                         const wire::Json& report, double limit_s,
                                                         double until) {
  const double now = kv::steady_now();
  const double limit = std::min(limit_s, until - now);
  if (limit <= 0 || cut_off(node, now)) return std::nullopt;
  const wire::Answer answer = clients_.at(node)->call(
      "POST", path, &report, std::chrono::milliseconds(static_cast<int>(limit * 1000)));
  if (answer.status == 200 || answer.status == kMisdirected) {
    return wire::Reply{answer.status, answer.body};
  }
  if (!answer.answered && limit == limit_s) {
    std::lock_guard lock(mutex_);
    cut_off_until_[node] = now + kCutOffFor_s;
  }
  return std::nullopt;
}

std::optional<wire::Reply> HeartbeatForwarder::forward(const std::string& leader,
                                                       const wire::Json& report, bool detour,
                                                       double until) {
  const bool known = clients_.contains(leader);
  if (!known && !detour) return std::nullopt;
  const Slot slot(*this);
  if (!slot.taken()) return std::nullopt;
  std::optional<wire::Reply> answer;
  if (known) answer = by_way_of(leader, kRelayPath, report, kLimit_s, until);
  for (const auto& [name, other] : clients_) {
    if (answer || !detour) break;
    if (name != leader) answer = by_way_of(name, kOnwardPath, report, kDetourLimit_s, until);
  }
  return answer;
}

}  // namespace reachramp::peers
