// Which facts about tasks and machines a heartbeat proves, and which it does not.
#include "workers/heartbeat.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cluster_fixtures.h"

namespace reachramp::workers {
namespace {

using placement::ObservedState;

constexpr std::uint64_t kFencingToken = 40;

class HeartbeatProof : public ::testing::Test {
 protected:
  HeartbeatProof() : cluster_(platform_, kFencingToken, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
    jobs::Header header = test::make_array("j-1", 4);
    header.spec.allow_spot = true;
    job_ = cluster_.add_job(header, 7, 0);
  }

  Heartbeat make_heartbeat(std::uint64_t sequence_number, std::vector<TaskStatus> tasks = {},
                           std::uint64_t incarnation = 1,
                           std::uint64_t fencing_token = kFencingToken) {
    return {"n-1",         "",           "small",         "a", true, incarnation, sequence_number,
            fencing_token, std::nullopt, std::move(tasks)};
  }
  Index deliver(const Heartbeat& heartbeat, Channel channel = Channel::heartbeat) {
    const auto host = reconcile(cluster_, heartbeat, channel, heartbeat.sequence_number);
    return host ? *host : placement::kNone;
  }
  // Places task 0, marks the placement as stored, and sends the start command in the response to
  // heartbeat 1.
  Index place_and_start() {
    const Index host = deliver(make_heartbeat(1));
    cluster_.place(job_, 0, 1, host, 1);
    attempt().persisted = true;
    EXPECT_EQ(commands_for(cluster_, host, true, 1).size(), 1u);
    return host;
  }
  void restore_task_range(const jobs::TaskRangeRecord& record) {
    placement::StoredRecord stored;
    stored.store_key = jobs::legacy_task_range_key("j-1", 0);
    stored.parsed_key = *jobs::parse_task_range_key(stored.store_key);
    stored.revision = 9;
    stored.record = record;
    cluster_.restore(job_, {stored}, 0);
  }
  placement::Attempt& attempt() { return cluster_.jobs[job_]->attempts.at(0); }
  bool has_attempt() { return cluster_.jobs[job_]->attempts.contains(0); }
  TaskStatus status(TaskState state, ExitReason reason = ExitReason::none) {
    return {"j-1", 0, 1, state, reason};
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.teams = {{"red", 0, 0, 0, 0}};
    return p;
  }();
  Cluster cluster_;
  Index job_ = 0;
};

// A heartbeat that is not newer, such as one that a direct response has overtaken, is answered like
// any other, and its response renews the worker's lease. The response therefore stops the tasks
// that must not run there.
TEST_F(HeartbeatProof, AHeartbeatThatIsNotNewerIsAnsweredWithStops) {
  const Index host = place_and_start();
  EXPECT_TRUE(deliver(make_heartbeat(5, {status(TaskState::running)})) == host);
  cluster_.cancel_job(job_, {.latest = 5});
  const Heartbeat late = make_heartbeat(4, {status(TaskState::running),
                                            {"j-gone", 2, 3, TaskState::running, ExitReason::none},
                                            {"j-gone", 1, 3, TaskState::exited, ExitReason::done}});
  EXPECT_EQ(deliver(late), placement::kNone);
  const std::vector<Command> commands = stop_commands_for(cluster_, late);
  ASSERT_EQ(commands.size(), 2u) << "the cancelled task, and the one of a job that has ended";
  for (const Command& command : commands) EXPECT_EQ(command.type, CommandType::stop);
  EXPECT_EQ(commands[0].job, "j-1");
  EXPECT_EQ(commands[1].job, "j-gone");
  Heartbeat unknown_machine = late;
  unknown_machine.host = "n-never";
  EXPECT_EQ(stop_commands_for(cluster_, unknown_machine).size(), 2u)
      << "all listed tasks that have not ended";
}

// A new leader's first response answers a heartbeat that does not carry its token yet. The response
// renews the lease, so it must stop a task whose job's record is gone.
TEST_F(HeartbeatProof, TheFirstResponseOfALeaderStopsUnknownTasks) {
  const Heartbeat before = make_heartbeat(
      3, {{"j-gone", 0, 1, TaskState::running, ExitReason::none}}, 1, kFencingToken - 1);
  const Index host = deliver(before);
  ASSERT_NE(host, placement::kNone);
  const std::vector<Command> commands = commands_for(cluster_, host, true, 3);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].type, CommandType::stop);
  EXPECT_EQ(commands[0].job, "j-gone");
  EXPECT_TRUE(cluster_.jobs[job_]->attempts.empty()) << "such a heartbeat proves nothing";
}

