// A TCP proxy on loopback that emulates a network which fails without errors. While it is blocked
// it keeps its connections and accepts new ones but forwards nothing; afterwards the connections
// continue. It can also hold back responses alone, and replay earlier requests, as a network does
// that delivers duplicates late.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wire/socket.h"

namespace reachramp::test {

// The proxy runs from construction to destruction.
class TcpProxy {
 public:
  // Listens on `listen_port` and connects to `target_port`, both on loopback.
  TcpProxy(std::uint16_t listen_port, std::uint16_t target_port)
      : target_port_(target_port),
        listener_(wire::Socket::listen({"127.0.0.1", listen_port})),
        accept_thread_([this] { accept_connections(); }) {}
  ~TcpProxy() {
    stopping_ = true;
    accept_thread_.join();
    for (std::thread& thread : connection_threads_) thread.join();
  }
  TcpProxy(const TcpProxy&) = delete;

  // Stops or resumes forwarding in both directions.
  void set_blocked(bool blocked) { blocked_ = blocked; }
  // While `hold` is true, requests are forwarded and responses are held back.
  void set_hold_responses(bool hold) { hold_responses_ = hold; }
  // Sends copies of the recent requests to the target, oldest first, each on a new connection whose
  // response nobody reads.
  void replay_requests() {
    std::vector<std::string> copies;
    {
      const std::lock_guard lock(mutex_);
      copies.assign(recent_requests_.begin(), recent_requests_.end());
    }
    for (const std::string& copy : copies) {
      boost::beast::error_code error;
      const wire::Socket target = wire::Socket::connect({"127.0.0.1", target_port_},
                                                        std::chrono::milliseconds(1000), error);
      if (target.is_open()) send(target, copy.data(), copy.size());
    }
  }

 private:
  static constexpr int kPollInterval_ms = 20;
  static constexpr std::size_t kMaxStoredRequests = 200;

  static bool is_readable(int fd) {
    pollfd poll_fd{fd, POLLIN, 0};
    return ::poll(&poll_fd, 1, kPollInterval_ms) > 0;
  }

  void accept_connections() {
    while (!stopping_) {
      if (!is_readable(listener_.fd())) continue;
      wire::Socket socket = listener_.accept();
      if (socket.is_open()) {
        connection_threads_.emplace_back([this, client = std::move(socket)]() mutable {
          forward_connection(std::move(client));
        });
      }
    }
  }

  // Forwards a connection until it ends or the proxy stops. Each connection has a thread of its
  // own.
  void forward_connection(wire::Socket client) {
    boost::beast::error_code error;
    wire::Socket target;
    while (!stopping_) {
      if (blocked_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(kPollInterval_ms));
        continue;
      }
      if (!target.is_open()) {
        target = wire::Socket::connect({"127.0.0.1", target_port_}, std::chrono::milliseconds(1000),
                                       error);
        if (!target.is_open()) return;
      }
      const bool forwards_responses = !hold_responses_;
      pollfd poll_fds[2] = {{client.fd(), POLLIN, 0},
                            {target.fd(), static_cast<short>(forwards_responses ? POLLIN : 0), 0}};
      if (::poll(poll_fds, 2, kPollInterval_ms) <= 0 || blocked_) continue;
      if (poll_fds[0].revents != 0 && !forward_once(client, target, true)) return;
      if (forwards_responses && poll_fds[1].revents != 0 && !forward_once(target, client, false))
        return;
    }
  }

  static bool send(const wire::Socket& to, const char* bytes, std::size_t count) {
    for (std::size_t sent = 0; sent < count;) {
      const ssize_t sent_now = ::send(to.fd(), bytes + sent, count - sent, MSG_NOSIGNAL);
      if (sent_now <= 0) return false;
      sent += static_cast<std::size_t>(sent_now);
    }
    return true;
  }

  // Forwards the bytes of one read; false once the connection has ended. Each read from a client is
  // stored as one request: a request that arrives in several reads is replayed in pieces, which the
  // target refuses.
  bool forward_once(const wire::Socket& from, const wire::Socket& to, bool is_request) {
    char bytes[16384];
    const ssize_t received_size = ::recv(from.fd(), bytes, sizeof bytes, 0);
    if (received_size <= 0) return false;
    if (is_request) {
      const std::lock_guard lock(mutex_);
      recent_requests_.emplace_back(bytes, static_cast<std::size_t>(received_size));
      if (recent_requests_.size() > kMaxStoredRequests) recent_requests_.pop_front();
    }
    return send(to, bytes, static_cast<std::size_t>(received_size));
  }

  const std::uint16_t target_port_;
  wire::Socket listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> blocked_{false};
  std::atomic<bool> hold_responses_{false};
  std::mutex mutex_;
  std::deque<std::string> recent_requests_;
  std::vector<std::thread> connection_threads_;  // written only by accept_thread_
  std::thread accept_thread_;
};

}  // namespace reachramp::test
