#include "schema/schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace reachramp::schema {

namespace {

constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();

// Returns the numbers in a program version, up to the first part that is not a number.
std::vector<int> version_numbers(const std::string& version) {
  std::vector<int> numbers;
  const char* next = version.data();
  const char* const end = next + version.size();
  while (next < end) {
    int number = 0;
    const auto [stop, error] = std::from_chars(next, end, number);
    if (error != std::errc()) break;
    numbers.push_back(number);
    next = stop < end ? stop + 1 : stop;
  }
  return numbers;
}

// What the claims of all nodes of the settings allow together.
struct ClaimSummary {
  bool all_nodes_present = true;
  std::uint32_t newest = kUnlimited;   // the newest level that every present node supports
  std::uint32_t hold_at = kUnlimited;  // the lowest hold of any present node
  std::vector<std::pair<std::string, std::uint64_t>> revisions;
};

ClaimSummary summarize(const std::vector<Claim>& claims, const std::vector<std::string>& nodes) {
  ClaimSummary summary;
  for (const std::string& node : nodes) {
    const auto claim = std::find_if(claims.begin(), claims.end(),
                                    [&](const Claim& candidate) { return candidate.node == node; });
    if (claim == claims.end()) {
      summary.all_nodes_present = false;
      continue;
    }
    summary.revisions.emplace_back(claim_key(node), claim->revision);
    summary.newest = std::min(summary.newest, claim->newest);
    if (claim->hold_at > 0) summary.hold_at = std::min(summary.hold_at, claim->hold_at);
  }
  return summary;
}

std::optional<std::string> downgrade_rejection(const StoredSchema& stored) {
  if (stored.level > kNewestLevel) return "this version does not know the level";
  const auto& reason = schema_level(stored.written_level).no_downgrade_because;
  return reason ? std::optional<std::string>(*reason) : std::nullopt;
}

// Lowers the level that writers use. The level that readers must support is lowered once no record
// of the old level remains.
std::optional<SchemaMigration> downgrade(const StoredSchema& stored, ClaimSummary summary) {
  if (auto reason = downgrade_rejection(stored)) {
    return SchemaMigration{{stored.level, stored.written_level, false},
                           std::move(summary.revisions),
                           std::move(reason)};
  }
  if (stored.written_level < stored.level)
    return std::nullopt;  // the previous downgrade is not settled yet
  return SchemaMigration{{stored.level, stored.written_level - 1, false},
                         std::move(summary.revisions)};
}

std::optional<SchemaMigration> resume_upgrade(const StoredSchema& stored, ClaimSummary summary) {
  if (std::min(summary.newest, summary.hold_at) < stored.level) return std::nullopt;
  return SchemaMigration{{stored.level, stored.level, false}, std::move(summary.revisions)};
}

std::optional<SchemaMigration> upgrade(const StoredSchema& stored, ClaimSummary summary) {
  const std::uint32_t target = std::min({summary.newest, summary.hold_at, kNewestLevel});
  if (!stored.settled || target <= stored.level) return std::nullopt;
  return SchemaMigration{{stored.level + 1, stored.level + 1, false}, std::move(summary.revisions)};
}

}  // namespace

PredecessorClaim disposition_of(const kv::Entry& predecessor, const Claim& own) {
  try {
    decode_claim(predecessor);
  } catch (const wire::BadMessage&) {
    return PredecessorClaim::leave_alone;
  }
  const bool same = predecessor.lease_id != 0 && predecessor.value == encode_claim(own);
  return same ? PredecessorClaim::adopt : PredecessorClaim::replace;
}

bool is_later(const std::string& version, const std::string& than) {
  return version_numbers(version) > version_numbers(than);
}

// The operators' documentation quotes this text.
std::string incompatibility(const StoredSchema& stored, const SupportedLevels& supported) {
  if (stored.level >= supported.oldest && stored.level <= supported.newest) return {};
  return fmt::format(
      "the stored state is at level {}, version {} speaks {} to {}: start a {} version",
      stored.level, supported.version, supported.oldest, supported.newest,
      stored.level > supported.newest ? "later" : "former");
}

std::optional<SchemaMigration> next_migration(const StoredSchema& stored,
                                              const std::vector<Claim>& claims,
                                              const std::vector<std::string>& nodes) {
  ClaimSummary summary = summarize(claims, nodes);
  if (summary.hold_at < stored.written_level) return downgrade(stored, std::move(summary));
  if (!summary.all_nodes_present) return std::nullopt;
  if (stored.written_level < stored.level) return resume_upgrade(stored, std::move(summary));
  return upgrade(stored, std::move(summary));
}

StoredSchema settled_form(const StoredSchema& stored) {
  return {stored.written_level, stored.written_level, true};
}

std::vector<std::string> nodes_with_other_settings(const std::vector<Claim>& claims,
                                                   std::uint64_t own_digest) {
  std::vector<std::string> nodes;
  for (const Claim& claim : claims) {
    if (claim.settings_digest != 0 && claim.settings_digest != own_digest)
      nodes.push_back(claim.node);
  }
  return nodes;
}

}  // namespace reachramp::schema
