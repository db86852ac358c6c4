// State that all emulated workers share: job descriptions, results, checkpoints, and the gangs
// whose members run on different workers and find each other by job and attempt number. Its
// specification is PROTOCOL, "Gangs" and the states of tasks.
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/spec.h"
#include "settings/settings.h"

namespace reachramp::lab {

// As a time: never. As a duration: without end.
inline constexpr double kInfinity_s = std::numeric_limits<double>::infinity();

// Records what each task has achieved and decides when the members of a gang start, end or fail
// together.
//
// Not safe to share between threads. `now` is in seconds of any clock, the same one in every call.
class SharedTaskState {
 public:
  // A job as its user uploads it for the workers.
  struct Job {
    jobs::Spec spec;
    double run_time_s = 0;  // how long each task runs on a machine of speed 1
    bool fails = false;     // a faulty job: its tasks fail on every machine
  };
  // A task, whatever attempt runs it.
  struct TaskId {
    std::string job;
    std::uint32_t task = 0;
    // clang-tidy 14 mistakes the generated comparison with 0 for one with a null pointer.
    auto operator<=>(const TaskId&) const = default;  // NOLINT(modernize-use-nullptr)
  };
  // State of a gang's task as seen from its worker. stopped_and_saved: the whole gang was stopped
  // and its progress is saved. peers_lost: another member was lost while the gang ran. incomplete:
  // the other members did not join in time.
  enum class GangTaskState { waiting, running, done, stopped_and_saved, peers_lost, incomplete };

  explicit SharedTaskState(const settings::WorkerTimings& timings) : timings_(timings) {}

  // Makes the job known to the workers; a second upload of the same job is ignored.
  void upload(const Job& job);
  // Null if the job was not uploaded.
  const Job* find_job(const std::string& job) const;

  // Whether a result of the task is stored.
  bool is_done(const TaskId& task) const { return done_tasks_.contains(task); }
  void mark_done(const TaskId& task) { done_tasks_.insert(task); }
  // The number of the job's tasks that are done.
  std::size_t done_count(const std::string& job) const;
  // Progress at the task's last checkpoint, in seconds of run time at speed 1.
  double saved_progress_s(const TaskId& task) const;
  // Stores a checkpoint, unless one with more progress exists.
  void save_progress(const TaskId& task, double progress_s);

  // ---- gangs, identified by job and attempt
  // Adds a task whose image is fetched, on a machine of this speed. The gang starts once all its
  // tasks have joined.
  void join_gang(const TaskId& task, std::uint64_t attempt, double speed, double now);
  // Records a stop order. `saves`: it leaves enough time for a checkpoint.
  void stop_gang_task(const TaskId& task, std::uint64_t attempt, bool saves, double now);
  // Records that the task ended unannounced: its machine crashed, hangs, or lost its lease.
  void lose_gang_task(const TaskId& task, std::uint64_t attempt, double now);
  // The task's state, after the time until `now` is accounted for.
  GangTaskState gang_task_state(const TaskId& task, std::uint64_t attempt, double now);
  // Whether the gang was stopped and its progress saved.
  bool is_progress_saved(const TaskId& task, std::uint64_t attempt) const;
  // The earliest time at which gang_task_state() may change by the passage of time alone.
  double next_gang_change_at(const TaskId& task, std::uint64_t attempt) const;

 private:
  struct GangMember {
    double speed = 1;
    double waiting_since = 0;
    double stop_ordered_at = kInfinity_s;  // when it was ordered to save and stop
    bool present = true;
  };
  struct Gang {
    std::map<std::uint32_t, GangMember> members;
    double started_at = kInfinity_s;
    double initial_progress_s = 0;        // at the start of this attempt, from the last checkpoint
    double speed = 1;                     // that of the slowest member's machine
    double first_stop_at = kInfinity_s;   // first stop order of a member; no progress after it
    double member_lost_at = kInfinity_s;  // when the first member was lost
    bool progress_saved = false;
  };
  using GangId = std::pair<std::string, std::uint64_t>;

  // Progress in seconds of run time at speed 1.
  double gang_progress_at(const Gang& gang, double now) const;
  // When the gang has run to its end; infinite if it stops or breaks before.
  double gang_done_at(const Gang& gang, const Job& job) const;
  // When the last member has written its checkpoint; infinite if a member is lost or was ordered
  // to stop too late after the first one.
  double all_saved_at(const Gang& gang, const Job& job) const;
  // Ends a running gang's attempt, whose progress falls back to the last checkpoint.
  void record_lost_member(Gang& gang, const std::string& job, double now);
  // Records a completion, a save, or a failed save that was due by `now`.
  void apply_elapsed_time(Gang& gang, const std::string& job_id, double now);
  // Null if no task of this attempt has joined.
  const Gang* find_gang(const TaskId& task, std::uint64_t attempt) const;

  settings::WorkerTimings timings_;
  std::map<std::string, Job> jobs_;
  std::set<TaskId> done_tasks_;
  std::map<TaskId, double> saved_progress_s_;
  std::map<GangId, Gang> gangs_;
};

}  // namespace reachramp::lab
