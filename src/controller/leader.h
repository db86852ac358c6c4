// The leader's decisions: what each event changes in the state, and what is to be done about it.
//
// A Leader exists for one term: from the moment at which a node has won the election and read what
// is stored, until it is deposed or steps down. It owns all state of the term. It is used by one
// thread, reads no clock and does no I/O: the event loop passes in events and the present time, in
// seconds of the steady clock, and carries out the effects that `advance` returns.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acquire/autoscaler.h"
#include "controller/cloud_requests.h"
#include "controller/pending_transaction.h"
#include "controller/transaction_builder.h"
#include "controller/write_budget.h"
#include "drains/drains.h"
#include "leadership/read_freshness.h"
#include "placement/cluster.h"
#include "schema/schema.h"
#include "settings/settings.h"
#include "shares/usage_accounts.h"
#include "workers/heartbeat.h"
#include "zones/zone_monitor.h"

namespace reachramp::controller {

// What becomes of a worker's heartbeat.
enum class HeartbeatResult {
  accepted,  // its response goes to the responder, now or later
  deposed,   // the worker has seen a higher fencing token: another node leads
};

// What is to be done outside the state, for the event loop to carry out. `advance` returns it and
// begins with an empty one.
struct Effects {
  std::optional<TransactionBatch> transaction;
  std::vector<CloudRequest> cloud_requests;
  std::optional<std::string> verify_key;   // a key that tells whether a transaction was applied
  std::vector<std::string> read_job_ends;  // jobs whose ends are to be read
  // Addresses of machines to be told this leader's fencing token.
  std::vector<std::string> probes;
  std::vector<std::pair<std::string, kv::Json>> urgent_stops;  // addresses, bodies of /orders
  std::vector<double> cancellation_poll_windows_s;  // members for the cancellations they told: one
                                                    // window each; or none
  bool step_down = false;
  bool relist_jobs = false;  // all of them: a change that the watch brought was not taken in
  bool read_drains = false;  // the record of what is to be drained
  bool read_claims = false;  // what the processes on all nodes speak
  bool read_obsolete_records = false;  // records that are not of the level's form, by strong reads
};

// What is stored, as it was read at the start of a term by strong reads. An absent record is
// nothing.
struct LeaderSnapshot {
  std::vector<kv::Entry> jobs;
  std::vector<kv::Entry> tasks;
  std::vector<kv::Entry> pools;
  std::optional<kv::Entry> catalog;
  std::optional<kv::Entry> stored_schema;
  std::optional<kv::Entry> shares;
  std::optional<kv::Entry> drains;
  std::optional<kv::Entry> drain_budgets;
  std::optional<kv::Entry> zones;
  std::optional<double>
      jobs_requested_at;             // when the jobs were asked for (steady seconds); else now
  bool all_upgraded = false;         // no node runs a version that knows whole records only
  kv::RevisionClock revision_clock;  // what this node knows of when revisions were given
  std::optional<kv::Entry> stored_revision_clock;  // what earlier leaders wrote of it
};

class Leader {
 public:
  // `fencing_token`: the revision of the key `leader` as this node wrote it. `now`: steady seconds.
  // Throws std::runtime_error where the stored schema is not one that `supported_versions` has.
  Leader(const settings::Platform& platform, const settings::Policy& policy,
         std::uint64_t fencing_token, const LeaderSnapshot& snapshot, double now,
         const schema::SupportedLevels& supported_versions = {});

