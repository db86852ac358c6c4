// The literal form of workers' heartbeats and of the commands that answer them.
#include "encoding_assertions.h"
#include "workers/heartbeat.h"

namespace reachramp::workers {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

TEST(HeartbeatBytes, EveryFieldIsReadFromLiteral) {
  const Heartbeat heartbeat = decode_heartbeat(wire_round_trip(
      R"({"host":"n-1","address":"10.0.0.1:9000","rig":"g8","hall":"a","loaner":true,"tenure":4,
          "tick":17,"baton":40,"reclaim_in_s":90.5,"pieces":[
          {"piece":"j-1/3","try":2,"phase":"exited","cause":"done"},
          {"piece":"j-2/0","try":1,"phase":"running","cause":null}]})"));
  EXPECT_EQ(heartbeat.host, "n-1");
  EXPECT_EQ(heartbeat.address, "10.0.0.1:9000");
  EXPECT_EQ(heartbeat.type, "g8");
  EXPECT_EQ(heartbeat.zone, "a");
  EXPECT_TRUE(heartbeat.spot);
  EXPECT_EQ(heartbeat.incarnation, 4u);
  EXPECT_EQ(heartbeat.sequence_number, 17u);
  EXPECT_EQ(heartbeat.fencing_token, 40u);
  EXPECT_EQ(heartbeat.reclaim_in_s, 90.5);
  ASSERT_EQ(heartbeat.tasks.size(), 2u);
  EXPECT_EQ(heartbeat.tasks[0].job, "j-1");
  EXPECT_EQ(heartbeat.tasks[0].task, 3u);
  EXPECT_EQ(heartbeat.tasks[0].attempt, 2u);
  EXPECT_EQ(heartbeat.tasks[0].state, TaskState::exited);
  EXPECT_EQ(heartbeat.tasks[0].exit_reason, ExitReason::done);
  EXPECT_EQ(heartbeat.tasks[1].job, "j-2");
  EXPECT_EQ(heartbeat.tasks[1].task, 0u);
  EXPECT_EQ(heartbeat.tasks[1].attempt, 1u);
  EXPECT_EQ(heartbeat.tasks[1].state, TaskState::running);
  EXPECT_EQ(heartbeat.tasks[1].exit_reason, ExitReason::none);
}

TEST(HeartbeatBytes, OptionalFieldsMayBeAbsentOrNull) {
  for (const char* body :
       {R"({"host":"n-1","rig":"g8","hall":"a","loaner":false,"tenure":4,"tick":17,"baton":0,
            "pieces":[]})",
        R"({"host":"n-1","address":null,"rig":"g8","hall":"a","loaner":false,"tenure":4,"tick":17,
            "baton":0,"reclaim_in_s":null,"pieces":[]})"}) {
    const Heartbeat heartbeat = decode_heartbeat(wire_round_trip(body));
    EXPECT_EQ(heartbeat.address, "");
    EXPECT_FALSE(heartbeat.spot);
    EXPECT_FALSE(heartbeat.reclaim_in_s);
    EXPECT_TRUE(heartbeat.tasks.empty());
  }
}

TaskStatus decode_one_status(const char* phase, const char* reason) {
  Json body =
      wire_round_trip(R"({"host":"n-1","rig":"g8","hall":"a","loaner":false,"tenure":4,"tick":1,
                           "baton":0,"pieces":[{"piece":"j-1/3","try":2}]})");
  body["pieces"][0]["phase"] = phase;
  if (reason != nullptr) body["pieces"][0]["cause"] = reason;
  return decode_heartbeat(body).tasks.at(0);
}

TEST(HeartbeatBytes, EveryStateAndExitReasonHasItsName) {
  const std::pair<const char*, TaskState> states[] = {
      {"fetching", TaskState::fetching}, {"waiting", TaskState::waiting},
      {"running", TaskState::running},   {"flushing", TaskState::saving},
      {"exited", TaskState::exited},     {"of a newer version", TaskState::waiting}};
  for (const auto& [name, state] : states)
    EXPECT_EQ(decode_one_status(name, nullptr).state, state) << name;
  const std::pair<const char*, ExitReason> reasons[] = {
      {"done", ExitReason::done},
      {"halted", ExitReason::stopped},
      {"mates_gone", ExitReason::gang_member_lost},
      {"incomplete", ExitReason::incomplete},
      {"error", ExitReason::error},
      {"full", ExitReason::insufficient_capacity},
      {"in_use", ExitReason::task_already_present},
      {"no_such", ExitReason::unknown_task},
      {"of a newer version", ExitReason::error}};
  for (const auto& [name, reason] : reasons) {
    EXPECT_EQ(decode_one_status("exited", name).exit_reason, reason) << name;
  }
}

TEST(WorkerCommandBytes, EveryCommandIsWrittenAsLiteral) {
  EXPECT_TRUE(is_encoded_as(encode_response(40, {{CommandType::start, "j-1", 3, 2, 0},
                                                 {CommandType::stop, "j-2", 0, 1, 4.5},
                                                 {CommandType::stop, "j-2", 1, 1, 0},
                                                 {CommandType::clear, "j-3", 7, 5, 0}}),
                            R"({"baton":40,"orders":[{"verb":"start","piece":"j-1/3","try":2},
          {"verb":"stop","piece":"j-2/0","try":1,"wind_down_s":4.5},
          {"verb":"stop","piece":"j-2/1","try":1,"wind_down_s":0.0},
          {"verb":"clear","piece":"j-3/7","try":5}]})"));
  EXPECT_TRUE(is_encoded_as(encode_response(40, {}), R"({"baton":40,"orders":[]})"));
}

}  // namespace
}  // namespace reachramp::workers
