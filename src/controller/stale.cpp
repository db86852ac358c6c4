#include "controller/stale.h"

#include <algorithm>

#include "drains/rules.h"
#include "jobs/spec.h"
#include "levels/table.h"
#include "shares/accounts.h"
#include "state/timeline.h"
#include "zones/zones.h"

namespace reachramp::controller {

namespace {

bool pool_is_stale(const std::string& key, const wire::Json& value, std::uint32_t level) {
  return level >= levels::kClosedPools && key.starts_with("pool/") &&
         !(value.is_object() && value.value("open", false));
}

constexpr auto kSlices = {state::is_stale,  jobs::is_stale,  shares::is_stale,
                          drains::is_stale, zones::is_stale, pool_is_stale};

}  // namespace

std::vector<std::string> stale_prefixes() {
  return {"task/",           "pool/",         state::kTimelineKey, shares::kSharesKey,
          drains::kRulesKey, zones::kZonesKey};
}

bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level) {
  return std::any_of(kSlices.begin(), kSlices.end(),
                     [&](const auto& slice) { return slice(key, value, level); });
}

bool is_stale_at_any(const std::string& key, const wire::Json& value) {
  return std::any_of(levels::kTable.begin(), levels::kTable.end(),
                     [&](const auto& level) { return is_stale(key, value, level.number); });
}

}  // namespace reachramp::controller
