#include "loopback/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <system_error>

extern char** environ;

namespace reachramp::lab {

namespace {

constexpr mode_t kLogMode = 0644;

std::vector<std::string> environment_with(const std::string& log_level) {
  const std::string name = "LOG_LEVEL=";
  std::vector<std::string> made;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text = *entry;
    if (log_level.empty() || !text.starts_with(name)) made.push_back(text);
  }
  if (!log_level.empty()) made.push_back(name + log_level);
  return made;
}

// Returns the null-terminated array of C strings that posix_spawn() expects.
std::vector<char*> pointers_to(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Limits the size of every file that the child writes. spawn() ignores SIGXFSZ in this process and
// so in the child, which inherits it: a write past the limit fails instead of killing the child.
void limit_file_size(pid_t child, std::size_t max_bytes) {
  const rlimit limit{max_bytes, max_bytes};
  ::prlimit(child, RLIMIT_FSIZE, &limit, nullptr);
}

}  // namespace

pid_t spawn(const ChildProgram& child) {
  if (child.max_log_bytes > 0) ::signal(SIGXFSZ, SIG_IGN);
  std::vector<std::string> arguments = child.arguments;
  arguments.insert(arguments.begin(), child.program);
  std::vector<std::string> environment = environment_with(child.log_level);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (!child.log_file.empty()) {
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, child.log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  }
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  if (child.own_process_group) posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, child.program.c_str(), &actions, &attributes,
                                pointers_to(arguments).data(), pointers_to(environment).data());
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  if (error != 0) throw std::system_error(error, std::generic_category(), child.program);
  if (child.max_log_bytes > 0) limit_file_size(pid, child.max_log_bytes);
  return pid;
}

void kill_and_wait(pid_t child) {
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
}

}  // namespace reachramp::lab
