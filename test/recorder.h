// A service on a port of its own that keeps what it was asked and answers what the test wants.
#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "bytes.h"
#include "ports.h"
#include "wire/http.h"

namespace reachramp::test {

struct Asked {
  std::string line;  // method, path and query
  wire::Json body;   // null: none
};

class Recorder {
 public:
  explicit Recorder(wire::Handler answer)
      : answer_(std::move(answer)),
        server_(
            at(), budget_, wire::ClientKind::user,
            [](const wire::Request&) { return wire::ClientKind::user; },
            [this](const wire::Request& request) { return serve(request); }) {}

  const wire::Address& at() const { return at_; }
  std::vector<Asked> asked() {
    const std::lock_guard lock(mutex_);
    return asked_;
  }

 private:
  wire::Response serve(const wire::Request& request) {
    {
      const std::lock_guard lock(mutex_);
      asked_.push_back(
          {request.method + " " + request.path + (request.query.empty() ? "" : "?") + request.query,
           request.body.empty() ? wire::Json() : wire::decode_map(request.body)});
    }
    return answer_(request);
  }

  wire::Handler answer_;
  std::mutex mutex_;
  std::vector<Asked> asked_;
  wire::ConnectionLimiter budget_{16};
  PortReservations ports_;
  const wire::Address at_{"127.0.0.1", ports_.reserve()};
  wire::Server server_;
};

}  // namespace reachramp::test
