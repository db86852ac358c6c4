#include "loopback/fleet_server.h"

#include <fmt/format.h>

#include <algorithm>

#include "kv/steady_clock.h"

namespace reachramp::lab {

namespace {

using kv::steady_now;
using namespace std::chrono_literals;

constexpr std::size_t kMaxFleetConnections = 4000;
constexpr auto kReportTimeout = 4000ms;  // set by PROTOCOL
// Limits of the time for which a thread waits for the next event of an emulator.
constexpr double kMaxClockWait_s = 1;
constexpr double kMinClockWait_s = 0.002;
// For how long a worker's thread is kept for reuse after its worker has gone.
constexpr auto kThreadIdleTime = 2s;
// Reports that get an answer sooner than this, with status 200 and without orders, are left out of
// the history.
constexpr double kSlowReport_s = 0.5;
// history_of_violations() shows the events from this long before each violation to this long after.
constexpr double kHistoryBefore_s = 20;
constexpr double kHistoryAfter_s = 2;

wire::Server::ClientClassifier classify_all_as_users() {
  return [](const wire::Request&) { return wire::ClientKind::user; };
}

std::chrono::duration<double> clamped_wait(double due, double now) {
  return std::chrono::duration<double>(std::clamp(due - now, kMinClockWait_s, kMaxClockWait_s));
}

// Gives each worker a loopback address of its own, with the same port; 127.0.0.0/8 has enough.
CloudSpec with_addresses(CloudSpec spec, std::uint16_t port) {
  if (port == 0) return spec;
  spec.worker_address = [port](const std::string& machine) {
    const unsigned long number = std::stoul(machine.substr(machine.find('-') + 1));
    return fmt::format("127.16.{}.{}:{}", number / 250, 1 + number % 250, port);
  };
  return spec;
}

}  // namespace

FleetServer::FleetServer(FleetSpec spec, std::uint16_t cloud_port, std::uint64_t seed)
    : spec_(std::move(spec)),
      random_(seed),
      cloud_(with_addresses(spec_.cloud, spec_.worker_port), seed),
      shared_state_(spec_.workers),
      placement_checker_(spec_.teams),
      connection_limiter_(kMaxFleetConnections),
      cloud_server_(std::make_unique<wire::Server>(
          wire::Address{"127.0.0.1", cloud_port}, connection_limiter_, wire::ClientKind::user,
          classify_all_as_users(),
          [this](const wire::Request& request) { return handle_cloud_request(request); })),
      worker_threads_(kThreadIdleTime),
      clock_thread_([this] { run_clock(); }) {}

FleetServer::~FleetServer() {
  std::map<std::string, WorkerPtr> workers;
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_one();
    workers = workers_;
    for (auto& [name, running] : workers) {
      running->gone = true;
      running->changed.notify_all();
    }
  }
  clock_thread_.join();
  cloud_server_.reset();
  for (auto& [name, running] : workers) running->order_server.reset();
  removed_workers_.clear();
}

void FleetServer::upload(const SharedTaskState::Job& job) {
  std::lock_guard lock(mutex_);
  shared_state_.upload(job);
}

std::size_t FleetServer::held_task_count(const std::string& job) {
  const std::lock_guard lock(mutex_);
  expire_leases(steady_now());
  return placement_checker_.held_task_count(job);
}

std::vector<std::string> FleetServer::rule_violations() {
  std::lock_guard lock(mutex_);
  return placement_checker_.violation_texts();
}

std::vector<std::string> FleetServer::history() {
  std::lock_guard lock(mutex_);
  return history_.lines();
}

std::vector<std::string> FleetServer::history_of_violations() {
  std::lock_guard lock(mutex_);
  std::vector<std::string> found;
  for (const PlacementChecker::Violation& violation : placement_checker_.violations()) {
    found.push_back(violation.text + ":");
    const auto lines = history_.lines_about(violation.machines, violation.at - kHistoryBefore_s,
                                            violation.at + kHistoryAfter_s);
    found.insert(found.end(), lines.begin(), lines.end());
  }
  return found;
}

void FleetServer::record_cloud_request(const wire::Request& request, const wire::Response& reply,
                                       double now) {
  if (request.method != "POST" || reply.status == 400) return;
  const wire::Json body = wire::decode_map(request.body);
  const auto hosts = body.find("hosts");
  if (hosts == body.end()) {
    history_.record(now, "cloud",
                    fmt::format("{} -> {} {}", body.dump(), reply.status, reply.body.dump()));
    return;
  }
  for (const wire::Json& host : *hosts) {
    history_.record(now, host.get<std::string>(), fmt::format("returned: {}", reply.status));
  }
}

