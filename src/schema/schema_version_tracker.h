// A node's part in the schema protocol: announces which levels its process supports for as long as
// the process lives, and follows the level that is stored.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "kv/client.h"
#include "schema/schema.h"
#include "settings/settings.h"

namespace reachramp::schema {

// Owns this node's claim with its lease, and the latest stored schema that this node has read.
// run() has a thread of its own; all other public functions may be called from any thread.
class SchemaVersionTracker {
 public:
  // `store` must outlive the tracker.
  SchemaVersionTracker(kv::Client& store, const settings::Platform& platform,
                       const SupportedLevels& supported);

  // Renews the claim and watches the level. Never returns. Calls `on_checked` after each check of
  // the level with whether this process is incompatible with it and must not serve anybody.
  void run(const std::function<void(bool incompatible)>& on_checked);

  // The revision of the stored level, on which a node's writes are conditional; reads it from the
  // store if it is not known yet. None if the store does not answer or this process is
  // incompatible.
  std::optional<std::uint64_t> revision();
  // The same, with the stored schema itself.
  std::optional<SchemaView> view();
  // As revision(), but always reads from the store: for callers whose transaction failed because
  // the level has changed.
  std::optional<std::uint64_t> read_revision();
  // Whether this process must not serve anybody, as of the latest read.
  bool incompatible() const { return incompatible_; }
  // Whether another live process has a later version, and should lead rather than this one: it has
  // been upgraded already, so that leadership changes less often during a rolling upgrade.
  bool defers_leadership() const { return defers_leadership_; }

 private:
  // The functions down to wait_for_change() are for the thread of run().
  void maintain_claim();
  std::optional<std::uint64_t> announce();
  std::optional<std::uint64_t> publish(const Claim& claim, std::uint64_t predecessor_revision);
  void read_claims();
  void check_shared_settings(const std::vector<Claim>& claims);
  bool wait_for_change();
  // Reads the stored level; returns the store's revision, none if the store does not answer.
  std::optional<std::uint64_t> read_stored_schema();
  void update_stored_schema(const std::optional<kv::Json>& value, std::uint64_t revision);
  void log_compatibility(const std::string& reason);

  kv::Client& store_;
  const SupportedLevels supported_;
  const std::string node_;
  const std::uint64_t settings_digest_;

  // For the thread of run() only.
  std::optional<std::uint64_t> claim_lease_id_;  // none: the claim is not announced
  std::uint64_t watched_to_ = 0;                 // store revision; 0: the level must be read first
  bool logged_malformed_claim_ = false;
  std::string last_logged_nodes_;  // nodes with other settings than this one

  std::mutex mutex_;
  std::optional<SchemaView> latest_;  // guarded by mutex_; none: not read yet
  std::string last_logged_reason_;    // of incompatibility; guarded by mutex_; empty: none
  std::atomic<bool> incompatible_{false};
  std::atomic<bool> defers_leadership_{false};
};

}  // namespace reachramp::schema
