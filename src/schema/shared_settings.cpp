#include "schema/shared_settings.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>
#include <vector>

#include "kv/client.h"

namespace reachramp::schema {

// Hashes the JSON form, which is the same for the same settings since its fields are sorted.
std::uint64_t shared_settings_digest(const settings::Platform& platform) {
  kv::Json shared = kv::Json::object();
  std::vector<std::string> nodes{platform.node_name};
  for (const settings::Member& member : platform.members) nodes.push_back(member.name);
  std::sort(nodes.begin(), nodes.end());
  shared["nodes"] = nodes;
  for (const settings::Team& team : platform.teams) {
    shared["teams"].push_back(
        {team.name, team.guaranteed_cpus, team.max_cpus, team.guaranteed_gpus, team.max_gpus});
  }
  for (const settings::ServiceLevelObjective& objective : platform.objectives) {
    shared["objectives"].push_back({static_cast<int>(objective.kind), objective.job_class,
                                    objective.within_s, objective.deadline_factor});
  }
  const settings::WorkerTimings& workers = platform.worker_timings;
  shared["workers"] = {workers.report_interval_s, workers.lease_s, workers.gang_wait_s,
                       workers.gang_peer_s, workers.cancel_s};
  const settings::StoreLimits& limits = platform.store_limits;
  shared["state"] = {limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops};
  const std::string text = shared.dump();
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace reachramp::schema
