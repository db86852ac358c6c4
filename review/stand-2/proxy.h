// A TCP proxy on loopback that can fail as a network does. A connection from the client is joined
// with one to the target by two threads, one for each direction.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "wire/socket.h"

namespace reachramp::review {

class Proxy {
 public:
  Proxy(std::uint16_t listen_port, wire::Address target)
      : target_(std::move(target)),
        listener_(wire::Socket::listen({"127.0.0.1", listen_port})),
        accept_thread_([this] { accept_connections(); }) {}
  ~Proxy() {
    stopping_ = true;
    accept_thread_.join();
    for (std::thread& thread : threads_) thread.join();
  }
  Proxy(const Proxy&) = delete;

  // While held, nothing is forwarded in that direction; afterwards all of it is, in order.
  void hold_requests(bool hold) { hold_requests_ = hold; }
  void hold_responses(bool hold) { hold_responses_ = hold; }
  // While dropped, what arrives in that direction is lost and its connection is closed.
  void drop_responses(bool drop) { drop_responses_ = drop; }
  // Closes all connections that exist now.
  void reset() { ++generation_; }

 private:
  static constexpr int kPollInterval_ms = 10;

  void accept_connections() {
    while (!stopping_) {
      pollfd poll_fd{listener_.fd(), POLLIN, 0};
      if (::poll(&poll_fd, 1, kPollInterval_ms) <= 0) continue;
      auto client = std::make_shared<wire::Socket>(listener_.accept());
      if (!client->is_open()) continue;
      threads_.emplace_back([this, client] { serve(*client); });
    }
  }

  void serve(const wire::Socket& client) {
    const int generation = generation_;
    boost::beast::error_code error;
    wire::Socket target;
    const auto ended = [&] { return stopping_ || generation != generation_; };
    while (!ended()) {
      if (!target.is_open()) {
        if (hold_requests_) {
          ::poll(nullptr, 0, kPollInterval_ms);
          continue;
        }
        target = wire::Socket::connect(target_, std::chrono::milliseconds(1000), error);
        if (!target.is_open()) break;
      }
      const bool forwards_requests = !hold_requests_;
      const bool forwards_responses = !hold_responses_;
      pollfd fds[2] = {{client.fd(), static_cast<short>(forwards_requests ? POLLIN : 0), 0},
                       {target.fd(), static_cast<short>(forwards_responses ? POLLIN : 0), 0}};
      if (::poll(fds, 2, kPollInterval_ms) <= 0) continue;
      if (forwards_requests && fds[0].revents != 0 && !forward(client, target)) break;
      if (forwards_responses && fds[1].revents != 0) {
        if (drop_responses_ || !forward(target, client)) break;
      }
      if (!forwards_requests && !forwards_responses) ::poll(nullptr, 0, kPollInterval_ms);
    }
    client.shutdown();
    if (target.is_open()) target.shutdown();
  }

  static bool forward(const wire::Socket& from, const wire::Socket& to) {
    char bytes[16384];
    const ssize_t count = ::recv(from.fd(), bytes, sizeof bytes, 0);
    for (ssize_t sent = 0; sent < count;) {
      const ssize_t now = ::send(to.fd(), bytes + sent, count - sent, MSG_NOSIGNAL);
      if (now <= 0) return false;
      sent += now;
    }
    return count > 0;
  }

  const wire::Address target_;
  wire::Socket listener_;
  std::atomic<bool> stopping_{false}, hold_requests_{false}, hold_responses_{false},
      drop_responses_{false};
  std::atomic<int> generation_{0};
  std::list<std::thread> threads_;  // used by accept_thread_ and the destructor
  std::thread accept_thread_;
};

}  // namespace reachramp::review
