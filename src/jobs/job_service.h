// The users' door: any node accepts, answers and withdraws, straight from the key-value store.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "jobs/job_reader.h"
#include "jobs/spec.h"
#include "kv/client.h"
#include "peers/members.h"
#include "peers/recent_cancellations.h"
#include "schema/schema_version_tracker.h"
#include "wire/http.h"

namespace reachramp::jobs {

class JobService {
 public:
  using CatalogSource = std::function<std::shared_ptr<const cloud::Catalog>()>;

  JobService(kv::Client& store, const settings::Platform& platform, peers::Members& members,
             schema::SchemaVersionTracker& version_tracker,
             peers::RecentCancellations& recent_cancellations, CatalogSource catalog);

  wire::Response submit(const std::string& body);
  wire::Response query(const std::string& id);
  wire::Response cancel(const std::string& id);

 private:
  // A job that is known already is answered by its state, whatever else there is to say.
  wire::Response stored_state_reply_or(const std::string& id, const wire::Response& otherwise);
  // What the jobs that it needs say of it: whether one of them is cancelled, or a refusal.
  std::variant<bool, wire::Response> check_dependencies(const Spec& spec);
  wire::Response state_reply(const std::string& id, const Lookup& lookup);
  // Of a job whose header says so, and whose end is not stored yet.
  wire::Response cancelled_reply(const std::string& id, std::uint32_t done);
  // The one way in which a user is told of a job. That it is cancelled is noted before.
  wire::Response job_reply(int status, const std::string& id, std::string_view phase,
                           std::uint32_t done = 0, std::uint32_t running = 0);
  // Commits on condition that the stored state is at the level that we take it to be at: a node
  // that stood still across a step writes nothing of the old form.
  kv::CommitResult commit(kv::Transaction transaction);

  kv::Client& store_;
  // Whether users are told of a cancellation before its tasks are proven to be over. Not where a
  // lease may outlast cancel_s: there no bound on the leader's answers could keep the promise
  // (leadership/read_freshness.h), and they are told once the job's end is stored.
  const bool confirms_cancellation_immediately_;
  JobReader job_reader_;
  const settings::Platform& platform_;
  peers::Members& members_;
  schema::SchemaVersionTracker& version_tracker_;
  peers::RecentCancellations& recent_cancellations_;
  CatalogSource catalog_;
};

}  // namespace reachramp::jobs
