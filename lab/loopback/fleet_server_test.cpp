// The machines' stand-in itself, over loopback: what it says to be gone must be gone. Each test
// holds a rule of PROTOCOL that a daemon relies on before it starts a task anew elsewhere.
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
    // The only controller accepts connections, by the kernel, and never answers.
    const wire::Address controller{"127.0.0.1", ports_.reserve()};
    silent_ = wire::Socket::listen(controller);
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

  // Starts a task of the job on the machine by a direct order, once it is up.
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
  wire::Socket silent_;
  std::unique_ptr<FleetServer> fleet_;
  std::unique_ptr<wire::Client> cloud_;
};

// A worker ends its tasks when its lease ends, also while it waits for the answer to a report. The
// stand-in looked at the lease only between reports, so that a controller which was killed or held
// up kept tasks on machines for up to 4 s past the lease.
TEST_F(FleetServerTest, LeaseEndsAtItsTimeWhileAReportIsUnanswered) {
  constexpr double kLease_s = 1;
  serve(kLease_s);
  const std::vector<std::string> machines = rent(1);
  start(machines[0], 0);
  const double up = steady_now();  // the lease began before
  ASSERT_EQ(fleet_->held_task_count("j-1"), 1u);
  while (steady_now() <= up + kLease_s) std::this_thread::sleep_for(5ms);
  EXPECT_EQ(fleet_->held_task_count("j-1"), 0u);
}

// By the time the cloud answers a return, the machine and everything on it is gone. The stand-in
// answered first and took the machines down afterwards, by a thread that also waits for the doors
// of machines that went before to close: a controller that did as it may, and started their tasks
// elsewhere, was taken for one that breaks `ran_twice`.
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
