// The literal form of the requests and responses between nodes.
#include "kv/steady_clock.h"
#include "peers/heartbeat_forwarder.h"
#include "peers/readiness.h"
#include "recording_server.h"

namespace reachramp::peers {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

TEST(PeerBytes, RecentCancellationsAreWrittenAsLiteral) {
  EXPECT_TRUE(is_encoded_as(encode_recent_cancellations({12.5, {"j-1", "j-2"}}),
                            R"({"complete_s":12.5,"cancelled":["j-1","j-2"]})"));
}

TEST(PeerBytes, RecentCancellationsAreReadFromLiteral) {
  const auto digest = decode_cancellation_digest(
      {true, true, 200, wire_round_trip(R"({"served":true,"ago_s":0.5,"leader_stamp":40,
                    "told":{"complete_s":12.5,"cancelled":["j-1","j-2"]}})"),
       0});
  ASSERT_TRUE(digest);
  EXPECT_EQ(digest->covered_s, 12.5);
  EXPECT_EQ(digest->cancelled, (std::vector<std::string>{"j-1", "j-2"}));
}

settings::Platform platform(const wire::Address& other) {
  settings::Platform made;
  made.node_name = "node-0";
  made.members = {{"node-1", "b", other}};
  return made;
}

TEST(PeerBytes, ServedIsAnsweredWithLiteralFields) {
  kv::Client store({"127.0.0.1", 1}, 10);
  RecentCancellations recent_cancellations(1e9, kv::steady_now());
  recent_cancellations.record("j-1", kv::steady_now());
  NodeHealth health(store, platform({"127.0.0.1", 1}), recent_cancellations);
  wire::Json plain = health.handle_served("", 40).body;
  EXPECT_TRUE(plain.at("ago_s").is_number_float());
  plain["ago_s"] = 0.5;
  EXPECT_TRUE(is_encoded_as(plain, R"({"served":true,"ago_s":0.5,"leader_stamp":40})"));
  wire::Json asked =
      health.handle_served(wire::encode(wire::Json::parse(R"({"told_within_s":60.5})")), 40).body;
  EXPECT_TRUE(asked.at("told").at("complete_s").is_number_float());
  asked["ago_s"] = 0.5;
  asked["told"]["complete_s"] = 12.5;
  EXPECT_TRUE(is_encoded_as(asked, R"({"served":true,"ago_s":0.5,"leader_stamp":40,
                                       "told":{"complete_s":12.5,"cancelled":["j-1"]}})"));
}

TEST(PeerBytes, RequestsToOtherNodesAreLiteral) {
  test::RecordingServer other([](const wire::Request&) -> wire::Response {
    return {200, wire_round_trip(R"({"served":true,"ago_s":0.5,"leader_stamp":41,
                         "told":{"complete_s":12.5,"cancelled":["j-7"]}})"),
            0};
  });
  kv::Client store({"127.0.0.1", 1}, 10);
  RecentCancellations recent_cancellations(1e9, kv::steady_now());
  NodeHealth health(store, platform(other.address()), recent_cancellations);
  const auto digests = health.poll_cancellations({60.5});
  ASSERT_EQ(digests.size(), 1u);
  EXPECT_EQ(digests[0].cancelled, std::vector<std::string>{"j-7"});
  EXPECT_TRUE(health.leader_must_step_down(100, 5, 40)) << "leader_stamp is that of a later leader";
  EXPECT_FALSE(health.leader_must_step_down(100, 5, 41));
  const std::vector<test::RecordedRequest> asked = other.requests();
  ASSERT_EQ(asked.size(), 3u);
  EXPECT_EQ(asked[0].request_line, "GET /served");
  EXPECT_TRUE(is_encoded_as(asked[0].body, R"({"told_within_s":60.5})"));
  EXPECT_EQ(asked[1].request_line, "GET /served");
  EXPECT_TRUE(asked[1].body.is_null());
}

TEST(PeerBytes, HeartbeatIsForwardedUnchanged) {
  constexpr const char* kHeartbeatBody = R"({"host":"n-1","newer":1.0})";
  test::RecordingServer leader([](const wire::Request&) -> wire::Response {
    return {200, wire_round_trip(R"({"baton":40,"orders":[]})"), 0};
  });
  HeartbeatForwarder forwarder(platform(leader.address()));
  const double until = kv::steady_now() + 5;
  const auto response = forwarder.forward("node-1", wire_round_trip(kHeartbeatBody), false, until);
  ASSERT_TRUE(response);
  EXPECT_TRUE(is_encoded_as(response->body, R"({"baton":40,"orders":[]})"));
  ASSERT_TRUE(forwarder.forward("", wire_round_trip(kHeartbeatBody), true, until));
  const std::vector<test::RecordedRequest> asked = leader.requests();
  ASSERT_EQ(asked.size(), 2u);
  EXPECT_EQ(asked[0].request_line, "POST /relay/report");
  EXPECT_TRUE(is_encoded_as(asked[0].body, kHeartbeatBody));
  EXPECT_EQ(asked[1].request_line, "POST /relay/onward");
  EXPECT_TRUE(is_encoded_as(asked[1].body, kHeartbeatBody));
  EXPECT_EQ(kStatusMisdirectedRequest, 421);
}

}  // namespace
}  // namespace reachramp::peers
