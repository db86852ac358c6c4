// Tests that the emulated key-value store behaves as PROTOCOL says. Requests and responses go
// through the controller's own codecs.
#include "model/state_service.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace reachramp::lab {
namespace {

using kv::Outcome;
using wire::Json;

constexpr settings::StoreLimits kWide{1e6, 1e6, 8, 8};

wire::Request request(const char* method, const std::string& path, const std::string& query = "",
                      const std::optional<Json>& body = std::nullopt) {
  return {method, path, query, body ? wire::encode(*body) : ""};
}

wire::CallResult answer(const wire::Response& reply) {
  return {true, true, reply.status, reply.body, reply.retry_after_s};
}

wire::CallResult ask(StateService& service, const wire::Request& what, double now = 0) {
  return answer(std::get<wire::Response>(service.handle_request("node", what, now)));
}

kv::CommitResult commit(StateService& service, const kv::Transaction& transaction, double now = 0) {
  return kv::decode_commit_result(
      ask(service, request("POST", "/multi", "", kv::encode_transaction(transaction)), now));
}

std::uint64_t hold(StateService& service, int life_ms, double now) {
  return wire::count(
      ask(service, request("POST", "/holds", "", Json{{"life_ms", life_ms}}), now).body, "permit");
}

kv::WatchResult follow(StateService& service, std::uint64_t after, const std::string& prefix = "") {
  return kv::decode_watch_result(ask(
      service, request("GET", "/follow", "starts=" + prefix + "&after=" + std::to_string(after))));
}

std::string key(int i) { return "k/" + std::to_string(i); }

kv::Transaction put(const std::string& key, int value, std::uint64_t revision,
                    std::optional<std::uint64_t> lease_id = std::nullopt) {
  return {{{key, revision}}, {{key, Json{{"v", value}}, lease_id}}};
}

// For any sequence of transactions: each is applied as a whole if all its preconditions hold, and
// not at all otherwise. All its changes carry its revision. A client that applies the changes of
// watches, each from the revision the last one returned, has the stored state.
RC_GTEST_PROP(StateServiceModel, TransactionsAreAtomicAndWatchesReportEveryChange, ()) {
  StateService service(kWide, 1);
  std::map<std::string, std::pair<int, std::uint64_t>> expected;
  std::map<std::string, std::uint64_t> followed;
  std::uint64_t position = 0, store_revision = 0;
  for (int step = 0; step < 60; ++step) {
    kv::Transaction transaction;
    bool holds = true;
    for (int i = 0, many = *rc::gen::inRange(0, 3); i < many; ++i) {
      const std::string name = key(*rc::gen::inRange(0, 5));
      const std::uint64_t revision = expected.contains(name) ? expected[name].second : 0;
      const bool right = *rc::gen::inRange(0, 4) > 0;
      transaction.preconditions.emplace_back(name, right ? revision : revision + 7);
      holds = holds && right;
    }
    std::map<std::string, std::optional<int>> writes;
    for (int i = 0, many = *rc::gen::inRange(0, 4); i < many; ++i) {
      const std::string name = key(*rc::gen::inRange(0, 5));
      if (writes.contains(name)) continue;
      writes[name] = *rc::gen::inRange(0, 3) == 0 ? std::nullopt : std::optional<int>(step);
      std::optional<Json> value;
      if (writes[name]) value = Json{{"v", step}};
      transaction.writes.push_back({name, value, std::nullopt});
    }
    const kv::CommitResult committed = commit(service, transaction);
    RC_ASSERT(committed.outcome == (holds ? Outcome::ok : Outcome::conflict));
    if (holds) {
      RC_ASSERT(committed.store_revision == store_revision + (writes.empty() ? 0 : 1));
      store_revision = committed.store_revision;
      for (const auto& [name, value] : writes) {
        if (value) {
          expected[name] = {*value, store_revision};
        } else {
          expected.erase(name);
        }
      }
    }
    if (*rc::gen::inRange(0, 3) > 0) continue;
    const kv::WatchResult changes = follow(service, position);
    RC_ASSERT(changes.outcome == Outcome::ok && changes.store_revision == store_revision);
    for (const auto& change : changes.changes) {
      RC_ASSERT(change.revision > position);
      change.value ? followed[change.key] = change.revision : followed.erase(change.key);
    }
    position = changes.store_revision;
    RC_ASSERT(followed.size() == expected.size());
    for (const auto& [name, item] : expected) {
      RC_ASSERT(followed.at(name) == item.second);
      const auto found = kv::decode_read_result(ask(service, request("GET", "/keys/" + name)));
      RC_ASSERT(found.entry.revision == item.second && found.entry.value.at("v") == item.first);
    }
  }
}

// A lease expires up to 100 ms late and never early, and counts anew from each renewal. Its end
// removes the keys that are attached to it, and no others.
RC_GTEST_PROP(StateServiceModel, LeasesExpireLateAndNeverEarly, ()) {
  StateService service(kWide, *rc::gen::arbitrary<std::uint64_t>());
  const int life_ms = *rc::gen::inRange(100, 5000);
  const double life = life_ms / 1000.0;
  const std::uint64_t lease_id = hold(service, life_ms, 0);
  RC_ASSERT(commit(service, put("leader", 1, 0, lease_id)).outcome == Outcome::ok);
  RC_ASSERT(commit(service, put("other", 1, 0, lease_id)).outcome == Outcome::ok);
  RC_ASSERT(commit(service, put("other", 2, 2)).outcome ==
            Outcome::ok);  // a write without a lease detaches the key
  const double renewed_at = life * 0.9;
  const std::string renew = "/holds/" + std::to_string(lease_id) + "/renew";
  RC_ASSERT(ask(service, request("POST", renew, "", Json::object()), renewed_at).status == 200);
  service.advance(renewed_at + life - 0.001);
  RC_ASSERT(service.items().contains("leader"));
  service.advance(renewed_at + life + 0.1);
  RC_ASSERT(!service.items().contains("leader"));
  RC_ASSERT(service.items().contains("other"));
  RC_ASSERT(ask(service, request("POST", renew, "", Json::object()), 99).status == 404);
  RC_ASSERT(commit(service, put("leader", 1, 0, lease_id), 99).outcome == Outcome::unknown_lease);
  RC_ASSERT(service.changes_after("lead", 0)->back().revision == service.store_revision());
}

TEST(StateServiceModel, AnOutageRefusesAllRequestsAndRestartsEveryLease) {
  StateService service(kWide, 1);
  const std::uint64_t lease_id = hold(service, 1000, 0);
  commit(service, put("leader", 1, 0, lease_id));
  auto watching =
      service.handle_request("node", request("GET", "/follow", "starts=x&after=1&hold_ms=2000"), 0);
  ASSERT_TRUE(std::holds_alternative<StateService::PendingWatch>(watching));
  service.begin_outage(0.5);
  EXPECT_EQ(commit(service, put("leader", 2, 1)).outcome, Outcome::refused);
  EXPECT_TRUE(service.advance(30).empty()) << "open watches stay open";
  service.end_outage(30);
  service.advance(30.9);
  EXPECT_TRUE(service.items().contains("leader"));
  EXPECT_EQ(service.advance(31.2).size(), 0u) << "the watch was answered when the outage ended";
  EXPECT_FALSE(service.items().contains("leader"));
}

TEST(StateServiceModel, OneNodeCanBeRefusedAlone) {
  StateService service(kWide, 1);
  service.set_refused("node", true);
  EXPECT_EQ(ask(service, request("GET", "/keys/a")).status, 503);
  EXPECT_EQ(answer(std::get<wire::Response>(
                       service.handle_request("other", request("GET", "/keys/a"), 0)))
                .status,
            404);
}

// A watch from a revision that the change log no longer covers fails, instead of returning only
// some of the changes.
TEST(StateServiceModel, AWatchFromBeforeTheChangeLogFails) {
  StateService service(kWide, 1);
  for (int i = 0; i < 10050; ++i) commit(service, put("k", i, static_cast<std::uint64_t>(i)));
  EXPECT_EQ(follow(service, 49).outcome, Outcome::absent);
  const kv::WatchResult kept = follow(service, 50);
  ASSERT_EQ(kept.outcome, Outcome::ok);
  EXPECT_EQ(kept.changes.size(), 10000u);
}

RC_GTEST_PROP(StateServiceModel, NeverExecutesMoreThanTheWriteRate, ()) {
  const double rate = *rc::gen::inRange(2, 40);
  StateService service({1e6, rate, 8, 8}, 1);
  double taken = 0, now = 0;
  for (int i = 0; i < 200; ++i) {
    now += 0.001 * *rc::gen::inRange(0, 100);
    // Transactions whose preconditions fail count against the rate as well.
    const auto outcome =
        commit(service, put("k", i, *rc::gen::inRange(0, 2) ? 0 : 999), now).outcome;
    taken += outcome == Outcome::refused ? 0 : 1;
    RC_ASSERT(taken <= rate * (1 + now) + 1e-6);
  }
  RC_ASSERT(taken >= std::min(200.0, rate));
}

TEST(StateServiceModel, ListsAreSplitIntoPages) {
  StateService service(kWide, 1);
  for (int i = 0; i < 1500; ++i) commit(service, put("c/" + std::to_string(i), i, 0));
  commit(service, put("d", 1, 0));
  std::size_t found = 0;
  std::string after;
  for (bool more = true; more;) {
    const kv::ListResult page = kv::decode_list_result(
        ask(service, request("GET", "/keys", "starts=c/&after=" + after + "&limit=1000")));
    ASSERT_EQ(page.outcome, Outcome::ok);
    EXPECT_LE(page.entries.size(), 1000u);
    found += page.entries.size();
    after = page.entries.back().key;
    more = page.has_more;
  }
  EXPECT_EQ(found, 1500u);
}

TEST(StateServiceModel, MalformedRequestsAreRejectedAndChangeNothing) {
  StateService service({1e6, 1e6, 1, 2}, 1);
  const auto multi = [&](const Json& body) {
    return ask(service, request("POST", "/multi", "", body)).status;
  };
  const Json write{{"write", "a"}, {"value", 1}};
  EXPECT_EQ(multi({{"then", {write, write, write}}}), 400) << "too many changes";
  EXPECT_EQ(multi({{"then", {{{"write", "a"}, {"value", std::string(1100, 'x')}}}}}), 400);
  EXPECT_EQ(multi({{"then", {{{"write", "a b"}, {"value", 1}}}}}), 400);
  EXPECT_EQ(multi({{"then", {{{"write", ""}, {"value", 1}}}}}), 400);
  EXPECT_EQ(multi({{"then", {{{"write", "a"}}}}}), 400);
  EXPECT_EQ(multi({{"then", 5}}), 400);
  EXPECT_EQ(multi({{"then", {5}}}), 400);
  EXPECT_EQ(multi({{"if", {{{"k", "a"}, {"stamp", -1}}}}}), 400);
  EXPECT_EQ(ask(service, {"POST", "/multi", "", "no map"}).status, 400);
  EXPECT_EQ(ask(service, request("POST", "/holds", "", Json{{"life_ms", 99}})).status, 400);
  EXPECT_EQ(ask(service, request("POST", "/holds/x/renew", "", Json::object())).status, 400);
  EXPECT_EQ(ask(service, request("GET", "/follow", "after=-1")).status, 400);
  EXPECT_EQ(ask(service, request("GET", "/follow", "after=1&hold_ms=60001")).status, 400);
  EXPECT_EQ(ask(service, request("PUT", "/keys/a")).status, 400);
  EXPECT_EQ(service.store_revision(), 0u);
  EXPECT_EQ(multi({{"if", {{{"k", "a"}, {"stamp", 0}}}}}), 200) << "preconditions alone are valid";
}

// After a restore the data are older than responses that clients already have: the same revisions
// are assigned again, to other values.
TEST(StateServiceModel, ARestoreRepeatsRevisions) {
  StateService service(kWide, 1);
  commit(service, put("a", 1, 0));
  const StateService::Backup backup = service.backup();
  EXPECT_EQ(commit(service, put("a", 2, 1)).store_revision, 2u);
  service.restore(backup);
  EXPECT_EQ(service.store_revision(), 1u);
  EXPECT_EQ(commit(service, put("a", 3, 1)).store_revision, 2u);
  EXPECT_EQ(service.items().at("a").value.at("v"), 3);
}

}  // namespace
}  // namespace reachramp::lab
