// What the key-value store holds of a job, as a reader found it.
#pragma once

#include <cstdint>

#include "jobs/spec.h"

namespace reachramp::jobs {

enum class JobState { live, ended, absent, undetermined };

struct Lookup {
  JobState state = JobState::undetermined;
  Header header;                      // live
  std::uint64_t header_revision = 0;  // of the header
  FinalState final_state;             // ended
};

}  // namespace reachramp::jobs
