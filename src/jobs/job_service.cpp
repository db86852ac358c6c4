#include "jobs/job_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "kv/steady_clock.h"
#include "leadership/read_freshness.h"

namespace reachramp::jobs {

namespace {

using kv::Outcome;

// The counts of a header grow after it was accepted.
constexpr std::size_t kCountsGrow = 64;
// Of the requests that the key-value store takes of all nodes together: users' questions may have
// so many. Permits, watches, submissions and the leader's records have the rest.
constexpr double kAskShare = 0.5;

wire::Reply unsure() { return {503, {{"error", "cannot tell now"}}, 1}; }
wire::Reply refused(int status, const std::string& reason) { return {status, {{"error", reason}}}; }
wire::Reply unknown_job() { return {404, {{"error", "no such job"}}}; }

constexpr std::string_view kCancelled = "aborted";

}  // namespace

JobService::JobService(kv::Client& state, const settings::Platform& platform,
                       peers::Members& members, schema::SchemaVersionTracker& book,
                       peers::RecentCancellations& told, CatalogSource catalog)
    : state_(state),
      confirms_at_once_(leadership::bound_holds(platform.workers)),
      reads_(state, platform.state_limits.rps * kAskShare / (1.0 + platform.members.size()),
             4 * static_cast<std::size_t>(std::max(1, platform.lasting().txn_ops)),
             confirms_at_once_),
      platform_(platform),
      members_(members),
      book_(book),
      told_(told),
      catalog_(std::move(catalog)) {}

kv::CommitResult JobService::commit(kv::Transaction transaction) {
  kv::CommitResult refused;
  refused.outcome = Outcome::refused;
  auto level = book_.revision();
  if (!level) return refused;
  transaction.preconditions.emplace_back(schema::kLevelKey, *level);
  kv::CommitResult committed = state_.commit(transaction);
  const bool stepped = committed.outcome == Outcome::conflict &&
                       std::find(committed.failed_keys.begin(), committed.failed_keys.end(),
                                 schema::kLevelKey) != committed.failed_keys.end();
  if (!stepped) return committed;
  level = book_.read_revision();
  if (!level) return refused;
  transaction.preconditions.back().second = *level;
  return state_.commit(transaction);
}

wire::Reply JobService::tell(int status, const std::string& id, std::string_view phase,
                             std::uint32_t done, std::uint32_t running) {
  if (phase == kCancelled && told_.note(id, kv::steady_now())) {
    spdlog::info("job {} cancelled: so a user is told", id);
  }
  return {status, {{"ref", id}, {"phase", phase}, {"done", done}, {"running", running}}};
}

// Not by an older state: a node of an earlier version may have told the user of the cancellation.
wire::Reply JobService::describe_cancelled(const std::string& id, std::uint32_t done) {
  return confirms_at_once_ ? tell(200, id, kCancelled, done) : unsure();
}

wire::Reply JobService::describe(const std::string& id, const Lookup& lookup) {
  switch (lookup.presence) {
    case JobState::live: {
      const Header& header = lookup.header;
      if (header.cancelled) return describe_cancelled(id, header.done);
      return tell(200, id, header.running > 0 ? "running" : "pending", header.done, header.running);
    }
    case JobState::ended:
      return tell(200, id, lookup.ending.cancelled ? kCancelled : "done", lookup.ending.done);
    case JobState::absent:
      return unknown_job();
    case JobState::unsure:
      break;
  }
  return unsure();
}

// Machine types come and go, and so do limits: what was accepted once is never refused afterwards.
wire::Reply JobService::known_or(const std::string& id, const wire::Reply& otherwise) {
  const Lookup known = reads_.read(id);
  return known.presence == JobState::absent ? otherwise : describe(id, known);
}

// No leader of an old version may come upon the job: it would start it at once. Whatever becomes of
// the jobs it needs after this look is the leader's to follow.
std::variant<bool, wire::Reply> JobService::look_at_needs(const Spec& spec) {
  if (members_.look() != true) return unsure();
  bool doomed = false;
  for (const std::string& need : spec.depends_on) {
    const Lookup found = reads_.read(need);
    switch (found.presence) {
      case JobState::live:
        if (found.header.spec.shape == Shape::service) {
          return refused(422, "waits_on: " + need + " is a service and is never done");
        }
        doomed = doomed || found.header.cancelled;
        break;
      case JobState::ended:
        doomed = doomed || found.ending.cancelled;
        break;
      case JobState::absent:
        return refused(422, "waits_on: " + need + " was never accepted");
      case JobState::unsure:
        return unsure();
    }
  }
  return doomed;
}

wire::Reply JobService::submit(const std::string& body) {
  Header header;
  header.spec = decode_spec(wire::decode_map(body));
  const std::string& id = header.spec.id;
  if (!kv::fits(encode_header(header), platform_.lasting().value_kb, kCountsGrow)) {
    return known_or(id, refused(400, "body: longer than a job may be, with its waits_on"));
  }
  const auto catalog = catalog_();
  if (!catalog) return known_or(id, unsure());
  if (const auto reason = never_runs(header.spec, *catalog, platform_.teams)) {
    return known_or(id, refused(422, *reason));
  }
  if (!header.spec.depends_on.empty()) {
    const auto needs = look_at_needs(header.spec);
    if (const auto* refusal = std::get_if<wire::Reply>(&needs)) return known_or(id, *refusal);
    header.cancelled = std::get<bool>(needs);
  }
  kv::Transaction accept;
  accept.preconditions = {{job_key(id), 0}, {end_key(id), 0}};
  accept.writes.push_back({job_key(id), encode_header(header), std::nullopt});
  const kv::CommitResult committed = commit(accept);
  if (committed.outcome == Outcome::ok) {
    spdlog::info("job {} accepted: class {} team {} tasks {}", id, header.spec.job_class,
                 header.spec.team, header.spec.tasks);
    reads_.remember(id, header, committed.store_revision);
    return tell(201, id, header.cancelled && confirms_at_once_ ? kCancelled : "pending");
  }
  if (committed.outcome != Outcome::conflict) return unsure();
  return known_or(id, unsure());
}

wire::Reply JobService::query(const std::string& id) {
  if (!is_job_id(id)) return unknown_job();
  return describe(id, reads_.ask(id));
}

wire::Reply JobService::withdraw(const std::string& id) {
  if (!is_job_id(id)) return unknown_job();
  for (int attempt = 0; attempt < 4; ++attempt) {
    Lookup known = reads_.read(id);
    if (known.presence != JobState::live || known.header.cancelled) return describe(id, known);
    // Conditional on the header's revision: a job that has just ended keeps its end.
    kv::Transaction cancel;
    cancel.preconditions = {{job_key(id), known.revision}};
    known.header.cancelled = true;
    if (known.header.born == 0) known.header.born = known.revision;
    Json record = encode_header(known.header);
    // Accepted when values could be longer: what is left out is only needed to place tasks.
    if (!kv::fits(record, platform_.lasting().value_kb)) {
      record = encode_cancelled_header(known.header);
    }
    cancel.writes.push_back({job_key(id), std::move(record), std::nullopt});
    const kv::CommitResult committed = commit(cancel);
    if (committed.outcome == Outcome::ok) {
      reads_.remember(id, known.header, committed.store_revision);
      return describe(id, known);
    }
    if (committed.outcome != Outcome::conflict) return unsure();
  }
  return unsure();
}

}  // namespace reachramp::jobs
