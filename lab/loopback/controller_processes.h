// Starts and kills real controllers beside the emulator.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "settings/settings.h"

namespace reachramp::lab {

// Owns one child process per controller node.
class ControllerProcesses {
 public:
  // Writes the settings file of each node to `folder`, where its log goes as well. Starts no
  // process.
  ControllerProcesses(std::string program, std::string folder,
                      const std::vector<settings::Platform>& platforms);
  ~ControllerProcesses();  // kills those that run
  ControllerProcesses(const ControllerProcesses&) = delete;

  // Starts the node's controller. Throws std::system_error if the program can't be started.
  void start(const std::string& name);
  // Kills the node's controller with SIGKILL, if it runs.
  void kill(const std::string& name);
  // Whether the node's controller runs; false after it has exited by itself.
  bool is_running(const std::string& name);

 private:
  std::string program_;
  std::string folder_;
  std::map<std::string, pid_t> pids_;  // 0: not running
};

// The text of a node's settings file (TOML), as the platform hands it to a controller.
std::string platform_toml(const settings::Platform& platform);

}  // namespace reachramp::lab
