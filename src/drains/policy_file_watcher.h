// The operators' file on one node: read again on SIGHUP and when it changes; what is newer than the
// record in force takes its place.
#pragma once

#include <atomic>
#include <string>

#include "drains/rules.h"
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
  static void request_reload() { hurried_ = true; }

 private:
  // Whether the file is another than when it was last read.
  bool is_new();
  void read();
  // Puts it into force if it is newer than what is; false: try again.
  bool submit();
  void say(const std::string& what, bool wrong);

  static std::atomic<bool> hurried_;

  kv::Client& state_;
  schema::SchemaVersionTracker& book_;
  const settings::Platform& platform_;
  const std::string path_;
  std::pair<std::int64_t, std::int64_t> seen_{-1, -1};  // the file's time and size
  std::uint64_t serial_ = 0;                            // 0: the file says nothing of drains
  std::string text_;
  std::string said_;
};

}  // namespace reachramp::drains
