// What the key-value store holds of a job, by strong reads that users who ask at the same time
// share. Each question is answered by a read that was sent after it came, so no answer is older
// than any that a node has given. Ended and cancelled jobs stay so: known once, they need no read.
//
// Each request goes to the job that has had no answer for longest. If its header is known, one
// comparison serves all others that are; if it is known to differ, or not known, it is read.
#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/lookup.h"
#include "jobs/question_log.h"
#include "jobs/question_queue.h"
#include "kv/client.h"

namespace reachramp::jobs {

class JobReader {
 public:
  // Questions may take so many requests a second, and a request so many conditions.
  // `cancelled_is_final`: a header that says cancelled is not looked at again; else only the job's
  // end is final.
  JobReader(kv::Client& state, double rps, std::size_t conditions, bool cancelled_is_final = true);

  // Reads now, alone.
  Lookup read(const std::string& id);
  // Shares its read with whoever waits. Within about a second: unsure if there was no chance.
  Lookup ask(const std::string& id);
  // The header is stored under the revision: the next question takes a comparison, no read.
  void remember(const std::string& id, const Header& header, std::uint64_t revision);

 private:
  using Asked = QuestionQueue::Shared;
  struct Known {
    Lookup lookup;
    // A comparison has told that the header is another by now: only a read helps.
    bool differs = false;
  };
  struct Comparison {
    Asked question;
    Lookup held;
  };

  // Without a lock: one request, or two, for questions taken from the queue.
  void work_on(const std::vector<Asked>& batch);
  void read_for(const Asked& question);
  // Answers all if their headers still stand as they are known.
  void compare(const std::vector<Asked>& batch);

  // Under the lock.
  std::vector<Asked> take();
  bool can_be_compared(const Question& question) const;
  void note_differing(const std::vector<Comparison>& comparisons,
                      const std::vector<std::string>& differing_keys);
  void answer(Question& question, Lookup lookup, std::uint64_t QuestionCounts::*how);
  void leave_unanswered(Question& question);
  void wake_first();

  void keep(const std::string& id, const Lookup& lookup);
  bool is_final(const Lookup& lookup) const;

  kv::Client& state_;
  const std::size_t most_;
  const bool cancelled_is_final_;
  std::mutex mutex_;  // guards all below
  kv::TokenBucket bucket_;
  QuestionLog log_;
  QuestionQueue queue_;
  int working_ = 0;  // threads
  std::unordered_map<std::string, Known> known_;
  std::deque<std::string> known_order_;  // the oldest first
};

}  // namespace reachramp::jobs
