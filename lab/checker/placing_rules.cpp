#include "checker/placing_rules.h"

#include <fmt/format.h>

#include <algorithm>

namespace reachramp::lab {

void PlacingRules::note(const std::string& rule, const Field::TaskId& task, const std::string& how,
                        std::set<std::string> machines, double now) {
  const std::string text =
      fmt::format("{} {}/{} {}, at {:.1f}", rule, task.job, task.task, how, now);
  violations_.push_back({text, std::move(machines), now});
}

std::vector<std::string> PlacingRules::broken() const {
  std::vector<std::string> texts;
  for (const Violation& violation : violations_) texts.push_back(violation.text);
  return texts;
}

void PlacingRules::see(const Place& place,
                       const std::vector<std::pair<Field::TaskId, std::uint64_t>>& holds,
                       const Field& field, double now) {
  places_[place.machine] = place;
  std::set<Field::TaskId> present;
  for (const auto& [task, attempt] : holds) present.insert(task);
  std::set<Field::TaskId>& before = on_[place.machine];
  for (const Field::TaskId& task : before) {
    if (!present.contains(task)) machines_of_[task].erase(place.machine);
  }
  bool more = false;
  for (const Field::TaskId& task : present) {
    if (before.contains(task)) continue;
    more = true;
    started(place, task, field, now);
    machines_of_[task].insert(place.machine);
  }
  before = std::move(present);
  if (more) check_limits(field, now);
}

void PlacingRules::gone(const std::string& machine) {
  for (const Field::TaskId& task : on_[machine]) machines_of_[task].erase(machine);
  on_.erase(machine);
  places_.erase(machine);
}

void PlacingRules::started(const Place& place, const Field::TaskId& task, const Field& field,
                           double now) {
  const jobs::Spec& spec = field.find(task.job)->spec;
  for (const std::string& other : machines_of_[task]) {
    note("ran_twice", task, "on " + place.machine + ", also on " + other, {place.machine, other},
         now);
  }
  const bool type_allowed = !spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                     place.type) != spec.types->end();
  if (!type_allowed || (spec.zone && *spec.zone != place.zone) ||
      (place.spot && !spec.allow_spot)) {
    note("wrong_place", task, "on " + place.machine + ", a " + place.type + " in " + place.zone,
         {place.machine}, now);
  }
  std::uint32_t in_zone = 1;
  for (auto at = machines_of_.lower_bound({task.job, 0});
       at != machines_of_.end() && at->first.job == task.job; ++at) {
    for (const std::string& machine : at->second) {
      const std::string& zone = places_.at(machine).zone;
      if (spec.single_zone && zone != place.zone) {
        note("wrong_place", task, "in " + place.zone + " beside tasks in " + zone,
             {place.machine, machine}, now);
      }
      in_zone += zone == place.zone ? 1 : 0;
    }
  }
  if (spec.spread_over_zones && in_zone > (spec.tasks + 1) / 2) {
    note("wrong_place", task, "with more than half of its job in " + place.zone, {place.machine},
         now);
  }
  for (const std::string& need : spec.depends_on) {
    const Field::Job* needed = field.find(need);
    if (needed == nullptr || field.done_of(need) < needed->spec.tasks) {
      note("too_early", task, "before " + need + " was done", {place.machine}, now);
    }
  }
}

std::size_t PlacingRules::tasks_of(const std::string& job) const {
  const auto end = machines_of_.upper_bound({job, std::numeric_limits<std::uint32_t>::max()});
  return static_cast<std::size_t>(
      std::count_if(machines_of_.lower_bound({job, 0}), end,
                    [](const auto& entry) { return !entry.second.empty(); }));
}

void PlacingRules::check_limits(const Field& field, double now) {
  struct Use {
    double cpus = 0;
    double gpus = 0;
  };
  std::map<std::string, Use> used;
  Field::TaskId last;
  for (const auto& [machine, tasks] : on_) {
    for (const Field::TaskId& task : tasks) {
      const jobs::Spec& spec = field.find(task.job)->spec;
      used[spec.team].cpus += spec.cpus;
      used[spec.team].gpus += spec.gpus;
      last = task;
    }
  }
  for (const settings::Team& team : teams_) {
    const Use& use = used[team.name];
    if ((team.max_cpus > 0 && use.cpus > team.max_cpus + 1e-6) ||
        (team.max_gpus > 0 && use.gpus > team.max_gpus + 1e-6)) {
      note("quota", last,
           fmt::format("and others of {}: {} cpus, {} gpus", team.name, use.cpus, use.gpus), {},
           now);
    }
  }
}

}  // namespace reachramp::lab
