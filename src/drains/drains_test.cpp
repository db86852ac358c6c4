// Drains and replaces machines of generated fleets while tasks run, machines die and leaders
// change. In every case, no voluntary stop exceeds a team's budget, no task is placed on a cordoned
// machine, and every drain that the budgets allow completes.
#include "drains/drains.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "cluster_fixtures.h"
#include "placement/plan.h"

namespace reachramp::drains {
namespace {

using placement::Attempt;
using placement::HostPhase;
using placement::ObservedState;

settings::Platform make_platform() {
  settings::Platform p;
  p.teams = {{"red", 40, 0, 0, 0}, {"blue", 0, 400, 0, 0}, {"grey", 0, 0, 0, 0}};
  p.worker_timings = {5, 25, 30, 5, 45};
  p.store_limits = {1000, 1000, 8, 8};
  p.upcoming_store_limits = p.store_limits;
  return p;
}

DrainPolicy parse_policy(const std::string& text) {
  return parse_drain_policy(settings::parse_s_expression(text, "p"), make_platform(), "p");
}

class SimulatedFleet {
 public:
  SimulatedFleet(std::uint64_t seed, int machines, double death_probability)
      : random_(seed),
        death_probability_(death_probability),
        cluster_(platform_, 1, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"small", 8, 0, 32, 50, 1, 0.4, 0.1, 20, {"a", "b"}},
                          {"large", 32, 0, 128, 50, 1, 1.6, 0.4, 20, {"a", "b"}}});
    for (int i = 0; i < machines; ++i) {
      rent(i % 3 == 0 ? "large" : "small", i % 2 == 0 ? "a" : "b", i % 5 != 0, -300);
    }
    for (const auto& host : cluster_.hosts) host->phase = HostPhase::up;
  }

  void apply_policy(const std::string& text) {
    policy_text_ = text;
    drains_.apply_policy(parse_policy(text), {{1, -100}, {2, 0}}, now_);
  }
  // Replaces the leader by one that knows only the stored records.
  void change_leader() {
    const wire::Json record = drains_.encode(cluster_, now_);
    drains_ = {};
    drains_.restore(wire::Json::from_msgpack(wire::Json::to_msgpack(record)), now_);
    drains_.apply_policy(parse_policy(policy_text_), {{1, -100}, {2, 0}}, now_);
    for (const auto& host : cluster_.hosts) {
      if (!host) continue;
      // The new leader knows no reservations.
      while (host->reserved_tasks > 0) {
        --host->reserved_tasks;
        host->free = {};
      }
      host->cordoned = host->to_be_replaced = false;
      if (const auto* type = cluster_.type_of(*host)) {
        host->free = {type->cpus, type->gpus, type->ram_gb};
        for (const auto& ref : host->attempts)
          host->free -= cluster_.jobs[ref.job]->resources_per_task;
      }
    }
    ++leader_changes_;
  }

  Index submit(const char* team, jobs::Shape shape, std::uint32_t tasks, double cpus,
               double run_time_s, double checkpoint_interval_s = 0) {
    jobs::Header header;
    header.spec.id = "j-" + std::to_string(++submitted_);
    header.spec.team = team;
    header.spec.shape = shape;
    header.spec.tasks = tasks;
    header.spec.cpus = cpus;
    header.spec.ram_gb = 1;
    header.spec.image = "img";
    header.spec.allow_spot = true;
    header.spec.single_zone = shape == jobs::Shape::gang;
    header.spec.estimated_duration_s = shape == jobs::Shape::service ? 0 : run_time_s;
    header.spec.checkpoint_interval_s = checkpoint_interval_s;
    header.spec.checkpoint_duration_s = checkpoint_interval_s > 0 ? 2 : 0;
    const Index job = cluster_.add_job(header, submitted_, now_);
    run_time_s_[header.spec.id] = run_time_s;
    return job;
  }

  void run(double seconds) {
    for (const double end = now_ + seconds; now_ < end; now_ += 0.5) step();
  }
  // Names of all current machines.
  std::set<std::string> names() const {
    std::set<std::string> found;
    for (const auto& host : cluster_.hosts) {
      if (host) found.insert(host->name);
    }
    return found;
  }
  bool any_of(const std::set<std::string>& names) const {
    return std::any_of(names.begin(), names.end(),
                       [&](const auto& name) { return cluster_.host_index.contains(name); });
  }
  std::size_t running(Index job) const {
    return static_cast<std::size_t>(std::count_if(
        cluster_.jobs[job]->attempts.begin(), cluster_.jobs[job]->attempts.end(),
        [](const auto& one) {
          return one.second.observed_state == ObservedState::running && !one.second.stopping;
        }));
  }
  // Number of tasks stopped voluntarily so far, by job id.
  std::map<std::string, int> stops_by_job;
  std::size_t min_running_replicas = 1000;  // of the watched service, so far
  Index watched_service = placement::kNone;
  std::vector<std::string> violations;
  bool new_hosts_never_boot = false;  // new machines never finish booting
  bool cloud_refuses = false;         // the cloud refuses to rent
  bool upgrade_in_progress = false;
  int max_cordoned_hosts = 0;
  Cluster& cluster() { return cluster_; }
  double now() const { return now_; }
  int rented() const { return rented_; }

 private:
  void rent(const std::string& type, const std::string& zone, bool spot, double at) {
    const Index index = cluster_.add_host("n-" + std::to_string(10000 + rented_++), at);
    cluster_.set_host_type(index, type, zone, spot);
    cluster_.hosts[index]->rented_at = at;
  }

  void remove(Index index) {
    const placement::Host host = *cluster_.hosts[index];
    cluster_.remove_host(index, now_);
    if (!cloud_refuses) rent(cluster_.types[host.type], cluster_.zones[host.zone], host.spot, now_);
  }

  void advance_workers() {
    for (Index i = 0; i < cluster_.hosts.size(); ++i) {
      auto* host = cluster_.hosts[i].get();
      if (host == nullptr) continue;
      if (std::uniform_real_distribution<double>(0, 1)(random_) < death_probability_) {
        remove(i);
        continue;
      }
      host->listed_as_running = true;
      if (host->phase == HostPhase::booting &&
          now_ - host->rented_at >= (new_hosts_never_boot ? 1e9 : 20)) {
        host->phase = HostPhase::up;
        host->idle_since = now_;
      }
      if (host->phase == HostPhase::up) {
        host->last_heartbeat_at = now_;
        host->acknowledged_token = true;
      }
    }
    for (Index i = 0; i < cluster_.jobs.size(); ++i) {
      auto* job = cluster_.jobs[i].get();
      if (job == nullptr) continue;
      std::vector<std::uint32_t> tasks;
      for (const auto& [task, attempt] : job->attempts) tasks.push_back(task);
      for (const std::uint32_t task : tasks) advance_task(i, task);
      if (job->spec.shape == jobs::Shape::gang && job->gang_started &&
          job->attempts.size() < job->spec.tasks && !job->is_complete()) {
        for (auto& [task, attempt] : job->attempts) cluster_.request_stop(i, task, 0);
      }
    }
  }

  void advance_task(Index index, std::uint32_t task) {
    placement::Job& job = *cluster_.jobs[index];
    if (!job.attempts.contains(task)) return;  // ended together with its gang
    Attempt& attempt = job.attempts.at(task);
    if (!attempt.start_sent) {
      attempt.start_sent = attempt.persisted = true;
      attempt.observed_state = ObservedState::fetching;
      return;
    }
    if (attempt.stopping) {
      auto [at, inserted] =
          stop_ends_at_.try_emplace({index, task, attempt.number}, now_ + attempt.grace_period_s);
      if (now_ >= at->second) cluster_.end_attempt(index, task, now_);
      return;
    }
    if (attempt.observed_state == ObservedState::fetching) {
      attempt.observed_state = ObservedState::running;
      cluster_.mark_running(job, task, now_);
      job.gang_started = true;
      return;
    }
    if (now_ - attempt.running_since < run_time_s_.at(job.spec.id)) return;
    if (job.spec.shape == jobs::Shape::gang) {
      for (std::uint32_t i = 0; i < job.spec.tasks; ++i) cluster_.mark_done(index, i, now_);
      for (std::uint32_t i = 0; i < job.spec.tasks; ++i) cluster_.end_attempt(index, i, now_);
    } else {
      cluster_.mark_done(index, task, now_);
      cluster_.end_attempt(index, task, now_);
    }
  }

  // The current disruption of one team.
  DisruptedCores disruption_of(Index team) const {
    return BudgetTracker().disruption_by_team(cluster_)[team];
  }

  void step() {
    advance_workers();
    std::vector<DisruptedCores> before = BudgetTracker().disruption_by_team(cluster_);
    std::map<std::string, std::size_t> stopping = stopping_by_choice();
    const FleetConditions conditions{upgrade_in_progress,
                                     [&](const Pool&) { return cloud_refuses; },
                                     [](const Pool&) { return 1.0; }};
    drains_.advance_moves(cluster_, now_);
    const DrainActions actions = drains_.advance(cluster_, conditions, now_);
    check_budgets(before, stopping);
    for (const Index index : actions.hosts_to_return) remove(index);
    int cordoned_hosts = 0;
    for (const auto& host : cluster_.hosts) cordoned_hosts += host && host->cordoned ? 1 : 0;
    max_cordoned_hosts = std::max(max_cordoned_hosts, cordoned_hosts);
    drains_.advance_moves(cluster_, now_);
    placement::plan(cluster_, now_);
    for (const auto& job : cluster_.jobs) {
      if (!job) continue;
      for (const auto& [task, attempt] : job->attempts) {
        if (attempt.placed_at == now_ && cluster_.hosts[attempt.host]->cordoned) {
          violations.push_back("placed on a cordoned machine: " + job->spec.id);
        }
      }
    }
    for (const auto& host : cluster_.hosts) {
      if (host && (host->free.cpus < -1e-6 || host->free.ram_gb < -1e-6)) {
        violations.push_back("machine is overcommitted: " + host->name);
      }
    }
    if (watched_service != placement::kNone) {
      min_running_replicas = std::min(min_running_replicas, running(watched_service));
    }
  }

  std::map<std::string, std::size_t> stopping_by_choice() const {
    std::map<std::string, std::size_t> found;
    for (const auto& job : cluster_.jobs) {
      if (!job) continue;
      for (const auto& [task, attempt] : job->attempts) {
        if (attempt.stopping && attempt.voluntary && attempt.running_since >= 0) {
          ++found[job->spec.id];
        }
      }
    }
    return found;
  }

  // Checks the budgets independently of the code under test: if a pass stopped tasks of a team, no
  // more of the team is down than its budget allows, or only one task or gang is down.
  void check_budgets(const std::vector<DisruptedCores>& before,
                     const std::map<std::string, std::size_t>& stopping) {
    const DrainPolicy policy = parse_policy(policy_text_);
    const std::vector<DisruptedCores> after = BudgetTracker().disruption_by_team(cluster_);
    for (const auto& [id, count] : stopping_by_choice()) {
      const auto at = stopping.find(id);
      const std::size_t new_stops = count - (at == stopping.end() ? 0 : at->second);
      if (new_stops == 0) continue;
      stops_by_job[id] += static_cast<int>(new_stops);
      const placement::Job& job = *cluster_.find_job(id);
      const DisruptionBudget& budget = policy.budget_of(job.spec.team);
      const DisruptedCores& was = before[job.team];
      const DisruptedCores& is = after[job.team];
      const double all = is.running + is.voluntary + is.involuntary;
      const bool alone =
          was.voluntary + was.involuntary < 1e-6 &&
          is.voluntary <= job.resources_per_task.cpus * static_cast<double>(new_stops) + 1e-6;
      if (budget.max_down_share <= 0 ||
          (!alone && is.voluntary + is.involuntary > budget.max_down_share * all + 1e-6)) {
        violations.push_back("over the budget of team " + job.spec.team + " at " +
                             std::to_string(now_));
      }
    }
  }

  std::mt19937_64 random_;
  double death_probability_;
  settings::Platform platform_ = make_platform();
  Cluster cluster_;
  Drains drains_;
  std::string policy_text_;
  double now_ = 0;
  int rented_ = 0, submitted_ = 0, leader_changes_ = 0;
  std::map<std::string, double> run_time_s_;
  std::map<std::tuple<Index, std::uint32_t, std::uint64_t>, double> stop_ends_at_;
};

