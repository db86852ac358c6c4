#include "jobs/dependency_check.h"

#include <deque>
#include <unordered_set>

namespace reachramp::jobs {

namespace {

bool is_cancelled(const Lookup& job) {
  return (job.state == JobState::live && job.header.cancelled) ||
         (job.state == JobState::ended && job.final_state.cancelled);
}

// Whether the job may have been cancelled since it was read.
bool is_outdated(const Lookup& job, double not_before) {
  return job.state != JobState::ended && job.current_as_of < not_before;
}

}  // namespace

DependencyCheck check_dependencies(const std::vector<std::string>& depends_on,
                                   const KnownJobs& known_jobs, double not_before) {
  DependencyCheck check;
  std::deque<std::string> to_visit(depends_on.begin(), depends_on.end());
  std::unordered_set<std::string> visited;
  while (!to_visit.empty() && visited.size() < kMaxFollowedJobs) {
    const std::string id = std::move(to_visit.front());
    to_visit.pop_front();
    if (!visited.insert(id).second) continue;
    const Lookup* job = known_jobs(id);
    if (job == nullptr) {
      check.outdated.push_back(id);
      continue;
    }
    if (is_cancelled(*job)) return {DependencyVerdict::some_cancelled, {}};
    if (is_outdated(*job, not_before)) check.outdated.push_back(id);
    if (!job->is_waiting()) continue;
    const std::vector<std::string>& needed = job->header.spec.depends_on;
    to_visit.insert(to_visit.end(), needed.begin(), needed.end());
  }
  if (check.outdated.empty()) check.verdict = DependencyVerdict::none_cancelled;
  return check;
}

}  // namespace reachramp::jobs
