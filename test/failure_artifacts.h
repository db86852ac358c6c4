// Files about a test with real processes: the nodes' logs and what the stand-ins saw. They are
// deleted with the test if it passes; else they stay, and their folder is printed.
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

class FailureArtifacts {
 public:
  static constexpr std::size_t kMaxLog_bytes = std::size_t{16} << 20;

  FailureArtifacts() { std::filesystem::create_directories(folder_); }
  ~FailureArtifacts() {
    if (::testing::Test::HasFailure()) {
      std::cout << "kept: " << folder_.string() << "\n";
      return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  FailureArtifacts(const FailureArtifacts&) = delete;

  // How much the nodes log: LOG_LEVEL of the test itself, or info.
  static std::string log_level() {
    const char* level = std::getenv("LOG_LEVEL");
    return level == nullptr ? "info" : level;
  }

  std::string path(const std::string& name) const { return (folder_ / name).string(); }
  void write_lines(const std::string& name, const std::vector<std::string>& lines) const {
    std::ofstream file(folder_ / name);
    for (const std::string& line : lines) file << line << "\n";
  }

 private:
  static std::string test_name() {
    const ::testing::TestInfo& test = *::testing::UnitTest::GetInstance()->current_test_info();
    std::string name = fmt::format("{}.{}-{}", test.test_suite_name(), test.name(), ::getpid());
    std::replace(name.begin(), name.end(), '/', '_');
    return name;
  }

  const std::filesystem::path folder_ = std::filesystem::path(REACHRAMP_EVIDENCE) / test_name();
};

}  // namespace reachramp::test
