#include "controller/obsolete_records.h"

#include <algorithm>

#include "drains/drain_policy.h"
#include "jobs/spec.h"
#include "kv/revision_clock.h"
#include "schema/schema_levels.h"
#include "shares/usage_accounts.h"
#include "zones/zone_monitor.h"

namespace reachramp::controller {

namespace {

bool is_obsolete_pool(const std::string& key, const wire::Json& value, std::uint32_t level) {
  return level >= schema::kClosedPools && key.starts_with("pool/") &&
         !(value.is_object() && value.value("open", false));
}

constexpr auto kObsoleteChecks = {kv::is_obsolete,     jobs::is_obsolete,  shares::is_obsolete,
                                  drains::is_obsolete, zones::is_obsolete, is_obsolete_pool};

}  // namespace

std::vector<std::string> obsolete_record_prefixes() {
  return {"task/",         "pool/", kv::kTimelineKey, shares::kSharesKey, drains::kPolicyKey,
          zones::kZonesKey};
}

bool is_obsolete(const std::string& key, const wire::Json& value, std::uint32_t level) {
  return std::any_of(kObsoleteChecks.begin(), kObsoleteChecks.end(),
                     [&](const auto& check) { return check(key, value, level); });
}

bool is_obsolete_at_any_level(const std::string& key, const wire::Json& value) {
  return std::any_of(schema::kSchemaLevels.begin(), schema::kSchemaLevels.end(),
                     [&](const auto& level) { return is_obsolete(key, value, level.number); });
}

}  // namespace reachramp::controller
