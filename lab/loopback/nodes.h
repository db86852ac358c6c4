// Real controllers as child processes, with settings written for the lab.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "settings/settings.h"

namespace reachramp::lab {

class Nodes {
 public:
  // The platform's file of each node is written to `folder`, and so is its log.
  Nodes(std::string program, std::string folder, const std::vector<settings::Platform>& platforms);
  ~Nodes();  // ends those that run
  Nodes(const Nodes&) = delete;

  // Throws std::system_error if the program cannot be started.
  void start(const std::string& name);
  void kill(const std::string& name);
  bool runs(const std::string& name);

 private:
  std::string program_;
  std::string folder_;
  std::map<std::string, pid_t> pids_;  // 0: not running
};

// The platform's file, as the platform would hand it over.
std::string platform_file(const settings::Platform& platform);

}  // namespace reachramp::lab
