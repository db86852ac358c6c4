// One node's view of the levels: announces what its process speaks for as long as it lives, and
// follows the level that is stored.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>

#include "kv/client.h"
#include "schema/schema.h"
#include "settings/settings.h"

namespace reachramp::schema {

// Of the settings that nodes must share: teams, limits, objectives, who the nodes are.
std::uint64_t digest_of(const settings::Platform& platform);

class SchemaVersionTracker {
 public:
  SchemaVersionTracker(kv::Client& state, const settings::Platform& platform,
                       const SupportedVersions& speech);

  // For a thread of its own; never returns. `locked` is told whether this process must serve
  // nobody.
  void run(const std::function<void(bool)>& locked);

  // What a node's write is to be conditional on; a look at the key-value store if it is not known
  // yet. Nothing: it does not answer, or this process is locked out.
  std::optional<std::uint64_t> revision();
  // The same with the level itself.
  std::optional<SchemaView> view();
  // The revision, read anew: the level has changed behind our back.
  std::optional<std::uint64_t> read_revision();
  bool incompatible() const { return incompatible_; }
  // Whether another living process is of a later version, and should lead rather than this one.
  bool defers_leadership() const { return defers_leadership_; }

 private:
  bool announce();
  bool read(std::uint64_t* store_revision);
  void learn(const std::optional<kv::Json>& value, std::uint64_t revision);
  void look_at_others();

  kv::Client& state_;
  const SupportedVersions speech_;
  const std::string node_;
  const std::uint64_t digest_;
  std::uint64_t lease_id_ = 0;
  std::uint64_t position_ = 0;  // of the watch
  std::mutex mutex_;
  std::optional<std::uint64_t> revision_;
  StoredSchema stored_;  // with that revision
  std::string told_;     // why it is locked out, as last logged
  bool told_unreadable_ = false;
  std::string differ_;  // nodes with other settings, as last logged
  std::atomic<bool> incompatible_{false};
  std::atomic<bool> defers_leadership_{false};
};

}  // namespace reachramp::schema
