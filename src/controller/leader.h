// The leader's decisions: how each event changes its state, and what is to be done as a result.
//
// A Leader exists for one term: from when a node has won the election and read the stored state
// until it is deposed or steps down. It owns all state of the term. A single thread uses it. It
// reads no clock and does no I/O: the event loop passes in events and the current time, in seconds
// of the steady clock, and carries out the effects that `advance` returns.
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

// How the leader handles a worker's heartbeat.
enum class HeartbeatResult {
  accepted,  // the responder is called, now or later
  deposed,   // the worker has seen a higher fencing token, so another node is the leader
};

// The actions that the event loop carries out for the leader. `advance` returns them and starts
// again with none.
struct Effects {
  std::optional<TransactionBatch> transaction;
  std::vector<CloudRequest> cloud_requests;
  // A key to be read: its revision tells whether a transaction was applied.
  std::optional<std::string> verify_key;
  // Jobs whose records `end/<job>` are to be read.
  std::vector<std::string> read_job_ends;
  // Addresses of machines that are to learn this leader's fencing token.
  std::vector<std::string> probes;
  // Addresses of machines, each with the body to post to /orders.
  std::vector<std::pair<std::string, kv::Json>> urgent_stops;
  // If not empty, all members are polled for the cancellations that they have confirmed. Each
  // member has one window: how far back its answer has to reach.
  std::vector<double> cancellation_poll_windows_s;
  bool step_down = false;
  // List all jobs again, because a change that the watch reported could not be applied.
  bool relist_jobs = false;
  // Read the record of the drain rules.
  bool read_drains = false;
  // Read which schema levels the processes on all nodes support.
  bool read_claims = false;
  // Read the records that are obsolete at the schema level, by strong reads.
  bool read_obsolete_records = false;
};

// The stored state as read at the start of a term, by strong reads. None: the record does not
// exist.
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
  // When the list of jobs was requested (steady seconds); none: at the start of the term.
  std::optional<double> jobs_requested_at;
  // No node runs a version that can read only records which list their tasks one by one.
  bool all_upgraded = false;
  // When revisions were assigned, as far as this node has observed it.
  kv::RevisionClock revision_clock;
  // The record in which an earlier leader has stored its revision clock.
  std::optional<kv::Entry> stored_revision_clock;
};

// The state and the decisions of one term. The functions named on_... take in events; `advance`
// then acts on the new state.
class Leader {
 public:
  // `fencing_token` is the revision of the key `leader` as this node wrote it, `now` is in steady
  // seconds. Throws std::runtime_error if `supported_levels` does not cover the stored schema.
  Leader(const settings::Platform& platform, const settings::Policy& policy,
         std::uint64_t fencing_token, const LeaderSnapshot& snapshot, double now,
         const schema::SupportedLevels& supported_levels = {});

