// Decides from what a node knows of other jobs whether a waiting job has become impossible because
// a job that it needs, directly or through others, is cancelled. Its own record says so only once a
// leader has stored its end, which may take longer than the user may be left in the dark: after an
// outage of the key-value store, or while no leader works.
//
// Dependencies never change once a job is accepted, a cancelled job stays cancelled, and a job that
// is done or has started needs no other job any more. So only live jobs that have not started are
// followed, and only whether a live job is cancelled has to be known as of a recent time.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "jobs/lookup.h"

namespace reachramp::jobs {

// What the caller knows of a job; null: nothing.
using KnownJobs = std::function<const Lookup*(const std::string& id)>;

struct DependencyCheck {
  DependencyVerdict verdict = DependencyVerdict::undetermined;
  // The jobs that must be read for a verdict: unknown, or live and known as of a time before
  // `not_before`. Empty unless undetermined.
  std::vector<std::string> outdated;
};

// The most jobs that are followed for one verdict, the nearest first. A node that was just started
// reads them one by one, at the rate that its status queries may use; with more, its users could go
// without an answer for so long that the job counts as lost. Jobs beyond them count as not
// cancelled.
inline constexpr std::size_t kMaxFollowedJobs = 300;

// Checks the jobs in `depends_on` and all that they need. `not_before`: how recently a live job
// must be known not to be cancelled (Lookup::current_as_of). A job without any record counts as not
// cancelled.
DependencyCheck check_dependencies(const std::vector<std::string>& depends_on,
                                   const KnownJobs& known_jobs, double not_before);

}  // namespace reachramp::jobs
