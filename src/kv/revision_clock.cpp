#include "kv/revision_clock.h"

#include <algorithm>
#include <cmath>

#include "schema/schema_levels.h"

namespace reachramp::kv {

namespace {

// A new revision that is observed sooner than this after the latest sample gets no sample of its
// own: ages are only needed to the second.
constexpr double kSampleInterval_s = 0.25;
// The minimum distance of two samples as a fraction of their age, so that an hour takes a few dozen
// samples.
constexpr double kSpacingByAge = 1.0 / 8;
constexpr double kMinSpacing_s = 1;
constexpr std::size_t kMaxSamples = 64;
// Nearly four months. A record with an older sample counts as damaged.
constexpr double kMaxAge_s = 1e7;

}  // namespace

void RevisionClock::observe(std::uint64_t store_revision, double now) {
  if (!first_observed_) first_observed_ = store_revision;
  if (samples_.empty() || store_revision > samples_.back().revision) {
    // A later response brings the next sample soon enough.
    if (!samples_.empty() && now - samples_.back().observed_at < kSampleInterval_s) return;
    samples_.push_back({store_revision, now});
    if (samples_.size() > kMaxSamples) compact(now);
    return;
  }
  if (store_revision < samples_.back().revision) return;  // a response that was overtaken
  const bool has_two =
      samples_.size() > 1 && samples_[samples_.size() - 2].revision == store_revision;
  if (has_two) {
    samples_.back().observed_at = std::max(samples_.back().observed_at, now);
  } else {
    samples_.push_back({store_revision, std::max(samples_.back().observed_at, now)});
  }
}

void RevisionClock::compact(double now) {
  std::vector<RevisionSample> kept{samples_.front()};
  for (std::size_t i = 1; i + 1 < samples_.size(); ++i) {
    const double spacing =
        std::max(kMinSpacing_s, (now - samples_[i + 1].observed_at) * kSpacingByAge);
    if (samples_[i + 1].observed_at - kept.back().observed_at >= spacing)
      kept.push_back(samples_[i]);
  }
  kept.push_back(samples_.back());
  const std::size_t surplus = kept.size() - std::min(kept.size(), kMaxSamples);
  kept.erase(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(surplus));
  samples_ = std::move(kept);
}

std::vector<RevisionClock::RevisionSample>::const_iterator RevisionClock::first_reaching(
    std::uint64_t revision) const {
  return std::lower_bound(
      samples_.begin(), samples_.end(), revision,
      [](const RevisionSample& sample, std::uint64_t sought) { return sample.revision < sought; });
}

double RevisionClock::time_of(std::uint64_t revision, double now) const {
  const auto after = first_reaching(revision);
  if (after == samples_.end()) return now;
  if (after == samples_.begin()) return after->observed_at;
  const RevisionSample& before = *std::prev(after);
  const double part = static_cast<double>(revision - before.revision) /
                      static_cast<double>(after->revision - before.revision);
  return before.observed_at + (after->observed_at - before.observed_at) * part;
}

std::optional<double> RevisionClock::earliest_time_of(std::uint64_t revision) const {
  if (!first_observed_ || revision <= *first_observed_) return std::nullopt;
  const auto after = first_reaching(revision);
  if (after == samples_.begin()) return std::nullopt;
  return std::prev(after)->observed_at;
}

wire::Json RevisionClock::encode(double now) const {
  wire::Json samples = wire::Json::array();
  for (const RevisionSample& sample : samples_) {
    const double age_ms = std::max(0.0, std::round((now - sample.observed_at) * 1000));
    samples.push_back({sample.revision, static_cast<std::uint64_t>(age_ms)});
  }
  return {{"marks", std::move(samples)}};
}

RevisionClock::RevisionSample RevisionClock::decode_sample(const wire::Json& item,
                                                           double written_at) {
  if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
      !item[1].is_number_unsigned()) {
    throw wire::BadMessage("timeline: not a mark");
  }
  return {item[0].get<std::uint64_t>(),
          written_at - static_cast<double>(item[1].get<std::uint64_t>()) / 1000};
}

std::vector<RevisionClock::RevisionSample> RevisionClock::decode_samples(const wire::Json& record,
                                                                         std::uint64_t revision,
                                                                         double written_at,
                                                                         std::uint64_t end) {
  const wire::Json& list = wire::list(record, "marks");
  if (list.size() > 2 * kMaxSamples) throw wire::BadMessage("timeline: too many marks");
  std::vector<RevisionSample> found;
  for (const wire::Json& item : list) {
    const RevisionSample sample = decode_sample(item, written_at);
    const bool out_of_order = !found.empty() && (sample.revision < found.back().revision ||
                                                 sample.observed_at < found.back().observed_at);
    if (sample.revision > revision || written_at - sample.observed_at > kMaxAge_s || out_of_order) {
      throw wire::BadMessage("timeline: marks out of order");
    }
    if (sample.revision < end) found.push_back(sample);
  }
  return found;
}

void RevisionClock::restore(const wire::Json& record, std::uint64_t revision, double now) {
  if (!record.is_object()) throw wire::BadMessage("timeline: not a map");
  const double written_at = time_of(revision, now);
  const std::uint64_t own = samples_.empty() ? revision + 1 : samples_.front().revision;
  std::vector<RevisionSample> found = decode_samples(record, revision, written_at, own);
  if (revision < own) found.push_back({revision, written_at});
  samples_.insert(samples_.begin(), found.begin(), found.end());
  if (samples_.size() > kMaxSamples) compact(now);
}

bool is_obsolete(const std::string& key, const wire::Json&, std::uint32_t level) {
  return key == kTimelineKey && level < schema::kTimeline;
}

}  // namespace reachramp::kv