TEST_F(HeartbeatProof, NoTaskStartsBeforeItsPlacementIsStored) {
  const Index host = deliver(make_heartbeat(1));
  cluster_.place(job_, 0, 1, host, 1);
  EXPECT_TRUE(commands_for(cluster_, host, true, 1).empty());
  attempt().persisted = true;
  EXPECT_TRUE(commands_for(cluster_, host, false, 1).empty()) << "cancellations may be unknown";
  EXPECT_EQ(commands_for(cluster_, host, true, 1).size(), 1u);
  EXPECT_TRUE(commands_for(cluster_, host, true, 1).empty())
      << "not repeated unless it is proven lost";
}

TEST_F(HeartbeatProof, ALostStartIsSentAgainOnlyAfterTheNextHeartbeat) {
  const Index host = place_and_start();
  deliver(make_heartbeat(2));
  EXPECT_TRUE(has_attempt());
  EXPECT_EQ(commands_for(cluster_, host, true, 2).size(), 1u);
}

// The body of a response to /orders may have been written while the response with the start command
// was still on its way.
TEST_F(HeartbeatProof, ADirectBodyDoesNotProveThatAStartWasLost) {
  place_and_start();
  attempt().stopping = true;
  deliver(make_heartbeat(2), Channel::direct);
  EXPECT_TRUE(has_attempt());
  deliver(make_heartbeat(3));
  EXPECT_FALSE(has_attempt());
}

TEST_F(HeartbeatProof, AnOlderHeartbeatProvesNothing) {
  place_and_start();
  deliver(make_heartbeat(5, {status(TaskState::running)}));
  EXPECT_EQ(deliver(make_heartbeat(4)), placement::kNone);
  EXPECT_TRUE(has_attempt());
}

TEST_F(HeartbeatProof, AnAttemptOfAPreviousLeaderNeedsAHeartbeatWithOurFencingToken) {
  jobs::TaskRangeRecord record;
  record.placements = {{0, 1, "n-1"}};
  record.last_attempt = 1;
  restore_task_range(record);
  const Index host = deliver(make_heartbeat(1, {}, 1, kFencingToken - 1));
  EXPECT_TRUE(attempt().from_previous_leader) << "the earlier leader's start may still arrive";
  EXPECT_TRUE(commands_for(cluster_, host, true, 1).empty());
  deliver(make_heartbeat(2, {}, 2, kFencingToken - 1));
  EXPECT_TRUE(has_attempt()) << "even in a new incarnation the earlier leader may start it";
  deliver(make_heartbeat(3, {}, 2, kFencingToken));
  EXPECT_FALSE(has_attempt());
  EXPECT_TRUE(commands_for(cluster_, host, true, 3).empty())
      << "it is placed again under the team's limits, not restarted here";
}

// A heartbeat that a network partition had delayed since before this leader was elected listed a
// task as exited. In the meantime an earlier leader had started the attempt again in a new
// incarnation.
TEST_F(HeartbeatProof, AHeartbeatFromBeforeThisLeaderEndsNothing) {
  jobs::TaskRangeRecord record;
  record.placements = {{0, 1, "n-1"}};
  restore_task_range(record);
  deliver(make_heartbeat(1, {status(TaskState::exited, ExitReason::error)}, 1, kFencingToken - 1));
  EXPECT_TRUE(has_attempt());
  deliver(make_heartbeat(2, {status(TaskState::running)}, 2));
  EXPECT_EQ(attempt().observed_state, ObservedState::running);
}

