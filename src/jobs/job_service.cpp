#include "jobs/job_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "kv/steady_clock.h"
#include "leadership/read_freshness.h"

namespace reachramp::jobs {

namespace {

using kv::Outcome;

// Space kept free in an accepted header, because its counts of tasks get more digits later.
constexpr std::size_t kCountGrowthBytes = 64;
// The share of the key-value store's request rate that status queries on all nodes may use
// together. Leases, watches, submissions and the leader's records need the rest.
constexpr double kStatusQueryRateShare = 0.5;
// The share of the store's write rate with which all nodes together may cancel jobs because of
// their dependencies. The leader stores the ends of the same jobs and has most of the rest.
constexpr double kDependentCancellationRateShare = 0.1;
constexpr double kDependentCancellationBurst = 2;
// The most that the headers which all nodes can write between two updates of a node's dependencies
// take; the response with all of them is decoded in memory.
constexpr double kMaxDependencyCatchUp_bytes = 2 * 1024 * 1024;
// Users wait up to 5 s for an answer: one that takes longer is not received.
constexpr double kMaxAnswerDelay_s = 6;

std::size_t node_count(const settings::Platform& platform) { return platform.members.size() + 1; }

// A job may be accepted as pending for cancel_s after a job that it needs was cancelled, so that is
// how old the knowledge of those jobs may be when the answer arrives.
double max_dependency_age_s(double cancel_s) {
  return std::max(cancel_s - kMaxAnswerDelay_s, cancel_s / 2);
}

JobReaderOptions reader_options(const settings::Platform& platform, bool cancelled_is_final) {
  const settings::StoreLimits& limits = platform.store_limits;
  return {.rps = limits.rps * kStatusQueryRateShare / static_cast<double>(node_count(platform)),
          // The store accepts four preconditions for each write that a transaction may have.
          .max_preconditions =
              4 * static_cast<std::size_t>(std::max(1, platform.strictest_store_limits().txn_ops)),
          .cancelled_is_final = cancelled_is_final,
          .max_dependency_age_s = max_dependency_age_s(platform.worker_timings.cancel_s),
          .max_dependency_catch_up_s =
              kMaxDependencyCatchUp_bytes / (limits.write_rps * limits.value_kb * 1024)};
}

wire::Response temporarily_unavailable() { return {503, {{"error", "cannot tell now"}}, 1}; }
wire::Response error_response(int status, const std::string& reason) {
  return {status, {{"error", reason}}};
}
wire::Response job_not_found() { return {404, {{"error", "no such job"}}}; }

constexpr std::string_view kCancelledPhase = "aborted";

wire::Response phase_response(int status, const std::string& id, std::string_view phase,
                              std::uint32_t done = 0, std::uint32_t running = 0) {
  return {status, {{"ref", id}, {"phase", phase}, {"done", done}, {"running", running}}};
}

}  // namespace

JobService::JobService(kv::Client& store, const settings::Platform& platform,
                       peers::Members& members, schema::SchemaVersionTracker& version_tracker,
                       peers::RecentCancellations& recent_cancellations, CatalogSource catalog)
    : store_(store),
      confirms_cancellation_immediately_(
          leadership::staleness_bound_holds(platform.worker_timings)),
      job_reader_(store, reader_options(platform, confirms_cancellation_immediately_)),
      platform_(platform),
      members_(members),
      version_tracker_(version_tracker),
      recent_cancellations_(recent_cancellations),
      catalog_(std::move(catalog)),
      dependent_cancellations_(platform.strictest_store_limits().write_rps *
                                   kDependentCancellationRateShare /
                                   static_cast<double>(node_count(platform)),
                               kDependentCancellationBurst) {}

kv::CommitResult JobService::commit(kv::Transaction transaction) {
  kv::CommitResult not_sent;
  not_sent.outcome = Outcome::refused;
  auto level = version_tracker_.revision();
  if (!level) return not_sent;
  transaction.preconditions.emplace_back(schema::kLevelKey, *level);
  kv::CommitResult committed = store_.commit(transaction);
  const bool level_changed = committed.outcome == Outcome::conflict &&
                             std::find(committed.failed_keys.begin(), committed.failed_keys.end(),
                                       schema::kLevelKey) != committed.failed_keys.end();
  if (!level_changed) return committed;
  level = version_tracker_.read_revision();
  if (!level) return not_sent;
  transaction.preconditions.back().second = *level;
  return store_.commit(transaction);
}

wire::Response JobService::job_response(int status, const std::string& id, std::string_view phase,
                                        std::uint32_t done, std::uint32_t running) {
  if (phase == kCancelledPhase && recent_cancellations_.record(id, kv::steady_now())) {
    spdlog::info("job {} cancelled: confirmed to a user", id);
  }
  return phase_response(status, id, phase, done, running);
}

// While the cancellation can't be confirmed, no earlier state is shown either: a node of an older
// version may already have confirmed the cancellation to the user.
wire::Response JobService::cancelled_response(const std::string& id, std::uint32_t done) {
  return confirms_cancellation_immediately_ ? job_response(200, id, kCancelledPhase, done)
                                            : temporarily_unavailable();
}

wire::Response JobService::state_response(const std::string& id, const Lookup& lookup) {
  switch (lookup.state) {
    case JobState::live: {
      const Header& header = lookup.header;
      spdlog::debug("job {}: its user is answered from the record of revision {}", id,
                    lookup.header_revision);
      if (header.cancelled) return cancelled_response(id, header.done);
      if (!lookup.is_determined()) break;
      if (lookup.dependencies == DependencyVerdict::some_cancelled) return cancel_dependent(id);
      return job_response(200, id, header.running > 0 ? "running" : "pending", header.done,
                          header.running);
    }
    case JobState::ended:
      return job_response(200, id, lookup.final_state.cancelled ? kCancelledPhase : "done",
                          lookup.final_state.done);
    case JobState::absent:
      return job_not_found();
    case JobState::undetermined:
      break;
  }
  return temporarily_unavailable();
}

wire::Response JobService::cancel_dependent(const std::string& id) {
  // Not recorded as a recent cancellation: the job has no task that a leader would have to stop.
  if (all_nodes_derive_cancellations()) return phase_response(200, id, kCancelledPhase);
  {
    const std::lock_guard lock(dependent_cancellations_mutex_);
    if (dependent_cancellations_.take(1, kv::steady_now()) > 0) return temporarily_unavailable();
  }
  const Lookup current = job_reader_.read(id);
  if (!current.is_waiting()) return state_response(id, current);
  spdlog::info("job {} is cancelled because a job that it needs is cancelled", id);
  return store_cancellation(id, current).value_or(temporarily_unavailable());
}

bool JobService::all_nodes_derive_cancellations() {
  const auto view = version_tracker_.view();
  return view && schema::has_level(view->stored, schema::kDerivedCancellations);
}

// The catalog and the teams' limits change over time; a job that was accepted once must not be
// refused when its submission is repeated.
wire::Response JobService::stored_state_response_or(const std::string& id,
                                                    const wire::Response& fallback) {
  Lookup known = job_reader_.read(id);
  if (known.state == JobState::absent) return fallback;
  if (known.is_waiting()) {
    known.dependencies = job_reader_.check_waiting_job(id);
  }
  return state_response(id, known);
}

// Requires that all nodes have been upgraded: a leader of version 0.2.0 would ignore the
// dependencies and start the job at once. The leader follows later changes of the dependencies.
std::variant<bool, wire::Response> JobService::check_dependencies(const Spec& spec) {
  if (members_.check_all_upgraded() != true) return temporarily_unavailable();
  bool dependency_cancelled = false;
  std::vector<std::string> live_dependencies;
  for (const std::string& dependency : spec.depends_on) {
    const Lookup found = job_reader_.read(dependency);
    switch (found.state) {
      case JobState::live:
        if (found.header.spec.shape == Shape::service) {
          return error_response(422, "waits_on: " + dependency + " is a service and is never done");
        }
        dependency_cancelled = dependency_cancelled || found.header.cancelled;
        live_dependencies.push_back(dependency);
        break;
      case JobState::ended:
        dependency_cancelled = dependency_cancelled || found.final_state.cancelled;
        break;
      case JobState::absent:
        return error_response(422, "waits_on: " + dependency + " was never accepted");
      case JobState::undetermined:
        return temporarily_unavailable();
    }
  }
  if (dependency_cancelled) return true;
  if (live_dependencies.empty()) return false;
  switch (job_reader_.check_dependencies(live_dependencies)) {
    case DependencyVerdict::none_cancelled:
      return false;
    case DependencyVerdict::some_cancelled:
      return true;
    case DependencyVerdict::undetermined:
      break;
  }
  return temporarily_unavailable();
}

wire::Response JobService::submit(const std::string& body) {
  Header header;
  header.spec = decode_spec(wire::decode_map(body));
  const std::string& id = header.spec.id;
  if (!kv::fits(encode_header(header), platform_.strictest_store_limits().value_kb,
                kCountGrowthBytes)) {
    return stored_state_response_or(
        id, error_response(400, "body: longer than a job may be, with its waits_on"));
  }
  const auto catalog = catalog_();
  if (!catalog) return stored_state_response_or(id, temporarily_unavailable());
  if (const auto reason = unsatisfiable_reason(header.spec, *catalog, platform_.teams)) {
    return stored_state_response_or(id, error_response(422, *reason));
  }
  if (!header.spec.depends_on.empty()) {
    const auto dependency_check = check_dependencies(header.spec);
    if (const auto* refusal = std::get_if<wire::Response>(&dependency_check))
      return stored_state_response_or(id, *refusal);
    header.cancelled = std::get<bool>(dependency_check);
  }
  kv::Transaction acceptance;
  acceptance.preconditions = {{job_key(id), 0}, {end_key(id), 0}};
  acceptance.writes.push_back({job_key(id), encode_header(header), std::nullopt});
  const kv::CommitResult committed = commit(acceptance);
  if (committed.outcome == Outcome::ok) {
    spdlog::info("job {} accepted: class {} team {} tasks {}", id, header.spec.job_class,
                 header.spec.team, header.spec.tasks);
    job_reader_.cache_header(id, header, committed.store_revision);
    // None of its tasks can have started, so its cancellation can be confirmed at once.
    return job_response(201, id, header.cancelled ? kCancelledPhase : "pending");
  }
  if (committed.outcome != Outcome::conflict) return temporarily_unavailable();
  return stored_state_response_or(id, temporarily_unavailable());
}

wire::Response JobService::query(const std::string& id) {
  if (!is_job_id(id)) return job_not_found();
  return state_response(id, job_reader_.read_batched(id));
}

// Conditional on the header's revision, so that a job that has just ended keeps its final state.
std::optional<wire::Response> JobService::store_cancellation(const std::string& id, Lookup known) {
  kv::Transaction cancellation;
  cancellation.preconditions = {{job_key(id), known.header_revision}};
  known.header.cancelled = true;
  if (known.header.accepted_revision == 0) known.header.accepted_revision = known.header_revision;
  Json record = encode_header(known.header);
  // The header may have been accepted under a higher limit on the length of values. The fields that
  // are left out are needed to place tasks only.
  if (!kv::fits(record, platform_.strictest_store_limits().value_kb)) {
    record = encode_cancelled_header(known.header);
  }
  cancellation.writes.push_back({job_key(id), std::move(record), std::nullopt});
  const kv::CommitResult committed = commit(cancellation);
  if (committed.outcome == Outcome::conflict) return std::nullopt;
  if (committed.outcome != Outcome::ok) return temporarily_unavailable();
  job_reader_.cache_header(id, known.header, committed.store_revision);
  return state_response(id, known);
}

wire::Response JobService::cancel(const std::string& id) {
  if (!is_job_id(id)) return job_not_found();
  for (int attempt = 0; attempt < 4; ++attempt) {
    const Lookup known = job_reader_.read(id);
    if (known.state != JobState::live || known.header.cancelled) return state_response(id, known);
    if (const auto response = store_cancellation(id, known)) return *response;
  }
  return temporarily_unavailable();
}

}  // namespace reachramp::jobs
