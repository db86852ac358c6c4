#include "peers/readiness.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "state/clock.h"

namespace reachramp::peers {

namespace {

using namespace std::chrono_literals;

constexpr double kRefusedFor_s = 2.5;
constexpr double kServedFor_s = 3;
// Probes wait a second for their answer; a few nodes must fit in.
constexpr auto kAskLimit = 250ms;
constexpr std::size_t kMostAsked = 3;
constexpr double kPermitOver_s = 1;
// Every process has watches that are answered more often than this.
constexpr double kServedLately_s = 8;

}  // namespace

bool Readiness::judge(double refused_s, const std::function<bool()>& others_served, double now) {
  if (refused_s > 0) refused_at_ = now;
  const bool was = ready_;
  if (ready_) {
    ready_ = refused_s < kRefusedFor_s || !others_served();
  } else {
    ready_ = now - refused_at_ > kServedFor_s || (refused_s > 0 && !others_served());
  }
  if (was != ready_) spdlog::info("ready: {}", ready_);
  return ready_;
}

Health::Health(const state::Client& state, const settings::Platform& platform) : state_(state) {
  for (const settings::Member& member : platform.members) {
    others_.push_back(std::make_unique<wire::Client>(member.address, 1, wire::kBodyLimit));
  }
}

bool must_let_go(const Isolation& isolation, double permit_s) {
  // A moment more: whoever is refused longer than a permit lasts has lost it, or nobody has.
  if (isolation.silent_s < permit_s + kPermitOver_s || isolation.peers == 0) return false;
  if (isolation.others_served) return true;
  if (isolation.answered > 0) return false;
  return !isolation.refused || isolation.silent_s > kUnclear_s;
}

std::pair<std::size_t, bool> Health::ask_others(std::size_t most) {
  std::size_t answered = 0;
  for (std::size_t i = 0; i < std::min(others_.size(), most); ++i) {
    const wire::Answer answer = others_[i]->call("GET", kServedPath, nullptr, kAskLimit);
    if (answer.status != 200 || !answer.body.is_object()) continue;
    ++answered;
    const wire::Json* served = wire::find(answer.body, "served");
    if (served != nullptr && served->is_boolean() && served->get<bool>()) return {answered, true};
  }
  return {answered, false};
}

bool Health::cut_off(double silent_s, double permit_s) {
  Isolation isolation;
  isolation.silent_s = silent_s;
  isolation.peers = others_.size();
  if (silent_s < permit_s + kPermitOver_s) return false;
  isolation.refused = state_.refused_for(state::steady_now()) > 0;
  std::tie(isolation.answered, isolation.others_served) = ask_others(others_.size());
  return must_let_go(isolation, permit_s);
}

bool Health::ready() {
  std::lock_guard lock(mutex_);
  const double now = state::steady_now();
  return readiness_.judge(
      state_.refused_for(now), [this] { return ask_others(kMostAsked).second; }, now);
}

wire::Reply Health::served() const {
  const double now = state::steady_now();
  return {200,
          {{"served", state_.refused_for(now) == 0 && state_.served_ago(now) < kServedLately_s}}};
}

}  // namespace reachramp::peers
