// The key-value store's model behind loopback ports: one door for each node, so that troubles can
// be one node's own.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "checker/event_history.h"
#include "model/state_service.h"
#include "wire/http.h"

namespace reachramp::lab {

class StateServer {
 public:
  StateServer(const settings::StoreLimits& limits, std::uint64_t seed);
  ~StateServer();
  StateServer(const StateServer&) = delete;

  // Throws std::system_error if the port cannot be had.
  void listen_for_node(const std::string& node, std::uint16_t port);

  // From now on what the filter names is not carried out and gets 503, whoever asks.
  void refuse_if(std::function<bool(const wire::Request&)> filter) {
    const std::lock_guard lock(mutex_);
    refuse_if_ = std::move(filter);
  }

  // Something done to the model, or asked of it, while nothing else is.
  template <class Use>
  auto with_model(Use use) {
    const std::lock_guard lock(mutex_);
    struct Woken {
      std::condition_variable& changed;
      ~Woken() { changed.notify_one(); }
    } woken{changed_};
    return use(model_);
  }

  // All transactions, with what came of them.
  std::vector<std::string> history() {
    const std::lock_guard lock(mutex_);
    return history_.lines();
  }

 private:
  wire::Response handle_request(const std::string& node, const wire::Request& request);
  void run_clock();
  void deliver_watch_replies(double now);

  static constexpr std::size_t kMaxStateConnections = 4000;
  // With their values, each up to the 64 KiB of a message, usually some hundred bytes.
  static constexpr std::size_t kMaxRecordedTransactions = 10'000;

  std::mutex mutex_;
  std::condition_variable changed_;
  StateService model_;
  EventHistory history_{kMaxRecordedTransactions};
  std::function<bool(const wire::Request&)> refuse_if_;
  std::map<std::uint64_t, std::promise<wire::Response>> watch_promises_;
  bool stopping_ = false;
  wire::ConnectionLimiter connection_limiter_{kMaxStateConnections};
  std::vector<std::unique_ptr<wire::Server>> servers_;
  std::thread clock_thread_;
};

}  // namespace reachramp::lab
