// Tests that the emulated worker and the state that workers share behave as PROTOCOL says. Reports
// go through the controller's own codec. All times are in seconds.
#include "model/worker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "checker/placement_checker.h"
#include "workers/heartbeat.h"

namespace reachramp::lab {
namespace {

using wire::Json;

constexpr settings::WorkerTimings kRules{1, 10, 15, 4, 30};

class WorkerModel : public ::testing::Test {
 protected:
  WorkerModel() : shared_state_(kRules) {}

  Worker worker(const std::string& name = "n-1", double speed = 1) {
    return {{name, "", {"small", 4, 0, 16, 5, 1, 1, 1, 1, {"a"}}, "a", true, speed, false},
            kRules,
            {"node-0", "node-1", "node-2"},
            shared_state_,
            5,
            0};
  }

  void upload(const std::string& id, jobs::Shape shape, std::uint32_t tasks, double run_s,
              double checkpoint_s = 0, double cpus = 1, const std::string& image = "img") {
    SharedTaskState::Job job;
    job.spec.id = id;
    job.spec.shape = shape;
    job.spec.tasks = tasks;
    job.spec.cpus = cpus;
    job.spec.image = image;
    job.spec.image_gb = 2;
    job.spec.checkpoint_interval_s = checkpoint_s;
    job.spec.checkpoint_duration_s = 3;
    job.run_time_s = run_s;
    shared_state_.upload(job);
  }

  static Json order(const char* verb, const std::string& piece, int attempt, double wind_down = 0) {
    Json made{{"verb", verb}, {"piece", piece}, {"try", attempt}};
    if (std::string(verb) == "stop") made["wind_down_s"] = wind_down;
    return made;
  }

  // Gives the worker orders directly (/orders), at time `now`. Returns the response's status.
  int give_orders(Worker& worker, const std::vector<Json>& orders, double now,
                  std::uint64_t fencing_token = 1) {
    workers_.insert(&worker);
    advance(now);
    const Json body{{"baton", fencing_token}, {"tenure", worker.incarnation()}, {"orders", orders}};
    return worker.handle_request({"POST", "/orders", "", wire::encode(body)}, now).status;
  }

  // Advances all workers used so far to `now` and answers their reports, so that no lease expires.
  void advance(double now) {
    for (; now_ < now; now_ = std::min(now, now_ + 0.05)) {
      for (Worker* worker : workers_) report(*worker, now_);
    }
    for (Worker* worker : workers_) report(*worker, now);
  }
  static void report(Worker& worker, double now) {
    if (!worker.advance(now)) return;
    worker.on_report_answer(
        {true, true, 200, {{"baton", worker.fencing_token()}, {"orders", Json::array()}}, 0}, now);
  }

  std::map<std::string, std::string> task_states(Worker& worker, double now) {
    workers_.insert(&worker);
    advance(now);
    const wire::Response status = worker.handle_request({"GET", "/status", "", ""}, now);
    workers::decode_heartbeat(status.body);
    std::map<std::string, std::string> found;
    for (const Json& piece : status.body.at("pieces")) {
      found[piece.at("piece")] =
          piece.at("phase") == "exited" ? piece.at("cause") : piece.at("phase");
    }
    return found;
  }

  std::string task_state(Worker& worker, const std::string& piece, double now) {
    const auto found = task_states(worker, now);
    return found.contains(piece) ? found.at(piece) : "none";
  }