  // A worker's heartbeat; `answer` is called with the response, now or as soon as intents that it
  // should carry are durable, or with null: this leader may not answer now
  // (leadership/read_freshness.h).
  using HeartbeatResponder = std::function<void(const wire::Json&)>;
  HeartbeatResult on_heartbeat(const workers::Heartbeat& heartbeat, HeartbeatResponder responder,
                               double now);
  void on_direct_status(const workers::Heartbeat& heartbeat, double now);
  void on_job_changes(const std::vector<kv::KeyChange>& changes, double now);
  // All jobs as read anew after the watch lost its place.
  void on_job_list(const std::vector<kv::Entry>& entries, double now);
  void on_job_end_read(const std::string& id, const kv::ReadResult& found, double now);
  void on_all_upgraded() { all_upgraded_ = true; }
  // All changes of jobs until then were passed in; they count as known if all were taken in.
  void on_jobs_read_until(double requested_at);
  // What members have told users as cancelled, each for itself.
  void on_cancellation_digests(const std::vector<leadership::CancellationDigest>& digests,
                               double now);
  void on_claims(const std::vector<kv::Entry>& entries);
  // All stale records that strong reads showed, which began after this leader had asked for them.
  void on_obsolete_records(const std::vector<kv::Entry>& entries, double now);
  // The record of what is to be drained; nothing: there is none.
  void on_drains(const std::optional<kv::Entry>& entry, double now);
  const drains::Drains& drains() const { return drains_; }
  const schema::StoredSchema& stored_schema() const { return schema_; }
  void on_transaction_completed(const kv::CommitResult& committed, double now);
  // The key that was to be read back, and the leader's key, by strong reads in this order: while
  // the latter has our fencing token, nobody else can have written the former.
  void on_transaction_verified(const kv::ReadResult& found, const kv::ReadResult& leader,
                               double now);
  void on_catalog(const cloud::Catalog& catalog, double now);
  void on_host_list(const std::vector<cloud::ListedMachine>& listed, double requested_at,
                    double now);
  void on_scale_out_completed(const cloud::ScaleOutRequest& request,
                              const cloud::ScaleOutResult& result, double now);
  void on_scale_in_completed(const std::vector<std::string>& machines, double now);

  // Lets time pass up to `now`: places tasks, scales out and in, writes, responds. To be called
  // after each batch of events, and ten times a second without any.
  Effects advance(double now);
  // Another node leads: nothing may be done any longer.
  bool deposed() const { return deposed_; }
  const Cluster& cluster() const { return cluster_; }

 private:
  struct DeferredResponse {
    std::string host;
    HeartbeatResponder responder;
    double deferred_at = 0;
  };

  // The start of the term (leader_restore.cpp): from stored records to state.
  void restore_schema(const LeaderSnapshot& snapshot);  // throws if it cannot be served
  void restore_usage(const LeaderSnapshot& snapshot);
  void restore_drain_budgets(const LeaderSnapshot& snapshot, double now);
  void restore_revision_clock(const LeaderSnapshot& snapshot, double now);
  void restore_catalog(const LeaderSnapshot& snapshot);
  void restore_jobs(const LeaderSnapshot& snapshot, double now);
  void restore_scale_outs(const LeaderSnapshot& snapshot, double now);
  void restore_zones(const LeaderSnapshot& snapshot, double now);
  void detect_older_leader(const LeaderSnapshot& snapshot);

  // What `advance` does, in this order.
  void update_dependencies(double now);
  void place_tasks(double now);
  void manage_hosts(double now);
  void scale_if_due(bool is_current, double now);
  void request_reads(double now);
  void release_scale_outs();

  void check_host_liveness(double now);
  void store_zones(double now);
  bool are_many_hosts_silent(double now) const;
  const char* reason_to_scale_in(Index host, bool many_are_silent, double now) const;
  bool is_listed_after_return(const std::string& name, double requested_at, double now);
  void update_listed_host(const cloud::ListedMachine& machine, double now);
  void remove_unlisted_hosts(const std::set<std::string>& listed, double requested_at, double now);
  void log_failover_progress(double now);
  void detect_unreachable_hosts(double now);
  void scale(double now);
  // Unless its return has been requested already.
  void scale_in(Index host, const char* why);
  void request_scale_in(placement::Host& host, const std::string& why);
  // Machines on which a task of a cancelled job may outlive cancel_s.
  void scale_in_for_cancellations(double now);
  // A leader that stood still has heard nobody meanwhile: it listens anew.
  void detect_own_pause(double now);
  // False, and nothing is answered, while this leader may not answer workers.
  bool check_may_respond(const HeartbeatResponder& responder, double now);
  // With the commands for the host, if it is known.
  void respond(const HeartbeatResponder& responder, std::optional<Index> host, double now);
  void send_deferred_responses(double now);
  bool awaits_persistence(const placement::Host& host) const;
  void on_host_removed(const std::string& name, double now);
  void send_next_transaction(double now);
  void resume_transaction(double now);
  void resolve_transaction(const PendingTransaction::Resolution& resolution, double now);
  void on_batch_applied(const TransactionBatch& batch, std::uint64_t store_revision, double now);
  void on_batch_too_large(const TransactionBatch& batch, double now);
  void on_batch_rejected(kv::Outcome outcome, double now);
  void store_revision_clock(double now);
  void update_usage(double now);
  void log_usage(double now);
  void store_usage(double now);
  void advance_drains(double now);
  void end_drains();
  void update_closed_pools();
  void advance_schema(double now);
  void write_schema(const schema::StoredSchema& to,
                    std::vector<std::pair<std::string, std::uint64_t>> preconditions);
  void migrate_obsolete_record(const std::string& key, std::uint64_t revision, double now);
  // Whether all that the record says is in the state now.
  bool apply_job_record(const std::string& key, const kv::Json& value, std::uint64_t revision,
                        placement::CancellationTime cancelled_at, double now);
  // Of a change that the watch brings now, and of a record that was there when this leader began.
  placement::CancellationTime cancellation_time_of_change(double now) const;
  placement::CancellationTime cancellation_time_of_record(std::uint64_t revision, double now) const;
  bool has_current_jobs(double now) const;
  std::string pool_key(const placement::Pool& pool) const;

