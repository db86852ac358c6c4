// Estimates which jobs would have to wait if a zone were lost now. The leader logs the estimate
// once a minute, so that operators know the cost of a zone loss in advance. Nothing is stored, and
// no decision depends on the estimate.
#pragma once

#include <string>
#include <vector>

#include "placement/cluster.h"
#include "placement/service_order.h"

namespace reachramp::zones {

// The effect of losing one zone. Counts only jobs that have tasks in the zone and are neither done
// nor cancelled.
struct ZoneLossEstimate {
  placement::Index zone = placement::kNone;
  std::size_t machines = 0;  // in the zone, usable
  double cores_in_use = 0;   // by tasks in the zone
  double free_cores_elsewhere = 0;
  std::size_t affected_jobs = 0;            // with tasks in the zone
  std::size_t waiting_jobs = 0;             // affected jobs for which there is no room elsewhere
  std::size_t waiting_guaranteed_jobs = 0;  // waiting jobs within their team's guarantee
  std::size_t waiting_zone_bound_jobs = 0;  // waiting jobs that may run in this zone only
  // Services with more than half of their replicas in the zone.
  std::size_t services_losing_majority = 0;
};

// Returns an estimate for each zone that has usable machines, by placing the zone's tasks on the
// free room of the other zones in the order of service. The estimate ignores machines that could be
// rented and jobs that could be preempted. A gang that must run in one zone needs room for all its
// tasks in one zone.
std::vector<ZoneLossEstimate> estimate_zone_loss(const placement::Cluster& cluster,
                                                 const placement::ServiceOrder& service,
                                                 double now);

// One line for the log.
std::string describe(const placement::Cluster& cluster, const ZoneLossEstimate& loss);

}  // namespace reachramp::zones
