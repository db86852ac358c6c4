// Machines that take tasks, as one plan looks at them: by kind, with a bound on the room that any
// machine of the kind has, so that a job looks only at kinds that may hold a task of it. At
// hundreds of waiting jobs and machines, looking at every machine for every job took most of a
// leader's time.
#pragma once

#include <map>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::placement {

class AvailableHosts {
 public:
  AvailableHosts(const Cluster& cluster, double now);

  // The machines that could take a task of the job now, in the order in which tasks try them: spot
  // before ordinary for work that may use either, small before large so that large ones stay whole;
  // among equals those that hold its image already come first.
  std::vector<Index> candidates(const Job& job);
  // Machines whose room is too small for a task of the job and may grow.
  std::vector<Index> hosts_with_partial_room(const Job& job);
  // Machines that are out of the question for all jobs that come after.
  void exclude(const std::vector<Index>& hosts);
  // Whether machines that are up would hold so many tasks of the job if nothing else ran there, in
  // the zone (kNone: in any).
  bool could_hold_when_empty(const Job& job, Index zone, std::uint32_t tasks) const;
  // Tasks have been taken off machines since.
  void refresh_bounds();
  // How many machines have been looked at, kinds passed over left out.
  std::size_t hosts_examined() const { return hosts_examined_; }

 private:
  struct HostGroup {
    Index type = kNone;
    bool spot = false;
    bool backfilled = false;
    std::vector<Index> hosts;
    Resources max_free;  // no machine here has more of anything free
  };

  // Goes over the machines on a shelf that may be of use to the job, and learns the bound anew.
  template <class Use>
  void scan(HostGroup& shelf, Use use);
  bool is_avoided(const Job& job, Index host) const;
  bool may_use(const Job& job, const HostGroup& shelf) const;

  const Cluster& cluster_;
  const double now_;
  std::vector<HostGroup> groups_;
  std::map<Pool, std::uint32_t> usable_hosts_by_pool_;
  std::vector<bool> excluded_;
  std::size_t hosts_examined_ = 0;
};

}  // namespace reachramp::placement
