// Passes TCP connections on to a port of this machine, until it is cut: then it holds them, takes
// new ones and passes nothing on, as a network does that gives no errors. Mended, held connections
// go on. It can hold the answers alone, and send again what has come through it, as a network does
// that delivers copies late.
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

class TcpProxy {
 public:
  TcpProxy(std::uint16_t listen_port, std::uint16_t target_port)
      : target_port_(target_port),
        listener_(wire::Socket::listen({"127.0.0.1", listen_port})),
        accept_thread_([this] { accept_connections(); }) {}
  ~TcpProxy() {
    stopping_ = true;
    accept_thread_.join();
    for (std::thread& pump : connection_threads_) pump.join();
  }
  TcpProxy(const TcpProxy&) = delete;

  void set_blocked(bool blocked) { blocked_ = blocked; }
  // Requests go on, answers are held.
  void set_hold_responses(bool hold) { hold_responses_ = hold; }
  // Copies of the newest requests that came through, the oldest first, each on a connection of its
  // own whose answer nobody takes.
  void replay_requests() {
    std::vector<std::string> copies;
    {
      const std::lock_guard lock(mutex_);
      copies.assign(recent_requests_.begin(), recent_requests_.end());
    }
    for (const std::string& copy : copies) {
      boost::beast::error_code error;
      const wire::Socket to = wire::Socket::connect({"127.0.0.1", target_port_},
                                                    std::chrono::milliseconds(1000), error);
      if (to.is_open()) send(to, copy.data(), copy.size());
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
        connection_threads_.emplace_back(
            [this, from = std::move(socket)]() mutable { forward_connection(std::move(from)); });
      }
    }
  }

  // Each connection has a thread until it or the proxy ends.
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

  // A request that does not come in one piece is no request in what is kept, and is refused.
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
  std::vector<std::thread> connection_threads_;  // the acceptor's
  std::thread accept_thread_;
};

}  // namespace reachramp::test
