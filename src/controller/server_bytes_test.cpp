// Exact responses on a node's two listeners, the keys of its records, and its calls to a worker
// that it has not heard from. The node runs in a process of its own; the key-value store, the cloud
// and the worker are emulated.
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "loopback/child_process.h"
#include "loopback/controller_processes.h"
#include "loopback/state_server.h"
#include "recording_server.h"

namespace reachramp::controller {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

class RunningNode {
 public:
  explicit RunningNode(const settings::Platform& platform) {
    std::ofstream(config_) << lab::platform_toml(platform);
    pid_ = lab::spawn({.program = REACHRAMP_PROGRAM,
                       .arguments = {"serve", "--config", config_},
                       .log_level = "error"});
  }
  ~RunningNode() {
    lab::kill_and_wait(pid_);
    std::filesystem::remove(config_);
  }
  RunningNode(const RunningNode&) = delete;

 private:
  const std::string config_ =
      ::testing::TempDir() + "reachramp-bytes-" + std::to_string(::getpid()) + ".toml";
  pid_t pid_ = 0;
};

class NodeBytes : public ::testing::Test {
 protected:
  NodeBytes() { state_.listen_for_node("node-0", platform_.store_address.port); }

  // Repeats the request while the answer is 503 because no leader has been elected yet.
  static wire::CallResult ask(const wire::Address& at, const char* method, const std::string& path,
                              const char* body = nullptr) {
    wire::Client client(at, 0, wire::kMaxBody_bytes);
    const wire::Json message = wire::Json::parse(body == nullptr ? "null" : body);
    wire::CallResult answer;
    for (int i = 0; i < 150; ++i) {
      answer = client.call(method, path, body == nullptr ? nullptr : &message,
                           std::chrono::milliseconds(4000));
      if (answer.received_response && answer.status != 503) return answer;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return answer;
  }
  static void expect(const wire::CallResult& answer, int status, const char* body) {
    EXPECT_EQ(answer.status, status);
    EXPECT_TRUE(is_encoded_as(answer.body, body));
  }
  // Replaces the fencing token, which is assigned at run time, by 40, so that a literal matches.
  static wire::Json with_fencing_token_40(wire::Json body) {
    EXPECT_TRUE(body.value("baton", wire::Json()).is_number_unsigned());
    body["baton"] = 40u;
    return body;
  }

  lab::StateServer state_{{1000, 1000, 8, 8}, 1};
  test::RecordingServer worker_{[](const wire::Request&) -> wire::Response {
    return {200,
            wire_round_trip(
                R"({"host":"n-1","rig":"small","hall":"a","loaner":false,"tenure":4,"tick":1,
                         "baton":0,"pieces":[]})"),
            0};
  }};
  test::RecordingServer cloud_{[this](const wire::Request& request) -> wire::Response {
    if (request.path == "/catalog") {
      return {200,
              wire_round_trip(R"({"rigs":[{"label":"small","vcpus":4.0,"ram_gb":16.0,"rate":0.5,
                           "halls":["a"]}]})"),
              0};
    }
    wire::Json list = wire_round_trip(
        R"({"truncated":false,"hosts":[{"ref":"n-1","rig":"small","hall":"a","loaner":false,
            "phase":"running","held_s":5.0}]})");
    list["hosts"][0]["address"] = "127.0.0.1:" + std::to_string(worker_.address().port);
    return {200, list, 0};
  }};
  test::PortReservations ports_;
  const settings::Platform platform_ = [this] {
    settings::Platform platform;
    platform.node_name = "node-0";
    platform.failure_domain = "a";
    platform.serve_on = {"127.0.0.1", ports_.reserve()};
    platform.cluster_listen = {"127.0.0.1", ports_.reserve()};
    platform.store_address = {"127.0.0.1", ports_.reserve()};
    platform.cloud_address = cloud_.address();
    platform.teams = {{"red", 0, 0, 0, 0}};
    platform.worker_timings = {1, 10, 15, 4, 30};
    platform.store_limits = {1000, 100, 4, 8};
    platform.upcoming_store_limits = platform.store_limits;
    platform.cloud_limits = {10, 2};
    return platform;
  }();
};

