#include "port_reservations.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>

#include "wire/socket.h"

namespace reachramp::test {
namespace {

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

// A node whose port went to a proxy of the same test could not listen, and what users asked it was
// answered by the proxy's target.
TEST(Ports, AReservedPortIsFreeForOneServerAndForNobodyElse) {
  PortReservations ports;
  std::set<std::uint16_t> given;
  constexpr std::size_t kPorts = 300;
  for (std::size_t i = 0; i < kPorts; ++i) given.insert(ports.reserve());
  EXPECT_EQ(given.size(), kPorts);
  const std::uint16_t port = *given.begin();
  for (int start = 0; start < 2; ++start) {
    EXPECT_FALSE(can_bind_alone(port)) << "held while no server listens";
    const wire::Socket server = wire::Socket::listen({"127.0.0.1", port});
    boost::beast::error_code error;
    const wire::Socket user =
        wire::Socket::connect({"127.0.0.1", port}, std::chrono::milliseconds(1000), error);
    EXPECT_TRUE(user.is_open()) << error.message();
  }
}

}  // namespace
}  // namespace reachramp::test
