#include "peers/relay.h"

namespace reachramp::peers {

namespace {

// Twice this, on a detour, is still less than a worker waits.
constexpr auto kLimit = std::chrono::milliseconds(1500);
constexpr double kCutOffFor_s = 4;
constexpr std::size_t kKept = 64;  // connections to each node

}  // namespace

Relay::Relay(const settings::Platform& platform) {
  for (const settings::Member& member : platform.members) {
    clients_[member.name] =
        std::make_unique<wire::Client>(member.address, kKept, 2 * wire::kBodyLimit);
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
