// The rules about where tasks may be, from what the machines themselves hold. PROTOCOL, "Rules".
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/field.h"

namespace reachramp::lab {

class PlacingRules {
 public:
  struct Place {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
  };

  explicit PlacingRules(std::vector<settings::Team> teams) : teams_(std::move(teams)) {}

  // What is on the machine now.
  void see(const Place& place, const std::vector<std::pair<Field::TaskId, std::uint64_t>>& holds,
           const Field& field, double now);
  void gone(const std::string& machine);
  // How many of the job's tasks are on machines.
  std::size_t tasks_of(const std::string& job) const;
  struct Violation {
    std::string text;                // "ran_twice j-1/3 on n-2, also on n-1, at 12.5"
    std::set<std::string> machines;  // that hold the task
    double at = 0;
  };
  // In the order in which rules were broken.
  const std::vector<Violation>& violations() const { return violations_; }
  std::vector<std::string> broken() const;

 private:
  void started(const Place& place, const Field::TaskId& task, const Field& field, double now);
  void check_limits(const Field& field, double now);
  void note(const std::string& rule, const Field::TaskId& task, const std::string& how,
            std::set<std::string> machines, double now);

  std::vector<settings::Team> teams_;
  std::map<std::string, Place> places_;
  std::map<std::string, std::set<Field::TaskId>> on_;  // by machine
  std::map<Field::TaskId, std::set<std::string>> machines_of_;
  std::vector<Violation> violations_;
};

}  // namespace reachramp::lab
