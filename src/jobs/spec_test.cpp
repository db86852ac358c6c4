#include "jobs/spec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
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
  EXPECT_EQ(header.accepted_revision, 77u);
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

TEST(Spec, UnsatisfiableJobsAreRecognized) {
  const cloud::Catalog catalog{{"g8", 96, 8, 768, 200, 1, 12, 4.5, 45, {"a", "b"}}};
  const std::vector<settings::Team> teams{{"vision", 0, 20, 0, 0}};
  Spec spec = decode_spec(submission());
  EXPECT_FALSE(unsatisfiable_reason(spec, catalog, teams))
      << "an array needs room for one task only";
  spec.shape = Shape::gang;
  EXPECT_TRUE(unsatisfiable_reason(spec, catalog, teams)) << "a gang needs room for all";
  EXPECT_FALSE(unsatisfiable_reason(spec, catalog, {{"vision", 0, 0, 0, 0}})) << "0 is no limit";
  EXPECT_TRUE(unsatisfiable_reason(spec, catalog, {{"other", 0, 0, 0, 0}}));
  spec.shape = Shape::array;
  spec.zone = "c";
  EXPECT_TRUE(unsatisfiable_reason(spec, catalog, teams));
  spec.zone = "b";
  spec.ram_gb = 769;
  EXPECT_TRUE(unsatisfiable_reason(spec, catalog, teams));
}

TEST(Spec, DependenciesAreJobIdsWithoutDuplicates) {
  Json body = submission();
  for (const char* none : {"null", "[]"}) {
    body["waits_on"] = Json::parse(none);
    EXPECT_TRUE(decode_spec(body).depends_on.empty());
    EXPECT_FALSE(encode_spec(decode_spec(body)).contains("waits_on"));
  }
  body["waits_on"] = {"j-2", "j-1", "j-2"};
  const Spec spec = decode_spec(body);
  EXPECT_EQ(spec.depends_on, (std::vector<std::string>{"j-1", "j-2"}));
  EXPECT_EQ(decode_spec(encode_spec(spec)).depends_on, spec.depends_on);
  for (const char* bad :
       {R"("j-1")", "{}", "[1]", "[null]", R"(["x-1"])", R"(["j-1/0"])", R"(["j-000412"])"}) {
    body["waits_on"] = Json::parse(bad);
    EXPECT_THROW(decode_spec(body), wire::BadMessage) << bad;
  }
}

// While some nodes still run version 0.2.0 they read the records that this version writes, and this
// version reads the records that they have left.
TEST(LegacyRecords, AreWrittenAndReadAsInVersion020) {
  Json body = submission();
  body.erase("rigs");
  const Json header = Json::parse(
      R"({"born":0,"cancelled":false,"done":0,"running":0,"spec":{"accelerators":1.0,"bundle":
      "img-07","due_s":900.0,"expected_s":240.0,"jobclass":"train","loaner":true,"owner":"vision",
      "pieces":16,"pull_gb":6.2,"ram_gb":64.0,"ref":"j-000412","scatter":false,"shape":"array",
      "snapshot_cost_s":4.0,"snapshot_every_s":30.0,"together":true,"urgency":"normal","vcpus":8.0}})");
  Header built;
  built.spec = decode_spec(body);
  EXPECT_EQ(encode_header(built), header);
  EXPECT_EQ(encode_header(decode_header(header)), header);
  const Json range = Json::parse(R"({"d":"81","f":8,"p":[["n-1",9,2,10,2],["n-2",12,1]],"t":2})");
  TaskRangeRecord record;
  record.first = 8;
  record.done = {11, 12};
  record.last_attempt = 2;
  record.placements = {{9, 2, "n-1"}, {12, 1, "n-2"}, {10, 2, "n-1"}};
  EXPECT_EQ(encode_legacy_task_range(record), range);
  EXPECT_EQ(
      encode_legacy_task_range(decode_task_range({"j-1", TaskRecordFormat::legacy, 1, 0}, range)),
      range);
  EXPECT_EQ(encode_final_state({true, 3}), Json::parse(R"({"cancelled":true,"done":3})"));
  EXPECT_EQ(legacy_task_range_key("j-1", 2), "task/j-1/2");
}

