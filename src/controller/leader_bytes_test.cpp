// The exact JSON of the records `pool/`, which only the leader reads and writes, the exact keys of
// its other records, and the exact body that it posts to a worker's /orders.
#include "controller/leader.h"
#include "encoding_assertions.h"

namespace reachramp::controller {
namespace {

settings::Platform platform() {
  settings::Platform p;
  p.node_name = "node-0";
  p.teams = {{"red", 0, 0, 0, 0}};
  p.worker_timings = {1, 10, 15, 4, 30};
  p.store_limits = {1000, 100, 4, 8};
  p.upcoming_store_limits = p.store_limits;
  p.cloud_limits = {10, 2};
  return p;
}

LeaderSnapshot snapshot() {
  LeaderSnapshot made;
  made.all_upgraded = true;
  made.catalog =
      kv::Entry{"catalog",
                test::wire_round_trip(
                    R"({"rigs":[{"label":"small","vcpus":4.0,"accelerators":0.0,"ram_gb":16.0,
              "cache_gb":50.0,"pull_gb_per_s":1.0,"rate":0.5,"low_price":0.25,"boot_s":5.0,
              "halls":["a"]}]})"),
                3};
  return made;
}

const wire::Json* written(const Effects& out, const std::string& key) {
  if (!out.transaction) return nullptr;
  for (const kv::Write& write : out.transaction->transaction.writes) {
    if (write.key == key && write.value) return &*write.value;
  }
  return nullptr;
}

// Versions 0.2.0, 0.3.0 and 0.4.0 write the same JSON.
TEST(PoolRecordBytes, OpenRequestIsReadFromLiteral) {
  LeaderSnapshot from = snapshot();
  from.pools = {{"pool/small/a/spot",
                 test::wire_round_trip(R"({"open":true,"name":"r-39-2","type":"small","zone":"a",
                                    "spot":true,"count":3})"),
                 8},
                {"pool/small/b/ordinary", test::wire_round_trip(R"({"open":false})"), 9}};
  Leader leader(platform(), {}, 40, from, 0);
  const Effects out = leader.advance(0.1);
  ASSERT_EQ(out.cloud_requests.size(), 1u);
  EXPECT_EQ(out.cloud_requests[0].kind, CloudRequest::Kind::scale_out);
  EXPECT_EQ(out.cloud_requests[0].scale_out.name, "r-39-2");
  EXPECT_EQ(out.cloud_requests[0].scale_out.type, "small");
  EXPECT_EQ(out.cloud_requests[0].scale_out.zone, "a");
  EXPECT_TRUE(out.cloud_requests[0].scale_out.spot);
  EXPECT_EQ(out.cloud_requests[0].scale_out.count, 3);
}

TEST(PoolRecordBytes, RequestAndItsEndAreWrittenAsLiteral) {
  LeaderSnapshot from = snapshot();
  from.jobs = {{"job/j-1",
                test::wire_round_trip(
                    R"({"spec":{"ref":"j-1","jobclass":"c","owner":"red","shape":"array",
                        "urgency":"normal","pieces":4,"vcpus":1.0,"accelerators":0.0,"ram_gb":1.0,
                        "bundle":"img","pull_gb":0.5,"together":false,"scatter":false,
                        "loaner":false,"expected_s":60.0,"snapshot_every_s":0.0,
                        "snapshot_cost_s":0.0},"cancelled":false,"done":0,"running":0,"born":0})"),
                7}};
  Leader leader(platform(), {}, 40, from, 0);
  leader.on_host_list({}, 0, 0.1);
  constexpr const char* kKey = "pool/small/a/ordinary";
  bool asked = false;
  for (double now = 0.5; now < 30 && !asked; now += 0.5) {
    leader.on_jobs_read_until(now);
    const Effects out = leader.advance(now);
    if (const wire::Json* value = written(out, kKey)) {
      asked = true;
      EXPECT_TRUE(test::is_encoded_as(
          *value,
          R"({"open":true,"name":"r-40-1","type":"small","zone":"a","spot":false,"count":1})"));
    }
    if (!out.transaction) continue;
    kv::CommitResult committed;
    committed.outcome = kv::Outcome::ok;
    committed.store_revision = 50;
    leader.on_transaction_completed(committed, now);
  }
  ASSERT_TRUE(asked);
  leader.on_scale_out_completed({"r-40-1", "small", "a", false, 1},
                                {cloud::CloudOutcome::ok, {"n-1"}}, 31);
  bool ended = false;
  for (double now = 31; now < 40 && !ended; now += 0.5) {
    const Effects out = leader.advance(now);
    if (const wire::Json* value = written(out, kKey)) {
      ended = true;
      EXPECT_TRUE(test::is_encoded_as(*value, R"({"open":false})"));
    }
  }
  EXPECT_TRUE(ended);
}

