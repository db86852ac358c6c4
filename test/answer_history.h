// Finds responses that show an older state of a job than some user had received, from whatever
// node, before the request was sent.
#pragma once

#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace reachramp::test {

// The state of a job as users see it, in order of progress. A later response must not show an
// earlier state, and neither of `done` and `cancelled` may follow the other.
enum class JobView { unknown, active, done, cancelled };

// The job states that all users of a test have received. Every function may be called from any
// thread.
class AnswerHistory {
 public:
  // The most advanced state of `job` that any user has received. A user calls this just before
  // sending a request.
  JobView newest_view(const std::string& job) {
    const std::lock_guard lock(mutex_);
    return views_[job];
  }

  // Records the state in the response of `node`; `view_before_request` is what newest_view()
  // returned before the request was sent. The node may answer with any state that the job has had
  // since then, so only a state older than `view_before_request` is a violation.
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

  // One line for each response that showed an older state.
  std::vector<std::string> violations() {
    const std::lock_guard lock(mutex_);
    return violations_;
  }
  // The number of recorded responses.
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
        return "active";
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
