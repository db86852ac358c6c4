// What the leader knows: jobs, machines, and which attempt may be where. Owned by one thread;
// every decision reads and changes it with the time passed in.
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

enum class ObservedState { unobserved, fetching, waiting, running, saving };

// One attempt at one task. From the moment it is intended until it is proven to be over it counts
// for everything: limits, zones, resources, and against any other attempt at the task.
struct Attempt {
  std::uint64_t number = 0;
  Index host = kNone;
  ObservedState observed_state = ObservedState::unobserved;
  // Placed by an earlier leader, whose order may still be on its way: only a report that carries
  // our fencing token can prove that it never arrived.
  bool from_previous_leader = false;
  bool reconciled = false;  // found running without having been placed
  bool persisted = false;
  bool start_sent = false;
  std::uint64_t start_sent_sequence_number = 0;  // the report whose answer carried the start
  bool stopping = false;
  bool voluntary = false;  // stopped for the sake of other work or of its machine
  double grace_period_s = 0;
  // When it was intended; of one that an earlier leader placed, at the latest.
  double placed_at = 0;
  double running_since = -1;
};

// A task that ran, and does not: it is not done, and its next attempt does not run yet.
struct Interruption {
  double since = 0;
  bool voluntary = false;
};

// One record of a job's tasks. It is dirty while `changed` is ahead of `stored`.
struct TaskRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;
  std::uint64_t revision = 0;  // 0: not stored under its key
  std::uint32_t version = 0;
  std::uint32_t stored_version = 0;
  double dirty_since = 0;
  std::uint32_t unpersisted_attempts = 0;  // attempts that may start once the record is stored
  std::size_t placement_bytes = 0;         // that its placements take
};

// A stored record that is not one of the job's chunks as they are cut now.
struct ObsoleteRecord {
  std::string key;
  std::uint64_t revision = 0;
};

// What is known of a job that another needs. Done and cancelled are durable when they stand here.
enum class DependencyState { unknown, live, done, cancelled };

struct Dependency {
  std::string id;
  DependencyState state = DependencyState::unknown;
};

// When a user was first told that a job is cancelled, by the leader's steady clock: not before
// `earliest` (minus infinity: how long ago cannot be said), and at `latest` at the latest, as far
// as this leader can tell.
struct CancellationTime {
  double earliest = -std::numeric_limits<double>::infinity();
  double latest = 0;
};

struct Job {
  jobs::Spec spec;
  Index team = kNone;
  Index zone = kNone;  // kNone: any
  Resources resources_per_task;
  std::uint64_t revision = 0;
  std::uint64_t accepted_revision = 0;
  bool cancelled = false;
  CancellationTime cancelled_at;
  // Cancelled by a member's word; its header is yet to be seen, and nothing conditional on the one
  // that is known can be stored.
  bool cancel_unconfirmed = false;
  std::vector<bool> done;
  std::uint32_t done_count = 0;
  std::map<std::uint32_t, Attempt> attempts;
  std::map<std::uint32_t, Interruption> interruptions;  // under this leader
  // Gangs: the newest attempt. Else the highest number that ended without its task being done, so
  // that no task gets a number twice.
  std::uint64_t last_attempt = 0;
  std::size_t tasks_per_range = 1;
  std::uint32_t first_pending_hint = 0;  // no task below is pending
  std::vector<TaskRange> task_ranges;
  std::vector<ObsoleteRecord> obsolete_records;
  double accepted_at = 0;  // when it was accepted, as well as its revision tells
  std::vector<Dependency> dependencies;
  double unblocked_at = 0;  // when it was accepted, or the last job that it needs was done
  // Until when an attempt that has ended may have run, as far as this leader knows; at first, when
  // it took the job up.
  double attempts_ended_by = 0;
  double expected_unblocked_at =
      0;  // while it waits: when that is expected; kNever: nothing is known
  // The highest of its own and of all that need it.
  jobs::Priority priority = jobs::Priority::normal;
  // By when its last task must have started for each of the things expected of the job, or of one
  // that needs it; ascending. Of these, those that come from deadlines.
  std::vector<double> latest_starts;
  std::vector<double> deadline_latest_starts;
  // What the catalog says of it, by type: whether one task fits, and the smallest type that holds
  // it.
  std::vector<bool> fits_type;
  Index smallest_fitting_type = kNone;
  // Display counts as last written.
  std::uint32_t reported_done = 0;
  std::uint32_t reported_running = 0;
  double reported_at = -1e9;
  bool gang_started = false;
  // Faults: machines on which it failed, each with the time until which they are avoided (not for
  // ever: where all have failed it once, it would never run again), and when to try next.
  std::map<Index, double> failed_on;
  std::uint32_t failures = 0;              // on a machine, those that come together counted once
  std::uint32_t consecutive_backoffs = 0;  // in a row, each twice as long as the one before
  double retry_not_before = 0;

