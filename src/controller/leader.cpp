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

// A response to a heartbeat waits this long for the starts that it should carry to be stored.
constexpr double kMaxResponseDelay_s = 1.0;
constexpr double kMaxPlanInterval_s = 0.5;
// At hundreds of machines a heartbeat comes every few milliseconds; each asks for a plan.
constexpr double kMinPlanInterval_s = 0.1;
constexpr double kCheckHostsInterval_s = 0.5;
// Arrivals and losses ask for machines at once, but not more often than this.
constexpr double kMinScaleInterval_s = 1.0;
// Starts go out only while the watch on jobs has lately shown that we know of every cancellation.
constexpr double kMaxJobsAge_s = 3.0;
constexpr double kJobEndReadInterval_s = 1;
constexpr double kRelistInterval_s = 2;
// A mark of the revision clock may be so much later than the service's answer that it was taken
// from.
constexpr double kMaxResponseTransit_s = 2;
constexpr double kFirstUsageLogDelay_s =
    5;  // after taking over, when most machines have been heard

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

// Looked at for each answer, however long the process stood still before: the worker's lease counts
// from the sending of its heartbeat, which is before `now`.
bool Leader::check_may_respond(const HeartbeatResponder& responder, double now) {
  const bool may_answer = freshness_.may_answer(now);
  if (may_answer != std::exchange(was_responding_, may_answer)) {
    spdlog::error("{}: cancellations are known up to {:.1f} s ago",
                  may_answer ? "workers are answered again" : "workers are answered no longer",
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

// Thousands may be parked while starts wait for writes; each is looked at again when a plan, a
// stored record or a cancellation may have changed its case, or its time is over.
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
  // What runs on a machine that was returned counts as ended: it is not believed.
  const bool returned = returned_hosts_.contains(heartbeat.host);
  if (!returned && workers::reconcile(cluster_, heartbeat, workers::Channel::heartbeat, now)) {
    needs_placement_ = true;
    deferred_responses_.push_back({heartbeat.host, std::move(responder), now});
  } else if (check_may_respond(responder, now)) {
    // Or it is not newer than what is known, as when a direct response has overtaken it. The answer
    // extends the lease all the same, so it carries what must stop; nothing may start on it.
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

// What was not in the state was told after the moment up to which all cancellations were known.
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
    // No node can read it, so that no user is told anything of it.
    spdlog::error("record {}: {}", key, error.what());
    return true;
  }
  try {
    Job* job = cluster_.find_job(id);
    if (job == nullptr) {
      const std::uint64_t born =
          header.accepted_revision != 0 ? header.accepted_revision : revision;
      const double seen_at = revision_clock_.time_of(born, now);
      const Index index = cluster_.add_job(header, revision, seen_at, cancelled_at);
      cluster_.jobs[index]->attempts_ended_by = now;
      if (born > usage_restored_to_revision_) usage_.note_submitted(*cluster_.jobs[index]);
      pipelines::track_dependencies(cluster_, index, now);
      spdlog::info("job {} taken up: {} tasks", id, header.spec.tasks);
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
    spdlog::error("record {}: not taken in: {}", key, error.what());
    return false;
  }
  return true;
}

void Leader::on_job_changes(const std::vector<kv::KeyChange>& changes, double now) {
  // Until the last of them is taken in: what throws on the way is not known.
  bool complete = std::exchange(all_job_changes_applied_, false);
  for (const kv::KeyChange& change : changes) {
    watched_revision_ = std::max(watched_revision_, change.revision);
    revision_clock_.observe(change.revision, now);
    if (change.value) {
      complete &= apply_job_record(change.key, *change.value, change.revision,
                                   cancellation_time_of_change(now), now);
      continue;
    }
    // Our own end of the job; what the watch brings from here on is newer.
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

// Told to a user, they are durable; the watch brings their headers later. Before a word proves
// anything its cancellations are in the state.
void Leader::on_cancellation_digests(const std::vector<leadership::CancellationDigest>& digests,
                                     double now) {
  for (const leadership::CancellationDigest& digest : digests) {
    for (const std::string& id : digest.cancelled) {
      const auto at = cluster_.job_index.find(id);
      if (at == cluster_.job_index.end()) {
        spdlog::debug("job {}: told as cancelled, has ended or is not known", id);
        continue;
      }
      Job& job = *cluster_.jobs[at->second];
      if (job.cancelled) continue;
      spdlog::info("job {} is cancelled: its user was told so elsewhere", id);
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
  // Absent: it was accepted a moment ago and the watch has yet to bring it.
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

// A leader whose watch on the jobs has stopped may have been replaced: its machines are silent
// because they report to another. It answers workers, and leaves the fleet alone.
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

// Records only name machines. Until a list or their heartbeats tell what they are and that they run
// they count for nothing, and each new leader rented the whole fleet once more.
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

// A request for machines is sent once the record that names it is stored.
void Leader::release_scale_outs() {
  std::erase_if(scale_outs_awaiting_record_, [&](const auto& pending) {
    if (!transaction_builder_.is_stored(pending.first)) return false;
    effects_.cloud_requests.push_back({CloudRequest::Kind::scale_out, pending.second, {}});
    return true;
  });
}

}  // namespace reachramp::controller
