#include "schema/schema.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "schema/schema_version_tracker.h"

namespace reachramp::schema {
namespace {

const std::vector<std::string> kNodes{"node-0", "node-1", "node-2"};

std::vector<Claim> claims(std::uint32_t newest, std::uint32_t hold_at = 0) {
  std::vector<Claim> made;
  for (const std::string& node : kNodes) {
    made.push_back({node, "0.4.0", 1, newest, hold_at, 7, made.size() + 20});
  }
  return made;
}

// A process that ends again and again neither writes its claim anew each time nor leaves leases.
TEST(Levels, AProcessGoesOnWithAClaimThatSaysTheSame) {
  const Claim own{"node-1", "0.4.0", 1, kNewest, 0, 7, 0};
  const auto before = [](const kv::Json& value, std::uint64_t lease_id) {
    return kv::Entry{"claim/node-1", value, 30, lease_id};
  };
  EXPECT_EQ(disposition_of(before(encode_claim(own), 9), own), PredecessorClaim::adopt);
  EXPECT_EQ(disposition_of(before(encode_claim(own), 0), own), PredecessorClaim::replace)
      << "it would never end";
  Claim other = own;
  other.newest = kCompact;
  EXPECT_EQ(disposition_of(before(encode_claim(other), 9), own), PredecessorClaim::replace);
  other = own;
  other.digest = 8;
  EXPECT_EQ(disposition_of(before(encode_claim(other), 9), own), PredecessorClaim::replace);
  kv::Json newer = encode_claim(own);
  newer["more"] = 1;
  EXPECT_EQ(disposition_of(before(newer, 9), own), PredecessorClaim::replace)
      << "a later version says more";
  EXPECT_EQ(disposition_of(before("nonsense", 9), own), PredecessorClaim::leave_alone);
  EXPECT_EQ(disposition_of(before({{"version", 4}}, 9), own), PredecessorClaim::leave_alone);
}

TEST(Levels, OneStepAtATimeAndOnlyWithAllNodes) {
  const StoredSchema start;
  auto step = next_migration(start, claims(kNewest), kNodes);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->to, (StoredSchema{3, 3, false}));
  EXPECT_EQ(step->preconditions.size(), kNodes.size());
  EXPECT_EQ(step->preconditions[2], (std::pair<std::string, std::uint64_t>{"claim/node-2", 22}));
  EXPECT_FALSE(next_migration(step->to, claims(kNewest), kNodes)) << "what is older is being moved";
  EXPECT_EQ(settled_form(step->to), (StoredSchema{3, 3, true}));
  auto two = claims(kNewest);
  two.pop_back();
  EXPECT_FALSE(next_migration(start, two, kNodes)) << "a node is missing";
  two.push_back({"node-7", "0.4.0", 1, kNewest, 0, 7, 30});
  EXPECT_FALSE(next_migration(start, two, kNodes)) << "a stranger";
  auto older = claims(kNewest);
  older[1].newest = 2;
  EXPECT_FALSE(next_migration(start, older, kNodes));
  EXPECT_FALSE(next_migration({kNewest, kNewest, true}, claims(kNewest + 3), kNodes))
      << "unknown here";
}

TEST(Levels, AHoldOnOneNodeCountsForAll) {
  auto held = claims(kNewest);
  held[1].hold_at = 3;
  EXPECT_EQ(next_migration({}, held, kNodes)->to.level, 3u);
  EXPECT_FALSE(next_migration({3, 3, true}, held, kNodes));
  EXPECT_EQ(next_migration({4, 4, true}, held, kNodes)->to, (StoredSchema{4, 3, false})) << "back";
  EXPECT_FALSE(next_migration({4, 3, false}, held, kNodes)) << "on its way";
  EXPECT_EQ(settled_form({4, 3, false}), (StoredSchema{3, 3, true}));
  EXPECT_EQ(next_migration({4, 3, false}, claims(kNewest), kNodes)->to,
            (StoredSchema{4, 4, false}));
  held[1].hold_at = 1;
  EXPECT_EQ(next_migration({2, 2, true}, held, kNodes)->refused, row(kCompact).why);
  // Whoever cannot be heard is let in by a step back.
  held.erase(held.begin());
  held[0].hold_at = 3;
  EXPECT_EQ(next_migration({4, 4, true}, held, kNodes)->to, (StoredSchema{4, 3, false}));
}

TEST(Levels, WhoDoesNotSpeakThePresentLevelIsLockedOut) {
  SupportedVersions speech;
  EXPECT_EQ(incompatibility({}, speech), "");
  EXPECT_NE(incompatibility({kNewest + 1, kNewest + 1, true}, speech).find("start a later"),
            std::string::npos);
  speech.oldest = 3;
  EXPECT_NE(incompatibility({}, speech).find("start a former"), std::string::npos);
  EXPECT_NE(incompatibility({kNewest + 1, kNewest, false}, SupportedVersions{}), "")
      << "a step back that is not through";
}

TEST(Levels, WhatCannotBeReadIsNoGround) {
  for (const char* bad :
       {"[]", "{}", R"({"level":3})", R"({"level":3,"writes":3,"settled":1})",
        R"({"level":-3,"writes":3,"settled":true})", R"({"level":3,"writes":4,"settled":false})",
        R"({"level":4,"writes":2,"settled":false})", R"({"level":4,"writes":3,"settled":true})",
        R"({"level":1,"writes":1,"settled":true})",
        R"({"level":1e99,"writes":3,"settled":true})"}) {
    EXPECT_THROW(decode_stored(kv::Json::parse(bad)), std::exception) << bad;
  }
  EXPECT_EQ(decode_stored(std::nullopt), StoredSchema{});
  for (const char* bad : {"7", "{}", R"({"version":"1","oldest":2,"newest":1})",
                          R"({"version":"1","oldest":0,"newest":0})", R"({"version":7,"newest":4})",
                          R"({"version":"1","oldest":1,"newest":1e12})"}) {
    EXPECT_TRUE(decode_claims({{"claim/node-0", kv::Json::parse(bad), 1}}).empty()) << bad;
  }
}

RC_GTEST_PROP(Levels, RecordsComeBackAsTheyWere, ()) {
  Claim claim{"node-1",
              "1.2.3",
              *rc::gen::inRange(1u, 4u),
              0,
              *rc::gen::inRange(0u, 9u),
              *rc::gen::arbitrary<std::uint64_t>(),
              77};
  claim.newest = claim.oldest + *rc::gen::inRange(0u, 9u);
  const Claim read = decode_claim({claim_key(claim.node), encode_claim(claim), 77});
  RC_ASSERT(encode_claim(read) == encode_claim(claim));
  RC_ASSERT(read.node == claim.node && read.revision == claim.revision);
  StoredSchema stored;
  stored.writes = *rc::gen::inRange(2u, 9u);
  stored.level = stored.writes + *rc::gen::inRange(0u, 2u);
  stored.settled = stored.level == stored.writes && *rc::gen::arbitrary<bool>();
  RC_ASSERT(decode_stored(encode_stored(stored)) == stored);
}

TEST(Levels, LaterVersionsAreToldByNumbers) {
  EXPECT_TRUE(is_later("0.10.0", "0.9.9"));
  EXPECT_TRUE(is_later("0.4.1", "0.4"));
  EXPECT_FALSE(is_later("0.4.0", "0.4.0"));
  EXPECT_FALSE(is_later("nonsense", "0.4.0"));
}

TEST(Levels, NodesThatDifferInSharedSettingsAreNamed) {
  settings::Platform one;
  one.node_name = "node-0";
  one.members = {{"node-1", "a", {}}};
  one.teams = {{"red", 1, 2, 0, 0}};
  settings::Platform other = one;
  other.node_name = "node-1";
  other.members = {{"node-0", "a", {}}};
  EXPECT_EQ(digest_of(one), digest_of(other)) << "names and addresses of their own are theirs";
  other.teams[0].cpus_max = 3;
  EXPECT_NE(digest_of(one), digest_of(other));
  EXPECT_EQ(differing({{"node-1", "", 1, 4, 0, digest_of(other), 1}}, digest_of(one)),
            std::vector<std::string>{"node-1"});
}

}  // namespace
}  // namespace reachramp::schema
