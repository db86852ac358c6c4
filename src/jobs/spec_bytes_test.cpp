// The literal form of jobs' records, including those that earlier versions have written.
#include "encoding_assertions.h"
#include "jobs/spec.h"

namespace reachramp::jobs {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

constexpr const char* kFullSpec =
    R"({"ref":"j-000412","jobclass":"train","owner":"vision","shape":"ensemble","urgency":"urgent",
        "pieces":16,"vcpus":8.5,"accelerators":1.5,"ram_gb":64.25,"bundle":"img-07","pull_gb":6.5,
        "rigs":["g8","c32"],"hall":"a","together":true,"scatter":false,"loaner":true,
        "expected_s":240.5,"snapshot_every_s":30.5,"snapshot_cost_s":4.5,"due_s":900.5,
        "waits_on":["j-1","j-2"]})";

Spec full_spec() {
  Spec spec;
  spec.id = "j-000412";
  spec.job_class = "train";
  spec.team = "vision";
  spec.shape = Shape::gang;
  spec.priority = Priority::high;
  spec.tasks = 16;
  spec.cpus = 8.5;
  spec.gpus = 1.5;
  spec.ram_gb = 64.25;
  spec.image = "img-07";
  spec.image_gb = 6.5;
  spec.types = {"g8", "c32"};
  spec.zone = "a";
  spec.single_zone = true;
  spec.spread_over_zones = false;
  spec.allow_spot = true;
  spec.estimated_duration_s = 240.5;
  spec.checkpoint_interval_s = 30.5;
  spec.checkpoint_duration_s = 4.5;
  spec.deadline_s = 900.5;
  spec.depends_on = {"j-1", "j-2"};
  return spec;
}

void expect_full(const Spec& spec) {
  EXPECT_EQ(spec.id, "j-000412");
  EXPECT_EQ(spec.job_class, "train");
  EXPECT_EQ(spec.team, "vision");
  EXPECT_EQ(spec.shape, Shape::gang);
  EXPECT_EQ(spec.priority, Priority::high);
  EXPECT_EQ(spec.tasks, 16u);
  EXPECT_EQ(spec.cpus, 8.5);
  EXPECT_EQ(spec.gpus, 1.5);
  EXPECT_EQ(spec.ram_gb, 64.25);
  EXPECT_EQ(spec.image, "img-07");
  EXPECT_EQ(spec.image_gb, 6.5);
  EXPECT_EQ(spec.types, (std::vector<std::string>{"g8", "c32"}));
  EXPECT_EQ(spec.zone, "a");
  EXPECT_TRUE(spec.single_zone);
  EXPECT_FALSE(spec.spread_over_zones);
  EXPECT_TRUE(spec.allow_spot);
  EXPECT_EQ(spec.estimated_duration_s, 240.5);
  EXPECT_EQ(spec.checkpoint_interval_s, 30.5);
  EXPECT_EQ(spec.checkpoint_duration_s, 4.5);
  EXPECT_EQ(spec.deadline_s, 900.5);
  EXPECT_EQ(spec.depends_on, (std::vector<std::string>{"j-1", "j-2"}));
}

void expect_same(const TaskRangeRecord& got, const TaskRangeRecord& expected) {
  EXPECT_EQ(got.first, expected.first);
  EXPECT_EQ(got.done, expected.done);
  EXPECT_EQ(got.last_attempt, expected.last_attempt);
  ASSERT_EQ(got.placements.size(), expected.placements.size());
  for (std::size_t i = 0; i < got.placements.size(); ++i) {
    EXPECT_EQ(got.placements[i].task, expected.placements[i].task);
    EXPECT_EQ(got.placements[i].attempt, expected.placements[i].attempt);
    EXPECT_EQ(got.placements[i].host, expected.placements[i].host);
  }
}

TEST(JobSpecBytes, FullSubmissionIsReadAndWrittenAsLiteral) {
  expect_full(decode_spec(wire_round_trip(kFullSpec)));
  EXPECT_TRUE(is_encoded_as(encode_spec(full_spec()), kFullSpec));
  EXPECT_TRUE(is_encoded_as(encode_spec(decode_spec(wire_round_trip(kFullSpec))), kFullSpec));
}

TEST(JobSpecBytes, OptionalFieldsAreLeftOutWhenAbsent) {
  Spec spec = full_spec();
  spec.types.reset();
  spec.zone.reset();
  spec.deadline_s.reset();
  spec.depends_on.clear();
  constexpr const char* kMinimalSpec =
      R"({"ref":"j-000412","jobclass":"train","owner":"vision","shape":"ensemble",
          "urgency":"urgent","pieces":16,"vcpus":8.5,"accelerators":1.5,"ram_gb":64.25,
          "bundle":"img-07","pull_gb":6.5,"together":true,"scatter":false,"loaner":true,
          "expected_s":240.5,"snapshot_every_s":30.5,"snapshot_cost_s":4.5})";
  EXPECT_TRUE(is_encoded_as(encode_spec(spec), kMinimalSpec));
  const Spec back = decode_spec(wire_round_trip(kMinimalSpec));
  EXPECT_FALSE(back.types || back.zone || back.deadline_s);
  EXPECT_TRUE(back.depends_on.empty());
}

