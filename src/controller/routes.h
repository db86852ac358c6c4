// The HTTP routes of a controller process: which component handles which path and method.
#pragma once

#include "controller/heartbeat_router.h"
#include "jobs/job_service.h"
#include "leadership/leader_election.h"
#include "peers/readiness.h"
#include "schema/schema_version_tracker.h"
#include "wire/http.h"

namespace reachramp::controller {

// The routes for users and workers. Owns nothing.
class UserRoutes {
 public:
  // Keeps references to all arguments, which must outlive it.
  UserRoutes(schema::SchemaVersionTracker& version_tracker, peers::NodeHealth& health,
             jobs::JobService& jobs, HeartbeatRouter& heartbeats)
      : version_tracker_(version_tracker), health_(health), jobs_(jobs), heartbeats_(heartbeats) {}

  // Handles a request. Returns 404 for an unknown path, 405 for a wrong method, and 503 if this
  // process does not support the schema of the stored state. Any thread may call it.
  wire::Response serve(const wire::Request& request);
  // Whether such a request comes from a worker or a user, for the limits on connections. Any thread
  // may call it.
  static wire::ClientKind client_kind(const wire::Request& request);

 private:
  wire::Response serve_job(const std::string& path, const std::string& method);

  schema::SchemaVersionTracker& version_tracker_;
  peers::NodeHealth& health_;
  jobs::JobService& jobs_;
  HeartbeatRouter& heartbeats_;
};

// The routes for other nodes. Owns nothing.
class PeerRoutes {
 public:
  // Keeps references to all arguments, which must outlive it.
  PeerRoutes(schema::SchemaVersionTracker& version_tracker, peers::NodeHealth& health,
             leadership::LeaderElection& election, HeartbeatRouter& heartbeats)
      : version_tracker_(version_tracker),
        health_(health),
        election_(election),
        heartbeats_(heartbeats) {}

  // Like UserRoutes::serve, but other nodes may query this node's health even if it does not
  // support the schema of the stored state.
  wire::Response serve(const wire::Request& request);

 private:
  schema::SchemaVersionTracker& version_tracker_;
  peers::NodeHealth& health_;
  leadership::LeaderElection& election_;
  HeartbeatRouter& heartbeats_;
};

}  // namespace reachramp::controller
