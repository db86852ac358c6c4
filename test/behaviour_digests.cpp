// Prints one digest per seed of the behaviour of the leaders in a simulated cluster with faults,
// and at the end one digest of all: `behaviour_digests FIRST_SEED SEEDS`. A change that must not
// alter the behaviour leaves every line as it is; scripts/same-behaviour compares two versions. The
// number of recorded events of each kind goes to standard error.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "simulated_cluster.h"

namespace reachramp::test {
namespace {

constexpr unsigned kMaxThreads = 4;
constexpr int kRounds = 18;
constexpr double kRound_s = 8;

// The outcome of one seed.
struct Recording {
  std::uint64_t digest = 0;
  BehaviourRecorder::Counts counts{};
};

// Chooses by seed between the default cluster and those of combined_faults_test.cpp. Even seeds
// start with nodes of version 0.2.0 that are upgraded one by one.
SimulationOptions options_for_seed(std::uint64_t seed) {
  SimulationOptions options;
  if (seed % 2 == 1) options.all_upgraded_after_s = 0;
  switch (seed / 2 % 6) {
    case 0:
      break;
    case 1:
      options.platform.teams = {{"red", 2, 6, 0, 0}, {"blue", 2, 5, 0, 0}};
      options.task_duration_s = 40;
      break;
    case 2:
      options.min_boot_s = 0.2;
      options.max_boot_s = 2;
      options.unanswered_transaction_share = 0.4;
      options.rental_response_delay_s = 3;
      break;
    case 3:
      options.replayed_report_share = 0.3;
      options.task_duration_s = 7;
      break;
    case 4:
      options.platform.store_limits.write_rps = options.platform.upcoming_store_limits.write_rps =
          30;
      options.task_duration_s = 3;
      break;
    default:
      options.message_delay_factor = 10;
      options.machines_per_pool = 1;
      options.task_duration_s = 5;
  }
  return options;
}

// Makes the job with this number, with random properties; it may depend on the five before it.
jobs::Spec make_job(int number, std::mt19937_64& random) {
  const std::uint64_t choice = random() % 1000;
  jobs::Spec spec;
  spec.id = "j-" + std::to_string(number);
  spec.job_class = "class-" + std::to_string(choice % 3);
  spec.team = choice % 2 == 0 ? "red" : "blue";
  spec.shape = choice % 5 == 0 ? jobs::Shape::gang : jobs::Shape::array;
  spec.tasks = spec.shape == jobs::Shape::gang ? 1 + choice % 3 : 1 + choice % 40;
  spec.cpus = 1 + static_cast<double>(choice % 3);
  spec.ram_gb = 2;
  spec.image = "image-" + std::to_string(choice % 2);
  spec.image_gb = 1;
  spec.single_zone = choice % 7 == 0;
  spec.allow_spot = choice % 3 != 0;
  spec.priority = choice % 4 == 2 ? jobs::Priority::high : jobs::Priority::normal;
  spec.estimated_duration_s = 5;
  // Runs long enough to be moved to other machines.
  if (spec.shape == jobs::Shape::gang && choice % 2 == 0) {
    spec.checkpoint_interval_s = 2;
    spec.checkpoint_duration_s = 0.5;
    spec.estimated_duration_s = 20;
  }
  if (choice % 4 == 1) {  // runs for longer than cancel_s
    spec.tasks = std::min(spec.tasks, 4u);
    spec.estimated_duration_s = 60;
  }
  if (number % 6 == 5) {  // a gang on two machines: a drain stops it on both at once
    spec.team = "blue";
    spec.shape = jobs::Shape::gang;
    spec.tasks = 2;
    spec.cpus = 9;
    spec.checkpoint_interval_s = 2;
    spec.checkpoint_duration_s = 0.5;
    spec.estimated_duration_s = 20;
  }
  for (int earlier = std::max(0, number - 5); earlier < number; ++earlier) {
    if (random() % 5 == 0) spec.depends_on.push_back("j-" + std::to_string(earlier));
  }
  return spec;
}

// Submits jobs, cancels some of them, changes leaders and starts outages, in addition to the random
// faults of the cluster itself.
void run_user_activity(SimulatedCluster& cluster, std::mt19937_64& random) {
  for (int round = 0; round < kRounds; ++round) {
    cluster.submit(make_job(2 * round, random));
    cluster.submit(make_job(2 * round + 1, random));
    cluster.run_for(kRound_s);
    if (random() % 3 == 0) cluster.cancel("j-" + std::to_string(random() % (2 * round + 2)));
    if (random() % 6 == 0) cluster.change_leader();
    if (random() % 8 == 0) cluster.cancel_running_jobs(cluster.random_between(3, 70));
    if (random() % 8 == 0)
      cluster.start_store_outage(cluster.random_between(0, 6), cluster.random_between(10, 64));
  }
  cluster.run_for(60);
}

// Simulates one seed: first with faults, then without until all jobs have ended.
Recording record_seed(std::uint64_t seed) {
  constexpr int kRecoveryRounds = 15;
  constexpr double kRecoveryRound_s = 20;
  BehaviourRecorder recorder;
  SimulatedCluster cluster(seed, options_for_seed(seed));
  cluster.set_recorder(recorder);
  std::mt19937_64 random(seed + 1);
  run_user_activity(cluster, random);
  cluster.end_faults();
  for (int i = 0; i < kRecoveryRounds && !(cluster.all_jobs_ended() && cluster.is_schema_settled());
       ++i) {
    cluster.run_for(kRecoveryRound_s);
  }
  recorder.record(
      BehaviourRecorder::kSimulationEnd, 0,
      {cluster.all_jobs_ended(), cluster.is_schema_settled(), Json(cluster.violations)});
  return {recorder.digest(), recorder.counts()};
}

// The simulations are independent of each other: each thread takes the next seed.
std::vector<Recording> record_all(std::uint64_t first, std::size_t seeds) {
  std::vector<Recording> recordings(seeds);
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads(
      std::clamp(std::thread::hardware_concurrency(), 1u, kMaxThreads));
  for (std::thread& thread : threads) {
    thread = std::thread([&] {
      for (std::size_t i = next++; i < seeds; i = next++) recordings[i] = record_seed(first + i);
    });
  }
  for (std::thread& thread : threads) thread.join();
  return recordings;
}

// Prints the digests to standard output and the numbers of events to standard error.
void print_digests(std::uint64_t first, const std::vector<Recording>& recordings) {
  Digest all;
  BehaviourRecorder::Counts counts{};
  for (std::size_t i = 0; i < recordings.size(); ++i) {
    const Recording& recording = recordings[i];
    std::printf("%llu %016llx\n", static_cast<unsigned long long>(first + i),
                static_cast<unsigned long long>(recording.digest));
    all.add(&recording.digest, sizeof recording.digest);
    for (std::size_t kind = 0; kind < counts.size(); ++kind) counts[kind] += recording.counts[kind];
  }
  std::printf("all %016llx\n", static_cast<unsigned long long>(all.value()));
  static const char* const kNames[] = {
      "leaders elected", "transactions",  "cloud requests",   "keys read back",
      "ends looked up",  "greetings",     "direct stops",     "members asked",
      "flags",           "responses",     "null responses",   "reports to the deposed",
      "submissions",     "cancellations", "words of members", "ends"};
  static_assert(std::size(kNames) == BehaviourRecorder::kKindCount);
  for (std::size_t kind = 0; kind < counts.size(); ++kind) {
    std::fprintf(stderr, "%s: %llu\n", kNames[kind], static_cast<unsigned long long>(counts[kind]));
  }
}

}  // namespace
}  // namespace reachramp::test

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: behaviour_digests FIRST_SEED SEEDS\n");
    return 2;
  }
  spdlog::set_level(spdlog::level::off);
  const std::uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const std::size_t seeds = std::strtoull(argv[2], nullptr, 10);
  reachramp::test::print_digests(first, reachramp::test::record_all(first, seeds));
}
