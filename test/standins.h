// Stand-ins for a cloud and its workers, written after their protocol, on a loopback port.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "wire/http.h"

namespace reachramp::test {

// Rents machines that are up at once; each runs a worker that reports to the controllers.
class CloudStandIn {
 public:
  CloudStandIn(std::uint16_t port, std::map<std::string, wire::Address> controllers);
  ~CloudStandIn();

  // Tasks of this job end only when they are stopped.
  void run_forever(const std::string& job);
  // The job's tasks must not start before this one's are done.
  void expect_after(const std::string& job, const std::string& needed, int tasks);
  // Tasks that were started while another attempt at them ran.
  int ran_twice() const { return ran_twice_; }
  int too_early() const { return too_early_; }

 private:
  struct Worker;
  wire::Reply serve(const wire::Request& request);
  void work(const std::shared_ptr<Worker>& worker);
  void execute(Worker& worker, const wire::Json& order);

  std::map<std::string, wire::Address> controllers_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Worker>> workers_;
  std::map<std::string, std::vector<std::string>> hires_;
  std::set<std::string> forever_;
  std::map<std::string, std::vector<std::pair<std::string, int>>> after_;
  std::map<std::string, std::set<std::string>> done_;  // tasks, by job
  std::atomic<int> ran_twice_{0};
  std::atomic<int> too_early_{0};
  wire::Budget budget_{200};
  std::unique_ptr<wire::Server> server_;
};

}  // namespace reachramp::test
