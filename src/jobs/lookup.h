// What the key-value store holds of a job, as a reader found it.
#pragma once

#include <cstdint>

#include "jobs/spec.h"

namespace reachramp::jobs {

enum class JobState { live, ended, absent, unsure };

struct Lookup {
  JobState presence = JobState::unsure;
  Header header;               // live
  std::uint64_t revision = 0;  // of the header
  FinalState ending;           // ended
};

}  // namespace reachramp::jobs
