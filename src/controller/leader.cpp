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

// How long a response to a heartbeat waits until the starts that it should carry are stored.
constexpr double kMaxResponseDelay_s = 1.0;
constexpr double kMaxPlanInterval_s = 0.5;
// Each heartbeat requests a placement pass, and with hundreds of machines one arrives every few
// milliseconds.
constexpr double kMinPlanInterval_s = 0.1;
constexpr double kCheckHostsInterval_s = 0.5;
// New jobs and lost machines trigger scaling at once, but not more often than this.
constexpr double kMinScaleInterval_s = 1.0;
// Starts are sent only if the watch on jobs has confirmed within this time that all cancellations
// are known.
constexpr double kMaxJobsAge_s = 3.0;
constexpr double kJobEndReadInterval_s = 1;
constexpr double kRelistInterval_s = 2;
// The store's response from which a sample of the revision clock was taken may have been in transit
// for this long, so that the sample's time is too late by as much.
constexpr double kMaxResponseTransit_s = 2;
// After this time in the term, most machines have been heard from.
constexpr double kFirstUsageLogDelay_s = 5;

}  // namespace

Leader::Leader(const settings::Platform& platform, const settings::Policy& policy,
               std::uint64_t fencing_token, const LeaderSnapshot& snapshot, double now,
               const schema::SupportedLevels& supported_levels)
    : platform_(platform),
      policy_(policy),
      cluster_(
          platform_, fencing_token,
          snapshot.all_upgraded ? jobs::TaskRecordFormat::compact : jobs::TaskRecordFormat::legacy),
      autoscaler_(policy),
      write_budget_(platform.store_limits, platform.upcoming_store_limits),
      supported_levels_(supported_levels),
      next_usage_log_at_(now + kFirstUsageLogDelay_s),
      usage_stored_at_(now),
      revision_clock_(snapshot.revision_clock),
      revision_clock_stored_at_(now),
      max_writes_(platform.strictest_store_limits().txn_ops),
      leader_since_(now),
      listening_since_(now),
      advanced_at_(now),
      freshness_(platform.worker_timings, platform.members.size() + 1,
                 snapshot.jobs_requested_at.value_or(now)) {
  restore_schema(snapshot);
  restore_usage(snapshot);
  restore_drain_budgets(snapshot, now);
  restore_revision_clock(snapshot, now);
  restore_catalog(snapshot);
  restore_jobs(snapshot, now);
  restore_scale_outs(snapshot, now);
  if (schema::has_level(schema_, schema::kDrains)) on_drains(snapshot.drains, now);
  restore_zones(snapshot, now);
  detect_older_leader(snapshot);
  spdlog::info("leading with baton {}: {} jobs, {} machines known", fencing_token,
               cluster_.job_index.size(), cluster_.host_index.size());
}

bool Leader::has_current_jobs(double now) const {
  return now - freshness_.last_jobs_read_at() < kMaxJobsAge_s;
}

bool Leader::awaits_persistence(const Host& host) const {
  return std::any_of(host.attempts.begin(), host.attempts.end(), [&](const auto& ref) {
    const Attempt& attempt = cluster_.jobs[ref.job]->attempts.at(ref.task);
    return !attempt.persisted && !attempt.stopping;
  });
}

// The staleness bound is checked for every response, because the process may have been suspended
// since the last check. The worker's lease counts from when it sent the heartbeat, which is before
// `now`.
bool Leader::check_may_respond(const HeartbeatResponder& responder, double now) {
  const bool may_answer = freshness_.may_answer(now);
  if (may_answer != std::exchange(was_responding_, may_answer)) {
    spdlog::error("{}: all cancellations up to {:.1f} s ago are known",
                  may_answer ? "responses to workers resumed" : "responses to workers suspended",
                  now - freshness_.cancellations_known_until());
  }
  if (!may_answer) responder(nullptr);
  return may_answer;
}

void Leader::respond(const HeartbeatResponder& responder, std::optional<Index> host, double now) {
  if (!check_may_respond(responder, now)) return;
  std::vector<workers::Command> orders;
  if (host) orders = workers::commands_for(cluster_, *host, has_current_jobs(now), now);
  responder(workers::encode_response(cluster_.fencing_token, orders));
}

