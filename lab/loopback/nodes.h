// Real controllers as child processes, with settings written for the lab.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "settings/settings.h"

namespace reachramp::lab {

class ControllerProcesses {
 public:
  // The platform's file of each node is written to `folder`, and so is its log.
  ControllerProcesses(std::string program, std::string folder,
                      const std::vector<settings::Platform>& platforms);
  ~ControllerProcesses();  // ends those that run
  ControllerProcesses(const ControllerProcesses&) = delete;

  // Throws std::system_error if the program cannot be started.
  void start(const std::string& name);
  void kill(const std::string& name);
  bool is_running(const std::string& name);

 private:
  std::string program_;
  std::string folder_;
  std::map<std::string, pid_t> pids_;  // 0: not running
};

// The platform's file, as the platform would hand it over.
std::string platform_toml(const settings::Platform& platform);

}  // namespace reachramp::lab
