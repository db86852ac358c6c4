// HTTP/1.1 server and client over blocking sockets, with MessagePack bodies. Boost.Beast parses the
// messages. The server has one thread for each connection.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "wire/connection_limiter.h"
#include "wire/message.h"
#include "wire/socket.h"

namespace reachramp::wire {

// A request as the server's handler gets it.
struct Request {
  std::string method;
  std::string path;
  std::string query;  // after the `?`; empty if there is none
  std::string body;   // undecoded
};

// A response as the server's handler returns it.
struct Response {
  int status = 200;
  Json body = Json::object();
  int retry_after_s = 0;  // 0: no such header
};

// Answers a request. It is called on many threads at once. For BadMessage the server responds with
// 400, for other exceptions with 503.
using Handler = std::function<Response(const Request&)>;

// Listens on one address and answers requests, as far as a ConnectionLimiter allows that all
// servers of the process share.
class Server {
 public:
  // Returns which kind of client sends such a request.
  using ClientClassifier = std::function<ClientKind(const Request&)>;

  // `initial_kind`: the kind that a connection counts as before its first request. Throws
  // std::system_error if it cannot listen.
  Server(const Address& address, ConnectionLimiter& limiter, ClientKind initial_kind,
         ClientClassifier classify_client, Handler handler);
  // Ends all connections and waits for their threads.
  ~Server();

 private:
  // Accepts connections until the destructor is called; on accept_thread_.
  void accept_loop();
  void serve_connection(const ConnectionLimiter::ConnectionPtr& connection);
  // Calls the handler, or responds with 503 if too many requests of this kind are being answered.
  Response respond(ConnectionLimiter::Connection& connection, const Request& request);

  ConnectionLimiter& limiter_;
  ClientKind initial_kind_;
  ClientClassifier classify_client_;
  Handler handler_;
  Socket listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> active_connections_{0};
  std::thread accept_thread_;
};

// The outcome of a client's request.
struct CallResult {
  bool received_response = false;
  // Without a response: whether the server may execute the request nevertheless.
  bool may_have_been_sent = false;
  int status = 0;         // 0 without a response
  Json body;              // null if the response has a body that is not a message
  int retry_after_s = 0;  // 0: no such header
};

// Sends requests to one address and keeps idle connections for reuse. Safe to share between
// threads.
class Client {
 public:
  using Millis = std::chrono::milliseconds;

  // `max_idle`: how many idle connections it keeps. `max_body_bytes`: of a response.
  Client(Address address, std::size_t max_idle, std::size_t max_body_bytes);

  // Sends a request, with `body` if it is not null, and waits for the response. Connecting, each
  // write and each read may take `timeout`. Repeats the request on a new connection if an idle
  // one fails within half of `timeout`, so requests must be safe to repeat. Does not throw for what
  // the server does.
  CallResult call(const char* method, const std::string& target, const Json* body, Millis timeout);

 private:
  std::optional<Socket> take_idle();
  // Sends the request on `socket` and reads the response; returns false if there is none.
  bool exchange(Socket& socket, const std::string& request_bytes, const char* method,
                CallResult& result);

  Address address_;
  std::size_t max_idle_;
  std::size_t max_body_bytes_;
  std::mutex mutex_;
  std::vector<Socket> idle_sockets_;
};

}  // namespace reachramp::wire
