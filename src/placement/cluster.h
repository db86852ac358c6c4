// The leader's in-memory model of the cluster: jobs, machines, and the attempts that may be
// running. A single thread owns the model. Times are seconds of the leader's steady clock; callers
// pass the current time in.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cloud/client.h"
#include "jobs/spec.h"
#include "placement/resources.h"
#include "settings/settings.h"

namespace reachramp::placement {

// The state of an attempt as its worker's last heartbeat reported it; `unobserved` until the first
// heartbeat that lists the attempt.
enum class ObservedState { unobserved, fetching, waiting, running, saving };

// One attempt to run one task. From its placement until it is proven to have ended, an attempt
// counts against team limits, zone rules and machine resources, and no other attempt of the same
// task may exist.
struct Attempt {
  std::uint64_t number = 0;
  Index host = kNone;
  ObservedState observed_state = ObservedState::unobserved;
  // Placed by an earlier leader, whose start command may still be in transit. Only a heartbeat that
  // carries this leader's fencing token can prove that the command never arrived.
  bool from_previous_leader = false;
  bool reconciled = false;  // found running on a worker although nobody had placed it
  bool persisted = false;   // its placement is in the key-value store, so it may be started
  bool start_sent = false;
  std::uint64_t start_sent_sequence_number = 0;  // heartbeat whose response carried the start
  bool stopping = false;
  bool voluntary = false;  // stopped to make room for other work or to empty its machine
  double grace_period_s = 0;
  // When the attempt was placed; for an attempt of an earlier leader, the latest possible time.
  double placed_at = 0;
  double running_since = -1;  // negative until a heartbeat reports it as running
};

// The interruption of a task: an attempt ran and ended before the task was done, and the next
// attempt does not run yet.
struct Interruption {
  double since = 0;
  bool voluntary = false;
};

// A range of a job's tasks that share one record in the key-value store. The range is dirty while
// `version` differs from `stored_version`.
struct TaskRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;
  std::uint64_t revision = 0;        // of the stored record; 0: there is none under its key
  std::uint32_t version = 0;         // incremented with each change
  std::uint32_t stored_version = 0;  // the version that was stored last
  double dirty_since = 0;
  std::uint32_t unpersisted_attempts = 0;  // attempts that may start once the record is stored
  std::size_t placement_bytes = 0;         // upper bound of what the placements add to the record
};

// A stored task record whose range is not one of the job's current task ranges. The record is
// deleted once newer records cover its tasks, at the latest with the job.
struct ObsoleteRecord {
  std::string key;
  std::uint64_t revision = 0;
};

// The known state of a job that another job depends on. `done` and `cancelled` are set only after
// the store holds them.
enum class DependencyState { unknown, live, done, cancelled };

// A job that must be done before the tasks of the dependent job may start.
struct Dependency {
  std::string id;
  DependencyState state = DependencyState::unknown;
};

// Bounds of the time at which a user was first told that a job is cancelled, on the leader's steady
// clock: between `earliest` (minus infinity if the leader cannot bound it) and `latest`.
struct CancellationTime {
  double earliest = -std::numeric_limits<double>::infinity();
  double latest = 0;
};

