#include "controller/leader_snapshot_loader.h"

#include "controller/store_reads.h"

namespace reachramp::controller {

std::optional<LeaderSnapshot> LeaderSnapshotLoader::load(double jobs_asked_at) {
  LeaderSnapshot snapshot;
  auto tasks = list_all(store_, "task/");
  if (!tasks) return std::nullopt;
  auto pools = list_all(store_, "pool/");
  if (!pools) return std::nullopt;
  // Read in this order. From when the level is read, none is stored without our fencing token.
  for (const auto& [key, into] :
       {std::pair{kCatalogKey, &snapshot.catalog}, std::pair{schema::kLevelKey, &snapshot.level},
        std::pair{shares::kSharesKey, &snapshot.shares},
        std::pair{drains::kRulesKey, &snapshot.drains},
        std::pair{drains::kUsedKey, &snapshot.drains_used},
        std::pair{zones::kZonesKey, &snapshot.zones},
        std::pair{kv::kTimelineKey, &snapshot.stored_revision_clock}}) {
    if (!read_optional(store_, key, *into)) return std::nullopt;
  }
  // An old node may have led until now: only a look tells in which form the records may go on.
  const auto upgraded = members_.look();
  if (!upgraded) return std::nullopt;
  snapshot.all_upgraded = *upgraded;
  snapshot.tasks = std::move(*tasks);
  snapshot.pools = std::move(*pools);
  snapshot.revision_clock = store_.revision_clock();
  snapshot.asked_at = jobs_asked_at;
  return snapshot;
}

}  // namespace reachramp::controller
