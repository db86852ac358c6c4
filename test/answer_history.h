// What users were told of jobs, by any node, in the order in which they were told; and whether an
// answer is older than one that its user had before asking.
#pragma once

#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace reachramp::test {

// How far a job has come, as its users see it. A later answer never tells of an earlier state, and
// the two ends do not follow one another.
enum class JobView { unknown, live, done, cancelled };

class AnswerHistory {
 public:
  // The job as known to users when a question is about to be sent.
  JobView known(const std::string& job) {
    const std::lock_guard lock(mutex_);
    return views_[job];
  }

  // An answer to a question that was sent when `known` was. A node may answer what became of the
  // job since; so only the view before the question counts.
  void take(const std::string& job, JobView known, JobView answer, const std::string& from) {
    const std::lock_guard lock(mutex_);
    ++answers_;
    const bool older = answer < known || (known == JobView::done && answer != JobView::done);
    if (older) {
      broken_.push_back(job + ": " + from + " answers " + name(answer) + " after " + name(known));
    }
    JobView& view = views_[job];
    const bool final_view = view == JobView::done || view == JobView::cancelled;
    if (!final_view && answer > view) view = answer;
  }

  std::vector<std::string> broken() {
    const std::lock_guard lock(mutex_);
    return broken_;
  }
  std::size_t answers() {
    const std::lock_guard lock(mutex_);
    return answers_;
  }

 private:
  static std::string name(JobView view) {
    switch (view) {
      case JobView::unknown:
        return "unknown";
      case JobView::live:
        return "live";
      case JobView::done:
        return "done";
      case JobView::cancelled:
        return "cancelled";
    }
    return "";
  }

  std::mutex mutex_;
  std::unordered_map<std::string, JobView> views_;
  std::vector<std::string> broken_;
  std::size_t answers_ = 0;
};

}  // namespace reachramp::test
