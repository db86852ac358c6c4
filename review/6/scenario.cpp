// Case 6: a job that needs many others is forgotten after all controllers have crashed.
#include <atomic>

#include "deployment.h"

namespace reachramp::review {
namespace {

constexpr int kNeededJobs = 78;
constexpr int kOtherJobs = 6;  // that run all the time and are asked about as often
constexpr double kPollInterval_s = 5;
constexpr double kRestartDelay_s = 6;
// From kit/more/hunt: once all troubles are over, a job about which no question is answered for
// 75 s counts as forgotten.
constexpr double kForgottenAfter_s = 75;

Site site() {
  Site site;
  site.nodes = 5;
  site.node_zones = {"uppsala-hall", "lulea-hall", "malmo-hall"};
  site.workers = {2, 12, 30, 5, 32};
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

std::string needed(int i) { return fmt::format("j-{:06}", 100 + i); }
std::string other(int i) { return fmt::format("j-{:06}", 1 + i); }  // j-000001 is needed, too
const std::string kLastJob = "j-000900";

int play(Record& record, const std::string& program, const std::string& folder) {
  Deployment deployment(site(), record, program, folder);
  deployment.start_all();
  if (!deployment.wait_until_ready(15)) return kCannotRun;
  for (int i = 0; i < kOtherJobs; ++i) {
    if (deployment.submit(i % 5, array_job(other(i), "crew", 1), 1000).status != 201)
      return kCannotRun;
  }
  std::vector<std::thread> users;
  std::atomic<int> accepted{0};
  for (int user = 0; user < 5; ++user) {
    users.emplace_back([&, user] {
      for (int i = user; i < kNeededJobs; i += 5) {
        const Answer answer = deployment.submit(user, array_job(needed(i), "crew", 1), 0.5);
        accepted += answer.status == 201 || answer.status == 200 ? 1 : 0;
      }
    });
  }
  for (std::thread& user : users) user.join();
  record.say(fmt::format("{} needed jobs accepted", accepted.load()));
  if (accepted != kNeededJobs) return kCannotRun;
  const auto live_jobs = [&] {
    return deployment.store().with_model(
        [](const lab::StateService& model) { return model.list("job/").size(); });
  };
  if (!deployment.within(40, [&] { return live_jobs() == kOtherJobs; })) {
    record.say(fmt::format("{} jobs live", live_jobs()));
    return kCannotRun;
  }
  record.say("needed jobs done");
  Json last = array_job(kLastJob, "crew", 1);
  last["waits_on"] = Json::array({other(0)});
  for (int i = 0; i < kNeededJobs; ++i) last["waits_on"].push_back(needed(i));
  if (deployment.submit(0, last, 1).status != 201) return kCannotRun;
  record.say("last job accepted");
  if (with_trouble()) {
    for (int i = 0; i < deployment.nodes(); ++i) deployment.kill_node(i);
    sleep_s(kRestartDelay_s);
    deployment.start_all();
    if (!deployment.wait_until_ready(15)) return kCannotRun;
  }
  record.say("all nodes are ready");
  const double began_at = record.now();
  int node = 0, asked = 0, answered = 0;
  while (record.now() - began_at <= kForgottenAfter_s) {
    const double polled_at = record.now();
    const Answer answer = deployment.poll(node, kLastJob);
    record.say(fmt::format("poll of {} at {}: {}", kLastJob, node, answer.text()));
    for (int i = 0; i < kOtherJobs; ++i) {
      ++asked;
      answered += deployment.poll((node + i) % deployment.nodes(), other(i)).status == 200 ? 1 : 0;
    }
    if (answer.status == 200) return kRuleHeld;
    node = (node + 1) % deployment.nodes();
    sleep_s(polled_at + kPollInterval_s - record.now());
  }
  record.say(
      fmt::format("no question about {} was answered for {} s; of the questions about other "
                  "jobs {} of {} were answered",
                  kLastJob, kForgottenAfter_s, answered, asked));
  return kRuleBroken;
}

}  // namespace
}  // namespace reachramp::review

int main(int argc, char** argv) {
  return reachramp::review::run_case(argc, argv, reachramp::review::play);
}
