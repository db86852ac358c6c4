// A cancelled task on a machine that hangs ends only with the machine: `cancel_s` after its user
// was told it must be gone, whoever leads by then.
#include "workers/cancelled_tasks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "machines.h"

namespace reachramp::workers {
namespace {

using placement::CancellationTime;
using placement::Index;

// report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s.
constexpr settings::WorkerTimings kWorkers{1, 10, 15, 4, 30};
const double kAllowance_s = max_heartbeat_delay_s(kWorkers);
constexpr double kCloud_s = 5;

class CancelledTasks : public ::testing::Test {
 protected:
  CancelledTasks() : cluster_(platform_, 40, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
    job_ = cluster_.add_job(test::make_array("j-1", 8), 7, 0);
  }

  // A machine with a task that may run there.
  Index machine_with_task(double heard_at, bool inherited = false) {
    const Index host = test::add_machine(cluster_, "small", "a", false, heard_at);
    cluster_.place(job_, host, 1, host, 0);
    cluster_.jobs[job_]->attempts.at(host).start_sent = true;
    cluster_.jobs[job_]->attempts.at(host).from_previous_leader = inherited;
    return host;
  }
  std::vector<Index> overdue(double listening_since, double now) const {
    std::vector<Index> hosts;
    for (const auto& one : overdue_machines(cluster_, listening_since, now)) {
      hosts.push_back(one.host);
    }
    return hosts;
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.teams = {{"red", 0, 0, 0, 0}};
    p.worker_timings = kWorkers;
    return p;
  }();
  placement::Cluster cluster_;
  Index job_ = placement::kNone;
};

TEST_F(CancelledTasks, ASilentMachineGoesBackBeforeCancelTimeIsOver) {
  const Index hung = machine_with_task(99);
  const Index reporting = machine_with_task(99);
  cluster_.cancel_job(job_, {99, 100});
  cluster_.hosts[reporting]->last_heartbeat_at = 120;
  const double earliest = 99 + kWorkers.cancel_s - kCloud_s - kAllowance_s;
  EXPECT_EQ(overdue(0, earliest - 0.1), (std::vector<Index>{}));
  EXPECT_EQ(overdue(0, earliest), (std::vector<Index>{hung}));
  cluster_.hosts[hung]->urgent_return_requested = true;
  EXPECT_EQ(overdue(0, earliest), (std::vector<Index>{})) << "asked for once";
  // A machine that reports and yet shows no end: the rule goes first.
  EXPECT_EQ(overdue(0, 99 + kWorkers.cancel_s - kCloud_s), (std::vector<Index>{reporting}));
}

TEST_F(CancelledTasks, HoweverManyAreSilentAndOnlyWithoutProof) {
  std::vector<Index> hosts;
  for (int i = 0; i < 8; ++i) hosts.push_back(machine_with_task(99));
  cluster_.cancel_job(job_, {100, 100});
  EXPECT_EQ(overdue(0, 125), hosts) << "a third and more of the fleet";
  cluster_.end_attempt(job_, hosts.back(), 101);
  hosts.pop_back();
  EXPECT_EQ(overdue(0, 125), hosts);
}

TEST_F(CancelledTasks, WhoseJobIsNotCancelledStays) {
  machine_with_task(0);
  EXPECT_TRUE(overdue(0, 1000).empty());
}

TEST_F(CancelledTasks, ANewLeaderKeepsTheDeadlineOfTheOneBefore) {
  const Index hung = machine_with_task(-1, true);
  cluster_.cancel_job(job_, {100, 101});
  // It has listened for too short a time to call the machine silent.
  EXPECT_TRUE(overdue(122, 124.9).empty());
  EXPECT_EQ(overdue(122, 125), (std::vector<Index>{hung}));
  EXPECT_EQ(overdue(128, 128), (std::vector<Index>{hung})) << "there is time for the call yet";
}

// After a long outage the records hold attempts that have ended long ago. A fleet whose machines
// are about to report must not be sent back for them.
TEST_F(CancelledTasks, ALeaderThatBeginsAfterTheDeadlineListensFirst) {
  for (const double earliest : {40.0, CancellationTime{}.earliest}) {
    cluster_.cancel_job(job_, {earliest, 60});
    const Index machine = machine_with_task(-1, true);
    EXPECT_TRUE(overdue(200, 200 + kAllowance_s).empty());
    EXPECT_EQ(overdue(200, 200 + kAllowance_s + 0.1), (std::vector<Index>{machine})) << earliest;
    cluster_.hosts[machine]->last_heartbeat_at = 205;
    EXPECT_TRUE(overdue(200, 211).empty()) << "heard meanwhile";
    cluster_.end_attempt(job_, machine, 206);
  }
}

// Leaders that change every few seconds do not put the deadline off, though their processes are too
// young to tell the age of the cancellation for certain.
TEST_F(CancelledTasks, ManyChangesOfLeadersDoNotPutTheDeadlineOff) {
  machine_with_task(-1, true);
  cluster_.cancel_job(job_, {CancellationTime{}.earliest, 100});
  bool returned = false;
  for (double since = 102; since < 130 && !returned; since += 5) {
    for (double now = since; now < since + 5 && !returned; now += 0.5) {
      returned = !overdue(since, now).empty();
      EXPECT_LE(now, 100 + kWorkers.cancel_s - kCloud_s);
    }
  }
  EXPECT_TRUE(returned);
}

// Whatever the settings and whoever leads when: with a leader at the deadline, the return is
// decided in time for the cloud's call, and never before a machine could have shown its end.
RC_GTEST_PROP(CancelledTasksProperty, DeadlineLeavesTimeForTheCallAndForAProof, ()) {
  const auto tenths = [](int low, int high) { return *rc::gen::inRange(low, high) / 10.0; };
  settings::WorkerTimings workers = kWorkers;
  workers.report_interval_s = tenths(1, 100);
  workers.lease_s = tenths(20, 600);
  workers.cancel_s = tenths(20, 1200);
  const CancellationTime at{100, 100 + tenths(0, 50)};
  const double since = tenths(0, 3000);
  const double deadline = termination_deadline(workers, at, since);
  const double proof = 2 * max_heartbeat_delay_s(workers);
  constexpr double kRounding_s = 1e-9;  // the same sums are formed here in another order
  RC_ASSERT(deadline >= std::min(100 + proof, since + proof) - kRounding_s);
  if (workers.cancel_s - kCloud_s >= proof && since <= 100 + workers.cancel_s - kCloud_s) {
    RC_ASSERT(deadline <= 100 + workers.cancel_s - kCloud_s + kRounding_s);
  }
}

}  // namespace
}  // namespace reachramp::workers
