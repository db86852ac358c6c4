#include "loopback/balancer.h"

namespace reachramp::lab {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxUserConnections = 2000;
// The most connections to a node that are kept open for reuse.
constexpr std::size_t kMaxIdleConnectionsPerNode = 64;
constexpr std::size_t kMaxNodesTried = 3;  // set by PROTOCOL
constexpr auto kForwardTimeout = 5s;

}  // namespace

Balancer::Balancer(std::uint16_t port, const std::map<std::string, wire::Address>& nodes,
                   FleetServer& fleet, RunTime run_time)
    : fleet_(fleet), run_time_(std::move(run_time)), connection_limiter_(kMaxUserConnections) {
  for (const auto& [name, address] : nodes) {
    nodes_.push_back(
        std::make_unique<wire::Client>(address, kMaxIdleConnectionsPerNode, wire::kMaxBody_bytes));
  }
  server_ = std::make_unique<wire::Server>(
      wire::Address{"127.0.0.1", port}, connection_limiter_, wire::ClientKind::user,
      [](const wire::Request&) { return wire::ClientKind::user; },
      [this](const wire::Request& request) { return forward(request); });
}

wire::Response Balancer::forward(const wire::Request& request) {
  std::optional<wire::Json> body;
  if (!request.body.empty()) body = wire::decode_map(request.body);
  if (request.path == "/submissions" && body) {
    try {
      const jobs::Spec spec = jobs::decode_spec(*body);
      fleet_.upload({spec, run_time_(spec), false});
    } catch (const wire::BadMessage&) {
      // The job is invalid, so no worker will need it. The node's response states the error.
    }
  }
  for (std::size_t i = 0; i < std::min(kMaxNodesTried, nodes_.size()); ++i) {
    wire::Client& node = *nodes_[next_node_++ % nodes_.size()];
    const wire::CallResult answer =
        node.call(request.method.c_str(), request.path, body ? &*body : nullptr, kForwardTimeout);
    if (answer.received_response) return {answer.status, answer.body, answer.retry_after_s};
    // If the node may have received the request, another one must not repeat it. The user repeats
    // it, with the same job id.
    if (answer.may_have_been_sent) break;
  }
  return {504, {{"error", "no node answers"}}, 1};
}

}  // namespace reachramp::lab
