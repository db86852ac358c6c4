// The thread that calls the cloud: one call at a time, within the cloud's rate limit.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "cloud/client.h"
#include "controller/catalog_cache.h"
#include "controller/cloud_requests.h"
#include "controller/events.h"
#include "kv/token_bucket.h"
#include "leadership/leader_election.h"
#include "settings/settings.h"

namespace reachramp::controller {

// Owns the queue of the leader's requests, the cloud client and its rate limit. While this node is
// the leader, it also reads the machine types and the list of machines periodically.
class CloudWorker {
 public:
  // Keeps references to `election`, `catalog` and `events`, which must outlive it.
  CloudWorker(const settings::Platform& platform, leadership::LeaderElection& election,
              CatalogCache& catalog, EventQueue& events);

  // Queues a request; any thread may call it. The request is dropped unsent if another fencing
  // token is in force by then.
  void push(QueuedCloudRequest request) { requests_.push(std::move(request)); }
  // Sends the queued requests and reports the results as events; runs on a thread of its own.
  [[noreturn]] void run();

 private:
  void take_requests();
  void run_as_follower();
  void refresh_catalog(std::uint64_t fencing_token);
  void send_next_request(std::uint64_t fencing_token);
  void refresh_machines(std::uint64_t fencing_token);
  void list_machines(std::uint64_t fencing_token);
  void retry_later(const QueuedCloudRequest& request);
  // Blocks until the rate limit allows another call.
  void wait_for_rate_limit();

  leadership::LeaderElection& election_;
  CatalogCache& catalog_;
  EventQueue& events_;
  cloud::Client cloud_;
  kv::TokenBucket rate_limit_;
  Queue<QueuedCloudRequest> requests_;
  // The members below are used by the thread of run() only. Times are in steady seconds; none: not
  // yet read in this term.
  std::deque<QueuedCloudRequest> waiting_;
  std::optional<double> catalog_read_at_;
  std::optional<double> machines_listed_at_;
};

}  // namespace reachramp::controller
