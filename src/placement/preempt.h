// Preemption: stops running gangs to make room for waiting ones.
#pragma once

#include <functional>

#include "placement/service_order.h"

namespace reachramp::placement {

// Decides whether the disruption budgets allow all of these jobs to be stopped now. If it returns
// true, the jobs are stopped and it has charged the budgets. An empty function means that there are
// no budgets.
using DisruptionApprover = std::function<bool(const std::vector<Index>&)>;

// Makes room for waiting gangs that are within their team's guarantee or have a higher priority
// than running ones. Stops only whole gangs that checkpoint, and no more of them than necessary.
void preempt(Cluster& cluster, const ServiceOrder& order,
             const DisruptionApprover& approve_disruption, double now);

}  // namespace reachramp::placement
