// Case 1: after an outage of the state service, jobs that need a cancelled job are called pending
// more than cancel_s after their user was told of the cancellation. See claim.txt.
#include "site.h"

namespace {

using namespace review;

constexpr int kPipelines = 12;
constexpr const char* kStages[] = {"ingest", "clean", "match", "issue"};
constexpr double kPollInterval_s = 5;      // PROTOCOL: users poll about every 5 s
constexpr double kOutagePastCancel_s = 4;  // the outage lasts this much longer than cancel_s
constexpr double kObservation_s = 25;      // after the outage

std::string id(int pipeline, int stage) { return fmt::format("j-{:03}{}", pipeline + 1, stage); }

SiteSpec spec() {
  SiteSpec s;
  s.gates = true;
  s.timings = {2, 12, 35, 4, 32};  // norrsken-uppsala
  s.store = {70, 25, 4, 8};
  s.cloud = {3, 2};
  s.teams = {{"match-crew", 0, 0, 0, 0}};
  s.catalog = {{"pocket-rig", 4, 0, 16, 50, 1, 0.17, 0.06, 2, {"uppsala-hall"}}};
  s.capacity[{"pocket-rig", "uppsala-hall", false}] = 12;
  return s;
}

int run(const char* program, const char* folder, Record& record, bool trouble) {
  const SiteSpec s = spec();
  Site site(program, folder, record, s);
  site.start_all();
  site.wait("a leader", 20, [&] { return site.leader() >= 0; });
  for (int p = 0; p < kPipelines; ++p) {
    for (int stage = 0; stage < 4; ++stage) {
      Json change{{"jobclass", kStages[stage]}};
      if (stage > 0) change["waits_on"] = Json::array({id(p, stage - 1)});
      site.submit((p + stage) % 3, job(id(p, stage), "match-crew", 1, change), 600);
    }
  }
  site.wait("the first stages run", 30, [&] {
    for (int p = 0; p < kPipelines; ++p) {
      if (site.fleet().held_task_count(id(p, 0)) != 1) return false;
    }
    return true;
  });
  sleep_s(3);

  const int leader = site.leader();
  if (leader < 0) throw CannotRun("no leader");
  const double trouble_at = steady_now();
  if (trouble) {
    site.gate(leader).set_refused(true);
    record.line(fmt::format("the state service refuses the leader, {}, alone", Site::name(leader)));
  }
  // Users cancel the first job of each pipeline, at the other nodes.
  std::map<int, double> told_at;
  for (int p = 0; p < kPipelines; ++p) {
    const int node = (leader + 1 + p % 2) % 3;
    const Answer answer =
        site.call(node, "POST", "/submissions/" + id(p, 0) + "/withdraw", nullptr, 5);
    if (answer.status == 200 && answer.phase == "aborted") told_at[p] = answer.answered_at;
  }
  if (told_at.size() != kPipelines) throw CannotRun("a cancellation was not confirmed at once");
  sleep_s(trouble_at + 1 - steady_now());
  const double outage_s = s.timings.cancel_s + kOutagePastCancel_s;
  if (trouble) {
    site.store().with_model([&](lab::StateService& m) {
      m.begin_outage(steady_now());
      return 0;
    });
    site.gate(leader).set_refused(false);  // from now on it is refused like the others
    record.line(fmt::format("the state service is out for {} s", outage_s));
  }
  const double outage_ends_at = steady_now() + outage_s;

  // Each job of a pipeline is polled by its user about every 5 s, at one node after the other.
  std::mutex mutex;
  std::vector<std::string> broken;
  std::map<std::string, std::string> last_phase;
  const double end = outage_ends_at + kObservation_s;
  std::vector<std::thread> users;
  for (int p = 0; p < kPipelines; ++p) {
    for (int stage = 1; stage < 4; ++stage) {
      users.emplace_back([&, p, stage] {
        int node = p + stage;
        double next = steady_now() + kPollInterval_s * (p * 3 + stage - 1) / (kPipelines * 3);
        for (; next < end; next += kPollInterval_s) {
          sleep_s(next - steady_now());
          const Answer answer = site.query(++node % 3, id(p, stage));
          if (answer.status != 200) continue;
          const std::lock_guard lock(mutex);
          last_phase[id(p, stage)] = answer.phase;
          const double since_told = answer.sent_at - told_at.at(p);
          if (since_told > s.timings.cancel_s &&
              (answer.phase == "pending" || answer.phase == "running")) {
            broken.push_back(
                fmt::format("orphaned: {} is called {} by {} at a question that was sent {:.2f} s "
                            "after its user was told "
                            "that {} is cancelled (cancel_s {})",
                            id(p, stage), answer.phase, Site::name(node % 3), since_told, id(p, 0),
                            s.timings.cancel_s));
          }
        }
      });
    }
  }
  if (trouble) {
    sleep_s(outage_ends_at - steady_now());
    site.store().with_model([&](lab::StateService& m) {
      m.end_outage(steady_now());
      return 0;
    });
    record.line("the state service answers again");
  }
  for (std::thread& user : users) user.join();
  for (const std::string& line : broken) record.line(line);
  for (const std::string& line : site.fleet().rule_violations()) record.line("also seen: " + line);
  if (last_phase.size() != kPipelines * 3) throw CannotRun("a job was never answered about");
  return broken.empty() ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return review::run_case(argc, argv, run); }