TEST_F(NodeBytes, EveryRouteAnswersAsLiteral) {
  const RunningNode node(platform_);
  const wire::Address& users = platform_.serve_on;
  expect(ask(users, "GET", "/ready"), 200, R"({"ready":true})");
  expect(ask(users, "GET", "/submissions/j-9"), 404, R"({"error":"no such job"})");
  expect(ask(users, "POST", "/submissions/j-9/withdraw", "{}"), 404, R"({"error":"no such job"})");
  expect(ask(users, "POST", "/submissions", "{}"), 400, R"({"error":"ref: missing"})");
  expect(ask(users, "POST", "/ready", "{}"), 405, R"({"error":"no such method here"})");
  expect(ask(users, "GET", "/v1/report"), 405, R"({"error":"no such method here"})");
  expect(ask(users, "GET", "/nowhere"), 404, R"({"error":"no such path"})");
  const wire::Address& peers = platform_.cluster_listen;
  expect(ask(peers, "GET", "/relay/report"), 405, R"({"error":"no such method here"})");
  expect(ask(peers, "GET", "/relay/onward"), 405, R"({"error":"no such method here"})");
  expect(ask(peers, "POST", "/served", "{}"), 405, R"({"error":"no such method here"})");
  expect(ask(peers, "GET", "/nowhere"), 404, R"({"error":"no such path"})");
  const wire::CallResult served = ask(peers, "GET", "/served", R"({"told_within_s":5.0})");
  EXPECT_EQ(served.status, 200);
  for (const char* field : {"served", "ago_s", "leader_stamp", "told"}) {
    EXPECT_TRUE(served.body.contains(field)) << field;
  }
  int sequence_number = 1;
  for (const auto& [at, path] : {std::pair{users, "/v1/report"}, std::pair{peers, "/relay/report"},
                                 std::pair{peers, "/relay/onward"}}) {
    const std::string report =
        R"({"host":"n-1","rig":"small","hall":"a","loaner":false,"tenure":5,"tick":)" +
        std::to_string(++sequence_number) + R"(,"baton":0,"pieces":[]})";
    const wire::CallResult answer = ask(at, "POST", path, report.c_str());
    EXPECT_EQ(answer.status, 200) << path;
    EXPECT_TRUE(is_encoded_as(with_fencing_token_40(answer.body), R"({"baton":40,"orders":[]})"));
  }
}

TEST_F(NodeBytes, RecordsAreStoredUnderLiteralKeys) {
  const RunningNode node(platform_);
  // The records exist once the node is the leader and has written its claim.
  for (const char* key : {"leader", "member/node-0", "claim/node-0", "level", "catalog"}) {
    bool exists = false;
    for (int i = 0; i < 200 && !exists; ++i) {
      exists = state_.with_model([&](const auto& model) {
        const auto entries = model.list(key);
        return !entries.empty() && entries.front().key == key;
      });
      if (!exists) std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    EXPECT_TRUE(exists) << key;
  }
}

TEST_F(NodeBytes, CallsToASilentWorkerAreWrittenAsLiteral) {
  const RunningNode node(platform_);
  std::vector<test::RecordedRequest> asked;
  for (int i = 0; i < 200 && asked.size() < 2; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    asked = worker_.requests();
  }
  ASSERT_GE(asked.size(), 2u);
  EXPECT_EQ(asked[0].request_line, "GET /status");
  EXPECT_TRUE(asked[0].body.is_null());
  EXPECT_EQ(asked[1].request_line, "POST /orders");
  EXPECT_TRUE(is_encoded_as(with_fencing_token_40(asked[1].body),
                            R"({"baton":40,"tenure":4,"orders":[]})"));
}

}  // namespace
}  // namespace reachramp::controller
