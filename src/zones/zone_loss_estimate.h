// What would become of the work of each zone if it went now: told once a minute, so that people see
// beforehand what the loss of a zone would cost. Nothing is stored, and nothing depends on it.
#pragma once

#include <string>
#include <vector>

#include "placement/cluster.h"
#include "placement/service_order.h"

namespace reachramp::zones {

// Counts of jobs are of those that have tasks in the zone and are neither done nor cancelled.
struct ZoneLossEstimate {
  placement::Index zone = placement::kNone;
  std::size_t machines = 0;         // that work or could
  double cores_in_use = 0;          // at work there
  double free_cores_elsewhere = 0;  // cores that are free elsewhere now
  std::size_t affected_jobs = 0;    // with tasks there
  std::size_t waiting_jobs = 0;     // of them, whose tasks would find no room elsewhere
  std::size_t waiting_guaranteed_jobs =
      0;  // of those that would wait, within their team's guarantee
  std::size_t waiting_zone_bound_jobs = 0;   // of those that would wait, may run in that zone alone
  std::size_t services_losing_majority = 0;  // services with more than half of their replicas there
};

// For each zone with machines that can be used: its tasks are placed, in the order of service, on
// what is free in the others. What could be rented there is not reckoned with, nor who could be
// made to yield; a gang that must share a zone needs room for all of it in one.
std::vector<ZoneLossEstimate> estimate_zone_loss(const placement::Cluster& cluster,
                                                 const placement::ServiceOrder& service,
                                                 double now);

std::string describe(const placement::Cluster& cluster, const ZoneLossEstimate& loss);

}  // namespace reachramp::zones
