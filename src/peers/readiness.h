// Whether users should be sent here: not while the key-value store refuses this node alone, or does
// not answer it.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "kv/client.h"
#include "leadership/read_freshness.h"
#include "peers/recent_cancellations.h"
#include "settings/settings.h"
#include "wire/http.h"

namespace reachramp::peers {

inline constexpr const char* kServedPath = "/served";

// For how long the key-value store has not served a node, in seconds: it has refused all for so
// long, or not answered for longer than a node is ever quiet. 0: it serves.
double unserved_duration_s(double refused_s, double since_served_s);

// With hysteresis, since each change costs users their connections.
class Readiness {
 public:
  // `others_served` is asked only when it matters: in an outage no node is served, and users are no
  // better off elsewhere.
  bool update(double unserved_s, const std::function<bool()>& peers_served, double now);

 private:
  bool ready_ = true;
  double last_unserved_at_ = 0;
};

// Why a leader that the key-value store does not answer may have to let its workers go: it can no
// longer be the leader, but they would stay with it, and whoever leads now would not hear them.
struct IsolationEvidence {
  double since_lease_renewal_s = 0;  // since its lease was last renewed
  bool store_refuses = false;        // the key-value store answers, with refusals
  std::size_t peers_asked = 0;       // that were asked
  std::size_t peers_answered = 0;    // of them
  bool successor_seen = false;       // one of them has seen a later leader's key
};
// It lets go where another certainly leads, or where all is silent: in an outage the key-value
// store refuses. Else it may be an outage, in which workers that are sent away lose their leases;
// it answers them for as long as its staleness allows.
bool must_step_down(const IsolationEvidence& evidence, double lease_duration_s);

// The answer to `kServedPath`, of a member that was asked for what it told within `window_s`; the
// times are the caller's. Nothing of it counts if any of it makes no sense.
wire::Json encode_recent_cancellations(const RecentCancellations::Confirmed& confirmed);
std::optional<leadership::CancellationDigest> decode_cancellation_digest(
    const wire::CallResult& answer);

// Asks the other nodes.
class NodeHealth {
 public:
  NodeHealth(const kv::Client& store, const settings::Platform& platform,
             RecentCancellations& recent_cancellations);

  bool ready();
  // Whether the leader here, whose lease of so many seconds was last renewed so long ago, must let
  // its workers go. Asks the others where that matters.
  bool leader_must_step_down(double since_lease_renewal_s, double lease_duration_s,
                             std::uint64_t fencing_token);
  // What each member has told as cancelled, asked one after another; this node is the last. One
  // window for each.
  std::vector<leadership::CancellationDigest> poll_cancellations(
      const std::vector<double>& windows);
  // What other nodes are told. `leader_stamp`: of the newest leader's key that this node has seen.
  wire::Response handle_served(const std::string& body, std::uint64_t leader_revision);

 private:
  double unserved_s(double now) const;

  using ResponsePredicate = std::function<bool(const wire::Json&)>;
  // How many of those asked answered, and whether the answer of one, who is the last, is the sign.
  std::pair<std::size_t, bool> poll_peers(std::size_t max_peers, const ResponsePredicate& matches);

  const kv::Client& store_;
  RecentCancellations& recent_cancellations_;
  const double started_at_;
  std::vector<std::unique_ptr<wire::Client>> peers_;
  std::mutex mutex_;
  Readiness readiness_;
};

}  // namespace reachramp::peers
