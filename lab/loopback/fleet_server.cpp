#include "loopback/fleet_server.h"

#include <fmt/format.h>

#include <algorithm>

#include "kv/steady_clock.h"

namespace reachramp::lab {

namespace {

using kv::steady_now;
using namespace std::chrono_literals;

constexpr std::size_t kMostConnections = 4000;
constexpr auto kAnswerLimit = 4000ms;  // PROTOCOL
constexpr double kLookAtLeast_s = 1;
constexpr double kLookAtMostEvery_s = 0.002;
constexpr auto kThreadsStay = 2s;
// Of the history: reports that were answered sooner, with 200 and no order, are not noted; so much
// before a rule is broken, and after it, is told with it.
constexpr double kNotedReport_s = 0.5;
constexpr double kToldBefore_s = 20;
constexpr double kToldAfter_s = 2;

wire::Server::ClientClassifier anybody() {
  return [](const wire::Request&) { return wire::ClientKind::user; };
}

std::chrono::duration<double> until(double due, double now) {
  return std::chrono::duration<double>(std::clamp(due - now, kLookAtMostEvery_s, kLookAtLeast_s));
}

// Each worker has an address of its own: 127.0.0.0/8 has room for all.
CloudSpec with_addresses(CloudSpec spec, std::uint16_t port) {
  if (port == 0) return spec;
  spec.address = [port](const std::string& machine) {
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
      field_(spec_.workers),
      rules_(spec_.teams),
      budget_(kMostConnections),
      door_(std::make_unique<wire::Server>(
          wire::Address{"127.0.0.1", cloud_port}, budget_, wire::ClientKind::user, anybody(),
          [this](const wire::Request& request) { return serve_cloud(request); })),
      crew_(kThreadsStay),
      clock_([this] { keep_time(); }) {}

FleetServer::~FleetServer() {
  std::map<std::string, Shared> members;
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_one();
    members = members_;
    for (auto& [name, member] : members) {
      member->gone = true;
      member->changed.notify_all();
    }
  }
  clock_.join();
  door_.reset();
  for (auto& [name, member] : members) member->door.reset();
  left_.clear();
}

void FleetServer::upload(const Field::Job& job) {
  std::lock_guard lock(mutex_);
  field_.upload(job);
}

std::size_t FleetServer::tasks_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  expire_leases(steady_now());
  return rules_.tasks_of(job);
}

std::vector<std::string> FleetServer::broken_rules() {
  std::lock_guard lock(mutex_);
  return rules_.broken();
}

std::vector<std::string> FleetServer::history() {
  std::lock_guard lock(mutex_);
  return history_.lines();
}

std::vector<std::string> FleetServer::history_of_broken_rules() {
  std::lock_guard lock(mutex_);
  std::vector<std::string> told;
  for (const PlacingRules::Violation& violation : rules_.violations()) {
    told.push_back(violation.text + ":");
    const auto lines = history_.lines_about(violation.machines, violation.at - kToldBefore_s,
                                            violation.at + kToldAfter_s);
    told.insert(told.end(), lines.begin(), lines.end());
  }
  return told;
}

void FleetServer::note_cloud_request(const wire::Request& request, const wire::Response& reply,
                                     double now) {
  if (request.method != "POST" || reply.status == 400) return;
  const wire::Json body = wire::decode_map(request.body);
  const auto hosts = body.find("hosts");
  if (hosts == body.end()) {
    history_.note(now, "cloud",
                  fmt::format("{} -> {} {}", body.dump(), reply.status, reply.body.dump()));
    return;
  }
  for (const wire::Json& host : *hosts) {
    history_.note(now, host.get<std::string>(), fmt::format("returned: {}", reply.status));
  }
}

wire::Response FleetServer::serve_cloud(const wire::Request& request) {
  std::lock_guard lock(mutex_);
  const double now = steady_now();
  wire::Response reply = cloud_.ask(request, now);
  note_cloud_request(request, reply, now);
  // Before the answer: by then what was returned is gone.
  handle_cloud_events(now);
  changed_.notify_one();
  return reply;
}

std::size_t FleetServer::hang_machines_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  std::size_t hung = 0;
  for (auto& [name, member] : members_) {
    const auto holds = member->worker->holds();
    if (std::none_of(holds.begin(), holds.end(),
                     [&](const auto& held) { return held.first.job == job; })) {
      continue;
    }
    member->worker->hang(steady_now());
    ++hung;
  }
  return hung;
}

wire::Response FleetServer::serve_worker(Member& member, const wire::Request& request) {
  std::unique_lock lock(mutex_);
  member.changed.wait(lock, [&] { return member.gone || !member.worker->hangs(); });
  if (member.gone) return {503, {{"error", "gone"}}};
  const double now = steady_now();
  wire::Response reply = member.worker->ask(request, now);
  if (request.method == "POST") {
    history_.note(
        now, member.place.machine,
        fmt::format("told directly {} -> {}", wire::decode_map(request.body).dump(), reply.status));
  }
  look(member, now);
  member.changed.notify_one();
  return reply;
}

// Under the lock, after everything that may have changed what is on the machine.
void FleetServer::look(Member& member, double now) {
  expire_leases(now);
  observe(member, now);
}

// Whatever a worker's own thread waits for, its lease ends at its time: before anybody else can be
// found to hold one of its tasks.
void FleetServer::expire_leases(double now) {
  if (now <= next_lease_end_) return;
  next_lease_end_ = kForever;
  for (const auto& [name, member] : members_) {
    Worker& worker = *member->worker;
    if (worker.lease_ends_at() < now) {
      worker.expire_lease(now);
      observe(*member, now);
    }
    next_lease_end_ = std::min(next_lease_end_, worker.lease_ends_at());
  }
}

void FleetServer::observe(Member& member, double now) {
  if (member.gone) return;
  note_changes(member, now);
  rules_.see(member.place, member.noted.holds, field_, now);
}

void FleetServer::note_changes(Member& member, double now) {
  const Worker& worker = *member.worker;
  const std::string& machine = member.place.machine;
  Observed seen{worker.holds(), worker.incarnation(), worker.fencing_token()};
  Observed& before = member.noted;
  if (seen.incarnation != before.incarnation || seen.fencing_token != before.fencing_token) {
    history_.note(now, machine,
                  fmt::format("incarnation {}, fencing token {}, lease since {:.4f}",
                              seen.incarnation, seen.fencing_token, worker.lease_since()));
  }
  const auto note_missing = [&](const auto& from, const auto& in, const char* what) {
    for (const auto& held : from) {
      if (std::find(in.begin(), in.end(), held) != in.end()) continue;
      history_.note(now, machine,
                    fmt::format("{} {}/{} attempt {}, incarnation {}, lease since {:.4f}", what,
                                held.first.job, held.first.task, held.second, seen.incarnation,
                                worker.lease_since()));
    }
  };
  note_missing(before.holds, seen.holds, "ended");
  note_missing(seen.holds, before.holds, "holds");
  before = std::move(seen);
}

void FleetServer::note_report(const Member& member, const std::string& node, double sent_at,
                              const wire::CallResult& answer, double now) {
  const bool ordinary = answer.received_response && answer.status == 200 &&
                        now - sent_at < kNotedReport_s && answer.body.is_object() &&
                        answer.body.value("orders", wire::Json::array()).empty();
  if (ordinary) return;
  history_.note(now, member.place.machine,
                fmt::format("report to {} sent {:.4f} -> {} {}", node, sent_at, answer.status,
                            answer.body.dump()));
}

void FleetServer::handle_cloud_events(double now) {
  for (const Cloud::Event& event : cloud_.pass(now)) {
    const auto at = members_.find(event.machine);
    if (event.what == Cloud::What::up) {
      come_up(event.machine, now);
    } else if (event.what == Cloud::What::gone) {
      go(event.machine, now);
    } else if (at != members_.end()) {
      at->second->worker->notice(event.notice_s, now);
      at->second->changed.notify_one();
    }
  }
}

void FleetServer::keep_time() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    handle_cloud_events(steady_now());
    if (!left_.empty()) {
      // A door closes once its threads are done, which may wait for the lock.
      const std::vector<Shared> left = std::exchange(left_, {});
      lock.unlock();
      for (const Shared& member : left) member->door.reset();
      lock.lock();
    }
    changed_.wait_for(lock, until(cloud_.due(), steady_now()));
  }
}

