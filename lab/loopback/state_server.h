// Serves the emulated key-value store over loopback, in real time.
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

// Serves each node on a port of its own, so that faults can be limited to one node.
//
// All functions may be called by any thread, except listen_for_node().
class StateServer {
 public:
  StateServer(const settings::StoreLimits& limits, std::uint64_t seed);
  ~StateServer();
  StateServer(const StateServer&) = delete;

  // Serves the node's requests on the port. Throws std::system_error if it can't listen there.
  void listen_for_node(const std::string& node, std::uint16_t port);

  // From now on answers every request for which the filter returns true with 503, without executing
  // it.
  void refuse_if(std::function<bool(const wire::Request&)> filter) {
    const std::lock_guard lock(mutex_);
    refuse_if_ = std::move(filter);
  }

  // Calls `use` with the emulated store while no other thread uses it, and returns its result.
  template <class Use>
  auto with_model(Use use) {
    const std::lock_guard lock(mutex_);
    struct NotifyAtExit {
      std::condition_variable& changed;
      ~NotifyAtExit() { changed.notify_one(); }
    } notify{changed_};
    return use(model_);
  }

  // The latest transactions and their results, a line each.
  std::vector<std::string> history() {
    const std::lock_guard lock(mutex_);
    return history_.lines();
  }

 private:
  wire::Response handle_request(const std::string& node, const wire::Request& request);
  // Body of clock_thread_: expires leases and answers watches at their times.
  void run_clock();
  // Hands the responses that are due by `now` to the threads that wait for them.
  void deliver_watch_replies(double now);

  static constexpr std::size_t kMaxStateConnections = 4000;
  // The history holds whole transactions with their values: some hundred bytes each as a rule, up
  // to the 64 KiB of a message.
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
