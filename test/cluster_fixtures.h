// Machines and gangs for tests of decisions.
#pragma once

#include <string>

#include "placement/cluster.h"

namespace reachramp::test {

// One that is up and was last heard at `heard_at`; named by its number unless `name` says
// otherwise.
inline placement::Index add_machine(placement::Cluster& cluster, const std::string& type,
                                    const std::string& zone, bool is_spot,
                                    double last_heartbeat_at = 0, std::string name = "") {
  if (name.empty()) name = "n-" + std::to_string(cluster.hosts.size());
  const placement::Index index = cluster.add_host(name, 0);
  cluster.set_host_type(index, type, zone, is_spot);
  cluster.hosts[index]->phase = placement::HostPhase::up;
  cluster.hosts[index]->last_heartbeat_at = last_heartbeat_at;
  return index;
}

// An array of tasks of one core each, of the team "red".
inline jobs::Header make_array(const std::string& id, std::uint32_t tasks) {
  jobs::Header made;
  made.spec.id = id;
  made.spec.team = "red";
  made.spec.tasks = tasks;
  made.spec.cpus = 1;
  made.spec.image = "img";
  return made;
}

// A gang that must share a zone, named by its number among the cluster's jobs.
inline jobs::Header make_gang(const placement::Cluster& cluster, const std::string& team,
                              std::uint32_t tasks) {
  jobs::Header made;
  made.spec.id = "j-" + std::to_string(cluster.jobs.size());
  made.spec.team = team;
  made.spec.shape = jobs::Shape::gang;
  made.spec.single_zone = true;
  made.spec.tasks = tasks;
  made.spec.cpus = 30;
  made.spec.image = "img";
  return made;
}

}  // namespace reachramp::test