RC_GTEST_PROP(Drains, KeepEveryBudgetAndComplete, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  std::mt19937_64 random(seed);
  const bool quiet = random() % 3 == 0;
  SimulatedFleet fleet(seed, 30 + static_cast<int>(random() % 30), quiet ? 0 : 0.00005);
  const char* const kTeams[] = {"red", "blue", "grey"};
  const auto submit = [&] {
    const char* team = kTeams[random() % 3];
    const auto runs = 20 + static_cast<double>(random() % 200);
    switch (random() % 4) {
      case 0:
        fleet.submit(team, jobs::Shape::gang, 1 + random() % 3, 6, runs, 15);
        break;
      case 1:
        // With fewer than 4 replicas, three quarters, rounded up, are all replicas.
        fleet.submit(team, jobs::Shape::service, 4 + random() % 6, 2, 1e9);
        break;
      default:
        fleet.submit(team, jobs::Shape::array, 5 + random() % 40, 1, runs);
    }
  };
  for (int i = 0; i < 8; ++i) submit();
  const char* const kEntries[] = {"(machines (zone a))", "(replace (before 2))",
                                  "(replace (before 2) (type large)) (machines (type small))",
                                  "(machines (spot no)) (replace (before 1) (zone b))"};
  const char* const kBudgets[] = {"(budget (down 0.1))", "(budget (down 0.3) (replicas-up 0.5))",
                                  "(budget (down 0.2)) (budget (team red) (down 0.05))"};
  fleet.apply_policy(
      std::string("(drains (serial 2) (attrition-s 60) (steps (first 2) (most 0.2) ") +
      "(settle-s 5)) (budget (stops-a-job 100) (lost-core-s-an-hour 1e9)) " + ")");
  fleet.run(30);
  RC_ASSERT(fleet.stops_by_job.empty());
  const std::string budget = kBudgets[random() % 3];
  fleet.apply_policy(
      "(drains (serial 3) (attrition-s 60) (steps (first 2) (most 0.2) (settle-s 5)) " +
      budget.substr(0, budget.find("(down")) + "(stops-a-job 1000) (lost-core-s-an-hour 1e9) " +
      budget.substr(budget.find("(down")) + " " + kEntries[random() % 4] + ")");
  const std::set<std::string> old_names = fleet.names();
  for (int i = 0; i < 40; ++i) {
    if (random() % 2 == 0) submit();
    if (random() % 5 == 0) fleet.change_leader();
    fleet.run(20);
  }
  fleet.run(2500);
  for (const std::string& what : fleet.violations) RC_LOG() << what << "\n";
  RC_ASSERT(fleet.violations.empty());
  // All machines that a rule selects are gone, so services, which never end, were moved.
  for (const auto& host : fleet.cluster().hosts) {
    if (host && old_names.contains(host->name) && (host->cordoned || host->to_be_replaced)) {
      RC_LOG() << host->name << " of " << fleet.cluster().types[host->type] << ":";
      for (const auto& ref : host->attempts) {
        const auto& job = *fleet.cluster().jobs[ref.job];
        RC_LOG() << " " << job.spec.id << " " << job.spec.team << " "
                 << static_cast<int>(job.spec.shape) << " of " << job.spec.tasks;
      }
      RC_LOG() << "\n";
      RC_FAIL("not drained");
    }
  }
}

