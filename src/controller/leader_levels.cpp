// The leader and the levels of the stored state: when to step, and moving what is of an older form.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/leader.h"
#include "controller/obsolete_records.h"

namespace reachramp::controller {

namespace {

// Claims are read often while there is a step to take, else to see a hold that an operator has set.
constexpr double kClaimsSoon_s = 3;
constexpr double kClaimsLater_s = 20;
constexpr double kStaleEvery_s = 4;

}  // namespace

void Leader::watch_levels(double now) {
  if (!all_upgraded_) return;  // 0.2.0 may yet lead
  const bool restless = !level_.settled || level_.level < std::min(speech_.newest, schema::kNewest);
  if (now - claims_asked_at_ >= (restless ? kClaimsSoon_s : kClaimsLater_s)) {
    claims_asked_at_ = now;
    out_.read_claims = true;
  }
  if (!level_.settled && now - stale_asked_at_ >= kStaleEvery_s) {
    stale_asked_at_ = now;
    out_.read_obsolete_records = true;
  }
}

// In a batch of its own or with others: what stands in the same transaction is of the level before,
// and its condition on the level's revision holds for both.
void Leader::write_level(const schema::StoredSchema& to,
                         std::vector<std::pair<std::string, std::uint64_t>> given) {
  if (ledger_.is_pending(schema::kLevelKey)) return;
  ledger_.write({schema::kLevelKey, schema::encode_stored(to), std::move(given)});
}

void Leader::on_claims(const std::vector<kv::Entry>& entries) {
  if (!all_upgraded_) return;
  std::vector<std::string> nodes{platform_.node_name};
  for (const settings::Member& member : platform_.members) nodes.push_back(member.name);
  const std::vector<schema::Claim> claims = schema::decode_claims(entries);
  rolling_ = !level_.settled || std::any_of(nodes.begin(), nodes.end(), [&](const auto& node) {
    return std::none_of(claims.begin(), claims.end(), [&](const schema::Claim& claim) {
      return claim.node == node && claim.version == speech_.version;
    });
  });
  auto step = schema::next_migration(level_, claims, nodes);
  if (!step) {
    refused_step_.clear();
  } else if (!step->rejection_reason) {
    if (step->to.level <= speech_.newest) write_level(step->to, std::move(step->preconditions));
  } else if (*step->rejection_reason != refused_step_) {
    refused_step_ = *step->rejection_reason;
    spdlog::error("level {} does not step back: {}", level_.level, refused_step_);
  }
}

// Either shows that nothing is left, or moves what is, as far as it can be moved now.
void Leader::on_obsolete_records(const std::vector<kv::Entry>& entries, double now) {
  if (level_.settled || ledger_.is_pending(schema::kLevelKey)) return;
  const auto stale = std::count_if(entries.begin(), entries.end(), [&](const auto& entry) {
    return is_stale(entry.key, entry.value, level_.writes);
  });
  if (stale == 0) {
    write_level(schema::settled_form(level_), {});
    return;
  }
  spdlog::info("level {}: {} records are of another form", level_.level, stale);
  for (const kv::Entry& entry : entries) {
    if (!is_stale(entry.key, entry.value, level_.writes)) continue;
    renew_record(entry.key, entry.revision, now);
  }
}

// A record of tasks goes once newer ones hold all that it says; others go at once.
void Leader::renew_record(const std::string& key, std::uint64_t revision, double now) {
  // Written by nodes alone, and by none below its level: it stands as it was read.
  if (key == drains::kRulesKey) ledger_.note_stored(key, revision);
  // The read may be older than what we have stored since.
  const auto chunk = jobs::parse_chunk_key(key);
  const bool current =
      chunk ? !renewed_.contains(key) : ledger_.revision_of(key) == std::optional(revision);
  if (ledger_.is_pending(key) || !current) return;
  const auto at = chunk ? cluster_.job_index.find(chunk->job) : cluster_.job_index.end();
  if (at != cluster_.job_index.end()) {
    if (cluster_.finished_jobs.contains(at->second)) return;  // its end removes it
    if (!cluster_.renew_older(at->second, revision, now)) return;
    std::erase_if(cluster_.jobs[at->second]->obsolete_records,
                  [&](const placement::ObsoleteRecord& stray) { return stray.key == key; });
  }
  if (chunk) {
    renewed_.insert(key);
    ledger_.note_stored(key, revision);
  }
  ledger_.write({key, std::nullopt});
}

}  // namespace reachramp::controller