void FleetServer::come_up(const std::string& name, double now) {
  const Cloud::Machine& rented = cloud_.machines().at(name);
  const auto type = std::find_if(spec_.cloud.catalog.begin(), spec_.cloud.catalog.end(),
                                 [&](const auto& one) { return one.name == rented.type; });
  auto member = std::make_shared<Member>();
  member->place = {name, rented.type, rented.zone, rented.spot};
  if (spec_.worker_port != 0) {
    member->door = std::make_unique<wire::Server>(
        wire::parse_address(rented.address), budget_, wire::ClientKind::user, anybody(),
        [this, raw = member.get()](const wire::Request& request) {
          return serve_worker(*raw, request);
        });
  }
  std::vector<std::string> nodes;
  for (const auto& [node, where] : spec_.controllers) nodes.push_back(node);
  member->worker = std::make_unique<Worker>(
      Worker::Machine{name, rented.address, *type, rented.zone, rented.spot, 1, false},
      spec_.workers, std::move(nodes), field_, random_(), now);
  members_[name] = member;
  next_lease_end_ = std::min(next_lease_end_, member->worker->lease_ends_at());
  crew_.run([this, member] { run(member); });
}

void FleetServer::go(const std::string& name, double now) {
  const auto at = members_.find(name);
  if (at == members_.end()) return;
  const Shared member = at->second;
  members_.erase(at);
  member->gone = true;
  member->worker->end(now);
  rules_.gone(name);
  history_.note(now, name, "gone");
  member->changed.notify_all();
  left_.push_back(member);
}

// The worker's own thread: reports, and waits for their answers.
void FleetServer::run(const Shared& member) {
  std::map<std::string, std::unique_ptr<wire::Client>> clients;
  std::unique_lock lock(mutex_);
  while (!member->gone) {
    const double now = steady_now();
    const auto sending = member->worker->pass(now);
    look(*member, now);
    if (!sending) {
      member->changed.wait_for(lock, until(member->worker->due(), now));
      continue;
    }
    auto& client = clients[sending->node];
    if (!client) {
      client = std::make_unique<wire::Client>(spec_.controllers.at(sending->node), 1,
                                              wire::kMaxBody_bytes);
    }
    lock.unlock();
    const wire::CallResult answer =
        client->call("POST", "/v1/report", &sending->report, kAnswerLimit);
    lock.lock();
    if (member->gone) break;
    const double heard = steady_now();
    note_report(*member, sending->node, now, answer, heard);
    member->worker->answered(answer, heard);
    look(*member, heard);
  }
}

}  // namespace reachramp::lab
