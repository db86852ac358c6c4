// What reports prove, and what they do not.
#include "workers/heartbeat.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "machines.h"

namespace reachramp::workers {
namespace {

using placement::ObservedState;

constexpr std::uint64_t kFencingToken = 40;

class Proof : public ::testing::Test {
 protected:
  Proof() : cluster_(platform_, kFencingToken, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
    jobs::Header header = test::make_array("j-1", 4);
    header.spec.allow_spot = true;
    job_ = cluster_.add_job(header, 7, 0);
  }

  Heartbeat report(std::uint64_t sequence_number, std::vector<TaskStatus> pieces = {},
                   std::uint64_t incarnation = 1, std::uint64_t fencing_token = kFencingToken) {
    return {"n-1",         "",           "small",          "a", true, incarnation, sequence_number,
            fencing_token, std::nullopt, std::move(pieces)};
  }
  Index hear(const Heartbeat& report, Channel channel = Channel::heartbeat) {
    const auto host = reconcile(cluster_, report, channel, report.sequence_number);
    return host ? *host : placement::kNone;
  }
  // Places task 0 durably and sends its start in the answer to report 1.
  Index started() {
    const Index host = hear(report(1));
    cluster_.place(job_, 0, 1, host, 1);
    attempt().persisted = true;
    EXPECT_EQ(commands_for(cluster_, host, true, 1).size(), 1u);
    return host;
  }
  void inherit(const jobs::TaskRangeRecord& record) {
    placement::StoredRecord stored;
    stored.store_key = jobs::legacy_task_range_key("j-1", 0);
    stored.parsed_key = *jobs::parse_task_range_key(stored.store_key);
    stored.revision = 9;
    stored.record = record;
    cluster_.restore(job_, {stored}, 0);
  }
  placement::Attempt& attempt() { return cluster_.jobs[job_]->attempts.at(0); }
  bool held() { return cluster_.jobs[job_]->attempts.contains(0); }
  TaskStatus piece(TaskState state, ExitReason cause = ExitReason::none) {
    return {"j-1", 0, 1, state, cause};
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.teams = {{"red", 0, 0, 0, 0}};
    return p;
  }();
  Cluster cluster_;
  Index job_ = 0;
};

// A report that is not newer, such as one that a direct response has overtaken, is answered all the
// same, and the answer extends its worker's lease: what must not run there is stopped by it.
TEST_F(Proof, AReportThatIsNotNewerIsAnsweredWithStops) {
  const Index host = started();
  EXPECT_TRUE(hear(report(5, {piece(TaskState::running)})) == host);
  cluster_.cancel_job(job_, {.latest = 5});
  const Heartbeat late = report(4, {piece(TaskState::running),
                                    {"j-gone", 2, 3, TaskState::running, ExitReason::none},
                                    {"j-gone", 1, 3, TaskState::exited, ExitReason::done}});
  EXPECT_EQ(hear(late), placement::kNone);
  const std::vector<Command> orders = stop_commands_for(cluster_, late);
  ASSERT_EQ(orders.size(), 2u) << "the cancelled task, and the one of a job that has ended";
  for (const Command& order : orders) EXPECT_EQ(order.type, CommandType::stop);
  EXPECT_EQ(orders[0].job, "j-1");
  EXPECT_EQ(orders[1].job, "j-gone");
  Heartbeat gone = late;
  gone.host = "n-never";
  EXPECT_EQ(stop_commands_for(cluster_, gone).size(), 2u) << "all that it lists as not yet ended";
}

// The first answer of a new leader goes to a report that does not carry its token yet. It extends
// the lease, so it stops a task whose job's record is gone.
TEST_F(Proof, TheFirstAnswerOfALeaderStopsWhatIsUnknown) {
  const Heartbeat before =
      report(3, {{"j-gone", 0, 1, TaskState::running, ExitReason::none}}, 1, kFencingToken - 1);
  const Index host = hear(before);
  ASSERT_NE(host, placement::kNone);
  const std::vector<Command> orders = commands_for(cluster_, host, true, 3);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].type, CommandType::stop);
  EXPECT_EQ(orders[0].job, "j-gone");
  EXPECT_TRUE(cluster_.jobs[job_]->attempts.empty()) << "such a report proves nothing";
}

