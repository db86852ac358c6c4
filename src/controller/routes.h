// The HTTP routes of a controller process: which part answers which path and method.
#pragma once

#include "controller/heartbeat_router.h"
#include "jobs/job_service.h"
#include "leadership/leader_election.h"
#include "peers/readiness.h"
#include "schema/schema_version_tracker.h"
#include "wire/http.h"

namespace reachramp::controller {

// What users and workers call. Owns nothing.
class UserRoutes {
 public:
  UserRoutes(schema::SchemaVersionTracker& versions, peers::NodeHealth& health,
             jobs::JobService& jobs, HeartbeatRouter& heartbeats)
      : versions_(versions), health_(health), jobs_(jobs), heartbeats_(heartbeats) {}

  // Answers a request; 404 for an unknown path, 405 for another method, 503 where this process
  // cannot read the stored state. For any thread that serves a connection.
  wire::Response serve(const wire::Request& request);
  // Who sends such a request, for the limits on connections. For any thread.
  static wire::ClientKind client_kind(const wire::Request& request);

 private:
  wire::Response serve_job(const std::string& path, const std::string& method);

  schema::SchemaVersionTracker& versions_;
  peers::NodeHealth& health_;
  jobs::JobService& jobs_;
  HeartbeatRouter& heartbeats_;
};

// What other nodes call. Owns nothing.
class PeerRoutes {
 public:
  PeerRoutes(schema::SchemaVersionTracker& versions, peers::NodeHealth& health,
             leadership::LeaderElection& election, HeartbeatRouter& heartbeats)
      : versions_(versions), health_(health), election_(election), heartbeats_(heartbeats) {}

  // As above, but nodes may ask for this node's health whatever the stored state is.
  wire::Response serve(const wire::Request& request);

 private:
  schema::SchemaVersionTracker& versions_;
  peers::NodeHealth& health_;
  leadership::LeaderElection& election_;
  HeartbeatRouter& heartbeats_;
};

}  // namespace reachramp::controller