wire::Response FleetServer::handle_cloud_request(const wire::Request& request) {
  std::lock_guard lock(mutex_);
  const double now = steady_now();
  wire::Response reply = cloud_.handle_request(request, now);
  record_cloud_request(request, reply, now);
  // Machines returned by this request have to be gone by the time it is answered, so their events
  // are handled first.
  handle_cloud_events(now);
  changed_.notify_one();
  return reply;
}

std::size_t FleetServer::hang_machines_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  std::size_t hung = 0;
  for (auto& [name, running] : workers_) {
    const auto holds = running->worker->held_tasks();
    if (std::none_of(holds.begin(), holds.end(),
                     [&](const auto& held) { return held.first.job == job; })) {
      continue;
    }
    running->worker->hang(steady_now());
    ++hung;
  }
  return hung;
}

std::vector<std::string> FleetServer::restart_workers_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  const double now = steady_now();
  std::vector<std::string> restarted;
  for (auto& [name, running] : workers_) {
    const auto holds = running->worker->held_tasks();
    if (std::none_of(holds.begin(), holds.end(),
                     [&](const auto& held) { return held.first.job == job; })) {
      continue;
    }
    running->worker->terminate(now);
    check_after_change(*running, now);
    running->worker = make_worker(name, now);
    history_.record(now, name, "its worker has restarted");
    check_after_change(*running, now);
    running->changed.notify_all();
    restarted.push_back(name);
  }
  return restarted;
}

wire::Response FleetServer::handle_worker_request(RunningWorker& running,
                                                  const wire::Request& request) {
  std::unique_lock lock(mutex_);
  running.changed.wait(lock, [&] { return running.gone || !running.worker->is_hung(); });
  if (running.gone) return {503, {{"error", "gone"}}};
  const double now = steady_now();
  wire::Response reply = running.worker->handle_request(request, now);
  if (request.method == "POST") {
    history_.record(
        now, running.machine.name,
        fmt::format("told directly {} -> {}", wire::decode_map(request.body).dump(), reply.status));
  }
  check_after_change(running, now);
  running.changed.notify_one();
  return reply;
}

// To be called, with mutex_ held, after everything that may have changed the tasks on the machine.
void FleetServer::check_after_change(RunningWorker& running, double now) {
  expire_leases(now);
  record_and_check(running, now);
}

// A worker's lease must end on time even while its thread waits for the response to a report.
// Otherwise a task that was restarted elsewhere after the lease would seem to run twice.
void FleetServer::expire_leases(double now) {
  if (now <= next_lease_end_) return;
  next_lease_end_ = kInfinity_s;
  for (const auto& [name, running] : workers_) {
    Worker& worker = *running->worker;
    if (worker.lease_ends_at() < now) {
      worker.expire_lease(now);
      record_and_check(*running, now);
    }
    next_lease_end_ = std::min(next_lease_end_, worker.lease_ends_at());
  }
}

void FleetServer::record_and_check(RunningWorker& running, double now) {
  if (running.gone) return;
  record_changes(running, now);
  placement_checker_.update_machine(running.machine, running.last_recorded.held_tasks,
                                    shared_state_, now);
}

void FleetServer::record_changes(RunningWorker& running, double now) {
  const Worker& worker = *running.worker;
  const std::string& machine = running.machine.name;
  WorkerSnapshot seen{worker.held_tasks(), worker.incarnation(), worker.fencing_token()};
  WorkerSnapshot& before = running.last_recorded;
  if (seen.incarnation != before.incarnation || seen.fencing_token != before.fencing_token) {
    history_.record(now, machine,
                    fmt::format("incarnation {}, fencing token {}, lease since {:.4f}",
                                seen.incarnation, seen.fencing_token, worker.lease_starts_at()));
  }
  const auto record_missing = [&](const auto& from, const auto& in, const char* what) {
    for (const auto& held : from) {
      if (std::find(in.begin(), in.end(), held) != in.end()) continue;
      history_.record(now, machine,
                      fmt::format("{} {}/{} attempt {}, incarnation {}, lease since {:.4f}", what,
                                  held.first.job, held.first.task, held.second, seen.incarnation,
                                  worker.lease_starts_at()));
    }
  };
  record_missing(before.held_tasks, seen.held_tasks, "ended");
  record_missing(seen.held_tasks, before.held_tasks, "holds");
  before = std::move(seen);
}

