// The leader's part in schema migrations: it starts them when all nodes support the next level, and
// migrates or removes obsolete records.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/leader.h"
#include "controller/obsolete_records.h"

namespace reachramp::controller {

namespace {

// Claims are read often while a migration is possible or in progress, otherwise rarely, to notice a
// hold that an operator has set.
constexpr double kClaimsIntervalMigrating_s = 3;
constexpr double kClaimsIntervalSettled_s = 20;
constexpr double kObsoleteRecordsInterval_s = 4;

}  // namespace

void Leader::advance_schema(double now) {
  if (!all_upgraded_) return;  // A node of version 0.2.0 may still become the leader.
  const bool migration_expected =
      !schema_.settled || schema_.level < std::min(supported_levels_.newest, schema::kNewestLevel);
  if (now - claims_read_at_ >=
      (migration_expected ? kClaimsIntervalMigrating_s : kClaimsIntervalSettled_s)) {
    claims_read_at_ = now;
    effects_.read_claims = true;
  }
  if (!schema_.settled && now - obsolete_records_read_at_ >= kObsoleteRecordsInterval_s) {
    obsolete_records_read_at_ = now;
    effects_.read_obsolete_records = true;
  }
}

// The write may share a transaction with writes of other records, which are still in the form of
// the previous level. This is safe, because the transaction is conditional on the revision of the
// level's record.
void Leader::write_schema(const schema::StoredSchema& to,
                          std::vector<std::pair<std::string, std::uint64_t>> preconditions) {
  if (transaction_builder_.is_write_pending(schema::kLevelKey)) return;
  transaction_builder_.queue_write(
      {schema::kLevelKey, schema::encode_stored(to), std::move(preconditions)});
}

void Leader::on_claims(const std::vector<kv::Entry>& entries) {
  if (!all_upgraded_) return;
  std::vector<std::string> nodes{platform_.node_name};
  for (const settings::Member& member : platform_.members) nodes.push_back(member.name);
  const std::vector<schema::Claim> claims = schema::decode_claims(entries);
  rolling_upgrade_ =
      !schema_.settled || std::any_of(nodes.begin(), nodes.end(), [&](const auto& node) {
        return std::none_of(claims.begin(), claims.end(), [&](const schema::Claim& claim) {
          return claim.node == node && claim.version == supported_levels_.version;
        });
      });
  auto migration = schema::next_migration(schema_, claims, nodes);
  if (!migration) {
    last_migration_refusal_.clear();
  } else if (!migration->rejection_reason) {
    if (migration->target.level <= supported_levels_.newest) {
      write_schema(migration->target, std::move(migration->preconditions));
    }
  } else if (*migration->rejection_reason != last_migration_refusal_) {
    last_migration_refusal_ = *migration->rejection_reason;
    spdlog::error("schema level {} cannot be downgraded: {}", schema_.level,
                  last_migration_refusal_);
  }
}

// Completes the migration if no obsolete record is left; otherwise migrates those that can be
// migrated now.
void Leader::on_obsolete_records(const std::vector<kv::Entry>& entries, double now) {
  if (schema_.settled || transaction_builder_.is_write_pending(schema::kLevelKey)) return;
  const auto obsolete_count = std::count_if(entries.begin(), entries.end(), [&](const auto& entry) {
    return is_obsolete(entry.key, entry.value, schema_.written_level);
  });
  if (obsolete_count == 0) {
    if (must_store_cancellations_first()) return;
    write_schema(schema::settled_form(schema_), {});
    return;
  }
  spdlog::info("schema level {}: {} obsolete records remain", schema_.level, obsolete_count);
  for (const kv::Entry& entry : entries) {
    if (!is_obsolete(entry.key, entry.value, schema_.written_level)) continue;
    migrate_obsolete_record(entry.key, entry.revision, now);
  }
}

// Nodes have told users of cancellations that are not stored in the jobs' own records. A version
// that does not know kDerivedCancellations, which may serve once the downgrade is settled, looks at
// these alone.
bool Leader::must_store_cancellations_first() const {
  return schema_.level >= schema::kDerivedCancellations &&
         !schema::has_level(schema_, schema::kDerivedCancellations) &&
         std::any_of(cluster_.finished_jobs.begin(), cluster_.finished_jobs.end(),
                     [&](placement::Index job) { return cluster_.jobs[job]->cancelled; });
}

// Removes an obsolete record: a task range record once newer records hold all its content, any
// other at once.
void Leader::migrate_obsolete_record(const std::string& key, std::uint64_t revision, double now) {
  // The record of the drain rules is written by nodes, not by the leader, and by no node while the
  // schema level is below kDrains, so the record has not changed since it was read.
  if (key == drains::kPolicyKey) transaction_builder_.note_stored(key, revision);
  // The read may be older than what this leader has stored since.
  const auto task_range = jobs::parse_task_range_key(key);
  const bool is_current = task_range
                              ? !migrated_task_ranges_.contains(key)
                              : transaction_builder_.revision_of(key) == std::optional(revision);
  if (transaction_builder_.is_write_pending(key) || !is_current) return;
  const auto at = task_range ? cluster_.job_index.find(task_range->job) : cluster_.job_index.end();
  if (at != cluster_.job_index.end()) {
    if (cluster_.finished_jobs.contains(at->second)) return;  // removed with the job's end
    if (!cluster_.rewrite_older_records(at->second, revision, now)) return;
    std::erase_if(cluster_.jobs[at->second]->obsolete_records,
                  [&](const placement::ObsoleteRecord& record) { return record.key == key; });
  }
  if (task_range) {
    migrated_task_ranges_.insert(key);
    transaction_builder_.note_stored(key, revision);
  }
  transaction_builder_.queue_write({key, std::nullopt});
}

}  // namespace reachramp::controller
