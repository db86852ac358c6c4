#include "controller/machine_prober.h"

#include <spdlog/spdlog.h>

namespace reachramp::controller {

namespace {

constexpr auto kProbeCallTimeout = std::chrono::milliseconds(1000);

}  // namespace

void MachineProber::run() {
  for (;;) {
    for (const ProbeRequest& request : requests_.take(std::chrono::hours(1))) {
      if (election_.status().fencing_token != request.fencing_token) continue;
      try {
        probe(request);
      } catch (const std::exception& error) {
        spdlog::info("call to worker at {} failed: {}", request.address, error.what());
      }
    }
  }
}

void MachineProber::probe(const ProbeRequest& request) {
  wire::Client worker(wire::parse_address(request.address), 0, 2 * wire::kMaxBody_bytes);
  wire::Json body = request.body;
  if (body.is_null()) {
    const wire::CallResult status = worker.call("GET", "/status", nullptr, kProbeCallTimeout);
    if (status.status != 200) return;
    body = {{"baton", request.fencing_token},
            {"tenure", workers::decode_heartbeat(status.body).incarnation},
            {"orders", wire::Json::array()}};
  }
  const wire::CallResult answer = worker.call("POST", "/orders", &body, kProbeCallTimeout);
  // A worker that rejects the orders (409) returns its status all the same.
  if (answer.status == 200 || answer.status == 409) {
    events_.push({request.fencing_token, StatusReceived{workers::decode_heartbeat(answer.body)}});
  }
}

}  // namespace reachramp::controller
