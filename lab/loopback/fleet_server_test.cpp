// Tests the emulated machines over loopback: a task that the emulator has reported as ended must
// have ended. Each test checks a rule of PROTOCOL on which a controller relies before it restarts a
// task on another machine.
#include "loopback/fleet_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "kv/steady_clock.h"
#include "port_reservations.h"

namespace reachramp::lab {
namespace {

using kv::steady_now;
using wire::Json;
using namespace std::chrono_literals;

class FleetServerTest : public ::testing::Test {
 protected:
  void serve(double lease_s) {
    // The only controller is a listening socket: the kernel accepts connections, nobody answers.
    const wire::Address controller{"127.0.0.1", ports_.reserve()};
    unresponsive_controller_ = wire::Socket::listen(controller);
    const std::uint16_t cloud_port = ports_.reserve();
    FleetSpec spec;
    spec.cloud.catalog = {{"small", 4, 0, 16, 50, 1, 0.05, 1, 1, {"a"}}};
    spec.cloud.capacity[{"small", "a", false}] = 50;
    spec.cloud.limits = {1000, 0.1};
    spec.workers = {0.2, lease_s, 10, 2, 20};
    spec.teams = {{"red", 0, 0, 0, 0}};
    spec.controllers["node-0"] = controller;
    spec.worker_port = ports_.reserve();
    fleet_ = std::make_unique<FleetServer>(spec, cloud_port, 1);
    cloud_ = std::make_unique<wire::Client>(wire::Address{"127.0.0.1", cloud_port}, 1,
                                            wire::kMaxBody_bytes);
    jobs::Spec job;
    job.id = "j-1";
    job.team = "red";
    job.tasks = 50;
    job.cpus = 1;
    job.image = "img";
    fleet_->upload({job, 1000, false});
  }

  std::vector<std::string> rent(int count) {
    const Json hire{
        {"hire", "r-1"}, {"rig", "small"}, {"hall", "a"}, {"loaner", false}, {"how_many", count}};
    const wire::CallResult answer = cloud_->call("POST", "/hosts", &hire, 3000ms);
    EXPECT_EQ(answer.status, 200);
    return answer.body.at("hosts").get<std::vector<std::string>>();
  }

  // Waits until the machine is up and starts a task of the job on it by a direct order.
  void start(const std::string& machine, int task) {
    const std::string address = fleet_->with_cloud(
        [&](const Cloud& cloud) { return cloud.machines().at(machine).address; });
    wire::Client worker(wire::parse_address(address), 0, wire::kMaxBody_bytes);
    const Json order{{"verb", "start"}, {"piece", "j-1/" + std::to_string(task)}, {"try", 1}};
    const Json body{{"baton", 1}, {"tenure", 1}, {"orders", {order}}};
    for (int i = 0; i < 100; ++i) {
      if (worker.call("POST", "/orders", &body, 1000ms).status == 200) return;
      std::this_thread::sleep_for(10ms);
    }
    FAIL() << "machine " << machine << " does not come up";
  }

  test::PortReservations ports_;
  wire::Socket unresponsive_controller_;
  std::unique_ptr<FleetServer> fleet_;
  std::unique_ptr<wire::Client> cloud_;
};

// Guards against tasks that outlive their worker's lease. The emulator used to check the lease only
// between reports. While a report to a killed or stalled controller waited for its response, tasks
// stayed on the machine for up to 4 s past the lease.
TEST_F(FleetServerTest, LeaseEndsAtItsTimeWhileAReportIsUnanswered) {
  constexpr double kLease_s = 1;
  serve(kLease_s);
  const std::vector<std::string> machines = rent(1);
  start(machines[0], 0);
  const double up = steady_now();  // the lease began before this
  ASSERT_EQ(fleet_->held_task_count("j-1"), 1u);
  while (steady_now() <= up + kLease_s) std::this_thread::sleep_for(5ms);
  EXPECT_EQ(fleet_->held_task_count("j-1"), 0u);
}

// Guards against machines that outlive the response to their return. The emulator used to answer
// first and remove the machines afterwards, in a thread that also waited for the servers of earlier
// machines to close. A controller that correctly restarted their tasks elsewhere was then reported
// for breaking the rule `ran_twice`.
TEST_F(FleetServerTest, ReturnedMachineIsGoneBeforeTheAnswer) {
  constexpr int kMachines = 12;
  serve(60);
  const std::vector<std::string> machines = rent(kMachines);
  for (int i = 0; i < kMachines; ++i) {
    const Json body{{"hosts", {machines[i]}}};
    start(machines[i], i);
    const std::size_t before = fleet_->held_task_count("j-1");
    ASSERT_EQ(cloud_->call("POST", "/hosts/return", &body, 3000ms).status, 200);
    EXPECT_EQ(fleet_->held_task_count("j-1"), before - 1) << machines[i];
  }
}

}  // namespace
}  // namespace reachramp::lab
