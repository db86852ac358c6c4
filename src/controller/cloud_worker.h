// The thread that calls the cloud: one call at a time, under the cloud's rate limit.
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

// Owns the leader's requests that wait for their turn, the client and the rate limit. While this
// node leads it also reads the machine types and the list of machines at fixed intervals.
class CloudWorker {
 public:
  CloudWorker(const settings::Platform& platform, leadership::LeaderElection& election,
              CatalogCache& catalog, EventQueue& events);

  // Queues a request. For any thread. Dropped unsent once another leader's token is in force.
  void push(QueuedCloudRequest request) { requests_.push(std::move(request)); }
  // Sends what is queued and reports the results as events; for a thread of its own.
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
  // The rest is for run() alone. Times in steady seconds; none: not yet by this leader.
  std::deque<QueuedCloudRequest> waiting_;
  std::optional<double> catalog_read_at_;
  std::optional<double> machines_listed_at_;
};

}  // namespace reachramp::controller
