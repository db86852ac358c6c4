// Helpers for renting and returning machines: which machines count as capacity, and how many tasks
// they hold.
#pragma once

#include "placement/cluster.h"

namespace reachramp::acquire {

// Whether tasks can be expected to run on the machine, now or once it has booted.
bool provides_capacity(const placement::Cluster& cluster, const placement::Host& host, double now);

// The number of tasks that an empty machine of the type holds if each takes `need`.
int tasks_per_machine(const cloud::MachineType& type, const placement::Resources& need);

}  // namespace reachramp::acquire