  // Sends the response to one heartbeat. Null: this leader must not respond to workers now
  // (leadership/read_freshness.h).
  using HeartbeatResponder = std::function<void(const wire::Json&)>;
  // Processes a worker's heartbeat. `responder` is called now, or when the starts that the response
  // should carry are stored. It is not called if the result is `deposed`, or if the term ends
  // first.
  HeartbeatResult on_heartbeat(const workers::Heartbeat& heartbeat, HeartbeatResponder responder,
                               double now);
  // Processes the status that a worker returned to a call by this node, outside its heartbeats.
  void on_direct_status(const workers::Heartbeat& heartbeat, double now);
  // Applies changes of job records that the watch reported, in order.
  void on_job_changes(const std::vector<kv::KeyChange>& changes, double now);
  // Applies the list of all jobs, read again after the watch had lost its position or a change
  // could not be applied.
  void on_job_list(const std::vector<kv::Entry>& entries, double now);
  // Processes the result of reading the end of a job that others depend on.
  void on_job_end_read(const std::string& id, const kv::ReadResult& found, double now);
  // Notes that no node runs a version any more that can read only records which list their tasks
  // one by one.
  void on_all_upgraded() { all_upgraded_ = true; }
  // Notes that all changes of jobs that were stored before `requested_at` have been passed in. They
  // count as known if all of them could be applied.
  void on_jobs_read_until(double requested_at);
  // Applies the cancellations that members have confirmed to users; each digest covers one member.
  void on_cancellation_digests(const std::vector<leadership::CancellationDigest>& digests,
                               double now);
  // Processes the claims of all nodes: starts a migration of the schema if one is possible.
  void on_claims(const std::vector<kv::Entry>& entries);
  // Processes all obsolete records that strong reads have found; the reads began after this leader
  // had requested them.
  void on_obsolete_records(const std::vector<kv::Entry>& entries, double now);
  // Takes over the drain rules from their record; none: there is no such record, and all drains
  // end.
  void on_drains(const std::optional<kv::Entry>& entry, double now);
  // The state of all drains.
  const drains::Drains& drains() const { return drains_; }
  // The schema level of the stored state, as this leader knows it.
  const schema::StoredSchema& stored_schema() const { return schema_; }
  // Processes the outcome of the transaction that was last sent.
  void on_transaction_completed(const kv::CommitResult& result, double now);
  // Processes the strong reads that verify a transaction: first the key that the transaction
  // writes, then the leader's key. While the latter has our fencing token, no other leader can have
  // written the former.
  void on_transaction_verified(const kv::ReadResult& found, const kv::ReadResult& leader,
                               double now);
  // Takes over the machine types, and stores them if anything but spot prices has changed.
  void on_catalog(const cloud::Catalog& catalog, double now);
  // Compares the cloud's list of machines, requested at `requested_at`, with the known machines.
  void on_host_list(const std::vector<cloud::ListedMachine>& listed, double requested_at,
                    double now);
  // Processes the cloud's final response to a request for machines.
  void on_scale_out_completed(const cloud::ScaleOutRequest& request,
                              const cloud::ScaleOutResult& result, double now);
  // The cloud has accepted the return of these machines.
  void on_scale_in_completed(const std::vector<std::string>& machines, double now);

  // Advances the state to `now`: places tasks, rents and returns machines, writes records, responds
  // to workers. To be called after each batch of events, and ten times per second without events.
  Effects advance(double now);
  // Whether another node is the leader. This one must then not act any more.
  bool deposed() const { return deposed_; }
  // The jobs, machines and task attempts that this leader knows.
  const Cluster& cluster() const { return cluster_; }

 private:
  // A heartbeat whose response waits until the starts that it should carry are stored.
  struct DeferredResponse {
    std::string host;
    HeartbeatResponder responder;
    double deferred_at = 0;
  };

  // The start of the term: these functions build the state from stored records
  // (leader_restore.cpp).
  void restore_schema(const LeaderSnapshot& snapshot);  // throws if the schema is not supported
  void restore_usage(const LeaderSnapshot& snapshot);
  void restore_drain_budgets(const LeaderSnapshot& snapshot, double now);
  void restore_revision_clock(const LeaderSnapshot& snapshot, double now);
  void restore_catalog(const LeaderSnapshot& snapshot);
  void restore_jobs(const LeaderSnapshot& snapshot, double now);
  void restore_scale_outs(const LeaderSnapshot& snapshot, double now);
  void restore_zones(const LeaderSnapshot& snapshot, double now);
  void detect_older_leader(const LeaderSnapshot& snapshot);

