// The order in which waiting jobs get machines.
#pragma once

#include "placement/cluster.h"

namespace reachramp::placement {

// Incomplete jobs in the order of service. Blocked jobs are left out and use no part of their
// team's guarantee.
struct ServiceOrder {
  std::vector<Index> jobs;
  std::vector<bool> guaranteed;  // by job index: covered by the team's guarantee
};

// Orders jobs by three criteria: jobs within their team's guarantee first, then by priority, then
// by the earliest latest start time that can still be met. Where there is not time for all arrays
// of one guarantee and priority, the largest go last, so that as many jobs as possible are in time.
// Jobs that cannot be in time any more follow the others until they are very late, and then go
// first.
ServiceOrder service_order(const Cluster& cluster, double now);

// A job to be run on a single resource: it occupies the resource for `duration_s` and must end by
// `due_at`.
struct MachineTimeRequest {
  double duration_s = 0;
  double due_at = 0;
};

// The Moore-Hodgson algorithm: selects the requests to postpone so that as few as possible miss
// their due time when the others run one after another from `now` on. `requests` must be sorted by
// due time.
std::vector<bool> select_late_requests(const std::vector<MachineTimeRequest>& requests, double now);

}  // namespace reachramp::placement
