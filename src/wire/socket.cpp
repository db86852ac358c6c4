#include "wire/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/error.hpp>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

namespace reachramp::wire {

namespace {

// A process that starts just after its predecessor has ended may find the port still in use. If it
// is in use for longer than this, another program has it.
constexpr auto kBindRetryDuration = std::chrono::seconds(3);
constexpr auto kBindRetryInterval = std::chrono::milliseconds(20);

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &raw.sin_addr);
  return raw;
}

boost::beast::error_code last_error() { return {errno, boost::system::system_category()}; }

void set_no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Address parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("not host:port: " + text);
  Address address{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  in_addr parsed{};
  if (error != std::errc() || stop != end || address.port == 0 ||
      inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
    throw std::invalid_argument("not an IPv4 host:port: " + text);
  }
  return address;
}

Socket::Socket(Socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), timeout_(other.timeout_) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  std::swap(timeout_, other.timeout_);
  return *this;
}

Socket::~Socket() {
  if (fd_ >= 0) ::close(fd_);
}

Socket Socket::connect(const Address& address, Millis timeout, boost::beast::error_code& ec) {
  ec = {};
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!socket.is_open()) {
    ec = last_error();
    return {};
  }
  const sockaddr_in raw = to_sockaddr(address);
  if (::connect(socket.fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) {
    if (errno != EINPROGRESS) {
      ec = last_error();
      return {};
    }
    pollfd wait{socket.fd_, POLLOUT, 0};
    const int ready = ::poll(&wait, 1, static_cast<int>(timeout.count()));
    int error = ready == 0 ? ETIMEDOUT : 0;
    socklen_t size = sizeof error;
    if (ready > 0) getsockopt(socket.fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (ready < 0) error = errno;
    if (error != 0) {
      ec = {error, boost::system::system_category()};
      return {};
    }
  }
  fcntl(socket.fd_, F_SETFL, fcntl(socket.fd_, F_GETFL) & ~O_NONBLOCK);
  set_no_delay(socket.fd_);
  socket.set_timeout(timeout);
  return socket;
}

Socket Socket::listen(const Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int yes = 1;
  setsockopt(socket.fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in raw = to_sockaddr(address);
  const auto bind = [&] {
    return socket.is_open() &&
           ::bind(socket.fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0;
  };
  const auto deadline = std::chrono::steady_clock::now() + kBindRetryDuration;
  bool bound = bind();
  while (!bound && errno == EADDRINUSE && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kBindRetryInterval);
    bound = bind();
  }
  if (!bound || ::listen(socket.fd_, 128) != 0) {
    throw std::system_error(
        errno, std::generic_category(),
        "cannot listen on " + address.host + ":" + std::to_string(address.port));
  }
  return socket;
}

Socket Socket::accept() const {
  Socket socket(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
  if (socket.is_open()) set_no_delay(socket.fd_);
  return socket;
}

void Socket::set_timeout(Millis timeout) {
  if (timeout == timeout_) return;
  timeout_ = timeout;
  const timeval raw{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &raw, sizeof raw);
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &raw, sizeof raw);
}

void Socket::shutdown() const { ::shutdown(fd_, SHUT_RDWR); }

bool Socket::send_all(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::size_t Socket::receive(void* buffer, std::size_t size, boost::beast::error_code& ec) {
  ssize_t n;
  do {
    n = ::recv(fd_, buffer, size, 0);
  } while (n < 0 && errno == EINTR);
  if (n < 0) {
    ec = last_error();
    return 0;
  }
  ec = n == 0 && size > 0 ? boost::asio::error::eof : boost::beast::error_code{};
  return static_cast<std::size_t>(n);
}

}  // namespace reachramp::wire
