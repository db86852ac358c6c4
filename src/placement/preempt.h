// Stopping work for the sake of other work.
#pragma once

#include "placement/order.h"

namespace reachramp::placement {

// Makes room for gangs within their team's guarantee, or of higher priority, that wait: stops whole
// gangs that save their progress, and no more of them than it takes.
void preempt(Cluster& cluster, const Service& service, double now);

}  // namespace reachramp::placement
