// The start of a leader's term: stored records become the state on which decisions are made. Each
// function restores one kind of record. A malformed record is logged and left as it is if the
// leader can do without it; otherwise the constructor throws and the term does not begin.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "controller/leader.h"
#include "controller/obsolete_records.h"
#include "pipelines/dependencies.h"

namespace reachramp::controller {

namespace {

cloud::ScaleOutRequest decode_scale_out_request(const kv::Json& record) {
  return {record.at("name").get<std::string>(), record.at("type").get<std::string>(),
          record.at("zone").get<std::string>(), record.at("spot").get<bool>(),
          record.at("count").get<int>()};
}

}  // namespace

void Leader::restore_schema(const LeaderSnapshot& snapshot) {
  schema_ = schema::decode_stored(
      snapshot.stored_schema ? std::optional(snapshot.stored_schema->value) : std::nullopt);
  if (const std::string reason = schema::incompatibility(schema_, supported_levels_);
      !reason.empty()) {
    throw std::runtime_error(reason);
  }
  all_upgraded_ = snapshot.all_upgraded || schema_.level >= schema::kTimeline;
  if (snapshot.stored_schema)
    transaction_builder_.note_stored(schema::kLevelKey, snapshot.stored_schema->revision);
}

void Leader::restore_usage(const LeaderSnapshot& snapshot) {
  if (!snapshot.shares) return;
  transaction_builder_.note_stored(shares::kSharesKey, snapshot.shares->revision);
  try {
    usage_.restore(snapshot.shares->value);
    usage_restored_to_revision_ = snapshot.shares->revision;
  } catch (const std::exception& error) {
    spdlog::error("record {}: {}: left alone", shares::kSharesKey, error.what());
    usage_unreadable_ = true;
  }
}

void Leader::restore_drain_budgets(const LeaderSnapshot& snapshot, double now) {
  if (!snapshot.drain_budgets) return;
  transaction_builder_.note_stored(drains::kUsageKey, snapshot.drain_budgets->revision);
  try {
    drains_.restore(snapshot.drain_budgets->value, now);
  } catch (const std::exception& error) {
    spdlog::error("record {} cannot be read: {}", drains::kUsageKey, error.what());
  }
}

void Leader::restore_revision_clock(const LeaderSnapshot& snapshot, double now) {
  if (!snapshot.stored_revision_clock) return;
  const kv::Entry& record = *snapshot.stored_revision_clock;
  transaction_builder_.note_stored(kv::kTimelineKey, record.revision);
  try {
    revision_clock_.restore(record.value, record.revision, now);
  } catch (const std::exception& error) {
    spdlog::error("record {} cannot be read: {}", kv::kTimelineKey, error.what());
  }
}

void Leader::restore_catalog(const LeaderSnapshot& snapshot) {
  if (!snapshot.catalog) return;
  transaction_builder_.note_stored(kCatalogKey, snapshot.catalog->revision);
  cluster_.set_catalog(cloud::decode_catalog(snapshot.catalog->value));
}

// Restores the jobs, then their task range records, then the dependencies between jobs.
void Leader::restore_jobs(const LeaderSnapshot& snapshot, double now) {
  for (const kv::Entry& entry : snapshot.jobs) {
    apply_job_record(entry.key, entry.value, entry.revision,
                     cancellation_time_of_record(entry.revision, now), now);
  }
  std::map<Index, std::vector<placement::StoredRecord>> records;
  for (const kv::Entry& entry : snapshot.tasks) {
    const auto key = jobs::parse_task_range_key(entry.key);
    if (!key) continue;
    const auto job = cluster_.job_index.find(key->job);
    if (job == cluster_.job_index.end()) {
      // The job has ended, and the transaction that stored its end had no room for this removal.
      transaction_builder_.note_stored(entry.key, entry.revision);
      transaction_builder_.queue_write({entry.key, std::nullopt});
      continue;
    }
    records[job->second].push_back({entry.key, *key, entry.revision,
                                    jobs::decode_task_range(*key, entry.value),
                                    revision_clock_.time_of(entry.revision, now)});
  }
  for (auto& [job, stored] : records) cluster_.restore(job, std::move(stored), now);
  for (Index job = 0; job < cluster_.jobs.size(); ++job) {
    pipelines::track_dependencies(cluster_, job, now);
  }
}

// A request stored by an earlier leader may or may not have been sent. It is sent again; the cloud
// executes requests of the same name at most once.
void Leader::restore_scale_outs(const LeaderSnapshot& snapshot, double now) {
  for (const kv::Entry& entry : snapshot.pools) {
    transaction_builder_.note_stored(entry.key, entry.revision);
    if (!entry.value.value("open", false)) continue;
    const cloud::ScaleOutRequest request = decode_scale_out_request(entry.value);
    autoscaler_.set_pending_request(
        {cluster_.types.add(request.type), cluster_.zones.add(request.zone), request.spot},
        request.count);
    scale_out_requested_at_[request.name] = now;
    effects_.cloud_requests.push_back({CloudRequest::Kind::scale_out, request, {}});
  }
}

void Leader::restore_zones(const LeaderSnapshot& snapshot, double now) {
  if (!snapshot.zones) return;
  transaction_builder_.note_stored(zones::kZonesKey, snapshot.zones->revision);
  try {
    zones_.restore(snapshot.zones->value, cluster_,
                   revision_clock_.time_of(snapshot.zones->revision, now), now);
  } catch (const std::exception& error) {
    spdlog::error("record {}: {}: all zones are assumed to be healthy", zones::kZonesKey,
                  error.what());
  }
}

// Program versions without schema levels cannot be kept from becoming the leader. Records that one
// of them wrote in an older form are detected here and migrated again.
void Leader::detect_older_leader(const LeaderSnapshot& snapshot) {
  const auto is_older = [&](const kv::Entry& entry) {
    return is_obsolete(entry.key, entry.value, schema_.written_level);
  };
  if (!schema_.settled || (std::none_of(snapshot.tasks.begin(), snapshot.tasks.end(), is_older) &&
                           std::none_of(snapshot.pools.begin(), snapshot.pools.end(), is_older))) {
    return;
  }
  spdlog::error("schema level {}: an older version has been the leader since the migration",
                schema_.level);
  write_schema({schema_.level, schema_.written_level, false}, {});
}

}  // namespace reachramp::controller
