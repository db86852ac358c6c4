// What a node is told: the platform's file (TOML) and the operators' own policy (S-expressions).
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "wire/socket.h"

namespace reachramp::settings {

// Refused settings; what() reads "file: field: reason".
class BadSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct SExpression;

struct Member {
  std::string name;
  std::string failure_domain;
  wire::Address address;
};

// Zero means none: no guarantee, no limit.
struct Team {
  std::string name;
  double guaranteed_cpus = 0;
  double max_cpus = 0;
  double guaranteed_gpus = 0;
  double max_gpus = 0;
};

// What is expected for a class of jobs: tasks started, or the job finished, within so long; or the
// job done within so many times its deadline.
struct ServiceLevelObjective {
  enum class Kind { wait, finished, deadline } kind = Kind::wait;
  std::string job_class;
  double within_s = 0;
  double deadline_factor = 1;
};

struct WorkerTimings {
  double report_interval_s = 1;
  double lease_s = 10;
  double gang_wait_s = 30;
  double gang_peer_s = 5;
  double cancel_s = 30;
};

struct StoreLimits {
  double rps = 50;
  double write_rps = 10;
  double value_kb = 4;
  int txn_ops = 8;
};

// What may be written now and will still be taken under the limits to come.
StoreLimits stricter_limits(const StoreLimits& current, const StoreLimits& upcoming);

struct CloudLimits {
  double rps = 3;
  double list_lag_s = 5;
};

struct Platform {
  std::string node_name;
  std::string failure_domain;
  wire::Address serve_on;
  wire::Address cluster_listen;
  std::vector<Member> members;
  wire::Address cloud_address;
  wire::Address store_address;
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  WorkerTimings worker_timings;
  StoreLimits store_limits;
  StoreLimits
      upcoming_store_limits;  // from an unannounced moment on; what is not said stays as it is
  StoreLimits strictest_store_limits() const {
    return settings::stricter_limits(store_limits, upcoming_store_limits);
  }
  CloudLimits cloud_limits;
  int fd_limit = 512;
  int thread_limit = 2000;  // of a process; the users' page on the large fleet
  double ram_mb = 64;
};

// The knobs of Tributary that operators may turn; see docs/design.md.
struct Policy {
  double target_utility = 0.95;
  double gamma = 0.01;
  double prior_reclaim_probability = 0.1;
  double price_window_s = 600;
  double scaling_interval_s = 10;
  double horizon_s = 60;
  // (levels (hold-at N)): the stored state stays at or below that level; 0: no wish.
  unsigned hold_at = 0;
  // (drains ...), as it stands; none: nothing is drained. Read by the slice of that name.
  std::shared_ptr<const SExpression> drains;
};

Platform load_platform(const std::string& path);
Platform parse_platform(const std::string& text, const std::string& path);
Policy load_policy(const std::string& path);
// Throws BadSettings.
std::string read_file(const std::string& path);
Policy parse_policy(const std::string& text, const std::string& path);

}  // namespace reachramp::settings
