// Case 8: the last job of a long pipeline is called pending after the first one is cancelled.
#include "deployment.h"

namespace reachramp::review {
namespace {

constexpr int kJobs = 720;
constexpr double kCancel_s = 32;
// Users ask about every 5 s.
constexpr double kPollInterval_s = 5.5;
constexpr int kPollsAfterBound = 3;

Site site() {
  Site site;
  site.nodes = 5;
  site.node_zones = {"uppsala-hall", "lulea-hall", "malmo-hall"};
  site.workers = {2, 12, 30, 5, kCancel_s};
  site.store = {70, 25, 4, 8};
  site.cloud = {3, 8};
  site.fd_limit = 1500;
  site.ram_mb = 72;
  site.catalog = {{"tower-rig", 32, 0, 128, 60, 1, 1.37, 0.57, 2, site.node_zones}};
  for (const std::string& zone : site.node_zones) {
    for (const bool spot : {true, false}) site.capacity[{"tower-rig", zone, spot}] = 4;
  }
  return site;
}

std::string job(int i) { return fmt::format("j-{:06}", 1 + i); }

int play(Record& record, const std::string& program, const std::string& folder) {
  Deployment deployment(site(), record, program, folder);
  deployment.start_all();
  if (!deployment.wait_until_ready(15)) return kCannotRun;
  for (int i = 0; i < kJobs; ++i) {
    Json body = array_job(job(i), "crew", 1);
    if (i > 0) body["waits_on"] = {job(i - 1)};
    const Answer answer = deployment.submit(0, body, 1000);
    if (answer.phase != "pending" && answer.phase != "running") return kCannotRun;
  }
  record.say(fmt::format("{} jobs accepted, each needs the one before", kJobs));
  // Without trouble nobody cancels, and the last job waits as before.
  double told_at = record.now();
  if (with_trouble() && !deployment.within(20, [&] {
        const Answer answer = deployment.withdraw(0, job(0));
        told_at = record.now();
        if (answer.phase != "aborted") sleep_s(1);
        return answer.phase == "aborted";
      })) {
    return kCannotRun;
  }
  if (with_trouble()) record.say(job(0) + " is cancelled, its user is told");
  int polls_after_bound = 0;
  while (polls_after_bound < kPollsAfterBound) {
    const double polled_at = record.now();
    const Answer answer = deployment.poll(0, job(kJobs - 1));
    record.say(fmt::format("{:.1f} s after that, {} is answered {}", polled_at - told_at,
                           job(kJobs - 1), answer.text()));
    if (answer.phase == "aborted") return kRuleHeld;
    if (polled_at > told_at + kCancel_s) {
      const bool waits = answer.phase == "pending" || answer.phase == "running";
      if (with_trouble() && waits) return deployment.all_running() ? kRuleBroken : kCannotRun;
      ++polls_after_bound;
    }
    sleep_s(polled_at + kPollInterval_s - record.now());
  }
  return kRuleHeld;
}

}  // namespace
}  // namespace reachramp::review

int main(int argc, char** argv) {
  return reachramp::review::run_case(argc, argv, reachramp::review::play);
}
