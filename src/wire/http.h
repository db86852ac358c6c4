// HTTP/1.1 over blocking sockets. Boost.Beast parses; one thread serves one connection.
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

struct Request {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
};

struct Response {
  int status = 200;
  Json body = Json::object();
  int retry_after_s = 0;
};

using Handler = std::function<Response(const Request&)>;

// Accepts connections and answers each on a thread of its own, within a budget that doors share.
class Server {
 public:
  // Who sends such a request.
  using ClientClassifier = std::function<ClientKind(const Request&)>;

  // `newcomers`: who comes to this door, as far as that is known before the first request.
  Server(const Address& address, ConnectionLimiter& limiter, ClientKind initial_kind,
         ClientClassifier classify_client, Handler handler);
  ~Server();

 private:
  void accept_loop();
  void serve_connection(const ConnectionLimiter::ConnectionPtr& connection);
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

// What became of a request. Without an answer, `sent` tells whether the other side may yet act.
struct CallResult {
  bool received_response = false;
  bool may_have_been_sent = false;
  int status = 0;
  Json body;
  int retry_after_s = 0;
};

// Keeps idle connections to one address for reuse; safe to share between threads.
class Client {
 public:
  using Millis = std::chrono::milliseconds;

  Client(Address address, std::size_t max_idle, std::size_t max_body_bytes);

  CallResult call(const char* method, const std::string& target, const Json* body, Millis timeout);

 private:
  std::optional<Socket> take_idle();
  bool exchange(Socket& socket, const std::string& request_bytes, const char* method,
                CallResult& result);

  Address address_;
  std::size_t max_idle_;
  std::size_t max_body_bytes_;
  std::mutex mutex_;
  std::vector<Socket> idle_sockets_;
};

}  // namespace reachramp::wire
