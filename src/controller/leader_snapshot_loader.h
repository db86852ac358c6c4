// Reads the stored state that a new leader begins with.
#pragma once

#include <optional>

#include "controller/leader.h"
#include "kv/client.h"
#include "peers/members.h"

namespace reachramp::controller {

// Owns nothing; run by the thread that watches jobs, when this node has become the leader.
class LeaderSnapshotLoader {
 public:
  LeaderSnapshotLoader(kv::Client& store, peers::Members& members)
      : store_(store), members_(members) {}

  // All but the jobs, which the caller has listed before and adds: `jobs_asked_at` (steady seconds)
  // is when. Nothing: some of it could not be read. Blocks.
  std::optional<LeaderSnapshot> load(double jobs_requested_at);

 private:
  kv::Client& store_;
  peers::Members& members_;
};

}  // namespace reachramp::controller
