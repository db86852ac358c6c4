// Stand-ins for the systems that a controller talks to, written after their protocol: a state
// service, a cloud and workers, each on a loopback port.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "store.h"
#include "wire/http.h"

namespace reachramp::test {

class StateStandIn {
 public:
  explicit StateStandIn(std::uint16_t port);
  ~StateStandIn();

  // From now on what is larger is refused.
  void limit(const settings::StateLimits& limits);
  // Keys that begin so.
  std::size_t count(const std::string& prefix);

 private:
  wire::Reply serve(const wire::Request& request);
  void expire();

  std::mutex mutex_;
  std::condition_variable changed_;
  Store store_;
  std::map<std::uint64_t, std::pair<double, double>> permits_;  // end, life
  std::atomic<bool> stopping_{false};
  std::thread reaper_;
  wire::Budget budget_{200};
  std::unique_ptr<wire::Server> server_;
};

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
