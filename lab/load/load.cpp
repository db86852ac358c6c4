#include "load/load.h"

#include <thread>

#include "kv/steady_clock.h"

namespace reachramp::lab {

namespace {

using kv::steady_now;
using wire::Json;
using namespace std::chrono_literals;

constexpr std::size_t kKept = 256;
// PROTOCOL: what users wait for an answer, and for how long they repeat a submission.
constexpr auto kSubmitLimit = 5000ms;
constexpr auto kPollLimit = 2000ms;
constexpr double kRepeatFor_s = 60;
constexpr double kRepeatAfter_s = 1;
// Ten bins for each doubling: within 7% of the value.
constexpr double kLeast = 0.01, kMost = 1e6;
constexpr unsigned kBins = 266;

void sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

auto make() {
  return boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(kBins, kLeast,
                                                                                      kMost));
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

Load::Load(LoadSpec spec, std::uint64_t seed)
    : spec_(std::move(spec)),
      random_(seed),
      client_(spec_.to, kKept, wire::kMaxBody_bytes),
      accepted_ms_(make()),
      done_s_(make()) {}

Json Load::job(const std::string& id) const {
  return {{"ref", id},
          {"jobclass", "load"},
          {"owner", spec_.team},
          {"shape", "array"},
          {"urgency", "normal"},
          {"pieces", spec_.tasks},
          {"vcpus", 1.0},
          {"accelerators", 0.0},
          {"ram_gb", 1.0},
          {"bundle", "img"},
          {"pull_gb", 0.5},
          {"together", false},
          {"scatter", false},
          {"loaner", true},
          {"expected_s", spec_.run_s},
          {"snapshot_every_s", 0.0},
          {"snapshot_cost_s", 0.0}};
}

void Load::use(const std::string& id, double due, bool withdraws, const std::atomic<bool>& stop) {
  const Json body = job(id);
  const double give_up = due + spec_.wait_s;
  bool accepted = false;
  while (!stop && !accepted && steady_now() < due + kRepeatFor_s) {
    const wire::CallResult answer = client_.call("POST", "/submissions", &body, kSubmitLimit);
    accepted = answer.status == 200 || answer.status == 201;
    if (!accepted) sleep(std::max<double>(kRepeatAfter_s, answer.retry_after_s));
  }
  {
    std::lock_guard lock(mutex_);
    ++result_.submitted;
    if (accepted) {
      ++result_.accepted;
      accepted_ms_(1000 * (steady_now() - due));
    }
  }
  while (accepted && !stop && steady_now() < give_up) {
    const std::string path = "/submissions/" + id;
    const wire::CallResult answer =
        withdraws ? client_.call("POST", path + "/withdraw", nullptr, kSubmitLimit)
                  : client_.call("GET", path, nullptr, kPollLimit);
    const bool told = answer.status == 200 && answer.body.is_object();
    if (take(id, answer.status, told ? answer.body.value("phase", "") : "", withdraws, due)) return;
    sleep(spec_.poll_s);
  }
  std::lock_guard lock(mutex_);
  ++result_.open;
}

// Whether that was the job's end.
bool Load::take(const std::string& id, int status, const std::string& phase, bool withdraws,
                double due) {
  std::lock_guard lock(mutex_);
  if (status == 404) result_.went_back.push_back(id + ": accepted, then not known");
  if (phase == "aborted") {
    ++result_.aborted;
    if (!withdraws) result_.went_back.push_back(id + ": aborted, and nobody withdrew it");
  } else if (phase == "done") {
    ++result_.done;
    done_s_(steady_now() - due);
  }
  return phase == "aborted" || phase == "done";
}

Load::Result Load::run(const std::atomic<bool>& stop) {
  const std::uint64_t run = random_();
  std::exponential_distribution<double> gap(spec_.per_second);
  std::bernoulli_distribution withdrawn(spec_.withdrawn);
  {
    wire::ThreadPool crew(1s);
    const double begin = steady_now();
    std::size_t number = 0;
    for (double due = begin + gap(random_); due < begin + spec_.for_s && !stop;
         due += gap(random_)) {
      sleep(due - steady_now());
      const std::string id = "j-" + std::to_string(run % 1000000) + "-" + std::to_string(++number);
      const bool withdraws = withdrawn(random_);
      crew.run([this, id, due, withdraws, &stop] { use(id, due, withdraws, stop); });
    }
  }  // all users have left
  result_.accepted_p50_ms = quantile(accepted_ms_, 0.5);
  result_.accepted_p99_ms = quantile(accepted_ms_, 0.99);
  result_.done_p50_s = quantile(done_s_, 0.5);
  result_.done_p99_s = quantile(done_s_, 0.99);
  return result_;
}

}  // namespace reachramp::lab
