#include "controller/routes.h"

#include <string_view>

namespace reachramp::controller {

namespace {

constexpr const char* kReadyPath = "/ready";
constexpr const char* kHeartbeatPath = "/v1/report";
constexpr std::string_view kJobsPath = "/submissions";
constexpr std::string_view kCancelSuffix = "/withdraw";

wire::Reply no_path() { return {404, {{"error", "no such path"}}}; }
wire::Reply no_method() { return {405, {{"error", "no such method here"}}}; }
wire::Reply other_version(int retry_after_s) {
  return {503, {{"error", "the stored state is of another version"}}, retry_after_s};
}

}  // namespace

wire::Reply UserRoutes::serve(const wire::Request& request) {
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (request.path == kReadyPath) {
    if (!get) return no_method();
    const bool ready = !versions_.incompatible() && health_.ready();
    return {ready ? 200 : 503, {{"ready", ready}}};
  }
  if (versions_.incompatible()) return other_version(5);
  if (request.path == kHeartbeatPath) {
    return post ? heartbeats_.route(request.body, HeartbeatOrigin::worker) : no_method();
  }
  if (request.path == kJobsPath) return post ? jobs_.submit(request.body) : no_method();
  if (request.path.starts_with(kJobsPath) && request.path[kJobsPath.size()] == '/') {
    return serve_job(request.path, request.method);
  }
  return no_path();
}

wire::Reply UserRoutes::serve_job(const std::string& path, const std::string& method) {
  std::string id = path.substr(kJobsPath.size() + 1);
  const bool cancel = id.ends_with(kCancelSuffix);
  if (cancel) id.resize(id.size() - kCancelSuffix.size());
  if (id.find('/') != std::string::npos) return no_path();
  if (cancel) return method == "POST" ? jobs_.withdraw(id) : no_method();
  return method == "GET" ? jobs_.query(id) : no_method();
}

wire::ClientKind UserRoutes::client_kind(const wire::Request& request) {
  return request.path == kHeartbeatPath ? wire::ClientKind::worker : wire::ClientKind::user;
}

wire::Reply PeerRoutes::serve(const wire::Request& request) {
  if (request.path == peers::kServedPath) {
    return request.method == "GET"
               ? health_.served(request.body, election_.status().highest_seen_revision)
               : no_method();
  }
  if (versions_.incompatible()) return other_version(0);
  const bool second_hop = request.path == peers::kOnwardPath;
  if (!second_hop && request.path != peers::kRelayPath) return no_path();
  if (request.method != "POST") return no_method();
  return heartbeats_.route(request.body,
                           second_hop ? HeartbeatOrigin::second_hop : HeartbeatOrigin::leader_hop);
}

}  // namespace reachramp::controller