TEST(DrainsOfServices, MoveReplicasWithoutGoingBelowTheMinimum) {
  SimulatedFleet fleet(1, 24, 0);
  fleet.watched_service = fleet.submit("grey", jobs::Shape::service, 8, 4, 1e9);
  fleet.apply_policy("(drains (serial 1))");
  fleet.run(5);
  ASSERT_EQ(fleet.running(fleet.watched_service), 8u);
  fleet.min_running_replicas = 8;
  fleet.apply_policy(
      "(drains (serial 2) (budget (replicas-up 0.75) (stops-a-job 100) (down 0.5))"
      " (machines (zone a)))");
  fleet.run(300);
  EXPECT_GE(fleet.min_running_replicas, 6u);
  EXPECT_EQ(fleet.running(fleet.watched_service), 8u);
  for (const auto& [task, attempt] : fleet.cluster().jobs[fleet.watched_service]->attempts) {
    EXPECT_EQ(fleet.cluster().zones[fleet.cluster().hosts[attempt.host]->zone], "b");
  }
  EXPECT_TRUE(fleet.violations.empty());
}

TEST(DrainsInSteps, GrowAndHaltWhenNewMachinesFail) {
  SimulatedFleet fleet(2, 40, 0);
  for (int i = 0; i < 6; ++i) fleet.submit("grey", jobs::Shape::array, 20, 1, 30);
  fleet.apply_policy(
      "(drains (serial 2) (steps (first 1) (most 0.25) (settle-s 10) (again-s 200))"
      " (replace (before 2)))");
  const std::set<std::string> old_names = fleet.names();
  fleet.run(20);
  EXPECT_LE(fleet.max_cordoned_hosts, 4) << "one machine in each of four rollouts";
  fleet.run(1500);
  EXPECT_FALSE(fleet.any_of(old_names)) << "all replaced";
  EXPECT_TRUE(fleet.violations.empty());

  SimulatedFleet failing_fleet(3, 40, 0);
  failing_fleet.new_hosts_never_boot = true;
  failing_fleet.apply_policy(
      "(drains (serial 2) (steps (first 1) (most 0.25) (settle-s 10) (again-s 200))"
      " (replace (before 2)))");
  failing_fleet.run(5000);
  // Each of the four rollouts, by type and spot or ordinary, tries one machine twice and then
  // stops.
  EXPECT_LE(failing_fleet.rented(), 40 + 2 * 4);
  EXPECT_GT(failing_fleet.rented(), 40);
}