  settings::Platform platform_;
  settings::Policy policy_;
  Cluster cluster_;
  acquire::Autoscaler autoscaler_;
  TransactionBuilder transaction_builder_;
  WriteBudget write_budget_;
  zones::ZoneMonitor zones_;
  double zones_stored_at_ = -1e9;
  drains::Drains drains_;
  std::string last_drain_error_;       // why the record is not in force, as last logged
  std::uint64_t drains_revision_ = 0;  // of the record in force
  bool rolling_upgrade_ = true;        // until claims show that it is not
  double drains_read_at_ = -1e9;
  double drains_advanced_at_ = -1e9;
  double drains_stored_at_ = -1e9;
  schema::SupportedLevels supported_versions_;
  schema::StoredSchema schema_;
  std::string last_migration_refusal_;           // as last logged
  std::set<std::string> migrated_task_records_;  // records of tasks that the step has removed
  double claims_read_at_ = -1e9;
  double obsolete_records_read_at_ = -1e9;
  shares::UsageAccounts usage_;
  std::uint64_t usage_restored_to_revision_ =
      0;  // jobs born up to here are in the accounts that were read
  bool usage_unreadable_ = false;
  double usage_updated_at_ = -1e9;
  double next_usage_log_at_;
  double usage_stored_at_;
  kv::RevisionClock revision_clock_;
  double revision_clock_stored_at_;
  Effects effects_;
  PendingTransaction transaction_;
  int consecutive_conflicts_ = 0;  // in a row
  int max_writes_;                 // of one transaction
  std::map<std::string, double> job_ends_read_at_;
  std::vector<DeferredResponse> deferred_responses_;  // the longest waiting first
  bool recheck_deferred_responses_ = false;        // something has changed that may let answers go
  std::vector<std::string> unknown_dependencies_;  // jobs that others need and nothing is known of
  std::map<std::string, double> returned_hosts_;   // machines
  // Jobs whose end was settled under this leadership, with its revision. The watch may yet bring
  // headers from before.
  std::map<std::string, std::uint64_t> recently_ended_jobs_;
  std::uint64_t watched_revision_ = 0;  // the newest revision that the watch has brought
  // Requests whose pool record is on its way, then those that are out.
  std::vector<std::pair<std::string, cloud::ScaleOutRequest>> scale_outs_awaiting_record_;
  std::map<std::string, double> scale_out_requested_at_;
  std::uint64_t scale_out_count_ = 0;
  double leader_since_;
  double listening_since_;  // the same, or since this process last stood still
  double advanced_at_;
  leadership::ReadFreshness freshness_;
  bool all_job_changes_applied_ = true;  // every change that the watch brought was taken in
  bool was_responding_ = true;           // as last logged
  double planned_at_ = -1e9;
  double scaled_at_ = -1e9;
  double liveness_checked_at_ = -1e9;
  double cancellations_checked_at_ = -1e9;
  double relist_requested_at_ = -1e9;
  bool failover_progress_logged_ = false;
  double half_heard_after_s_ = -1,
         percent_99_heard_after_s_ = -1;  // since taking over; not yet: -1
  bool hosts_listed_ = false;             // the machines have been listed under this leadership
  bool all_upgraded_ = false;
  bool needs_priority_update_ = true;
  bool needs_placement_ = true;
  bool needs_scaling_ = true;
  bool deposed_ = false;
};

}  // namespace reachramp::controller
