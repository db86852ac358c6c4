// Reads the stored state that a new leader starts from.
#pragma once

#include <optional>

#include "controller/leader.h"
#include "kv/client.h"
#include "peers/members.h"

namespace reachramp::controller {

// Reads snapshots on JobWatcher's thread, when this node has become the leader. Owns nothing.
class LeaderSnapshotLoader {
 public:
  // Keeps references to both arguments, which must outlive it.
  LeaderSnapshotLoader(kv::Client& store, peers::Members& members)
      : store_(store), members_(members) {}

  // Reads everything but the jobs. The caller has listed these before, in a list that it requested
  // at `jobs_requested_at` (steady seconds), and adds them. Returns none if any part could not be
  // read. Blocks.
  std::optional<LeaderSnapshot> load(double jobs_requested_at);

 private:
  kv::Client& store_;
  peers::Members& members_;
};

}  // namespace reachramp::controller
