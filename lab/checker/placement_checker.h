// Checks the rules on where and when tasks may run (PROTOCOL, "Rules") against what the emulated
// machines hold, independently of what the controllers know.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/shared_task_state.h"

namespace reachramp::lab {

// Receives every change of the set of tasks on a machine and collects rule violations.
class PlacementChecker {
 public:
  // A machine as far as the rules depend on it.
  struct MachineInfo {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
  };

  // `teams`: the teams whose resource limits are checked.
  explicit PlacementChecker(std::vector<settings::Team> teams) : teams_(std::move(teams)) {}

  // Replaces the set of tasks on the machine and checks the rules for those that are new there.
  // `held_tasks`: the tasks with their attempt numbers.
  void update_machine(
      const MachineInfo& machine,
      const std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>>& held_tasks,
      const SharedTaskState& shared_state, double now);
  // The machine has disappeared with its tasks.
  void remove_machine(const std::string& machine);
  // How many of the job's tasks are on machines.
  std::size_t held_task_count(const std::string& job) const;
  // A rule that was broken.
  struct Violation {
    std::string text;                // "ran_twice j-1/3 on n-2, also on n-1, at 12.5"
    std::set<std::string> machines;  // those that hold the task; none for a team's limit
    double at = 0;
  };
  // All violations, in the order in which they were found.
  const std::vector<Violation>& violations() const { return violations_; }
  // Their texts only.
  std::vector<std::string> violation_texts() const;

 private:
  // Checks the rules for a task that appeared on the machine.
  void check_start(const MachineInfo& machine, const SharedTaskState::TaskId& task,
                   const SharedTaskState& shared_state, double now);
  // Checks the resources in use against each team's limit.
  void check_team_limits(const SharedTaskState& shared_state, double now);
  void add_violation(const std::string& rule, const SharedTaskState::TaskId& task,
                     const std::string& details, std::set<std::string> machines, double now);

  std::vector<settings::Team> teams_;
  std::map<std::string, MachineInfo> machines_;
  std::map<std::string, std::set<SharedTaskState::TaskId>> tasks_on_machine_;
  std::map<SharedTaskState::TaskId, std::set<std::string>> machines_of_task_;
  std::vector<Violation> violations_;
};

}  // namespace reachramp::lab
