// What the leader's decisions cost against the number of machines and of waiting jobs. Whole
// commands are timed, in one thread, without sockets; run it on a quiet machine and compare ratios.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "acquire/autoscaler.h"
#include "fleet.h"
#include "placement/plan.h"

namespace reachramp::bench {
namespace {

constexpr std::int64_t kWaitingJobs = 100;
constexpr double kWaitTime_s = 10;  // long enough for gangs to ask others to make room

FleetSize size_of(const benchmark::State& state) {
  return {static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1))};
}

// All machines are busy and many jobs wait: what a burst looks like, ten times a second.
void plan_full(benchmark::State& state) {
  const settings::Platform p = platform();
  placement::Cluster cluster(p, 1, jobs::TaskRecordFormat::compact);
  fill_cluster(cluster, size_of(state), 0);
  for (auto _ : state) benchmark::DoNotOptimize(placement::plan(cluster, kWaitTime_s));
  state.SetComplexityN(state.range(0));
}

// A hundredth of the machines has come free, and is filled.
void plan_freed(benchmark::State& state) {
  const settings::Platform p = platform();
  for (auto _ : state) {
    state.PauseTiming();
    placement::Cluster cluster(p, 1, jobs::TaskRecordFormat::compact);
    fill_cluster(cluster, size_of(state), 0);
    for (std::size_t i = 1; i < cluster.hosts.size(); i += 100) {
      const auto attempts = cluster.hosts[i]->attempts;
      for (const auto& ref : attempts) cluster.mark_done(ref.job, ref.task, 0);
      for (const auto& ref : attempts) cluster.end_attempt(ref.job, ref.task, 0);
    }
    state.ResumeTiming();
    benchmark::DoNotOptimize(placement::plan(cluster, kWaitTime_s));
  }
  state.SetComplexityN(state.range(0));
}

void buy(benchmark::State& state) {
  const settings::Platform p = platform();
  placement::Cluster cluster(p, 1, jobs::TaskRecordFormat::compact);
  FleetSize size = size_of(state);
  size.busy_share = 0.9;  // some are idle and may go back
  fill_cluster(cluster, size, 0);
  acquire::Autoscaler buyer{settings::Policy{}};
  buyer.record_prices(cluster, 0);
  for (auto _ : state) {
    buyer.update_exposure(cluster, 100);
    benchmark::DoNotOptimize(buyer.scale_in_candidates(cluster, 100));
    benchmark::DoNotOptimize(buyer.scale_out_requests(cluster, 100));
  }
  state.SetComplexityN(state.range(0));
}

// A leader that has heard all of its machines.
struct LeaderWithFleet {
  explicit LeaderWithFleet(const FleetSize& size)
      : fleet(size), leader(platform(), {}, FleetSnapshot::kFencingToken, fleet.snapshot, now) {
    leader.on_host_list(fleet.listed_machines, now, now);
    for (std::size_t i = 0; i < fleet.heartbeats.size(); ++i) deliver_heartbeat(i);
    leader.advance(now);
  }
  void deliver_heartbeat(std::size_t machine) {
    workers::Heartbeat& report = fleet.heartbeats[machine];
    ++report.sequence_number;
    leader.on_heartbeat(
        report, [](const wire::Json&) {}, now);
  }

  double now = 0;
  std::uint64_t store_revision = FleetSnapshot::kFencingToken;
  FleetSnapshot fleet;
  controller::Leader leader;
};

// One second of reports, at the rate of the platform. The owner passes through its round after
// each, as it does while it keeps up.
void second(benchmark::State& state) {
  LeaderWithFleet led(size_of(state));
  const std::size_t machines = led.fleet.heartbeats.size();
  const double each_s = platform().worker_timings.report_interval_s / static_cast<double>(machines);
  std::size_t next = 0;
  for (auto _ : state) {
    for (const double end = led.now + 1; led.now < end;) {
      led.now += each_s;
      led.leader.on_jobs_read_until(led.now);
      led.deliver_heartbeat(next++ % machines);
      const auto out = led.leader.advance(led.now);
      if (!out.transaction) continue;
      kv::CommitResult stored;
      stored.outcome = kv::Outcome::ok;
      stored.store_revision = ++led.store_revision;
      led.leader.on_transaction_completed(stored, led.now);
    }
  }
  state.SetComplexityN(state.range(0));
}

void report(benchmark::State& state) {
  LeaderWithFleet led(size_of(state));
  std::size_t next = 0;
  for (auto _ : state) {
    led.deliver_heartbeat(next++ % led.fleet.heartbeats.size());
    state.PauseTiming();
    if (next % 64 == 0) led.leader.advance(led.now += 1);  // answers what is parked
    state.ResumeTiming();
  }
  state.SetComplexityN(state.range(0));
}

// From the records as read to every machine listed and heard under the new fencing token.
void takeover(benchmark::State& state) {
  FleetSize size = size_of(state);
  size.tasks_per_array = static_cast<std::size_t>(state.range(2));
  FleetSnapshot world(size);
  for (auto _ : state) {
    controller::Leader leader(platform(), {}, FleetSnapshot::kFencingToken, world.snapshot, 0);
    leader.on_host_list(world.listed_machines, 0, 0);
    for (workers::Heartbeat& one : world.heartbeats) {
      ++one.sequence_number;
      leader.on_heartbeat(
          one, [](const wire::Json&) {}, 1);
    }
    benchmark::DoNotOptimize(leader.advance(1));
  }
  state.counters["jobs"] = static_cast<double>(world.snapshot.jobs.size());
  state.SetComplexityN(state.range(0));
}

void sizes(benchmark::internal::Benchmark* bench) {
  for (const std::int64_t machines : {300, 600, 1300, 2500, 5000})
    bench->Args({machines, kWaitingJobs});
  bench->Unit(benchmark::kMillisecond)->Complexity();
}

void waiting(benchmark::internal::Benchmark* bench) {
  for (const std::int64_t jobs : {10, 100, 1000, 5000}) bench->Args({1300, jobs});
  bench->Unit(benchmark::kMillisecond);
}

BENCHMARK(plan_full)->Apply(sizes);
BENCHMARK(plan_full)->Apply(waiting);
BENCHMARK(plan_freed)->Apply(sizes);
BENCHMARK(buy)->Apply(sizes);
BENCHMARK(buy)->Apply(waiting);
BENCHMARK(second)->Apply(sizes);
BENCHMARK(second)->Apply(waiting);
BENCHMARK(report)->Apply(sizes);
BENCHMARK(takeover)
    ->Args({300, 50, 200})
    ->Args({600, 50, 200})
    ->Args({1300, 50, 200})
    ->Args({2500, 50, 200})
    ->Args({5000, 50, 200})
    ->Args({1300, 5000, 40})
    ->Args({2500, 5000, 40})
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace reachramp::bench

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 1;
  benchmark::RunSpecifiedBenchmarks();
}