// Thousands of responses may be deferred while starts wait to be stored. They are checked again
// only after a placement pass, a stored record or a cancellation, or when the oldest has waited
// long enough.
void Leader::send_deferred_responses(double now) {
  const bool expired = !deferred_responses_.empty() &&
                       now >= deferred_responses_.front().deferred_at + kMaxResponseDelay_s;
  if (!std::exchange(recheck_deferred_responses_, false) && !expired) return;
  std::vector<DeferredResponse> remaining;
  for (DeferredResponse& deferred : deferred_responses_) {
    const Host* host = cluster_.find_host(deferred.host);
    const bool planned = deferred.deferred_at <= planned_at_;
    if (host != nullptr && now < deferred.deferred_at + kMaxResponseDelay_s &&
        (!planned || awaits_persistence(*host))) {
      remaining.push_back(std::move(deferred));
    } else {
      const auto at = cluster_.host_index.find(deferred.host);
      respond(deferred.responder,
              at == cluster_.host_index.end() ? std::nullopt : std::optional(at->second), now);
    }
  }
  deferred_responses_ = std::move(remaining);
}

HeartbeatResult Leader::on_heartbeat(const workers::Heartbeat& heartbeat,
                                     HeartbeatResponder responder, double now) {
  if (heartbeat.fencing_token > cluster_.fencing_token) {
    deposed_ = true;
    return HeartbeatResult::deposed;
  }
  // Tasks on a returned machine count as ended, so its heartbeat does not change the state.
  const bool returned = returned_hosts_.contains(heartbeat.host);
  if (!returned && workers::reconcile(cluster_, heartbeat, workers::Channel::heartbeat, now)) {
    needs_placement_ = true;
    deferred_responses_.push_back({heartbeat.host, std::move(responder), now});
  } else if (check_may_respond(responder, now)) {
    // The machine was returned, or the heartbeat is not newer than what is known, for example
    // because a direct response has overtaken it. The response extends the worker's lease all the
    // same, so it must carry the stops; it contains no starts.
    responder(workers::encode_response(cluster_.fencing_token,
                                       workers::stop_commands_for(cluster_, heartbeat)));
  }
  return HeartbeatResult::accepted;
}

void Leader::on_direct_status(const workers::Heartbeat& heartbeat, double now) {
  if (heartbeat.fencing_token > cluster_.fencing_token) {
    deposed_ = true;
  } else if (!returned_hosts_.contains(heartbeat.host)) {
    workers::reconcile(cluster_, heartbeat, workers::Channel::direct, now);
    needs_placement_ = true;
  }
}

// A cancellation that is not in the state yet was confirmed after the time until which all
// cancellations are known.
placement::CancellationTime Leader::cancellation_time_of_change(double now) const {
  return {std::min(freshness_.cancellations_known_until(), now), now};
}

placement::CancellationTime Leader::cancellation_time_of_record(std::uint64_t revision,
                                                                double now) const {
  placement::CancellationTime cancelled_at;
  if (const auto earliest = revision_clock_.earliest_time_of(revision))
    cancelled_at.earliest = *earliest - kMaxResponseTransit_s;
  cancelled_at.latest = revision_clock_.time_of(revision, now);
  return cancelled_at;
}

void Leader::on_jobs_read_until(double requested_at) {
  if (all_job_changes_applied_) freshness_.on_jobs_read(requested_at);
}