TEST_F(HeartbeatProof, ANewIncarnationEndsAttemptsOfTheOldOne) {
  place_and_start();
  deliver(make_heartbeat(2, {status(TaskState::running)}));
  deliver(make_heartbeat(3, {}, 2));
  EXPECT_FALSE(has_attempt());
}

TEST_F(HeartbeatProof, AnExitedTaskIsClearedOnlyOnceItsOutcomeIsStored) {
  const Index host = place_and_start();
  deliver(make_heartbeat(2, {status(TaskState::exited, ExitReason::done)}));
  EXPECT_FALSE(has_attempt());
  EXPECT_TRUE(cluster_.jobs[job_]->done[0]);
  EXPECT_TRUE(commands_for(cluster_, host, true, 2).empty());
  auto& range = cluster_.jobs[job_]->task_ranges[0];
  range.stored_version = range.version;
  const auto commands = commands_for(cluster_, host, true, 2);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].type, CommandType::clear);
}

TEST_F(HeartbeatProof, ARunningTaskWithoutAttemptBlocksItsTaskUntilItHasEnded) {
  const Index host = deliver(make_heartbeat(1, {status(TaskState::running)}));
  EXPECT_TRUE(has_attempt());
  const auto commands = commands_for(cluster_, host, true, 1);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].type, CommandType::stop);
  deliver(make_heartbeat(2));
  EXPECT_FALSE(has_attempt());
}

TEST_F(HeartbeatProof, CancellingStopsRunningTasksAndEndsUnsentAttempts) {
  const Index host = place_and_start();
  cluster_.place(job_, 1, 1, host, 1);
  deliver(make_heartbeat(2, {status(TaskState::running)}));
  cluster_.cancel_job(job_, {.latest = 2});
  EXPECT_FALSE(cluster_.jobs[job_]->attempts.contains(1));
  const auto commands = commands_for(cluster_, host, true, 2);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].type, CommandType::stop);
  deliver(make_heartbeat(3, {status(TaskState::exited, ExitReason::stopped)}));
  EXPECT_TRUE(cluster_.finished_jobs.contains(job_));
}

// Guards against a failure that users met: a machine's heartbeats arrive, but it does not receive
// the responses. Its lease expires although it was answered, and started tasks never appear.
TEST_F(HeartbeatProof, ALeaseThatExpiresDespiteResponsesShowsAnUnreachableMachine) {
  const Index host = place_and_start();
  for (std::uint64_t sequence_number = 2; sequence_number <= 10;
       ++sequence_number) {  // answered each second; its lease lasts 10 s
    deliver(make_heartbeat(sequence_number, {status(TaskState::running)}));
    commands_for(cluster_, host, true, static_cast<double>(sequence_number));
  }
  EXPECT_EQ(cluster_.hosts[host]->ignored_responses, 0u);
  deliver(make_heartbeat(11, {}, 2));
  EXPECT_GE(cluster_.hosts[host]->ignored_responses, kUnreachableAfterIgnoredResponses);
  EXPECT_FALSE(has_attempt()) << "a new incarnation proves that no earlier task is left";
  // An incarnation that outlasts a lease and the response timeout has had its lease renewed.
  for (std::uint64_t sequence_number = 12; sequence_number <= 26; ++sequence_number) {
    EXPECT_GE(cluster_.hosts[host]->ignored_responses, kUnreachableAfterIgnoredResponses)
        << sequence_number;
    deliver(make_heartbeat(sequence_number, {}, 2));
    commands_for(cluster_, host, true, static_cast<double>(sequence_number));
  }
  EXPECT_EQ(cluster_.hosts[host]->ignored_responses, 0u);
}

TEST_F(HeartbeatProof, AMachineThatHangsDoesNotCountAsUnreachable) {
  const Index host = place_and_start();
  deliver(make_heartbeat(2, {status(TaskState::running)}));
  commands_for(cluster_, host, true, 2);
  deliver(make_heartbeat(40, {}, 2));  // it hung for longer than its lease
  EXPECT_EQ(cluster_.hosts[host]->ignored_responses, 0u);
}

