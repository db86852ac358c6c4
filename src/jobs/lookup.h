// The result of looking a job up in the key-value store.
#pragma once

#include <cstdint>

#include "jobs/spec.h"

namespace reachramp::jobs {

// Which record of a job exists: its header (live), its final state (ended) or neither (absent: it
// was never accepted). undetermined: the store did not say.
enum class JobState { live, ended, absent, undetermined };

// Whether one of the jobs that a job needs, directly or through others, is cancelled.
// undetermined: what is known of them is too old or incomplete.
enum class DependencyVerdict { undetermined, none_cancelled, some_cancelled };

// A job's state with the record that proves it, as of when it was read.
struct Lookup {
  JobState state = JobState::undetermined;
  Header header;                      // if live
  std::uint64_t header_revision = 0;  // if live
  FinalState final_state;             // if ended
  // Of a job that waits for others: the verdict on the jobs that it needs.
  DependencyVerdict dependencies = DependencyVerdict::undetermined;

  // Whether the job may still wait for others.
  bool is_waiting() const { return state == JobState::live && jobs::is_waiting(header); }
  // Whether enough is known to tell a user the job's state.
  bool is_determined() const {
    return state != JobState::undetermined &&
           (!is_waiting() || dependencies != DependencyVerdict::undetermined);
  }
};

}  // namespace reachramp::jobs
