// The rules about where tasks may be, from what the machines themselves hold. PROTOCOL, "Rules".
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/field.h"

namespace reachramp::lab {

class PlacementChecker {
 public:
  struct MachineInfo {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
  };

  explicit PlacementChecker(std::vector<settings::Team> teams) : teams_(std::move(teams)) {}

  // What is on the machine now.
  void update_machine(const MachineInfo& place,
                      const std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>>& holds,
                      const SharedTaskState& field, double now);
  void remove_machine(const std::string& machine);
  // How many of the job's tasks are on machines.
  std::size_t held_task_count(const std::string& job) const;
  struct Violation {
    std::string text;                // "ran_twice j-1/3 on n-2, also on n-1, at 12.5"
    std::set<std::string> machines;  // that hold the task
    double at = 0;
  };
  // In the order in which rules were broken.
  const std::vector<Violation>& violations() const { return violations_; }
  std::vector<std::string> violation_texts() const;

 private:
  void check_start(const MachineInfo& place, const SharedTaskState::TaskId& task,
                   const SharedTaskState& field, double now);
  void check_team_limits(const SharedTaskState& field, double now);
  void add_violation(const std::string& rule, const SharedTaskState::TaskId& task,
                     const std::string& how, std::set<std::string> machines, double now);

  std::vector<settings::Team> teams_;
  std::map<std::string, MachineInfo> machines_;
  std::map<std::string, std::set<SharedTaskState::TaskId>> tasks_on_machine_;  // by machine
  std::map<SharedTaskState::TaskId, std::set<std::string>> machines_of_task_;
  std::vector<Violation> violations_;
};

}  // namespace reachramp::lab
