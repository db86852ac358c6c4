// Jobs that need a cancelled job, at real nodes: no node may call them pending or running once
// cancel_s is over, whatever happened to the leader and to the key-value store in the meantime, and
// no node may take a cancellation back.
#include <atomic>
#include <cstdlib>
#include <random>

#include "answer_history.h"
#include "process_cluster.h"

namespace reachramp::test {
namespace {

// What happens to the leader while the key-value store is out.
enum class LeaderFault { none, refused, killed, suspended };

struct OutageCase {
  const char* name;
  LeaderFault leader_fault;
  const char* old_program;  // environment variable that names the program of one node; null: none
};

class AfterOutage : public RefusedAlone, public ::testing::WithParamInterface<OutageCase> {
 protected:
  static constexpr const char* kDependents[] = {"j-b", "j-c", "j-left", "j-both"};
  // The node that runs the old program, if the case has one.
  static constexpr int kOldNode = 2;

  // With an old program all nodes start with it; it is null if the environment does not name it.
  AfterOutage() {
    if (GetParam().old_program != nullptr) program_ = std::getenv(GetParam().old_program);
  }
  bool has_old_node() const { return GetParam().old_program != nullptr; }
  // Starts the others with the new program, and leaves the leadership to one of them.
  void upgrade_all_but_the_old_node() {
    const char* const old_program = program_;
    ASSERT_TRUE(accepts(0, job_body("j-early", 1)));
    program_ = REACHRAMP_PROGRAM;
    for (int node = 0; node < kNodeCount; ++node) {
      if (node == kOldNode) continue;
      kill_node(node);
      start_node(node);
    }
    program_ = old_program;
    kill_node(kOldNode);
    ASSERT_TRUE(within(30, [&] { return leader_node() >= 0 && leader_node() != kOldNode; }));
    start_node(kOldNode);
    ASSERT_TRUE(within(30, [&] { return !job_phase(kOldNode, "j-early").empty(); }));
    program_ = REACHRAMP_PROGRAM;
  }

