// Users query, resubmit and cancel jobs at all nodes at once, right after a job was accepted, ended
// or was cancelled. Over the answers of all nodes together, no job may return to an earlier state.
#include <atomic>
#include <optional>

#include "answer_history.h"
#include "process_cluster.h"

namespace reachramp::test {
namespace {

// Runs concurrent users who follow jobs, and collects the answers that they get.
class Answers : public CutOff {
 protected:
  // A user with connections of its own. The users numbered 2n and 2n + 1 follow the same jobs.
  class User {
   public:
    User(Answers& cluster, int number) : cluster_(cluster), number_(number) {
      for (int node = 0; node < kNodeCount; ++node) {
        clients_.push_back(std::make_unique<wire::Client>(
            wire::Address{"127.0.0.1", cluster.user_ports_[node]}, 1, wire::kMaxBody_bytes));
      }
    }

    // Submits a job and queries it at all nodes until it has ended.
    void follow_one_job(int round) {
      const std::string id = std::string("j-").append(std::to_string(number_ / 2 * 1000 + round));
      const Json body = cluster_.job_body(id, 1 + round % 3);
      cluster_.cloud_->upload({jobs::decode_spec(body), 0.3, false});
      const bool cancels_job = (number_ / 2 + round) % 3 == 0;
      int node = number_ % kNodeCount;
      for (int step = 0; step < 400 && !cluster_.stopping_; ++step) {
        const JobView view = cluster_.history_.newest_view(id);
        if (view == JobView::done || view == JobView::cancelled) break;
        node = (node + 1) % kNodeCount;
        const std::string path = "/submissions/" + id;
        if (view == JobView::unknown || step % 5 == 4)
          request_and_record(node, id, "POST", "/submissions", &body);
        if (view == JobView::active && cancels_job)
          request_and_record(node, id, "POST", path + "/withdraw", nullptr);
        for (int other = 0; other < kNodeCount; ++other)
          request_and_record(other, id, "GET", path, nullptr);
      }
      // A user has learned of the job's end, so all nodes are asked again.
      for (int other = 0; other < kNodeCount; ++other) {
        request_and_record(other, id, "GET", "/submissions/" + id, nullptr);
        request_and_record(other, id, "POST", "/submissions", &body);
        request_and_record(other, id, "POST", "/submissions/" + id + "/withdraw", nullptr);
      }
    }

   private:
    // Sends a request and adds the answer to the history.
    void request_and_record(int node, const std::string& id, const char* method,
                            const std::string& path, const Json* body) {
      const JobView view_before_request = cluster_.history_.newest_view(id);
      const wire::CallResult answer = clients_[node]->call(method, path, body, 3000ms);
      const std::optional<JobView> view = view_of(answer);
      if (view) cluster_.history_.record_answer(id, view_before_request, *view, node_name(node));
    }

    // The job's state in an answer; empty if the node did not respond or could not tell the state.
    static std::optional<JobView> view_of(const wire::CallResult& answer) {
      if (!answer.received_response) return std::nullopt;
      if (answer.status == 400 || answer.status == 404 || answer.status == 422) {
        return JobView::unknown;
      }
      if (answer.status != 200 && answer.status != 201) return std::nullopt;
      const std::string phase = answer.body.value("phase", "");
      if (phase == "done") return JobView::done;
      return phase == "aborted" ? JobView::cancelled : JobView::active;
    }

    Answers& cluster_;
    const int number_;
    std::vector<std::unique_ptr<wire::Client>> clients_;
  };

  // Runs `users` users at once, each with one job after another, until `inject_faults` returns.
  template <class InjectFaults>
  void run_users(int users, InjectFaults inject_faults) {
    std::vector<std::thread> threads;
    for (int number = 0; number < users; ++number) {
      threads.emplace_back([this, number] {
        User user(*this, number);
        for (int round = 0; !stopping_; ++round) user.follow_one_job(round);
      });
    }
    inject_faults();
    stopping_ = true;
    for (std::thread& thread : threads) thread.join();
  }

  // Holds back the key-value store's responses to this node, or releases them. The node's requests
  // are carried out all the same.
  void set_responses_held(int node, bool held) {
    for (auto& [from_node, to_node, proxy] : links_) {
      if (from_node == to_node && from_node == node) proxy->set_hold_responses(held);
    }
  }

  std::atomic<bool> stopping_ = false;
  AnswerHistory history_;
};

// Leaders are killed and started again while users ask.
TEST_F(Answers, OfAllNodesAreOneHistoryWhileLeadersEnd) {
  ASSERT_TRUE(accepts(0, job_body("j-1", 1)));
  ASSERT_TRUE(within(30, [&] { return job_phase(0, "j-1") == "done"; }));
  run_users(6, [&] {
    for (int round = 0; round < 3; ++round) {
      std::this_thread::sleep_for(3s);
      const int node = leader_node();
      if (node < 0) continue;
      kill_node(node);
      start_node(node);
    }
    std::this_thread::sleep_for(3s);
  });
  EXPECT_EQ(history_.violations(), std::vector<std::string>{});
  EXPECT_GT(history_.answer_count(), 200u);
  EXPECT_EQ(cloud_->rule_violations(), std::vector<std::string>{});
}

// A transaction is applied but its response is lost, while other nodes read the new values and
// report them to users.
TEST_F(Answers, OfAllNodesAreOneHistoryWhileAnswersOfTheStateServiceAreLost) {
  ASSERT_TRUE(accepts(0, job_body("j-1", 1)));
  ASSERT_TRUE(within(30, [&] { return job_phase(0, "j-1") == "done"; }));
  run_users(6, [&] {
    for (int round = 0; round < 6; ++round) {
      const int node = round % kNodeCount;
      set_responses_held(node, true);
      std::this_thread::sleep_for(round % 2 == 0 ? 500ms : 2500ms);
      set_responses_held(node, false);
      std::this_thread::sleep_for(1s);
    }
  });
  EXPECT_EQ(history_.violations(), std::vector<std::string>{});
  EXPECT_GT(history_.answer_count(), 200u);
  EXPECT_EQ(cloud_->rule_violations(), std::vector<std::string>{});
}

}  // namespace
}  // namespace reachramp::test
