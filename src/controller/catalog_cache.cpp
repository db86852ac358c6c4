#include "controller/catalog_cache.h"

#include <spdlog/spdlog.h>

#include "controller/transaction_builder.h"
#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

constexpr double kCatalogReadInterval_s = 0.5;

}  // namespace

// A process that has just started needs the catalog before the cloud has returned it.
// Without the stored copy, jobs were answered 503 for half a second each time all nodes restarted
// together.
std::shared_ptr<const cloud::Catalog> CatalogCache::get() {
  {
    std::lock_guard lock(mutex_);
    const double now = kv::steady_now();
    if (catalog_ || (store_read_at_ && now - *store_read_at_ < kCatalogReadInterval_s))
      return catalog_;
    store_read_at_ = now;
  }
  const kv::ReadResult found = store_.get(kCatalogKey);
  try {
    if (found.outcome == kv::Outcome::ok) set(cloud::decode_catalog(found.entry.value));
  } catch (const std::exception& error) {
    spdlog::error("stored catalog cannot be read: {}", error.what());
  }
  std::lock_guard lock(mutex_);
  return catalog_;
}

void CatalogCache::set(const cloud::Catalog& catalog) {
  std::lock_guard lock(mutex_);
  catalog_ = std::make_shared<const cloud::Catalog>(catalog);
}

}  // namespace reachramp::controller
