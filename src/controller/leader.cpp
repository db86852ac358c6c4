#include "controller/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/obsolete_records.h"
#include "pipelines/dependencies.h"
#include "placement/plan.h"

namespace reachramp::controller {

using kv::Outcome;
using placement::Attempt;
using placement::DependencyState;
using placement::Host;
using placement::Job;

namespace {

// A report's answer waits this long for the starts that it should carry to become durable.
constexpr double kParkFor = 1.0;
constexpr double kPlanEvery = 0.5;
// At hundreds of machines a report comes every few milliseconds; each asks for a plan.
constexpr double kPlanAtMostEvery = 0.1;
constexpr double kUpkeepEvery = 0.5;
// Arrivals and losses ask for machines at once, but not more often than this.
constexpr double kBuyAtMostEvery = 1.0;
// Starts go out only while the watch on jobs has lately shown that we know of every cancellation.
constexpr double kJobsCurrentFor = 3.0;
constexpr double kLookUpAgain_s = 1;
constexpr double kReadJobsAgain_s = 2;
// A mark of the revision clock may be so much later than the service's answer that it was taken
// from.
constexpr double kAnswerOnItsWay_s = 2;
constexpr double kFirstShares_s = 5;  // after taking over, when most machines have been heard

}  // namespace

Leader::Leader(const settings::Platform& platform, const settings::Policy& policy,
               std::uint64_t fencing_token, const LeaderSnapshot& snapshot, double now,
               const schema::SupportedVersions& speech)
    : platform_(platform),
      policy_(policy),
      cluster_(platform_, fencing_token,
               snapshot.all_upgraded ? jobs::Format::compact : jobs::Format::whole),
      buyer_(policy),
      writes_(platform.state_limits, platform.state_next),
      speech_(speech),
      log_shares_at_(now + kFirstShares_s),
      stored_shares_at_(now),
      timeline_(snapshot.revision_clock),
      stored_timeline_at_(now),
      most_ops_(platform.lasting().txn_ops),
      since_(now),
      listening_since_(now),
      advanced_at_(now),
      staleness_(platform.workers, platform.members.size() + 1, snapshot.asked_at.value_or(now)) {
  level_ =
      schema::decode_stored(snapshot.level ? std::optional(snapshot.level->value) : std::nullopt);
  if (const std::string reason = schema::incompatibility(level_, speech_); !reason.empty()) {
    throw std::runtime_error(reason);
  }
  all_upgraded_ = snapshot.all_upgraded || level_.level >= schema::kAges;
  if (snapshot.level) ledger_.note_stored(schema::kLevelKey, snapshot.level->revision);
  if (snapshot.shares) {
    ledger_.note_stored(shares::kSharesKey, snapshot.shares->revision);
    try {
      accounts_.restore(snapshot.shares->value);
      accounted_to_ = snapshot.shares->revision;
    } catch (const std::exception& error) {
      spdlog::error("record {}: {}: left alone", shares::kSharesKey, error.what());
      shares_unreadable_ = true;
    }
  }
  if (snapshot.drains_used) {
    ledger_.note_stored(drains::kUsedKey, snapshot.drains_used->revision);
    try {
      drains_.restore(snapshot.drains_used->value, now);
    } catch (const std::exception& error) {
      spdlog::error("record {}: {}", drains::kUsedKey, error.what());
    }
  }
  if (snapshot.stored_revision_clock) {
    ledger_.note_stored(kv::kTimelineKey, snapshot.stored_revision_clock->revision);
    try {
      timeline_.restore(snapshot.stored_revision_clock->value,
                        snapshot.stored_revision_clock->revision, now);
    } catch (const std::exception& error) {
      spdlog::error("record {}: {}", kv::kTimelineKey, error.what());
    }
  }
  if (snapshot.catalog) {
    ledger_.note_stored(kCatalogKey, snapshot.catalog->revision);
    cluster_.set_catalog(cloud::decode_catalog(snapshot.catalog->value));
  }
  for (const kv::Entry& entry : snapshot.jobs) {
    take_header(entry.key, entry.value, entry.revision, told_before(entry.revision, now), now);
  }
  std::map<Index, std::vector<placement::StoredRecord>> records;
  for (const kv::Entry& entry : snapshot.tasks) {
    const auto key = jobs::parse_chunk_key(entry.key);
    if (!key) continue;
    const auto job = cluster_.job_index.find(key->job);
    if (job == cluster_.job_index.end()) {
      // Its job has ended; the transaction that ended it had no room for this.
      ledger_.note_stored(entry.key, entry.revision);
      ledger_.write({entry.key, std::nullopt});
      continue;
    }
    records[job->second].push_back({entry.key, *key, entry.revision,
                                    jobs::decode_chunk(*key, entry.value),
                                    timeline_.time_of(entry.revision, now)});
  }
  for (auto& [job, stored] : records) cluster_.restore(job, std::move(stored), now);
  for (Index job = 0; job < cluster_.jobs.size(); ++job)
    pipelines::track_dependencies(cluster_, job, now);
  for (const kv::Entry& entry : snapshot.pools) {
    ledger_.note_stored(entry.key, entry.revision);
    if (!entry.value.value("open", false)) continue;
    cloud::ScaleOutRequest hire{
        entry.value.at("name").get<std::string>(), entry.value.at("type").get<std::string>(),
        entry.value.at("zone").get<std::string>(), entry.value.at("spot").get<bool>(),
        entry.value.at("count").get<int>()};
    // The request may have been made, or not: under the same name it is made at most once.
    buyer_.note_requested({cluster_.types.add(hire.type), cluster_.zones.add(hire.zone), hire.spot},
                          hire.count);
    asked_at_[hire.name] = now;
    out_.cloud_requests.push_back({CloudRequest::Kind::scale_out, hire, {}});
  }
  if (schema::has(level_, schema::kDrains)) on_drains(snapshot.drains, now);
  if (snapshot.zones) {
    ledger_.note_stored(zones::kZonesKey, snapshot.zones->revision);
    try {
      zones_.restore(snapshot.zones->value, cluster_,
                     timeline_.time_of(snapshot.zones->revision, now), now);
    } catch (const std::exception& error) {
      spdlog::error("record {}: {}: all zones are taken for well", zones::kZonesKey, error.what());
    }
  }
  const auto stale = [&](const kv::Entry& entry) {
    return is_stale(entry.key, entry.value, level_.writes);
  };
  // A version that knows of no levels cannot be locked out, only be seen and mended after.
  if (level_.settled && (std::any_of(snapshot.tasks.begin(), snapshot.tasks.end(), stale) ||
                         std::any_of(snapshot.pools.begin(), snapshot.pools.end(), stale))) {
    spdlog::error("level {}: an older version has led since the step", level_.level);
    write_level({level_.level, level_.writes, false}, {});
  }
  spdlog::info("leading with baton {}: {} jobs, {} machines known", fencing_token,
               cluster_.job_index.size(), cluster_.host_index.size());
}

bool Leader::may_start(double now) const {
  return now - staleness_.last_jobs_read_at() < kJobsCurrentFor;
}

bool Leader::waits_for_commit(const Host& host) const {
  return std::any_of(host.attempts.begin(), host.attempts.end(), [&](const auto& ref) {
    const Attempt& attempt = cluster_.jobs[ref.job]->attempts.at(ref.task);
    return !attempt.persisted && !attempt.stopping;
  });
}

// Looked at for each answer, however long the process stood still before: the worker's lease counts
// from the sending of its report, which is before `now`.
bool Leader::entitled_to_answer(const HeartbeatResponder& answer, double now) {
  const bool answers = staleness_.may_answer(now);
  if (answers != std::exchange(answers_, answers)) {
    spdlog::error("{}: cancellations are known up to {:.1f} s ago",
                  answers ? "workers are answered again" : "workers are answered no longer",
                  now - staleness_.cancellations_known_until());
  }
  if (!answers) answer(nullptr);
  return answers;
}

void Leader::answer(const HeartbeatResponder& answer, std::optional<Index> host, double now) {
  if (!entitled_to_answer(answer, now)) return;
  std::vector<workers::Command> orders;
  if (host) orders = workers::commands_for(cluster_, *host, may_start(now), now);
  answer(workers::encode_response(cluster_.fencing_token, orders));
}

// Thousands may be parked while starts wait for writes; each is looked at again when a plan, a
// stored record or a cancellation may have changed its case, or its time is over.
void Leader::answer_parked(double now) {
  const bool expired = !parked_.empty() && now >= parked_.front().since + kParkFor;
  if (!std::exchange(look_at_parked_, false) && !expired) return;
  std::vector<Parked> still;
  for (Parked& parked : parked_) {
    const Host* host = cluster_.host(parked.host);
    const bool planned = parked.since <= planned_at_;
    if (host != nullptr && now < parked.since + kParkFor && (!planned || waits_for_commit(*host))) {
      still.push_back(std::move(parked));
    } else {
      const auto at = cluster_.host_index.find(parked.host);
      answer(parked.answer,
             at == cluster_.host_index.end() ? std::nullopt : std::optional(at->second), now);
    }
  }
  parked_ = std::move(still);
}

HeartbeatVerdict Leader::on_heartbeat(const workers::Heartbeat& report, HeartbeatResponder answerer,
                                      double now) {
  if (report.fencing_token > cluster_.fencing_token) {
    deposed_ = true;
    return HeartbeatVerdict::deposed;
  }
  // What runs on a machine that was returned counts as ended: it is not believed.
  const bool returned = tombstones_.contains(report.host);
  if (!returned && workers::reconcile(cluster_, report, workers::Channel::heartbeat, now)) {
    replan_ = true;
    parked_.push_back({report.host, std::move(answerer), now});
  } else if (entitled_to_answer(answerer, now)) {
    // Or it is not newer than what is known, as when a direct response has overtaken it. The answer
    // extends the lease all the same, so it carries what must stop; nothing may start on it.
    answerer(
        workers::encode_response(cluster_.fencing_token, workers::stops_for(cluster_, report)));
  }
  return HeartbeatVerdict::accepted;
}

void Leader::on_direct_status(const workers::Heartbeat& report, double now) {
  if (report.fencing_token > cluster_.fencing_token) {
    deposed_ = true;
  } else if (!tombstones_.contains(report.host)) {
    workers::reconcile(cluster_, report, workers::Channel::direct, now);
    replan_ = true;
  }
}

// What was not in the state was told after the moment up to which all cancellations were known.
placement::CancellationTime Leader::told_lately(double now) const {
  return {std::min(staleness_.cancellations_known_until(), now), now};
}

placement::CancellationTime Leader::told_before(std::uint64_t revision, double now) const {
  placement::CancellationTime told_at;
  if (const auto earliest = timeline_.earliest_time_of(revision))
    told_at.earliest = *earliest - kAnswerOnItsWay_s;
  told_at.latest = timeline_.time_of(revision, now);
  return told_at;
}

void Leader::on_jobs_current(double asked_at) {
  if (jobs_complete_) staleness_.on_jobs_read(asked_at);
}

bool Leader::take_header(const std::string& key, const kv::Json& value, std::uint64_t revision,
                         placement::CancellationTime told_at, double now) {
  if (!key.starts_with("job/")) return true;
  const std::string id = key.substr(4);
  const auto ended = ended_.find(id);
  if (ended != ended_.end() && revision < ended->second) return true;
  jobs::Header header;
  try {
    header = jobs::decode_header(value);
  } catch (const std::exception& error) {
    // No node can read it, so that no user is told anything of it.
    spdlog::error("record {}: {}", key, error.what());
    return true;
  }
  try {
    Job* job = cluster_.job(id);
    if (job == nullptr) {
      const std::uint64_t born = header.born != 0 ? header.born : revision;
      const double seen_at = timeline_.time_of(born, now);
      const Index index = cluster_.add_job(header, revision, seen_at, told_at);
      cluster_.jobs[index]->idle_since = now;
      if (born > accounted_to_) accounts_.came(*cluster_.jobs[index]);
      pipelines::track_dependencies(cluster_, index, now);
      spdlog::info("job {} taken up: {} tasks", id, header.spec.tasks);
    } else if (revision > job->revision) {
      job->revision = revision;
      job->unconfirmed = job->unconfirmed && !header.cancelled;
      if (header.cancelled && !job->cancelled) {
        cluster_.cancel(cluster_.job_index[id], told_at);
        pipelines::resolve_dependents(cluster_, id, DependencyState::cancelled, now);
      }
    }
    reurge_ = replan_ = rebuy_ = look_at_parked_ = true;
  } catch (const std::exception& error) {
    spdlog::error("record {}: not taken in: {}", key, error.what());
    return false;
  }
  return true;
}

void Leader::on_jobs(const std::vector<kv::KeyChange>& changes, double now) {
  // Until the last of them is taken in: what throws on the way is not known.
  bool complete = std::exchange(jobs_complete_, false);
  for (const kv::KeyChange& change : changes) {
    watched_to_ = std::max(watched_to_, change.revision);
    timeline_.observe(change.revision, now);
    if (change.value) {
      complete &= take_header(change.key, *change.value, change.revision, told_lately(now), now);
      continue;
    }
    // Our own end of the job; what the watch brings from here on is newer.
    const std::string id = change.key.substr(std::min<std::size_t>(4, change.key.size()));
    ended_.erase(id);
    const auto at = cluster_.job_index.find(id);
    if (at != cluster_.job_index.end() && cluster_.jobs[at->second]->revision < change.revision &&
        transaction_.is_empty()) {
      cluster_.remove_job(at->second);
      pipelines::resolve_dependents(cluster_, id, DependencyState::unknown, now);
      reurge_ = true;
    }
  }
  jobs_complete_ = complete;
}

// Told to a user, they are durable; the watch brings their headers later. Before a word proves
// anything its cancellations are in the state.
void Leader::on_cancellation_digests(const std::vector<leadership::CancellationDigest>& words,
                                     double now) {
  for (const leadership::CancellationDigest& word : words) {
    for (const std::string& id : word.cancelled) {
      const auto at = cluster_.job_index.find(id);
      if (at == cluster_.job_index.end()) {
        spdlog::debug("job {}: told as cancelled, has ended or is not known", id);
        continue;
      }
      Job& job = *cluster_.jobs[at->second];
      if (job.cancelled) continue;
      spdlog::info("job {} is cancelled: its user was told so elsewhere", id);
      job.unconfirmed = true;
      cluster_.cancel(at->second, told_lately(now));
      pipelines::resolve_dependents(cluster_, id, DependencyState::cancelled, now);
      reurge_ = replan_ = rebuy_ = look_at_parked_ = true;
    }
    staleness_.apply(word);
  }
}

void Leader::on_end_read(const std::string& id, const kv::ReadResult& found, double now) {
  // Absent: it was accepted a moment ago and the watch has yet to bring it.
  if (found.outcome != Outcome::ok || cluster_.job_index.contains(id)) return;
  const bool cancelled = jobs::decode_ending(found.entry.value).cancelled;
  pipelines::resolve_dependents(cluster_, id,
                                cancelled ? DependencyState::cancelled : DependencyState::done,
                                timeline_.time_of(found.entry.revision, now));
  looked_up_at_.erase(id);
  reurge_ = replan_ = rebuy_ = true;
}

void Leader::on_job_list(const std::vector<kv::Entry>& entries, double now) {
  bool complete = true;
  for (const kv::Entry& entry : entries) {
    complete &= take_header(entry.key, entry.value, entry.revision, told_lately(now), now);
  }
  jobs_complete_ = complete;
}

Effects Leader::advance(double now) {
  note_advance(now);
  if (std::exchange(reurge_, false)) {
    pipelines::inherit_priority(cluster_);
    unknown_ = pipelines::unknown(cluster_);
  }
  for (const std::string& id : unknown_) {
    const auto [at, fresh] = looked_up_at_.try_emplace(id, now);
    if (!fresh && now - at->second < kLookUpAgain_s) continue;
    at->second = now;
    out_.read_job_ends.push_back(id);
  }
  const double since_plan = now - planned_at_;
  if ((replan_ && since_plan >= kPlanAtMostEvery) || since_plan > kPlanEvery) {
    replan_ = false;
    look_at_parked_ = true;
    planned_at_ = now;
    if (drains_.settle(cluster_, now) > 0) rebuy_ = true;
    const placement::Gate gate = [&](const std::vector<Index>& jobs) {
      return drains_.may_yield(cluster_, jobs, now);
    };
    if (placement::plan(cluster_, now, drains_.in_force() ? gate : placement::Gate{}) > 0) {
      rebuy_ = true;
    }
  }
  // A leader whose watch on the jobs has stopped may have been replaced: its machines are silent
  // because they report to another. It answers workers, and leaves the fleet alone.
  const bool current = may_start(now);
  if (current && now - upkeep_at_ > kUpkeepEvery) {
    upkeep_at_ = now;
    upkeep(now);
  }
  if (now - cancellations_checked_at_ >= kUpkeepEvery) {
    cancellations_checked_at_ = now;
    return_for_cancellations(now);
  }
  if (current) drain(now);
  const double since_buy = now - bought_at_;
  // Records only name machines. Until a list or their reports tell what they are and that they run
  // they count for nothing, and each new leader rented the whole fleet once more.
  if (!current || !listed_) {
    rebuy_ = true;
  } else if (since_buy >= policy_.tick_s || (rebuy_ && since_buy >= kBuyAtMostEvery)) {
    rebuy_ = false;
    bought_at_ = now;
    buy(now);
  }
  watch_levels(now);
  commit(now);
  if (!jobs_complete_ && now - jobs_asked_at_ >= kReadJobsAgain_s) {
    jobs_asked_at_ = now;
    out_.read_jobs = true;
  }
  if (staleness_.should_poll_members(now))
    out_.cancellation_poll_windows = staleness_.query_windows(now);
  std::erase_if(to_hire_, [&](const auto& pending) {
    if (!ledger_.is_stored(pending.first)) return false;
    out_.cloud_requests.push_back({CloudRequest::Kind::scale_out, pending.second, {}});
    return true;
  });
  answer_parked(now);
  return std::exchange(out_, {});
}

}  // namespace reachramp::controller
