// Which jobs are served first.
#pragma once

#include "placement/cluster.h"

namespace reachramp::placement {

// Jobs that wait for others are not among them: they hold no part of their team's guarantee.
// What a team's guarantee covers first, then by priority, then so that as many jobs as possible are
// in time: by the earliest start that is still expected, without the largest ones where there is
// not time for all. Jobs that nothing can make timely any more wait behind the others, but not for
// ever.
struct ServiceOrder {
  std::vector<Index> jobs;
  std::vector<bool> guaranteed;  // by job
};
ServiceOrder service_order(const Cluster& cluster, double now);

// A job that takes `length` of all machines' time and must be through by `due`.
struct MachineTimeRequest {
  double duration_s = 0;
  double due_at = 0;
};

// Moore and Hodgson's rule: of claims in the order of their dues, those to be dropped so that the
// fewest miss theirs.
std::vector<bool> select_late_requests(const std::vector<MachineTimeRequest>& claims, double now);

}  // namespace reachramp::placement
