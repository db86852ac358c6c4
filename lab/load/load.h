// Users who submit jobs, ask for them and wait for their ends, at a rate of their own: whether the
// service keeps up or not, the next one comes when it is due, and waits are counted from then.
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

struct LoadSpec {
  wire::Address address;
  double jobs_per_second = 1;
  double submit_for_s = 30;  // submissions come this long; their users stay until they have an end
  double max_wait_s = 120;   // and no longer than this
  double poll_interval_s = 1;
  double withdrawn_share = 0;  // share of jobs that are withdrawn soon after they were accepted
  std::uint32_t tasks_per_job = 10;
  double task_run_time_s = 5;
  std::string team;
};

class LoadGenerator {
 public:
  struct Result {
    std::size_t submitted = 0, accepted = 0, done = 0, aborted = 0, without_end = 0;
    // What a user was told and what went back on an earlier answer.
    std::vector<std::string> contradictions;
    double accepted_p50_ms = 0, accepted_p99_ms = 0;
    double done_p50_s = 0, done_p99_s = 0;
  };

  LoadGenerator(LoadSpec spec, std::uint64_t seed);
  // Blocks until all users have left, or `stop` is set.
  Result run(const std::atomic<bool>& stop);

 private:
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1, 2)));

  void run_user(const std::string& id, double due, bool withdraws, const std::atomic<bool>& stop);
  bool record_answer(const std::string& id, int status, const std::string& phase, bool withdraws,
                     double due);
  wire::Json make_job(const std::string& id) const;

  LoadSpec spec_;
  std::mt19937_64 random_;
  wire::Client client_;
  std::mutex mutex_;
  Result result_;
  Histogram accepted_ms_, done_s_;
};

}  // namespace reachramp::lab
