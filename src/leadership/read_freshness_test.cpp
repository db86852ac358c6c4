// Guards against tasks that outlive cancel_s: the key-value store rejects only the leader's
// requests, other nodes confirm cancellations, then the store is down for all nodes for longer than
// cancel_s, while workers go on reporting to that leader.
#include "leadership/read_freshness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "peers/recent_cancellations.h"

namespace reachramp::leadership {
namespace {

constexpr settings::WorkerTimings kWorkers{1, 10, 15, 4, 30};

TEST(ReadFreshness, MayAnswerEndsBeforeALeaseCouldOutlastACancellation) {
  ReadFreshness freshness(kWorkers, 2, 100);
  EXPECT_TRUE(freshness.may_answer(118.5));
  EXPECT_FALSE(freshness.may_answer(119)) << "a lease and a margin before 130";
  freshness.on_jobs_read(110);
  EXPECT_TRUE(freshness.may_answer(128.5));
  freshness.on_jobs_read(105);
  EXPECT_EQ(freshness.cancellations_known_until(), 110) << "responses may overtake each other";
}

TEST(ReadFreshness, DigestsAdvanceItOnlyOnceAllMembersAnswered) {
  ReadFreshness freshness(kWorkers, 2, 100);
  const double window = freshness.query_windows(104).front();
  EXPECT_TRUE(freshness.apply_digest({0, window, 50, 104, 104.1, {}}));
  EXPECT_EQ(freshness.cancellations_known_until(), 100) << "the other member has not answered";
  EXPECT_TRUE(freshness.apply_digest({1, window, 50, 104, 104.1, {}}));
  EXPECT_EQ(freshness.cancellations_known_until(), 104);
}

TEST(ReadFreshness, DigestWithAGapBeforeItIsRejected) {
  ReadFreshness freshness(kWorkers, 2, 100);
  const double window = freshness.query_windows(104).front();
  EXPECT_TRUE(freshness.apply_digest({0, window, 50, 104, 104.1, {}}));
  EXPECT_FALSE(freshness.apply_digest({1, window, 2, 104, 104.1, {}}))
      << "its list covers only two seconds";
  EXPECT_FALSE(freshness.apply_digest({1, window, 50, 104, 106, {}})) << "its answer was delayed";
  EXPECT_FALSE(freshness.apply_digest({1, window, 50, 104, 103, {}}));
  EXPECT_FALSE(freshness.apply_digest({2, window, 50, 104, 104.1, {}})) << "there is no member 2";
  EXPECT_EQ(freshness.cancellations_known_until(), 100);
  EXPECT_TRUE(freshness.apply_digest({1, window, 50, 104, 104.1, {}}));
  EXPECT_EQ(freshness.cancellations_known_until(), 104);
}

TEST(ReadFreshness, BoundDoesNotHoldWhereALeaseLastsNearlyAsLongAsCancelS) {
  EXPECT_TRUE(staleness_bound_holds(kWorkers));
  EXPECT_FALSE(staleness_bound_holds({1, 10, 15, 4, 12}));
  EXPECT_FALSE(staleness_bound_holds({1, 10, 15, 4, 8}));
  EXPECT_GT(staleness_bound({1, 10, 15, 4, 8}), 0) << "otherwise no worker would ever be answered";
}

// A random history: clocks drift, members restart or cannot be reached, digests are delayed, and
// the key-value store serves all nodes, all but the leader, or none.
class CancellationHistory {
 public:
  explicit CancellationHistory(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kMembers; ++i) {
      clocks_[i].speed = 1 + between(0, kMaxClockDrift);
      clocks_[i].offset = between(0, 1e6);
      restart_member(i, 0);
    }
    freshness_ = std::make_unique<ReadFreshness>(kWorkers, kMembers, clock(kLeader, 0));
  }

  void step(double now) {
    draw_outage(now);
    cancel_job(now);
    confirm_to_users(now);
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (chance(0.001)) restart_member(i, now);
    }
    read_jobs(now);
    poll_members(now);
    answer_polls(now);
    apply_digests(now);
    check_answer(now);
  }

  // The longest time for which the leader answered workers without a response of the store.
  double longest_without_store_s() const { return longest_without_store_s_; }

 private:
  static constexpr std::size_t kMembers = 3;
  static constexpr std::size_t kLeader = kMembers - 1;

  struct Clock {
    double speed = 1, offset = 0;
  };
  struct Poll {
    double arrives_at = 0, answered_at = 0;
    CancellationDigest digest;
    bool arrived = false;
  };

  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool chance(double p) { return between(0, 1) < p; }
  double network_delay() { return chance(0.1) ? between(0, 5) : between(0, 0.2); }
  double clock(std::size_t member, double now) const {
    return clocks_[member].offset + now * clocks_[member].speed;
  }
  bool store_is_down(double now) const { return now > down_from_ && now < down_until_; }