  std::size_t range_index(std::uint32_t task) const { return task / tasks_per_range; }
  // The earliest of `start_by` that a machine ready at `time` can still meet; kNever: none.
  double next_latest_start(double ready_at) const;
  bool is_complete() const { return done_count == spec.tasks; }
  // Not all jobs that it needs are known to be done.
  bool is_blocked() const {
    return std::any_of(dependencies.begin(), dependencies.end(),
                       [](const Dependency& need) { return need.state != DependencyState::done; });
  }
  // It has failed on several machines, of which none is known to be faulty, and done well nowhere:
  // as far as can be told it fails everywhere. It is tried task by task, and holds up nobody.
  bool fails_everywhere() const { return done_count == 0 && failed_on.size() >= 2; }
  // A finished gang may still list tasks: they ended together with the one that said so.
  bool is_finished() const {
    return (attempts.empty() && (is_complete() || cancelled)) ||
           (is_complete() && spec.shape == jobs::Shape::gang);
  }
};

enum class HostPhase { booting, up, terminating };

struct TaskRef {
  Index job = kNone;
  std::uint32_t task = 0;
  bool operator<(const TaskRef& other) const {
    return job != other.job ? job < other.job : task < other.task;
  }
};

// A task that a worker still lists although it has exited.
struct ExitedTask {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
};

struct Host {
  std::string name;
  std::string address;
  Index type = kNone;
  Index zone = kNone;
  bool spot = false;
  HostPhase phase = HostPhase::booting;
  bool draining = false;
  // For the slice `drains`: takes nothing new and is being emptied; is to be replaced, and counts
  // as gone where machines are rented; has room kept for so many tasks that move.
  bool cordoned = false;
  // For the slice `zones`: silent in a zone that is doubtful or lost, takes nothing new; in a lost
  // one it counts as gone where machines are rented.
  bool zone_suspected = false;
  bool zone_lost = false;
  bool to_be_replaced = false;
  std::uint32_t reserved_tasks = 0;
  // Kept for large tasks, of which none needs it now: instead of going back it serves small ones.
  bool backfilled = false;
  bool was_backfilled = false;           // since it last had work
  bool urgent_return_requested = false;  // its return has been requested ahead of all other calls
  bool listed_as_running =
      false;                  // the cloud lists it as running, whether or not we have heard from it
  double first_known_at = 0;  // when it was certainly rented
  double rented_at = 0;       // when its charge began, as well as we know
  double last_heartbeat_at = -1;  // the last report
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  bool acknowledged_token = false;  // the worker has seen our fencing token
  double reclaim_at = kNever;
  Resources free;
  std::set<TaskRef> attempts;
  std::set<std::string> cached_images;
  std::vector<ExitedTask> exited_tasks;
  std::vector<ExitedTask> orphaned_tasks;  // run there without an attempt of ours
  double idle_since = 0;
  // For the slice `quarantine`: failures since its last success, by job; whether they are its own
  // fault.
  std::map<std::string, std::uint32_t> failures_by_job;
  bool quarantined = false;
  // Of its newest session: when we first heard of it, and when we last answered a report of it.
  double incarnation_started_at = 0;
  double last_response_at = -1e9;
  // Answers of ours in a row that its reports show no trace of, and since when it counts as one
  // that does not hear us.
  std::uint32_t ignored_responses = 0;
  bool report_missed_start =
      false;  // its newest report lacks a start that an answer before it carried
  double unreachable_since = -1;
  // Known from a report alone that does not carry our fencing token: perhaps an old copy, of a
  // machine that is gone.
  bool identity_unconfirmed = false;
};

