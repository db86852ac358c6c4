#include "peers/relay.h"

#include <algorithm>

namespace reachramp::peers {

namespace {

// Twice this, on a detour, is still less than a worker waits.
constexpr auto kLimit = std::chrono::milliseconds(1500);
constexpr double kCutOffFor_s = 4;
// Of all descriptors. A change of leaders sets all workers' reports going at once; without a
// descriptor for it, one would take the leader for cut off.
constexpr double kCarriedShare = 0.2;
constexpr double kKeptShare = 0.1;
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

Relay::Relay(const settings::Platform& platform)
    : free_(std::max(8, static_cast<int>(platform.fd_limit * kCarriedShare))) {
  const std::size_t others = std::max<std::size_t>(1, platform.members.size());
  const auto kept = static_cast<std::size_t>(platform.fd_limit * kKeptShare) / others;
  for (const settings::Member& member : platform.members) {
    clients_[member.name] =
        std::make_unique<wire::Client>(member.address, kept, 2 * wire::kBodyLimit);
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