bool Leader::apply_job_record(const std::string& key, const kv::Json& value, std::uint64_t revision,
                              placement::CancellationTime cancelled_at, double now) {
  if (!key.starts_with("job/")) return true;
  const std::string id = key.substr(4);
  const auto ended = recently_ended_jobs_.find(id);
  if (ended != recently_ended_jobs_.end() && revision < ended->second) return true;
  jobs::Header header;
  try {
    header = jobs::decode_header(value);
  } catch (const std::exception& error) {
    // No node can read the record, so no user has been told anything about this job.
    spdlog::error("record {} is malformed: {}", key, error.what());
    return true;
  }
  try {
    Job* job = cluster_.find_job(id);
    if (job == nullptr) {
      const std::uint64_t accepted_revision =
          header.accepted_revision != 0 ? header.accepted_revision : revision;
      const double seen_at = revision_clock_.time_of(accepted_revision, now);
      const Index index = cluster_.add_job(header, revision, seen_at, cancelled_at);
      cluster_.jobs[index]->attempts_ended_by = now;
      if (accepted_revision > usage_restored_to_revision_)
        usage_.note_submitted(*cluster_.jobs[index]);
      pipelines::track_dependencies(cluster_, index, now);
      spdlog::info("job {} added: {} tasks", id, header.spec.tasks);
    } else if (revision > job->revision) {
      job->revision = revision;
      job->cancel_unconfirmed = job->cancel_unconfirmed && !header.cancelled;
      if (header.cancelled && !job->cancelled) {
        cluster_.cancel_job(cluster_.job_index[id], cancelled_at);
        pipelines::resolve_dependents(cluster_, id, DependencyState::cancelled, now);
      }
    }
    needs_priority_update_ = needs_placement_ = needs_scaling_ = recheck_deferred_responses_ = true;
  } catch (const std::exception& error) {
    spdlog::error("record {} could not be applied: {}", key, error.what());
    return false;
  }
  return true;
}

void Leader::on_job_changes(const std::vector<kv::KeyChange>& changes, double now) {
  // The flag stays false if an exception interrupts the loop, because the remaining changes are
  // then not applied.
  bool complete = std::exchange(all_job_changes_applied_, false);
  for (const kv::KeyChange& change : changes) {
    watched_revision_ = std::max(watched_revision_, change.revision);
    revision_clock_.observe(change.revision, now);
    if (change.value) {
      complete &= apply_job_record(change.key, *change.value, change.revision,
                                   cancellation_time_of_change(now), now);
      continue;
    }
    // The header was removed by the transaction that stored the job's end. From here on the watch
    // reports only newer changes of the key.
    const std::string id = change.key.substr(std::min<std::size_t>(4, change.key.size()));
    recently_ended_jobs_.erase(id);
    const auto at = cluster_.job_index.find(id);
    if (at != cluster_.job_index.end() && cluster_.jobs[at->second]->revision < change.revision &&
        transaction_.is_empty()) {
      cluster_.remove_job(at->second);
      pipelines::resolve_dependents(cluster_, id, DependencyState::unknown, now);
      needs_priority_update_ = true;
    }
  }
  all_job_changes_applied_ = complete;
}

// Cancellations that were confirmed to a user are stored; the watch will report their headers
// later. A digest counts as proof only once its cancellations are in the state.
void Leader::on_cancellation_digests(const std::vector<leadership::CancellationDigest>& digests,
                                     double now) {
  for (const leadership::CancellationDigest& digest : digests) {
    for (const std::string& id : digest.cancelled) {
      const auto at = cluster_.job_index.find(id);
      if (at == cluster_.job_index.end()) {
        spdlog::debug(
            "job {}: a member has confirmed its cancellation, but it has ended or is not known",
            id);
        continue;
      }
      Job& job = *cluster_.jobs[at->second];
      if (job.cancelled) continue;
      spdlog::info("job {} is cancelled: a member has confirmed this to its user", id);
      job.cancel_unconfirmed = true;
      cluster_.cancel_job(at->second, cancellation_time_of_change(now));
      pipelines::resolve_dependents(cluster_, id, DependencyState::cancelled, now);
      needs_priority_update_ = needs_placement_ = needs_scaling_ = recheck_deferred_responses_ =
          true;
    }
    freshness_.apply_digest(digest);
  }
}

void Leader::on_job_end_read(const std::string& id, const kv::ReadResult& found, double now) {
  // If the end is absent, the job was accepted a moment ago and the watch has not reported it yet.
  if (found.outcome != Outcome::ok || cluster_.job_index.contains(id)) return;
  const bool cancelled = jobs::decode_final_state(found.entry.value).cancelled;
  pipelines::resolve_dependents(cluster_, id,
                                cancelled ? DependencyState::cancelled : DependencyState::done,
                                revision_clock_.time_of(found.entry.revision, now));
  job_ends_read_at_.erase(id);
  needs_priority_update_ = needs_placement_ = needs_scaling_ = true;
}

