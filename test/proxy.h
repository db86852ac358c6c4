// Passes TCP connections on to a port of this machine, until it is cut: then it holds them, takes
// new ones and passes nothing on, as a network does that gives no errors. Mended, held connections
// go on.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "wire/socket.h"

namespace reachramp::test {

class Proxy {
 public:
  Proxy(std::uint16_t on, std::uint16_t to)
      : to_(to),
        listener_(wire::Socket::listen({"127.0.0.1", on})),
        acceptor_([this] { accept(); }) {}
  ~Proxy() {
    stopping_ = true;
    acceptor_.join();
    for (std::thread& pump : pumps_) pump.join();
  }
  Proxy(const Proxy&) = delete;

  void cut(bool cut) { cut_ = cut; }

 private:
  static constexpr int kTurn_ms = 20;

  static bool readable(int fd) {
    pollfd one{fd, POLLIN, 0};
    return ::poll(&one, 1, kTurn_ms) > 0;
  }

  void accept() {
    while (!stopping_) {
      if (!readable(listener_.fd())) continue;
      wire::Socket socket = listener_.accept();
      if (socket.is_open()) {
        pumps_.emplace_back([this, from = std::move(socket)]() mutable { pump(std::move(from)); });
      }
    }
  }

  // Each connection has a thread until it or the proxy ends.
  void pump(wire::Socket from) {
    boost::beast::error_code error;
    wire::Socket to;
    while (!stopping_) {
      if (cut_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(kTurn_ms));
        continue;
      }
      if (!to.is_open()) {
        to = wire::Socket::connect({"127.0.0.1", to_}, std::chrono::milliseconds(1000), error);
        if (!to.is_open()) return;
      }
      pollfd both[2] = {{from.fd(), POLLIN, 0}, {to.fd(), POLLIN, 0}};
      if (::poll(both, 2, kTurn_ms) <= 0 || cut_) continue;
      if (both[0].revents != 0 && !pass(from, to)) return;
      if (both[1].revents != 0 && !pass(to, from)) return;
    }
  }

  static bool pass(const wire::Socket& from, const wire::Socket& to) {
    char bytes[16384];
    const ssize_t got = ::recv(from.fd(), bytes, sizeof bytes, 0);
    ssize_t sent = 0;
    while (sent < got) {
      const ssize_t more = ::send(to.fd(), bytes + sent, got - sent, MSG_NOSIGNAL);
      if (more <= 0) return false;
      sent += more;
    }
    return got > 0;
  }

  const std::uint16_t to_;
  wire::Socket listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> cut_{false};
  std::vector<std::thread> pumps_;  // the acceptor's
  std::thread acceptor_;
};

}  // namespace reachramp::test