  // Steps of `advance`, in this order.
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
  // Requests the machine's return unless that has already been done.
  void scale_in(Index host, const char* why);
  void request_scale_in(placement::Host& host, const std::string& why);
  // Returns machines on which a task of a cancelled job might run for longer than cancel_s.
  void scale_in_for_cancellations(double now);
  // Detects that this process was suspended. It has then missed heartbeats, so silence counts from
  // now on only.
  void detect_own_pause(double now);
  // Whether this leader may respond to workers now. If not, calls the responder with null.
  bool check_may_respond(const HeartbeatResponder& responder, double now);
  // Responds with the commands for the host, or with none if the host is not known.
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
  // Logs ended jobs whose end has not been stored for long; until then other nodes tell users the
  // state before.
  void log_unstored_ends(double now);
  void store_usage(double now);
  void advance_drains(double now);
  void end_drains();
  void update_closed_pools();
  void advance_schema(double now);
  void write_schema(const schema::StoredSchema& to,
                    std::vector<std::pair<std::string, std::uint64_t>> preconditions);
  bool must_store_cancellations_first() const;
  void migrate_obsolete_record(const std::string& key, std::uint64_t revision, double now);
  // Returns whether the state now reflects the record. False: it could not be applied.
  bool apply_job_record(const std::string& key, const kv::Json& value, std::uint64_t revision,
                        placement::CancellationTime cancelled_at, double now);
  // When a job was cancelled, as bounds: for a change that is reported now, and for a record that
  // was there when this term began.
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
  // Why the current drain rules could not be applied, as last logged.
  std::string last_drain_error_;
  // Revision of the drain rules that are in force.
  std::uint64_t drains_revision_ = 0;
  // A rolling upgrade may be in progress; true until the claims show otherwise.
  bool rolling_upgrade_ = true;
  double drains_read_at_ = -1e9;
  double drains_advanced_at_ = -1e9;
  double drains_stored_at_ = -1e9;
  schema::SupportedLevels supported_levels_;
  schema::StoredSchema schema_;
  // Why a requested migration is not carried out, as last logged.
  std::string last_migration_refusal_;
  // Task range records whose removal the migration has queued.
  std::set<std::string> migrated_task_ranges_;
  double claims_read_at_ = -1e9;
  double obsolete_records_read_at_ = -1e9;
  shares::UsageAccounts usage_;
  // Jobs accepted up to this revision are contained in the restored accounts.
  std::uint64_t usage_restored_to_revision_ = 0;
  bool usage_unreadable_ = false;
  double usage_updated_at_ = -1e9;
  std::optional<double> unstored_ends_since_;  // none: the end of every ended job is stored
  std::optional<double> unstored_ends_logged_at_;
  double next_usage_log_at_;
  double usage_stored_at_;
  kv::RevisionClock revision_clock_;
  double revision_clock_stored_at_;
  Effects effects_;
  PendingTransaction transaction_;
  int consecutive_conflicts_ = 0;
  // The most writes in one transaction.
  int max_writes_;
  std::map<std::string, double> job_ends_read_at_;
  std::vector<DeferredResponse> deferred_responses_;  // in order of `deferred_at`
  // Something has changed that may allow deferred responses to be sent.
  bool recheck_deferred_responses_ = false;
  // Jobs that others depend on and of which nothing is known.
  std::vector<std::string> unknown_dependencies_;
  // Machines that were returned, have failed or are no longer listed, with the time at which the
  // leader removed them.
  std::map<std::string, double> returned_hosts_;
  // Jobs whose end was stored in this term, with the revision of the end. The watch may still
  // report older versions of their headers.
  std::map<std::string, std::uint64_t> recently_ended_jobs_;
  std::uint64_t watched_revision_ = 0;  // newest revision that the watch has reported
  // Requests to rent machines that wait until their pool record is stored, each with the record's
  // key; and when each request that has no response yet was made, by request name.
  std::vector<std::pair<std::string, cloud::ScaleOutRequest>> scale_outs_awaiting_record_;
  std::map<std::string, double> scale_out_requested_at_;
  std::uint64_t scale_out_count_ = 0;
  double leader_since_;
  // The end of this process's last suspension, as detected; before any, `leader_since_`. Heartbeats
  // that were sent before then may have been missed.
  double listening_since_;
  double advanced_at_;
  leadership::ReadFreshness freshness_;
  bool all_job_changes_applied_ = true;  // every reported change has been applied
  bool was_responding_ = true;           // as last logged
  double planned_at_ = -1e9;
  double scaled_at_ = -1e9;
  double liveness_checked_at_ = -1e9;
  double cancellations_checked_at_ = -1e9;
  double relist_requested_at_ = -1e9;
  bool failover_progress_logged_ = false;
  // Seconds from the start of the term until half, and 99 of 100, of the running machines had been
  // heard from; -1: not yet.
  double half_heard_after_s_ = -1, percent_99_heard_after_s_ = -1;
  // The cloud has listed the machines in this term.
  bool hosts_listed_ = false;
  bool all_upgraded_ = false;
  bool needs_priority_update_ = true;
  bool needs_placement_ = true;
  bool needs_scaling_ = true;
  bool deposed_ = false;
};

}  // namespace reachramp::controller
