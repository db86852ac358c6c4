// An index of the machines that can get tasks, built for one placement pass. Machines are grouped,
// and each group has an upper bound of the free resources of its machines, so that a job skips the
// groups that cannot hold one of its tasks. Checking every machine for every job took most of the
// leader's time with hundreds of waiting jobs and machines.
#pragma once

#include <map>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::placement {

// The machines that can get tasks at one time, for use within one placement pass.
class AvailableHosts {
 public:
  AvailableHosts(const Cluster& cluster, double now);

  // Returns the machines that have room for a task of the job, in the order of preference: spot
  // machines before ordinary ones; small types before large ones, so that large machines stay free
  // for large tasks; within a group, machines that have the job's image cached first.
  std::vector<Index> candidates(const Job& job);
  // Returns the machines with some free cores and memory, but too little for a task of the job.
  // When tasks on them end, a task of the job may fit.
  std::vector<Index> hosts_with_partial_room(const Job& job);
  // Leaves these machines out of all later results.
  void exclude(const std::vector<Index>& hosts);
  // Whether the usable machines of the zone, if they were empty, would hold `tasks` tasks of the
  // job. For zone kNone, the machines of all zones that the job may use count together, or, if the
  // job must stay in a single zone, those of the zone with the most room.
  bool could_hold_when_empty(const Job& job, Index zone, std::uint32_t tasks) const;
  // Recomputes the bounds of all groups. Must be called after attempts have ended.
  void refresh_bounds();
  // The number of machines examined so far, without those of skipped groups.
  std::size_t hosts_examined() const { return hosts_examined_; }

 private:
  // The machines of one type and price that are backfilled, or those that are not.
  struct HostGroup {
    Index type = kNone;
    bool spot = false;
    bool backfilled = false;
    std::vector<Index> hosts;
    Resources max_free;  // upper bound of the free resources of each machine, by resource
  };

  // Calls `visit` for each machine of the group that is not excluded, and recomputes the bound.
  template <class Visit>
  void scan(HostGroup& group, Visit visit);
  // Whether the job avoids the machine because it failed there.
  bool is_avoided(const Job& job, Index host) const;
  // Whether the job may use machines of the group; the zone is not checked.
  bool may_use(const Job& job, const HostGroup& group) const;

  const Cluster& cluster_;
  const double now_;
  std::vector<HostGroup> groups_;
  std::map<Pool, std::uint32_t> usable_hosts_by_pool_;
  std::vector<bool> excluded_;  // by machine
  std::size_t hosts_examined_ = 0;
};

}  // namespace reachramp::placement
