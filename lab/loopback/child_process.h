// Starts other programs as child processes. The child executes the program right away and runs no
// code of this process: after a fork without exec, a child hangs on any lock that another thread
// held at that moment, for example the allocator's.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace reachramp::lab {

// A program to start.
struct ChildProgram {
  std::string program;
  std::vector<std::string> arguments = {};  // without the program's own name
  std::string log_file = {};                // standard error is appended to it; empty: inherited
  std::string log_level = {};               // value of LOG_LEVEL; empty: inherited
  bool own_process_group = false;           // so that a Ctrl-C does not reach it
  std::size_t max_log_bytes = 0;            // per file; writes beyond it are lost; 0: no limit
};

// Starts the program and returns its process id. Throws std::system_error if it can't be started.
pid_t spawn(const ChildProgram& child);

// Kills the child with SIGKILL, which it can't handle, and waits for its end.
void kill_and_wait(pid_t child);

}  // namespace reachramp::lab
