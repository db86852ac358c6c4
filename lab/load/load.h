// Load generator: emulated users who submit jobs, query their status and wait for their end.
#pragma once

#include <atomic>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "wire/http.h"
#include "wire/thread_pool.h"

namespace reachramp::lab {

// Configuration of the users and their jobs.
struct LoadSpec {
  wire::Address address;  // where users are served
  double jobs_per_second = 1;
  double submit_for_s = 30;  // users submit for this long, then wait until their jobs end
  double max_wait_s = 120;   // a user gives up this long after the submission was due
  double poll_interval_s = 1;
  double withdrawn_share = 0;  // share of jobs that are withdrawn soon after acceptance
  std::uint32_t tasks_per_job = 10;
  double task_run_time_s = 5;
  std::string team;
};

// Generates open-loop load: submissions arrive at a fixed mean rate, however slow the service is,
// and all waits count from the time a submission was due. So a slow service doesn't reduce the load
// that measures it.
class LoadGenerator {
 public:
  // What the users saw. Times are quantiles, accurate to 7%.
  struct Result {
    std::size_t submitted = 0, accepted = 0, done = 0, aborted = 0, without_end = 0;
    // Responses that contradict an earlier one, a line each.
    std::vector<std::string> contradictions;
    double accepted_p50_ms = 0, accepted_p99_ms = 0;
    double done_p50_s = 0, done_p99_s = 0;
  };

  LoadGenerator(LoadSpec spec, std::uint64_t seed);
  // Runs all users. Blocks until each has seen its job's end or given up, or until `stop` is set.
  Result run(const std::atomic<bool>& stop);

 private:
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1, 2)));

  // One user, in a thread of the pool: submits the job, then polls or withdraws it until its end.
  void run_user(const std::string& id, double due_at, bool withdraw, const std::atomic<bool>& stop);
  // Adds a response about the job to the result. Returns whether the job has ended.
  bool record_answer(const std::string& id, int status, const std::string& phase, bool withdraw,
                     double due_at);
  // The body of the job's submission.
  wire::Json make_job(const std::string& id) const;

  LoadSpec spec_;
  std::mt19937_64 random_;
  wire::Client client_;
  std::mutex mutex_;
  Result result_;
  Histogram accepted_ms_, done_s_;
};

}  // namespace reachramp::lab
