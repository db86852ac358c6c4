// The literal form of the stored catalog and of the cloud's messages.
#include "cloud/client.h"
#include "recording_server.h"

namespace reachramp::cloud {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

constexpr const char* kCatalog =
    R"({"rigs":[{"label":"g8","vcpus":96.5,"accelerators":8.5,"ram_gb":768.5,"cache_gb":200.5,
        "pull_gb_per_s":1.5,"rate":12.5,"low_price":4.5,"boot_s":45.5,"halls":["a","b"]}]})";

// Versions 0.2.0, 0.3.0 and 0.4.0 write the record `catalog` the same.
TEST(CatalogBytes, RecordIsReadAndWrittenAsLiteral) {
  const Catalog catalog{{"g8", 96.5, 8.5, 768.5, 200.5, 1.5, 12.5, 4.5, 45.5, {"a", "b"}}};
  EXPECT_TRUE(is_encoded_as(encode_catalog(catalog), kCatalog));
  const Catalog read = decode_catalog(wire_round_trip(kCatalog));
  ASSERT_EQ(read.size(), 1u);
  EXPECT_EQ(read[0].name, "g8");
  EXPECT_EQ(read[0].cpus, 96.5);
  EXPECT_EQ(read[0].gpus, 8.5);
  EXPECT_EQ(read[0].ram_gb, 768.5);
  EXPECT_EQ(read[0].cache_gb, 200.5);
  EXPECT_EQ(read[0].fetch_gb_per_s, 1.5);
  EXPECT_EQ(read[0].price_per_hour, 12.5);
  EXPECT_EQ(read[0].spot_price_per_hour, 4.5);
  EXPECT_EQ(read[0].boot_s, 45.5);
  EXPECT_EQ(read[0].zones, (std::vector<std::string>{"a", "b"}));
}

TEST(CloudBytes, ScaleOutRequestIsWrittenAsLiteral) {
  EXPECT_TRUE(
      is_encoded_as(encode_scale_out({"r-40-1", "g8", "a", true, 3}),
                    R"({"hire":"r-40-1","rig":"g8","hall":"a","loaner":true,"how_many":3})"));
}

TEST(CloudBytes, ListedMachineIsReadFromLiteral) {
  const ListedMachine listed = decode_listed_machine(wire_round_trip(
      R"({"ref":"n-1","address":"10.0.0.1:9000","rig":"g8","hall":"a","loaner":true,
          "phase":"running","held_s":12.5})"));
  EXPECT_EQ(listed.name, "n-1");
  EXPECT_EQ(listed.address, "10.0.0.1:9000");
  EXPECT_EQ(listed.type, "g8");
  EXPECT_EQ(listed.zone, "a");
  EXPECT_TRUE(listed.spot);
  EXPECT_EQ(listed.phase, MachinePhase::running);
  EXPECT_EQ(listed.rented_for_s, 12.5);
  const std::pair<const char*, MachinePhase> phases[] = {{"starting", MachinePhase::starting},
                                                         {"running", MachinePhase::running},
                                                         {"failed", MachinePhase::failed}};
  for (const auto& [word, phase] : phases) {
    Json body{{"ref", "n-1"}, {"rig", "g8"}, {"hall", "a"}, {"loaner", false}, {"phase", word}};
    EXPECT_EQ(decode_listed_machine(body).phase, phase) << word;
  }
}

TEST(CloudBytes, EachCallSendsItsLiteralRequestAndReadsItsLiteralAnswer) {
  test::RecordingServer service([](const wire::Request& request) -> wire::Response {
    if (request.path == "/catalog") return {200, wire_round_trip(kCatalog), 0};
    if (request.path == "/hosts/return") return {200, Json::object(), 0};
    if (request.method == "POST") return {200, wire_round_trip(R"({"hosts":["n-1","n-2"]})"), 0};
    return {200, wire_round_trip(R"({"truncated":true,"hosts":[{"ref":"n-1","rig":"g8","hall":"a",
                              "loaner":false,"phase":"running"}]})"),
            0};
  });
  Client client(service.address());
  ASSERT_TRUE(client.catalog());
  const ScaleOutResult result = client.scale_out({"r-40-1", "g8", "a", false, 3});
  EXPECT_EQ(result.outcome, CloudOutcome::ok);
  EXPECT_EQ(result.machines, (std::vector<std::string>{"n-1", "n-2"}));
  EXPECT_TRUE(client.scale_in({"n-1", "n-2"}));
  const ListPage page = client.list_machines("");
  EXPECT_EQ(page.outcome, CloudOutcome::ok);
  EXPECT_EQ(page.machines.size(), 1u);
  EXPECT_TRUE(page.has_more);
  client.list_machines("n-1");
  const std::pair<const char*, const char*> expected[] = {
      {"GET /catalog", nullptr},
      {"POST /hosts", R"({"hire":"r-40-1","rig":"g8","hall":"a","loaner":false,"how_many":3})"},
      {"POST /hosts/return", R"({"hosts":["n-1","n-2"]})"},
      {"GET /hosts?limit=500", nullptr},
      {"GET /hosts?limit=500&after=n-1", nullptr}};
  const std::vector<test::RecordedRequest> asked = service.requests();
  ASSERT_EQ(asked.size(), std::size(expected));
  for (std::size_t i = 0; i < asked.size(); ++i) {
    EXPECT_EQ(asked[i].request_line, expected[i].first);
    EXPECT_TRUE(is_encoded_as(asked[i].body, expected[i].second ? expected[i].second : "null"));
  }
}

TEST(CloudBytes, RejectionsOfScaleOutAreReadFromLiteral) {
  wire::Response response{503, wire_round_trip(R"({"error":"no capacity"})"), 0};
  test::RecordingServer service([&](const wire::Request&) { return response; });
  Client client(service.address());
  EXPECT_EQ(client.scale_out({}).outcome, CloudOutcome::no_capacity);
  response = {503, wire_round_trip(R"({"error":"outage"})"), 0};
  EXPECT_EQ(client.scale_out({}).outcome, CloudOutcome::retry_later);
  response = {400, wire_round_trip(R"({"error":"bad"})"), 0};
  EXPECT_EQ(client.scale_out({}).outcome, CloudOutcome::malformed);
}

}  // namespace
}  // namespace reachramp::cloud
