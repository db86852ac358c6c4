// Keeps a DependencyGraph as current as users' questions need it. The graph is loaded by pages of
// live jobs' headers; from then on one watch request that does not wait brings all changes since
// the one before, and serves all questions that arrived before it was sent. The final states of
// ended jobs that others still name are read by pages, too, unless there are only a few. So the
// cost of an answer depends neither on how many jobs a pipeline has nor on their number of users.
//
// Nothing is requested while nobody asks about waiting jobs.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "jobs/dependency_graph.h"
#include "jobs/lookup.h"
#include "kv/client.h"

namespace reachramp::jobs {

// What is known of a job that may wait for others.
enum class WaitingState {
  undetermined,  // the store did not tell in time
  not_waiting,   // the job's own record tells its state
  waiting,       // none of the jobs that it needs is cancelled
  impossible,    // a job that it needs is cancelled; this never changes
};

// Thread-safe. Calls block for requests to the store, up to the given deadline (steady seconds).
class DependencyTracker {
 public:
  // Takes a request out of the rate that the owner allows and returns 0, or returns the seconds
  // after which to try again. Called without this object's lock.
  using TakeRequest = std::function<double()>;

  // `max_catch_up_s`: a graph that has not been updated for longer is loaded anew, since the
  // response to a watch has no size limit.
  DependencyTracker(kv::Client& store, double max_catch_up_s, TakeRequest take_request);

  // Whether the job waited for others when the graph was last updated.
  bool is_waiting(const std::string& id);
  // The job's state as of `not_before` or later.
  WaitingState look_up(const std::string& id, double not_before, double deadline);
  // Whether one of these live jobs, or one that they need, is cancelled, as of `not_before` or
  // later.
  DependencyVerdict check(const std::vector<std::string>& live_jobs, double not_before,
                          double deadline);
  // A transaction of this node has stored the header with this revision.
  void note_header(const Header& header, std::uint64_t revision);

 private:
  enum class Progress { complete, out_of_time, store_unavailable };
  using Lock = std::unique_lock<std::mutex>;

  // The functions below are called with the lock held, and release it while they wait.
  // Waits until the graph contains all that was stored by `not_before`.
  bool update_until(Lock& lock, double not_before, double deadline);
  // The rest is for the thread that has set `updating_`.
  Progress update(Lock& lock, double deadline);
  Progress load(Lock& lock, double deadline);
  Progress follow(Lock& lock, double deadline);
  Progress read_undetermined_ends(Lock& lock, double deadline);
  Progress read_end(Lock& lock, const std::string& id);
  Progress read_ends_after(Lock& lock, const std::string& id);
  bool wait_for_request(Lock& lock, double deadline);
  void begin_load();
  void apply_header(const std::string& key, const kv::Json& value, std::uint64_t revision);

  kv::Client& store_;
  const double max_catch_up_s_;
  const TakeRequest take_request_;
  std::mutex mutex_;  // guards all below
  std::condition_variable updated_;
  bool updating_ = false;
  std::uint64_t failed_updates_ = 0;  // updates that the store did not answer
  DependencyGraph graph_;
  bool loaded_ = false;
  std::string last_loaded_key_;       // of a load that is not complete
  std::uint64_t store_revision_ = 0;  // up to which the graph contains all changes once loaded
  // The graph contained all that had been stored at this time (steady seconds), ends included.
  double current_as_of_ = 0;
  // The same without the ends that are still to be read.
  double headers_as_of_ = 0;
  double last_response_at_ = 0;  // when the last page or change was applied
};

}  // namespace reachramp::jobs
