// Reservation of loopback ports for tests.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <vector>

namespace reachramp::test {

// Holds each reserved port until the object is destroyed, by a socket that is bound but does not
// listen. Meanwhile the kernel gives the port neither to an outgoing connection nor to another
// reservation of any process. A server that sets SO_REUSEADDR can listen on the port, and can do so
// again after it was restarted.
class PortReservations {
 public:
  PortReservations() = default;
  ~PortReservations() {
    for (const int socket : sockets_) ::close(socket);
  }
  PortReservations(const PortReservations&) = delete;

  // Reserves a free port; aborts the program if there is none.
  std::uint16_t reserve() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0) std::abort();
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    // SO_REUSEADDR is set only after bind(): if it is set before, the kernel may choose a port that
    // another reservation holds.
    const int yes = 1;
    if (::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0) std::abort();
    sockets_.push_back(socket);
    return ntohs(address.sin_port);
  }

 private:
  std::vector<int> sockets_;
};

}  // namespace reachramp::test
