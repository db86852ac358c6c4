#include "state/timeline.h"

#include <algorithm>
#include <cmath>

#include "levels/table.h"

namespace reachramp::state {

namespace {

constexpr double kMarkEvery_s = 0.25;
// Marks lie this part of their age apart, so that an hour takes a few dozen of them.
constexpr double kApart = 1.0 / 8;
constexpr double kLeastApart_s = 1;
constexpr std::size_t kMostMarks = 64;
constexpr double kLongest_s = 1e7;

}  // namespace

void Timeline::note(std::uint64_t epoch, double now) {
  if (!first_noted_) first_noted_ = epoch;
  if (marks_.empty() || epoch > marks_.back().stamp) {
    // Between two marks close by, one or the other is soon enough.
    if (!marks_.empty() && now - marks_.back().at < kMarkEvery_s) return;
    marks_.push_back({epoch, now});
    if (marks_.size() > kMostMarks) thin(now);
    return;
  }
  if (epoch < marks_.back().stamp) return;  // an answer that was on its way for longer
  const bool twice = marks_.size() > 1 && marks_[marks_.size() - 2].stamp == epoch;
  if (twice) {
    marks_.back().at = std::max(marks_.back().at, now);
  } else {
    marks_.push_back({epoch, std::max(marks_.back().at, now)});
  }
}

void Timeline::thin(double now) {
  std::vector<Mark> kept{marks_.front()};
  for (std::size_t i = 1; i + 1 < marks_.size(); ++i) {
    const double apart = std::max(kLeastApart_s, (now - marks_[i + 1].at) * kApart);
    if (marks_[i + 1].at - kept.back().at >= apart) kept.push_back(marks_[i]);
  }
  kept.push_back(marks_.back());
  const std::size_t surplus = kept.size() - std::min(kept.size(), kMostMarks);
  kept.erase(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(surplus));
  marks_ = std::move(kept);
}

double Timeline::time_of(std::uint64_t stamp, double now) const {
  const auto by =
      std::lower_bound(marks_.begin(), marks_.end(), stamp,
                       [](const Mark& mark, std::uint64_t s) { return mark.stamp < s; });
  if (by == marks_.end()) return now;
  if (by == marks_.begin()) return by->at;
  const Mark& before = *std::prev(by);
  const double part =
      static_cast<double>(stamp - before.stamp) / static_cast<double>(by->stamp - before.stamp);
  return before.at + (by->at - before.at) * part;
}

std::optional<double> Timeline::not_before(std::uint64_t stamp) const {
  if (!first_noted_ || stamp <= *first_noted_) return std::nullopt;
  const auto by =
      std::lower_bound(marks_.begin(), marks_.end(), stamp,
                       [](const Mark& mark, std::uint64_t s) { return mark.stamp < s; });
  if (by == marks_.begin()) return std::nullopt;
  return std::prev(by)->at;
}

wire::Json Timeline::encode(double now) const {
  wire::Json marks = wire::Json::array();
  for (const Mark& mark : marks_) {
    marks.push_back({mark.stamp, static_cast<std::uint64_t>(
                                     std::max(0.0, std::round((now - mark.at) * 1000)))});
  }
  return {{"marks", std::move(marks)}};
}

void Timeline::inherit(const wire::Json& record, std::uint64_t stamp, double now) {
  if (!record.is_object()) throw wire::BadMessage("timeline: not a map");
  const double written_at = time_of(stamp, now);
  const std::uint64_t own = marks_.empty() ? stamp + 1 : marks_.front().stamp;
  std::vector<Mark> found;
  const wire::Json& list = wire::list(record, "marks");
  if (list.size() > 2 * kMostMarks) throw wire::BadMessage("timeline: too many marks");
  for (const wire::Json& item : list) {
    if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
        !item[1].is_number_unsigned()) {
      throw wire::BadMessage("timeline: not a mark");
    }
    const Mark mark{item[0].get<std::uint64_t>(),
                    written_at - static_cast<double>(item[1].get<std::uint64_t>()) / 1000};
    if (mark.stamp > stamp || written_at - mark.at > kLongest_s ||
        (!found.empty() && (mark.stamp < found.back().stamp || mark.at < found.back().at))) {
      throw wire::BadMessage("timeline: marks out of order");
    }
    if (mark.stamp < own) found.push_back(mark);
  }
  if (stamp < own) found.push_back({stamp, written_at});
  marks_.insert(marks_.begin(), found.begin(), found.end());
  if (marks_.size() > kMostMarks) thin(now);
}

bool is_stale(const std::string& key, const wire::Json&, std::uint32_t level) {
  return key == kTimelineKey && level < levels::kAges;
}

}  // namespace reachramp::state