  void restart_member(std::size_t i, double now) {
    confirmed_[i] = std::make_unique<peers::RecentCancellations>(kWorkers.cancel_s, clock(i, now));
  }

  void draw_outage(double now) {
    if (now > std::max(refused_until_, down_until_) && chance(0.01)) {
      refused_until_ = now + between(0, 20);
      down_from_ = now + between(0, 6);
      down_until_ = chance(0.7) ? down_from_ + between(0, 80) : down_from_;
    }
  }

  void cancel_job(double now) {
    if (!chance(0.05)) return;
    const std::string job = "j-" + std::to_string(++jobs_);
    if (!store_is_down(now)) stored_at_[job] = now;
  }

  void confirm_to_users(double now) {
    for (const auto& [job, at] : stored_at_) {
      if (confirmed_at_.contains(job) || !chance(0.3)) continue;
      const std::size_t by = random_() % kMembers;
      confirmed_[by]->record(job, clock(by, now));
      confirmed_at_[job] = now;
    }
  }

  void read_jobs(double now) {
    if (store_is_down(now) || now <= refused_until_ || !chance(0.3)) return;
    const double asked_at = now - between(0, 1.5);
    for (const auto& [job, at] : stored_at_) {
      if (at <= asked_at) known_.insert(job);
    }
    freshness_->on_jobs_read(clock(kLeader, asked_at));
    last_read_at_ = now;
  }

  void poll_members(double now) {
    if (!freshness_->should_poll_members(clock(kLeader, now))) return;
    const std::vector<double> windows = freshness_->query_windows(clock(kLeader, now));
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (chance(0.1)) continue;
      const double arrives_at = now + network_delay();
      const double answered_at = arrives_at + network_delay();
      polls_.push_back({arrives_at, answered_at, {i, windows[i], 0, clock(kLeader, now), 0, {}}});
    }
  }

  void answer_polls(double now) {
    for (Poll& poll : polls_) {
      if (now < poll.arrives_at || poll.arrived) continue;
      const std::size_t i = poll.digest.member;
      const peers::RecentCancellations::Confirmed since =
          confirmed_[i]->confirmed_within(poll.digest.window_s, clock(i, now));
      poll.digest.covered_s = since.covered_s;
      poll.digest.cancelled = since.jobs;
      poll.arrived = true;
    }
  }

  void apply_digests(double now) {
    std::erase_if(polls_, [&](Poll& poll) {
      if (!poll.arrived || now < poll.answered_at) return false;
      poll.digest.received_at = clock(kLeader, now);
      known_.insert(poll.digest.cancelled.begin(), poll.digest.cancelled.end());
      freshness_->apply_digest(poll.digest);
      return true;
    });
  }

  // When the leader answers a worker, it knows each confirmed cancellation, or the lease that the
  // answer extends ends within cancel_s of the confirmation.
  void check_answer(double now) {
    if (!freshness_->may_answer(clock(kLeader, now))) return;
    longest_without_store_s_ = std::max(longest_without_store_s_, now - last_read_at_);
    for (const auto& [job, at] : confirmed_at_) {
      if (known_.contains(job)) continue;
      RC_ASSERT(now + kWorkers.lease_s * (1 + kMaxClockDrift) < at + kWorkers.cancel_s);
    }
  }

  std::mt19937_64 random_;
  std::array<Clock, kMembers> clocks_;
  // The cancellations that each member has confirmed.
  std::array<std::unique_ptr<peers::RecentCancellations>, kMembers> confirmed_;
  std::unique_ptr<ReadFreshness> freshness_;
  std::map<std::string, double> stored_at_, confirmed_at_;  // by cancelled job
  std::set<std::string> known_;                             // cancelled jobs, to the leader
  double refused_until_ = 0;               // until then the key-value store refuses the leader
  double down_from_ = 0, down_until_ = 0;  // between them the store is down for all nodes
  std::vector<Poll> polls_;
  int jobs_ = 0;
  double last_read_at_ = 0;
  double longest_without_store_s_ = 0;
};

RC_GTEST_PROP(ReadFreshness, GeneratedHistoriesNeverLetALeaseOutlastACancellation, ()) {
  CancellationHistory history(*rc::gen::arbitrary<std::uint64_t>());
  for (double now = 0.1; now < 300; now += 0.1) history.step(now);
  RC_TAG(history.longest_without_store_s() > 25 ? "leases kept through a long outage"
                                                : "only short outages");
}

}  // namespace
}  // namespace reachramp::leadership
