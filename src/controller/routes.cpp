#include "controller/routes.h"

#include <string_view>

namespace reachramp::controller {

namespace {

constexpr const char* kReadyPath = "/ready";
constexpr const char* kHeartbeatPath = "/v1/report";
constexpr std::string_view kJobsPath = "/submissions";
constexpr std::string_view kCancelSuffix = "/withdraw";

wire::Response path_not_found() { return {404, {{"error", "no such path"}}}; }
wire::Response method_not_allowed() { return {405, {{"error", "no such method here"}}}; }
wire::Response incompatible_schema(int retry_after_s) {
  return {503, {{"error", "the stored state is of another version"}}, retry_after_s};
}

}  // namespace

wire::Response UserRoutes::serve(const wire::Request& request) {
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (request.path == kReadyPath) {
    if (!get) return method_not_allowed();
    const bool ready = !version_tracker_.incompatible() && health_.ready();
    return {ready ? 200 : 503, {{"ready", ready}}};
  }
  if (version_tracker_.incompatible()) return incompatible_schema(5);
  if (request.path == kHeartbeatPath) {
    return post ? heartbeats_.route(request.body, HeartbeatOrigin::worker) : method_not_allowed();
  }
  if (request.path == kJobsPath) return post ? jobs_.submit(request.body) : method_not_allowed();
  if (request.path.starts_with(kJobsPath) && request.path[kJobsPath.size()] == '/') {
    return serve_job(request.path, request.method);
  }
  return path_not_found();
}

wire::Response UserRoutes::serve_job(const std::string& path, const std::string& method) {
  std::string id = path.substr(kJobsPath.size() + 1);
  const bool cancel = id.ends_with(kCancelSuffix);
  if (cancel) id.resize(id.size() - kCancelSuffix.size());
  if (id.find('/') != std::string::npos) return path_not_found();
  if (cancel) return method == "POST" ? jobs_.cancel(id) : method_not_allowed();
  return method == "GET" ? jobs_.query(id) : method_not_allowed();
}

wire::ClientKind UserRoutes::client_kind(const wire::Request& request) {
  return request.path == kHeartbeatPath ? wire::ClientKind::worker : wire::ClientKind::user;
}

wire::Response PeerRoutes::serve(const wire::Request& request) {
  if (request.path == peers::kServedPath) {
    return request.method == "GET"
               ? health_.handle_served(request.body, election_.status().highest_seen_revision)
               : method_not_allowed();
  }
  if (version_tracker_.incompatible()) return incompatible_schema(0);
  const bool is_intermediate_hop = request.path == peers::kIntermediateHopPath;
  if (!is_intermediate_hop && request.path != peers::kForwardToLeaderPath) return path_not_found();
  if (request.method != "POST") return method_not_allowed();
  return heartbeats_.route(request.body, is_intermediate_hop ? HeartbeatOrigin::intermediate_hop
                                                             : HeartbeatOrigin::final_hop);
}

}  // namespace reachramp::controller
