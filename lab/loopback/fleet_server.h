// The models of the cloud and its workers on loopback: the cloud behind a port, each worker a
// client of the controllers and a server for direct orders on an address of its own.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "checker/event_history.h"
#include "checker/placing_rules.h"
#include "model/cloud.h"
#include "model/field.h"
#include "model/worker.h"
#include "wire/http.h"
#include "wire/thread_pool.h"

namespace reachramp::lab {

struct FleetSpec {
  CloudSpec cloud;
  settings::WorkerTimings workers;
  std::vector<settings::Team> teams;
  std::map<std::string, wire::Address> controllers;  // by name: where they serve
  std::uint16_t worker_port = 0;  // for direct orders, on addresses from 127.16.0.1 on; 0: none
};

class FleetServer {
 public:
  // Throws std::system_error if the port cannot be had.
  FleetServer(FleetSpec spec, std::uint16_t cloud_port, std::uint64_t seed);
  ~FleetServer();
  FleetServer(const FleetServer&) = delete;

  // As users do, beside submitting it.
  void upload(const SharedTaskState::Job& job);
  // Something done to the cloud, or asked of it, while nothing else is.
  template <class Use>
  auto with_cloud(Use use) {
    const std::lock_guard lock(mutex_);
    struct Woken {
      std::condition_variable& changed;
      ~Woken() { changed.notify_one(); }
    } woken{changed_};
    return use(cloud_);
  }
  std::vector<std::string> rule_violations();
  // All that machines did and were told, and what led to each broken rule.
  std::vector<std::string> history();
  std::vector<std::string> history_of_violations();
  std::size_t held_task_count(const std::string& job);  // on machines
  // Lets every machine hang that holds a task of the job, until it is returned; how many.
  std::size_t hang_machines_of(const std::string& job);

 private:
  struct WorkerSnapshot {
    std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>> held_tasks;
    std::uint64_t incarnation = 0;
    std::uint64_t fencing_token = 0;
  };
  struct RunningWorker {
    std::unique_ptr<Worker> worker;
    PlacementChecker::MachineInfo machine;
    std::unique_ptr<wire::Server> order_server;
    std::condition_variable changed;
    bool gone = false;
    WorkerSnapshot last_recorded;  // as the history has it
  };
  using WorkerPtr = std::shared_ptr<RunningWorker>;

  wire::Response handle_cloud_request(const wire::Request& request);
  wire::Response handle_worker_request(RunningWorker& member, const wire::Request& request);
  void run_clock();
  void add_worker(const std::string& machine, double now);
  void remove_worker(const std::string& machine, double now);
  void run_worker(const WorkerPtr& member);
  void handle_cloud_events(double now);
  void expire_leases(double now);
  void check_after_change(RunningWorker& member, double now);
  void record_and_check(RunningWorker& member, double now);
  void record_changes(RunningWorker& member, double now);
  void record_report(const RunningWorker& member, const std::string& node, double sent_at,
                     const wire::CallResult& answer, double now);
  void record_cloud_request(const wire::Request& request, const wire::Response& reply, double now);

  FleetSpec spec_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::mt19937_64 random_;
  Cloud cloud_;
  SharedTaskState shared_state_;
  PlacementChecker placement_checker_;
  EventHistory history_;
  std::map<std::string, WorkerPtr> workers_;
  double next_lease_end_ = kInfinity_s;     // no lease of a member ends before
  std::vector<WorkerPtr> removed_workers_;  // whose doors are still to be closed
  bool stopping_ = false;
  wire::ConnectionLimiter connection_limiter_;
  std::unique_ptr<wire::Server> cloud_server_;
  wire::ThreadPool worker_threads_;
  std::thread clock_thread_;
};

}  // namespace reachramp::lab
