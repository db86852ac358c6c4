// The machine types as this node last learnt them, for its user routes.
#pragma once

#include <memory>
#include <mutex>
#include <optional>

#include "cloud/client.h"
#include "kv/client.h"

namespace reachramp::controller {

// Owns the last known catalog. For any thread.
class CatalogCache {
 public:
  explicit CatalogCache(kv::Client& store) : store_(store) {}

  // The catalog; while none is known, what the key-value store has, read at most every half second.
  // Null: none is known. Blocks while it reads.
  std::shared_ptr<const cloud::Catalog> get();
  // Replaces the catalog.
  void set(const cloud::Catalog& catalog);

 private:
  kv::Client& store_;
  std::mutex mutex_;
  std::shared_ptr<const cloud::Catalog> catalog_;
  std::optional<double> store_read_at_;  // when the store was last asked (steady seconds)
};

}  // namespace reachramp::controller