TEST(Header, ACancelledHeaderIsShortWhateverWasAccepted) {
  Header header;
  header.spec = decode_spec(submission());
  header.spec.types = std::vector<std::string>(64, std::string(100, 'x'));
  ASSERT_GT(wire::json_size(encode_header(header)), 2048u);
  const Json record = encode_cancelled_header(header);
  EXPECT_LT(wire::json_size(record), 1024u);
  const Header back = decode_header(record);
  EXPECT_TRUE(back.cancelled);
  EXPECT_EQ(back.spec.tasks, header.spec.tasks);
}

class TaskRangeFormat : public ::testing::TestWithParam<TaskRecordFormat> {};
INSTANTIATE_TEST_SUITE_P(Formats, TaskRangeFormat,
                         ::testing::Values(TaskRecordFormat::legacy, TaskRecordFormat::compact));

TEST_P(TaskRangeFormat, RoundTripAndNoLongerThanTheUpperBound) {
  const TaskRecordFormat format = GetParam();
  const std::string name = "n-0";  // the common prefix of all names
  rc::check([&](const std::set<std::uint8_t>& done, const std::set<std::uint8_t>& placed,
                std::uint8_t attempts) {
    TaskRangeRecord range;
    range.first = 70000;
    for (const std::uint32_t task : done) range.done.push_back(range.first + task);
    range.last_attempt = 9;
    std::size_t bytes = max_empty_range_bytes(format, 256, name.size());
    std::set<std::pair<std::string, std::uint64_t>> machines;
    for (const std::uint32_t task : placed) {
      const Placement p{range.first + task, 8u + task % (attempts % 5 + 1u),
                        name + std::to_string(task % 7)};
      range.placements.push_back(p);
      bytes += max_placement_bytes(format, p.task, range.first, p.attempt);
      if (machines.insert({p.host, format == TaskRecordFormat::legacy ? 0 : p.attempt}).second) {
        bytes += max_machine_bytes(format, p.host, p.attempt, name.size());
      }
    }
    const TaskRangeKey key{"j-1", format, format == TaskRecordFormat::legacy ? 0 : range.first,
                           70256};
    const Json record = format == TaskRecordFormat::legacy ? encode_legacy_task_range(range)
                                                           : encode_compact_task_range(range);
    RC_ASSERT(wire::json_size(record) <= bytes);
    const TaskRangeRecord back = decode_task_range(key, wire::decode_map(wire::encode(record)));
    RC_ASSERT(back.first == range.first);
    RC_ASSERT(back.done == range.done);
    RC_ASSERT(back.last_attempt == 9u);
    std::set<std::tuple<std::uint32_t, std::uint64_t, std::string>> sent, found;
    for (const Placement& p : range.placements) sent.insert({p.task, p.attempt, p.host});
    for (const Placement& p : back.placements) found.insert({p.task, p.attempt, p.host});
    RC_ASSERT(sent == found);
  });
}

TEST(TaskRange, KeysNameTheirJobAndFormat) {
  const auto whole = parse_task_range_key(legacy_task_range_key("j-7", 12));
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole->job, "j-7");
  EXPECT_EQ(whole->format, TaskRecordFormat::legacy);
  EXPECT_EQ(whole->first, 12u);
  const auto compact = parse_task_range_key(compact_task_range_key("j-7", 12, 24));
  ASSERT_TRUE(compact);
  EXPECT_EQ(compact->job, "j-7");
  EXPECT_EQ(compact->format, TaskRecordFormat::compact);
  EXPECT_EQ(compact->first, 12u);
  EXPECT_EQ(compact->end, 24u);
  for (const char* other : {"task/j-7/x", "job/j-7", "task/j-7/", "task/j-7/1-", "task/j-7/2-2",
                            "task/j-7/1-2-3", "task/j-7/1+2", "task/j-7/0-100001"}) {
    EXPECT_FALSE(parse_task_range_key(other)) << other;
  }
}

}  // namespace
}  // namespace reachramp::jobs
