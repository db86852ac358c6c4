#include "controller/obsolete_records.h"

#include <algorithm>

#include "drains/rules.h"
#include "jobs/spec.h"
#include "kv/revision_clock.h"
#include "schema/schema_levels.h"
#include "shares/usage_accounts.h"
#include "zones/zones.h"

namespace reachramp::controller {

namespace {

bool pool_is_stale(const std::string& key, const wire::Json& value, std::uint32_t level) {
  return level >= schema::kClosedPools && key.starts_with("pool/") &&
         !(value.is_object() && value.value("open", false));
}

constexpr auto kSlices = {kv::is_stale,     jobs::is_stale,  shares::is_stale,
                          drains::is_stale, zones::is_stale, pool_is_stale};

}  // namespace

std::vector<std::string> obsolete_record_prefixes() {
  return {"task/",           "pool/",         kv::kTimelineKey, shares::kSharesKey,
          drains::kRulesKey, zones::kZonesKey};
}

bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level) {
  return std::any_of(kSlices.begin(), kSlices.end(),
                     [&](const auto& slice) { return slice(key, value, level); });
}

bool is_stale_at_any(const std::string& key, const wire::Json& value) {
  return std::any_of(schema::kSchemaLevels.begin(), schema::kSchemaLevels.end(),
                     [&](const auto& level) { return is_stale(key, value, level.number); });
}

}  // namespace reachramp::controller
