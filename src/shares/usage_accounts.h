// What each team and each class of jobs was served: what came, what was done, what is late and by
// how much, and what was used of late. For operators' logs, and for whoever decides by it. Kept
// across a change of leaders by one record at level 5, written twice a minute. Forgotten between
// two writes: jobs that came and ended there, in both counts, and half a minute of use.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::shares {

inline constexpr const char* kSharesKey = "shares";
// Whether it is a record of this slice that the level does not have, or has in another form.
bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level);

struct UsageAccount {
  std::uint64_t submitted = 0;
  std::uint64_t cancelled = 0;
  double recent_core_s = 0;  // with a half-life
  double recent_gpu_s = 0;
  bool operator==(const UsageAccount&) const = default;
};

// How one team or class stands.
struct ServiceSummary {
  std::string name;
  std::uint64_t submitted = 0;
  std::uint64_t done = 0;
  std::uint64_t waiting = 0;  // not begun, although nothing that they need holds them back
  std::uint64_t late = 0;     // alive, and nothing that is expected of them can be met any more
  double longest_wait_s = 0;
  double cores_in_use = 0;  // in use now
  // Of those that are done or late, the part that is done; 1 where there are none.
  double done_share() const;
};

struct UsageReport {
  std::vector<ServiceSummary> teams;
  std::vector<ServiceSummary> classes;
};

class UsageAccounts {
 public:
  void note_submitted(const placement::Job& job);
  void note_cancelled(const placement::Job& job);
  // Lets time pass; use is that of the moment.
  void advance(const placement::Cluster& cluster, double now);

  UsageReport report(const placement::Cluster& cluster, double now) const;

  wire::Json encode() const;
  // Takes over what an earlier leader wrote. Throws wire::BadMessage and is as it was.
  void restore(const wire::Json& record);
  double recent_core_s(const std::string& team) const;

 private:
  std::map<std::string, UsageAccount> teams_, classes_;
  double advanced_at_ = -1;
};

// One line: each team and class, the worst of all last.
std::string describe(const UsageReport& report);

}  // namespace reachramp::shares
