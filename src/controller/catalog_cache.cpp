#include "controller/catalog_cache.h"

#include <spdlog/spdlog.h>

#include "controller/transaction_builder.h"
#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

constexpr double kCatalogReadInterval_s = 0.5;

}  // namespace

// A process that has just started is asked for it before it has had time to fetch it: half a second
// of 503 each time, when all nodes were back at once.
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
    spdlog::error("stored catalog: {}", error.what());
  }
  std::lock_guard lock(mutex_);
  return catalog_;
}

void CatalogCache::set(const cloud::Catalog& catalog) {
  std::lock_guard lock(mutex_);
  catalog_ = std::make_shared<const cloud::Catalog>(catalog);
}

}  // namespace reachramp::controller
