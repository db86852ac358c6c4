// The requests that the client of the key-value store sends, in literal form: method, target and
// body.
#include "kv/client.h"
#include "recording_server.h"

namespace reachramp::kv {
namespace {

using test::is_encoded_as;
using test::wire_round_trip;

struct ExpectedRequest {
  const char* line;  // method and target
  const char* body;  // null: none
};

TEST(KeyValueClientBytes, EachCallSendsItsLiteralRequest) {
  test::RecordingServer service([](const wire::Request& request) -> wire::Response {
    return {200,
            request.path == "/holds" ? wire_round_trip(R"({"permit":9})")
                                     : wire_round_trip(R"({"epoch":3})"),
            0};
  });
  Client client(service.address(), 1000);
  client.get("job/j-1");
  client.list("task/", "");
  client.list("task/", "task/j-1/0");
  client.commit({{{"level", 4}}, {}});
  const LeaseGrant lease = client.grant_lease(std::chrono::milliseconds(20000));
  EXPECT_EQ(lease.outcome, Outcome::ok);
  EXPECT_EQ(lease.id, 9u);
  EXPECT_EQ(client.renew_lease(9), Outcome::ok);
  client.revoke_lease(9);
  client.watch("job/", 41, std::chrono::milliseconds(250));
  const ExpectedRequest expected[] = {
      {"GET /keys/job/j-1", nullptr},
      {"GET /keys?starts=task/&limit=1000", nullptr},
      {"GET /keys?starts=task/&after=task/j-1/0&limit=1000", nullptr},
      {"POST /multi", R"({"if":[{"k":"level","stamp":4}]})"},
      {"POST /holds", R"({"life_ms":20000})"},
      {"POST /holds/9/renew", "{}"},
      {"DELETE /holds/9", nullptr},
      {"GET /follow?starts=job/&after=41&hold_ms=250", nullptr}};
  const std::vector<test::RecordedRequest> asked = service.requests();
  ASSERT_EQ(asked.size(), std::size(expected));
  for (std::size_t i = 0; i < asked.size(); ++i) {
    EXPECT_EQ(asked[i].request_line, expected[i].line);
    EXPECT_TRUE(is_encoded_as(asked[i].body, expected[i].body ? expected[i].body : "null"));
  }
}

}  // namespace
}  // namespace reachramp::kv
