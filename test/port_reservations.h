// Ports of this machine for tests that talk over loopback.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <vector>

namespace reachramp::test {

// Holds each port it gave for as long as it lives, by a socket that is bound and does not listen.
// The kernel then gives the port to no outgoing connection and to no other reservation, in whatever
// process; a server that sets SO_REUSEADDR can still listen on it, also again after it ended.
class PortReservations {
 public:
  PortReservations() = default;
  ~PortReservations() {
    for (const int socket : sockets_) ::close(socket);
  }
  PortReservations(const PortReservations&) = delete;

  std::uint16_t reserve() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0) std::abort();
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    // Only now: a socket that shares its port from the start may be given one that is held.
    const int yes = 1;
    if (::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0) std::abort();
    sockets_.push_back(socket);
    return ntohs(address.sin_port);
  }

 private:
  std::vector<int> sockets_;
};

}  // namespace reachramp::test