// When machines of a gang are drained, all its tasks are stopped at the same time, by posts to
// /orders that do not wait for heartbeats.
TEST(DirectOrdersBytes, StopsOfDrainedGangAreWrittenAsLiteral) {
  LeaderSnapshot from = snapshot();
  from.stored_schema =
      kv::Entry{"level", test::wire_round_trip(R"({"level":6,"writes":6,"settled":true})"), 4};
  from.jobs = {{"job/j-1",
                test::wire_round_trip(
                    R"({"spec":{"ref":"j-1","jobclass":"c","owner":"red","shape":"ensemble",
                        "urgency":"normal","pieces":2,"vcpus":3.0,"accelerators":0.0,"ram_gb":1.0,
                        "bundle":"img","pull_gb":0.5,"together":false,"scatter":false,
                        "loaner":false,"expected_s":6000.0,"snapshot_every_s":1.0,
                        "snapshot_cost_s":0.5},"cancelled":false,"done":0,"running":0,"born":0})"),
                7}};
  Leader leader(platform(), {}, 40, from, 0, {1, 6, 0, "9.9.9"});
  leader.on_claims(
      {{"claim/node-0",
        test::wire_round_trip(R"({"version":"9.9.9","oldest":1,"newest":6,"hold":0,"digest":0})"),
        5}});
  std::vector<std::pair<std::string, kv::Json>> urgent_stops;
  // By machine: its task, in the JSON form that its heartbeat contains.
  std::map<std::string, std::string> running;
  for (double now = 0.5; now < 90 && urgent_stops.empty(); now += 0.5) {
    std::vector<cloud::ListedMachine> listed;
    for (int i = 1; i <= 4; ++i) {
      const std::string name = "n-" + std::to_string(i);
      listed.push_back(
          {name, name + ":9000", "small", "a", false, cloud::MachinePhase::running, 500 + now});
      const std::string report =
          R"({"host":")" + name + R"(","address":")" + name +
          R"(:9000","rig":"small","hall":"a","loaner":false,"tenure":5,"baton":40,"tick":)" +
          std::to_string(static_cast<int>(now * 2)) + R"(,"pieces":[)" + running[name] + "]}";
      const auto answer = [&running, name](const wire::Json& body) {
        if (body.is_null()) return;
        for (const wire::Json& order : body.at("orders")) {
          if (order.at("verb") != "start") continue;
          running[name] = wire::Json{
              {"piece", order.at("piece")},
              {"try", order.at("try")},
              {"phase",
               "running"}}.dump();
        }
      };
      leader.on_heartbeat(workers::decode_heartbeat(test::wire_round_trip(report.c_str())), answer,
                          now);
    }
    leader.on_host_list(listed, now, now);
    leader.on_jobs_read_until(now);
    if (now == 4) {
      std::string names;
      for (const auto& [name, piece] : running) names += piece.empty() ? "" : " " + name;
      const std::string text =
          "(drains (serial 1) (budget (down 1)) (machines (names" + names + ")))";
      leader.on_drains(
          kv::Entry{
              "drains", {{"serial", 1u}, {"text", text}, {"stamps", wire::Json::array()}}, 60},
          now);
    }
    const Effects out = leader.advance(now);
    urgent_stops = out.urgent_stops;
    if (!out.transaction) continue;
    kv::CommitResult committed;
    committed.outcome = kv::Outcome::ok;
    committed.store_revision = 50 + static_cast<std::uint64_t>(now * 2);
    leader.on_transaction_completed(committed, now);
  }
  ASSERT_EQ(urgent_stops.size(), 2u);
  for (const auto& [address, body] : urgent_stops) {
    const std::string host = address.substr(0, address.find(':'));
    const wire::Json piece = wire::Json::parse(running[host]);
    const std::string expected = R"({"baton":40,"tenure":5,"orders":[{"verb":"stop","piece":)" +
                                 piece["piece"].dump() + R"(,"try":)" + piece["try"].dump() +
                                 R"(,"wind_down_s":1.5}]})";
    EXPECT_TRUE(test::is_encoded_as(body, expected.c_str()));
  }
}

TEST(LeaderRecordKeys, KeysAreLiteral) {
  EXPECT_STREQ(kLeaderKey, "leader");
  EXPECT_STREQ(kCatalogKey, "catalog");
}

}  // namespace
}  // namespace reachramp::controller
