// Serves the emulated cloud and its workers over loopback, in real time. The cloud has one port;
// each worker is a client of the controllers and has an address of its own for direct orders.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "checker/event_history.h"
#include "checker/placement_checker.h"
#include "model/cloud.h"
#include "model/shared_task_state.h"
#include "model/worker.h"
#include "wire/http.h"
#include "wire/thread_pool.h"

namespace reachramp::lab {

// Configuration of the cloud, its workers and the checks.
struct FleetSpec {
  CloudSpec cloud;
  settings::WorkerTimings workers;
  std::vector<settings::Team> teams;                 // the teams whose limits are checked
  std::map<std::string, wire::Address> controllers;  // by name: where each takes reports
  std::uint16_t worker_port = 0;  // for direct orders, on addresses from 127.16.0.1 on; 0: none
};

// Runs the emulated cloud and one thread per worker, and checks the placement of all tasks whenever
// something changes on a machine.
//
// All functions may be called by any thread.
class FleetServer {
 public:
  // Throws std::system_error if it can't listen on the port.
  FleetServer(FleetSpec spec, std::uint16_t cloud_port, std::uint64_t seed);
  ~FleetServer();
  FleetServer(const FleetServer&) = delete;

  // Makes a job known to all workers, as the user's upload does.
  void upload(const SharedTaskState::Job& job);
  // Calls `use` with the cloud while no other thread uses it, and returns its result.
  template <class Use>
  auto with_cloud(Use use) {
    const std::lock_guard lock(mutex_);
    struct NotifyAtExit {
      std::condition_variable& changed;
      ~NotifyAtExit() { changed.notify_one(); }
    } notify{changed_};
    return use(cloud_);
  }
  // A line for each violation of a placement rule so far.
  std::vector<std::string> rule_violations();
  // The recorded events of all machines, a line each.
  std::vector<std::string> history();
  // Each violation, followed by the events of the machines concerned around its time.
  std::vector<std::string> history_of_violations();
  // How many of the job's tasks are on machines.
  std::size_t held_task_count(const std::string& job);
  // Makes every machine that holds a task of the job hang until it is returned. Returns the
  // number of these machines.
  std::size_t hang_machines_of(const std::string& job);
  // The worker of every machine that holds a task of the job ends, with all its tasks, and a new
  // one is there at once under the machine's name: its incarnation is 1 again, and it has seen no
  // fencing token. Returns the names of these machines.
  std::vector<std::string> restart_workers_of(const std::string& job);

 private:
  // What the history records of a worker when it changes.
  struct WorkerSnapshot {
    std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>> held_tasks;
    std::uint64_t incarnation = 0;
    std::uint64_t fencing_token = 0;
  };
  // A worker whose machine is up. A thread of its own sends its reports.
  struct RunningWorker {
    std::unique_ptr<Worker> worker;
    PlacementChecker::MachineInfo machine;
    std::unique_ptr<wire::Server> order_server;
    std::condition_variable changed;  // used with mutex_
    bool gone = false;
    WorkerSnapshot last_recorded;  // the state at the last record in history_
  };
  using WorkerPtr = std::shared_ptr<RunningWorker>;

  wire::Response handle_cloud_request(const wire::Request& request);
  wire::Response handle_worker_request(RunningWorker& running, const wire::Request& request);
  // Body of clock_thread_: handles the cloud's events at their times.
  void run_clock();
  void add_worker(const std::string& machine, double now);
  // The worker that a machine has when it comes up.
  std::unique_ptr<Worker> make_worker(const std::string& machine, double now);
  void remove_worker(const std::string& machine, double now);
  // Body of a worker's thread: sends reports and waits for their responses.
  void run_worker(const WorkerPtr& running);
  void handle_cloud_events(double now);
  void expire_leases(double now);
  void check_after_change(RunningWorker& running, double now);
  void record_and_check(RunningWorker& running, double now);
  // Adds to the history how the worker differs from its last record.
  void record_changes(RunningWorker& running, double now);
  void record_report(const RunningWorker& running, const std::string& node, double sent_at,
                     const wire::CallResult& answer, double now);
  void record_cloud_request(const wire::Request& request, const wire::Response& reply, double now);

  FleetSpec spec_;
  std::mutex mutex_;  // guards everything up to stopping_, and each RunningWorker
  std::condition_variable changed_;
  std::mt19937_64 random_;
  Cloud cloud_;
  SharedTaskState shared_state_;
  PlacementChecker placement_checker_;
  EventHistory history_;
  std::map<std::string, WorkerPtr> workers_;
  double next_lease_end_ = kInfinity_s;     // no worker's lease ends before this
  std::vector<WorkerPtr> removed_workers_;  // whose order servers are still to be closed
  bool stopping_ = false;
  wire::ConnectionLimiter connection_limiter_;
  std::unique_ptr<wire::Server> cloud_server_;
  wire::ThreadPool worker_threads_;
  std::thread clock_thread_;
};

}  // namespace reachramp::lab