  // A job that runs until it is stopped, a chain behind it and a job that needs two.
  void submit_pipelines() {
    endless_jobs_.insert("j-a");
    ASSERT_TRUE(accepts(0, job_body("j-a", 1)));
    ASSERT_TRUE(accepts(0, job_body("j-other", 1)));
    ASSERT_TRUE(accepts(1, dependent_job_body("j-b", 1, {"j-a"})));
    ASSERT_TRUE(accepts(2, dependent_job_body("j-c", 1, {"j-b"})));
    ASSERT_TRUE(accepts(0, dependent_job_body("j-left", 1, {"j-a", "j-other"})));
    ASSERT_TRUE(accepts(1, dependent_job_body("j-both", 1, {"j-left", "j-c"})));
    ASSERT_TRUE(within(30, [&] { return cloud_->held_task_count("j-a") == 1; }));
  }
  void set_outage(bool out) {
    store_->with_model([&](lab::StateService& model) {
      if (out) {
        model.begin_outage(kv::steady_now());
      } else {
        model.end_outage(kv::steady_now());
      }
    });
  }
  void begin_leader_fault(int leader) {
    if (GetParam().leader_fault == LeaderFault::killed) kill_node(leader);
    if (GetParam().leader_fault == LeaderFault::suspended) ::kill(pids_[leader], SIGSTOP);
    if (GetParam().leader_fault == LeaderFault::none) set_store_refused(leader, false);
  }
  void end_leader_fault(int leader) {
    set_store_refused(leader, false);
    if (GetParam().leader_fault == LeaderFault::killed) start_node(leader);
    if (GetParam().leader_fault == LeaderFault::suspended) ::kill(pids_[leader], SIGCONT);
  }
};
INSTANTIATE_TEST_SUITE_P(
    With, AfterOutage,
    ::testing::Values(OutageCase{"the_leader_back", LeaderFault::none, nullptr},
                      OutageCase{"the_leader_refused", LeaderFault::refused, nullptr},
                      OutageCase{"the_leader_killed", LeaderFault::killed, nullptr},
                      OutageCase{"the_leader_suspended", LeaderFault::suspended, nullptr},
                      OutageCase{"a_node_of_0_4_0", LeaderFault::refused, "REACHRAMP_0_4_0"}),
    [](const auto& outage) { return std::string(outage.param.name); });

// The review's case 1: a job is cancelled while the store refuses the leader, and a moment later
// the store is out for longer than cancel_s. Afterwards nodes called the jobs behind it pending.
TEST_P(AfterOutage, JobsBehindACancelledOneAreNotCalledPending) {
  if (program_ == nullptr) GTEST_SKIP() << GetParam().old_program << " names no program";
  if (has_old_node()) upgrade_all_but_the_old_node();
  submit_pipelines();
  const int leader = leader_node();
  ASSERT_GE(leader, 0);
  const int third = has_old_node() ? kOldNode : (leader + 2) % kNodeCount;
  ASSERT_NE(leader, third);
  const int node = 0 + 1 + 2 - leader - third;  // the remaining one
  set_store_refused(leader, true);
  std::this_thread::sleep_for(300ms);
  ASSERT_EQ(call_node(node, "POST", "/submissions/j-a/withdraw").body.value("phase", ""),
            "aborted");
  const double told_at = kv::steady_now();
  set_outage(true);
  begin_leader_fault(leader);
  std::this_thread::sleep_for(std::chrono::duration<double>(cancel_s() + 1));
  EXPECT_EQ(job_phase(third, "j-c"), "") << "it can't know of the cancellation in an outage";
  EXPECT_EQ(job_phase(node, "j-c"), has_old_node() ? "" : "aborted")
      << "it has stored the cancellation itself; an old node would look at the record of j-c alone";
  set_outage(false);
  std::vector<int> asked{node};
  if (!has_old_node()) asked.push_back(third);
  if (GetParam().leader_fault == LeaderFault::none) asked.push_back(leader);
  std::set<std::pair<int, std::string>> not_answered;
  for (const int at : asked) {
    for (const char* id : kDependents) not_answered.insert({at, id});
  }
  ASSERT_TRUE(within(60, [&] {
    std::erase_if(not_answered, [&](const auto& one) {
      const std::string phase = job_phase(one.first, one.second);
      EXPECT_TRUE(phase.empty() || phase == "aborted")
          << one.second << " is called " << phase << " by node " << one.first << ", "
          << kv::steady_now() - told_at << " s after the cancellation";
      return !phase.empty();
    });
    return not_answered.empty();
  }));
  if (has_old_node()) {
    for (const char* id : kDependents) EXPECT_EQ(job_phase(third, id), "aborted") << id;
  }
  end_leader_fault(leader);
  for (const char* id : kDependents) {
    EXPECT_TRUE(within(75, [&] { return job_phase(leader, id) == "aborted"; })) << id;
  }
  EXPECT_TRUE(accepts(node, dependent_job_body("j-last", 1, {"j-other"})));
  EXPECT_TRUE(within(75, [&] { return job_phase(node, "j-last") == "done"; }));
  EXPECT_EQ(cloud_->rule_violations(), std::vector<std::string>{});
}

// Users run pipelines, cancel half of them and ask all nodes, through outages longer than cancel_s,
// refusals and kills of leaders. The length of the run and the seed can be set by hand.
class PipelineSoak : public RefusedAlone {
 protected:
  static constexpr int kUsers = 10;
  static constexpr double kAnswerLimit_s = 75;  // for a job without an answer, and to its end

  static double setting(const char* variable, double otherwise) {
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::atof(text);
  }

  // A user who runs one pipeline after another: a, then b and c that need a, then d that needs
  // both.
  class User {
   public:
    User(PipelineSoak& cluster, int number, unsigned seed)
        : cluster_(cluster), number_(number), random_(seed) {
      for (int node = 0; node < kNodeCount; ++node) {
        clients_.push_back(std::make_unique<wire::Client>(
            wire::Address{"127.0.0.1", cluster.user_ports_[node]}, 1, wire::kMaxBody_bytes));
      }
    }

    void run_pipeline(int round) {
      const std::string name = fmt::format("j-{}-{}-", number_, round);
      const bool cancels = random_() % 2 == 0;
      told_at_.reset();
      submit(cluster_.job_body(name + "a", 1), cancels ? 1e9 : 0.3);
      submit(cluster_.dependent_job_body(name + "b", 1, {name + "a"}), 0.3);
      submit(cluster_.dependent_job_body(name + "c", 1, {name + "a"}), 0.3);
      submit(cluster_.dependent_job_body(name + "d", 1, {name + "b", name + "c"}), 0.3);
      if (cancels) cancel(name + "a");
      for (const char* stage : {"b", "c", "d"}) follow(name + stage);
    }

   private:
    int any_node() { return static_cast<int>(random_() % kNodeCount); }

