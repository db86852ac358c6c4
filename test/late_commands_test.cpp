// Late copies of messages that were carried out before, at real nodes, after a worker or the leader
// has come back within a second: no copy may start a task once more, whether the task has ended and
// was cleared, was moved or cancelled, or runs on. A worker that comes back under its name has
// forgotten all tasks, its incarnation is 1 again, and it has seen no fencing token.
#include <atomic>
#include <mutex>
#include <set>

#include "process_cluster.h"

namespace reachramp::test {
namespace {

const std::string kHeartbeatPath = "/v1/report";

// Stands before a node's port, passes each request on, and keeps those that carry heartbeats.
class CopyingProxy {
 public:
  CopyingProxy(std::uint16_t port, std::uint16_t target)
      : client_({"127.0.0.1", target}, 8, wire::kMaxBody_bytes),
        server_(
            {"127.0.0.1", port}, connection_limiter_, wire::ClientKind::user,
            [](const wire::Request&) { return wire::ClientKind::user; },
            [this](const wire::Request& request) { return pass_on(request); }) {}

  // Sends all kept requests again, in their order, and returns how many starts the node answered.
  int repeat_all() {
    std::vector<Kept> kept;
    {
      const std::lock_guard lock(mutex_);
      kept = kept_;
    }
    int starts = 0;
    for (const Kept& one : kept) {
      starts += count_starts(client_.call("POST", one.path, &one.body, 300ms).body);
    }
    return starts;
  }
  // How many of the kept requests were answered with a start command, the first time.
  int starts_answered() const { return starts_answered_; }
  // The heartbeats of workers that were answered with a start command, the first time.
  std::vector<Json> answered_with_start() {
    const std::lock_guard lock(mutex_);
    return answered_with_start_;
  }

 private:
  struct Kept {
    std::string path;
    Json body;
  };
  static constexpr std::size_t kMaxKept = 300;

  static int count_starts(const Json& response) {
    if (!response.is_object()) return 0;
    const Json orders = response.value("orders", Json::array());
    return static_cast<int>(std::count_if(orders.begin(), orders.end(), [](const Json& order) {
      return order.value("verb", "") == "start";
    }));
  }

  wire::Response pass_on(const wire::Request& request) {
    const std::string target =
        request.query.empty() ? request.path : request.path + "?" + request.query;
    const Json body = request.body.empty() ? Json() : wire::decode_map(request.body);
    const wire::CallResult answer = client_.call(request.method.c_str(), target,
                                                 request.body.empty() ? nullptr : &body, 4000ms);
    if (!answer.received_response) return {503, {{"error", "no answer"}}};
    if (body.is_object() && body.contains("tick")) {
      const int starts = count_starts(answer.body);
      starts_answered_ += starts;
      const std::lock_guard lock(mutex_);
      if (starts > 0 && request.path == kHeartbeatPath) answered_with_start_.push_back(body);
      // All heartbeats that were answered with a start, and some of the others.
      if (starts > 0 || kept_.size() < kMaxKept) kept_.push_back({request.path, body});
    }
    return {answer.status, answer.body.is_null() ? Json::object() : answer.body,
            answer.retry_after_s};
  }

  wire::ConnectionLimiter connection_limiter_{2000};
  wire::Client client_;
  std::mutex mutex_;
  std::vector<Kept> kept_;
  std::atomic<int> starts_answered_ = 0;
  std::vector<Json> answered_with_start_;
  wire::Server server_;
};

// What comes back within a second.
enum class Returns { worker, leader, both };

class LateCopies : public EndToEnd, public ::testing::WithParamInterface<Returns> {
 protected:
  std::uint16_t connect_port(int from_node, std::uint16_t to, int to_node) override {
    return from_node == to_node ? to : proxy_before(to);
  }
  std::uint16_t worker_connect_port(std::uint16_t to) override { return proxy_before(to); }
  void TearDown() override {
    EndToEnd::TearDown();
    cloud_.reset();  // its workers are connected to the proxies
    proxies_.clear();
  }

  std::uint16_t proxy_before(std::uint16_t target) {
    const std::uint16_t port = ports_.reserve();
    proxies_.push_back(std::make_unique<CopyingProxy>(port, target));
    return port;
  }

