#include "controller/event_loop.h"

#include <spdlog/spdlog.h>

#include "kv/steady_clock.h"
#include "peers/heartbeat_forwarder.h"

namespace reachramp::controller {

namespace {

constexpr double kLeaderMaxWait_s = 0.1;
constexpr double kFollowerMaxWait_s = 1.0;

// Passes each event to the leader.
struct LeaderEventVisitor {
  Leader& leader;
  double now;

  // `dispatch` handles these itself, because they may come without a current leader.
  void operator()(LeadershipAcquired&) const {}
  void operator()(HeartbeatReceived&) const {}

  void operator()(StatusReceived& in) const { leader.on_direct_status(in.status, now); }
  void operator()(JobsChanged& in) const {
    leader.on_job_changes(in.changes, now);
    leader.on_jobs_read_until(in.requested_at);
  }
  void operator()(JobsListed& in) const {
    leader.on_job_list(in.entries, now);
    leader.on_jobs_read_until(in.requested_at);
  }
  void operator()(CancellationsPolled& in) const {
    leader.on_cancellation_digests(in.digests, now);
  }
  void operator()(JobEndRead& in) const { leader.on_job_end_read(in.job, in.found, now); }
  void operator()(TransactionVerified& in) const {
    leader.on_transaction_verified(in.found, in.leader, now);
  }
  void operator()(ClaimsRead& in) const { leader.on_claims(in.entries); }
  void operator()(ObsoleteRecordsRead& in) const { leader.on_obsolete_records(in.entries, now); }
  void operator()(DrainsRead& in) const { leader.on_drains(in.entry, now); }
  void operator()(TransactionCompleted& in) const {
    leader.on_transaction_completed(in.result, now);
  }
  void operator()(CatalogRead& in) const { leader.on_catalog(in.catalog, now); }
  void operator()(MachinesListed& in) const {
    leader.on_host_list(in.machines, in.requested_at, now);
  }
  void operator()(ScaleOutCompleted& in) const {
    leader.on_scale_out_completed(in.request, in.result, now);
  }
  void operator()(ScaleInCompleted& in) const { leader.on_scale_in_completed(in.machines, now); }
};

}  // namespace

void EventLoop::run() {
  for (;;) {
    std::vector<Event> events = events_.take(
        std::chrono::duration<double>(leader_ ? kLeaderMaxWait_s : kFollowerMaxWait_s));
    const double now = kv::steady_now();
    for (Event& event : events) {
      try {
        dispatch(event, now);
      } catch (const std::exception& error) {
        spdlog::error("event dropped: {}", error.what());
      }
    }
    if (leader_) advance_leader(now);
  }
}

void EventLoop::advance_leader(double now) {
  if (members_.all_upgraded()) leader_->on_all_upgraded();
  const std::uint64_t fencing_token = leader_->cluster().fencing_token;
  if (leader_->deposed()) {
    election_.on_deposed(fencing_token);
    leader_.reset();
  } else if (election_.status().fencing_token != fencing_token) {
    leader_.reset();
  } else {
    execute_effects(leader_->advance(now));
  }
}

void EventLoop::dispatch(Event& event, double now) {
  if (auto* acquired = std::get_if<LeadershipAcquired>(&event.payload)) {
    leader_ = std::move(acquired->leader);
    return;
  }
  const bool is_current_leader = leader_ && leader_->cluster().fencing_token == event.fencing_token;
  if (auto* received = std::get_if<HeartbeatReceived>(&event.payload)) {
    dispatch_heartbeat(*received, is_current_leader, now);
  } else if (is_current_leader) {
    std::visit(LeaderEventVisitor{*leader_, now}, event.payload);
  }
}

// Every heartbeat gets a reply, from the leader now or later, or here at once.
void EventLoop::dispatch_heartbeat(HeartbeatReceived& received, bool is_current_leader,
                                   double now) {
  const auto reply = received.reply;
  // Null: this node is the leader but must not respond to workers now. The status 421 is final: a
  // node that has forwarded the heartbeat passes it on to the worker.
  const auto answer = [reply](const wire::Json& body) {
    reply->set_value(body.is_null() ? wire::Response{peers::kStatusMisdirectedRequest,
                                                     {{"error", "not current"}}}
                                    : wire::Response{200, body});
  };
  const HeartbeatResult result = is_current_leader
                                     ? leader_->on_heartbeat(received.heartbeat, answer, now)
                                     : HeartbeatResult::deposed;
  if (result == HeartbeatResult::deposed) {
    reply->set_value({503, {{"error", "not leading"}}});
  }
}

void EventLoop::execute_effects(Effects effects) {
  const std::uint64_t fencing_token = leader_->cluster().fencing_token;
  if (effects.step_down) {
    election_.resign(fencing_token);
    leader_.reset();
    return;
  }
  if (effects.relist_jobs) executors_.job_watcher.request_relist();
  if (effects.transaction) {
    executors_.transaction_sender.push({fencing_token, effects.transaction->transaction});
  }
  if (!effects.cancellation_poll_windows_s.empty()) {
    executors_.cancellation_poller.push(
        {fencing_token, std::move(effects.cancellation_poll_windows_s)});
  }
  request_reads(effects, fencing_token);
  for (CloudRequest& request : effects.cloud_requests) {
    executors_.cloud_worker.push({fencing_token, std::move(request)});
  }
  for (auto& [address, body] : effects.urgent_stops) {
    executors_.machine_prober.push({fencing_token, std::move(address), std::move(body)});
  }
  for (std::string& address : effects.probes) {
    executors_.machine_prober.push({fencing_token, std::move(address)});
  }
}

void EventLoop::request_reads(Effects& effects, std::uint64_t fencing_token) {
  using Kind = StrongReadRequest::Kind;
  StrongReader& strong_reader = executors_.strong_reader;
  if (effects.verify_key) {
    strong_reader.push({Kind::verify_key, fencing_token, std::move(*effects.verify_key)});
  }
  for (std::string& job : effects.read_job_ends) {
    strong_reader.push({Kind::job_end, fencing_token, std::move(job)});
  }
  if (effects.read_claims) strong_reader.push({Kind::claims, fencing_token});
  if (effects.read_obsolete_records) strong_reader.push({Kind::obsolete_records, fencing_token});
  if (effects.read_drains) strong_reader.push({Kind::drains, fencing_token});
}

}  // namespace reachramp::controller
