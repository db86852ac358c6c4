// Rules on how a job's tasks may be distributed over zones.
#pragma once

#include <map>
#include <optional>

#include "placement/cluster.h"

namespace reachramp::placement {

// Counts the job's attempts by zone. Returns nothing if the zone of one of them is unknown.
inline std::optional<std::map<Index, std::uint32_t>> count_tasks_by_zone(const Cluster& cluster,
                                                                         const Job& job) {
  std::map<Index, std::uint32_t> counts;
  for (const auto& [task, attempt] : job.attempts) {
    const Index zone = cluster.hosts[attempt.host]->zone;
    if (zone == kNone) return std::nullopt;
    ++counts[zone];
  }
  return counts;
}

// Checks the zone rules of one job while its tasks are placed one by one: all in a single zone, or
// at most half of them in any zone.
class ZoneRules {
 public:
  // `tasks_by_zone`: the tasks that are placed already.
  ZoneRules(const Job& job, std::map<Index, std::uint32_t> tasks_by_zone)
      : tasks_by_zone_(std::move(tasks_by_zone)),
        single_zone_(job.spec.single_zone),
        max_tasks_per_zone_(job.spec.tasks) {
    limit_to_half(job, job.spec.spread_over_zones);
  }

  // Limits each zone to half of the job's tasks, rounded up, or lifts that limit.
  void limit_to_half(const Job& job, bool at_most_half) {
    max_tasks_per_zone_ = at_most_half ? (job.spec.tasks + 1) / 2 : job.spec.tasks;
  }
  // Whether one more task may be placed in the zone.
  bool allows(Index zone) const {
    if (single_zone_ && !tasks_by_zone_.empty() && !tasks_by_zone_.contains(zone)) return false;
    const auto at = tasks_by_zone_.find(zone);
    return (at == tasks_by_zone_.end() ? 0 : at->second) < max_tasks_per_zone_;
  }
  void add_task(Index zone) { ++tasks_by_zone_[zone]; }

 private:
  std::map<Index, std::uint32_t> tasks_by_zone_;
  bool single_zone_;
  std::uint32_t max_tasks_per_zone_;
};

}  // namespace reachramp::placement
