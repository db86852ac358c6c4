#include "standins.h"

#include <chrono>

#include "cloud/client.h"
#include "state/clock.h"

namespace reachramp::test {

namespace {

using state::steady_now;
using wire::Json;
using namespace std::chrono_literals;

}  // namespace

struct CloudStandIn::Worker {
  struct Piece {
    std::string state;
    double until = 0;
  };
  std::string name, zone;
  bool spot = false;
  double made_at = 0;
  std::uint64_t tick = 0, baton = 0;
  std::map<std::pair<std::string, std::uint64_t>, Piece> pieces;
  std::atomic<bool> gone{false};
  std::thread thread;
};

CloudStandIn::CloudStandIn(std::uint16_t port, std::map<std::string, wire::Address> controllers)
    : controllers_(std::move(controllers)) {
  server_ = std::make_unique<wire::Server>(
      wire::Address{"127.0.0.1", port}, budget_, wire::Party::user,
      [](const wire::Request&) { return wire::Party::user; },
      [this](const wire::Request& request) { return serve(request); });
}

CloudStandIn::~CloudStandIn() {
  server_.reset();
  for (auto& [name, worker] : workers_) worker->gone = true;
  for (auto& [name, worker] : workers_) worker->thread.join();
}

void CloudStandIn::run_forever(const std::string& job) {
  std::lock_guard lock(mutex_);
  forever_.insert(job);
}

void CloudStandIn::expect_after(const std::string& job, const std::string& needed, int tasks) {
  std::lock_guard lock(mutex_);
  after_[job].emplace_back(needed, tasks);
}

wire::Reply CloudStandIn::serve(const wire::Request& request) {
  std::lock_guard lock(mutex_);
  if (request.path == "/catalog") {
    return {200, cloud::encode_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 1, {"a", "b"}}})};
  }
  if (request.path == "/hosts/return") {
    const Json body = wire::decode_map(request.body);
    for (const Json& name : body.at("hosts")) {
      const auto at = workers_.find(name);
      if (at != workers_.end()) at->second->gone = true;
    }
    return {200, Json::object()};
  }
  if (request.path == "/hosts" && request.method == "POST") {
    const Json body = wire::decode_map(request.body);
    auto [names, fresh] = hires_.try_emplace(body.at("hire"));
    for (int i = 0; fresh && i < body.at("how_many").get<int>(); ++i) {
      auto worker = std::make_shared<Worker>();
      worker->name = "n-" + std::to_string(workers_.size());
      worker->zone = body.at("hall");
      worker->spot = body.at("loaner");
      worker->made_at = steady_now();
      workers_[worker->name] = worker;
      worker->thread = std::thread([this, worker] { work(worker); });
      names->second.push_back(worker->name);
    }
    return {200, {{"hosts", names->second}}};
  }
  if (request.path == "/hosts") {
    Json hosts = Json::array();
    for (const auto& [name, worker] : workers_) {
      if (worker->gone) continue;
      hosts.push_back({{"ref", name},
                       {"address", "127.0.0.1:9"},
                       {"rig", "small"},
                       {"hall", worker->zone},
                       {"loaner", worker->spot},
                       {"phase", "running"},
                       {"held_s", steady_now() - worker->made_at}});
    }
    return {200, {{"hosts", hosts}, {"truncated", false}}};
  }
  return {404, Json::object()};
}

void CloudStandIn::work(const std::shared_ptr<Worker>& worker) {
  auto node = controllers_.begin();
  std::map<std::string, std::unique_ptr<wire::Client>> clients;
  for (const auto& [name, address] : controllers_) {
    clients[name] = std::make_unique<wire::Client>(address, 1, wire::kBodyLimit);
  }
  while (!worker->gone) {
    Json report{{"host", worker->name},
                {"rig", "small"},
                {"hall", worker->zone},
                {"loaner", worker->spot},
                {"tenure", 1},
                {"tick", ++worker->tick},
                {"baton", worker->baton},
                {"reclaim_in_s", nullptr}};
    Json pieces = Json::array();
    {
      std::lock_guard lock(mutex_);
      for (auto& [key, piece] : worker->pieces) {
        if (piece.state == "running" && steady_now() > piece.until) {
          piece.state = "exited";
          done_[key.first.substr(0, key.first.rfind('/'))].insert(key.first);
        }
        Json item{{"piece", key.first}, {"try", key.second}, {"phase", piece.state}};
        if (piece.state == "exited") item["cause"] = "done";
        pieces.push_back(item);
      }
    }
    report["pieces"] = pieces;
    const wire::Answer answer = clients[node->first]->call("POST", "/v1/report", &report, 2000ms);
    if (answer.status == 200 && answer.body.at("baton") >= worker->baton) {
      worker->baton = answer.body.at("baton");
      std::lock_guard lock(mutex_);
      for (const Json& order : answer.body.at("orders")) execute(*worker, order);
    } else if (answer.status == 421 && controllers_.contains(answer.body.value("upstream", ""))) {
      node = controllers_.find(answer.body.value("upstream", ""));
      continue;
    } else if (++node == controllers_.end()) {
      node = controllers_.begin();
    }
    std::this_thread::sleep_for(200ms);
  }
}

void CloudStandIn::execute(Worker& worker, const Json& order) {
  const std::pair key{order.at("piece").get<std::string>(), order.at("try").get<std::uint64_t>()};
  if (order.at("verb") == "clear") {
    worker.pieces.erase(key);
  } else if (order.at("verb") == "stop") {
    if (worker.pieces.contains(key)) worker.pieces[key].state = "exited";
  } else if (!worker.pieces.contains(key)) {
    for (const auto& [name, other] : workers_) {
      for (const auto& [held, piece] : other->pieces) {
        if (!other->gone && held.first == key.first && piece.state != "exited") ++ran_twice_;
      }
    }
    const std::string job = key.first.substr(0, key.first.rfind('/'));
    for (const auto& [needed, tasks] : after_[job]) {
      if (static_cast<int>(done_[needed].size()) < tasks) ++too_early_;
    }
    const bool forever = forever_.contains(job);
    worker.pieces[key] = {"running", steady_now() + (forever ? 1e9 : 1)};
  }
}

}  // namespace reachramp::test
