#include "checker/placement_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace reachramp::lab {

void PlacementChecker::add_violation(const std::string& rule, const SharedTaskState::TaskId& task,
                                     const std::string& details, std::set<std::string> machines,
                                     double now) {
  const std::string text =
      fmt::format("{} {}/{} {}, at {:.1f}", rule, task.job, task.task, details, now);
  violations_.push_back({text, std::move(machines), now});
}

std::vector<std::string> PlacementChecker::violation_texts() const {
  std::vector<std::string> texts;
  for (const Violation& violation : violations_) texts.push_back(violation.text);
  return texts;
}

void PlacementChecker::update_machine(
    const MachineInfo& machine,
    const std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>>& held_tasks,
    const SharedTaskState& shared_state, double now) {
  machines_[machine.name] = machine;
  std::set<SharedTaskState::TaskId> present;
  for (const auto& [task, attempt] : held_tasks) present.insert(task);
  std::set<SharedTaskState::TaskId>& before = tasks_on_machine_[machine.name];
  for (const SharedTaskState::TaskId& task : before) {
    if (!present.contains(task)) machines_of_task_[task].erase(machine.name);
  }
  bool has_new_tasks = false;
  for (const SharedTaskState::TaskId& task : present) {
    if (before.contains(task)) continue;
    has_new_tasks = true;
    check_start(machine, task, shared_state, now);
    machines_of_task_[task].insert(machine.name);
  }
  before = std::move(present);
  if (has_new_tasks) check_team_limits(shared_state, now);
}

void PlacementChecker::remove_machine(const std::string& machine) {
  for (const SharedTaskState::TaskId& task : tasks_on_machine_[machine])
    machines_of_task_[task].erase(machine);
  tasks_on_machine_.erase(machine);
  machines_.erase(machine);
}

void PlacementChecker::check_start(const MachineInfo& machine, const SharedTaskState::TaskId& task,
                                   const SharedTaskState& shared_state, double now) {
  const jobs::Spec& spec = shared_state.find_job(task.job)->spec;
  for (const std::string& other : machines_of_task_[task]) {
    add_violation("ran_twice", task, "on " + machine.name + ", also on " + other,
                  {machine.name, other}, now);
  }
  const bool type_allowed = !spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                     machine.type) != spec.types->end();
  if (!type_allowed || (spec.zone && *spec.zone != machine.zone) ||
      (machine.spot && !spec.allow_spot)) {
    add_violation("wrong_place", task,
                  "on " + machine.name + ", a " + machine.type + " in " + machine.zone,
                  {machine.name}, now);
  }
  std::uint32_t in_zone = 1;
  for (auto at = machines_of_task_.lower_bound({task.job, 0});
       at != machines_of_task_.end() && at->first.job == task.job; ++at) {
    for (const std::string& other : at->second) {
      const std::string& zone = machines_.at(other).zone;
      if (spec.single_zone && zone != machine.zone) {
        add_violation("wrong_place", task, "in " + machine.zone + " beside tasks in " + zone,
                      {machine.name, other}, now);
      }
      in_zone += zone == machine.zone ? 1 : 0;
    }
  }
  if (spec.spread_over_zones && in_zone > (spec.tasks + 1) / 2) {
    add_violation("wrong_place", task, "with more than half of its job in " + machine.zone,
                  {machine.name}, now);
  }
  for (const std::string& dependency : spec.depends_on) {
    const SharedTaskState::Job* needed = shared_state.find_job(dependency);
    if (needed == nullptr || shared_state.done_count(dependency) < needed->spec.tasks) {
      add_violation("too_early", task, "before " + dependency + " was done", {machine.name}, now);
    }
  }
}

std::size_t PlacementChecker::held_task_count(const std::string& job) const {
  const auto end = machines_of_task_.upper_bound({job, std::numeric_limits<std::uint32_t>::max()});
  return static_cast<std::size_t>(
      std::count_if(machines_of_task_.lower_bound({job, 0}), end,
                    [](const auto& entry) { return !entry.second.empty(); }));
}

void PlacementChecker::check_team_limits(const SharedTaskState& shared_state, double now) {
  struct Usage {
    double cpus = 0;
    double gpus = 0;
  };
  std::map<std::string, Usage> used;
  SharedTaskState::TaskId last;
  for (const auto& [machine, tasks] : tasks_on_machine_) {
    for (const SharedTaskState::TaskId& task : tasks) {
      const jobs::Spec& spec = shared_state.find_job(task.job)->spec;
      used[spec.team].cpus += spec.cpus;
      used[spec.team].gpus += spec.gpus;
      last = task;
    }
  }
  for (const settings::Team& team : teams_) {
    const Usage& usage = used[team.name];
    if ((team.max_cpus > 0 && usage.cpus > team.max_cpus + 1e-6) ||
        (team.max_gpus > 0 && usage.gpus > team.max_gpus + 1e-6)) {
      add_violation(
          "quota", last,
          fmt::format("and others of {}: {} cpus, {} gpus", team.name, usage.cpus, usage.gpus), {},
          now);
    }
  }
}

}  // namespace reachramp::lab