TEST(JobSpecBytes, EachFlagIsItsOwnField) {
  Spec spec = full_spec();
  spec.single_zone = spec.allow_spot = false;
  spec.spread_over_zones = true;
  const Json body = encode_spec(spec);
  EXPECT_EQ(body["together"], false);
  EXPECT_EQ(body["scatter"], true);
  EXPECT_EQ(body["loaner"], false);
  const Spec back = decode_spec(body);
  EXPECT_TRUE(back.spread_over_zones);
  EXPECT_FALSE(back.single_zone || back.allow_spot);
}

TEST(JobSpecBytes, EveryShapeAndUrgencyHasItsName) {
  const std::pair<Shape, const char*> shapes[] = {
      {Shape::array, "array"}, {Shape::gang, "ensemble"}, {Shape::service, "service"}};
  for (const auto& [shape, name] : shapes) {
    Spec spec = full_spec();
    spec.shape = shape;
    EXPECT_EQ(encode_spec(spec)["shape"], name);
    Json body = wire_round_trip(kFullSpec);
    body["shape"] = name;
    EXPECT_EQ(decode_spec(body).shape, shape);
  }
  const std::pair<Priority, const char*> urgencies[] = {{Priority::production, "prod"},
                                                        {Priority::high, "urgent"},
                                                        {Priority::normal, "normal"},
                                                        {Priority::low, "best_effort"}};
  for (const auto& [priority, name] : urgencies) {
    Spec spec = full_spec();
    spec.priority = priority;
    EXPECT_EQ(encode_spec(spec)["urgency"], name);
    Json body = wire_round_trip(kFullSpec);
    body["urgency"] = name;
    EXPECT_EQ(decode_spec(body).priority, priority);
  }
}

TEST(JobRecordBytes, HeaderIsReadAndWrittenAsLiteral) {
  const std::string record = std::string(R"({"spec":)") + kFullSpec +
                             R"(,"cancelled":true,"done":3,"running":2,"born":77})";
  EXPECT_TRUE(is_encoded_as(encode_header({full_spec(), true, 3, 2, 77}), record.c_str()));
  const Header header = decode_header(wire_round_trip(record.c_str()));
  expect_full(header.spec);
  EXPECT_TRUE(header.cancelled);
  EXPECT_EQ(header.done, 3u);
  EXPECT_EQ(header.running, 2u);
  EXPECT_EQ(header.accepted_revision, 77u);
}

TEST(JobRecordBytes, ShortenedCancelledHeaderIsWrittenAsLiteral) {
  EXPECT_TRUE(
      is_encoded_as(encode_cancelled_header({full_spec(), false, 3, 2, 77}),
                    R"({"spec":{"ref":"j-000412","jobclass":"-","owner":"vision","shape":"ensemble",
          "urgency":"urgent","pieces":16,"vcpus":8.5,"accelerators":1.5,"ram_gb":64.25,
          "bundle":"-","pull_gb":6.5,"hall":"a","together":true,"scatter":false,"loaner":true,
          "expected_s":240.5,"snapshot_every_s":30.5,"snapshot_cost_s":4.5,"due_s":900.5},
          "cancelled":true,"done":3,"running":2,"born":77})"));
}

TEST(JobRecordBytes, FinalStateIsReadAndWrittenAsLiteral) {
  constexpr const char* kCancelledRecord = R"({"cancelled":true,"done":3})";
  EXPECT_TRUE(is_encoded_as(encode_final_state({true, 3}), kCancelledRecord));
  EXPECT_TRUE(decode_final_state(wire_round_trip(kCancelledRecord)).cancelled);
  EXPECT_EQ(decode_final_state(wire_round_trip(kCancelledRecord)).done, 3u);
  EXPECT_FALSE(decode_final_state(wire_round_trip(R"({"cancelled":false,"done":8})")).cancelled);
}

TEST(TaskRecordBytes, LegacyFormatIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord = R"({"f":8,"d":"81","t":9,"p":[["n-1",9,2,10,2],["n-2",12,1]]})";
  const TaskRangeRecord record{8, {11, 12}, 9, {{9, 2, "n-1"}, {10, 2, "n-1"}, {12, 1, "n-2"}}};
  EXPECT_TRUE(is_encoded_as(encode_legacy_task_range(record), kRecord));
  expect_same(decode_task_range({"j-1", TaskRecordFormat::legacy, 1, 0}, wire_round_trip(kRecord)),
              record);
}

