// Pipelines of thousands of jobs whose first one is cancelled: what users are told of the jobs
// behind it, by a node that has answered before and by one that was just started, and what it
// costs. No leader stores the ends of the jobs.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <map>

#include "user_request_nodes.h"

namespace reachramp::test {
namespace {

// Users ask again after about so long.
constexpr double kQueryInterval_s = 0.5;
// The limits that norrsken-uppsala-next announces in state.next.
constexpr settings::StoreLimits kUpcomingLimits{70, 18, 2, 4};
constexpr int kNodes = 5;

enum class Shape { chain, fan, diamonds };

struct Pipeline {
  Shape shape;
  int jobs;
};

std::string id(int i) { return fmt::format("j-{:06}", i); }

// Chain: each job needs the one before. Fan: all need the first one. Diamonds: layers of two jobs
// that need the same one, and one that needs these two.
std::vector<std::string> depends_on(Shape shape, int i) {
  if (i == 0) return {};
  if (shape == Shape::chain) return {id(i - 1)};
  if (shape == Shape::fan) return {id(0)};
  const int layer_begin = (i - 1) / 3 * 3;
  if (i == layer_begin + 3) return {id(i - 2), id(i - 1)};
  return {id(layer_begin)};
}

double resident_mb() {
  std::ifstream statm("/proc/self/statm");
  double total = 0, resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// What the users of a pipeline's jobs were told, as of one node.
struct Observations {
  double last_aborted_s = 0;  // after the first job's user was told
  double longest_unanswered_s = 0;
  int pending_after_aborted = 0;  // a cancellation was taken back
  int pending_after_limit = 0;    // later than cancel_s
  std::size_t never_aborted = 0;
};

class LargePipelines : public UserRequests, public ::testing::WithParamInterface<Pipeline> {
 protected:
  static constexpr int kAskedJobs = 60;

  void SetUp() override {
    UserRequests::SetUp();
    for (int i = 0; i < GetParam().jobs; ++i) store_job(id(i), depends_on(GetParam().shape, i));
    set_newest_level();
  }
  Node node_named(const std::string& name) {
    return Node(name, port_, kUpcomingLimits, kLease_s, kNodes);
  }
  int last() const { return GetParam().jobs - 1; }
  // Jobs from all over the pipeline, the last one included.
  std::vector<int> asked_jobs() const {
    std::vector<int> asked;
    for (int i = 1; i <= kAskedJobs; ++i) asked.push_back(last() * i / kAskedJobs);
    return asked;
  }

  // One user for each job that is asked about, until all have been told that it is cancelled.
  Observations observe(Node& node, double told_at) {
    const std::vector<int> asked = asked_jobs();
    std::vector<Observations> of_user(asked.size());
    std::vector<std::thread> users;
    for (std::size_t user = 0; user < asked.size(); ++user) {
      users.emplace_back([&, user] {
        of_user[user] = follow(
            node, id(asked[user]), told_at,
            kQueryInterval_s * static_cast<double>(user) / static_cast<double>(asked.size()));
      });
    }
    for (std::thread& user : users) user.join();
    Observations all;
    for (const Observations& one : of_user) {
      all.last_aborted_s = std::max(all.last_aborted_s, one.last_aborted_s);
      all.longest_unanswered_s = std::max(all.longest_unanswered_s, one.longest_unanswered_s);
      all.pending_after_aborted += one.pending_after_aborted;
      all.pending_after_limit += one.pending_after_limit;
      all.never_aborted += one.never_aborted;
    }
    return all;
  }

  static Observations follow(Node& node, const std::string& job, double told_at, double delay_s) {
    constexpr int kQueriesAfterAborted = 1;
    Observations seen;
    sleep_s(delay_s);
    double answered_at = kv::steady_now();
    int aborted = 0;
    while (aborted <= kQueriesAfterAborted && seen.pending_after_limit == 0 &&
           kv::steady_now() < told_at + kMaxUnanswered_s) {
      const double asked_at = kv::steady_now();
      const std::string answer = node.query(job);
      const double now = kv::steady_now();
      seen.longest_unanswered_s = std::max(seen.longest_unanswered_s, now - answered_at);
      if (!answer.starts_with("503")) answered_at = now;
      if (answer == kAborted && ++aborted == 1) seen.last_aborted_s = now - told_at;
      if (answer == kPending) {
        seen.pending_after_aborted += aborted > 0;
        seen.pending_after_limit += asked_at > told_at + kCancelTime_s;
      }
      sleep_s(asked_at + kQueryInterval_s - kv::steady_now());
    }
    seen.never_aborted = aborted == 0;
    return seen;
  }

  void expect_allowed(const Observations& seen, const char* node) {
    EXPECT_EQ(seen.never_aborted, 0u) << node;
    EXPECT_EQ(seen.pending_after_aborted, 0) << node;
    EXPECT_EQ(seen.pending_after_limit, 0) << node;
    EXPECT_LT(seen.longest_unanswered_s, kMaxUnanswered_s) << node;
  }
  static void print(const char* what, const Observations& seen, std::uint64_t requests,
                    double memory_mb) {
    std::cout << fmt::format(
        "{}: aborted within {:.1f} s, longest without an answer {:.1f} s, {} requests, {:.1f} MB\n",
        what, seen.last_aborted_s, seen.longest_unanswered_s, requests, memory_mb);
  }
};

std::string name_of(const ::testing::TestParamInfo<Pipeline>& info) {
  const char* shape = info.param.shape == Shape::chain ? "chain"
                      : info.param.shape == Shape::fan ? "fan"
                                                       : "diamonds";
  return fmt::format("{}_of_{}", shape, info.param.jobs);
}
std::vector<Pipeline> pipelines_of(const std::vector<int>& job_counts) {
  std::vector<Pipeline> pipelines;
  for (const int jobs : job_counts) {
    for (const Shape shape : {Shape::chain, Shape::fan, Shape::diamonds}) {
      pipelines.push_back({shape, jobs});
    }
  }
  return pipelines;
}
INSTANTIATE_TEST_SUITE_P(With, LargePipelines, ::testing::ValuesIn(pipelines_of({720, 2000, 5000})),
                         name_of);

class LargePipelinesInAnOutage : public LargePipelines {};
INSTANTIATE_TEST_SUITE_P(With, LargePipelinesInAnOutage,
                         ::testing::Values(Pipeline{Shape::chain, 5000}), name_of);

class LargePipelinesWithALeader : public LargePipelines {};
INSTANTIATE_TEST_SUITE_P(With, LargePipelinesWithALeader, ::testing::ValuesIn(pipelines_of({720})),
                         name_of);

// The review's case 8: questions followed 300 jobs at most, so that the last job of a longer chain
// was called pending after cancel_s.
TEST_P(LargePipelines, BehindACancelledJobAreCalledCancelledInTimeByWarmAndNewNodes) {
  Node warm = node_named("node-0");
  ASSERT_EQ(warm.query_until_answered(id(last())), kPending);
  const double memory_before = resident_mb();
  std::uint64_t requests = request_count();
  ASSERT_EQ(warm.cancel(id(0)), kAborted);
  const double told_at = kv::steady_now();
  const std::uint64_t revision = store_revision();
  const Observations at_warm = observe(warm, told_at);
  expect_allowed(at_warm, "warm node");
  print("warm node", at_warm, request_count() - requests, resident_mb() - memory_before);

  Node new_node = node_named("node-1");
  const double started_at = kv::steady_now();
  const double memory_without = resident_mb();
  requests = request_count();
  const Observations at_new = observe(new_node, started_at);
  expect_allowed(at_new, "new node");
  print("new node", at_new, request_count() - requests, resident_mb() - memory_without);
  EXPECT_EQ(store_revision(), revision) << "an answer writes nothing";
}

// The same through an outage of the store, in which a node that does not know of the cancellation
// may say nothing.
TEST_P(LargePipelinesInAnOutage, BehindACancelledJobAreCalledCancelledAfterIt) {
  Node warm = node_named("node-0");
  Node other = node_named("node-1");
  ASSERT_EQ(warm.query_until_answered(id(last())), kPending);
  ASSERT_EQ(warm.cancel(id(0)), kAborted);
  const double told_at = kv::steady_now();
  set_outage(true);
  std::thread end_of_outage([&] {
    sleep_s(kCancelTime_s + 1);
    set_outage(false);
  });
  EXPECT_EQ(other.query(id(last())), "503 ");
  const std::uint64_t requests = request_count();
  const double memory_without = resident_mb();
  const Observations at_other = observe(other, told_at);
  end_of_outage.join();
  expect_allowed(at_other, "node that was just started");
  print("after an outage", at_other, request_count() - requests, resident_mb() - memory_without);
  expect_allowed(observe(warm, kv::steady_now()), "warm node");
}

// The leader stores the ends of the jobs one after another, so that the jobs that others need
// disappear while their users ask. A submission that names one of them, its repetition and the
// cancellation of a later one agree with what users are told.
TEST_P(LargePipelinesWithALeader, AreCalledCancelledWhileItStoresTheirEnds) {
  Node warm = node_named("node-0");
  Node other = node_named("node-1");
  ASSERT_EQ(warm.query_until_answered(id(last())), kPending);
  ASSERT_EQ(warm.cancel(id(0)), kAborted);
  std::atomic<bool> stopping = false;
  std::thread leader([&] {
    constexpr double kEndInterval_s = 2 / (0.85 * kUpcomingLimits.write_rps);
    for (int i = 0; i < last() && !stopping; ++i) {
      end(id(i), true);
      sleep_s(kEndInterval_s);
    }
  });
  expect_allowed(observe(other, kv::steady_now()), "other node");
  EXPECT_EQ(other.submit("j-later", {id(last())}), "201 aborted");
  EXPECT_EQ(warm.submit("j-later", {id(last())}), kAborted);
  EXPECT_EQ(other.submit(id(last()), depends_on(GetParam().shape, last())), kAborted);
  EXPECT_EQ(warm.cancel(id(last() - 1)), kAborted);
  EXPECT_EQ(other.query(id(last() - 1)), kAborted);
  Node just_started = node_named("node-2");
  EXPECT_EQ(just_started.submit("j-latest", {id(last())}), "201 aborted");
  EXPECT_EQ(just_started.query_until_answered(id(last())), kAborted);
  stopping = true;
  leader.join();
}

}  // namespace
}  // namespace reachramp::test
