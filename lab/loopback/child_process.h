// Programs started beside this process. The child runs nothing of it: a fork whose child goes on
// without exec hangs on whatever lock another thread held, an allocator's for example.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace reachramp::lab {

struct ChildProgram {
  std::string program;
  std::vector<std::string> arguments = {};  // without the program's own name
  std::string log_file = {};                // standard error is appended to it; empty: ours
  std::string log_level = {};               // LOG_LEVEL; empty: ours
  bool own_process_group = false;           // a Ctrl-C does not reach it
  std::size_t max_log_bytes = 0;            // what is written past it is lost; 0: no limit
};

// Throws std::system_error if the program cannot be started.
pid_t spawn(const ChildProgram& child);

// Without a signal that it could act upon.
void kill_and_wait(pid_t child);

}  // namespace reachramp::lab
