#include "port_reservations.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>

#include "wire/socket.h"

namespace reachramp::test {
namespace {

// Whether a socket without SO_REUSEADDR can be bound to the port.
bool can_bind_alone(std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  ::close(socket);
  return bound;
}

// Without reservations a proxy of the same test could be reserved the port of a node. The node then
// could not listen, and the target of that proxy answered the users of the node.
TEST(Ports, AReservedPortIsFreeForOneServerAndForNobodyElse) {
  PortReservations ports;
  std::set<std::uint16_t> reserved;
  constexpr std::size_t kPorts = 300;
  for (std::size_t i = 0; i < kPorts; ++i) reserved.insert(ports.reserve());
  EXPECT_EQ(reserved.size(), kPorts);
  const std::uint16_t port = *reserved.begin();
  for (int round = 0; round < 2; ++round) {
    EXPECT_FALSE(can_bind_alone(port)) << "the port must be reserved while no server listens";
    const wire::Socket server = wire::Socket::listen({"127.0.0.1", port});
    boost::beast::error_code error;
    const wire::Socket user =
        wire::Socket::connect({"127.0.0.1", port}, std::chrono::milliseconds(1000), error);
    EXPECT_TRUE(user.is_open()) << error.message();
  }
}

}  // namespace
}  // namespace reachramp::test