// An accepted job that has not been moved to its final state yet, with its tasks and attempts.
struct Job {
  jobs::Spec spec;
  Index team = kNone;
  Index zone = kNone;  // kNone: any
  Resources resources_per_task;
  std::uint64_t revision = 0;           // of the job's header in the store
  std::uint64_t accepted_revision = 0;  // of the header as first stored; orders jobs by age
  bool cancelled = false;
  CancellationTime cancelled_at;
  // Another controller reported the cancellation, but the leader has not read the new header yet.
  // Until then no transaction with the known header revision as a precondition can succeed.
  bool cancel_unconfirmed = false;
  std::vector<bool> done;  // by task
  std::uint32_t done_count = 0;
  std::map<std::uint32_t, Attempt> attempts;            // by task
  std::map<std::uint32_t, Interruption> interruptions;  // by task; only of this leader's term
  // For a gang, the number of its newest attempt. For other shapes, the highest attempt number that
  // ended before its task was done. New attempts get higher numbers, so no task reuses a number.
  std::uint64_t last_attempt = 0;
  std::size_t tasks_per_range = 1;
  std::uint32_t first_pending_hint = 0;  // no task with a lower number is pending
  std::vector<TaskRange> task_ranges;
  std::vector<ObsoleteRecord> obsolete_records;
  double accepted_at = 0;  // estimated from the revision of its header
  std::vector<Dependency> dependencies;
  double unblocked_at = 0;  // when the last dependency was done; without any, `accepted_at`
  // The latest time at which an attempt that has ended may still have been running; initially the
  // time at which this leader loaded the job.
  double attempts_ended_by = 0;
  // While the job is blocked, the expected value of `unblocked_at`; kNever if there is no estimate.
  double expected_unblocked_at = 0;
  // The highest priority among the job itself and all jobs that depend on it.
  jobs::Priority priority = jobs::Priority::normal;
  // Latest start times of the job's last task, ascending: one for each deadline and service-level
  // objective of the job, and one for each that it inherits from jobs that depend on it. The second
  // list holds only those that come from deadlines.
  std::vector<double> latest_starts;
  std::vector<double> deadline_latest_starts;
  // By machine type, whether one task fits on an empty machine; and the type with the fewest cores
  // among those (kNone if there is none).
  std::vector<bool> fits_type;
  Index smallest_fitting_type = kNone;
  // Task counts in the job's header, which are for display, as last written, and when.
  std::uint32_t reported_done = 0;
  std::uint32_t reported_running = 0;
  double reported_at = -1e9;
  bool gang_started = false;  // a task of the gang's current attempt has run
  // Machines on which the job failed, each with the time until which the job avoids it. The time is
  // finite, because a job that had failed once on every machine would otherwise never run again.
  std::map<Index, double> failed_on;
  std::uint32_t failures = 0;              // simultaneous failures on one machine count once
  std::uint32_t consecutive_backoffs = 0;  // each pause is twice as long as the one before
  double retry_not_before = 0;             // no task is placed earlier

  // The index in `task_ranges` of the range that contains the task.
  std::size_t range_index(std::uint32_t task) const { return task / tasks_per_range; }
  // The earliest of `latest_starts` that is not before `ready_at`; kNever if there is none.
  double next_latest_start(double ready_at) const;
  // Whether all tasks are done.
  bool is_complete() const { return done_count == spec.tasks; }
  // Whether a dependency is not known to be done.
  bool is_blocked() const {
    return std::any_of(dependencies.begin(), dependencies.end(), [](const Dependency& dependency) {
      return dependency.state != DependencyState::done;
    });
  }
  // Whether the job has failed on at least two machines that are not known to be faulty and no task
  // has succeeded. Such a job is retried one task at a time and reserves nothing.
  bool fails_everywhere() const { return done_count == 0 && failed_on.size() >= 2; }
  // Whether the job can be moved to its final state. A complete gang may still have attempts: all
  // its tasks end together, so the exit of one proves the end of the others.
  bool is_finished() const {
    return (attempts.empty() && (is_complete() || cancelled)) ||
           (is_complete() && spec.shape == jobs::Shape::gang);
  }
};

// The life cycle of a rented machine: `booting` until its worker's first heartbeat, `terminating`
// once its return has been requested.
enum class HostPhase { booting, up, terminating };

// Identifies a task by the index of its job.
struct TaskRef {
  Index job = kNone;
  std::uint32_t task = 0;
  bool operator<(const TaskRef& other) const {
    return job != other.job ? job < other.job : task < other.task;
  }
};

// Identifies an attempt that a worker lists in its heartbeat. `Host::exited_tasks` holds attempts
// that have exited and are still listed, `Host::orphaned_tasks` attempts that run on the machine
// but are not in the cluster model.
struct ExitedTask {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
};