TEST_F(Proof, NothingStartsBeforeItsIntentIsDurable) {
  const Index host = hear(report(1));
  cluster_.place(job_, 0, 1, host, 1);
  EXPECT_TRUE(commands_for(cluster_, host, true, 1).empty());
  attempt().persisted = true;
  EXPECT_TRUE(commands_for(cluster_, host, false, 1).empty()) << "cancellations may be unknown";
  EXPECT_EQ(commands_for(cluster_, host, true, 1).size(), 1u);
  EXPECT_TRUE(commands_for(cluster_, host, true, 1).empty()) << "sent once until proven lost";
}

TEST_F(Proof, ADroppedAnswerIsSentAgainOnlyAfterTheNextReport) {
  const Index host = started();
  hear(report(2));
  EXPECT_TRUE(held());
  EXPECT_EQ(commands_for(cluster_, host, true, 2).size(), 1u);
}

// The body of /orders may have been written while the answer with the start was on its way.
TEST_F(Proof, ADirectBodyDoesNotProveThatAStartWasLost) {
  started();
  attempt().stopping = true;
  hear(report(2), Channel::direct);
  EXPECT_TRUE(held());
  hear(report(3));
  EXPECT_FALSE(held());
}

TEST_F(Proof, AnOlderReportProvesNothing) {
  started();
  hear(report(5, {piece(TaskState::running)}));
  EXPECT_EQ(hear(report(4)), placement::kNone);
  EXPECT_TRUE(held());
}

TEST_F(Proof, AnAttemptOfAPreviousLeaderNeedsAHeartbeatWithOurFencingToken) {
  jobs::TaskRangeRecord record;
  record.placements = {{0, 1, "n-1"}};
  record.last_attempt = 1;
  inherit(record);
  const Index host = hear(report(1, {}, 1, kFencingToken - 1));
  EXPECT_TRUE(attempt().from_previous_leader) << "the earlier leader's start may still arrive";
  EXPECT_TRUE(commands_for(cluster_, host, true, 1).empty());
  hear(report(2, {}, 2, kFencingToken - 1));
  EXPECT_TRUE(held()) << "even in a new session it may be started by the earlier leader";
  hear(report(3, {}, 2, kFencingToken));
  EXPECT_FALSE(held());
  EXPECT_TRUE(commands_for(cluster_, host, true, 3).empty()) << "it is placed anew, within limits";
}

// A report that a cut had held since before we led listed an exit; meanwhile an earlier leader had
// started the attempt again in a new session.
TEST_F(Proof, AReportFromBeforeOurTimeEndsNothing) {
  jobs::TaskRangeRecord record;
  record.placements = {{0, 1, "n-1"}};
  inherit(record);
  hear(report(1, {piece(TaskState::exited, ExitReason::error)}, 1, kFencingToken - 1));
  EXPECT_TRUE(held());
  hear(report(2, {piece(TaskState::running)}, 2));
  EXPECT_EQ(attempt().observed_state, ObservedState::running);
}

TEST_F(Proof, ANewIncarnationEndsWhatWasSentInTheOld) {
  started();
  hear(report(2, {piece(TaskState::running)}));
  hear(report(3, {}, 2));
  EXPECT_FALSE(held());
}

TEST_F(Proof, AnExitIsClearedOnlyOnceItIsDurable) {
  const Index host = started();
  hear(report(2, {piece(TaskState::exited, ExitReason::done)}));
  EXPECT_FALSE(held());
  EXPECT_TRUE(cluster_.jobs[job_]->done[0]);
  EXPECT_TRUE(commands_for(cluster_, host, true, 2).empty());
  auto& chunk = cluster_.jobs[job_]->task_ranges[0];
  chunk.stored_version = chunk.version;
  const auto orders = commands_for(cluster_, host, true, 2);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].type, CommandType::clear);
}

TEST_F(Proof, AStrangerOfALiveJobBlocksItsTaskUntilItIsGone) {
  const Index host = hear(report(1, {piece(TaskState::running)}));
  EXPECT_TRUE(held());
  const auto orders = commands_for(cluster_, host, true, 1);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].type, CommandType::stop);
  hear(report(2));
  EXPECT_FALSE(held());
}