struct Pool {
  Index type = 0;
  Index zone = 0;
  bool spot = false;
  bool operator<(const Pool& other) const {
    return std::tie(type, zone, spot) < std::tie(other.type, other.zone, other.spot);
  }
  bool operator==(const Pool& o) const = default;
};

struct Usage {
  double cpus = 0;
  double gpus = 0;
};

struct TaskRangeRef {
  Index job = kNone;
  std::size_t range = 0;
  bool operator<(const TaskRangeRef& other) const {
    return job != other.job ? job < other.job : range < other.range;
  }
};

// A task record as it was read.
struct StoredRecord {
  std::string store_key;
  jobs::TaskRangeKey parsed_key;
  std::uint64_t revision = 0;
  jobs::TaskRangeRecord record;
  double stored_at = 0;  // at the latest
};

class Cluster {
 public:
  Cluster(const settings::Platform& platform, std::uint64_t fencing_token,
          jobs::TaskRecordFormat format);

  const settings::Platform& platform;
  const std::uint64_t fencing_token;
  cloud::Catalog catalog;
  NameTable types;
  NameTable zones;
  std::vector<Usage> usage_by_team;  // by team
  std::vector<std::unique_ptr<Job>> jobs;
  std::vector<std::unique_ptr<Host>> hosts;
  std::unordered_map<std::string, Index> job_index;
  std::unordered_map<std::string, Index> host_index;
  std::unordered_map<std::string, std::set<Index>> dependents;  // live jobs, by what they need
  std::set<TaskRangeRef> dirty_task_ranges;
  std::set<Index> finished_jobs;             // jobs to be moved to their end
  std::set<Index> jobs_with_changed_counts;  // jobs whose counts for display may have changed
  // Types, spot or ordinary, that tasks too large for any smaller machine have lately asked for,
  // and until when they are kept for such tasks.
  std::map<std::pair<Index, bool>, double> large_task_reservations;

  void set_catalog(const cloud::Catalog& fresh);
  // The catalog's entry, or nothing for a type that it does not list.
  const cloud::MachineType* machine_type(Index type) const {
    return type < machine_types_.size() ? machine_types_[type] : nullptr;
  }
  const cloud::MachineType* type_of(const Host& host) const { return machine_type(host.type); }

  jobs::TaskRecordFormat format() const { return format_; }
  // From now on records are written in the compact form. What is stored stays valid: a record is
  // written anew, in its finer cut, when something in it changes.
  void switch_to_compact_records(double now);
  // Tasks that one record holds. A task of an array can wait until its record has room for its
  // placement; a gang or a service must fit whatever its machines are called.
  std::size_t tasks_per_range(jobs::Shape shape) const;
  double max_value_kb() const { return limits_.value_kb; }
  std::string task_range_key(const Job& job, std::size_t chunk) const;
  jobs::Json encode_task_range(const jobs::TaskRangeRecord& record) const;
  bool record_has_room(Index job, std::uint32_t task, std::uint64_t attempt, Index host) const;
  // What was intended is stored: the task may start.
  void mark_persisted(Job& job, std::uint32_t task);
  // `cancelled_at`: if the header says so.
  Index add_job(const jobs::Header& header, std::uint64_t revision, double seen_at,
                CancellationTime cancelled_at = {});
  void remove_job(Index index);
  Job* find_job(const std::string& id);
  Index add_host(const std::string& name, double now);
  // Learns what kind of machine it is; earlier leaders' records only name it.
  void set_host_type(Index index, const std::string& type, const std::string& zone, bool spot);
  // The machine and all on it are gone for certain.
  void remove_host(Index index, double now);
  Host* find_host(const std::string& name);

