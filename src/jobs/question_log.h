// Counts what becomes of users' questions, and tells it in one log line every few seconds while
// some get no answer.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace reachramp::jobs {

// Why a question got no answer.
enum class NoAnswer {
  not_in_time,  // no request could be spent on it, or its response came too late
  refused,      // the store did not answer, or not for certain
};

struct QuestionCounts {
  std::uint64_t asked = 0;
  std::uint64_t final_known = 0;  // answered from memory: the job has ended
  std::uint64_t compared = 0;     // answered by a comparison
  std::uint64_t read = 0;         // answered by a read of its own
  std::uint64_t not_in_time = 0;
  std::uint64_t refused = 0;
  std::uint64_t comparisons = 0;      // requests
  std::uint64_t conflicts = 0;        // of these: something differed
  std::uint64_t differing_named = 0;  // keys that conflicts named
  std::uint64_t reads = 0;            // jobs read, by one or two requests
};

// Not safe to share between threads.
class QuestionLog {
 public:
  // Adds to this what happens; the line tells the difference to the last one.
  QuestionCounts counts;

  void note_asked(const std::string& id, double now);
  void note_answered(const std::string& id);
  void note_no_answer(NoAnswer why);

  // Since when the job has been asked about without an answer; `now` if it has not.
  double unanswered_since(const std::string& id, double now) const;

  // Logs if it is time to.
  void advance(double now);

 private:
  struct Unanswered {
    double since = 0;
    double asked_at = 0;
  };
  void forget_those_not_asked(double now);
  double longest_wait_s(double now) const;

  std::unordered_map<std::string, Unanswered> unanswered_;
  QuestionCounts logged_;
  double logged_at_ = 0;
};

}  // namespace reachramp::jobs