TEST_F(Proof, CancellingStopsWhatRunsAndReleasesWhatWasNeverSent) {
  const Index host = started();
  cluster_.place(job_, 1, 1, host, 1);
  hear(report(2, {piece(TaskState::running)}));
  cluster_.cancel_job(job_, {.latest = 2});
  EXPECT_FALSE(cluster_.jobs[job_]->attempts.contains(1));
  const auto orders = commands_for(cluster_, host, true, 2);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].type, CommandType::stop);
  hear(report(3, {piece(TaskState::exited, ExitReason::stopped)}));
  EXPECT_TRUE(cluster_.finished_jobs.contains(job_));
}

// The users' trouble: a machine's reports arrive, but answers do not reach it. Its sessions run out
// although we answered; a start that we sent never appears.
TEST_F(Proof, IncarnationsThatEndAlthoughWeAnsweredShowAnUnreachableMachine) {
  const Index host = started();
  for (std::uint64_t sequence_number = 2; sequence_number <= 10;
       ++sequence_number) {  // answered each second, its lease is 10 s
    hear(report(sequence_number, {piece(TaskState::running)}));
    commands_for(cluster_, host, true, static_cast<double>(sequence_number));
  }
  EXPECT_EQ(cluster_.hosts[host]->ignored_responses, 0u);
  hear(report(11, {}, 2));
  EXPECT_GE(cluster_.hosts[host]->ignored_responses, kUnreachableAfterIgnoredResponses);
  EXPECT_FALSE(held()) << "a new session proves that nothing is left";
  // A session that outlasts a lease and the time that an answer may take was renewed.
  for (std::uint64_t sequence_number = 12; sequence_number <= 26; ++sequence_number) {
    EXPECT_GE(cluster_.hosts[host]->ignored_responses, kUnreachableAfterIgnoredResponses)
        << sequence_number;
    hear(report(sequence_number, {}, 2));
    commands_for(cluster_, host, true, static_cast<double>(sequence_number));
  }
  EXPECT_EQ(cluster_.hosts[host]->ignored_responses, 0u);
}

TEST_F(Proof, AMachineThatHangsIsNotTakenForDeaf) {
  const Index host = started();
  hear(report(2, {piece(TaskState::running)}));
  commands_for(cluster_, host, true, 2);
  hear(report(40, {}, 2));  // it stood still for longer than its lease
  EXPECT_EQ(cluster_.hosts[host]->ignored_responses, 0u);
}

TEST_F(Proof, StartsThatNeverAppearAndAFencingTokenThatDoesNotMoveShowAnUnreachableMachine) {
  const Index host = started();
  for (std::uint64_t sequence_number = 2; sequence_number <= 3; ++sequence_number) {
    hear(report(sequence_number));
    commands_for(cluster_, host, true, static_cast<double>(sequence_number));
  }
  EXPECT_GE(cluster_.hosts[host]->ignored_responses, kUnreachableAfterIgnoredResponses);
  Heartbeat other = report(1, {}, 1, kFencingToken - 1);
  other.host = "n-2";
  const Index second = hear(other);
  for (int i = 0; i < 2; ++i) {
    commands_for(cluster_, second, true, static_cast<double>(other.sequence_number));
    other.sequence_number += 1;
    hear(other);
  }
  EXPECT_GE(cluster_.hosts[second]->ignored_responses, kUnreachableAfterIgnoredResponses);
  other.sequence_number += 1;
  other.fencing_token = kFencingToken;
  hear(other);
  EXPECT_EQ(cluster_.hosts[second]->ignored_responses, 0u) << "it has heard us";
}

