// Measures how the cost of the leader's decisions grows with the number of machines and of waiting
// jobs. Each benchmark times whole operations in one thread, without sockets. Run it on an
// otherwise idle machine and compare ratios, not absolute times.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "acquire/autoscaler.h"
#include "fleet.h"
#include "placement/plan.h"

namespace reachramp::bench {
namespace {

constexpr std::int64_t kWaitingJobs = 100;
constexpr double kWaitTime_s = 10;  // age of the jobs; enough for gangs to preempt others

FleetSize size_of(const benchmark::State& state) {
  return {static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1))};
}

// One placement round while all machines are busy and many jobs wait. During a burst of jobs the
// leader runs ten such rounds per second.
void plan_full(benchmark::State& state) {
  const settings::Platform p = platform();
  placement::Cluster cluster(p, 1, jobs::TaskRecordFormat::compact);
  fill_cluster(cluster, size_of(state), 0);
  for (auto _ : state) benchmark::DoNotOptimize(placement::plan(cluster, kWaitTime_s));
  state.SetComplexityN(state.range(0));
}

// One placement round after a hundredth of the machines has become free.
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

// Decides which machines to rent and which to return.
void buy(benchmark::State& state) {
  const settings::Platform p = platform();
  placement::Cluster cluster(p, 1, jobs::TaskRecordFormat::compact);
  FleetSize size = size_of(state);
  size.busy_share = 0.9;  // a tenth of the machines are idle and may be returned
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

// A leader that has had a heartbeat from each of its machines.
struct LeaderWithFleet {
  explicit LeaderWithFleet(const FleetSize& size)
      : fleet(size), leader(platform(), {}, FleetSnapshot::kFencingToken, fleet.snapshot, now) {
    leader.on_host_list(fleet.listed_machines, now, now);
    for (std::size_t i = 0; i < fleet.heartbeats.size(); ++i) deliver_heartbeat(i);
    leader.advance(now);
  }
  void deliver_heartbeat(std::size_t machine) {
    workers::Heartbeat& heartbeat = fleet.heartbeats[machine];
    ++heartbeat.sequence_number;
    leader.on_heartbeat(
        heartbeat, [](const wire::Json&) {}, now);
  }

  double now = 0;
  std::uint64_t store_revision = FleetSnapshot::kFencingToken;
  FleetSnapshot fleet;
  controller::Leader leader;
};

// One second of heartbeats: each machine sends one per report interval. The leader runs a full
// round after each, as its owning thread does while it keeps up with the load.
void second(benchmark::State& state) {
  LeaderWithFleet fixture(size_of(state));
  const std::size_t machines = fixture.fleet.heartbeats.size();
  const double each_s = platform().worker_timings.report_interval_s / static_cast<double>(machines);
  std::size_t next = 0;
  for (auto _ : state) {
    for (const double end = fixture.now + 1; fixture.now < end;) {
      fixture.now += each_s;
      fixture.leader.on_jobs_read_until(fixture.now);
      fixture.deliver_heartbeat(next++ % machines);
      const auto out = fixture.leader.advance(fixture.now);
      if (!out.transaction) continue;
      kv::CommitResult stored;
      stored.outcome = kv::Outcome::ok;
      stored.store_revision = ++fixture.store_revision;
      fixture.leader.on_transaction_completed(stored, fixture.now);
    }
  }
  state.SetComplexityN(state.range(0));
}

// Takes in one heartbeat.
void report(benchmark::State& state) {
  LeaderWithFleet fixture(size_of(state));
  std::size_t next = 0;
  for (auto _ : state) {
    fixture.deliver_heartbeat(next++ % fixture.fleet.heartbeats.size());
    state.PauseTiming();
    if (next % 64 == 0)
      fixture.leader.advance(fixture.now += 1);  // responds to the deferred heartbeats
    state.ResumeTiming();
  }
  state.SetComplexityN(state.range(0));
}

// The takeover by a new leader: from the records as read from the store until every machine is
// listed and has sent a heartbeat under the new fencing token.
void takeover(benchmark::State& state) {
  FleetSize size = size_of(state);
  size.tasks_per_array = static_cast<std::size_t>(state.range(2));
  FleetSnapshot fleet(size);
  for (auto _ : state) {
    controller::Leader leader(platform(), {}, FleetSnapshot::kFencingToken, fleet.snapshot, 0);
    leader.on_host_list(fleet.listed_machines, 0, 0);
    for (workers::Heartbeat& heartbeat : fleet.heartbeats) {
      ++heartbeat.sequence_number;
      leader.on_heartbeat(
          heartbeat, [](const wire::Json&) {}, 1);
    }
    benchmark::DoNotOptimize(leader.advance(1));
  }
  state.counters["jobs"] = static_cast<double>(fleet.snapshot.jobs.size());
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
