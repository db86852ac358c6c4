// Stopping work for the sake of other work.
#pragma once

#include <functional>

#include "placement/service_order.h"

namespace reachramp::placement {

// Whether these jobs may be stopped together now for other work's sake, as far as their teams'
// budgets of disruption go; they are, where it says yes. None: there are no budgets.
using DisruptionApprover = std::function<bool(const std::vector<Index>&)>;

// Makes room for gangs within their team's guarantee, or of higher priority, that wait: stops whole
// gangs that save their progress, and no more of them than it takes.
void preempt(Cluster& cluster, const ServiceOrder& service, const DisruptionApprover& gate,
             double now);

}  // namespace reachramp::placement
