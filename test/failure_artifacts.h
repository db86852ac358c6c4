// Files that help to explain the failure of a test with real processes: the nodes' logs and the
// histories of the emulated services. They are deleted if the test passes; otherwise they are kept
// and their directory is printed.
#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace reachramp::test {

// The directory of one test's files, below REACHRAMP_EVIDENCE. The constructor creates it; the
// destructor deletes it, or keeps it after a failure.
class FailureArtifacts {
 public:
  // The size limit of one log of a node. What a node logs beyond it is lost.
  static constexpr std::size_t kMaxLog_bytes = std::size_t{16} << 20;

  FailureArtifacts() { std::filesystem::create_directories(directory_); }
  ~FailureArtifacts() {
    if (::testing::Test::HasFailure()) {
      std::cout << "kept: " << directory_.string() << "\n";
      return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
  FailureArtifacts(const FailureArtifacts&) = delete;

  // The log level for the nodes: LOG_LEVEL in the environment of the test program, or else info.
  static std::string log_level() {
    const char* level = std::getenv("LOG_LEVEL");
    return level == nullptr ? "info" : level;
  }

  // The path of the file `name` in the directory.
  std::string path(const std::string& name) const { return (directory_ / name).string(); }
  // Writes the lines to the file `name` in the directory.
  void write_lines(const std::string& name, const std::vector<std::string>& lines) const {
    std::ofstream file(directory_ / name);
    for (const std::string& line : lines) file << line << "\n";
  }

 private:
  static std::string test_name() {
    const ::testing::TestInfo& test = *::testing::UnitTest::GetInstance()->current_test_info();
    std::string name = fmt::format("{}.{}-{}", test.test_suite_name(), test.name(), ::getpid());
    std::replace(name.begin(), name.end(), '/', '_');
    return name;
  }

  const std::filesystem::path directory_ = std::filesystem::path(REACHRAMP_EVIDENCE) / test_name();
};

}  // namespace reachramp::test
