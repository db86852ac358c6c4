// Settings of a controller node: the platform's settings file (TOML), which describes the node and
// the services around it, and the operators' policy file (S-expressions).
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "wire/socket.h"

namespace reachramp::settings {

// Thrown for settings that are missing or invalid; what() reads "file: field: reason".
class BadSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct SExpression;

// Another controller node.
struct Member {
  std::string name;
  std::string failure_domain;  // nodes of one domain may fail together
  wire::Address address;       // where it listens for other nodes
};

// A team of users, with the resources that it is guaranteed and those that it may use at most. Zero
// stands for no guarantee or no limit.
struct Team {
  std::string name;
  double guaranteed_cpus = 0;
  double max_cpus = 0;
  double guaranteed_gpus = 0;
  double max_gpus = 0;
};

// A service level objective for one class of jobs.
struct ServiceLevelObjective {
  enum class Kind {
    wait,      // tasks start within `within_s` of the submission
    finished,  // the job finishes within `within_s` of the submission
    deadline   // the job finishes within `deadline_factor` times its deadline
  } kind = Kind::wait;
  std::string job_class;
  double within_s = 0;
  double deadline_factor = 1;
};

// Intervals and timeouts that workers and controller nodes agree on (PROTOCOL).
struct WorkerTimings {
  double report_interval_s = 1;  // between a worker's heartbeats
  double lease_s = 10;           // for which a worker without a response keeps its tasks running
  // While a gang has not started, each of its tasks exits after waiting this long for the others.
  double gang_wait_s = 30;
  // Within this time, the other tasks of a running gang notice that one of them is gone; and all
  // tasks of a gang must get their stop commands within it, or the gang saves no last checkpoint.
  double gang_peer_s = 5;
  // Within which a job's tasks end once its user is told that it is cancelled.
  double cancel_s = 30;
};

// Limits that the key-value store enforces.
struct StoreLimits {
  double rps = 50;        // requests per second
  double write_rps = 10;  // writes per second
  double value_kb = 4;    // size of a value, in KiB of its JSON form
  // Writes and deletes in one transaction, which may have four times as many preconditions.
  int txn_ops = 8;
};

// Returns the stricter of the two limits in each field: what respects it is accepted now and after
// the upcoming limits have come into force.
StoreLimits stricter_limits(const StoreLimits& current, const StoreLimits& upcoming);

// Properties of the cloud's interface.
struct CloudLimits {
  double rps = 3;         // requests per second
  double list_lag_s = 5;  // by which the list of machines may lag behind
};

// The platform's settings of one node. Field names of the file are in platform.cpp.
struct Platform {
  std::string node_name;
  std::string failure_domain;
  wire::Address serve_on;        // where this node listens for users and workers
  wire::Address cluster_listen;  // where this node listens for other nodes
  std::vector<Member> members;   // the other nodes
  wire::Address cloud_address;
  wire::Address store_address;
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  WorkerTimings worker_timings;
  StoreLimits store_limits;
  // Limits that come into force at an unannounced time. Those that the file leaves out equal the
  // current ones.
  StoreLimits upcoming_store_limits;
  // The limits that every write must respect.
  StoreLimits strictest_store_limits() const {
    return settings::stricter_limits(store_limits, upcoming_store_limits);
  }
  CloudLimits cloud_limits;
  // Limits of this process.
  int fd_limit = 512;
  int thread_limit = 2000;  // the limit that the users' page on large fleets states
  double ram_mb = 64;
};

// The operators' policy. The numbers are parameters of Tributary, the algorithm that chooses which
// machines to rent (acquire/tributary.h, docs/design.md).
struct Policy {
  // The expected share of the wanted resources that must survive reclaims of spot machines.
  double target_utility = 0.95;
  // Weight of the price correlation between pools in their probability of being reclaimed.
  double gamma = 0.01;
  double prior_reclaim_probability = 0.1;  // per horizon, of a pool that was not observed yet
  double price_window_s = 600;             // how far back spot prices are correlated
  double scaling_interval_s = 10;          // between two scaling decisions
  double horizon_s = 60;                   // the time ahead that a scaling decision looks at
  // (levels (hold-at N)): the schema level is kept at or below this one; 0: no limit.
  unsigned hold_at = 0;
  // The unparsed section (drains ...), for drains/; null if there is none: nothing is drained then.
  std::shared_ptr<const SExpression> drains;
};

// All functions below throw BadSettings for a file that cannot be read or is invalid. Fields that
// are unknown are ignored: later versions may add some. `path` is only for error messages where the
// text is given.
Platform load_platform(const std::string& path);
Platform parse_platform(const std::string& text, const std::string& path);
Policy load_policy(const std::string& path);
// Returns the contents of the file.
std::string read_file(const std::string& path);
Policy parse_policy(const std::string& text, const std::string& path);

}  // namespace reachramp::settings
