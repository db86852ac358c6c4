#include "kv/revision_clock.h"

#include <algorithm>
#include <cmath>

#include "schema/schema_levels.h"

namespace reachramp::kv {

namespace {

constexpr double kMarkEvery_s = 0.25;
// Marks lie this part of their age apart, so that an hour takes a few dozen of them.
constexpr double kApart = 1.0 / 8;
constexpr double kLeastApart_s = 1;
constexpr std::size_t kMostMarks = 64;
constexpr double kLongest_s = 1e7;

}  // namespace

void RevisionClock::observe(std::uint64_t store_revision, double now) {
  if (!first_noted_) first_noted_ = store_revision;
  if (marks_.empty() || store_revision > marks_.back().revision) {
    // Between two marks close by, one or the other is soon enough.
    if (!marks_.empty() && now - marks_.back().at < kMarkEvery_s) return;
    marks_.push_back({store_revision, now});
    if (marks_.size() > kMostMarks) compact(now);
    return;
  }
  if (store_revision < marks_.back().revision) return;  // an answer that was on its way for longer
  const bool twice = marks_.size() > 1 && marks_[marks_.size() - 2].revision == store_revision;
  if (twice) {
    marks_.back().at = std::max(marks_.back().at, now);
  } else {
    marks_.push_back({store_revision, std::max(marks_.back().at, now)});
  }
}

void RevisionClock::compact(double now) {
  std::vector<RevisionMark> kept{marks_.front()};
  for (std::size_t i = 1; i + 1 < marks_.size(); ++i) {
    const double apart = std::max(kLeastApart_s, (now - marks_[i + 1].at) * kApart);
    if (marks_[i + 1].at - kept.back().at >= apart) kept.push_back(marks_[i]);
  }
  kept.push_back(marks_.back());
  const std::size_t surplus = kept.size() - std::min(kept.size(), kMostMarks);
  kept.erase(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(surplus));
  marks_ = std::move(kept);
}

double RevisionClock::time_of(std::uint64_t revision, double now) const {
  const auto by =
      std::lower_bound(marks_.begin(), marks_.end(), revision,
                       [](const RevisionMark& mark, std::uint64_t s) { return mark.revision < s; });
  if (by == marks_.end()) return now;
  if (by == marks_.begin()) return by->at;
  const RevisionMark& before = *std::prev(by);
  const double part = static_cast<double>(revision - before.revision) /
                      static_cast<double>(by->revision - before.revision);
  return before.at + (by->at - before.at) * part;
}

std::optional<double> RevisionClock::earliest_time_of(std::uint64_t revision) const {
  if (!first_noted_ || revision <= *first_noted_) return std::nullopt;
  const auto by =
      std::lower_bound(marks_.begin(), marks_.end(), revision,
                       [](const RevisionMark& mark, std::uint64_t s) { return mark.revision < s; });
  if (by == marks_.begin()) return std::nullopt;
  return std::prev(by)->at;
}

wire::Json RevisionClock::encode(double now) const {
  wire::Json marks = wire::Json::array();
  for (const RevisionMark& mark : marks_) {
    marks.push_back({mark.revision, static_cast<std::uint64_t>(
                                        std::max(0.0, std::round((now - mark.at) * 1000)))});
  }
  return {{"marks", std::move(marks)}};
}

void RevisionClock::restore(const wire::Json& record, std::uint64_t revision, double now) {
  if (!record.is_object()) throw wire::BadMessage("timeline: not a map");
  const double written_at = time_of(revision, now);
  const std::uint64_t own = marks_.empty() ? revision + 1 : marks_.front().revision;
  std::vector<RevisionMark> found;
  const wire::Json& list = wire::list(record, "marks");
  if (list.size() > 2 * kMostMarks) throw wire::BadMessage("timeline: too many marks");
  for (const wire::Json& item : list) {
    if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
        !item[1].is_number_unsigned()) {
      throw wire::BadMessage("timeline: not a mark");
    }
    const RevisionMark mark{item[0].get<std::uint64_t>(),
                            written_at - static_cast<double>(item[1].get<std::uint64_t>()) / 1000};
    if (mark.revision > revision || written_at - mark.at > kLongest_s ||
        (!found.empty() && (mark.revision < found.back().revision || mark.at < found.back().at))) {
      throw wire::BadMessage("timeline: marks out of order");
    }
    if (mark.revision < own) found.push_back(mark);
  }
  if (revision < own) found.push_back({revision, written_at});
  marks_.insert(marks_.begin(), found.begin(), found.end());
  if (marks_.size() > kMostMarks) compact(now);
}

bool is_stale(const std::string& key, const wire::Json&, std::uint32_t level) {
  return key == kTimelineKey && level < schema::kAges;
}

}  // namespace reachramp::kv