  // All bodies that were posted to the workers' own addresses, with the machine's name. Their
  // copies, which are in the history too, are left out.
  std::set<std::pair<std::string, Json>> direct_orders() {
    static const std::string kMark = "told directly ";
    std::set<std::pair<std::string, Json>> orders;
    for (const std::string& line : cloud_->history()) {
      const auto at = line.find(kMark);
      const auto name = line.find("n-");
      if (at == std::string::npos || name == std::string::npos) continue;
      const auto begin = at + kMark.size();
      orders.emplace(line.substr(name, line.find_first_of(" :", name) - name),
                     Json::parse(line.substr(begin, line.rfind(" -> ") - begin)));
    }
    return orders;
  }
  std::string address_of(const std::string& machine) {
    return cloud_->with_cloud([&](const lab::Cloud& cloud) {
      const auto at = cloud.machines().find(machine);
      return at == cloud.machines().end() ? std::string() : at->second.address;
    });
  }
  void repeat_direct_orders() {
    for (const auto& [machine, body] : direct_orders()) {
      const std::string address = address_of(machine);
      if (address.empty()) continue;
      wire::Client(wire::parse_address(address), 0, wire::kMaxBody_bytes)
          .call("POST", "/orders", &body, 300ms);
    }
  }
  // Copies of all heartbeats at all nodes and of all direct orders, as long as `seconds`.
  void repeat_everything_for(double seconds) {
    const double end = kv::steady_now() + seconds;
    while (kv::steady_now() < end) {
      for (const auto& proxy : proxies_) proxy->repeat_all();
      repeat_heartbeats_answered_with_start();
      repeat_direct_orders();
    }
  }
  int starts_answered() const {
    int starts = 0;
    for (const auto& proxy : proxies_) starts += proxy->starts_answered();
    return starts;
  }
  std::vector<Json> answered_with_start() const {
    std::vector<Json> heartbeats;
    for (const auto& proxy : proxies_) {
      for (Json& one : proxy->answered_with_start()) heartbeats.push_back(std::move(one));
    }
    return heartbeats;
  }
  // Copies at each node, also at those that forward them to the leader.
  void repeat_heartbeats_answered_with_start() {
    for (const Json& heartbeat : answered_with_start()) {
      for (int node = 0; node < kNodeCount; ++node) {
        call_node(node, "POST", kHeartbeatPath, &heartbeat);
      }
    }
  }
  bool is_held(const std::string& id) { return cloud_->held_task_count(id) > 0; }

  std::vector<std::unique_ptr<CopyingProxy>> proxies_;
};
INSTANTIATE_TEST_SUITE_P(After, LateCopies,
                         ::testing::Values(Returns::worker, Returns::leader, Returns::both),
                         [](const auto& info) {
                           return info.param == Returns::worker   ? "a_worker_returned"
                                  : info.param == Returns::leader ? "the_leader_returned"
                                                                  : "both_returned";
                         });

// The operators saw on a service like this one that a task ran on two machines at once, and that a
// cancelled task ran again.
TEST_P(LateCopies, OfHeartbeatsAndOrdersStartNoTaskOnceMore) {
  endless_jobs_ = {"j-runs", "j-cancelled", "j-moved"};
  ASSERT_TRUE(accepts(0, job_body("j-done", 2)));
  for (const std::string& id : endless_jobs_) ASSERT_TRUE(accepts(1, job_body(id, 1)));
  ASSERT_TRUE(within(30, [&] { return job_phase(0, "j-done") == "done"; }));
  for (const std::string& id : endless_jobs_) {
    ASSERT_TRUE(within(30, [&] { return job_phase(0, id) == "running" && is_held(id); })) << id;
  }
  EXPECT_GE(starts_answered(), 5) << "the copies contain what was answered with starts";
  EXPECT_FALSE(answered_with_start().empty());
  // Its machine hangs until it is returned, and the task moves to another one.
  ASSERT_EQ(cloud_->hang_machines_of("j-moved"), 1u);
  ASSERT_TRUE(within(10, [&] {
    return call_node(2, "POST", "/submissions/j-cancelled/withdraw").body.value("phase", "") ==
           "aborted";
  }));
  const double cancelled_at = kv::steady_now();

  const int leader = leader_node();
  ASSERT_GE(leader, 0);
  const double returned_at = kv::steady_now();
  if (GetParam() != Returns::leader) cloud_->restart_workers_of("j-runs");
  if (GetParam() != Returns::worker) {
    kill_node(leader);
    start_node(leader);
  }
  repeat_everything_for(cancel_s() + 5);
  EXPECT_FALSE(is_held("j-cancelled"))
      << kv::steady_now() - cancelled_at << " s after the cancellation";
  // The worker that has returned is heard again, or its machine is replaced.
  for (const char* id : {"j-runs", "j-moved"}) {
    EXPECT_TRUE(within(90, [&] { return is_held(id); })) << id;
    std::cout << fmt::format("{} is held {:.0f} s after the return at the latest\n", id,
                             kv::steady_now() - returned_at);
  }
  EXPECT_TRUE(accepts(0, job_body("j-later", 1)));
  EXPECT_TRUE(within(60, [&] { return job_phase(0, "j-later") == "done"; }));
  repeat_everything_for(2);
  EXPECT_FALSE(is_held("j-cancelled"));
  EXPECT_FALSE(is_held("j-done"));
  for (const auto& [machine, body] : direct_orders()) {
    for (const Json& order : body.at("orders")) EXPECT_NE(order.at("verb"), "start") << machine;
  }
  EXPECT_EQ(cloud_->rule_violations(), std::vector<std::string>{});
}

}  // namespace
}  // namespace reachramp::test
