#include "leadership/holder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "model/state_service.h"

namespace reachramp::leadership {
namespace {

using wire::Json;

TEST(Holder, OnlyTheSameNameAtTheSameAddressIsAPredecessor) {
  const Identity self{"node-1", "10.0.0.1:8081", "77-"};
  const Json own = encode_holder(self, 5);
  EXPECT_EQ(holder_of(own, self, 5), Holder::ours);
  EXPECT_EQ(holder_of(own, self, 6), Holder::predecessor)
      << "a claim of ours that was applied late";
  EXPECT_EQ(holder_of(own, self, 0), Holder::predecessor);
  EXPECT_EQ(holder_of(encode_holder({"node-1", "10.0.0.1:8081", "12-"}, 5), self, 5),
            Holder::predecessor);
  EXPECT_EQ(holder_of(encode_holder({"node-1", "10.0.0.9:8081", "12-"}, 5), self, 5), Holder::other)
      << "two nodes have the same name by mistake";
  EXPECT_EQ(holder_of(encode_holder({"node-2", "10.0.0.1:8081", "12-"}, 5), self, 5),
            Holder::other);
  EXPECT_EQ(holder_of(Json{{"node", "node-1"}, {"nonce", "12-5"}}, self, 5), Holder::other)
      << "0.4.0 wrote no address";
  for (const Json& bad : {Json(), Json(3), Json("node-1"), Json::array(), Json::object(),
                          Json{{"node", 4}}, Json{{"node", nullptr}}}) {
    EXPECT_EQ(holder_of(bad, self, 5), Holder::unreadable) << bad.dump();
    EXPECT_EQ(node_of(bad), "");
  }
}

// A random history: processes of three nodes, and of a fourth that has the name of the first one
// but another address, read the leader's key, and some time later claim or remove it on the basis
// of what they read. They end at any moment and are restarted at once. Transactions that they sent
// may be applied after their end.
class LeaderKeyHistory {
 public:
  explicit LeaderKeyHistory(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kNodes.size(); ++i) restart(i);
  }

  void step() {
    const std::size_t i = random_() % kNodes.size();
    switch (random_() % 6) {
      case 0:
        if (random_() % 4 == 0) restart(i);
        break;
      case 1:
        processes_[i].read = leader_key();
        processes_[i].has_read = true;
        break;
      case 2:
        apply_delayed();
        break;
      default:
        act_on_read(processes_[i]);
    }
  }

  // Applies all transactions that were sent, and lets every process read the key once more.
  void settle() {
    for (const kv::Transaction& transaction : delayed_) apply(transaction);
    for (Process& process : processes_) {
      process.read = leader_key();
      if (!process.read) continue;
      if (const auto removal = next_transaction(process)) apply(*removal);
    }
  }

  std::optional<kv::Entry> leader_key() const {
    const auto entries = store_.list("leader");
    return entries.empty() ? std::nullopt : std::optional(entries.front());
  }

  // Whether a live process regards the key as its own.
  bool is_held(const std::optional<kv::Entry>& entry) const {
    return entry && std::any_of(processes_.begin(), processes_.end(), [&](const Process& one) {
             return holder_of(entry->value, one.self, one.lease_id) == Holder::ours;
           });
  }

 private:
  struct Process {
    Identity self;
    std::uint64_t lease_id = 0;
    std::optional<kv::Entry> read;
    bool has_read = false;
  };
  struct Node {
    const char* name;
    const char* at;
  };
  static constexpr std::array<Node, 4> kNodes{
      {{"node-0", "a:1"}, {"node-1", "b:1"}, {"node-2", "c:1"}, {"node-0", "d:1"}}};

  void restart(std::size_t i) {
    processes_[i] = {
        {kNodes[i].name, kNodes[i].at, std::to_string(++started_) + "-"}, 0, {}, false};
  }

  // Returns a claim of the key if it is absent, its removal if it is a predecessor's, or nothing.
  std::optional<kv::Transaction> next_transaction(Process& process) {
    kv::Transaction transaction;
    if (!process.read) {
      process.lease_id = store_.grant_lease(1e9, 0);
      transaction.preconditions = {{"leader", 0}};
      transaction.writes.push_back(
          {"leader", encode_holder(process.self, process.lease_id), process.lease_id});
      return transaction;
    }
    if (holder_of(process.read->value, process.self, process.lease_id) != Holder::predecessor) {
      return std::nullopt;
    }
    transaction.preconditions = {{"leader", process.read->revision}};
    transaction.writes.push_back({"leader", std::nullopt, std::nullopt});
    return transaction;
  }

  void act_on_read(Process& process) {
    if (!process.has_read) return;
    process.has_read = false;
    const auto transaction = next_transaction(process);
    if (!transaction) return;
    if (random_() % 4 == 0) {
      delayed_.push_back(*transaction);
      std::shuffle(delayed_.begin(), delayed_.end(), random_);
    } else {
      apply(*transaction);
    }
  }

  void apply_delayed() {
    if (delayed_.empty()) return;
    apply(delayed_.back());
    delayed_.pop_back();
  }

  void apply(const kv::Transaction& transaction) {
    const std::optional<kv::Entry> before = leader_key();
    const bool was_held = is_held(before);
    const kv::Outcome outcome = store_.commit(transaction).outcome;
    const bool removes = !transaction.writes.front().value;
    if (outcome == kv::Outcome::ok && removes) RC_ASSERT(!was_held || !before);
  }

  std::mt19937_64 random_;
  lab::StateService store_{{1000, 1000, 8, 8}, 1};
  std::array<Process, kNodes.size()> processes_;
  int started_ = 0;
  std::vector<kv::Transaction> delayed_;
};

RC_GTEST_PROP(Holder, GeneratedHistoriesNeverRemoveALiveLeadersKeyNorKeepADeadOnes, ()) {
  LeaderKeyHistory history(*rc::gen::arbitrary<std::uint64_t>());
  for (int step = 0; step < 400; ++step) history.step();
  history.settle();
  const std::optional<kv::Entry> last = history.leader_key();
  RC_ASSERT(!last || history.is_held(last));
}

}  // namespace
}  // namespace reachramp::leadership