// Copies of reports come late, from seconds to well over a lease, in any order and more than once:
// whatever they say, nothing that newer ones showed changes.
RC_GTEST_PROP(ReportCopies, ChangeNothing, ()) {
  settings::Platform platform;
  platform.teams = {{"red", 0, 0, 0, 0}};
  Cluster cluster(platform, kFencingToken, jobs::TaskRecordFormat::compact);
  cluster.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
  jobs::Header header = test::make_array("j-1", 6);
  header.spec.allow_spot = true;
  const Index job = cluster.add_job(header, 7, 0);
  std::vector<Heartbeat> sent;
  double now = 0;
  const auto shown = [&] {
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
    Heartbeat report{"n-1",        "",          "small",           "a",
                     true,         incarnation, ++sequence_number, kFencingToken,
                     std::nullopt, {}};
    for (const auto& [task, attempt] : cluster.jobs[job]->attempts) {
      static constexpr TaskState kAny[] = {TaskState::running, TaskState::fetching,
                                           TaskState::exited};
      const TaskState state = kAny[*rc::gen::inRange(0, 3)];
      if (*rc::gen::inRange(0, 4) != 0) {
        report.tasks.push_back({"j-1", task, attempt.number, state,
                                state == TaskState::exited ? ExitReason::done : ExitReason::none});
      }
    }
    const auto host = reconcile(cluster, report, Channel::heartbeat, now);
    RC_ASSERT(host.has_value());
    sent.push_back(report);
    for (std::uint32_t task = 0; task < 6; ++task) {
      const placement::Job& one = *cluster.jobs[job];
      if (one.done[task] || one.attempts.contains(task) || *rc::gen::inRange(0, 2) == 0) continue;
      cluster.place(job, task, one.last_attempt + 1, *host, now);
      cluster.mark_persisted(*cluster.jobs[job], task);
    }
    commands_for(cluster, *host, true, now);
    const auto before = shown();
    for (int copies = *rc::gen::inRange(0, 4); copies > 0; --copies) {
      const Heartbeat& copy = sent[*rc::gen::inRange<std::size_t>(0, sent.size())];
      RC_ASSERT(!reconcile(cluster, copy, Channel::heartbeat, now + 30).has_value());
    }
    RC_ASSERT(shown() == before);
  }
}

// Of a machine that is gone, under a leader that never knew it.
TEST_F(Proof, ACopyAloneBringsNoMachineBack) {
  const Index host = hear(report(5, {}, 1, kFencingToken - 1));
  EXPECT_TRUE(cluster_.hosts[host]->identity_unconfirmed);
  hear(report(6, {}, 1, kFencingToken - 1));
  EXPECT_TRUE(cluster_.hosts[host]->identity_unconfirmed) << "copies may come one after another";
  hear(report(7));
  EXPECT_FALSE(cluster_.hosts[host]->identity_unconfirmed) << "it has heard this leader";
}

TEST_F(Proof, AJobThatFailsEverywhereIsNotBlamedOnMachines) {
  for (std::uint64_t n = 1; n <= 6; ++n) {
    Heartbeat from = report(n);
    from.host = "n-" + std::to_string(n);
    const Index host = hear(from);
    cluster_.place(job_, 0, n, host, 1);
    attempt().start_sent = true;
    from.sequence_number += 10;
    from.tasks = {{"j-1", 0, n, TaskState::exited, ExitReason::error}};
    hear(from);
  }
  for (const auto& host : cluster_.hosts) EXPECT_FALSE(host->quarantined) << host->name;
  EXPECT_GT(cluster_.jobs[job_]->retry_not_before, 0) << "and is tried less and less often";
}

// Phases and causes that a newer worker may have, and numbers that no worker has.
TEST(ReportCodec, TakesWhatItDoesNotKnowAndRefusesWhatCannotBe) {
  const Json good{
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
  const Heartbeat report = decode_heartbeat(good);
  EXPECT_EQ(report.tasks.at(0).state, TaskState::waiting) << "it is there, and has not ended";
  EXPECT_EQ(report.tasks.at(0).exit_reason, ExitReason::error);
  for (const char* field : {"tenure", "tick", "baton"}) {
    for (const Json& value : {Json(-1), Json(1.5), Json(1e300), Json("x"), Json(true), Json()}) {
      Json bad = good;
      bad[field] = value;
      EXPECT_THROW(decode_heartbeat(bad), wire::BadMessage) << field << value;
    }
    Json bad = good;
    bad.erase(field);
    EXPECT_THROW(decode_heartbeat(bad), wire::BadMessage) << field;
  }
}

RC_GTEST_PROP(ReportCodec, DamagedReportsAreRefusedOrRead, ()) {
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
