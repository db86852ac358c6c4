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
enum class JobView { unknown, active, done, cancelled };

class AnswerHistory {
 public:
  // The job as known to users when a question is about to be sent.
  JobView newest_view(const std::string& job) {
    const std::lock_guard lock(mutex_);
    return views_[job];
  }

  // An answer to a question that was sent when `known` was. A node may answer what became of the
  // job since; so only the view before the question counts.
  void record_answer(const std::string& job, JobView view_before_request, JobView answer,
                     const std::string& node) {
    const std::lock_guard lock(mutex_);
    ++answer_count_;
    const bool goes_back = answer < view_before_request ||
                           (view_before_request == JobView::done && answer != JobView::done);
    if (goes_back) {
      violations_.push_back(job + ": " + node + " answers " + to_string(answer) + " after " +
                            to_string(view_before_request));
    }
    JobView& view = views_[job];
    const bool final_view = view == JobView::done || view == JobView::cancelled;
    if (!final_view && answer > view) view = answer;
  }

  std::vector<std::string> violations() {
    const std::lock_guard lock(mutex_);
    return violations_;
  }
  std::size_t answer_count() {
    const std::lock_guard lock(mutex_);
    return answer_count_;
  }

 private:
  static std::string to_string(JobView view) {
    switch (view) {
      case JobView::unknown:
        return "unknown";
      case JobView::active:
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
  std::vector<std::string> violations_;
  std::size_t answer_count_ = 0;
};

}  // namespace reachramp::test
