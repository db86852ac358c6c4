#include "loopback/state_server.h"

#include <fmt/format.h>

#include <algorithm>

#include "kv/steady_clock.h"

namespace reachramp::lab {

namespace {

using kv::steady_now;

// The clock thread wakes up at least this often.
constexpr double kMaxClockWait_s = 1;

}  // namespace

StateServer::StateServer(const settings::StoreLimits& limits, std::uint64_t seed)
    : model_(limits, seed), clock_thread_([this] { run_clock(); }) {}

StateServer::~StateServer() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    for (auto& [id, watch] : watch_promises_) watch.set_value({503, {{"error", "stopping"}}});
    watch_promises_.clear();
    changed_.notify_one();
  }
  clock_thread_.join();
  servers_.clear();
}

void StateServer::listen_for_node(const std::string& node, std::uint16_t port) {
  servers_.push_back(std::make_unique<wire::Server>(
      wire::Address{"127.0.0.1", port}, connection_limiter_, wire::ClientKind::user,
      [](const wire::Request&) { return wire::ClientKind::user; },
      [this, node](const wire::Request& request) { return handle_request(node, request); }));
}

wire::Response StateServer::handle_request(const std::string& node, const wire::Request& request) {
  std::future<wire::Response> watch_reply;
  {
    std::lock_guard lock(mutex_);
    if (stopping_) return {503, {{"error", "stopping"}}};
    if (refuse_if_ && refuse_if_(request)) return {503, {{"error", "refused"}}};
    const double now = steady_now();
    auto answer = model_.handle_request(node, request, now);
    if (auto* reply = std::get_if<wire::Response>(&answer)) {
      if (request.path == "/multi") {
        history_.record(now, node,
                        fmt::format("{} -> {} {}", wire::decode_map(request.body).dump(),
                                    reply->status, reply->body.dump()));
      }
      deliver_watch_replies(now);
      return std::move(*reply);
    }
    watch_reply = watch_promises_[std::get<StateService::PendingWatch>(answer).id].get_future();
    changed_.notify_one();
  }
  return watch_reply.get();
}

void StateServer::deliver_watch_replies(double now) {
  for (StateService::WatchReply& reply : model_.advance(now)) {
    const auto at = watch_promises_.find(reply.id);
    if (at == watch_promises_.end()) continue;
    at->second.set_value(std::move(reply.reply));
    watch_promises_.erase(at);
  }
}

void StateServer::run_clock() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    deliver_watch_replies(steady_now());
    const double wait = std::clamp(model_.next_event_at() - steady_now(), 0.001, kMaxClockWait_s);
    changed_.wait_for(lock, std::chrono::duration<double>(wait));
  }
}

}  // namespace reachramp::lab
