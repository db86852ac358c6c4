#include "load/load.h"

#include <thread>

#include "kv/steady_clock.h"

namespace reachramp::lab {

namespace {

using kv::steady_now;
using wire::Json;
using namespace std::chrono_literals;

// The most connections that are kept open for reuse.
constexpr std::size_t kMaxIdleUserConnections = 256;
// Set by PROTOCOL: for how long users wait for a response, and for how long and how often they
// repeat a submission.
constexpr auto kSubmitTimeout = 5000ms;
constexpr auto kPollTimeout = 2000ms;
constexpr double kResubmitFor_s = 60;
constexpr double kResubmitDelay_s = 1;
// The histograms have ten bins per factor of two, so a quantile is within 7% of the value.
constexpr double kHistogramMin = 0.01, kHistogramMax = 1e6;
constexpr unsigned kHistogramBins = 266;

void sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

auto make_histogram() {
  return boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
          kHistogramBins, kHistogramMin, kHistogramMax));
}

template <class Histogram>
double quantile(const Histogram& histogram, double share) {
  double total = 0, sum = 0;
  for (const auto& bin : boost::histogram::indexed(histogram)) total += *bin;
  for (const auto& bin : boost::histogram::indexed(histogram)) {
    sum += *bin;
    if (total > 0 && sum >= share * total) return bin.bin().upper();
  }
  return 0;
}

}  // namespace

LoadGenerator::LoadGenerator(LoadSpec spec, std::uint64_t seed)
    : spec_(std::move(spec)),
      random_(seed),
      client_(spec_.address, kMaxIdleUserConnections, wire::kMaxBody_bytes),
      accepted_ms_(make_histogram()),
      done_s_(make_histogram()) {}

Json LoadGenerator::make_job(const std::string& id) const {
  return {{"ref", id},
          {"jobclass", "load"},
          {"owner", spec_.team},
          {"shape", "array"},
          {"urgency", "normal"},
          {"pieces", spec_.tasks_per_job},
          {"vcpus", 1.0},
          {"accelerators", 0.0},
          {"ram_gb", 1.0},
          {"bundle", "img"},
          {"pull_gb", 0.5},
          {"together", false},
          {"scatter", false},
          {"loaner", true},
          {"expected_s", spec_.task_run_time_s},
          {"snapshot_every_s", 0.0},
          {"snapshot_cost_s", 0.0}};
}

void LoadGenerator::run_user(const std::string& id, double due_at, bool withdraw,
                             const std::atomic<bool>& stop) {
  const Json body = make_job(id);
  const double give_up_at = due_at + spec_.max_wait_s;
  bool accepted = false;
  while (!stop && !accepted && steady_now() < due_at + kResubmitFor_s) {
    const wire::CallResult answer = client_.call("POST", "/submissions", &body, kSubmitTimeout);
    accepted = answer.status == 200 || answer.status == 201;
    if (!accepted) sleep(std::max<double>(kResubmitDelay_s, answer.retry_after_s));
  }
  {
    std::lock_guard lock(mutex_);
    ++result_.submitted;
    if (accepted) {
      ++result_.accepted;
      accepted_ms_(1000 * (steady_now() - due_at));
    }
  }
  while (accepted && !stop && steady_now() < give_up_at) {
    const std::string path = "/submissions/" + id;
    const wire::CallResult answer =
        withdraw ? client_.call("POST", path + "/withdraw", nullptr, kSubmitTimeout)
                 : client_.call("GET", path, nullptr, kPollTimeout);
    const bool has_status = answer.status == 200 && answer.body.is_object();
    if (record_answer(id, answer.status, has_status ? answer.body.value("phase", "") : "", withdraw,
                      due_at))
      return;
    sleep(spec_.poll_interval_s);
  }
  std::lock_guard lock(mutex_);
  ++result_.without_end;
}

bool LoadGenerator::record_answer(const std::string& id, int status, const std::string& phase,
                                  bool withdraw, double due_at) {
  std::lock_guard lock(mutex_);
  if (status == 404) result_.contradictions.push_back(id + ": accepted, then not known");
  if (phase == "aborted") {
    ++result_.aborted;
    if (!withdraw) result_.contradictions.push_back(id + ": aborted, and nobody withdrew it");
  } else if (phase == "done") {
    ++result_.done;
    done_s_(steady_now() - due_at);
  }
  return phase == "aborted" || phase == "done";
}

LoadGenerator::Result LoadGenerator::run(const std::atomic<bool>& stop) {
  const std::uint64_t run_id = random_();
  std::exponential_distribution<double> gap(spec_.jobs_per_second);
  std::bernoulli_distribution withdrawn(spec_.withdrawn_share);
  {
    wire::ThreadPool user_threads(1s);
    const double begin = steady_now();
    std::size_t number = 0;
    for (double due_at = begin + gap(random_); due_at < begin + spec_.submit_for_s && !stop;
         due_at += gap(random_)) {
      sleep(due_at - steady_now());
      const std::string id =
          "j-" + std::to_string(run_id % 1000000) + "-" + std::to_string(++number);
      const bool withdraw = withdrawn(random_);
      user_threads.run(
          [this, id, due_at, withdraw, &stop] { run_user(id, due_at, withdraw, stop); });
    }
  }  // the pool's destructor waits for all users
  result_.accepted_p50_ms = quantile(accepted_ms_, 0.5);
  result_.accepted_p99_ms = quantile(accepted_ms_, 0.99);
  result_.done_p50_s = quantile(done_s_, 0.5);
  result_.done_p99_s = quantile(done_s_, 0.99);
  return result_;
}

}  // namespace reachramp::lab