  SharedTaskState shared_state_;
  std::set<Worker*> workers_;
  double now_ = 0;
};

TEST_F(WorkerModel, ImagesShareTheRateAndAreFetchedOnce) {
  upload("j-1", jobs::Shape::array, 2, 10);
  upload("j-2", jobs::Shape::array, 1, 10, 0, 1, "other");
  Worker one = worker();
  give_orders(
      one, {order("start", "j-1/0", 1), order("start", "j-1/1", 1), order("start", "j-2/0", 1)}, 0);
  EXPECT_EQ(task_state(one, "j-1/0", 3.9), "fetching");
  EXPECT_EQ(task_state(one, "j-1/1", 4.1), "running") << "two images of 2 GB at 1 GB a second";
  EXPECT_EQ(task_state(one, "j-2/0", 4.1), "running");
  EXPECT_EQ(task_state(one, "j-1/0", 13.9), "running");
  EXPECT_EQ(task_state(one, "j-1/0", 14.1), "done");
  give_orders(one, {order("clear", "j-1/0", 1), order("start", "j-1/0", 2)}, 15);
  EXPECT_EQ(task_state(one, "j-1/0", 15.1), "done")
      << "the result is stored, and the image is cached";
}

TEST_F(WorkerModel, RepeatedOrdersAreIdempotentAndFailedStartsAreReported) {
  upload("j-1", jobs::Shape::array, 9, 10, 0, 2);
  Worker one = worker();
  const std::vector<Json> orders{order("start", "j-1/0", 1), order("start", "j-1/1", 1),
                                 order("start", "j-1/2", 1), order("start", "j-1/0", 2),
                                 order("start", "j-9/0", 1), order("start", "j-1/9", 1)};
  for (int i = 0; i < 3; ++i) give_orders(one, orders, 0.1 * i);
  EXPECT_EQ(task_state(one, "j-1/2", 1), "full");
  EXPECT_EQ(task_state(one, "j-9/0", 1), "no_such");
  EXPECT_EQ(task_state(one, "j-1/9", 1), "no_such");
  EXPECT_EQ(one.held_tasks().size(), 0u) << "still fetching";
  task_states(one, 3);
  EXPECT_EQ(one.held_tasks().size(), 2u);
  give_orders(one, {order("stop", "j-1/0", 1, 9)}, 4);
  EXPECT_EQ(task_state(one, "j-1/1", 4.1), "running");
  EXPECT_EQ(one.held_tasks().size(), 1u) << "without checkpoints it ends at once";
  EXPECT_EQ(give_orders(one, {}, 5, 0), 409) << "a token that is lower than the highest seen";
}

TEST_F(WorkerModel, ASavedTaskContinuesWhereItStopped) {
  upload("j-1", jobs::Shape::array, 1, 20, 5);
  Worker one = worker(), two = worker("n-2");
  give_orders(one, {order("start", "j-1/0", 1)}, 0);
  task_states(one, 2);
  give_orders(one, {order("stop", "j-1/0", 1, 3)}, 10.5);
  EXPECT_EQ(task_state(one, "j-1/0", 12), "flushing");
  EXPECT_EQ(task_state(one, "j-1/0", 13.6), "halted");
  give_orders(two, {order("start", "j-1/0", 2)}, 14);
  task_states(two, 16);
  EXPECT_EQ(task_state(two, "j-1/0", 27.4), "running") << "8.5 of 20 s were saved";
  EXPECT_EQ(task_state(two, "j-1/0", 27.6), "done");
}

TEST_F(WorkerModel, WithoutResponsesTheLeaseExpiresAndAllTasksEnd) {
  upload("j-1", jobs::Shape::array, 1, 100);
  Worker one = worker();
  const Json body{{"baton", 4}, {"tenure", 1}, {"orders", {order("start", "j-1/0", 1)}}};
  ASSERT_EQ(one.handle_request({"POST", "/orders", "", wire::encode(body)}, 0).status, 200);
  const auto first = one.advance(0);
  ASSERT_TRUE(first);
  EXPECT_FALSE(one.advance(1.5)) << "one report in flight at a time";
  one.on_report_answer({}, 4);
  EXPECT_FALSE(one.advance(4.5));
  const auto next = one.advance(5.1);
  ASSERT_TRUE(next);
  EXPECT_NE(next->node, first->node) << "the next node, a second later";
  one.on_report_answer({true, true, 200, {{"baton", 3}, {"orders", Json::array()}}, 0}, 5.2);
  EXPECT_EQ(one.incarnation(), 1u);
  const auto fresh = one.advance(10.1);
  EXPECT_EQ(one.incarnation(), 2u) << "the answer with the lower token did not renew it";
  EXPECT_TRUE(one.held_tasks().empty());
  ASSERT_TRUE(fresh);
  EXPECT_EQ(workers::decode_heartbeat(fresh->report).incarnation, 2u);
  EXPECT_TRUE(workers::decode_heartbeat(fresh->report).tasks.empty());
}

// Guards against a lease that is renewed after its end. Once it has expired, neither a late
// response to a report nor a direct order for the old incarnation may revive the tasks.
TEST_F(WorkerModel, MessagesAfterTheLeaseMeetTheNextIncarnation) {
  upload("j-1", jobs::Shape::array, 1, 100);
  const Json start{{"baton", 4}, {"tenure", 1}, {"orders", {order("start", "j-1/0", 1)}}};
  for (const bool answer : {true, false}) {
    Worker one = worker();
    ASSERT_EQ(one.handle_request({"POST", "/orders", "", wire::encode(start)}, 0).status, 200);
    ASSERT_TRUE(one.advance(8));
    EXPECT_EQ(one.held_tasks().size(), 1u);
    if (answer) {
      one.on_report_answer({true, true, 200, {{"baton", 4}, {"orders", Json::array()}}, 0}, 10.1);
    } else {
      EXPECT_EQ(one.handle_request({"POST", "/orders", "", wire::encode(start)}, 10.1).status, 409);
    }
    EXPECT_EQ(one.incarnation(), 2u);
    EXPECT_TRUE(one.held_tasks().empty());
  }
}

TEST_F(WorkerModel, ReportsToTheNodeItIsRedirectedTo) {
  Worker one = worker();
  const std::string first_node = one.advance(0)->node;
  const std::string other = first_node == "node-0" ? "node-1" : "node-0";
  one.on_report_answer({true, true, 421, {{"upstream", other}}, 0}, 0.1);
  const auto again = one.advance(0.7);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->node, other);
}

class GangModel : public WorkerModel {
 protected:
  GangModel() : one_(worker("n-1")), two_(worker("n-2", 0.5)) {
    upload("j-1", jobs::Shape::gang, 2, 20, 5);
  }
  void begin() {
    give_orders(one_, {order("start", "j-1/0", 1)}, 0);
    give_orders(two_, {order("start", "j-1/1", 1)}, 1);
    EXPECT_EQ(task_state(one_, "j-1/0", 2.5), "waiting");
    task_states(two_, 3);
    EXPECT_EQ(task_state(one_, "j-1/0", 3.1), "running");
    EXPECT_EQ(task_state(two_, "j-1/1", 3.1), "running");
  }
  Worker one_, two_;
};

TEST_F(GangModel, RunsAtTheSpeedOfTheSlowestMachineAndCompletesTogether) {
  begin();
  EXPECT_EQ(task_state(one_, "j-1/0", 42.9), "running")
      << "20 s of run time at half speed, from 3 s on";
  EXPECT_EQ(task_state(one_, "j-1/0", 43.1), "done");
  EXPECT_EQ(task_state(two_, "j-1/1", 43.1), "done");
}

TEST_F(GangModel, FallsBackToItsCheckpointWhenAMemberIsLost) {
  begin();
  task_states(one_, 26);
  two_.terminate(26);
  EXPECT_EQ(task_state(one_, "j-1/0", 26.1), "running");
  EXPECT_EQ(task_state(one_, "j-1/0", 30), "mates_gone") << "within gang_peer_s";
  EXPECT_DOUBLE_EQ(shared_state_.saved_progress_s({"j-1", 0}), 10)
      << "the last checkpoint; 11.5 s were run";
}

TEST_F(GangModel, SavesWhenAllMembersAreStoppedInTime) {
  begin();
  give_orders(one_, {order("stop", "j-1/0", 1, 4)}, 20);
  EXPECT_EQ(task_state(one_, "j-1/0", 21), "flushing");
  give_orders(two_, {order("stop", "j-1/1", 1, 4)}, 22);
  EXPECT_EQ(task_state(one_, "j-1/0", 23.5), "flushing")
      << "it has saved and waits for the other member";
  EXPECT_EQ(task_state(two_, "j-1/1", 25.1), "halted");
  EXPECT_EQ(task_state(one_, "j-1/0", 25.1), "halted");
  EXPECT_DOUBLE_EQ(shared_state_.saved_progress_s({"j-1", 0}), 8.5)
      << "no progress after the first stop order";
}

TEST_F(GangModel, SaveFailsIfAMemberIsStoppedTooLate) {
  begin();
  give_orders(one_, {order("stop", "j-1/0", 1, 4)}, 20);
  task_states(one_, 24.1);
  give_orders(two_, {order("stop", "j-1/1", 1, 4)}, 24.5);
  EXPECT_EQ(task_state(one_, "j-1/0", 27), "mates_gone");
  EXPECT_DOUBLE_EQ(shared_state_.saved_progress_s({"j-1", 0}), 5)
      << "the last checkpoint; 8.5 s were run";
}

TEST_F(GangModel, WaitsForAMissingMemberAndAcceptsAReplacement) {
  give_orders(one_, {order("start", "j-1/0", 1)}, 0);
  give_orders(two_, {order("start", "j-1/1", 1)}, 0);
  EXPECT_EQ(task_state(one_, "j-1/0", 1), "fetching");
  task_states(two_, 1);
  two_.terminate(1.5);
  EXPECT_EQ(task_state(one_, "j-1/0", 5), "waiting");
  EXPECT_EQ(task_state(one_, "j-1/0", 16.9), "waiting");
  Worker three = worker("n-3");
  give_orders(three, {order("start", "j-1/1", 1)}, 5);
  task_states(three, 7.1);
  EXPECT_EQ(task_state(one_, "j-1/0", 7.2), "running") << "the same attempt, with another machine";
}

TEST_F(GangModel, IsIncompleteIfMembersAreMissingForTooLong) {
  give_orders(one_, {order("start", "j-1/0", 1)}, 0);
  task_states(one_, 2);
  EXPECT_EQ(task_state(one_, "j-1/0", 16.9), "waiting");
  EXPECT_EQ(task_state(one_, "j-1/0", 17.1), "incomplete");
}

// Breaks each placement rule in a sequence of its own and checks that the first violation reported
// by PlacementChecker is of this rule. A last sequence breaks none and has to pass.
TEST_F(WorkerModel, TheCheckerReportsEachBrokenRule) {
  const auto tasks = [](std::initializer_list<SharedTaskState::TaskId> ids) {
    std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>> held;
    for (const auto& id : ids) held.emplace_back(id, 1);
    return held;
  };
  SharedTaskState::Job job;
  job.spec.tasks = 4;
  job.spec.team = "red";
  job.spec.cpus = 2;
  const auto add = [&](const std::string& id, auto change) {
    SharedTaskState::Job made = job;
    made.spec.id = id;
    change(made.spec);
    shared_state_.upload(made);
  };
  add("j-1", [](jobs::Spec& spec) { spec.allow_spot = true; });
  add("j-2", [](jobs::Spec& spec) { spec.single_zone = true; });
  add("j-3", [](jobs::Spec& spec) { spec.spread_over_zones = true; });
  add("j-4", [](jobs::Spec& spec) { spec.depends_on = {"j-1"}; });
  add("j-5", [](jobs::Spec& spec) { spec.types = std::vector<std::string>{"large"}; });
  const PlacementChecker::MachineInfo a{"n-1", "small", "a", false}, b{"n-2", "small", "b", false},
      spot{"n-3", "small", "a", true};
  const auto rule = [&](auto history) {
    PlacementChecker rules({{"red", 0, 7, 0, 0}});
    history(rules);
    return rules.violation_texts().empty() ? ""
                                           : rules.violation_texts().front().substr(
                                                 0, rules.violation_texts().front().find(' '));
  };
  EXPECT_EQ(rule([&](auto& r) {
              r.update_machine(a, tasks({{"j-1", 0}}), shared_state_, 1);
              r.update_machine(a, {}, shared_state_, 2);
              r.update_machine(b, tasks({{"j-1", 0}}), shared_state_, 3);
              r.remove_machine("n-2");
              r.update_machine(spot, tasks({{"j-1", 0}, {"j-1", 1}}), shared_state_, 4);
              r.update_machine(b, tasks({{"j-3", 0}, {"j-3", 1}}), shared_state_, 5);
            }),
            "quota")
      << "eight cores in use of seven allowed, and no other rule broken before";
  EXPECT_EQ(rule([&](auto& r) {
              r.update_machine(a, tasks({{"j-1", 0}}), shared_state_, 1);
              r.update_machine(b, tasks({{"j-1", 0}}), shared_state_, 2);
            }),
            "ran_twice");
  EXPECT_EQ(rule([&](auto& r) {
              r.update_machine(a, tasks({{"j-2", 0}}), shared_state_, 1);
              r.update_machine(b, tasks({{"j-2", 1}}), shared_state_, 2);
            }),
            "wrong_place");
  EXPECT_EQ(rule([&](auto& r) {
              r.update_machine(spot, tasks({{"j-2", 0}}), shared_state_, 1);
            }),
            "wrong_place");
  EXPECT_EQ(rule([&](auto& r) {
              r.update_machine(a, tasks({{"j-5", 0}}), shared_state_, 1);
            }),
            "wrong_place");
  EXPECT_EQ(rule([&](auto& r) {
              r.update_machine(a, tasks({{"j-3", 0}, {"j-3", 1}, {"j-3", 2}}), shared_state_, 1);
            }),
            "wrong_place");
  EXPECT_EQ(rule([&](auto& r) {
              r.update_machine(a, tasks({{"j-4", 0}}), shared_state_, 1);
            }),
            "too_early");
  for (std::uint32_t task = 0; task < 4; ++task) shared_state_.mark_done({"j-1", task});
  EXPECT_EQ(rule([&](auto& r) { r.update_machine(a, tasks({{"j-4", 0}}), shared_state_, 1); }), "");
}

}  // namespace
}  // namespace reachramp::lab
