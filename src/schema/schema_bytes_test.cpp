// The literal form of the records `level` and `claim/`.
#include "encoding_assertions.h"
#include "schema/schema.h"
#include "schema/shared_settings.h"

namespace reachramp::schema {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

TEST(LevelRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord = R"({"level":5,"writes":4,"settled":false})";
  EXPECT_TRUE(is_encoded_as(encode_stored({5, 4, false}), kRecord));
  EXPECT_EQ(decode_stored(wire_round_trip(kRecord)), (StoredSchema{5, 4, false}));
  EXPECT_EQ(decode_stored(wire_round_trip(R"({"level":6,"writes":6,"settled":true})")),
            (StoredSchema{6, 6, true}));
  EXPECT_STREQ(kLevelKey, "level");
}

TEST(LevelRecordBytes, RecordOfVersion040IsRead) {
  EXPECT_EQ(decode_stored(wire_round_trip(R"({"level":3,"settled":false,"writes":3})")),
            (StoredSchema{3, 3, false}));
}

TEST(ClaimRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord =
      R"({"version":"0.5.0","oldest":1,"newest":6,"hold":4,"digest":18446744073709551615})";
  EXPECT_TRUE(is_encoded_as(encode_claim({"node-1", "0.5.0", 1, 6, 4, 18446744073709551615ull, 0}),
                            kRecord));
  const Claim claim = decode_claim({"claim/node-1", wire_round_trip(kRecord), 30, 9});
  EXPECT_EQ(claim.node, "node-1");
  EXPECT_EQ(claim.version, "0.5.0");
  EXPECT_EQ(claim.oldest, 1u);
  EXPECT_EQ(claim.newest, 6u);
  EXPECT_EQ(claim.hold_at, 4u);
  EXPECT_EQ(claim.settings_digest, 18446744073709551615ull);
  EXPECT_EQ(claim.revision, 30u);
  EXPECT_EQ(claim_key("node-1"), "claim/node-1");
}

TEST(ClaimRecordBytes, RecordOfVersion040IsRead) {
  const Claim claim = decode_claim(
      {"claim/node-2",
       wire_round_trip(R"({"digest":4711,"hold":0,"newest":5,"oldest":1,"version":"0.4.0"})"), 31,
       9});
  EXPECT_EQ(claim.node, "node-2");
  EXPECT_EQ(claim.version, "0.4.0");
  EXPECT_EQ(claim.newest, 5u);
  EXPECT_EQ(claim.hold_at, 0u);
  EXPECT_EQ(claim.settings_digest, 4711u);
}

// Every node announces the digest in its claim and compares it with those of others. During a
// rolling upgrade both versions must compute the same digest for the same settings.
TEST(ClaimRecordBytes, DigestOfSettingsIsFixed) {
  settings::Platform platform;
  platform.node_name = "node-1";
  platform.members = {{"node-0", "b", {}}};
  platform.teams = {{"red", 1, 2, 3, 4}};
  platform.objectives = {{settings::ServiceLevelObjective::Kind::finished, "train", 60, 1}};
  EXPECT_EQ(shared_settings_digest(platform), 980543660533034833ull);
}

// The numbers stand in stored records, and versions in use rely on them.
TEST(SchemaLevelBytes, NumbersAndVersionsAreFixed) {
  const std::pair<std::uint32_t, const char*> levels[] = {{1, "0.2.0"}, {2, "0.3.0"}, {3, "0.4.0"},
                                                          {4, "0.4.0"}, {5, "0.4.0"}, {6, "0.5.0"},
                                                          {7, "0.6.0"}};
  ASSERT_EQ(kSchemaLevels.size(), std::size(levels));
  for (std::size_t i = 0; i < kSchemaLevels.size(); ++i) {
    EXPECT_EQ(kSchemaLevels[i].number, levels[i].first);
    EXPECT_EQ(kSchemaLevels[i].since_version, levels[i].second);
  }
}

}  // namespace
}  // namespace reachramp::schema
