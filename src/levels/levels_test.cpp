#include "levels/levels.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "levels/book.h"

namespace reachramp::levels {
namespace {

const std::vector<std::string> kNodes{"node-0", "node-1", "node-2"};

std::vector<Claim> claims(std::uint32_t newest, std::uint32_t hold_at = 0) {
  std::vector<Claim> made;
  for (const std::string& node : kNodes) {
    made.push_back({node, "0.4.0", 1, newest, hold_at, 7, made.size() + 20});
  }
  return made;
}

// A process that ends again and again neither writes its claim anew each time nor leaves permits.
TEST(Levels, AProcessGoesOnWithAClaimThatSaysTheSame) {
  const Claim own{"node-1", "0.4.0", 1, kNewest, 0, 7, 0};
  const auto before = [](const state::Json& value, std::uint64_t permit) {
    return state::Entry{"claim/node-1", value, 30, permit};
  };
  EXPECT_EQ(heir_of(before(encode_claim(own), 9), own), Heir::goes_on);
  EXPECT_EQ(heir_of(before(encode_claim(own), 0), own), Heir::replaces) << "it would never end";
  Claim other = own;
  other.newest = kCompact;
  EXPECT_EQ(heir_of(before(encode_claim(other), 9), own), Heir::replaces);
  other = own;
  other.digest = 8;
  EXPECT_EQ(heir_of(before(encode_claim(other), 9), own), Heir::replaces);
  state::Json newer = encode_claim(own);
  newer["more"] = 1;
  EXPECT_EQ(heir_of(before(newer, 9), own), Heir::replaces) << "a later version says more";
  EXPECT_EQ(heir_of(before("nonsense", 9), own), Heir::leaves);
  EXPECT_EQ(heir_of(before({{"version", 4}}, 9), own), Heir::leaves);
}

TEST(Levels, OneStepAtATimeAndOnlyWithAllNodes) {
  const Stored start;
  auto step = next_step(start, claims(kNewest), kNodes);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->to, (Stored{3, 3, false}));
  EXPECT_EQ(step->given.size(), kNodes.size());
  EXPECT_EQ(step->given[2], (std::pair<std::string, std::uint64_t>{"claim/node-2", 22}));
  EXPECT_FALSE(next_step(step->to, claims(kNewest), kNodes)) << "what is older is being moved";
  EXPECT_EQ(settle(step->to), (Stored{3, 3, true}));
  auto two = claims(kNewest);
  two.pop_back();
  EXPECT_FALSE(next_step(start, two, kNodes)) << "a node is missing";
  two.push_back({"node-7", "0.4.0", 1, kNewest, 0, 7, 30});
  EXPECT_FALSE(next_step(start, two, kNodes)) << "a stranger";
  auto older = claims(kNewest);
  older[1].newest = 2;
  EXPECT_FALSE(next_step(start, older, kNodes));
  EXPECT_FALSE(next_step({kNewest, kNewest, true}, claims(kNewest + 3), kNodes)) << "unknown here";
}

TEST(Levels, AHoldOnOneNodeCountsForAll) {
  auto held = claims(kNewest);
  held[1].hold_at = 3;
  EXPECT_EQ(next_step({}, held, kNodes)->to.level, 3u);
  EXPECT_FALSE(next_step({3, 3, true}, held, kNodes));
  EXPECT_EQ(next_step({4, 4, true}, held, kNodes)->to, (Stored{4, 3, false})) << "back";
  EXPECT_FALSE(next_step({4, 3, false}, held, kNodes)) << "on its way";
  EXPECT_EQ(settle({4, 3, false}), (Stored{3, 3, true}));
  EXPECT_EQ(next_step({4, 3, false}, claims(kNewest), kNodes)->to, (Stored{4, 4, false}));
  held[1].hold_at = 1;
  EXPECT_EQ(next_step({2, 2, true}, held, kNodes)->refused, row(kCompact).why);
  // Whoever cannot be heard is let in by a step back.
  held.erase(held.begin());
  held[0].hold_at = 3;
  EXPECT_EQ(next_step({4, 4, true}, held, kNodes)->to, (Stored{4, 3, false}));
}

TEST(Levels, WhoDoesNotSpeakThePresentLevelIsLockedOut) {
  Speech speech;
  EXPECT_EQ(locked_out({}, speech), "");
  EXPECT_NE(locked_out({kNewest + 1, kNewest + 1, true}, speech).find("start a later"),
            std::string::npos);
  speech.oldest = 3;
  EXPECT_NE(locked_out({}, speech).find("start a former"), std::string::npos);
  EXPECT_NE(locked_out({kNewest + 1, kNewest, false}, Speech{}), "")
      << "a step back that is not through";
}

TEST(Levels, WhatCannotBeReadIsNoGround) {
  for (const char* bad :
       {"[]", "{}", R"({"level":3})", R"({"level":3,"writes":3,"settled":1})",
        R"({"level":-3,"writes":3,"settled":true})", R"({"level":3,"writes":4,"settled":false})",
        R"({"level":4,"writes":2,"settled":false})", R"({"level":4,"writes":3,"settled":true})",
        R"({"level":1,"writes":1,"settled":true})",
        R"({"level":1e99,"writes":3,"settled":true})"}) {
    EXPECT_THROW(decode_stored(state::Json::parse(bad)), std::exception) << bad;
  }
  EXPECT_EQ(decode_stored(std::nullopt), Stored{});
  for (const char* bad : {"7", "{}", R"({"version":"1","oldest":2,"newest":1})",
                          R"({"version":"1","oldest":0,"newest":0})", R"({"version":7,"newest":4})",
                          R"({"version":"1","oldest":1,"newest":1e12})"}) {
    EXPECT_TRUE(decode_claims({{"claim/node-0", state::Json::parse(bad), 1}}).empty()) << bad;
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
  RC_ASSERT(read.node == claim.node && read.stamp == claim.stamp);
  Stored stored;
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
}  // namespace reachramp::levels
