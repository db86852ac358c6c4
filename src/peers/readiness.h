// Health of this node: whether users should be sent to it (not while the key-value store serves
// other nodes but refuses or does not answer this one), and whether it is isolated as a leader.
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

// The path with which nodes ask each other whether the key-value store serves them.
inline constexpr const char* kServedPath = "/served";

// Returns for how many seconds the key-value store has not served this node, 0 if it serves it.
// `refused_s`: for how long all responses have been refusals. `since_served_s`: the time since the
// last response that was no refusal; it counts only beyond the longest normal pause between
// responses.
double unserved_duration_s(double refused_s, double since_served_s);

// Decides whether the node is ready for users. Has hysteresis, since each change makes users
// reconnect.
class Readiness {
 public:
  // Returns whether the node is ready now. `peers_served` is called only if the result depends on
  // it: in an outage of the store no node is served, and users gain nothing by moving to another
  // one.
  bool update(double unserved_s, const std::function<bool()>& peers_served, double now);

 private:
  bool ready_ = true;
  double last_unserved_at_ = 0;
};

// The evidence on which a leader that the key-value store does not answer decides whether to step
// down. If it has been replaced, its workers must move to other nodes: while they stay connected to
// it, the new leader does not receive their heartbeats.
struct IsolationEvidence {
  double since_lease_renewal_s = 0;  // age of the last renewal of the leader's lease
  bool store_refuses = false;        // the key-value store responds, but only with refusals
  std::size_t peers_asked = 0;       // number of other nodes that were asked
  std::size_t peers_answered = 0;    // how many of them responded
  bool successor_seen = false;       // one of them has seen the key of a later leader
};
// Whether the leader must step down: if another node certainly leads, or if neither the store nor
// any other node responds. In an outage the store responds with refusals. In all other cases this
// may be an outage, in which workers that are sent away would lose their leases; the leader then
// goes on answering them for as long as its staleness bound allows.
bool must_step_down(const IsolationEvidence& evidence, double lease_duration_s);

// The list of recently confirmed cancellations in the response to kServedPath. Decoding returns
// none if the response has no such list or any part of it is invalid; the caller sets `window_s`
// and the times.
wire::Json encode_recent_cancellations(const RecentCancellations::Confirmed& confirmed);
std::optional<leadership::CancellationDigest> decode_cancellation_digest(
    const wire::CallResult& answer);

// Combines what this node sees of the key-value store with what the other nodes respond.
// Thread-safe; functions that ask other nodes block for their responses.
class NodeHealth {
 public:
  NodeHealth(const kv::Client& store, const settings::Platform& platform,
             RecentCancellations& recent_cancellations);

  // Whether users should be sent to this node. Asks other nodes if the store does not serve this
  // one.
  bool ready();
  // Whether this node, as the leader with this fencing token, must step down (must_step_down). Asks
  // the other nodes once its lease is certain to have expired.
  bool leader_must_step_down(double since_lease_renewal_s, double lease_duration_s,
                             std::uint64_t fencing_token);
  // The cancellations that each member has confirmed to users within its window, from the members
  // that respond. Asks one after another; the last window is this node's own.
  std::vector<leadership::CancellationDigest> poll_cancellations(
      const std::vector<double>& windows);
  // Answers another node's request to kServedPath. `leader_revision`: the highest revision of a
  // leader's key that this node has seen.
  wire::Response handle_served(const std::string& body, std::uint64_t leader_revision);

 private:
  // For how many seconds the store has not served this node; 0: it serves it.
  double unserved_s(double now) const;

  using ResponsePredicate = std::function<bool(const wire::Json&)>;
  // Asks up to `max_peers` other nodes, until a response matches. Returns how many responded, and
  // whether one matched.
  std::pair<std::size_t, bool> poll_peers(std::size_t max_peers, const ResponsePredicate& matches);

  const kv::Client& store_;
  RecentCancellations& recent_cancellations_;
  const double started_at_;
  std::vector<std::unique_ptr<wire::Client>> peers_;
  std::mutex mutex_;
  Readiness readiness_;
};

}  // namespace reachramp::peers
