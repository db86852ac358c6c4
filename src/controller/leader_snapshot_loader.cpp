#include "controller/leader_snapshot_loader.h"

#include "controller/store_reads.h"

namespace reachramp::controller {

std::optional<LeaderSnapshot> LeaderSnapshotLoader::load(double jobs_requested_at) {
  LeaderSnapshot snapshot;
  auto tasks = list_all(store_, "task/");
  if (!tasks) return std::nullopt;
  auto pools = list_all(store_, "pool/");
  if (!pools) return std::nullopt;
  // Keep this order. From the read of the schema level on, a level is stored only with this
  // leader's fencing token, so the level cannot change without this leader.
  for (const auto& [key, into] : {std::pair{kCatalogKey, &snapshot.catalog},
                                  std::pair{schema::kLevelKey, &snapshot.stored_schema},
                                  std::pair{shares::kSharesKey, &snapshot.shares},
                                  std::pair{drains::kPolicyKey, &snapshot.drains},
                                  std::pair{drains::kUsageKey, &snapshot.drain_budgets},
                                  std::pair{zones::kZonesKey, &snapshot.zones},
                                  std::pair{kv::kTimelineKey, &snapshot.stored_revision_clock}}) {
    if (!read_optional(store_, key, *into)) return std::nullopt;
  }
  // A node of an old version may have been the leader until now. Which form of records this leader
  // may write can only be told from the key-value store.
  const auto all_upgraded = members_.check_all_upgraded();
  if (!all_upgraded) return std::nullopt;
  snapshot.all_upgraded = *all_upgraded;
  snapshot.tasks = std::move(*tasks);
  snapshot.pools = std::move(*pools);
  snapshot.revision_clock = store_.revision_clock();
  snapshot.jobs_requested_at = jobs_requested_at;
  return snapshot;
}

}  // namespace reachramp::controller