  void place(Index job, std::uint32_t task, std::uint64_t attempt, Index host, double now);
  // Loads what earlier leaders recorded of a job's tasks: all its records, in whatever cuts.
  void restore(Index job, std::vector<StoredRecord> records, double now);
  // Until when tasks may run on a machine that is not heard again: a worker that is not answered
  // ends them with its lease.
  double tasks_may_run_until(const Host& host) const;
  // The attempt is proven to be over.
  void end_attempt(Index job, std::uint32_t task, double now);
  void mark_done(Index job, std::uint32_t task, double now);
  void cancel_job(Index job, CancellationTime at);
  // Asks for the attempt's end; whoever stops first sets how long it may wind down.
  void request_stop(Index job, std::uint32_t task, double wind_down_s, bool voluntary = false);
  // The task's attempt runs.
  void mark_running(Job& job, std::uint32_t task, double since);
  // Notes the types that large tasks need, and forgets those that none has needed for long. What
  // was lent is theirs again as soon as one of them waits.
  void update_large_task_reservations(double now);
  // Whether the type is kept for larger tasks than the job's.
  bool is_reserved_for_larger_tasks(const Job& job, Index type, bool spot) const;
  bool is_reserved_for_larger_tasks(const Job& job, const Host& host) const {
    return !host.backfilled && is_reserved_for_larger_tasks(job, host.type, host.spot);
  }
  void mark_range_dirty(Index job, std::uint32_t task, double now);
  bool range_is_stored(const Job& job, std::uint32_t task) const;
  jobs::TaskRangeRecord make_range_record(const Job& job, std::size_t chunk) const;
  // Whether the team may use as much more, with `kept` of its limit left to others.
  bool within_team_limit(const Job& job, double tasks, const Usage& kept = {}) const;
  std::uint32_t next_pending_task(Job& job, std::uint32_t from) const;
  // Ends attempts that were never sent and need not be.
  void end_unsent_attempts(Index job, double now);
  // Has all of the job's records that are older than the revision written anew; true if none is.
  bool rewrite_older_records(Index job, std::uint64_t revision, double now);
  // Ends attempts of the chunk that no record holds yet.
  void end_unstored_attempts(Index job, std::size_t chunk, double now);
  // Works out by when the job must start; `inherited` comes from jobs that need it.
  void compute_latest_starts(Job& job, const std::vector<double>& inherited) const;

 private:
  void adjust_team_usage(const Job& job, double sign);
  void split_into_ranges(Job& job) const;
  void recompute_placement_bytes(Index job);
  void update_name_prefix(const std::string& name);
  void update_finished(Index job);
  void update_fitting_types(Job& job) const;
  // One task takes more than half of the machine.
  bool takes_over_half(const Job& job, Index type) const;

  // What a placement on the machine adds to its chunk's record beside the machine's other attempts.
  std::size_t added_record_bytes(Index job, std::uint32_t task, std::uint64_t attempt,
                                 const Host& host) const;
  bool record_fits(const Job& job, std::size_t chunk, std::size_t more) const;
  double max_record_bytes() const { return max_value_kb() * 1024 - kRecordMargin_bytes; }

  static constexpr double kRecordMargin_bytes = 200;
  jobs::TaskRecordFormat format_;
  settings::StoreLimits limits_;
  std::string name_prefix_;  // letters with which all machines' names begin
  std::vector<const cloud::MachineType*> machine_types_;  // by type
  std::vector<Index> free_job_indices_;
  std::set<Index> free_host_indices_;
};

}  // namespace reachramp::placement
