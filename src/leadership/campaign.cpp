#include "leadership/campaign.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "state/clock.h"

namespace reachramp::leadership {

namespace {

using state::Outcome;
using namespace std::chrono_literals;

constexpr const char* kKey = "leader";
// Without a leader nobody answers workers: a new one must be there well within their lease.
constexpr double kLifeOfLease = 0.3;
// Long leases do not make a dead leader any better: meanwhile nothing starts. Sites with short ones
// have always lived with less.
constexpr double kLongestLife_s = 4;
constexpr double kRenewalsPerLife = 4;
constexpr double kRetry_s = 0.3;
constexpr double kAfterYou_s = 0.3;

std::chrono::milliseconds millis(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

std::string random_nonce() {
  std::random_device device;
  return std::to_string((static_cast<std::uint64_t>(device()) << 32) | device());
}

}  // namespace

Campaign::Campaign(state::Client& state, const settings::Platform& platform,
                   std::function<bool()> another_should)
    : state_(state),
      platform_(platform),
      life_s_(std::clamp(platform.workers.lease_s * kLifeOfLease, 1.0, kLongestLife_s)),
      nonce_(random_nonce()),
      another_should_(std::move(another_should)) {}

Standing Campaign::standing() {
  std::lock_guard lock(mutex_);
  return standing_;
}

void Campaign::wait_for_change(const Standing& from, double seconds) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::duration<double>(seconds),
                    [&] { return standing_ != from; });
}

std::uint64_t Campaign::wait_to_lead(std::uint64_t last) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return standing_.baton != 0 && standing_.baton != last; });
  return standing_.baton;
}

void Campaign::deposed(std::uint64_t baton) {
  std::lock_guard lock(mutex_);
  if (standing_.baton != baton) return;
  standing_ = {};
  position_ = 0;
  changed_.notify_all();
}

void Campaign::resign(std::uint64_t baton) {
  std::lock_guard lock(mutex_);
  if (standing_.baton != baton) return;
  standing_ = {};
  position_ = 0;
  resigning_ = true;
  changed_.notify_all();
}

void Campaign::bar(bool barred) {
  std::uint64_t baton = 0;
  {
    std::lock_guard lock(mutex_);
    barred_ = barred;
    baton = standing_.baton;
  }
  if (barred && baton != 0) resign(baton);
}

void Campaign::set(std::uint64_t baton, const std::string& leader) {
  std::lock_guard lock(mutex_);
  if (standing_.leader != leader) {
    spdlog::info("leader: {}", leader.empty() ? "none" : leader);
  }
  standing_ = {baton, leader};
  changed_.notify_all();
}

void Campaign::pause(double seconds) {
  std::unique_lock lock(mutex_);
  const std::uint64_t baton = standing_.baton;
  changed_.wait_for(lock, std::chrono::duration<double>(seconds),
                    [&] { return standing_.baton != baton || resigning_; });
}

void Campaign::run() {
  for (;;) {
    bool resign = false, barred = false;
    {
      std::lock_guard lock(mutex_);
      resign = std::exchange(resigning_, false);
      barred = barred_;
    }
    if (resign) {
      state_.release(permit_);
      permit_ = 0;
      pause(platform_.workers.lease_s * 0.1);
    } else if (standing().baton != 0) {
      keep();
    } else if (vacant_ && !barred) {
      stand();
    } else {
      watch();
    }
  }
}

void Campaign::keep() {
  pause(life_s_ / kRenewalsPerLife);
  const std::uint64_t baton = standing().baton;
  if (baton == 0) return;
  // While the state service does not answer we go on answering workers, for their leases' sake;
  // nothing new starts, and whoever takes over shows in a higher baton.
  if (state_.renew(permit_) == Outcome::absent) {
    spdlog::info("the lead has run out");
    deposed(baton);
    permit_ = 0;
  }
}

void Campaign::stand() {
  if (another_should_() && !waited_) {
    waited_ = true;
    vacant_ = false;
    position_ = 0;  // look again whether it is vacant still
    pause(kAfterYou_s);
    return;
  }
  waited_ = false;
  const state::Permit permit = state_.hold(millis(life_s_));
  if (permit.outcome != Outcome::ok) {
    vacant_ = false;
    pause(state::jittered(kRetry_s).count());
    return;
  }
  permit_ = permit.id;
  state::Transaction claim;
  claim.conditions = {{kKey, 0}};
  claim.writes.push_back(
      {kKey,
       state::Json{{"node", platform_.node_name}, {"nonce", nonce_ + std::to_string(permit_)}},
       permit_});
  const state::Committed committed = state_.commit(claim);
  vacant_ = false;
  if (committed.outcome == Outcome::ok) {
    set(committed.epoch, platform_.node_name);
    return;
  }
  // Without an answer the claim may have been granted; the next look at the key tells.
  if (committed.outcome == Outcome::conflict) {
    state_.release(permit_);
    permit_ = 0;
  }
}

void Campaign::watch() {
  if (position_ == 0) {
    const state::Found found = state_.get(kKey);
    if (found.outcome == Outcome::ok) {
      const std::string node = found.entry.value.value("node", "");
      const bool ours =
          permit_ != 0 && found.entry.value.value("nonce", "") == nonce_ + std::to_string(permit_);
      position_ = found.entry.stamp;
      waited_ = false;
      set(ours ? found.entry.stamp : 0, node);
    } else if (found.outcome == Outcome::absent) {
      vacant_ = true;
      position_ = found.epoch;
      set(0, "");
    } else {
      pause(state::jittered(kRetry_s).count());
    }
    return;
  }
  const state::Changes changes = state_.follow(kKey, position_, millis(life_s_));
  if (changes.outcome != Outcome::ok) {
    position_ = 0;
    if (changes.outcome != Outcome::absent) pause(state::jittered(kRetry_s).count());
    return;
  }
  position_ = changes.epoch;
  for (const state::Change& change : changes.changes) {
    if (change.key != kKey) continue;
    vacant_ = !change.value;
    set(0, change.value ? change.value->value("node", "") : "");
  }
}

}  // namespace reachramp::leadership
