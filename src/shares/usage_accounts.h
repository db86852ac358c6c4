// Accounts, for each team and each job class, of the jobs submitted, done and late and of the
// recent use of cores and GPUs, for the operators' logs and for decisions that depend on recent
// use. A record at schema level 5, written twice a minute, carries the accounts over to the next
// leader. A change of leader loses up to half a minute of use, and the jobs that were both
// submitted and ended since the last write: they are in no count.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::shares {

inline constexpr const char* kSharesKey = "shares";
// Whether the key belongs to a record of this directory that the schema level does not have, or has
// in another format.
bool is_obsolete(const std::string& key, const wire::Json& value, std::uint32_t level);

// Stored totals of one team or job class.
struct UsageAccount {
  std::uint64_t submitted = 0;
  std::uint64_t cancelled = 0;
  double recent_core_s = 0;  // decays with a half-life
  double recent_gpu_s = 0;
  bool operator==(const UsageAccount&) const = default;
};

// How the jobs of one team or job class are served.
struct ServiceSummary {
  std::string name;
  std::uint64_t submitted = 0;
  std::uint64_t done = 0;
  std::uint64_t waiting = 0;  // not begun, although all jobs that they wait for are done
  // Live jobs that wait for room and can no longer meet any of their start deadlines; a job without
  // a start deadline is late if it waits for too long.
  std::uint64_t late = 0;
  double longest_wait_s = 0;
  double cores_in_use = 0;
  // Done jobs as a share of those that are done or late; 1 if there are none.
  double done_share() const;
};

// The summaries of all teams and all job classes, each sorted by name.
struct UsageReport {
  std::vector<ServiceSummary> teams;
  std::vector<ServiceSummary> classes;
};

// Accounts of all teams and job classes. Used by the leader only.
class UsageAccounts {
 public:
  // Counts a submitted job.
  void note_submitted(const placement::Job& job);
  // Counts a job that was cancelled.
  void note_cancelled(const placement::Job& job);
  // Adds the use of cores and GPUs since the last call, which is taken to have been the present use
  // all that time, and decays earlier use.
  void advance(const placement::Cluster& cluster, double now);

  // Returns how all teams and job classes are served at `now`.
  UsageReport report(const placement::Cluster& cluster, double now) const;

  // The record `shares`.
  wire::Json encode() const;
  // Restores the record of an earlier leader. Throws wire::BadMessage and then changes nothing.
  void restore(const wire::Json& record);
  // Core seconds that the team used recently, decayed.
  double recent_core_s(const std::string& team) const;

 private:
  std::map<std::string, UsageAccount> teams_, classes_;
  double advanced_at_ = -1;
};

// One line for the log: each team and job class, then the one with the lowest share of done jobs.
std::string describe(const UsageReport& report);

}  // namespace reachramp::shares
