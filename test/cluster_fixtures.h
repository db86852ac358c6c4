// Builders of hosts and jobs for unit tests of scheduling decisions.
#pragma once

#include <string>

#include "placement/cluster.h"

namespace reachramp::test {

// Adds a host that is up and sent its last heartbeat at `last_heartbeat_at`. Without a `name` it is
// called n-<number of hosts before it>.
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

// Makes a job array of the team "red" whose tasks need one core each.
inline jobs::Header make_array(const std::string& id, std::uint32_t tasks) {
  jobs::Header header;
  header.spec.id = id;
  header.spec.team = "red";
  header.spec.tasks = tasks;
  header.spec.cpus = 1;
  header.spec.image = "img";
  return header;
}

// Makes a gang whose tasks must share a zone. Its id is j-<number of jobs in `cluster`>.
inline jobs::Header make_gang(const placement::Cluster& cluster, const std::string& team,
                              std::uint32_t tasks) {
  jobs::Header header;
  header.spec.id = "j-" + std::to_string(cluster.jobs.size());
  header.spec.team = team;
  header.spec.shape = jobs::Shape::gang;
  header.spec.single_zone = true;
  header.spec.tasks = tasks;
  header.spec.cpus = 30;
  header.spec.image = "img";
  return header;
}

}  // namespace reachramp::test
