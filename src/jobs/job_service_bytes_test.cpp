// The literal form of the responses that users get, and of the records that JobService stores.
#include "jobs/job_service.h"
#include "kv/steady_clock.h"
#include "recording_server.h"

namespace reachramp::jobs {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

constexpr const char* kSpec =
    R"({"ref":"j-1","jobclass":"train","owner":"red","shape":"array","urgency":"normal",
        "pieces":4,"vcpus":1.0,"accelerators":0.0,"ram_gb":1.0,"bundle":"img","pull_gb":0.5,
        "together":false,"scatter":false,"loaner":true,"expected_s":60.0,"snapshot_every_s":0.0,
        "snapshot_cost_s":0.0})";

std::string header(const char* cancelled, int done, int running) {
  return std::string(R"({"spec":)") + kSpec + R"(,"cancelled":)" + cancelled + R"(,"done":)" +
         std::to_string(done) + R"(,"running":)" + std::to_string(running) + R"(,"born":0})";
}

std::string entry(const std::string& key, const std::string& value, int revision) {
  return R"({"k":")" + key + R"(","value":)" + value + R"(,"stamp":)" + std::to_string(revision) +
         "}";
}

class JobServiceBytes : public ::testing::Test {
 protected:
  // The records of the emulated key-value store, and its response to transactions.
  std::map<std::string, std::string> records_;
  wire::Response commit_response_{200, wire_round_trip(R"({"epoch":50})"), 0};

  wire::Response submit(const std::string& body) {
    return service_.submit(wire::encode(Json::parse(body)));
  }
  Json last_transaction() {
    Json last;
    for (const test::RecordedRequest& one : recorder_.requests()) {
      if (one.request_line == "POST /multi") last = one.body;
    }
    return last;
  }

 private:
  wire::Response answer(const wire::Request& request) {
    if (request.path == "/multi") return commit_response_;
    if (request.path == "/keys") return {200, wire_round_trip(R"({"epoch":9,"entries":[]})"), 0};
    const auto at = records_.find(request.path.substr(std::string("/keys/").size()));
    if (at == records_.end()) return {404, wire_round_trip(R"({"epoch":9})"), 0};
    return {200, wire_round_trip(entry(at->first, at->second, 7).c_str()), 0};
  }

  static settings::Platform platform() {
    settings::Platform platform;
    platform.node_name = "node-0";
    platform.teams = {{"red", 0, 0, 0, 0}};
    platform.worker_timings = {1, 10, 15, 4, 30};
    platform.store_limits = {1000, 100, 4, 8};
    platform.upcoming_store_limits = platform.store_limits;
    return platform;
  }

  const settings::Platform platform_ = platform();
  test::RecordingServer recorder_{[this](const wire::Request& request) { return answer(request); }};
  kv::Client store_{recorder_.address(), 1000};
  peers::Members members_{store_, platform_};
  schema::SchemaVersionTracker version_tracker_{store_, platform_, {}};
  peers::RecentCancellations recent_cancellations_{30, kv::steady_now()};

 protected:
  JobService service_{store_, platform_, members_, version_tracker_, recent_cancellations_, [] {
                        return std::make_shared<const cloud::Catalog>(
                            cloud::Catalog{{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
                      }};
};

TEST_F(JobServiceBytes, AcceptedJobIsStoredAndAnsweredAsLiteral) {
  const wire::Response response = submit(kSpec);
  EXPECT_EQ(response.status, 201);
  EXPECT_TRUE(
      is_encoded_as(response.body, R"({"ref":"j-1","phase":"pending","done":0,"running":0})"));
  const std::string expected =
      R"({"if":[{"k":"job/j-1","stamp":0},{"k":"end/j-1","stamp":0},{"k":"level","stamp":0}],
          "then":[{"write":"job/j-1","value":)" +
      header("false", 0, 0) + "}]}";
  EXPECT_TRUE(is_encoded_as(last_transaction(), expected.c_str()));
}

TEST_F(JobServiceBytes, EachPhaseIsAnsweredAsLiteral) {
  records_["job/j-1"] = header("false", 1, 0);
  records_["job/j-2"] = header("false", 1, 2);
  records_["job/j-3"] = header("true", 1, 2);
  records_["end/j-4"] = R"({"cancelled":false,"done":4})";
  records_["end/j-5"] = R"({"cancelled":true,"done":3})";
  const std::pair<const char*, const char*> expected[] = {
      {"j-1", R"({"ref":"j-1","phase":"pending","done":1,"running":0})"},
      {"j-2", R"({"ref":"j-2","phase":"running","done":1,"running":2})"},
      {"j-3", R"({"ref":"j-3","phase":"aborted","done":1,"running":0})"},
      {"j-4", R"({"ref":"j-4","phase":"done","done":4,"running":0})"},
      {"j-5", R"({"ref":"j-5","phase":"aborted","done":3,"running":0})"}};
  for (const auto& [id, body] : expected) {
    const wire::Response response = service_.query(id);
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(is_encoded_as(response.body, body));
  }
}

TEST_F(JobServiceBytes, CancelledJobIsStoredAndAnsweredAsLiteral) {
  records_["job/j-1"] = header("false", 1, 2);
  const wire::Response response = service_.cancel("j-1");
  EXPECT_EQ(response.status, 200);
  EXPECT_TRUE(
      is_encoded_as(response.body, R"({"ref":"j-1","phase":"aborted","done":1,"running":0})"));
  const std::string expected =
      R"({"if":[{"k":"job/j-1","stamp":7},{"k":"level","stamp":0}],
          "then":[{"write":"job/j-1","value":{"born":7,"cancelled":true,"done":1,"running":2,
          "spec":)" +
      std::string(kSpec) + "}}]}";
  EXPECT_TRUE(is_encoded_as(last_transaction(), expected.c_str()));
}

TEST_F(JobServiceBytes, RefusalsAreAnsweredAsLiteral) {
  wire::Response response = service_.query("j-9");
  EXPECT_EQ(response.status, 404);
  EXPECT_TRUE(is_encoded_as(response.body, R"({"error":"no such job"})"));
  Json unknown_team_job = Json::parse(kSpec);
  unknown_team_job["owner"] = "blue";
  response = submit(unknown_team_job.dump());
  EXPECT_EQ(response.status, 422);
  EXPECT_TRUE(is_encoded_as(response.body, R"({"error":"unknown team"})"));
  commit_response_ = {503, Json::object(), 0};
  response = submit(kSpec);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.retry_after_s, 1);
  EXPECT_TRUE(is_encoded_as(response.body, R"({"error":"cannot tell now"})"));
}

}  // namespace
}  // namespace reachramp::jobs
