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

inline constexpr double kForever = std::numeric_limits<double>::infinity();

class Field {
 public:
  // A job as its user has uploaded it; `run_s`: how long a task really runs at speed 1.
  struct Job {
    jobs::Spec spec;
    double run_s = 0;
    bool fails = false;  // submitted with a mistake: fails on every machine
  };
  struct TaskId {
    std::string job;
    std::uint32_t task = 0;
    // clang-tidy 14 takes the comparison with 0 that is generated for one with a null pointer.
    auto operator<=>(const TaskId&) const = default;  // NOLINT(modernize-use-nullptr)
  };
  // What becomes of a gang's task next.
  enum class Fate { wait, run, done, halted, mates_gone, incomplete };

  explicit Field(const settings::WorkerTimings& rules) : rules_(rules) {}

  void upload(const Job& job);
  const Job* find(const std::string& job) const;

  bool done(const TaskId& task) const { return done_.contains(task); }
  void finish(const TaskId& task) { done_.insert(task); }
  std::size_t done_of(const std::string& job) const;
  // Progress that is safe, in seconds of run time.
  double saved(const TaskId& task) const;
  void save(const TaskId& task, double progress);

  // ---- gangs: all by job, attempt and task
  // The task has its image, on a machine of this speed.
  void join(const TaskId& task, std::uint64_t attempt, double speed, double now);
  // It was told to stop: with time enough to save, or at once.
  void stop(const TaskId& task, std::uint64_t attempt, bool saves, double now);
  // It is gone without a word: its machine died, hangs, or lost its lease.
  void vanish(const TaskId& task, std::uint64_t attempt, double now);
  Fate fate(const TaskId& task, std::uint64_t attempt, double now);
  // Whether the fate `halted` came with the progress kept.
  bool kept(const TaskId& task, std::uint64_t attempt) const;
  // By when a gang's fate may have changed by itself.
  double due(const TaskId& task, std::uint64_t attempt) const;

 private:
  struct Member {
    double speed = 1;
    double joined_at = 0;
    double told_at = kForever;  // to stop, in an orderly way
    bool present = true;
  };
  struct Gang {
    std::map<std::uint32_t, Member> members;
    double started_at = kForever;
    double progress = 0;           // when it started
    double speed = 1;              // of its slowest machine
    double stopped_at = kForever;  // progress ends: the first stop
    double broken_at = kForever;   // a member is gone
    bool kept = false;
  };
  using GangId = std::pair<std::string, std::uint64_t>;

  double progress(const Gang& gang, double now) const;
  double done_at(const Gang& gang, const Job& job) const;
  // All members told in time, and when the last of them has saved.
  double saved_at(const Gang& gang, const Job& job) const;
  void break_up(Gang& gang, const std::string& job, double now);
  // What time alone has brought about.
  void settle(Gang& gang, const std::string& id, double now);
  const Gang* gang(const TaskId& task, std::uint64_t attempt) const;

  settings::WorkerTimings rules_;
  std::map<std::string, Job> jobs_;
  std::set<TaskId> done_;
  std::map<TaskId, double> saved_;
  std::map<GangId, Gang> gangs_;
};

}  // namespace reachramp::lab