// A rented machine and its worker.
struct Host {
  std::string name;
  std::string address;
  Index type = kNone;
  Index zone = kNone;
  bool spot = false;
  HostPhase phase = HostPhase::booting;
  bool draining = false;  // gets no new tasks: the cloud reclaims it or it is quarantined
  bool cordoned = false;  // set by drains/: gets no new tasks and is being emptied
  // Set by zones/ for a machine that sends no heartbeats: its zone is suspected to be lost, so the
  // machine gets no new tasks; or the zone is lost, so the autoscaler counts the machine as gone.
  bool zone_suspected = false;
  bool zone_lost = false;
  bool to_be_replaced = false;       // set by drains/: the autoscaler counts the machine as gone
  std::uint32_t reserved_tasks = 0;  // set by drains/: tasks that are to move to this machine
  // The machine is reserved for large tasks, but none needs it now, so small tasks may use it
  // instead of it being returned to the cloud.
  bool backfilled = false;
  bool was_backfilled = false;           // backfilled since it last had a task
  bool urgent_return_requested = false;  // the return request goes before all other cloud requests
  bool listed_as_running = false;        // by the cloud, even if no heartbeat has arrived
  double first_known_at = 0;             // when the leader learned of the machine
  double rented_at = 0;                  // when billing began; estimated
  double last_heartbeat_at = -1;         // negative until the first heartbeat
  // The worker's incarnation: 1 at first, incremented each time its lease expires; 0: unknown.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;  // of the newest heartbeat in the incarnation
  bool acknowledged_token = false;    // the worker has seen this leader's fencing token
  double reclaim_at = kNever;         // when the cloud takes the machine back
  Resources free;                     // what neither attempts nor reserved tasks take
  std::set<TaskRef> attempts;
  std::set<std::string> cached_images;
  std::vector<ExitedTask> exited_tasks;
  std::vector<ExitedTask> orphaned_tasks;
  double idle_since = 0;  // when the machine came up or the last attempt on it ended
  // Set by quarantine/: failures since the machine's last success, by job id, and whether they are
  // attributed to the machine.
  std::map<std::string, std::uint32_t> failures_by_job;
  bool quarantined = false;
  // When the first heartbeat of the worker's current incarnation arrived, and when the last
  // response was sent to this incarnation.
  double incarnation_started_at = 0;
  double last_response_at = -1e9;
  // How many signs in a row the heartbeats have shown that responses do not reach the worker.
  std::uint32_t ignored_responses = 0;
  // The newest heartbeat lacks a task whose start an earlier response carried.
  bool report_missed_start = false;
  // Since when the worker is considered unable to receive responses, because of
  // `ignored_responses`; negative: it is not.
  double unreachable_since = -1;
  // Known only from a heartbeat without this leader's fencing token. The heartbeat may be a delayed
  // copy from a machine that no longer exists.
  bool identity_unconfirmed = false;
};

// The unit of renting: machines of one type in one zone at spot or at ordinary price.
struct Pool {
  Index type = 0;
  Index zone = 0;
  bool spot = false;
  bool operator<(const Pool& other) const {
    return std::tie(type, zone, spot) < std::tie(other.type, other.zone, other.spot);
  }
  bool operator==(const Pool& other) const = default;
};

// Amounts of the resources for which teams have limits and guarantees.
struct Usage {
  double cpus = 0;
  double gpus = 0;
};

// Identifies a task range by the index of its job and its index in `Job::task_ranges`.
struct TaskRangeRef {
  Index job = kNone;
  std::size_t range = 0;
  bool operator<(const TaskRangeRef& other) const {
    return job != other.job ? job < other.job : range < other.range;
  }
};

// A task record as read from the key-value store.
struct StoredRecord {
  std::string store_key;
  jobs::TaskRangeKey parsed_key;
  std::uint64_t revision = 0;
  jobs::TaskRangeRecord record;
  double stored_at = 0;  // the latest time at which it may have been stored
};

// The cluster model. Placement, scaling and heartbeat handling read and change it; methods that
// change a task also mark the task's range dirty so that its record is stored again.
class Cluster {
 public:
  Cluster(const settings::Platform& platform, std::uint64_t fencing_token,
          jobs::TaskRecordFormat format);

