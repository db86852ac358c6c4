// The machine types that this node last learned of, for the user routes.
#pragma once

#include <memory>
#include <mutex>
#include <optional>

#include "cloud/client.h"
#include "kv/client.h"

namespace reachramp::controller {

// Owns the last known catalog. Any thread may call it.
class CatalogCache {
 public:
  // Keeps a reference to `store`, which must outlive it.
  explicit CatalogCache(kv::Client& store) : store_(store) {}

  // Returns the catalog. If none is known yet, reads it from the key-value store, at most every
  // half second; blocks during the read. Returns null if there is none there either.
  std::shared_ptr<const cloud::Catalog> get();
  // Replaces the catalog.
  void set(const cloud::Catalog& catalog);

 private:
  kv::Client& store_;
  std::mutex mutex_;
  std::shared_ptr<const cloud::Catalog> catalog_;
  // When the store was last read (steady seconds).
  std::optional<double> store_read_at_;
};

}  // namespace reachramp::controller