TEST_F(HeartbeatProof, MissingStartsAndAnOldFencingTokenShowAnUnreachableMachine) {
  const Index host = place_and_start();
  for (std::uint64_t sequence_number = 2; sequence_number <= 3; ++sequence_number) {
    deliver(make_heartbeat(sequence_number));
    commands_for(cluster_, host, true, static_cast<double>(sequence_number));
  }
  EXPECT_GE(cluster_.hosts[host]->ignored_responses, kUnreachableAfterIgnoredResponses);
  Heartbeat other = make_heartbeat(1, {}, 1, kFencingToken - 1);
  other.host = "n-2";
  const Index second = deliver(other);
  for (int i = 0; i < 2; ++i) {
    commands_for(cluster_, second, true, static_cast<double>(other.sequence_number));
    other.sequence_number += 1;
    deliver(other);
  }
  EXPECT_GE(cluster_.hosts[second]->ignored_responses, kUnreachableAfterIgnoredResponses);
  other.sequence_number += 1;
  other.fencing_token = kFencingToken;
  deliver(other);
  EXPECT_EQ(cluster_.hosts[second]->ignored_responses, 0u) << "it has received a response";
}

// Copies of heartbeats arrive late (from seconds to well over a lease), in any order and
// repeatedly. They must not change anything that newer heartbeats have shown.
RC_GTEST_PROP(HeartbeatCopies, ChangeNothing, ()) {
  settings::Platform platform;
  platform.teams = {{"red", 0, 0, 0, 0}};
  Cluster cluster(platform, kFencingToken, jobs::TaskRecordFormat::compact);
  cluster.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
  jobs::Header header = test::make_array("j-1", 6);
  header.spec.allow_spot = true;
  const Index job = cluster.add_job(header, 7, 0);
  std::vector<Heartbeat> sent;
  double now = 0;
  const auto observable_state = [&] {
    const placement::Host& host = *cluster.hosts.front();
    std::vector<std::tuple<std::uint32_t, bool, bool, int>> attempts;
    for (const auto& [task, attempt] : cluster.jobs[job]->attempts) {
      attempts.emplace_back(task, attempt.start_sent, attempt.stopping,
                            static_cast<int>(attempt.observed_state));
    }
    return std::tuple(host.incarnation, host.sequence_number, host.last_heartbeat_at,
                      host.acknowledged_token, host.ignored_responses, host.attempts.size(),
                      attempts, cluster.jobs[job]->done, cluster.hosts.size());
  };
  const auto steps = *rc::gen::inRange(3, 25);
  std::uint64_t incarnation = 1, sequence_number = 0;
  for (int step = 0; step < steps; ++step) {
    now += 1;
    if (*rc::gen::inRange(0, 8) == 0) ++incarnation;
    Heartbeat heartbeat{"n-1",        "",          "small",           "a",
                        true,         incarnation, ++sequence_number, kFencingToken,
                        std::nullopt, {}};
    for (const auto& [task, attempt] : cluster.jobs[job]->attempts) {
      static constexpr TaskState kListedStates[] = {TaskState::running, TaskState::fetching,
                                                    TaskState::exited};
      const TaskState state = kListedStates[*rc::gen::inRange(0, 3)];
      if (*rc::gen::inRange(0, 4) != 0) {
        heartbeat.tasks.push_back(
            {"j-1", task, attempt.number, state,
             state == TaskState::exited ? ExitReason::done : ExitReason::none});
      }
    }
    const auto host = reconcile(cluster, heartbeat, Channel::heartbeat, now);
    RC_ASSERT(host.has_value());
    sent.push_back(heartbeat);
    for (std::uint32_t task = 0; task < 6; ++task) {
      const placement::Job& one = *cluster.jobs[job];
      if (one.done[task] || one.attempts.contains(task) || *rc::gen::inRange(0, 2) == 0) continue;
      cluster.place(job, task, one.last_attempt + 1, *host, now);
      cluster.mark_persisted(*cluster.jobs[job], task);
    }
    commands_for(cluster, *host, true, now);
    const auto before = observable_state();
    for (int copies = *rc::gen::inRange(0, 4); copies > 0; --copies) {
      const Heartbeat& copy = sent[*rc::gen::inRange<std::size_t>(0, sent.size())];
      RC_ASSERT(!reconcile(cluster, copy, Channel::heartbeat, now + 30).has_value());
    }
    RC_ASSERT(observable_state() == before);
  }
}

