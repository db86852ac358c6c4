// A blocking TCP socket with a limit on every wait, shaped as a Beast stream.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <chrono>
#include <string>

namespace reachramp::wire {

struct Address {
  std::string host;
  std::uint16_t port = 0;
};

// "10.0.0.1:8080"; throws std::invalid_argument for anything else.
Address parse_address(const std::string& text);

class Socket {
 public:
  using Millis = std::chrono::milliseconds;

  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  // A cut network gives no error: connecting, sending and receiving all end after `limit`.
  static Socket connect(const Address& address, Millis timeout, boost::beast::error_code& ec);
  static Socket listen(const Address& address);
  Socket accept() const;

  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void set_timeout(Millis timeout);
  void shutdown() const;

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

  bool send_all(const std::string& bytes);

 private:
  std::size_t receive(void* buffer, std::size_t size, boost::beast::error_code& ec);

  int fd_ = -1;
  Millis timeout_{-1};
};

}  // namespace reachramp::wire
