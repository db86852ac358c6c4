// Watches the operators' policy file on one controller node. The file is read again on SIGHUP and
// when it changes; a drain section with a higher serial than the stored record replaces it.
#pragma once

#include <atomic>
#include <string>

#include "drains/drain_policy.h"
#include "kv/client.h"
#include "schema/schema_version_tracker.h"

namespace reachramp::drains {

// Publishes the drain section of the policy file to the key-value store, where the leader reads it.
class PolicyFileWatcher {
 public:
  // `path` is the policy file.
  PolicyFileWatcher(kv::Client& store, schema::SchemaVersionTracker& version_tracker,
                    const settings::Platform& platform, std::string path);

  // Runs in a thread of its own and never returns.
  void run();
  // Makes the watcher read the file at its next check. Safe to call in a signal handler.
  static void request_reload() { reload_requested_ = true; }

 private:
  // Whether modification time or size of the file differ from those at the last check.
  bool has_file_changed();
  // Reads the drain section of the policy file.
  void load_file();
  // Stores the drain section if it is newer than the stored record. Returns false if this must be
  // tried again.
  bool try_publish();
  // Logs the message unless it is the last one that was logged.
  void log_once(const std::string& message, bool is_error);

  static std::atomic<bool> reload_requested_;

  kv::Client& store_;
  schema::SchemaVersionTracker& version_tracker_;
  const settings::Platform& platform_;
  const std::string path_;
  std::pair<std::int64_t, std::int64_t> last_mtime_and_size_{-1, -1};  // of the policy file
  std::uint64_t serial_ = 0;  // 0 if the file has no drain section
  std::string text_;
  std::string last_logged_;
};

}  // namespace reachramp::drains
