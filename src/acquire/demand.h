// What both sides of renting look at: machines that count, and how many tasks they hold.
#pragma once

#include "placement/cluster.h"

namespace reachramp::acquire {

// A machine that work can be expected to run on.
bool provides_capacity(const placement::Cluster& cluster, const placement::Host& host, double now);

// Tasks of that size on an empty machine.
int tasks_per_machine(const cloud::MachineType& type, const placement::Resources& need);

}  // namespace reachramp::acquire
