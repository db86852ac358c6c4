// The operators' file on one node: read again on SIGHUP and when it changes; what is newer than the
// record in force takes its place.
#pragma once

#include <atomic>
#include <string>

#include "drains/rules.h"
#include "levels/book.h"
#include "state/client.h"

namespace reachramp::drains {

class Desk {
 public:
  // `path`: the policy's file.
  Desk(state::Client& state, levels::Book& book, const settings::Platform& platform,
       std::string path);

  // For a thread of its own; never returns.
  void run();
  // From a signal's handler.
  static void hurry() { hurried_ = true; }

 private:
  // Whether the file is another than when it was last read.
  bool is_new();
  void read();
  // Puts it into force if it is newer than what is; false: try again.
  bool submit();
  void say(const std::string& what, bool wrong);

  static std::atomic<bool> hurried_;

  state::Client& state_;
  levels::Book& book_;
  const settings::Platform& platform_;
  const std::string path_;
  std::pair<std::int64_t, std::int64_t> seen_{-1, -1};  // the file's time and size
  std::uint64_t serial_ = 0;                            // 0: the file says nothing of drains
  std::string text_;
  std::string said_;
};

}  // namespace reachramp::drains