void FleetServer::record_report(const RunningWorker& running, const std::string& node,
                                double sent_at, const wire::CallResult& answer, double now) {
  const bool ordinary = answer.received_response && answer.status == 200 &&
                        now - sent_at < kSlowReport_s && answer.body.is_object() &&
                        answer.body.value("orders", wire::Json::array()).empty();
  if (ordinary) return;
  history_.record(now, running.machine.name,
                  fmt::format("report to {} sent {:.4f} -> {} {}", node, sent_at, answer.status,
                              answer.body.dump()));
}

void FleetServer::handle_cloud_events(double now) {
  for (const Cloud::Event& event : cloud_.advance(now)) {
    const auto at = workers_.find(event.machine);
    if (event.kind == Cloud::EventKind::up) {
      add_worker(event.machine, now);
    } else if (event.kind == Cloud::EventKind::gone) {
      remove_worker(event.machine, now);
    } else if (at != workers_.end()) {
      at->second->worker->on_reclaim_notice(event.reclaim_in_s, now);
      at->second->changed.notify_one();
    }
  }
}

void FleetServer::run_clock() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    handle_cloud_events(steady_now());
    if (!removed_workers_.empty()) {
      // Destroying a server waits for its threads, which may be waiting for the lock.
      const std::vector<WorkerPtr> removed = std::exchange(removed_workers_, {});
      lock.unlock();
      for (const WorkerPtr& running : removed) running->order_server.reset();
      lock.lock();
    }
    changed_.wait_for(lock, clamped_wait(cloud_.next_event_at(), steady_now()));
  }
}

void FleetServer::add_worker(const std::string& name, double now) {
  const Cloud::Machine& rented = cloud_.machines().at(name);
  auto running = std::make_shared<RunningWorker>();
  running->machine = {name, rented.type, rented.zone, rented.spot};
  if (spec_.worker_port != 0) {
    running->order_server = std::make_unique<wire::Server>(
        wire::parse_address(rented.address), connection_limiter_, wire::ClientKind::user,
        classify_all_as_users(), [this, raw = running.get()](const wire::Request& request) {
          return handle_worker_request(*raw, request);
        });
  }
  running->worker = make_worker(name, now);
  workers_[name] = running;
  next_lease_end_ = std::min(next_lease_end_, running->worker->lease_ends_at());
  worker_threads_.run([this, running] { run_worker(running); });
}

std::unique_ptr<Worker> FleetServer::make_worker(const std::string& name, double now) {
  const Cloud::Machine& rented = cloud_.machines().at(name);
  const auto type = std::find_if(spec_.cloud.catalog.begin(), spec_.cloud.catalog.end(),
                                 [&](const auto& one) { return one.name == rented.type; });
  std::vector<std::string> nodes;
  for (const auto& [node, where] : spec_.controllers) nodes.push_back(node);
  return std::make_unique<Worker>(
      Worker::Machine{name, rented.address, *type, rented.zone, rented.spot, 1, false},
      spec_.workers, std::move(nodes), shared_state_, random_(), now);
}

void FleetServer::remove_worker(const std::string& name, double now) {
  const auto at = workers_.find(name);
  if (at == workers_.end()) return;
  const WorkerPtr running = at->second;
  workers_.erase(at);
  running->gone = true;
  running->worker->terminate(now);
  placement_checker_.remove_machine(name);
  history_.record(now, name, "gone");
  running->changed.notify_all();
  removed_workers_.push_back(running);
}

// mutex_ is released while a report waits for its response.
void FleetServer::run_worker(const WorkerPtr& running) {
  std::map<std::string, std::unique_ptr<wire::Client>> clients;
  std::unique_lock lock(mutex_);
  while (!running->gone) {
    const double now = steady_now();
    const auto outgoing = running->worker->advance(now);
    check_after_change(*running, now);
    if (!outgoing) {
      running->changed.wait_for(lock, clamped_wait(running->worker->next_event_at(), now));
      continue;
    }
    auto& client = clients[outgoing->node];
    if (!client) {
      client = std::make_unique<wire::Client>(spec_.controllers.at(outgoing->node), 1,
                                              wire::kMaxBody_bytes);
    }
    lock.unlock();
    const wire::CallResult answer =
        client->call("POST", "/v1/report", &outgoing->report, kReportTimeout);
    lock.lock();
    if (running->gone) break;
    const double answered_at = steady_now();
    record_report(*running, outgoing->node, now, answer, answered_at);
    running->worker->on_report_answer(answer, answered_at);
    check_after_change(*running, answered_at);
  }
}

}  // namespace reachramp::lab
