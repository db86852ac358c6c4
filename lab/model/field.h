// What workers share: descriptions of jobs, results, checkpoints, and gangs, whose tasks find each
// other by their attempt number. PROTOCOL, "Gangs" and the task states, is its specification.
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/spec.h"
#include "settings/settings.h"

namespace reachramp::lab {

inline constexpr double kInfinity_s = std::numeric_limits<double>::infinity();

class SharedTaskState {
 public:
  // A job as its user has uploaded it; `run_s`: how long a task really runs at speed 1.
  struct Job {
    jobs::Spec spec;
    double run_time_s = 0;
    bool fails = false;  // submitted with a mistake: fails on every machine
  };
  struct TaskId {
    std::string job;
    std::uint32_t task = 0;
    // clang-tidy 14 takes the comparison with 0 that is generated for one with a null pointer.
    auto operator<=>(const TaskId&) const = default;  // NOLINT(modernize-use-nullptr)
  };
  // What becomes of a gang's task next.
  enum class GangTaskState { waiting, running, done, stopped_and_saved, peers_lost, incomplete };

  explicit SharedTaskState(const settings::WorkerTimings& rules) : timings_(rules) {}

  void upload(const Job& job);
  const Job* find_job(const std::string& job) const;

  bool is_done(const TaskId& task) const { return done_tasks_.contains(task); }
  void mark_done(const TaskId& task) { done_tasks_.insert(task); }
  std::size_t done_count(const std::string& job) const;
  // Progress that is safe, in seconds of run time.
  double saved_progress_s(const TaskId& task) const;
  void save_progress(const TaskId& task, double progress);

  // ---- gangs: all by job, attempt and task
  // The task has its image, on a machine of this speed.
  void join_gang(const TaskId& task, std::uint64_t attempt, double speed, double now);
  // It was told to stop: with time enough to save, or at once.
  void stop_gang_task(const TaskId& task, std::uint64_t attempt, bool saves, double now);
  // It is gone without a word: its machine died, hangs, or lost its lease.
  void lose_gang_task(const TaskId& task, std::uint64_t attempt, double now);
  GangTaskState gang_task_state(const TaskId& task, std::uint64_t attempt, double now);
  // Whether the fate `halted` came with the progress kept.
  bool is_progress_saved(const TaskId& task, std::uint64_t attempt) const;
  // By when a gang's fate may have changed by itself.
  double next_gang_change_at(const TaskId& task, std::uint64_t attempt) const;

 private:
  struct GangMember {
    double speed = 1;
    double waiting_since = 0;
    double stop_ordered_at = kInfinity_s;  // to stop, in an orderly way
    bool present = true;
  };
  struct Gang {
    std::map<std::uint32_t, GangMember> members;
    double started_at = kInfinity_s;
    double initial_progress_s = 0;        // when it started
    double speed = 1;                     // of its slowest machine
    double first_stop_at = kInfinity_s;   // progress ends: the first stop
    double member_lost_at = kInfinity_s;  // a member is gone
    bool progress_saved = false;
  };
  using GangId = std::pair<std::string, std::uint64_t>;

  double gang_progress_at(const Gang& gang, double now) const;
  double gang_done_at(const Gang& gang, const Job& job) const;
  // All members told in time, and when the last of them has saved.
  double all_saved_at(const Gang& gang, const Job& job) const;
  void record_lost_member(Gang& gang, const std::string& job, double now);
  // What time alone has brought about.
  void apply_elapsed_time(Gang& gang, const std::string& id, double now);
  const Gang* find_gang(const TaskId& task, std::uint64_t attempt) const;

  settings::WorkerTimings timings_;
  std::map<std::string, Job> jobs_;
  std::set<TaskId> done_tasks_;
  std::map<TaskId, double> saved_progress_s_;
  std::map<GangId, Gang> gangs_;
};

}  // namespace reachramp::lab
