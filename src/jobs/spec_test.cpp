#include "jobs/spec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace reachramp::jobs {
namespace {

Json submission() {
  return {{"ref", "j-000412"},      {"jobclass", "train"}, {"owner", "vision"},
          {"shape", "array"},       {"urgency", "normal"}, {"pieces", 16},
          {"vcpus", 8.0},           {"accelerators", 1.0}, {"ram_gb", 64},
          {"bundle", "img-07"},     {"pull_gb", 6.2},      {"rigs", Json::array({"g8"})},
          {"hall", nullptr},        {"together", true},    {"scatter", false},
          {"loaner", true},         {"expected_s", 240.0}, {"snapshot_every_s", 30.0},
          {"snapshot_cost_s", 4.0}, {"due_s", 900.0},      {"later", "ignored"}};
}

TEST(Spec, RoundTripThroughTheRecord) {
  const Spec spec = decode_spec(submission());
  EXPECT_EQ(encode_spec(decode_spec(encode_spec(spec))), encode_spec(spec));
  EXPECT_EQ(spec.types->front(), "g8");
  EXPECT_FALSE(spec.zone);
  const Header header = decode_header(encode_header({spec, true, 3, 2, 77}));
  EXPECT_TRUE(header.cancelled);
  EXPECT_EQ(header.born, 77u);
}

TEST(Spec, EveryRequiredFieldMustBeThereAndBeValid) {
  const Json whole = submission();
  for (const auto& [field, value] : whole.items()) {
    if (field == "rigs" || field == "hall" || field == "due_s" || field == "later") continue;
    Json without = submission();
    without.erase(field);
    EXPECT_THROW(decode_spec(without), wire::BadMessage) << field;
    for (const char* text : {"[]", "-1", "null", "1e300"}) {
      const Json bad = Json::parse(text);
      Json wrong = submission();
      wrong[field] = bad;
      EXPECT_THROW(decode_spec(wrong), wire::BadMessage) << field << " " << bad;
    }
  }
  for (const char* id : {"", "j-", "x-1", "j-1/2", "j- 1"}) {
    Json wrong = submission();
    wrong["ref"] = id;
    EXPECT_THROW(decode_spec(wrong), wire::BadMessage) << id;
  }
}

TEST(Spec, WhatCanNeverRun) {
  const cloud::Catalog catalog{{"g8", 96, 8, 768, 200, 1, 12, 4.5, 45, {"a", "b"}}};
  const std::vector<settings::Team> teams{{"vision", 0, 20, 0, 0}};
  Spec spec = decode_spec(submission());
  EXPECT_FALSE(never_runs(spec, catalog, teams)) << "an array needs room for one task only";
  spec.shape = Shape::gang;
  EXPECT_TRUE(never_runs(spec, catalog, teams)) << "a gang needs room for all";
  EXPECT_FALSE(never_runs(spec, catalog, {{"vision", 0, 0, 0, 0}})) << "0 is no limit";
  EXPECT_TRUE(never_runs(spec, catalog, {{"other", 0, 0, 0, 0}}));
  spec.shape = Shape::array;
  spec.zone = "c";
  EXPECT_TRUE(never_runs(spec, catalog, teams));
  spec.zone = "b";
  spec.ram_gb = 769;
  EXPECT_TRUE(never_runs(spec, catalog, teams));
}

RC_GTEST_PROP(Chunk, RoundTripAndNoLongerThanReckoned,
              (const std::set<std::uint8_t>& done, const std::set<std::uint8_t>& placed)) {
  ChunkRecord chunk;
  chunk.first = 70000;
  for (const std::uint32_t task : done) chunk.done.push_back(chunk.first + task);
  chunk.last_attempt = 9;
  std::size_t bytes = empty_chunk_bytes(256);
  std::set<std::string> machines;
  for (const std::uint32_t task : placed) {
    chunk.placements.push_back({chunk.first + task, task + 1u, "n-" + std::to_string(task % 7)});
    bytes += placement_bytes(chunk.first + task, task + 1u);
    if (machines.insert(chunk.placements.back().host).second) {
      bytes += machine_bytes(chunk.placements.back().host);
    }
  }
  const Json record = encode_chunk(chunk);
  RC_ASSERT(wire::json_size(record) <= bytes);
  const ChunkRecord back = decode_chunk(record);
  RC_ASSERT(back.done == chunk.done);
  RC_ASSERT(back.last_attempt == 9u);
  std::set<std::tuple<std::uint32_t, std::uint64_t, std::string>> sent, found;
  for (const Placement& p : chunk.placements) sent.insert({p.task, p.attempt, p.host});
  for (const Placement& p : back.placements) found.insert({p.task, p.attempt, p.host});
  RC_ASSERT(sent == found);
}

TEST(Chunk, KeysNameTheirJob) {
  const auto parsed = parse_chunk_key(chunk_key("j-7", 12));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->first, "j-7");
  EXPECT_EQ(parsed->second, 12u);
  EXPECT_FALSE(parse_chunk_key("task/j-7/x"));
  EXPECT_FALSE(parse_chunk_key("job/j-7"));
}

}  // namespace
}  // namespace reachramp::jobs