  const settings::Platform& platform;
  const std::uint64_t fencing_token;
  cloud::Catalog catalog;
  NameTable types;
  NameTable zones;
  std::vector<Usage> usage_by_team;          // by team index; includes all attempts
  std::vector<std::unique_ptr<Job>> jobs;    // null: the index is free
  std::vector<std::unique_ptr<Host>> hosts;  // null: the index is free
  std::unordered_map<std::string, Index> job_index;
  std::unordered_map<std::string, Index> host_index;
  std::unordered_map<std::string, std::set<Index>> dependents;  // jobs by id of a dependency
  std::set<TaskRangeRef> dirty_task_ranges;
  std::set<Index> finished_jobs;             // jobs to be moved to their final state
  std::set<Index> jobs_with_changed_counts;  // jobs whose displayed task counts may have changed
  // Machine types (with true: at spot price) that large tasks have needed recently, and until when
  // they are reserved. A task is large if it takes more than half of the smallest type it fits on.
  std::map<std::pair<Index, bool>, double> large_task_reservations;

  // Replaces the catalog and recomputes which types the jobs fit on.
  void set_catalog(const cloud::Catalog& new_catalog);
  // The catalog entry of the type, or null if the catalog does not list it.
  const cloud::MachineType* machine_type(Index type) const {
    return type < machine_types_.size() ? machine_types_[type] : nullptr;
  }
  // The catalog entry of the machine's type, or null if the catalog does not list the type.
  const cloud::MachineType* type_of(const Host& host) const { return machine_type(host.type); }

  // The format in which task records are written.
  jobs::TaskRecordFormat format() const { return format_; }
  // Writes task records in the compact format from now on, with the task ranges of that format. A
  // stored legacy record stays valid; it is replaced when one of its tasks changes.
  void switch_to_compact_records(double now);
  // The number of tasks per task range. The records of gangs and services must have room for the
  // placements of all their tasks however long the machine names are. A task of an array can wait
  // until its record has room, so its records hold more tasks.
  std::size_t tasks_per_range(jobs::Shape shape) const;
  double max_value_kb() const { return limits_.value_kb; }
  // The store key of the job's task range with this index, in the current format.
  std::string task_range_key(const Job& job, std::size_t range) const;
  // Encodes a task record in the current format.
  jobs::Json encode_task_range(const jobs::TaskRangeRecord& record) const;
  // Whether the task's record stays within the store's value limit with this placement added.
  bool record_has_room(Index job, std::uint32_t task, std::uint64_t attempt, Index host) const;
  // Notes that the store holds the attempt's placement: the task may start.
  void mark_persisted(Job& job, std::uint32_t task);
  // Adds a job that was read or accepted at `seen_at`. `cancelled_at` applies only if the header is
  // cancelled.
  Index add_job(const jobs::Header& header, std::uint64_t revision, double seen_at,
                CancellationTime cancelled_at = {});
  // Removes the job with all its attempts and frees its index.
  void remove_job(Index index);
  Job* find_job(const std::string& id);  // null if there is none
  // Returns the index of the machine and adds the machine if it is unknown.
  Index add_host(const std::string& name, double now);
  // Sets the type, zone and price of a machine of which only the name was known, for example from
  // an earlier leader's task record. No effect if they are known.
  void set_host_type(Index index, const std::string& type, const std::string& zone, bool spot);
  // Removes a machine that certainly no longer exists and ends the attempts on it.
  void remove_host(Index index, double now);
  Host* find_host(const std::string& name);  // null if there is none