void Leader::on_job_list(const std::vector<kv::Entry>& entries, double now) {
  bool complete = true;
  for (const kv::Entry& entry : entries) {
    complete &= apply_job_record(entry.key, entry.value, entry.revision,
                                 cancellation_time_of_change(now), now);
  }
  all_job_changes_applied_ = complete;
}

Effects Leader::advance(double now) {
  detect_own_pause(now);
  update_dependencies(now);
  place_tasks(now);
  manage_hosts(now);
  advance_schema(now);
  send_next_transaction(now);
  log_unstored_ends(now);
  request_reads(now);
  release_scale_outs();
  send_deferred_responses(now);
  return std::exchange(effects_, {});
}

void Leader::update_dependencies(double now) {
  if (std::exchange(needs_priority_update_, false)) {
    pipelines::propagate_priorities(cluster_);
    unknown_dependencies_ = pipelines::unresolved_dependencies(cluster_);
  }
  for (const std::string& id : unknown_dependencies_) {
    const auto [at, is_first] = job_ends_read_at_.try_emplace(id, now);
    if (!is_first && now - at->second < kJobEndReadInterval_s) continue;
    at->second = now;
    effects_.read_job_ends.push_back(id);
  }
}

void Leader::place_tasks(double now) {
  const double since_plan = now - planned_at_;
  const bool is_due =
      (needs_placement_ && since_plan >= kMinPlanInterval_s) || since_plan > kMaxPlanInterval_s;
  if (!is_due) return;
  needs_placement_ = false;
  recheck_deferred_responses_ = true;
  planned_at_ = now;
  if (drains_.advance_moves(cluster_, now) > 0) needs_scaling_ = true;
  const placement::DisruptionApprover gate = [&](const std::vector<Index>& jobs) {
    return drains_.approve_preemption(cluster_, jobs, now);
  };
  if (placement::plan(cluster_, now,
                      drains_.has_policy() ? gate : placement::DisruptionApprover{}) > 0) {
    needs_scaling_ = true;
  }
}

// A leader whose watch on jobs has stopped may have been replaced. Machines are then silent because
// they report to the new leader, so this one responds to workers but neither rents nor returns
// machines.
void Leader::manage_hosts(double now) {
  const bool is_current = has_current_jobs(now);
  if (is_current && now - liveness_checked_at_ > kCheckHostsInterval_s) {
    liveness_checked_at_ = now;
    check_host_liveness(now);
  }
  if (now - cancellations_checked_at_ >= kCheckHostsInterval_s) {
    cancellations_checked_at_ = now;
    scale_in_for_cancellations(now);
  }
  if (is_current) advance_drains(now);
  scale_if_due(is_current, now);
}

// Stored records contain only the names of machines, which do not count as capacity until the
// cloud's list or heartbeats have described them. Without this wait, each new leader rented the
// whole fleet again.
void Leader::scale_if_due(bool is_current, double now) {
  if (!is_current || !hosts_listed_) {
    needs_scaling_ = true;
    return;
  }
  const double since_scaled = now - scaled_at_;
  const bool is_due = since_scaled >= policy_.scaling_interval_s ||
                      (needs_scaling_ && since_scaled >= kMinScaleInterval_s);
  if (!is_due) return;
  needs_scaling_ = false;
  scaled_at_ = now;
  scale(now);
}

void Leader::request_reads(double now) {
  if (!all_job_changes_applied_ && now - relist_requested_at_ >= kRelistInterval_s) {
    relist_requested_at_ = now;
    effects_.relist_jobs = true;
  }
  if (freshness_.should_poll_members(now)) {
    effects_.cancellation_poll_windows_s = freshness_.query_windows(now);
  }
}

// Requests for machines are sent once their pool record is stored.
void Leader::release_scale_outs() {
  std::erase_if(scale_outs_awaiting_record_, [&](const auto& pending) {
    if (!transaction_builder_.is_stored(pending.first)) return false;
    effects_.cloud_requests.push_back({CloudRequest::Kind::scale_out, pending.second, {}});
    return true;
  });
}

}  // namespace reachramp::controller
