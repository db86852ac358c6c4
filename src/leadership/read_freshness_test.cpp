// The users' trouble: the key-value store refuses the leader, others confirm cancellations, then it
// is down for all, for longer than cancel_s, while workers go on reporting to that leader.
#include "leadership/read_freshness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>

#include "peers/recent_cancellations.h"

namespace reachramp::leadership {
namespace {

constexpr settings::Workers kWorkers{1, 10, 15, 4, 30};

TEST(Staleness, AnswersEndWhereALeaseCouldOutlastACancellation) {
  ReadFreshness staleness(kWorkers, 2, 100);
  EXPECT_TRUE(staleness.may_answer(118.5));
  EXPECT_FALSE(staleness.may_answer(119)) << "a lease, and a moment more, before 130";
  staleness.on_jobs_read(110);
  EXPECT_TRUE(staleness.may_answer(128.5));
  staleness.on_jobs_read(105);
  EXPECT_EQ(staleness.cancellations_known_until(), 110) << "answers overtake each other";
}

TEST(Staleness, AllMembersWordsCountAndOnlyUnbroken) {
  ReadFreshness staleness(kWorkers, 2, 100);
  const double window = staleness.query_windows(104).front();
  EXPECT_TRUE(staleness.apply({0, window, 50, 104, 104.1, {}}));
  EXPECT_EQ(staleness.cancellations_known_until(), 100) << "the other has said nothing";
  EXPECT_FALSE(staleness.apply({1, window, 2, 104, 104.1, {}})) << "it has begun two seconds ago";
  EXPECT_FALSE(staleness.apply({1, window, 50, 104, 106, {}})) << "its answer was held up";
  EXPECT_FALSE(staleness.apply({1, window, 50, 104, 103, {}}));
  EXPECT_FALSE(staleness.apply({2, window, 50, 104, 104.1, {}})) << "no member";
  EXPECT_TRUE(staleness.apply({1, window, 50, 104, 104.1, {}}));
  EXPECT_EQ(staleness.cancellations_known_until(), 104);
}

TEST(Staleness, SaysWhereNothingCanKeepThePromise) {
  EXPECT_TRUE(bound_holds(kWorkers));
  EXPECT_FALSE(bound_holds({1, 10, 15, 4, 12}));
  EXPECT_FALSE(bound_holds({1, 10, 15, 4, 8}));
  EXPECT_GT(staleness_bound({1, 10, 15, 4, 8}), 0) << "or no worker would ever be answered";
}

// Histories: clocks that drift, members that restart or cannot be reached, words that are held up,
// a service that serves all, all but the leader, or nobody. Each told cancellation has reached the
// leader by the time of any answer, or the answer's lease ends within cancel_s of it.
RC_GTEST_PROP(Staleness, NoLeaseOutlastsACancellation, ()) {
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  const auto between = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  const auto chance = [&](double p) { return between(0, 1) < p; };
  constexpr std::size_t kMembers = 3;
  double speed[kMembers], offset[kMembers];
  std::vector<std::unique_ptr<peers::RecentCancellations>> told;
  const auto clock = [&](std::size_t member, double now) {
    return offset[member] + now * speed[member];
  };
  for (std::size_t i = 0; i < kMembers; ++i) {
    speed[i] = 1 + between(0, kDrift);
    offset[i] = between(0, 1e6);
    told.push_back(std::make_unique<peers::RecentCancellations>(kWorkers.cancel_s, clock(i, 0)));
  }
  const std::size_t self = kMembers - 1;
  ReadFreshness staleness(kWorkers, kMembers, clock(self, 0));
  std::map<std::string, double> told_at, durable_at;
  std::set<std::string> known;
  double refused_until = 0, out_from = 0, out_until = 0;
  struct Asked {
    double look_at = 0, back_at = 0;
    CancellationDigest word;
    bool looked = false;
  };
  std::vector<Asked> asked;
  int jobs = 0;
  double longest = 0;  // that the leader answered without the key-value store
  double last_read = 0;
  for (double now = 0.1; now < 300; now += 0.1) {
    if (now > std::max(refused_until, out_until) && chance(0.01)) {
      refused_until = now + between(0, 20);
      out_from = now + between(0, 6);
      out_until = chance(0.7) ? out_from + between(0, 80) : out_from;
    }
    const bool all_out = now > out_from && now < out_until;
    if (chance(0.05)) {
      const std::string job = "j-" + std::to_string(++jobs);
      if (!all_out) durable_at[job] = now;
    }
    for (const auto& [job, at] : durable_at) {
      if (told_at.contains(job) || !chance(0.3)) continue;
      const std::size_t by = random() % kMembers;
      told[by]->note(job, clock(by, now));
      told_at[job] = now;
    }
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (chance(0.001))
        told[i] = std::make_unique<peers::RecentCancellations>(kWorkers.cancel_s, clock(i, now));
    }
    if (!all_out && now > refused_until && chance(0.3)) {
      const double asked = now - between(0, 1.5);
      for (const auto& [job, at] : durable_at) {
        if (at <= asked) known.insert(job);
      }
      staleness.on_jobs_read(clock(self, asked));
      last_read = now;
    }
    if (staleness.should_poll_members(clock(self, now))) {
      const std::vector<double> windows = staleness.query_windows(clock(self, now));
      for (std::size_t i = 0; i < kMembers; ++i) {
        if (chance(0.1)) continue;
        const auto way = [&] { return chance(0.1) ? between(0, 5) : between(0, 0.2); };
        const double look_at = now + way();
        asked.push_back({look_at, look_at + way(), {i, windows[i], 0, clock(self, now), 0, {}}});
      }
    }
    for (Asked& one : asked) {
      if (now < one.look_at || one.looked) continue;
      const std::size_t i = one.word.member;
      const peers::RecentCancellations::Since since =
          told[i]->since(one.word.window_s, clock(i, now));
      one.word.covered_s = since.complete_s;
      one.word.cancelled = since.jobs;
      one.looked = true;
    }
    std::erase_if(asked, [&](Asked& one) {
      if (!one.looked || now < one.back_at) return false;
      one.word.received_at = clock(self, now);
      known.insert(one.word.cancelled.begin(), one.word.cancelled.end());
      staleness.apply(one.word);
      return true;
    });
    if (!staleness.may_answer(clock(self, now))) continue;
    longest = std::max(longest, now - last_read);
    for (const auto& [job, at] : told_at) {
      if (known.contains(job)) continue;
      RC_ASSERT(now + kWorkers.lease_s * (1 + kDrift) < at + kWorkers.cancel_s);
    }
  }
  RC_TAG(longest > 25 ? "leases kept through a long outage" : "only short outages");
}

}  // namespace
}  // namespace reachramp::leadership
