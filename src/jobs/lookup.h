// The result of looking a job up in the key-value store.
#pragma once

#include <cstdint>

#include "jobs/spec.h"

namespace reachramp::jobs {

// Which record of a job exists: its header (live), its final state (ended) or neither (absent: it
// was never accepted). undetermined: the store did not say.
enum class JobState { live, ended, absent, undetermined };

// A job's state with the record that proves it, as of when it was read.
struct Lookup {
  JobState state = JobState::undetermined;
  Header header;                      // if live
  std::uint64_t header_revision = 0;  // if live
  FinalState final_state;             // if ended
};

}  // namespace reachramp::jobs
