// One controller process: its components and the threads that run them.
#pragma once

#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "controller/cancellation_poller.h"
#include "controller/catalog_cache.h"
#include "controller/cloud_worker.h"
#include "controller/event_loop.h"
#include "controller/heartbeat_router.h"
#include "controller/job_watcher.h"
#include "controller/machine_prober.h"
#include "controller/routes.h"
#include "controller/strong_reader.h"
#include "controller/transaction_sender.h"
#include "drains/policy_file_watcher.h"
#include "jobs/job_service.h"
#include "kv/client.h"
#include "leadership/leader_election.h"
#include "peers/heartbeat_forwarder.h"
#include "peers/members.h"
#include "peers/readiness.h"
#include "schema/schema_version_tracker.h"
#include "settings/settings.h"

namespace reachramp::controller {

// Owns all components of the process and contains no scheduling logic. The components interact in
// three ways: the routes handle requests, the event loop alone owns the leader, and each other
// thread makes one kind of call on the leader's behalf and reports the results as events.
class Server {
 public:
  // `policy_path` is the path of the file that `policy` was read from; empty if there is none.
  Server(const settings::Platform& platform, const settings::Policy& policy,
         const std::string& policy_path);
  Server(const Server&) = delete;

  // Serves until the process ends; the calling thread takes part in leader elections. Throws
  // std::system_error if a port or a thread cannot be obtained, before anything is sent to another
  // process.
  [[noreturn]] void run();

 private:
  // Starts the threads of all components but the election.
  std::vector<std::thread> start_threads();

  const settings::Platform platform_;
  const settings::Policy policy_;
  kv::Client store_;
  const schema::SupportedLevels supported_levels_;
  schema::SchemaVersionTracker version_tracker_;
  std::optional<drains::PolicyFileWatcher> policy_watcher_;
  leadership::LeaderElection election_;
  peers::Members members_;
  peers::HeartbeatForwarder forwarder_;
  peers::RecentCancellations recent_cancellations_;
  peers::NodeHealth health_;
  CatalogCache catalog_;
  jobs::JobService jobs_;

  EventQueue events_;
  JobWatcher job_watcher_;
  TransactionSender transaction_sender_;
  CancellationPoller cancellation_poller_;
  StrongReader strong_reader_;
  CloudWorker cloud_worker_;
  MachineProber machine_prober_;
  EventLoop event_loop_;

  HeartbeatRouter heartbeat_router_;
  UserRoutes user_routes_;
  PeerRoutes peer_routes_;
};

}  // namespace reachramp::controller
