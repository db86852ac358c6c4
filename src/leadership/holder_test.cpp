#include "leadership/holder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "model/state_service.h"

namespace reachramp::leadership {
namespace {

using wire::Json;

TEST(Holder, OnlyTheSameNameAtTheSameAddressIsAPredecessor) {
  const Identity self{"node-1", "10.0.0.1:8081", "77-"};
  const Json own = encode_holder(self, 5);
  EXPECT_EQ(holder_of(own, self, 5), Holder::ours);
  EXPECT_EQ(holder_of(own, self, 6), Holder::predecessor) << "a claim of ours that came late";
  EXPECT_EQ(holder_of(own, self, 0), Holder::predecessor);
  EXPECT_EQ(holder_of(encode_holder({"node-1", "10.0.0.1:8081", "12-"}, 5), self, 5),
            Holder::predecessor);
  EXPECT_EQ(holder_of(encode_holder({"node-1", "10.0.0.9:8081", "12-"}, 5), self, 5), Holder::other)
      << "the same name by mistake";
  EXPECT_EQ(holder_of(encode_holder({"node-2", "10.0.0.1:8081", "12-"}, 5), self, 5),
            Holder::other);
  EXPECT_EQ(holder_of(Json{{"node", "node-1"}, {"nonce", "12-5"}}, self, 5), Holder::other)
      << "0.4.0 told no address";
  for (const Json& bad : {Json(), Json(3), Json("node-1"), Json::array(), Json::object(),
                          Json{{"node", 4}}, Json{{"node", nullptr}}}) {
    EXPECT_EQ(holder_of(bad, self, 5), Holder::unreadable) << bad.dump();
    EXPECT_EQ(node_of(bad), "");
  }
}

// Processes of three nodes, and a fourth that has the first one's name at another address: they
// look, claim and bury with what they saw some time ago, end at any moment, and are followed by
// others at once; what they had sent may be applied after their end.
RC_GTEST_PROP(Holder, NoLivingLeadIsEndedAndNoDeadOneStands, ()) {
  struct Process {
    Identity self;
    std::uint64_t lease_id = 0;
    std::optional<kv::Entry> seen;
    bool looked = false;
  };
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  lab::StateService store({1000, 1000, 8, 8}, 1);
  const char* const kNodes[4][2] = {
      {"node-0", "a:1"}, {"node-1", "b:1"}, {"node-2", "c:1"}, {"node-0", "d:1"}};
  Process processes[4];
  int started = 0;
  std::map<std::string, bool> lives;  // by nonce
  std::vector<kv::Transaction> late;
  const auto start = [&](int i) {
    lives[processes[i].self.nonce] = false;
    processes[i] = {{kNodes[i][0], kNodes[i][1], std::to_string(++started) + "-"}, 0, {}, false};
    lives[processes[i].self.nonce] = true;
  };
  const auto stands = [&]() -> std::optional<kv::Entry> {
    const auto entries = store.list("leader");
    return entries.empty() ? std::nullopt : std::optional(entries.front());
  };
  // Whether the key's process lives and would call it its own.
  const auto held = [&](const std::optional<kv::Entry>& entry) {
    return entry && std::any_of(std::begin(processes), std::end(processes), [&](const auto& one) {
             return holder_of(entry->value, one.self, one.lease_id) == Holder::ours;
           });
  };
  const auto apply = [&](const kv::Transaction& transaction) {
    const bool led = held(stands());
    const auto before = stands();
    const auto outcome = store.commit(transaction).outcome;
    if (outcome == kv::Outcome::ok && !transaction.writes.front().value) {
      RC_ASSERT(!led || !before);
    }
  };
  for (int i = 0; i < 4; ++i) start(i);
  for (int step = 0; step < 400; ++step) {
    const int i = static_cast<int>(random() % 4);
    Process& process = processes[i];
    switch (random() % 6) {
      case 0:
        if (random() % 4 == 0) start(i);
        break;
      case 1:
        process.seen = stands();
        process.looked = true;
        break;
      case 2:
        if (!late.empty()) {
          apply(late.back());
          late.pop_back();
        }
        break;
      default: {
        if (!process.looked) break;
        process.looked = false;
        kv::Transaction wish;
        if (!process.seen) {
          process.lease_id = store.hold(1e9, 0);
          wish.preconditions = {{"leader", 0}};
          wish.writes.push_back(
              {"leader", encode_holder(process.self, process.lease_id), process.lease_id});
        } else if (holder_of(process.seen->value, process.self, process.lease_id) ==
                   Holder::predecessor) {
          wish.preconditions = {{"leader", process.seen->revision}};
          wish.writes.push_back({"leader", std::nullopt, std::nullopt});
        } else {
          break;
        }
        if (random() % 4 == 0) {
          late.push_back(wish);
          std::shuffle(late.begin(), late.end(), random);
        } else {
          apply(wish);
        }
      }
    }
  }
  for (const auto& wish : late) apply(wish);
  // Once all look again, a key that nobody living holds does not stand.
  for (Process& process : processes) {
    const auto entry = stands();
    if (entry && holder_of(entry->value, process.self, process.lease_id) == Holder::predecessor) {
      apply({{{"leader", entry->revision}}, {{"leader", std::nullopt, std::nullopt}}});
    }
  }
  const auto last = stands();
  RC_ASSERT(!last || held(last));
}

}  // namespace
}  // namespace reachramp::leadership
