// Estimates the age of a record from its revision alone. No time of day is involved, since the
// times of day of two nodes differ: times are in seconds of this process's steady clock
// (kv/steady_clock.h).
//
// Each response of the key-value store that carries the store revision is a sample: when it came,
// the store had reached that revision. So every node that has run for a while knows when the jobs
// of that time were accepted, whether or not it led. For the time before any live node was started,
// the leader writes its samples to one small record, `timeline`, now and then.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/message.h"

namespace reachramp::kv {

// The key of that record. It is stored, so it must never change.
inline constexpr const char* kTimelineKey = "timeline";
// Whether the record belongs to this module and must be removed or rewritten at the schema level
// `level`, because the level has no such record or stores it in another form.
bool is_obsolete(const std::string& key, const wire::Json& value, std::uint32_t level);

// Owns the samples of the store revision: at most 64, the sparser the older.
//
// Not safe to share between threads. Behaves the same for the same calls: it reads no clock itself.
class RevisionClock {
 public:
  // Adds a sample: a response that came at `now` carried `store_revision`. Responses may overtake
  // one another: a revision older than the latest one is ignored.
  void observe(std::uint64_t store_revision, double now);

  // Adds the samples of a record that a leader wrote, for the time before our own samples.
  // `revision` is the revision of the record. The time between that write and our first sample is
  // unknown: it counts as zero, so ages come out too small rather than too large. Throws
  // wire::BadMessage, or what Json throws for a wrong type; the clock is then unchanged.
  void restore(const wire::Json& record, std::uint64_t revision, double now);

  // Estimates when the revision was assigned, for ages and deadlines, by interpolation between
  // samples. Returns `now` for a revision above all samples, and the time of the first sample for
  // one below all: it was assigned then at the latest.
  double time_of(std::uint64_t revision, double now) const;

  // Returns a lower bound of when the revision was assigned; never an estimate. None for a revision
  // from before this process's own first sample: its age is unknown here, and what an earlier
  // leader wrote is no proof.
  std::optional<double> earliest_time_of(std::uint64_t revision) const;

  // Encodes the record `timeline`: samples as [revision, milliseconds before `now`], the oldest
  // first. Takes up to 2 KiB.
  wire::Json encode(double now) const;

 private:
  // At `observed_at` the store had reached `revision`. A revision has at most two samples in a row,
  // its first and its last observation, between which the store did not change. Samples ascend in
  // both fields.
  struct RevisionSample {
    std::uint64_t revision = 0;
    double observed_at = 0;
  };

  // The first sample that is not before the revision, or the end.
  std::vector<RevisionSample>::const_iterator first_reaching(std::uint64_t revision) const;
  // Drops samples that lie close together for their age, and the oldest beyond the limit.
  void compact(double now);
  // Reads one sample of a record that was written at `written_at`, by our clock.
  static RevisionSample decode_sample(const wire::Json& item, double written_at);
  // The samples of a record before the revision `end`. Those after it are checked, too.
  static std::vector<RevisionSample> decode_samples(const wire::Json& record,
                                                    std::uint64_t revision, double written_at,
                                                    std::uint64_t end);

  std::vector<RevisionSample> samples_;
  std::optional<std::uint64_t> first_observed_;  // none: no sample of this process's own yet
};

}  // namespace reachramp::kv
