// What the key-value store holds of a job, by strong reads that users who ask at the same time
// share. Each question is answered by a read that was sent after it came, so no answer is older
// than any that a node has given. Ended and cancelled jobs stay so: known once, they need no read.
#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/question_log.h"
#include "jobs/spec.h"
#include "kv/client.h"

namespace reachramp::jobs {

enum class JobState { live, ended, absent, unsure };

struct Lookup {
  JobState presence = JobState::unsure;
  Header header;               // live
  std::uint64_t revision = 0;  // of the header
  FinalState ending;           // ended
};

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
  struct Question {
    std::string id;
    int waiters = 0;
    bool taken = false;
    bool answered = false;
    Lookup answer;
    std::condition_variable changed;  // its own: waking all for each answer cost the node its share
  };
  using Asked = std::shared_ptr<Question>;

  std::vector<Asked> take();
  void resolve(const std::vector<Asked>& batch);
  // Answers those whose headers still stand as they are known; returns the others.
  std::vector<Asked> confirm(std::vector<Asked> known, double until);
  std::optional<Lookup> known(const std::string& id);
  void keep(const std::string& id, const Lookup& lookup);
  bool may_read(double until);
  bool is_final(const Lookup& lookup) const;
  // Under the lock.
  void answer(Question& question, Lookup lookup, std::uint64_t QuestionCounts::*how);
  void leave_unanswered(Question& question, NoAnswer why);

  kv::Client& state_;
  const std::size_t most_;
  const bool cancelled_is_final_;
  std::mutex mutex_;
  kv::TokenBucket bucket_;
  QuestionLog log_;
  int reading_ = 0;
  std::deque<Asked> waiting_;
  std::unordered_map<std::string, Asked> waiting_by_id_;
  std::unordered_map<std::string, Lookup> known_;
  std::deque<std::string> known_order_;  // the oldest first
};

}  // namespace reachramp::jobs
