#include "peers/relay.h"

#include <algorithm>

namespace reachramp::peers {

namespace {

// Twice this, on a detour, is still less than a worker waits.
constexpr auto kLimit = std::chrono::milliseconds(1500);
constexpr double kCutOffFor_s = 4;
// A change of leaders sets all workers' reports going at once. Without a descriptor for it, one
// would take the leader for cut off; and all nodes together must leave the leader half of the
// connections that it can serve.
constexpr double kCarriedShare = 0.2;  // of descriptors
constexpr double kKeptShare = 0.1;     // of descriptors
constexpr std::size_t kCarryAtLeast = 8;
constexpr auto kWaitForSlot = std::chrono::milliseconds(300);

}  // namespace

class Relay::Slot {
 public:
  explicit Slot(Relay& relay) : relay_(relay) {
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
  Relay& relay_;
  bool taken_ = false;
};

Relay::Relay(const settings::Platform& platform) {
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

bool Relay::cut_off(const std::string& leader, double now) {
  std::lock_guard lock(mutex_);
  const auto at = cut_off_until_.find(leader);
  return at != cut_off_until_.end() && now < at->second;
}

std::optional<wire::Reply> Relay::carry(const std::string& leader, const wire::Json& report,
                                        bool detour, double now) {
  const auto client = clients_.find(leader);
  if (client == clients_.end()) return std::nullopt;
  const Slot slot(*this);
  if (!slot.taken()) return std::nullopt;
  if (!cut_off(leader, now)) {
    const wire::Answer answer = client->second->call("POST", kRelayPath, &report, kLimit);
    if (answer.status == 200) return wire::Reply{200, answer.body};
    // Cuts hang: whoever has met one does not wait for it again with every report.
    if (!answer.answered) {
      std::lock_guard lock(mutex_);
      cut_off_until_[leader] = now + kCutOffFor_s;
    }
  }
  for (const auto& [name, other] : clients_) {
    if (!detour || name == leader) continue;
    const wire::Answer answer = other->call("POST", kOnwardPath, &report, kLimit);
    if (answer.status == 200) return wire::Reply{200, answer.body};
  }
  return std::nullopt;
}

}  // namespace reachramp::peers
