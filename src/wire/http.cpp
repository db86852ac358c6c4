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

// The server closes a connection on which a read or a write makes no progress for this long.
constexpr auto kIdleTimeout = std::chrono::seconds(75);
constexpr std::uint32_t kMaxHeader_bytes = 8 * 1024;
using Buffer = boost::beast::flat_static_buffer<4096>;

template <bool IsRequest, class Body, class Fields>
std::string to_bytes(const http::message<IsRequest, Body, Fields>& message) {
  std::ostringstream out;
  out << message;
  return std::move(out).str();
}

std::string encode_http_response(const Response& response, unsigned version, bool keep_alive) {
  http::response<http::string_body> message(static_cast<http::status>(response.status), version);
  message.set(http::field::content_type, "application/msgpack");
  if (response.retry_after_s > 0) {
    message.set(http::field::retry_after, std::to_string(response.retry_after_s));
  }
  message.keep_alive(keep_alive);
  message.body() = encode(response.body);
  message.prepare_payload();
  return to_bytes(message);
}

}  // namespace

Server::Server(const Address& address, ConnectionLimiter& limiter, ClientKind initial_kind,
               ClientClassifier classify_client, Handler handler)
    : limiter_(limiter),
      initial_kind_(initial_kind),
      classify_client_(std::move(classify_client)),
      handler_(std::move(handler)),
      listener_(Socket::listen(address)) {
  accept_thread_ = std::thread([this] { accept_loop(); });
}

Server::~Server() {
  stopping_ = true;
  listener_.shutdown();
  accept_thread_.join();
  limiter_.close_all(this);
  while (active_connections_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void Server::accept_loop() {
  while (!stopping_) {
    auto connection = std::make_shared<ConnectionLimiter::Connection>();
    connection->socket = listener_.accept();
    if (stopping_) return;
    if (!connection->socket.is_open()) {
      // Most likely no descriptor is left. Frees one and pauses, so that this loop does not repeat
      // the same failure at full speed.
      limiter_.close_one_for(initial_kind_);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    connection->socket.set_timeout(kIdleTimeout);
    connection->server = this;
    connection->status.kind = initial_kind_;
    ++active_connections_;
    const bool admitted = limiter_.admit(connection, [this, connection] {
      serve_connection(connection);
      --active_connections_;
    });
    if (!admitted) --active_connections_;  // the connection's destructor closes it
  }
}

Response Server::respond(ConnectionLimiter::Connection& connection, const Request& request) {
  if (!limiter_.begin_request(connection, classify_client_(request)))
    return {503, {{"error", "busy"}}, 1};
  try {
    return handler_(request);
  } catch (const BadMessage& error) {
    return {400, {{"error", error.what()}}};
  } catch (const std::exception& error) {
    spdlog::error("request {} {} failed: {}", request.method, request.path, error.what());
    return {503, {{"error", "internal"}}, 1};
  }
}

void Server::serve_connection(const ConnectionLimiter::ConnectionPtr& connection) {
  Socket& socket = connection->socket;
  Buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBody_bytes);
    parser.header_limit(kMaxHeader_bytes);
    error_code ec;
    http::read(socket, buffer, parser, ec);
    if (ec) {
      const bool malformed =
          ec.category() == http::make_error_code(http::error::bad_method).category();
      if (malformed && ec != http::error::end_of_stream && ec != http::error::partial_message) {
        socket.send_all(encode_http_response(Response{400, {{"error", ec.message()}}}, 11, false));
      }
      socket.shutdown();
      return;
    }
    auto& message = parser.get();
    const bool keep_alive = message.keep_alive();
    const unsigned version = message.version();
    const std::string target(message.target());
    const auto query_start = target.find('?');
    const Request request{std::string(message.method_string()), target.substr(0, query_start),
                          query_start == std::string::npos ? "" : target.substr(query_start + 1),
                          std::move(message.body())};
    const Response response = respond(*connection, request);
    const bool sent = socket.send_all(encode_http_response(response, version, keep_alive));
    limiter_.end_request(*connection);
    if (!sent || !keep_alive || stopping_) {
      socket.shutdown();
      return;
    }
  }
}

Client::Client(Address address, std::size_t max_idle, std::size_t max_body_bytes)
    : address_(std::move(address)), max_idle_(max_idle), max_body_bytes_(max_body_bytes) {}

std::optional<Socket> Client::take_idle() {
  std::lock_guard lock(mutex_);
  if (idle_sockets_.empty()) return std::nullopt;
  Socket socket = std::move(idle_sockets_.back());
  idle_sockets_.pop_back();
  return socket;
}

CallResult Client::call(const char* method, const std::string& target, const Json* body,
                        Millis timeout) {
  http::request<http::string_body> request(http::string_to_verb(method), target, 11);
  request.set(http::field::host, address_.host);
  if (body != nullptr) {
    request.set(http::field::content_type, "application/msgpack");
    request.body() = encode(*body);
  }
  request.prepare_payload();
  const std::string request_bytes = to_bytes(request);
  const auto start = std::chrono::steady_clock::now();

  CallResult result;
  if (auto socket = take_idle()) {
    socket->set_timeout(timeout);
    if (exchange(*socket, request_bytes, method, result)) return result;
    // The server may have closed the idle connection meanwhile. A quick failure therefore says
    // nothing about the request, and the request is repeated. A server that stays silent is a real
    // failure. Every request of this program is safe to repeat: it is conditional, has a name by
    // which a repetition is recognized, or only reads.
    if (std::chrono::steady_clock::now() - start > timeout / 2) return result;
  }
  error_code ec;
  Socket socket = Socket::connect(address_, timeout, ec);
  if (ec) return result;
  exchange(socket, request_bytes, method, result);
  return result;
}

bool Client::exchange(Socket& socket, const std::string& request_bytes, const char* method,
                      CallResult& result) {
  result.may_have_been_sent = true;
  if (!socket.send_all(request_bytes)) return false;
  Buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(max_body_bytes_);
  parser.header_limit(kMaxHeader_bytes);
  parser.skip(std::string_view(method) == "HEAD");
  error_code ec;
  http::read(socket, buffer, parser, ec);
  if (ec) return false;
  const auto& message = parser.get();
  result.received_response = true;
  result.status = static_cast<int>(message.result_int());
  const auto retry_after_text = message[http::field::retry_after];
  if (!retry_after_text.empty())
    result.retry_after_s = std::atoi(std::string(retry_after_text).c_str());
  result.body = Json::object();
  if (!message.body().empty()) {
    try {
      result.body = decode_map(message.body());
    } catch (const BadMessage&) {
      spdlog::info("{}:{} responded with status {} and a malformed body", address_.host,
                   address_.port, result.status);
      result.body = Json();
    }
  }
  if (message.keep_alive()) {
    std::lock_guard lock(mutex_);
    if (idle_sockets_.size() < max_idle_) idle_sockets_.push_back(std::move(socket));
  }
  return true;
}

}  // namespace reachramp::wire
