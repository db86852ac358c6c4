// The operators' file on one node: read again on SIGHUP and when it changes; what is newer than the
// record in force takes its place.
#pragma once

#include <atomic>
#include <string>

#include "drains/drain_policy.h"
#include "kv/client.h"
#include "schema/schema_version_tracker.h"

namespace reachramp::drains {

class PolicyFileWatcher {
 public:
  // `path`: the policy's file.
  PolicyFileWatcher(kv::Client& state, schema::SchemaVersionTracker& book,
                    const settings::Platform& platform, std::string path);

  // For a thread of its own; never returns.
  void run();
  // From a signal's handler.
  static void request_reload() { reload_requested_ = true; }

 private:
  // Whether the file is another than when it was last read.
  bool has_file_changed();
  void load_file();
  // Puts it into force if it is newer than what is; false: try again.
  bool try_publish();
  void log_once(const std::string& what, bool wrong);

  static std::atomic<bool> reload_requested_;

  kv::Client& store_;
  schema::SchemaVersionTracker& version_tracker_;
  const settings::Platform& platform_;
  const std::string path_;
  std::pair<std::int64_t, std::int64_t> last_mtime_and_size_{-1, -1};  // the file's time and size
  std::uint64_t serial_ = 0;  // 0: the file says nothing of drains
  std::string text_;
  std::string last_logged_;
};

}  // namespace reachramp::drains
