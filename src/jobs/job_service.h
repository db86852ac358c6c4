// The API for users: submitting, querying and cancelling jobs. Any node serves it directly from the
// key-value store, whether or not it leads.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "jobs/job_reader.h"
#include "jobs/spec.h"
#include "kv/client.h"
#include "kv/token_bucket.h"
#include "peers/members.h"
#include "peers/recent_cancellations.h"
#include "schema/schema_version_tracker.h"
#include "wire/http.h"

namespace reachramp::jobs {

// Handles users' requests. Thread-safe; each call blocks for the requests to the store that it
// needs.
class JobService {
 public:
  // Returns the newest catalog of machine types, null if none is known yet.
  using CatalogSource = std::function<std::shared_ptr<const cloud::Catalog>()>;

  JobService(kv::Client& store, const settings::Platform& platform, peers::Members& members,
             schema::SchemaVersionTracker& version_tracker,
             peers::RecentCancellations& recent_cancellations, CatalogSource catalog);

  // Accepts the job that the body describes (MessagePack); a job that was accepted before is
  // answered with its state. Throws wire::BadMessage if the body is malformed.
  wire::Response submit(const std::string& body);
  // The job's state.
  wire::Response query(const std::string& id);
  // Cancels the job unless it has ended, and answers with its state.
  wire::Response cancel(const std::string& id);

 private:
  // The job's state if it has been accepted before, else `fallback`.
  wire::Response stored_state_response_or(const std::string& id, const wire::Response& fallback);
  // Whether one of the jobs that the spec depends on, directly or through others, is cancelled; or
  // the response if the job must be refused because of them or their state is undetermined.
  std::variant<bool, wire::Response> check_dependencies(const Spec& spec);
  // The response for a job in the state that was looked up.
  wire::Response state_response(const std::string& id, const Lookup& lookup);
  // The response for a waiting job that needs a cancelled one. While there may be nodes that look
  // at the job's own record alone, its user is told nothing until the cancellation is stored there.
  wire::Response cancel_dependent(const std::string& id);
  // Whether every node that may serve users finds out by itself that a waiting job needs a
  // cancelled one.
  bool all_nodes_derive_cancellations();
  // Stores that the live job is cancelled and returns the response; none if the job's record has
  // changed since it was read.
  std::optional<wire::Response> store_cancellation(const std::string& id, Lookup known);
  // The response for a job whose header is cancelled and whose final state is not stored yet.
  wire::Response cancelled_response(const std::string& id, std::uint32_t done);
  // Forms every response that shows a job's state. A cancellation is recorded in
  // `recent_cancellations_` before its user sees it, so that leaders can ask for it.
  wire::Response job_response(int status, const std::string& id, std::string_view phase,
                              std::uint32_t done = 0, std::uint32_t running = 0);
  // Commits on the additional condition that the stored schema level has not changed, so that a
  // node that was suspended during an upgrade writes no records in an old format.
  kv::CommitResult commit(kv::Transaction transaction);

  kv::Client& store_;
  // Whether users see a job as cancelled before its tasks are proven to have ended. False where a
  // worker's lease may outlast cancel_s: there no bound on how long the leader answers workers
  // could end the tasks in time (leadership/read_freshness.h), so users see the cancellation only
  // once the job's final state is stored.
  const bool confirms_cancellation_immediately_;
  JobReader job_reader_;
  const settings::Platform& platform_;
  peers::Members& members_;
  schema::SchemaVersionTracker& version_tracker_;
  peers::RecentCancellations& recent_cancellations_;
  CatalogSource catalog_;
  std::mutex dependent_cancellations_mutex_;
  // Limits how many cancellations of dependent jobs this node stores; guarded by the mutex above.
  kv::TokenBucket dependent_cancellations_;
};

}  // namespace reachramp::jobs
