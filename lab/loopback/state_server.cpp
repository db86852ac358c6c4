#include "loopback/state_server.h"

#include <fmt/format.h>

#include <algorithm>

#include "kv/steady_clock.h"

namespace reachramp::lab {

namespace {

using kv::steady_now;

constexpr double kLookAtLeast_s = 1;

}  // namespace

StateServer::StateServer(const settings::StoreLimits& limits, std::uint64_t seed)
    : model_(limits, seed), clock_([this] { keep_time(); }) {}

StateServer::~StateServer() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    for (auto& [id, watch] : watches_) watch.set_value({503, {{"error", "stopping"}}});
    watches_.clear();
    changed_.notify_one();
  }
  clock_.join();
  doors_.clear();
}

void StateServer::open(const std::string& node, std::uint16_t port) {
  doors_.push_back(std::make_unique<wire::Server>(
      wire::Address{"127.0.0.1", port}, budget_, wire::ClientKind::user,
      [](const wire::Request&) { return wire::ClientKind::user; },
      [this, node](const wire::Request& request) { return serve(node, request); }));
}

wire::Response StateServer::serve(const std::string& node, const wire::Request& request) {
  std::future<wire::Response> told;
  {
    std::lock_guard lock(mutex_);
    if (stopping_) return {503, {{"error", "stopping"}}};
    if (refuse_if_ && refuse_if_(request)) return {503, {{"error", "refused"}}};
    const double now = steady_now();
    auto answer = model_.ask(node, request, now);
    if (auto* reply = std::get_if<wire::Response>(&answer)) {
      if (request.path == "/multi") {
        history_.note(now, node,
                      fmt::format("{} -> {} {}", wire::decode_map(request.body).dump(),
                                  reply->status, reply->body.dump()));
      }
      tell(now);
      return std::move(*reply);
    }
    told = watches_[std::get<StateService::Watching>(answer).id].get_future();
    changed_.notify_one();
  }
  return told.get();
}

void StateServer::tell(double now) {
  for (StateService::Told& one : model_.pass(now)) {
    const auto at = watches_.find(one.id);
    if (at == watches_.end()) continue;
    at->second.set_value(std::move(one.reply));
    watches_.erase(at);
  }
}

void StateServer::keep_time() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    tell(steady_now());
    const double wait = std::clamp(model_.due() - steady_now(), 0.001, kLookAtLeast_s);
    changed_.wait_for(lock, std::chrono::duration<double>(wait));
  }
}

}  // namespace reachramp::lab