    std::string request(const char* method, const std::string& id, const std::string& path,
                        const Json* body) {
      const JobView before = cluster_.history_.newest_view(id);
      const double sent_at = kv::steady_now();
      const int node = any_node();
      const wire::CallResult answer = clients_[node]->call(method, path, body, 2000ms);
      if (answer.status != 200 && answer.status != 201) return "";
      const std::string phase = answer.body.value("phase", "");
      const JobView view = phase == "done"      ? JobView::done
                           : phase == "aborted" ? JobView::cancelled
                                                : JobView::active;
      cluster_.history_.record_answer(id, before, view, node_name(node));
      if (view == JobView::active && told_at_ && sent_at > *told_at_ + kCancelTime_s) {
        const std::lock_guard lock(cluster_.mutex_);
        cluster_.broken_.push_back(
            fmt::format("{} is called {} by {} {:.1f} s after the "
                        "cancellation",
                        id, phase, node_name(node), sent_at - *told_at_));
      }
      return phase;
    }
    void submit(const Json& body, double run_time_s) {
      const jobs::Spec spec = jobs::decode_spec(body);
      cluster_.cloud_->upload({spec, run_time_s, false});
      while (request("POST", spec.id, "/submissions", &body).empty()) {
        std::this_thread::sleep_for(500ms);
      }
    }
    void cancel(const std::string& id) {
      std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 4000));
      while (request("POST", id, "/submissions/" + id + "/withdraw", nullptr).empty()) {
        std::this_thread::sleep_for(300ms);
      }
      told_at_ = kv::steady_now();
    }
    // Asks about the job until it has ended. While the faults go on a job may wait.
    void follow(const std::string& id) {
      for (double begin = kv::steady_now();;) {
        const std::string phase = request("GET", id, "/submissions/" + id, nullptr);
        if (phase == "done" || phase == "aborted") return;
        if (!cluster_.faults_are_over_) begin = kv::steady_now();
        if (kv::steady_now() - begin > kAnswerLimit_s) {
          const std::lock_guard lock(cluster_.mutex_);
          cluster_.broken_.push_back(id + " has no end: \"" + phase + "\"");
          return;
        }
        std::this_thread::sleep_for(200ms);
      }
    }

    PipelineSoak& cluster_;
    const int number_;
    std::minstd_rand random_;
    std::vector<std::unique_ptr<wire::Client>> clients_;
    std::optional<double> told_at_;  // when the pipeline's first job was called cancelled
  };

  // One outage around a cancellation or two, with a fault of the leader in it.
  void run_faults(std::minstd_rand& random) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2000 + random() % 3000));
    const int leader = std::max(leader_node(), 0);
    constexpr LeaderFault kFaults[] = {LeaderFault::none, LeaderFault::refused,
                                       LeaderFault::refused, LeaderFault::killed};
    const LeaderFault fault = kFaults[random() % std::size(kFaults)];
    if (fault == LeaderFault::refused) set_store_refused(leader, true);
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 1000));
    store_->with_model([](lab::StateService& model) { model.begin_outage(kv::steady_now()); });
    if (fault == LeaderFault::killed) kill_node(leader);
    std::this_thread::sleep_for(std::chrono::duration<double>(kCancelTime_s + 1));
    store_->with_model([](lab::StateService& model) { model.end_outage(kv::steady_now()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 3000));
    set_store_refused(leader, false);
    if (fault == LeaderFault::killed) start_node(leader);
  }

  AnswerHistory history_;
  std::atomic<bool> faults_are_over_ = false;
  std::mutex mutex_;
  std::vector<std::string> broken_;  // guarded by mutex_
};

TEST_F(PipelineSoak, NoJobBehindACancelledOneIsCalledPendingOrTakenBack) {
  const auto seed = static_cast<unsigned>(setting("SOAK_SEED", 1));
  const double end = kv::steady_now() + setting("SOAK_S", 60);
  ASSERT_TRUE(accepts(0, job_body("j-1", 1)));
  ASSERT_TRUE(within(30, [&] { return job_phase(0, "j-1") == "done"; }));
  std::vector<std::thread> users;
  for (int number = 0; number < kUsers; ++number) {
    users.emplace_back([this, number, seed] {
      User user(*this, number, seed * 100 + static_cast<unsigned>(number));
      for (int round = 0; !faults_are_over_; ++round) user.run_pipeline(round);
    });
  }
  std::minstd_rand random(seed);
  while (kv::steady_now() < end) run_faults(random);
  faults_are_over_ = true;
  for (std::thread& user : users) user.join();
  EXPECT_EQ(broken_, std::vector<std::string>{});
  EXPECT_EQ(history_.violations(), std::vector<std::string>{});
  EXPECT_GT(history_.answer_count(), 100u);
  EXPECT_EQ(cloud_->rule_violations(), std::vector<std::string>{});
}

}  // namespace
}  // namespace reachramp::test
