// A blocking TCP socket with a timeout on every operation. It models Beast's SyncReadStream, so
// that Beast's parsers read from it.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <chrono>
#include <string>

namespace reachramp::wire {

// An IPv4 address and a port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
};

// Parses text such as "10.0.0.1:8080". Throws std::invalid_argument for anything else.
Address parse_address(const std::string& text);

// Owns a file descriptor and closes it. Not safe to share between threads, except for shutdown().
class Socket {
 public:
  using Millis = std::chrono::milliseconds;

  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  // Connects within `timeout`, which is also the timeout of later reads and writes: a network that
  // is cut reports no error by itself.
  static Socket connect(const Address& address, Millis timeout, boost::beast::error_code& ec);
  // Binds the address and listens. Retries for a few seconds while the port is in use. Throws
  // std::system_error if it fails.
  static Socket listen(const Address& address);
  // Waits for a connection. The socket returned is not open if accepting failed.
  Socket accept() const;

  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  // Sets the timeout of each read and write.
  void set_timeout(Millis timeout);
  // Ends the connection in both directions, so that a thread blocked in an operation on it returns.
  // The descriptor stays open.
  void shutdown() const;

  // Reads at least one byte into the first buffer, and returns how many; see SyncReadStream.
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers, boost::beast::error_code& ec) {
    const boost::asio::mutable_buffer first = *boost::asio::buffer_sequence_begin(buffers);
    return receive(first.data(), first.size(), ec);
  }
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers) {
    boost::beast::error_code ec;
    const std::size_t n = read_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return n;
  }

  // Writes all bytes. Returns false if the connection fails or a write times out.
  bool send_all(const std::string& bytes);

 private:
  std::size_t receive(void* buffer, std::size_t size, boost::beast::error_code& ec);

  int fd_ = -1;
  Millis timeout_{-1};
};

}  // namespace reachramp::wire
