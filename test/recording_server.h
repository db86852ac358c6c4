// An HTTP server for tests of clients. It listens on a loopback port of its own, records every
// request and responds with the test's handler.
#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "encoding_assertions.h"
#include "port_reservations.h"
#include "wire/http.h"

namespace reachramp::test {

// A request as the server received it.
struct RecordedRequest {
  std::string request_line;  // method, path and query
  wire::Json body;           // null if the request has none
};

// The server runs from construction to destruction. All functions may be called from any thread.
class RecordingServer {
 public:
  // `handler` makes the response to every request.
  explicit RecordingServer(wire::Handler handler)
      : handler_(std::move(handler)),
        server_(
            address(), connection_limiter_, wire::ClientKind::user,
            [](const wire::Request&) { return wire::ClientKind::user; },
            [this](const wire::Request& request) { return serve(request); }) {}

  // The address that the server listens on.
  const wire::Address& address() const { return address_; }
  // All requests so far, in the order of their arrival.
  std::vector<RecordedRequest> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  wire::Response serve(const wire::Request& request) {
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(
          {request.method + " " + request.path + (request.query.empty() ? "" : "?") + request.query,
           request.body.empty() ? wire::Json() : wire::decode_map(request.body)});
    }
    return handler_(request);
  }

  wire::Handler handler_;
  std::mutex mutex_;
  std::vector<RecordedRequest> requests_;
  wire::ConnectionLimiter connection_limiter_{16};
  PortReservations ports_;
  const wire::Address address_{"127.0.0.1", ports_.reserve()};
  wire::Server server_;
};

}  // namespace reachramp::test
