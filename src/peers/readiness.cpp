#include "peers/readiness.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "jobs/spec.h"
#include "kv/steady_clock.h"

namespace reachramp::peers {

namespace {

using namespace std::chrono_literals;

constexpr double kNotReadyAfterUnserved_s = 2.5;
// The longest normal pause between the store's responses: watches return every four seconds at the
// latest, and a lost one is repeated.
constexpr double kMaxWatchSilence_s = 6;
constexpr double kReadyAfterServed_s = 3;
// Callers of /ready wait one second for the response, in which a few nodes must be asked.
constexpr auto kPeerQueryTimeout = 250ms;
constexpr std::size_t kMaxPeersPerReadinessCheck = 3;
constexpr double kLeaseExpiryMargin_s = 1;

}  // namespace

double unserved_duration_s(double refused_s, double since_served_s) {
  return std::max(refused_s, since_served_s > kMaxWatchSilence_s ? since_served_s : 0);
}

bool Readiness::update(double unserved_s, const std::function<bool()>& peers_served, double now) {
  if (unserved_s > 0) last_unserved_at_ = now;
  const bool was_ready = ready_;
  if (ready_) {
    ready_ = unserved_s < kNotReadyAfterUnserved_s || !peers_served();
  } else {
    ready_ = now - last_unserved_at_ > kReadyAfterServed_s || (unserved_s > 0 && !peers_served());
  }
  if (was_ready != ready_) spdlog::info("ready for users: {}", ready_);
  return ready_;
}

NodeHealth::NodeHealth(const kv::Client& store, const settings::Platform& platform,
                       RecentCancellations& recent_cancellations)
    : store_(store), recent_cancellations_(recent_cancellations), started_at_(kv::steady_now()) {
  for (const settings::Member& member : platform.members) {
    peers_.push_back(std::make_unique<wire::Client>(member.address, 1, wire::kMaxBody_bytes));
  }
}

bool must_step_down(const IsolationEvidence& evidence, double lease_duration_s) {
  // With the margin, the lease has certainly expired, unless the store is down and no lease
  // expires.
  if (evidence.since_lease_renewal_s < lease_duration_s + kLeaseExpiryMargin_s ||
      evidence.peers_asked == 0)
    return false;
  if (evidence.successor_seen) return true;
  if (evidence.peers_answered > 0) return false;
  return !evidence.store_refuses;
}

wire::Json encode_recent_cancellations(const RecentCancellations::Confirmed& confirmed) {
  return {{"complete_s", confirmed.covered_s}, {"cancelled", confirmed.jobs}};
}

std::optional<leadership::CancellationDigest> decode_cancellation_digest(
    const wire::CallResult& answer) {
  if (answer.status != 200 || !answer.body.is_object()) return std::nullopt;
  try {
    const wire::Json* confirmed = wire::find(answer.body, "told");  // older versions send no list
    if (confirmed == nullptr) return std::nullopt;
    leadership::CancellationDigest digest;
    digest.covered_s = wire::amount(*confirmed, "complete_s");
    for (const wire::Json& item : wire::list(*confirmed, "cancelled")) {
      if (!item.is_string() || !jobs::is_job_id(item.get_ref<const std::string&>())) {
        throw wire::BadMessage("cancelled: not a job id");
      }
      digest.cancelled.push_back(item.get<std::string>());
    }
    return digest;
  } catch (const std::exception& error) {
    spdlog::error("invalid list of cancellations from another node: {}", error.what());
    return std::nullopt;
  }
}

std::pair<std::size_t, bool> NodeHealth::poll_peers(std::size_t max_peers,
                                                    const ResponsePredicate& matches) {
  std::size_t responded = 0;
  for (std::size_t i = 0; i < std::min(peers_.size(), max_peers); ++i) {
    const wire::CallResult response =
        peers_[i]->call("GET", kServedPath, nullptr, kPeerQueryTimeout);
    responded += response.received_response ? 1 : 0;
    if (response.status == 200 && response.body.is_object() && matches(response.body)) {
      return {responded, true};
    }
  }
  return {responded, false};
}

bool NodeHealth::leader_must_step_down(double since_lease_renewal_s, double lease_duration_s,
                                       std::uint64_t fencing_token) {
  IsolationEvidence evidence;
  evidence.since_lease_renewal_s = since_lease_renewal_s;
  evidence.peers_asked = peers_.size();
  if (since_lease_renewal_s < lease_duration_s + kLeaseExpiryMargin_s) return false;
  evidence.store_refuses = store_.refused_duration_s(kv::steady_now()) > 0;
  // The leader key's revision only grows, so a node that has seen a higher one has seen a later
  // leader. Being served by the store later than this node proves no new leader: when the store
  // first refused the leader and then everybody, a leader that stepped down for that reason cost
  // all workers their leases.
  std::tie(evidence.peers_answered, evidence.successor_seen) =
      poll_peers(peers_.size(), [&](const wire::Json& response) {
        const wire::Json* revision = wire::find(response, "leader_stamp");
        return revision != nullptr && revision->is_number_unsigned() &&
               revision->get<std::uint64_t>() > fencing_token;
      });
  return must_step_down(evidence, lease_duration_s);
}

// The time without responses counts from the start of this process at the earliest.
double NodeHealth::unserved_s(double now) const {
  return unserved_duration_s(store_.refused_duration_s(now),
                             std::min(store_.seconds_since_served(now), now - started_at_));
}

bool NodeHealth::ready() {
  std::lock_guard lock(mutex_);
  const double now = kv::steady_now();
  return readiness_.update(
      unserved_s(now),
      [this] {
        return poll_peers(kMaxPeersPerReadinessCheck,
                          [](const wire::Json& response) {
                            const wire::Json* served = wire::find(response, "served");
                            return served != nullptr && served->is_boolean() && served->get<bool>();
                          })
            .second;
      },
      now);
}

std::vector<leadership::CancellationDigest> NodeHealth::poll_cancellations(
    const std::vector<double>& windows) {
  std::vector<leadership::CancellationDigest> digests;
  for (std::size_t member = 0; member < windows.size(); ++member) {
    std::optional<leadership::CancellationDigest> digest;
    const double asked_at = kv::steady_now();
    if (member < peers_.size()) {
      const wire::Json body{{"told_within_s", windows[member]}};
      digest = decode_cancellation_digest(
          peers_[member]->call("GET", kServedPath, &body, kPeerQueryTimeout));
    } else {
      RecentCancellations::Confirmed own =
          recent_cancellations_.confirmed_within(windows[member], asked_at);
      digest.emplace();
      digest->covered_s = own.covered_s;
      digest->cancelled = std::move(own.jobs);
    }
    if (!digest) continue;
    digest->member = member;
    digest->window_s = windows[member];
    digest->asked_at = asked_at;
    digest->received_at = kv::steady_now();
    digests.push_back(std::move(*digest));
  }
  return digests;
}

// The field `ago_s` is for older versions, which don't know `leader_stamp`.
wire::Response NodeHealth::handle_served(const std::string& body, std::uint64_t leader_revision) {
  const double now = kv::steady_now();
  wire::Json response{{"served", unserved_s(now) == 0},
                      {"ago_s", store_.seconds_since_served(now)},
                      {"leader_stamp", leader_revision}};
  if (!body.empty()) {
    const wire::Json asked = wire::decode_map(body);
    response["told"] = encode_recent_cancellations(
        recent_cancellations_.confirmed_within(wire::amount(asked, "told_within_s"), now));
  }
  return {200, std::move(response)};
}

}  // namespace reachramp::peers
