// A cancelled task on a machine that hangs ends only when the machine is returned. That must happen
// within `cancel_s` after the cancellation was confirmed to the user, even if the leader changes.
#include "workers/cancelled_tasks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cluster_fixtures.h"

namespace reachramp::workers {
namespace {

using placement::CancellationTime;
using placement::Index;

// Settings report_s, lease_s, gang_wait_s, gang_peer_s and cancel_s.
constexpr settings::WorkerTimings kWorkers{1, 10, 15, 4, 30};
const double kMaxHeartbeatDelay_s = max_heartbeat_delay_s(kWorkers);
constexpr double kMachineReturn_s = 5;

class CancelledTasks : public ::testing::Test {
 protected:
  CancelledTasks() : cluster_(platform_, 40, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a"}}});
    job_ = cluster_.add_job(test::make_array("j-1", 8), 7, 0);
  }

  // Adds a machine with a started task of the job. `inherited`: placed by an earlier leader.
  Index machine_with_task(double last_heartbeat_at, bool inherited = false) {
    const Index host = test::add_machine(cluster_, "small", "a", false, last_heartbeat_at);
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

TEST_F(CancelledTasks, ASilentMachineIsReturnedBeforeCancelTimeIsOver) {
  const Index hung = machine_with_task(99);
  const Index reporting = machine_with_task(99);
  cluster_.cancel_job(job_, {99, 100});
  cluster_.hosts[reporting]->last_heartbeat_at = 120;
  const double earliest = 99 + kWorkers.cancel_s - kMachineReturn_s - kMaxHeartbeatDelay_s;
  EXPECT_EQ(overdue(0, earliest - 0.1), (std::vector<Index>{}));
  EXPECT_EQ(overdue(0, earliest), (std::vector<Index>{hung}));
  cluster_.hosts[hung]->urgent_return_requested = true;
  EXPECT_EQ(overdue(0, earliest), (std::vector<Index>{}))
      << "its return has been requested already";
  // A machine that sends heartbeats but never proves the task's end is returned as well.
  EXPECT_EQ(overdue(0, 99 + kWorkers.cancel_s - kMachineReturn_s), (std::vector<Index>{reporting}));
}

TEST_F(CancelledTasks, AnyNumberOfMachinesIsReturnedButOnlyWithoutProof) {
  std::vector<Index> hosts;
  for (int i = 0; i < 8; ++i) hosts.push_back(machine_with_task(99));
  cluster_.cancel_job(job_, {100, 100});
  EXPECT_EQ(overdue(0, 125), hosts) << "all of them, although more than a third of the fleet";
  cluster_.end_attempt(job_, hosts.back(), 101);
  hosts.pop_back();
  EXPECT_EQ(overdue(0, 125), hosts);
}

TEST_F(CancelledTasks, MachinesOfJobsThatAreNotCancelledStay) {
  machine_with_task(0);
  EXPECT_TRUE(overdue(0, 1000).empty());
}

TEST_F(CancelledTasks, ANewLeaderKeepsThePreviousLeadersDeadline) {
  const Index hung = machine_with_task(-1, true);
  cluster_.cancel_job(job_, {100, 101});
  // It has received heartbeats for too short a time to treat the machine as silent.
  EXPECT_TRUE(overdue(122, 124.9).empty());
  EXPECT_EQ(overdue(122, 125), (std::vector<Index>{hung}));
  EXPECT_EQ(overdue(128, 128), (std::vector<Index>{hung})) << "there is still time to return it";
}

// After a long outage the records still hold attempts that ended long ago. Machines that are about
// to send heartbeats must not be returned because of these.
TEST_F(CancelledTasks, ALeaderThatStartsAfterTheDeadlineWaitsForHeartbeats) {
  for (const double earliest : {40.0, CancellationTime{}.earliest}) {
    cluster_.cancel_job(job_, {earliest, 60});
    const Index machine = machine_with_task(-1, true);
    EXPECT_TRUE(overdue(200, 200 + kMaxHeartbeatDelay_s).empty());
    EXPECT_EQ(overdue(200, 200 + kMaxHeartbeatDelay_s + 0.1), (std::vector<Index>{machine}))
        << earliest;
    cluster_.hosts[machine]->last_heartbeat_at = 205;
    EXPECT_TRUE(overdue(200, 211).empty()) << "it has sent a heartbeat meanwhile";
    cluster_.end_attempt(job_, machine, 206);
  }
}

// Changes of the leader every few seconds do not postpone the deadline, although the new leaders'
// processes are too young to know the earliest time of the cancellation.
TEST_F(CancelledTasks, ManyChangesOfLeadersDoNotPostponeTheDeadline) {
  machine_with_task(-1, true);
  cluster_.cancel_job(job_, {CancellationTime{}.earliest, 100});
  bool returned = false;
  for (double since = 102; since < 130 && !returned; since += 5) {
    for (double now = since; now < since + 5 && !returned; now += 0.5) {
      returned = !overdue(since, now).empty();
      EXPECT_LE(now, 100 + kWorkers.cancel_s - kMachineReturn_s);
    }
  }
  EXPECT_TRUE(returned);
}

// For any settings and any time at which the leader started: the deadline leaves enough time for
// returning the machine, and for the two heartbeats with which a working machine proves the end.
RC_GTEST_PROP(CancelledTasksProperty, DeadlineLeavesTimeForTheReturnAndForAProof, ()) {
  const auto tenths = [](int low, int high) { return *rc::gen::inRange(low, high) / 10.0; };
  settings::WorkerTimings workers = kWorkers;
  workers.report_interval_s = tenths(1, 100);
  workers.lease_s = tenths(20, 600);
  workers.cancel_s = tenths(20, 1200);
  const CancellationTime at{100, 100 + tenths(0, 50)};
  const double since = tenths(0, 3000);
  const double deadline = termination_deadline(workers, at, since);
  const double proof = 2 * max_heartbeat_delay_s(workers);
  constexpr double kRounding_s = 1e-9;  // the same terms are added in another order here
  RC_ASSERT(deadline >= std::min(100 + proof, since + proof) - kRounding_s);
  if (workers.cancel_s - kMachineReturn_s >= proof &&
      since <= 100 + workers.cancel_s - kMachineReturn_s) {
    RC_ASSERT(deadline <= 100 + workers.cancel_s - kMachineReturn_s + kRounding_s);
  }
}

}  // namespace
}  // namespace reachramp::workers
