// The literal form of the key-value store's request and response bodies. Guards against a field
// renamed both here and in the emulator, which no test between the two would notice.
#include "encoding_assertions.h"
#include "kv/codec.h"

namespace reachramp::kv {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

wire::CallResult response(int status, const char* body) {
  return {true, true, status, wire_round_trip(body), 0};
}

TEST(KeyValueCodecBytes, TransactionIsEncodedAsLiteral) {
  EXPECT_TRUE(is_encoded_as(encode_transaction({{{"job/j-1", 7}, {"end/j-1", 0}},
                                                {{"leader", Json{{"node", "node-1"}}, 5},
                                                 {"end/j-1", Json{{"done", 3u}}, std::nullopt},
                                                 {"job/j-1", std::nullopt, std::nullopt}}}),
                            R"({"if":[{"k":"job/j-1","stamp":7},{"k":"end/j-1","stamp":0}],
          "then":[{"write":"leader","value":{"node":"node-1"},"permit":5},
                  {"write":"end/j-1","value":{"done":3}},{"remove":"job/j-1"}]})"));
  EXPECT_TRUE(is_encoded_as(encode_transaction({{{"level", 4}}, {}}),
                            R"({"if":[{"k":"level","stamp":4}]})"));
}

TEST(KeyValueCodecBytes, ResponsesToTransactionAreDecodedFromLiteral) {
  const CommitResult committed = decode_commit_result(response(200, R"({"epoch":41})"));
  EXPECT_EQ(committed.outcome, Outcome::ok);
  EXPECT_EQ(committed.store_revision, 41u);
  const CommitResult conflict =
      decode_commit_result(response(409, R"({"failed":["job/j-1","level"]})"));
  EXPECT_EQ(conflict.outcome, Outcome::conflict);
  EXPECT_EQ(conflict.failed_keys, (std::vector<std::string>{"job/j-1", "level"}));
  EXPECT_EQ(decode_commit_result(response(400, R"({"error":"no such lease"})")).outcome,
            Outcome::unknown_lease);
  EXPECT_EQ(decode_commit_result(response(400, R"({"error":"too large"})")).outcome,
            Outcome::malformed);
}

TEST(KeyValueCodecBytes, PageOfKeysIsDecodedFromLiteral) {
  const ListResult page = decode_list_result(response(
      200,
      R"({"epoch":41,"truncated":true,"entries":[{"k":"job/j-1","value":{"a":1},"stamp":7}]})"));
  EXPECT_EQ(page.outcome, Outcome::ok);
  EXPECT_EQ(page.store_revision, 41u);
  EXPECT_TRUE(page.has_more);
  ASSERT_EQ(page.entries.size(), 1u);
  EXPECT_EQ(page.entries[0].key, "job/j-1");
  EXPECT_TRUE(is_encoded_as(page.entries[0].value, R"({"a":1})"));
  EXPECT_EQ(page.entries[0].revision, 7u);
  EXPECT_FALSE(decode_list_result(response(200, R"({"epoch":41,"entries":[]})")).has_more);
}

TEST(KeyValueCodecBytes, ChangesOfWatchAreDecodedFromLiteral) {
  const WatchResult changes = decode_watch_result(
      response(200, R"({"epoch":41,"log":[{"write":"job/j-1","value":{"a":1},"stamp":7},
                                 {"remove":"job/j-2","stamp":8}]})"));
  EXPECT_EQ(changes.outcome, Outcome::ok);
  EXPECT_EQ(changes.store_revision, 41u);
  ASSERT_EQ(changes.changes.size(), 2u);
  EXPECT_EQ(changes.changes[0].key, "job/j-1");
  ASSERT_TRUE(changes.changes[0].value);
  EXPECT_TRUE(is_encoded_as(*changes.changes[0].value, R"({"a":1})"));
  EXPECT_EQ(changes.changes[0].revision, 7u);
  EXPECT_EQ(changes.changes[1].key, "job/j-2");
  EXPECT_FALSE(changes.changes[1].value);
  EXPECT_EQ(changes.changes[1].revision, 8u);
  EXPECT_EQ(decode_watch_result(response(410, R"({"error":"too old"})")).outcome, Outcome::absent);
}

TEST(KeyValueCodecBytes, EntryWithLeaseIsDecodedFromLiteral) {
  const ReadResult found =
      decode_read_result(response(200, R"({"k":"leader","value":{"a":1},"stamp":7,"permit":5})"));
  EXPECT_EQ(found.outcome, Outcome::ok);
  EXPECT_EQ(found.entry.key, "leader");
  EXPECT_TRUE(is_encoded_as(found.entry.value, R"({"a":1})"));
  EXPECT_EQ(found.entry.revision, 7u);
  EXPECT_EQ(found.entry.lease_id, 5u);
  EXPECT_EQ(decode_read_result(response(200, R"({"k":"a","value":1,"stamp":7,"permit":null})"))
                .entry.lease_id,
            0u);
  const ReadResult absent = decode_read_result(response(404, R"({"epoch":41})"));
  EXPECT_EQ(absent.outcome, Outcome::absent);
  EXPECT_EQ(absent.store_revision, 41u);
}

// Guards against callers that repeat a request that was executed, or give up one that was not.
TEST(KeyValueCodecBytes, EachStatusIsDecodedAsItsOutcome) {
  EXPECT_EQ(decode_outcome(response(200, "{}")), Outcome::ok);
  EXPECT_EQ(decode_outcome(response(400, "{}")), Outcome::malformed);
  EXPECT_EQ(decode_outcome(response(404, "{}")), Outcome::absent);
  EXPECT_EQ(decode_outcome(response(409, "{}")), Outcome::conflict);
  EXPECT_EQ(decode_outcome(response(410, "{}")), Outcome::absent);
  EXPECT_EQ(decode_outcome(response(429, "{}")), Outcome::refused);
  EXPECT_EQ(decode_outcome(response(503, "{}")), Outcome::refused);
}

TEST(KeyValueCodecBytes, MissingResponseIsUnknownOnlyIfTheRequestWasSent) {
  wire::CallResult missing;
  EXPECT_EQ(decode_outcome(missing), Outcome::refused);
  missing.may_have_been_sent = true;
  EXPECT_EQ(decode_outcome(missing), Outcome::unknown);
}

TEST(KeyValueCodecBytes, UndecodableResponseIsUnknown) {
  EXPECT_EQ(decode_commit_result(response(200, R"({"epoch":"41"})")).outcome, Outcome::unknown);
  EXPECT_EQ(decode_list_result(response(200, R"({"epoch":41,"entries":[7]})")).outcome,
            Outcome::unknown);
}

}  // namespace
}  // namespace reachramp::kv
