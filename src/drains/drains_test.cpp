// Generated fleets that are drained and renewed while their work runs, machines die and leaders
// change. Whatever is chosen, no voluntary stop goes over a team's budget, nothing starts on a
// machine that is being emptied, and every drain that its budgets allow ends.
#include "drains/drains.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "machines.h"
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

DrainPolicy rules_of(const std::string& text) {
  return parse_drain_policy(settings::parse_s_expression(text, "p"), make_platform(), "p");
}

class World {
 public:
  World(std::uint64_t seed, int machines, double deaths)
      : random_(seed), deaths_(deaths), cluster_(platform_, 1, jobs::TaskRecordFormat::compact) {
    cluster_.set_catalog({{"small", 8, 0, 32, 50, 1, 0.4, 0.1, 20, {"a", "b"}},
                          {"large", 32, 0, 128, 50, 1, 1.6, 0.4, 20, {"a", "b"}}});
    for (int i = 0; i < machines; ++i) {
      rent(i % 3 == 0 ? "large" : "small", i % 2 == 0 ? "a" : "b", i % 5 != 0, -300);
    }
    for (const auto& host : cluster_.hosts) host->phase = HostPhase::up;
  }

  void rule(const std::string& text) {
    text_ = text;
    drains_.apply_policy(rules_of(text), {{1, -100}, {2, 0}}, now_);
  }
  // A leader that knows what the records tell.
  void change_leader() {
    const wire::Json record = drains_.encode(cluster_, now_);
    drains_ = {};
    drains_.restore(wire::Json::from_msgpack(wire::Json::to_msgpack(record)), now_);
    drains_.apply_policy(rules_of(text_), {{1, -100}, {2, 0}}, now_);
    for (const auto& host : cluster_.hosts) {
      if (!host) continue;
      // Places that were kept are kept no more.
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
    ++leaders_;
  }

  Index submit(const char* team, jobs::Shape shape, std::uint32_t tasks, double cpus, double runs_s,
               double saves_every = 0) {
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
    header.spec.estimated_duration_s = shape == jobs::Shape::service ? 0 : runs_s;
    header.spec.checkpoint_interval_s = saves_every;
    header.spec.checkpoint_duration_s = saves_every > 0 ? 2 : 0;
    const Index job = cluster_.add_job(header, submitted_, now_);
    runs_[header.spec.id] = runs_s;
    return job;
  }

  void run(double seconds) {
    for (const double end = now_ + seconds; now_ < end; now_ += 0.5) step();
  }
  // Machines that an entry names, as they were when it began.
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
  // Tasks told to stop by choice so far, by job.
  std::map<std::string, int> stops;
  std::size_t least_up = 1000;  // of the service that is watched
  Index watched = placement::kNone;
  std::vector<std::string> broken;
  bool sick = false;     // new machines do not come up
  bool refused = false;  // the cloud has none
  bool rolling = false;
  int largest_step = 0;
  Cluster& cluster() { return cluster_; }
  double now() const { return now_; }
  int rented() const { return made_; }

 private:
  void rent(const std::string& type, const std::string& zone, bool spot, double at) {
    const Index index = cluster_.add_host("n-" + std::to_string(10000 + made_++), at);
    cluster_.set_host_type(index, type, zone, spot);
    cluster_.hosts[index]->rented_at = at;
  }

  void remove(Index index) {
    const placement::Host host = *cluster_.hosts[index];
    cluster_.remove_host(index, now_);
    if (!refused) rent(cluster_.types[host.type], cluster_.zones[host.zone], host.spot, now_);
  }

  void live() {
    for (Index i = 0; i < cluster_.hosts.size(); ++i) {
      auto* host = cluster_.hosts[i].get();
      if (host == nullptr) continue;
      if (std::uniform_real_distribution<double>(0, 1)(random_) < deaths_) {
        remove(i);
        continue;
      }
      host->listed_as_running = true;
      if (host->phase == HostPhase::booting && now_ - host->rented_at >= (sick ? 1e9 : 20)) {
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
      for (const std::uint32_t task : tasks) work(i, task);
      if (job->spec.shape == jobs::Shape::gang && job->gang_started &&
          job->attempts.size() < job->spec.tasks && !job->is_complete()) {
        for (auto& [task, attempt] : job->attempts) cluster_.request_stop(i, task, 0);
      }
    }
  }

  void work(Index index, std::uint32_t task) {
    placement::Job& job = *cluster_.jobs[index];
    if (!job.attempts.contains(task)) return;  // a gang has ended together
    Attempt& attempt = job.attempts.at(task);
    if (!attempt.start_sent) {
      attempt.start_sent = attempt.persisted = true;
      attempt.observed_state = ObservedState::fetching;
      return;
    }
    if (attempt.stopping) {
      auto [at, fresh] =
          ends_.try_emplace({index, task, attempt.number}, now_ + attempt.grace_period_s);
      if (now_ >= at->second) cluster_.end_attempt(index, task, now_);
      return;
    }
    if (attempt.observed_state == ObservedState::fetching) {
      attempt.observed_state = ObservedState::running;
      cluster_.mark_running(job, task, now_);
      job.gang_started = true;
      return;
    }
    if (now_ - attempt.running_since < runs_.at(job.spec.id)) return;
    if (job.spec.shape == jobs::Shape::gang) {
      for (std::uint32_t i = 0; i < job.spec.tasks; ++i) cluster_.mark_done(index, i, now_);
      for (std::uint32_t i = 0; i < job.spec.tasks; ++i) cluster_.end_attempt(index, i, now_);
    } else {
      cluster_.mark_done(index, task, now_);
      cluster_.end_attempt(index, task, now_);
    }
  }

  // What the team has of work that runs, and that is down.
  DisruptedCores toll_of(Index team) const {
    return BudgetTracker().disruption_by_team(cluster_)[team];
  }

  void step() {
    live();
    std::vector<DisruptedCores> before = BudgetTracker().disruption_by_team(cluster_);
    std::map<std::string, std::size_t> stopping = stopping_by_choice();
    const FleetConditions conditions{rolling, [&](const Pool&) { return refused; },
                                     [](const Pool&) { return 1.0; }};
    drains_.advance_moves(cluster_, now_);
    const DrainActions wishes = drains_.advance(cluster_, conditions, now_);
    check_budgets(before, stopping);
    for (const Index index : wishes.hosts_to_return) remove(index);
    int going = 0;
    for (const auto& host : cluster_.hosts) going += host && host->cordoned ? 1 : 0;
    largest_step = std::max(largest_step, going);
    drains_.advance_moves(cluster_, now_);
    placement::plan(cluster_, now_);
    for (const auto& job : cluster_.jobs) {
      if (!job) continue;
      for (const auto& [task, attempt] : job->attempts) {
        if (attempt.placed_at == now_ && cluster_.hosts[attempt.host]->cordoned) {
          broken.push_back("placed on a machine that goes: " + job->spec.id);
        }
      }
    }
    for (const auto& host : cluster_.hosts) {
      if (host && (host->free.cpus < -1e-6 || host->free.ram_gb < -1e-6)) {
        broken.push_back("more than a machine has: " + host->name);
      }
    }
    if (watched != placement::kNone) {
      least_up = std::min(least_up, running(watched));
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

  // Told apart from how they are decided: after a pass that stopped something of a team, no more of
  // it is down than its budget, or it is one task or gang alone.
  void check_budgets(const std::vector<DisruptedCores>& before,
                     const std::map<std::string, std::size_t>& stopping) {
    const DrainPolicy rules = rules_of(text_);
    const std::vector<DisruptedCores> after = BudgetTracker().disruption_by_team(cluster_);
    for (const auto& [id, count] : stopping_by_choice()) {
      const auto at = stopping.find(id);
      const std::size_t fresh = count - (at == stopping.end() ? 0 : at->second);
      if (fresh == 0) continue;
      stops[id] += static_cast<int>(fresh);
      const placement::Job& job = *cluster_.find_job(id);
      const DisruptionBudget& budget = rules.budget_of(job.spec.team);
      const DisruptedCores& was = before[job.team];
      const DisruptedCores& is = after[job.team];
      const double all = is.running + is.voluntary + is.involuntary;
      const bool alone =
          was.voluntary + was.involuntary < 1e-6 &&
          is.voluntary <= job.resources_per_task.cpus * static_cast<double>(fresh) + 1e-6;
      if (budget.max_down_share <= 0 ||
          (!alone && is.voluntary + is.involuntary > budget.max_down_share * all + 1e-6)) {
        broken.push_back("over the budget of " + job.spec.team + " at " + std::to_string(now_));
      }
    }
  }

  std::mt19937_64 random_;
  double deaths_;
  settings::Platform platform_ = make_platform();
  Cluster cluster_;
  Drains drains_;
  std::string text_;
  double now_ = 0;
  int made_ = 0, submitted_ = 0, leaders_ = 0;
  std::map<std::string, double> runs_;
  std::map<std::tuple<Index, std::uint32_t, std::uint64_t>, double> ends_;
};

RC_GTEST_PROP(Drains, KeepToEveryBudgetAndEnd, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  std::mt19937_64 random(seed);
  const bool quiet = random() % 3 == 0;
  World world(seed, 30 + static_cast<int>(random() % 30), quiet ? 0 : 0.00005);
  const char* const kTeams[] = {"red", "blue", "grey"};
  const auto submit = [&] {
    const char* team = kTeams[random() % 3];
    const auto runs = 20 + static_cast<double>(random() % 200);
    switch (random() % 4) {
      case 0:
        world.submit(team, jobs::Shape::gang, 1 + random() % 3, 6, runs, 15);
        break;
      case 1:
        // Fewer replicas, and three quarters of them are all.
        world.submit(team, jobs::Shape::service, 4 + random() % 6, 2, 1e9);
        break;
      default:
        world.submit(team, jobs::Shape::array, 5 + random() % 40, 1, runs);
    }
  };
  for (int i = 0; i < 8; ++i) submit();
  const char* const kEntries[] = {"(machines (zone a))", "(replace (before 2))",
                                  "(replace (before 2) (type large)) (machines (type small))",
                                  "(machines (spot no)) (replace (before 1) (zone b))"};
  const char* const kBudgets[] = {"(budget (down 0.1))", "(budget (down 0.3) (replicas-up 0.5))",
                                  "(budget (down 0.2)) (budget (team red) (down 0.05))"};
  world.rule(std::string("(drains (serial 2) (attrition-s 60) (steps (first 2) (most 0.2) ") +
             "(settle-s 5)) (budget (stops-a-job 100) (lost-core-s-an-hour 1e9)) " + ")");
  world.run(30);
  RC_ASSERT(world.stops.empty());
  const std::string budget = kBudgets[random() % 3];
  world.rule("(drains (serial 3) (attrition-s 60) (steps (first 2) (most 0.2) (settle-s 5)) " +
             budget.substr(0, budget.find("(down")) +
             "(stops-a-job 1000) (lost-core-s-an-hour 1e9) " + budget.substr(budget.find("(down")) +
             " " + kEntries[random() % 4] + ")");
  const std::set<std::string> old = world.names();
  for (int i = 0; i < 40; ++i) {
    if (random() % 2 == 0) submit();
    if (random() % 5 == 0) world.change_leader();
    world.run(20);
  }
  world.run(2500);
  for (const std::string& what : world.broken) RC_LOG() << what << "\n";
  RC_ASSERT(world.broken.empty());
  // Whatever an entry names is gone. Services never end: they were moved.
  for (const auto& host : world.cluster().hosts) {
    if (host && old.contains(host->name) && (host->cordoned || host->to_be_replaced)) {
      RC_LOG() << host->name << " of " << world.cluster().types[host->type] << ":";
      for (const auto& ref : host->attempts) {
        const auto& job = *world.cluster().jobs[ref.job];
        RC_LOG() << " " << job.spec.id << " " << job.spec.team << " "
                 << static_cast<int>(job.spec.shape) << " of " << job.spec.tasks;
      }
      RC_LOG() << "\n";
      RC_FAIL("not drained");
    }
  }
}

TEST(DrainsOfServices, OneReplicaAfterAnotherAndNeverTooFew) {
  World world(1, 24, 0);
  world.watched = world.submit("grey", jobs::Shape::service, 8, 4, 1e9);
  world.rule("(drains (serial 1))");
  world.run(5);
  ASSERT_EQ(world.running(world.watched), 8u);
  world.least_up = 8;
  world.rule(
      "(drains (serial 2) (budget (replicas-up 0.75) (stops-a-job 100) (down 0.5))"
      " (machines (zone a)))");
  world.run(300);
  EXPECT_GE(world.least_up, 6u);
  EXPECT_EQ(world.running(world.watched), 8u);
  for (const auto& [task, attempt] : world.cluster().jobs[world.watched]->attempts) {
    EXPECT_EQ(world.cluster().zones[world.cluster().hosts[attempt.host]->zone], "b");
  }
  EXPECT_TRUE(world.broken.empty());
}

TEST(DrainsInSteps, GrowWaitForTheirMachinesAndHaltWhereTheseFail) {
  World world(2, 40, 0);
  for (int i = 0; i < 6; ++i) world.submit("grey", jobs::Shape::array, 20, 1, 30);
  world.rule(
      "(drains (serial 2) (steps (first 1) (most 0.25) (settle-s 10) (again-s 200))"
      " (replace (before 2)))");
  const std::set<std::string> old = world.names();
  world.run(20);
  EXPECT_LE(world.largest_step, 4) << "one machine in each of four lines";
  world.run(1500);
  EXPECT_FALSE(world.any_of(old)) << "all renewed";
  EXPECT_TRUE(world.broken.empty());

  World sick(3, 40, 0);
  sick.sick = true;
  sick.rule(
      "(drains (serial 2) (steps (first 1) (most 0.25) (settle-s 10) (again-s 200))"
      " (replace (before 2)))");
  sick.run(5000);
  // Two tries of one machine in each line, and no more.
  EXPECT_LE(sick.rented(), 40 + 2 * 4);
  EXPECT_GT(sick.rented(), 40);
}

// The cloud has nothing for ten minutes, from the middle of a step on.
TEST(DrainsInSteps, DoNotTakeTheFleetApartWhileTheCloudHasNothing) {
  World world(8, 40, 0);
  world.rule("(drains (serial 2) (steps (first 1) (most 0.25) (settle-s 5)) (replace (before 2)))");
  world.run(30);
  world.refused = true;
  const std::size_t before = world.names().size();
  world.run(595);
  EXPECT_GE(world.names().size() + 8, before) << "what had begun in each of four lines";
  world.refused = false;
  const std::size_t left = world.names().size();
  world.run(3000);
  EXPECT_LT(left, before);
  EXPECT_TRUE(world.broken.empty());
}

TEST(DrainsInSteps, WaitWhileControllersAreChanged) {
  World world(4, 20, 0);
  world.rolling = true;
  world.rule("(drains (serial 2) (replace (before 2)))");
  world.run(300);
  EXPECT_EQ(world.rented(), 20);
  world.rolling = false;
  world.run(300);
  EXPECT_GT(world.rented(), 20);
}

// A budget of nothing: what runs is left to end, and only that.
TEST(DrainsWithoutABudget, AreByAttritionAlone) {
  World world(5, 12, 0);
  world.submit("grey", jobs::Shape::array, 20, 2, 100);
  world.submit("red", jobs::Shape::gang, 2, 6, 150, 15);
  const Index service = world.submit("blue", jobs::Shape::service, 3, 2, 1e9);
  world.rule("(drains (serial 1))");
  world.run(10);
  world.rule("(drains (serial 2) (budget (down 0)) (attrition-s 1) (machines (before 2)))");
  const std::set<std::string> old = world.names();
  world.run(600);
  EXPECT_TRUE(world.stops.empty());
  std::size_t left = 0;
  for (const std::string& name : old) left += world.cluster().host_index.contains(name) ? 1 : 0;
  EXPECT_GE(left, 1u) << "the service's machines stay";
  EXPECT_LE(left, 3u);
  EXPECT_EQ(world.running(service), 3u);
  // Taken out of the rules, they serve again.
  world.rule("(drains (serial 3) (budget (down 0)))");
  world.run(1);
  for (const auto& host : world.cluster().hosts) EXPECT_FALSE(host && host->cordoned);
}

TEST(DrainsOfGangs, AGangOfWhichAMateDiesCountsAndNothingMoreIsStopped) {
  World world(6, 30, 0);
  std::vector<Index> gangs;
  for (int i = 0; i < 6; ++i) {
    gangs.push_back(world.submit("grey", jobs::Shape::gang, 2, 6, 1e9, 15));
  }
  world.rule("(drains (serial 1))");
  world.run(10);
  world.rule(
      "(drains (serial 2) (budget (down 0.17) (stops-a-job 50)) (soon-s 0) (machines (zone a))"
      " (machines (zone b) (type large)))");
  world.run(400);
  EXPECT_FALSE(world.stops.empty());
  for (const Index gang : gangs) EXPECT_EQ(world.running(gang), 2u);
  EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(BudgetsRecord, ComesBackAndRefusesWhatItCannotRead) {
  World world(7, 4, 0);
  const Index job = world.submit("grey", jobs::Shape::gang, 1, 6, 1e9, 15);
  world.rule("(drains (serial 1))");
  world.run(10);
  const DrainPolicy rules =
      rules_of("(drains (serial 1) (budget (lost-core-s-an-hour 3600) (stops-a-job 1)))");
  BudgetTracker budgets;
  std::vector<DisruptedCores> tolls = budgets.disruption_by_team(world.cluster());
  PlannedStop stop = estimate_stop(world.cluster(), job, {0}, true, 20);
  stop.lost_core_s = 1800;
  EXPECT_EQ(budgets.check(rules, world.cluster(), tolls, {stop}, 20), BudgetRejection::none);
  budgets.charge(rules, world.cluster(), tolls, stop, 20);
  EXPECT_EQ(budgets.lost_core_s(rules, "grey", 20), 1800);
  EXPECT_EQ(budgets.lost_core_s(rules, "grey", 20 + 900), 900) << "forgiven evenly";
  BudgetTracker later;
  later.restore(budgets.encode(rules, world.cluster(), 20 + 900), 5);
  EXPECT_EQ(later.lost_core_s(rules, "grey", 5), 900);
  EXPECT_EQ(
      later.check(rules, world.cluster(), later.disruption_by_team(world.cluster()), {stop}, 5),
      BudgetRejection::too_many_stops);
  for (const wire::Json& bad :
       {wire::Json(1), wire::Json::object(), wire::Json{{"teams", {{{"name", 1}}}}, {"jobs", 1}},
        wire::Json{{"teams", wire::Json::array()}, {"jobs", {{{"name", "j"}, {"stops", -1}}}}}}) {
    EXPECT_THROW(later.restore(bad, 5), wire::BadMessage) << bad.dump();
  }
  EXPECT_EQ(later.lost_core_s(rules, "grey", 5), 900) << "as it was";
}

}  // namespace
}  // namespace reachramp::drains
