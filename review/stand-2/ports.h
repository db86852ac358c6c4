// Free loopback ports.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace reachramp::review {

// Reserves ports until the object is destroyed, each by a socket that is bound but does not listen.
// A server that sets SO_REUSEADDR can listen on such a port; nobody else gets it.
class Ports {
 public:
  Ports() = default;
  ~Ports() {
    for (const int socket : sockets_) ::close(socket);
  }
  Ports(const Ports&) = delete;

  std::uint16_t reserve() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (socket < 0 || ::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("no free port");
    }
    // Set after bind(), or the kernel might choose a port that another reservation holds.
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockets_.push_back(socket);
    return ntohs(address.sin_port);
  }

 private:
  std::vector<int> sockets_;
};

}  // namespace reachramp::review
