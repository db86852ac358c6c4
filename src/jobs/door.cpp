#include "jobs/door.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "leadership/staleness.h"
#include "state/clock.h"

namespace reachramp::jobs {

namespace {

using state::Outcome;

// The counts of a header grow after it was accepted.
constexpr std::size_t kCountsGrow = 64;
// Of the requests that the state service takes of all nodes together: users' questions may have so
// many. Permits, watches, submissions and the leader's records have the rest.
constexpr double kAskShare = 0.5;

wire::Reply unsure() { return {503, {{"error", "cannot tell now"}}, 1}; }
wire::Reply refused(int status, const std::string& reason) { return {status, {{"error", reason}}}; }
wire::Reply unknown_job() { return {404, {{"error", "no such job"}}}; }

constexpr std::string_view kCancelled = "aborted";

}  // namespace

Door::Door(state::Client& state, const settings::Platform& platform, peers::Members& members,
           levels::Book& book, peers::Told& told, CatalogSource catalog)
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

state::Committed Door::commit(state::Transaction transaction) {
  state::Committed refused;
  refused.outcome = Outcome::refused;
  auto level = book_.stamp();
  if (!level) return refused;
  transaction.conditions.emplace_back(levels::kLevelKey, *level);
  state::Committed committed = state_.commit(transaction);
  const bool stepped = committed.outcome == Outcome::conflict &&
                       std::find(committed.failed.begin(), committed.failed.end(),
                                 levels::kLevelKey) != committed.failed.end();
  if (!stepped) return committed;
  level = book_.look();
  if (!level) return refused;
  transaction.conditions.back().second = *level;
  return state_.commit(transaction);
}

wire::Reply Door::tell(int status, const std::string& id, std::string_view phase,
                       std::uint32_t done, std::uint32_t running) {
  if (phase == kCancelled && told_.note(id, state::steady_now())) {
    spdlog::info("job {} cancelled: so a user is told", id);
  }
  return {status, {{"ref", id}, {"phase", phase}, {"done", done}, {"running", running}}};
}

// Not by an older state: a node of an earlier version may have told the user of the cancellation.
wire::Reply Door::describe_cancelled(const std::string& id, std::uint32_t done) {
  return confirms_at_once_ ? tell(200, id, kCancelled, done) : unsure();
}

wire::Reply Door::describe(const std::string& id, const Lookup& lookup) {
  switch (lookup.presence) {
    case Presence::live: {
      const Header& header = lookup.header;
      if (header.cancelled) return describe_cancelled(id, header.done);
      return tell(200, id, header.running > 0 ? "running" : "pending", header.done, header.running);
    }
    case Presence::ended:
      return tell(200, id, lookup.ending.cancelled ? kCancelled : "done", lookup.ending.done);
    case Presence::absent:
      return unknown_job();
    case Presence::unsure:
      break;
  }
  return unsure();
}

// Machine types come and go, and so do limits: what was accepted once is never refused afterwards.
wire::Reply Door::known_or(const std::string& id, const wire::Reply& otherwise) {
  const Lookup known = reads_.read(id);
  return known.presence == Presence::absent ? otherwise : describe(id, known);
}

// No leader of an old version may come upon the job: it would start it at once. Whatever becomes of
// the jobs it needs after this look is the leader's to follow.
std::variant<bool, wire::Reply> Door::look_at_needs(const Spec& spec) {
  if (members_.look() != true) return unsure();
  bool doomed = false;
  for (const std::string& need : spec.needs) {
    const Lookup found = reads_.read(need);
    switch (found.presence) {
      case Presence::live:
        if (found.header.spec.shape == Shape::service) {
          return refused(422, "waits_on: " + need + " is a service and is never done");
        }
        doomed = doomed || found.header.cancelled;
        break;
      case Presence::ended:
        doomed = doomed || found.ending.cancelled;
        break;
      case Presence::absent:
        return refused(422, "waits_on: " + need + " was never accepted");
      case Presence::unsure:
        return unsure();
    }
  }
  return doomed;
}

wire::Reply Door::submit(const std::string& body) {
  Header header;
  header.spec = decode_spec(wire::decode_map(body));
  const std::string& id = header.spec.id;
  if (!state::fits(encode_header(header), platform_.lasting().value_kb, kCountsGrow)) {
    return known_or(id, refused(400, "body: longer than a job may be, with its waits_on"));
  }
  const auto catalog = catalog_();
  if (!catalog) return known_or(id, unsure());
  if (const auto reason = never_runs(header.spec, *catalog, platform_.teams)) {
    return known_or(id, refused(422, *reason));
  }
  if (!header.spec.needs.empty()) {
    const auto needs = look_at_needs(header.spec);
    if (const auto* refusal = std::get_if<wire::Reply>(&needs)) return known_or(id, *refusal);
    header.cancelled = std::get<bool>(needs);
  }
  state::Transaction accept;
  accept.conditions = {{job_key(id), 0}, {end_key(id), 0}};
  accept.writes.push_back({job_key(id), encode_header(header), std::nullopt});
  const state::Committed committed = commit(accept);
  if (committed.outcome == Outcome::ok) {
    spdlog::info("job {} accepted: class {} team {} tasks {}", id, header.spec.job_class,
                 header.spec.team, header.spec.tasks);
    reads_.remember(id, header, committed.epoch);
    return tell(201, id, header.cancelled && confirms_at_once_ ? kCancelled : "pending");
  }
  if (committed.outcome != Outcome::conflict) return unsure();
  return known_or(id, unsure());
}

wire::Reply Door::query(const std::string& id) {
  if (!is_job_id(id)) return unknown_job();
  return describe(id, reads_.ask(id));
}

wire::Reply Door::withdraw(const std::string& id) {
  if (!is_job_id(id)) return unknown_job();
  for (int attempt = 0; attempt < 4; ++attempt) {
    Lookup known = reads_.read(id);
    if (known.presence != Presence::live || known.header.cancelled) return describe(id, known);
    // Conditional on the header's stamp: a job that has just ended keeps its end.
    state::Transaction cancel;
    cancel.conditions = {{job_key(id), known.stamp}};
    known.header.cancelled = true;
    if (known.header.born == 0) known.header.born = known.stamp;
    Json record = encode_header(known.header);
    // Accepted when values could be longer: what is left out is only needed to place tasks.
    if (!state::fits(record, platform_.lasting().value_kb)) {
      record = encode_cancelled_header(known.header);
    }
    cancel.writes.push_back({job_key(id), std::move(record), std::nullopt});
    const state::Committed committed = commit(cancel);
    if (committed.outcome == Outcome::ok) {
      reads_.remember(id, known.header, committed.epoch);
      return describe(id, known);
    }
    if (committed.outcome != Outcome::conflict) return unsure();
  }
  return unsure();
}

}  // namespace reachramp::jobs