// Late copies of heartbeats from a machine that is gone, under a leader that never knew the
// machine.
TEST_F(HeartbeatProof, ACopyAloneDoesNotConfirmAMachine) {
  const Index host = deliver(make_heartbeat(5, {}, 1, kFencingToken - 1));
  EXPECT_TRUE(cluster_.hosts[host]->identity_unconfirmed);
  deliver(make_heartbeat(6, {}, 1, kFencingToken - 1));
  EXPECT_TRUE(cluster_.hosts[host]->identity_unconfirmed) << "copies may come one after another";
  deliver(make_heartbeat(7));
  EXPECT_FALSE(cluster_.hosts[host]->identity_unconfirmed)
      << "it has received a response of this leader";
}

TEST_F(HeartbeatProof, AJobThatFailsEverywhereIsNotBlamedOnMachines) {
  for (std::uint64_t n = 1; n <= 6; ++n) {
    Heartbeat from = make_heartbeat(n);
    from.host = "n-" + std::to_string(n);
    const Index host = deliver(from);
    cluster_.place(job_, 0, n, host, 1);
    attempt().start_sent = true;
    from.sequence_number += 10;
    from.tasks = {{"j-1", 0, n, TaskState::exited, ExitReason::error}};
    deliver(from);
  }
  for (const auto& host : cluster_.hosts) EXPECT_FALSE(host->quarantined) << host->name;
  EXPECT_GT(cluster_.jobs[job_]->retry_not_before, 0) << "and retries are delayed";
}

// Task states and exit reasons of newer workers are accepted; invalid numbers are refused.
TEST(HeartbeatCodec, AcceptsUnknownNamesAndRefusesInvalidNumbers) {
  const Json valid{
      {"host", "n-1"},
      {"rig", "small"},
      {"hall", "a"},
      {"loaner", true},
      {"tenure", 1},
      {"tick", 2},
      {"baton", 3},
      {"pieces",
       Json::array(
           {{{"piece", "j-9/7"}, {"try", 1}, {"phase", "brooding"}, {"cause", "weather"}}})}};
  const Heartbeat heartbeat = decode_heartbeat(valid);
  EXPECT_EQ(heartbeat.tasks.at(0).state, TaskState::waiting)
      << "the task is there and has not ended";
  EXPECT_EQ(heartbeat.tasks.at(0).exit_reason, ExitReason::error);
  for (const char* field : {"tenure", "tick", "baton"}) {
    for (const Json& value : {Json(-1), Json(1.5), Json(1e300), Json("x"), Json(true), Json()}) {
      Json invalid = valid;
      invalid[field] = value;
      EXPECT_THROW(decode_heartbeat(invalid), wire::BadMessage) << field << value;
    }
    Json invalid = valid;
    invalid.erase(field);
    EXPECT_THROW(decode_heartbeat(invalid), wire::BadMessage) << field;
  }
}

RC_GTEST_PROP(HeartbeatCodec, DamagedHeartbeatsAreRefusedOrDecoded, ()) {
  Json body{{"host", "n-1"},
            {"rig", "small"},
            {"hall", "a"},
            {"loaner", true},
            {"tenure", 1},
            {"tick", 2},
            {"baton", 3},
            {"reclaim_in_s", nullptr},
            {"pieces", Json::array({{{"piece", "j-1/0"}, {"try", 1}, {"phase", "running"}}})}};
  const auto keys = std::vector<std::string>{"host", "rig",   "hall",         "loaner", "tenure",
                                             "tick", "baton", "reclaim_in_s", "pieces"};
  const auto wrong = std::vector<std::string>{"-5", "1e99", "\"x\"", "[1]", "null"};
  body[*rc::gen::elementOf(keys)] = Json::parse(*rc::gen::elementOf(wrong));
  try {
    decode_heartbeat(body);
  } catch (const wire::BadMessage&) {
  }
}

}  // namespace
}  // namespace reachramp::workers
