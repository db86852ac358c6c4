// Which zones a job's tasks may be in together.
#pragma once

#include <map>
#include <optional>

#include "placement/cluster.h"

namespace reachramp::placement {

// Tasks of the job by zone, ended attempts excepted. Nothing if one of them is in a zone that is
// not known.
inline std::optional<std::map<Index, std::uint32_t>> count_tasks_by_zone(const Cluster& cluster,
                                                                         const Job& job) {
  std::map<Index, std::uint32_t> in_use;
  for (const auto& [task, attempt] : job.attempts) {
    const Index zone = cluster.hosts[attempt.host]->zone;
    if (zone == kNone) return std::nullopt;
    ++in_use[zone];
  }
  return in_use;
}

// Keeps to the zone rules of one job while its tasks are placed one by one.
class ZoneRules {
 public:
  ZoneRules(const Job& job, std::map<Index, std::uint32_t> tasks_by_zone)
      : tasks_by_zone_(std::move(tasks_by_zone)),
        one_zone_(job.spec.single_zone),
        max_tasks_per_zone_(job.spec.tasks) {
    limit_to_half(job, job.spec.spread_over_zones);
  }

  // Whether at most half of the tasks, rounded up, may be in one zone.
  void limit_to_half(const Job& job, bool at_most_half) {
    max_tasks_per_zone_ = at_most_half ? (job.spec.tasks + 1) / 2 : job.spec.tasks;
  }
  bool allows(Index zone) const {
    if (one_zone_ && !tasks_by_zone_.empty() && !tasks_by_zone_.contains(zone)) return false;
    const auto at = tasks_by_zone_.find(zone);
    return (at == tasks_by_zone_.end() ? 0 : at->second) < max_tasks_per_zone_;
  }
  void add_task(Index zone) { ++tasks_by_zone_[zone]; }

 private:
  std::map<Index, std::uint32_t> tasks_by_zone_;
  bool one_zone_;
  std::uint32_t max_tasks_per_zone_;
};

}  // namespace reachramp::placement
