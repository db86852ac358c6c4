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
  void upload(const Field::Job& job);
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
  std::vector<std::string> broken_rules();
  // All that machines did and were told, and what led to each broken rule.
  std::vector<std::string> history();
  std::vector<std::string> history_of_broken_rules();
  std::size_t tasks_of(const std::string& job);  // on machines
  // Lets every machine hang that holds a task of the job, until it is returned; how many.
  std::size_t hang_machines_of(const std::string& job);

 private:
  struct Observed {
    std::vector<std::pair<Field::TaskId, std::uint64_t>> holds;
    std::uint64_t incarnation = 0;
    std::uint64_t fencing_token = 0;
  };
  struct Member {
    std::unique_ptr<Worker> worker;
    PlacingRules::Place place;
    std::unique_ptr<wire::Server> door;
    std::condition_variable changed;
    bool gone = false;
    Observed noted;  // as the history has it
  };
  using Shared = std::shared_ptr<Member>;

  wire::Response serve_cloud(const wire::Request& request);
  wire::Response serve_worker(Member& member, const wire::Request& request);
  void keep_time();
  void come_up(const std::string& machine, double now);
  void go(const std::string& machine, double now);
  void run(const Shared& member);
  void handle_cloud_events(double now);
  void expire_leases(double now);
  void look(Member& member, double now);
  void observe(Member& member, double now);
  void note_changes(Member& member, double now);
  void note_report(const Member& member, const std::string& node, double sent_at,
                   const wire::CallResult& answer, double now);
  void note_cloud_request(const wire::Request& request, const wire::Response& reply, double now);

  FleetSpec spec_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::mt19937_64 random_;
  Cloud cloud_;
  Field field_;
  PlacingRules rules_;
  EventHistory history_;
  std::map<std::string, Shared> members_;
  double next_lease_end_ = kForever;  // no lease of a member ends before
  std::vector<Shared> left_;          // whose doors are still to be closed
  bool stopping_ = false;
  wire::ConnectionLimiter budget_;
  std::unique_ptr<wire::Server> door_;
  wire::ThreadPool crew_;
  std::thread clock_;
};

}  // namespace reachramp::lab
