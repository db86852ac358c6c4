// Requests and responses byte for byte, with headers and MessagePack bodies.
#include <thread>

#include "port_reservations.h"
#include "recording_server.h"

namespace reachramp::wire {
namespace {

using namespace std::string_literals;

constexpr auto kTestTimeout = std::chrono::milliseconds(5000);

std::string read_bytes(Socket& socket, std::size_t size) {
  std::string bytes;
  char buffer[512];
  boost::beast::error_code error;
  while (bytes.size() < size) {
    const std::size_t n = socket.read_some(boost::asio::buffer(buffer), error);
    if (error || n == 0) break;
    bytes.append(buffer, n);
  }
  return bytes;
}

TEST(HttpBytes, ResponseIsSentAsLiteral) {
  test::RecordingServer server([](const Request&) -> Response {
    return {503, Json{{"a", 1u}}, 5};
  });
  boost::beast::error_code error;
  Socket user = Socket::connect(server.address(), kTestTimeout, error);
  ASSERT_FALSE(error);
  user.set_timeout(kTestTimeout);
  ASSERT_TRUE(user.send_all(
      "POST /x?y=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\x81\xa1"s + "a\x02"));
  const std::string expected =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/msgpack\r\n"
      "Retry-After: 5\r\nContent-Length: 4\r\n\r\n\x81\xa1"s +
      "a\x01";
  EXPECT_EQ(read_bytes(user, expected.size()), expected);
  ASSERT_EQ(server.requests().size(), 1u);
  EXPECT_EQ(server.requests()[0].request_line, "POST /x?y=1");
  EXPECT_TRUE(test::is_encoded_as(server.requests()[0].body, R"({"a":2})"));
}

TEST(HttpBytes, RequestIsSentAsLiteral) {
  test::PortReservations ports;
  const Address at{"127.0.0.1", ports.reserve()};
  Socket listener = Socket::listen(at);
  CallResult answer;
  std::thread user([&] {
    Client client(at, 0, kMaxBody_bytes);
    const Json body{{"a", 2u}};
    answer = client.call("POST", "/x?y=1", &body, kTestTimeout);
  });
  Socket server = listener.accept();
  server.set_timeout(kTestTimeout);
  const std::string expected =
      "POST /x?y=1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/msgpack\r\n"
      "Content-Length: 4\r\n\r\n\x81\xa1"s +
      "a\x02";
  EXPECT_EQ(read_bytes(server, expected.size()), expected);
  server.send_all(
      "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 5\r\nContent-Length: 4\r\n\r\n\x81\xa1"s +
      "a\x01");
  user.join();
  EXPECT_EQ(answer.status, 429);
  EXPECT_EQ(answer.retry_after_s, 5);
  EXPECT_TRUE(test::is_encoded_as(answer.body, R"({"a":1})"));
}

}  // namespace
}  // namespace reachramp::wire
