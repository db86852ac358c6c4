// When revisions of the key-value store were given, in this process's steady time, so that the age
// of a record follows from its revision. No time of day is involved: those of two nodes differ.
// Every answer of the service that tells its store revision is a mark; so whoever has served for a
// while knows when the jobs of that time were accepted, whether or not it led. What nobody who
// lives has seen is carried by one small record that the leader writes now and then.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/message.h"

namespace reachramp::kv {

inline constexpr const char* kTimelineKey = "timeline";
// Whether it is a record of this slice that the level does not have, or has in another form.
bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level);

class RevisionClock {
 public:
  // The service has just told that it has come as far as `store revision`. Seconds.
  void observe(std::uint64_t store_revision, double now);
  // Takes over what a leader wrote under `revision`, for the time before our own marks. How long no
  // leader wrote and we did not look, nobody knows: it counts for nothing. Throws wire::BadMessage.
  void restore(const wire::Json& record, std::uint64_t revision, double now);
  // When the revision was given, at the latest; `now` for one that no mark has reached yet.
  double time_of(std::uint64_t revision, double now) const;

  // When the revision was given, at the earliest; nothing for one from before this process began to
  // look, since how long ago that was nobody may know.
  std::optional<double> earliest_time_of(std::uint64_t revision) const;

  // Marks as [revision, milliseconds before `now`], the oldest first.
  wire::Json encode(double now) const;

 private:
  // By `at` the service had come as far as `revision`; the last mark of a revision is when it was
  // still there. Ascending in both.
  struct RevisionMark {
    std::uint64_t revision = 0;
    double at = 0;
  };
  void compact(double now);

  std::vector<RevisionMark> marks_;
  std::optional<std::uint64_t> first_noted_;  // the revision of this process's own first mark
};

}  // namespace reachramp::kv
