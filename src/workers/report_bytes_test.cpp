// The literal form of workers' reports and of the commands that answer them.
#include "bytes.h"
#include "workers/report.h"

namespace reachramp::workers {
namespace {

using test::is_written_as;
using test::received;

TEST(WorkerReportBytes, EveryFieldIsReadFromLiteral) {
  const Report report = decode_report(received(
      R"({"host":"n-1","address":"10.0.0.1:9000","rig":"g8","hall":"a","loaner":true,"tenure":4,
          "tick":17,"baton":40,"reclaim_in_s":90.5,"pieces":[
          {"piece":"j-1/3","try":2,"phase":"exited","cause":"done"},
          {"piece":"j-2/0","try":1,"phase":"running","cause":null}]})"));
  EXPECT_EQ(report.host, "n-1");
  EXPECT_EQ(report.address, "10.0.0.1:9000");
  EXPECT_EQ(report.type, "g8");
  EXPECT_EQ(report.zone, "a");
  EXPECT_TRUE(report.spot);
  EXPECT_EQ(report.tenure, 4u);
  EXPECT_EQ(report.tick, 17u);
  EXPECT_EQ(report.baton, 40u);
  EXPECT_EQ(report.reclaim_in_s, 90.5);
  ASSERT_EQ(report.pieces.size(), 2u);
  EXPECT_EQ(report.pieces[0].job, "j-1");
  EXPECT_EQ(report.pieces[0].task, 3u);
  EXPECT_EQ(report.pieces[0].attempt, 2u);
  EXPECT_EQ(report.pieces[0].state, PieceState::exited);
  EXPECT_EQ(report.pieces[0].cause, Cause::done);
  EXPECT_EQ(report.pieces[1].job, "j-2");
  EXPECT_EQ(report.pieces[1].task, 0u);
  EXPECT_EQ(report.pieces[1].attempt, 1u);
  EXPECT_EQ(report.pieces[1].state, PieceState::running);
  EXPECT_EQ(report.pieces[1].cause, Cause::none);
}

TEST(WorkerReportBytes, OptionalFieldsMayBeAbsentOrNull) {
  for (const char* body :
       {R"({"host":"n-1","rig":"g8","hall":"a","loaner":false,"tenure":4,"tick":17,"baton":0,
            "pieces":[]})",
        R"({"host":"n-1","address":null,"rig":"g8","hall":"a","loaner":false,"tenure":4,"tick":17,
            "baton":0,"reclaim_in_s":null,"pieces":[]})"}) {
    const Report report = decode_report(received(body));
    EXPECT_EQ(report.address, "");
    EXPECT_FALSE(report.spot);
    EXPECT_FALSE(report.reclaim_in_s);
    EXPECT_TRUE(report.pieces.empty());
  }
}

Piece read_piece(const char* phase, const char* cause) {
  Json body = received(R"({"host":"n-1","rig":"g8","hall":"a","loaner":false,"tenure":4,"tick":1,
                           "baton":0,"pieces":[{"piece":"j-1/3","try":2}]})");
  body["pieces"][0]["phase"] = phase;
  if (cause != nullptr) body["pieces"][0]["cause"] = cause;
  return decode_report(body).pieces.at(0);
}

TEST(WorkerReportBytes, EveryPhaseAndCauseHasItsWord) {
  const std::pair<const char*, PieceState> phases[] = {
      {"fetching", PieceState::fetching}, {"waiting", PieceState::waiting},
      {"running", PieceState::running},   {"flushing", PieceState::saving},
      {"exited", PieceState::exited},     {"of a newer version", PieceState::waiting}};
  for (const auto& [word, state] : phases)
    EXPECT_EQ(read_piece(word, nullptr).state, state) << word;
  const std::pair<const char*, Cause> causes[] = {{"done", Cause::done},
                                                  {"halted", Cause::halted},
                                                  {"mates_gone", Cause::mates_gone},
                                                  {"incomplete", Cause::incomplete},
                                                  {"error", Cause::error},
                                                  {"full", Cause::full},
                                                  {"in_use", Cause::in_use},
                                                  {"no_such", Cause::no_such},
                                                  {"of a newer version", Cause::error}};
  for (const auto& [word, cause] : causes) {
    EXPECT_EQ(read_piece("exited", word).cause, cause) << word;
  }
}

TEST(WorkerCommandBytes, EveryCommandIsWrittenAsLiteral) {
  EXPECT_TRUE(is_written_as(encode_response(40, {{Verb::start, "j-1", 3, 2, 0},
                                                 {Verb::stop, "j-2", 0, 1, 4.5},
                                                 {Verb::stop, "j-2", 1, 1, 0},
                                                 {Verb::clear, "j-3", 7, 5, 0}}),
                            R"({"baton":40,"orders":[{"verb":"start","piece":"j-1/3","try":2},
          {"verb":"stop","piece":"j-2/0","try":1,"wind_down_s":4.5},
          {"verb":"stop","piece":"j-2/1","try":1,"wind_down_s":0.0},
          {"verb":"clear","piece":"j-3/7","try":5}]})"));
  EXPECT_TRUE(is_written_as(encode_response(40, {}), R"({"baton":40,"orders":[]})"));
}

}  // namespace
}  // namespace reachramp::workers
