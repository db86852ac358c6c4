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

struct Reply {
  int status = 200;
  Json body = Json::object();
  int retry_after_s = 0;
};

using Handler = std::function<Reply(const Request&)>;

// Accepts connections and answers each on a thread of its own, within a budget that doors share.
class Server {
 public:
  // Who sends such a request.
  using Sender = std::function<ClientKind(const Request&)>;

  // `newcomers`: who comes to this door, as far as that is known before the first request.
  Server(const Address& on, ConnectionLimiter& budget, ClientKind newcomers, Sender sender,
         Handler handler);
  ~Server();

 private:
  void accept_loop();
  void serve(const ConnectionLimiter::Shared& connection);
  Reply answer(ConnectionLimiter::Connection& connection, const Request& request);

  ConnectionLimiter& budget_;
  ClientKind newcomers_;
  Sender sender_;
  Handler handler_;
  Socket listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> serving_{0};
  std::thread acceptor_;
};

// What became of a request. Without an answer, `sent` tells whether the other side may yet act.
struct Answer {
  bool answered = false;
  bool sent = false;
  int status = 0;
  Json body;
  int retry_after_s = 0;
};

// Keeps idle connections to one address for reuse; safe to share between threads.
class Client {
 public:
  using Millis = std::chrono::milliseconds;

  Client(Address to, std::size_t keep, std::size_t body_limit);

  Answer call(const char* method, const std::string& target, const Json* body, Millis limit);

 private:
  std::optional<Socket> idle();
  bool exchange(Socket& socket, const std::string& wire, const char* method, Answer& answer);

  Address to_;
  std::size_t keep_;
  std::size_t body_limit_;
  std::mutex mutex_;
  std::vector<Socket> idle_;
};

}  // namespace reachramp::wire
