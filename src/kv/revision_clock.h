// Ages of records, from their revisions alone. No time of day is involved, since those of two nodes
// differ: times are in seconds of this process's steady clock (kv/steady_clock.h).
//
// Each response of the key-value store that carries its store revision is a sample: by now, the
// store had come as far as that. So every node that has served for a while knows when the jobs of
// that time were accepted, whether or not it led. What was before all nodes that are alive is
// carried by one small record, `timeline`, that the leader writes now and then.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/message.h"

namespace reachramp::kv {

// Key of the record. Stored: never renamed.
inline constexpr const char* kTimelineKey = "timeline";
// Whether it is a record of this slice that the schema level doesn't have, or has in another form.
bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level);

// Owns the samples of the store revision: at most 64, the sparser the older.
//
// Not safe to share between threads. Behaves the same for the same calls: it reads no clock itself.
class RevisionClock {
 public:
  // The store has just said, in a response that came at `now`, that it is at `store_revision`.
  // Responses may overtake one another: an older revision than the last one is ignored.
  void observe(std::uint64_t store_revision, double now);

  // Takes over the samples that a leader wrote in the record whose revision is `revision`, for the
  // time before our own samples. For how long no leader wrote and we did not observe is unknown:
  // that time counts as zero, so ages come out too small rather than too large. Throws
  // wire::BadMessage, or what Json throws for a wrong type, and is then left unchanged.
  void restore(const wire::Json& record, std::uint64_t revision, double now);

  // When the revision was assigned, at the latest; `now` for one that no sample has reached yet.
  // Interpolated between samples: an estimate, for ages and deadlines.
  double time_of(std::uint64_t revision, double now) const;

  // When the revision was assigned, at the earliest: a bound, never an estimate. Nothing for one
  // from before this process's own first sample: how long before, it can't know, and what an
  // earlier leader wrote is no proof.
  std::optional<double> earliest_time_of(std::uint64_t revision) const;

  // The record: samples as [revision, milliseconds before `now`], the oldest first. Takes up to 2
  // KiB.
  wire::Json encode(double now) const;

 private:
  // At `at` the store had come as far as `revision`. A revision has at most two samples in a row:
  // when it was first observed and when it was last; between them the store was quiet. Ascending in
  // both.
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
