#include "schema/schema.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "schema/shared_settings.h"

namespace reachramp::schema {
namespace {

const std::vector<std::string> kNodes{"node-0", "node-1", "node-2"};

// One claim of each node, with increasing revisions from 20.
std::vector<Claim> claims(std::uint32_t newest, std::uint32_t hold_at = 0) {
  std::vector<Claim> claims;
  for (const std::string& node : kNodes) {
    claims.push_back({node, "0.4.0", 1, newest, hold_at, 7, claims.size() + 20});
  }
  return claims;
}

Claim own_claim() { return {"node-1", "0.4.0", 1, kNewestLevel, 0, 7, 0}; }

// The record that an earlier process left under the key of own_claim().
kv::Entry predecessor(const kv::Json& value, std::uint64_t lease_id) {
  return {"claim/node-1", value, 30, lease_id};
}

// Guards against a process that restarts again and again and each time rewrites its claim and
// leaves a lease behind.
TEST(Levels, SameClaimOfPredecessorIsAdopted) {
  const Claim own = own_claim();
  EXPECT_EQ(disposition_of(predecessor(encode_claim(own), 9), own), PredecessorClaim::adopt);
}

TEST(Levels, ClaimOfPredecessorWithoutLeaseIsReplaced) {
  const Claim own = own_claim();
  EXPECT_EQ(disposition_of(predecessor(encode_claim(own), 0), own), PredecessorClaim::replace)
      << "it would never end";
}

TEST(Levels, DifferentClaimOfPredecessorIsReplaced) {
  const Claim own = own_claim();
  Claim other = own;
  other.newest = kCompact;
  EXPECT_EQ(disposition_of(predecessor(encode_claim(other), 9), own), PredecessorClaim::replace);
  other = own;
  other.settings_digest = 8;
  EXPECT_EQ(disposition_of(predecessor(encode_claim(other), 9), own), PredecessorClaim::replace);
  kv::Json later = encode_claim(own);
  later["more"] = 1;
  EXPECT_EQ(disposition_of(predecessor(later, 9), own), PredecessorClaim::replace)
      << "a later version adds fields";
}

TEST(Levels, MalformedClaimOfPredecessorIsLeftAlone) {
  const Claim own = own_claim();
  EXPECT_EQ(disposition_of(predecessor("nonsense", 9), own), PredecessorClaim::leave_alone);
  EXPECT_EQ(disposition_of(predecessor({{"version", 4}}, 9), own), PredecessorClaim::leave_alone);
}

TEST(Levels, UpgradeMovesOneLevelOnConditionOfAllClaims) {
  const auto migration = next_migration({}, claims(kNewestLevel), kNodes);
  ASSERT_TRUE(migration);
  EXPECT_EQ(migration->target, (StoredSchema{3, 3, false}));
  EXPECT_FALSE(migration->rejection_reason);
  EXPECT_EQ(migration->preconditions.size(), kNodes.size());
  EXPECT_EQ(migration->preconditions[2],
            (std::pair<std::string, std::uint64_t>{"claim/node-2", 22}));
}

TEST(Levels, NoUpgradeBeforePreviousOneIsSettled) {
  const StoredSchema migrating{3, 3, false};
  EXPECT_FALSE(next_migration(migrating, claims(kNewestLevel), kNodes));
  EXPECT_EQ(settled_form(migrating), (StoredSchema{3, 3, true}));
}

TEST(Levels, NoUpgradeWithoutClaimOfEveryNode) {
  auto incomplete = claims(kNewestLevel);
  incomplete.pop_back();
  EXPECT_FALSE(next_migration({}, incomplete, kNodes)) << "a node is missing";
  incomplete.push_back({"node-7", "0.4.0", 1, kNewestLevel, 0, 7, 30});
  EXPECT_FALSE(next_migration({}, incomplete, kNodes)) << "node-7 is not in the settings";
}

TEST(Levels, NoUpgradeBeyondWhatOneNodeSupports) {
  auto older = claims(kNewestLevel);
  older[1].newest = 2;
  EXPECT_FALSE(next_migration({}, older, kNodes));
}

TEST(Levels, NoUpgradeBeyondNewestLevelOfThisVersion) {
  EXPECT_FALSE(
      next_migration({kNewestLevel, kNewestLevel, true}, claims(kNewestLevel + 3), kNodes));
}

std::vector<Claim> claims_with_hold_on_one_node(std::uint32_t hold_at) {
  auto held = claims(kNewestLevel);
  held[1].hold_at = hold_at;
  return held;
}

TEST(Levels, UpgradeEndsAtHoldOfOneNode) {
  const auto held = claims_with_hold_on_one_node(3);
  EXPECT_EQ(next_migration({}, held, kNodes)->target.level, 3u);
  EXPECT_FALSE(next_migration({3, 3, true}, held, kNodes));
}

TEST(Levels, HoldBelowWrittenLevelDowngradesOneLevel) {
  const auto held = claims_with_hold_on_one_node(3);
  EXPECT_EQ(next_migration({4, 4, true}, held, kNodes)->target, (StoredSchema{4, 3, false}));
  EXPECT_FALSE(next_migration({4, 3, false}, held, kNodes)) << "a downgrade is under way";
  EXPECT_EQ(settled_form({4, 3, false}), (StoredSchema{3, 3, true}));
}

TEST(Levels, WithdrawnHoldResumesUpgrade) {
  EXPECT_EQ(next_migration({4, 3, false}, claims(kNewestLevel), kNodes)->target,
            (StoredSchema{4, 4, false}));
}

TEST(Levels, DowngradeFromLevelThatCannotBeDowngradedIsRejected) {
  EXPECT_EQ(next_migration({2, 2, true}, claims_with_hold_on_one_node(1), kNodes)->rejection_reason,
            schema_level(kCompact).no_downgrade_because);
}

TEST(Levels, DowngradeFromLevelUnknownToThisVersionIsRejected) {
  const auto migration = next_migration({kNewestLevel + 1, kNewestLevel + 1, true},
                                        claims_with_hold_on_one_node(3), kNodes);
  ASSERT_TRUE(migration);
  EXPECT_EQ(migration->rejection_reason, "this version does not know the level");
}

// A downgrade makes no process incompatible, so it needs no claim of every node.
TEST(Levels, MissingClaimDoesNotPreventDowngrade) {
  auto held = claims(kNewestLevel);
  held.erase(held.begin());
  held[0].hold_at = 3;
  EXPECT_EQ(next_migration({4, 4, true}, held, kNodes)->target, (StoredSchema{4, 3, false}));
}

TEST(Levels, ProcessThatSupportsStoredLevelIsCompatible) {
  EXPECT_EQ(incompatibility({}, SupportedLevels{}), "");
}

TEST(Levels, ProcessOlderThanStoredLevelIsIncompatible) {
  EXPECT_NE(incompatibility({kNewestLevel + 1, kNewestLevel + 1, true}, {}).find("start a later"),
            std::string::npos);
  EXPECT_NE(incompatibility({kNewestLevel + 1, kNewestLevel, false}, SupportedLevels{}), "")
      << "a downgrade that is not settled";
}

TEST(Levels, ProcessNewerThanStoredLevelIsIncompatible) {
  SupportedLevels supported;
  supported.oldest = 3;
  EXPECT_NE(incompatibility({}, supported).find("start a former"), std::string::npos);
}

TEST(Levels, MalformedLevelRecordIsRejected) {
  for (const char* bad :
       {"[]", "{}", R"({"level":3})", R"({"level":3,"writes":3,"settled":1})",
        R"({"level":-3,"writes":3,"settled":true})", R"({"level":3,"writes":4,"settled":false})",
        R"({"level":4,"writes":2,"settled":false})", R"({"level":4,"writes":3,"settled":true})",
        R"({"level":1,"writes":1,"settled":true})",
        R"({"level":1e99,"writes":3,"settled":true})"}) {
    EXPECT_THROW(decode_stored(kv::Json::parse(bad)), wire::BadMessage) << bad;
  }
}

TEST(Levels, AbsentLevelRecordIsReadAsDefault) {
  EXPECT_EQ(decode_stored(std::nullopt), StoredSchema{});
}

TEST(Levels, MalformedClaimsAreLeftOut) {
  for (const char* bad : {"7", "{}", R"({"version":"1","oldest":2,"newest":1})",
                          R"({"version":"1","oldest":0,"newest":0})", R"({"version":7,"newest":4})",
                          R"({"version":"1","oldest":1,"newest":1e12})"}) {
    EXPECT_TRUE(decode_claims({{"claim/node-0", kv::Json::parse(bad), 1}}).empty()) << bad;
  }
}

RC_GTEST_PROP(Levels, EncodedRecordsDecodeToSameValues, ()) {
  Claim claim{"node-1",
              "1.2.3",
              *rc::gen::inRange(1u, 4u),
              0,
              *rc::gen::inRange(0u, 9u),
              *rc::gen::arbitrary<std::uint64_t>(),
              77};
  claim.newest = claim.oldest + *rc::gen::inRange(0u, 9u);
  const Claim decoded = decode_claim({claim_key(claim.node), encode_claim(claim), 77});
  RC_ASSERT(encode_claim(decoded) == encode_claim(claim));
  RC_ASSERT(decoded.node == claim.node && decoded.revision == claim.revision);
  StoredSchema stored;
  stored.written_level = *rc::gen::inRange(2u, 9u);
  stored.level = stored.written_level + *rc::gen::inRange(0u, 2u);
  stored.settled = stored.level == stored.written_level && *rc::gen::arbitrary<bool>();
  RC_ASSERT(decode_stored(encode_stored(stored)) == stored);
}

TEST(Levels, VersionsAreComparedNumberByNumber) {
  EXPECT_TRUE(is_later("0.10.0", "0.9.9"));
  EXPECT_TRUE(is_later("0.4.1", "0.4"));
  EXPECT_FALSE(is_later("0.4.0", "0.4.0"));
  EXPECT_FALSE(is_later("nonsense", "0.4.0"));
}

TEST(Levels, NodesWithOtherSharedSettingsAreNamed) {
  settings::Platform one;
  one.node_name = "node-0";
  one.members = {{"node-1", "a", {}}};
  one.teams = {{"red", 1, 2, 0, 0}};
  settings::Platform other = one;
  other.node_name = "node-1";
  other.members = {{"node-0", "a", {}}};
  EXPECT_EQ(shared_settings_digest(one), shared_settings_digest(other))
      << "own name and address do not count";
  other.teams[0].max_cpus = 3;
  EXPECT_NE(shared_settings_digest(one), shared_settings_digest(other));
  EXPECT_EQ(nodes_with_other_settings({{"node-1", "", 1, 4, 0, shared_settings_digest(other), 1}},
                                      shared_settings_digest(one)),
            std::vector<std::string>{"node-1"});
}

}  // namespace
}  // namespace reachramp::schema
