#include "wire/http.h"

#include <spdlog/spdlog.h>

#include <boost/beast/core/flat_static_buffer.hpp>
#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http.hpp>
#include <sstream>

namespace reachramp::wire {

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace {

constexpr auto kIdleLimit = std::chrono::seconds(75);
constexpr std::uint32_t kHeaderLimit = 8 * 1024;
using Buffer = boost::beast::flat_static_buffer<4096>;

template <bool IsRequest, class Body, class Fields>
std::string to_bytes(const http::message<IsRequest, Body, Fields>& message) {
  std::ostringstream out;
  out << message;
  return std::move(out).str();
}

std::string reply_bytes(const Reply& reply, unsigned version, bool keep) {
  http::response<http::string_body> response(static_cast<http::status>(reply.status), version);
  response.set(http::field::content_type, "application/msgpack");
  if (reply.retry_after_s > 0) {
    response.set(http::field::retry_after, std::to_string(reply.retry_after_s));
  }
  response.keep_alive(keep);
  response.body() = encode(reply.body);
  response.prepare_payload();
  return to_bytes(response);
}

}  // namespace

Server::Server(const Address& on, ConnectionLimiter& budget, ClientKind newcomers, Sender sender,
               Handler handler)
    : budget_(budget),
      newcomers_(newcomers),
      sender_(std::move(sender)),
      handler_(std::move(handler)),
      listener_(Socket::listen(on)) {
  acceptor_ = std::thread([this] { accept_loop(); });
}

Server::~Server() {
  stopping_ = true;
  listener_.shut();
  acceptor_.join();
  budget_.close_all(this);
  while (serving_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void Server::accept_loop() {
  while (!stopping_) {
    auto connection = std::make_shared<ConnectionLimiter::Connection>();
    connection->socket = listener_.accept();
    if (stopping_) return;
    if (!connection->socket.is_open()) {
      // Out of sockets, most likely: free one rather than spin on the same failure.
      budget_.make_room(newcomers_);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    connection->socket.set_limit(kIdleLimit);
    connection->door = this;
    connection->held.party = newcomers_;
    ++serving_;
    const bool admitted = budget_.admit(connection, [this, connection] {
      serve(connection);
      --serving_;
    });
    if (!admitted) --serving_;  // and it is closed
  }
}

Reply Server::answer(ConnectionLimiter::Connection& connection, const Request& request) {
  if (!budget_.begin(connection, sender_(request))) return {503, {{"error", "busy"}}, 1};
  try {
    return handler_(request);
  } catch (const BadMessage& bad) {
    return {400, {{"error", bad.what()}}};
  } catch (const std::exception& error) {
    spdlog::error("{} {}: {}", request.method, request.path, error.what());
    return {503, {{"error", "internal"}}, 1};
  }
}

void Server::serve(const ConnectionLimiter::Shared& connection) {
  Socket& socket = connection->socket;
  Buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    parser.header_limit(kHeaderLimit);
    error_code ec;
    http::read(socket, buffer, parser, ec);
    if (ec) {
      const bool theirs =
          ec.category() == http::make_error_code(http::error::bad_method).category();
      if (theirs && ec != http::error::end_of_stream && ec != http::error::partial_message) {
        socket.send_all(reply_bytes(Reply{400, {{"error", ec.message()}}}, 11, false));
      }
      socket.shut();
      return;
    }
    auto& message = parser.get();
    const bool keep = message.keep_alive();
    const unsigned version = message.version();
    const std::string target(message.target());
    const auto mark = target.find('?');
    const Request request{std::string(message.method_string()), target.substr(0, mark),
                          mark == std::string::npos ? "" : target.substr(mark + 1),
                          std::move(message.body())};
    const Reply reply = answer(*connection, request);
    const bool sent = socket.send_all(reply_bytes(reply, version, keep));
    budget_.end(*connection);
    if (!sent || !keep || stopping_) {
      socket.shut();
      return;
    }
  }
}

Client::Client(Address to, std::size_t keep, std::size_t body_limit)
    : to_(std::move(to)), keep_(keep), body_limit_(body_limit) {}

std::optional<Socket> Client::idle() {
  std::lock_guard lock(mutex_);
  if (idle_.empty()) return std::nullopt;
  Socket socket = std::move(idle_.back());
  idle_.pop_back();
  return socket;
}

Answer Client::call(const char* method, const std::string& target, const Json* body, Millis limit) {
  http::request<http::string_body> request(http::string_to_verb(method), target, 11);
  request.set(http::field::host, to_.host);
  if (body != nullptr) {
    request.set(http::field::content_type, "application/msgpack");
    request.body() = encode(*body);
  }
  request.prepare_payload();
  const std::string wire = to_bytes(request);
  const auto start = std::chrono::steady_clock::now();

  Answer answer;
  if (auto socket = idle()) {
    socket->set_limit(limit);
    if (exchange(*socket, wire, method, answer)) return answer;
    // A kept connection that the other side closed meanwhile says nothing about the request; one
    // that stayed silent for the whole limit does. Every request here is safe to repeat: it is
    // conditional, named, or a read.
    if (std::chrono::steady_clock::now() - start > limit / 2) return answer;
  }
  error_code ec;
  Socket socket = Socket::connect(to_, limit, ec);
  if (ec) return answer;
  exchange(socket, wire, method, answer);
  return answer;
}

bool Client::exchange(Socket& socket, const std::string& wire, const char* method, Answer& answer) {
  answer.sent = true;
  if (!socket.send_all(wire)) return false;
  Buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(body_limit_);
  parser.header_limit(kHeaderLimit);
  parser.skip(std::string_view(method) == "HEAD");
  error_code ec;
  http::read(socket, buffer, parser, ec);
  if (ec) return false;
  const auto& message = parser.get();
  answer.answered = true;
  answer.status = static_cast<int>(message.result_int());
  const auto retry = message[http::field::retry_after];
  if (!retry.empty()) answer.retry_after_s = std::atoi(std::string(retry).c_str());
  answer.body = Json::object();
  if (!message.body().empty()) {
    try {
      answer.body = decode_map(message.body());
    } catch (const BadMessage&) {
      spdlog::info("{}:{} answered {} with a body that is no message", to_.host, to_.port,
                   answer.status);
      answer.body = Json();
    }
  }
  if (message.keep_alive()) {
    std::lock_guard lock(mutex_);
    if (idle_.size() < keep_) idle_.push_back(std::move(socket));
  }
  return true;
}

}  // namespace reachramp::wire