// The cloud has no machines for ten minutes, starting in the middle of a step. Without a wait for
// capacity, every further step would shrink the fleet.
TEST(DrainsInSteps, WaitForCapacityWhileTheCloudRefuses) {
  SimulatedFleet fleet(8, 40, 0);
  fleet.apply_policy(
      "(drains (serial 2) (steps (first 1) (most 0.25) (settle-s 5)) (replace (before 2)))");
  fleet.run(30);
  fleet.cloud_refuses = true;
  const std::size_t before = fleet.names().size();
  fleet.run(595);
  EXPECT_GE(fleet.names().size() + 8, before)
      << "only the steps that had begun in each of four rollouts";
  fleet.cloud_refuses = false;
  const std::size_t left = fleet.names().size();
  fleet.run(3000);
  EXPECT_LT(left, before);
  EXPECT_TRUE(fleet.violations.empty());
}

TEST(DrainsInSteps, WaitDuringAControllerUpgrade) {
  SimulatedFleet fleet(4, 20, 0);
  fleet.upgrade_in_progress = true;
  fleet.apply_policy("(drains (serial 2) (replace (before 2)))");
  fleet.run(300);
  EXPECT_EQ(fleet.rented(), 20);
  fleet.upgrade_in_progress = false;
  fleet.run(300);
  EXPECT_GT(fleet.rented(), 20);
}

