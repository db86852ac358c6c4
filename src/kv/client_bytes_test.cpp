// The literal form of the key-value store's requests and answers.
#include "kv/client.h"
#include "recorder.h"

namespace reachramp::kv {
namespace {

using test::is_written_as;
using test::received;

wire::Answer answer(int status, const char* body) {
  return {true, true, status, received(body), 0};
}

TEST(StateServiceBytes, TransactionIsWrittenAsLiteral) {
  EXPECT_TRUE(is_written_as(encode_transaction({{{"job/j-1", 7}, {"end/j-1", 0}},
                                                {{"leader", Json{{"node", "node-1"}}, 5},
                                                 {"end/j-1", Json{{"done", 3u}}, std::nullopt},
                                                 {"job/j-1", std::nullopt, std::nullopt}}}),
                            R"({"if":[{"k":"job/j-1","stamp":7},{"k":"end/j-1","stamp":0}],
          "then":[{"write":"leader","value":{"node":"node-1"},"permit":5},
                  {"write":"end/j-1","value":{"done":3}},{"remove":"job/j-1"}]})"));
  EXPECT_TRUE(is_written_as(encode_transaction({{{"level", 4}}, {}}),
                            R"({"if":[{"k":"level","stamp":4}]})"));
}

TEST(StateServiceBytes, AnswersToTransactionAreReadFromLiteral) {
  const CommitResult done = decode_committed(answer(200, R"({"epoch":41})"));
  EXPECT_EQ(done.outcome, Outcome::ok);
  EXPECT_EQ(done.store_revision, 41u);
  const CommitResult conflict = decode_committed(answer(409, R"({"failed":["job/j-1","level"]})"));
  EXPECT_EQ(conflict.outcome, Outcome::conflict);
  EXPECT_EQ(conflict.failed_keys, (std::vector<std::string>{"job/j-1", "level"}));
  EXPECT_EQ(decode_committed(answer(400, R"({"error":"no such lease"})")).outcome,
            Outcome::unknown_lease);
  EXPECT_EQ(decode_committed(answer(400, R"({"error":"too large"})")).outcome, Outcome::malformed);
}

TEST(StateServiceBytes, PageIsReadFromLiteral) {
  const ListResult page = decode_page(answer(
      200,
      R"({"epoch":41,"truncated":true,"entries":[{"k":"job/j-1","value":{"a":1},"stamp":7}]})"));
  EXPECT_EQ(page.outcome, Outcome::ok);
  EXPECT_EQ(page.store_revision, 41u);
  EXPECT_TRUE(page.more);
  ASSERT_EQ(page.entries.size(), 1u);
  EXPECT_EQ(page.entries[0].key, "job/j-1");
  EXPECT_TRUE(is_written_as(page.entries[0].value, R"({"a":1})"));
  EXPECT_EQ(page.entries[0].revision, 7u);
  EXPECT_FALSE(decode_page(answer(200, R"({"epoch":41,"entries":[]})")).more);
}

TEST(StateServiceBytes, ChangesAreReadFromLiteral) {
  const WatchResult changes = decode_changes(
      answer(200, R"({"epoch":41,"log":[{"write":"job/j-1","value":{"a":1},"stamp":7},
                                 {"remove":"job/j-2","stamp":8}]})"));
  EXPECT_EQ(changes.outcome, Outcome::ok);
  EXPECT_EQ(changes.store_revision, 41u);
  ASSERT_EQ(changes.changes.size(), 2u);
  EXPECT_EQ(changes.changes[0].key, "job/j-1");
  ASSERT_TRUE(changes.changes[0].value);
  EXPECT_TRUE(is_written_as(*changes.changes[0].value, R"({"a":1})"));
  EXPECT_EQ(changes.changes[0].revision, 7u);
  EXPECT_EQ(changes.changes[1].key, "job/j-2");
  EXPECT_FALSE(changes.changes[1].value);
  EXPECT_EQ(changes.changes[1].revision, 8u);
  EXPECT_EQ(decode_changes(answer(410, R"({"error":"too old"})")).outcome, Outcome::absent);
}

TEST(StateServiceBytes, EntryIsReadFromLiteral) {
  const ReadResult found =
      decode_found(answer(200, R"({"k":"leader","value":{"a":1},"stamp":7,"permit":5})"));
  EXPECT_EQ(found.outcome, Outcome::ok);
  EXPECT_EQ(found.entry.key, "leader");
  EXPECT_TRUE(is_written_as(found.entry.value, R"({"a":1})"));
  EXPECT_EQ(found.entry.revision, 7u);
  EXPECT_EQ(found.entry.lease_id, 5u);
  EXPECT_EQ(
      decode_found(answer(200, R"({"k":"a","value":1,"stamp":7,"permit":null})")).entry.lease_id,
      0u);
  const ReadResult absent = decode_found(answer(404, R"({"epoch":41})"));
  EXPECT_EQ(absent.outcome, Outcome::absent);
  EXPECT_EQ(absent.store_revision, 41u);
}

TEST(StateServiceBytes, EachCallSendsItsLiteralRequest) {
  test::Recorder service([](const wire::Request& request) -> wire::Reply {
    return {200,
            request.path == "/holds" ? received(R"({"permit":9})") : received(R"({"epoch":3})"), 0};
  });
  Client client(service.at(), 1000);
  client.get("job/j-1");
  client.list("task/", "");
  client.list("task/", "task/j-1/0");
  client.commit({{{"level", 4}}, {}});
  const LeaseGrant lease_id = client.grant_lease(std::chrono::milliseconds(20000));
  EXPECT_EQ(lease_id.outcome, Outcome::ok);
  EXPECT_EQ(lease_id.id, 9u);
  EXPECT_EQ(client.renew_lease(9), Outcome::ok);
  client.revoke_lease(9);
  client.watch("job/", 41, std::chrono::milliseconds(250));
  const std::pair<const char*, const char*> expected[] = {
      {"GET /keys/job/j-1", nullptr},
      {"GET /keys?starts=task/&limit=1000", nullptr},
      {"GET /keys?starts=task/&after=task/j-1/0&limit=1000", nullptr},
      {"POST /multi", R"({"if":[{"k":"level","stamp":4}]})"},
      {"POST /holds", R"({"life_ms":20000})"},
      {"POST /holds/9/renew", "{}"},
      {"DELETE /holds/9", nullptr},
      {"GET /follow?starts=job/&after=41&hold_ms=250", nullptr}};
  const std::vector<test::Asked> asked = service.asked();
  ASSERT_EQ(asked.size(), std::size(expected));
  for (std::size_t i = 0; i < asked.size(); ++i) {
    EXPECT_EQ(asked[i].line, expected[i].first);
    EXPECT_TRUE(is_written_as(asked[i].body, expected[i].second ? expected[i].second : "null"));
  }
}

}  // namespace
}  // namespace reachramp::kv