  // Adds an attempt of the task on the machine.
  void place(Index job, std::uint32_t task, std::uint64_t attempt, Index host, double now);
  // Loads the task state that earlier leaders stored. `records` holds all task records of the job;
  // their task ranges may overlap and may differ from the job's current ones.
  void restore(Index job, std::vector<StoredRecord> records, double now);
  // The latest time at which tasks may still run on a machine that sends no further heartbeat: a
  // worker that gets no response stops its tasks when its lease ends.
  double tasks_may_run_until(const Host& host) const;
  // Removes an attempt that is proven to have ended.
  void end_attempt(Index job, std::uint32_t task, double now);
  // Marks the task as done and its attempt, if there is one, as stopping.
  void mark_done(Index job, std::uint32_t task, double now);
  // Marks the job as cancelled and all its attempts as stopping, without a grace period.
  void cancel_job(Index job, CancellationTime at);
  // Marks the task's attempt as stopping. If it already is, the first grace period stays.
  void request_stop(Index job, std::uint32_t task, double grace_period_s, bool voluntary = false);
  // Notes that the task's attempt has been running since the given time.
  void mark_running(Job& job, std::uint32_t task, double since);
  // Reserves the machine types that large tasks need and drops expired reservations. Ends the
  // backfilling of machines that a waiting large task can use.
  void update_large_task_reservations(double now);
  // Whether the type, or the machine, is reserved for larger tasks than those of the job.
  bool is_reserved_for_larger_tasks(const Job& job, Index type, bool spot) const;
  bool is_reserved_for_larger_tasks(const Job& job, const Host& host) const {
    return !host.backfilled && is_reserved_for_larger_tasks(job, host.type, host.spot);
  }
  // Notes that the record of the range that contains the task must be stored again.
  void mark_range_dirty(Index job, std::uint32_t task, double now);
  // Whether the stored record of the range that contains the task is up to date.
  bool range_is_stored(const Job& job, std::uint32_t task) const;
  // The record of the task range as it is to be stored.
  jobs::TaskRangeRecord make_range_record(const Job& job, std::size_t range) const;
  // Whether the job's team stays within its limit if it runs `tasks` more tasks of the job and
  // `reserved` of the limit stays unused.
  bool within_team_limit(const Job& job, double tasks, const Usage& reserved = {}) const;
  // The first task from `from` on that is neither done nor has an attempt; `spec.tasks` if none.
  std::uint32_t next_pending_task(Job& job, std::uint32_t from) const;
  // Ends the job's stopping attempts whose start was never sent to a worker.
  void end_unsent_attempts(Index job, double now);
  // Marks each task range of the job as dirty whose stored record is not newer than the revision.
  // Returns true if there are none.
  bool rewrite_older_records(Index job, std::uint64_t revision, double now);
  // Ends the attempts of the task range whose placement is not in the store and whose start was not
  // sent.
  void end_unstored_attempts(Index job, std::size_t range, double now);
  // Sets the job's latest start times. `inherited` holds those of jobs that depend on it.
  void compute_latest_starts(Job& job, const std::vector<double>& inherited) const;

 private:
  // Adds one task of the job to its team's usage (sign 1), or subtracts it (sign -1).
  void adjust_team_usage(const Job& job, double sign);
  void split_into_ranges(Job& job) const;
  void recompute_placement_bytes(Index job);
  // Shortens the common prefix of all machine names to what the new name shares with it.
  void update_name_prefix(const std::string& name);
  // Adds the job to `finished_jobs` or removes it.
  void update_finished(Index job);
  void update_fitting_types(Job& job) const;
  // Whether one task of the job takes more than half of a machine of the type.
  bool takes_over_half(const Job& job, Index type) const;

  // An upper bound of the bytes that placing the task on the machine adds to the record of its task
  // range, given the record's other placements on the same machine.
  std::size_t added_record_bytes(Index job, std::uint32_t task, std::uint64_t attempt,
                                 const Host& host) const;
  // Whether the range's record with `extra_bytes` more stays within the store's value limit.
  bool record_fits(const Job& job, std::size_t range, std::size_t extra_bytes) const;
  double max_record_bytes() const { return max_value_kb() * 1024 - kRecordMargin_bytes; }

  static constexpr double kRecordMargin_bytes = 200;  // kept free below the store's value limit
  jobs::TaskRecordFormat format_;
  settings::StoreLimits limits_;
  std::string name_prefix_;                               // common prefix of all machine names
  std::vector<const cloud::MachineType*> machine_types_;  // by type; null: not in the catalog
  std::vector<Index> free_job_indices_;
  std::set<Index> free_host_indices_;
};

}  // namespace reachramp::placement