// With a budget of 0 no running task is stopped; machines are returned when their tasks have ended.
TEST(DrainsWithZeroBudget, LeaveRunningTasksToEnd) {
  SimulatedFleet fleet(5, 12, 0);
  fleet.submit("grey", jobs::Shape::array, 20, 2, 100);
  fleet.submit("red", jobs::Shape::gang, 2, 6, 150, 15);
  const Index service = fleet.submit("blue", jobs::Shape::service, 3, 2, 1e9);
  fleet.apply_policy("(drains (serial 1))");
  fleet.run(10);
  fleet.apply_policy("(drains (serial 2) (budget (down 0)) (attrition-s 1) (machines (before 2)))");
  const std::set<std::string> old_names = fleet.names();
  fleet.run(600);
  EXPECT_TRUE(fleet.stops_by_job.empty());
  std::size_t left = 0;
  for (const std::string& name : old_names)
    left += fleet.cluster().host_index.contains(name) ? 1 : 0;
  EXPECT_GE(left, 1u) << "the service's machines are not returned";
  EXPECT_LE(left, 3u);
  EXPECT_EQ(fleet.running(service), 3u);
  // When the policy no longer selects them, the machines accept tasks again.
  fleet.apply_policy("(drains (serial 3) (budget (down 0)))");
  fleet.run(1);
  for (const auto& host : fleet.cluster().hosts) EXPECT_FALSE(host && host->cordoned);
}

