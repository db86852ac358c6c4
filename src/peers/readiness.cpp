#include "peers/readiness.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "jobs/spec.h"
#include "kv/steady_clock.h"

namespace reachramp::peers {

namespace {

using namespace std::chrono_literals;

constexpr double kUnservedFor_s = 2.5;
// Watches return every four seconds at the latest, and one that is lost is asked for again.
constexpr double kQuiet_s = 6;
constexpr double kServedFor_s = 3;
// Probes wait a second for their answer; a few nodes must fit in.
constexpr auto kAskLimit = 250ms;
constexpr std::size_t kMostAsked = 3;
constexpr double kLeaseOver_s = 1;

}  // namespace

double unserved_for(double refused_s, double served_ago_s) {
  return std::max(refused_s, served_ago_s > kQuiet_s ? served_ago_s : 0);
}

bool Readiness::judge(double unserved_s, const std::function<bool()>& others_served, double now) {
  if (unserved_s > 0) unserved_at_ = now;
  const bool was = ready_;
  if (ready_) {
    ready_ = unserved_s < kUnservedFor_s || !others_served();
  } else {
    ready_ = now - unserved_at_ > kServedFor_s || (unserved_s > 0 && !others_served());
  }
  if (was != ready_) spdlog::info("ready: {}", ready_);
  return ready_;
}

NodeHealth::NodeHealth(const kv::Client& state, const settings::Platform& platform,
                       RecentCancellations& told)
    : state_(state), told_(told), since_(kv::steady_now()) {
  for (const settings::Member& member : platform.members) {
    others_.push_back(std::make_unique<wire::Client>(member.address, 1, wire::kBodyLimit));
  }
}

bool must_step_down(const IsolationEvidence& isolation, double lease_duration_s) {
  // A moment more: whoever is refused longer than a lease lasts has lost it, or nobody has.
  if (isolation.silent_s < lease_duration_s + kLeaseOver_s || isolation.peers == 0) return false;
  if (isolation.succeeded) return true;
  if (isolation.answered > 0) return false;
  return !isolation.refused;
}

wire::Json encode_recent_cancellations(const RecentCancellations::Since& told) {
  return {{"complete_s", told.complete_s}, {"cancelled", told.jobs}};
}

std::optional<leadership::CancellationDigest> decode_cancellation_digest(
    const wire::Answer& answer) {
  if (answer.status != 200 || !answer.body.is_object()) return std::nullopt;
  try {
    const wire::Json* told = wire::find(answer.body, "told");  // older versions tell nothing
    if (told == nullptr) return std::nullopt;
    leadership::CancellationDigest word;
    word.covered_s = wire::amount(*told, "complete_s");
    for (const wire::Json& item : wire::list(*told, "cancelled")) {
      if (!item.is_string() || !jobs::is_job_id(item.get_ref<const std::string&>())) {
        throw wire::BadMessage("cancelled: not a job id");
      }
      word.cancelled.push_back(item.get<std::string>());
    }
    return word;
  } catch (const std::exception& error) {
    spdlog::error("a node tells of cancellations: {}", error.what());
    return std::nullopt;
  }
}

std::pair<std::size_t, bool> NodeHealth::poll_others(std::size_t most, const Sign& sign) {
  std::size_t answered = 0;
  for (std::size_t i = 0; i < std::min(others_.size(), most); ++i) {
    const wire::Answer answer = others_[i]->call("GET", kServedPath, nullptr, kAskLimit);
    answered += answer.answered ? 1 : 0;
    if (answer.status == 200 && answer.body.is_object() && sign(answer.body)) {
      return {answered, true};
    }
  }
  return {answered, false};
}

bool NodeHealth::cut_off(double silent_s, double lease_duration_s, std::uint64_t fencing_token) {
  IsolationEvidence isolation;
  isolation.silent_s = silent_s;
  isolation.peers = others_.size();
  if (silent_s < lease_duration_s + kLeaseOver_s) return false;
  isolation.refused = state_.refused_duration_s(kv::steady_now()) > 0;
  // The key's revision only grows, so whoever has seen a larger one has seen a later leader. That
  // others were served after us showed none: where a refusal of the leader went over into an outage
  // for all, it let go, and all leases were lost.
  std::tie(isolation.answered, isolation.succeeded) =
      poll_others(others_.size(), [&](const wire::Json& answer) {
        const wire::Json* revision = wire::find(answer, "leader_stamp");
        return revision != nullptr && revision->is_number_unsigned() &&
               revision->get<std::uint64_t>() > fencing_token;
      });
  return must_step_down(isolation, lease_duration_s);
}

// One that has just been started has not been left without an answer yet.
double NodeHealth::unserved(double now) const {
  return unserved_for(state_.refused_duration_s(now),
                      std::min(state_.seconds_since_served(now), now - since_));
}

bool NodeHealth::ready() {
  std::lock_guard lock(mutex_);
  const double now = kv::steady_now();
  return readiness_.judge(
      unserved(now),
      [this] {
        return poll_others(kMostAsked,
                           [](const wire::Json& answer) {
                             const wire::Json* served = wire::find(answer, "served");
                             return served != nullptr && served->is_boolean() &&
                                    served->get<bool>();
                           })
            .second;
      },
      now);
}

std::vector<leadership::CancellationDigest> NodeHealth::poll_cancellations(
    const std::vector<double>& windows) {
  std::vector<leadership::CancellationDigest> words;
  for (std::size_t member = 0; member < windows.size(); ++member) {
    std::optional<leadership::CancellationDigest> word;
    const double asked_at = kv::steady_now();
    if (member < others_.size()) {
      const wire::Json body{{"told_within_s", windows[member]}};
      word =
          decode_cancellation_digest(others_[member]->call("GET", kServedPath, &body, kAskLimit));
    } else {
      RecentCancellations::Since own = told_.since(windows[member], asked_at);
      word.emplace();
      word->covered_s = own.complete_s;
      word->cancelled = std::move(own.jobs);
    }
    if (!word) continue;
    word->member = member;
    word->window_s = windows[member];
    word->asked_at = asked_at;
    word->received_at = kv::steady_now();
    words.push_back(std::move(*word));
  }
  return words;
}

// `ago_s` is for versions that know nothing of `leader_stamp`.
wire::Reply NodeHealth::served(const std::string& body, std::uint64_t leader_revision) {
  const double now = kv::steady_now();
  wire::Json answer{{"served", unserved(now) == 0},
                    {"ago_s", state_.seconds_since_served(now)},
                    {"leader_stamp", leader_revision}};
  if (!body.empty()) {
    const wire::Json asked = wire::decode_map(body);
    answer["told"] =
        encode_recent_cancellations(told_.since(wire::amount(asked, "told_within_s"), now));
  }
  return {200, std::move(answer)};
}

}  // namespace reachramp::peers