TEST(TaskRecordBytes, CompactFormatIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord = R"({"d":"81","t":9,"m":"n-","p":["1",2,1,2,"2",1,4]})";
  const TaskRangeRecord record{8, {11, 12}, 9, {{9, 2, "n-1"}, {10, 2, "n-1"}, {12, 1, "n-2"}}};
  EXPECT_TRUE(is_encoded_as(encode_compact_task_range(record), kRecord));
  expect_same(
      decode_task_range({"j-1", TaskRecordFormat::compact, 8, 16}, wire_round_trip(kRecord)),
      record);
}

TEST(TaskRecordBytes, EmptyRecordsAreWrittenAsLiteral) {
  const TaskRangeRecord record{8, {}, 0, {}};
  EXPECT_TRUE(is_encoded_as(encode_legacy_task_range(record), R"({"f":8,"d":"","t":0,"p":[]})"));
  EXPECT_TRUE(is_encoded_as(encode_compact_task_range(record), R"({"d":"","t":0,"m":"","p":[]})"));
}

TEST(JobRecordBytes, KeysAreLiteral) {
  EXPECT_EQ(job_key("j-1"), "job/j-1");
  EXPECT_EQ(end_key("j-1"), "end/j-1");
  EXPECT_EQ(legacy_task_range_key("j-1", 2), "task/j-1/2");
  EXPECT_EQ(compact_task_range_key("j-1", 8, 16), "task/j-1/8-16");
  const auto whole = parse_task_range_key("task/j-1/2");
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole->job, "j-1");
  EXPECT_EQ(whole->format, TaskRecordFormat::legacy);
  EXPECT_EQ(whole->first, 2u);
  const auto compact = parse_task_range_key("task/j-1/8-16");
  ASSERT_TRUE(compact);
  EXPECT_EQ(compact->job, "j-1");
  EXPECT_EQ(compact->format, TaskRecordFormat::compact);
  EXPECT_EQ(compact->first, 8u);
  EXPECT_EQ(compact->end, 16u);
}

// Version 0.2.0 has no "waits_on"; it writes only headers, final states and legacy task ranges.
TEST(EarlierJobRecords, RecordsOfVersion020AreRead) {
  const Header header = decode_header(wire_round_trip(
      R"({"born":12,"cancelled":false,"done":4,"running":3,"spec":{"accelerators":0.0,
          "bundle":"img-3","due_s":600.0,"expected_s":120.0,"hall":"b","jobclass":"batch",
          "loaner":true,"owner":"red","pieces":40,"pull_gb":2.0,"ram_gb":8.0,"ref":"j-7",
          "rigs":["c32"],"scatter":true,"shape":"array","snapshot_cost_s":1.0,
          "snapshot_every_s":20.0,"together":false,"urgency":"best_effort","vcpus":4.0}})"));
  EXPECT_EQ(header.spec.id, "j-7");
  EXPECT_EQ(header.spec.shape, Shape::array);
  EXPECT_EQ(header.spec.priority, Priority::low);
  EXPECT_EQ(header.spec.zone, "b");
  EXPECT_TRUE(header.spec.spread_over_zones);
  EXPECT_EQ(header.accepted_revision, 12u);
  EXPECT_EQ(header.done, 4u);
  EXPECT_EQ(header.running, 3u);
  expect_same(decode_task_range(*parse_task_range_key("task/j-7/1"),
                                wire_round_trip(R"({"d":"3","f":20,"p":[["n-4",23,1]],"t":1})")),
              {20, {20, 21}, 1, {{23, 1, "n-4"}}});
  EXPECT_EQ(decode_final_state(wire_round_trip(R"({"cancelled":false,"done":40})")).done, 40u);
}

// Since version 0.3.0 there are "waits_on" and compact task ranges; 0.4.0 writes both the same way.
TEST(EarlierJobRecords, RecordsOfVersions030And040AreRead) {
  const Header header = decode_header(wire_round_trip(
      R"({"born":0,"cancelled":true,"done":0,"running":0,"spec":{"accelerators":8.0,"bundle":"-",
          "expected_s":0.0,"jobclass":"-","loaner":false,"owner":"blue","pieces":4,"pull_gb":0.5,
          "ram_gb":64.0,"ref":"j-8","scatter":false,"shape":"service","snapshot_cost_s":0.0,
          "snapshot_every_s":0.0,"together":true,"urgency":"prod","vcpus":12.0,
          "waits_on":["j-7"]}})"));
  EXPECT_EQ(header.spec.depends_on, std::vector<std::string>{"j-7"});
  EXPECT_EQ(header.spec.shape, Shape::service);
  EXPECT_EQ(header.spec.priority, Priority::production);
  EXPECT_TRUE(header.cancelled);
  expect_same(
      decode_task_range(*parse_task_range_key("task/j-8/0-4"),
                        wire_round_trip(R"({"d":"1","m":"m-1","p":["0",3,1,2,"27",4,3],"t":2})")),
      {0, {0}, 2, {{1, 3, "m-10"}, {2, 3, "m-10"}, {3, 4, "m-127"}}});
}

}  // namespace
}  // namespace reachramp::jobs