TEST(DrainsOfGangs, GangsMoveAsAWholeWithinTheBudget) {
  SimulatedFleet fleet(6, 30, 0);
  std::vector<Index> gangs;
  for (int i = 0; i < 6; ++i) {
    gangs.push_back(fleet.submit("grey", jobs::Shape::gang, 2, 6, 1e9, 15));
  }
  fleet.apply_policy("(drains (serial 1))");
  fleet.run(10);
  fleet.apply_policy(
      "(drains (serial 2) (budget (down 0.17) (stops-a-job 50)) (soon-s 0) (machines (zone a))"
      " (machines (zone b) (type large)))");
  fleet.run(400);
  EXPECT_FALSE(fleet.stops_by_job.empty());
  for (const Index gang : gangs) EXPECT_EQ(fleet.running(gang), 2u);
  EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
}

TEST(BudgetRecord, IsRestoredAndRejectsMalformedInput) {
  SimulatedFleet fleet(7, 4, 0);
  const Index job = fleet.submit("grey", jobs::Shape::gang, 1, 6, 1e9, 15);
  fleet.apply_policy("(drains (serial 1))");
  fleet.run(10);
  const DrainPolicy policy =
      parse_policy("(drains (serial 1) (budget (lost-core-s-an-hour 3600) (stops-a-job 1)))");
  BudgetTracker budget_tracker;
  std::vector<DisruptedCores> disruption = budget_tracker.disruption_by_team(fleet.cluster());
  PlannedStop stop = estimate_stop(fleet.cluster(), job, {0}, true, 20);
  stop.lost_core_s = 1800;
  EXPECT_EQ(budget_tracker.check(policy, fleet.cluster(), disruption, {stop}, 20),
            BudgetRejection::none);
  budget_tracker.charge(policy, fleet.cluster(), disruption, stop, 20);
  EXPECT_EQ(budget_tracker.lost_core_s(policy, "grey", 20), 1800);
  EXPECT_EQ(budget_tracker.lost_core_s(policy, "grey", 20 + 900), 900)
      << "lost work expires at a constant rate";
  BudgetTracker restored;
  restored.restore(budget_tracker.encode(policy, fleet.cluster(), 20 + 900), 5);
  EXPECT_EQ(restored.lost_core_s(policy, "grey", 5), 900);
  EXPECT_EQ(restored.check(policy, fleet.cluster(), restored.disruption_by_team(fleet.cluster()),
                           {stop}, 5),
            BudgetRejection::too_many_stops);
  for (const wire::Json& bad :
       {wire::Json(1), wire::Json::object(), wire::Json{{"teams", {{{"name", 1}}}}, {"jobs", 1}},
        wire::Json{{"teams", wire::Json::array()}, {"jobs", {{{"name", "j"}, {"stops", -1}}}}}}) {
    EXPECT_THROW(restored.restore(bad, 5), wire::BadMessage) << bad.dump();
  }
  EXPECT_EQ(restored.lost_core_s(policy, "grey", 5), 900) << "unchanged after a failed restore";
}

}  // namespace
}  // namespace reachramp::drains
