#include "leadership/read_freshness.h"

#include <algorithm>

namespace reachramp::leadership {

namespace {

// A task's end takes its worker a moment, and durations are measured by clocks that drift.
constexpr double kMargin_s = 1;
// Less could not be kept with a key-value store that is well: watches return every second, and an
// answer of it may take a few hundred milliseconds.
constexpr double kLeastBound_s = 3;
// While the key-value store is well its word is never so old; where the bound is short, half of it.
constexpr double kAskAfter_s = 3;
constexpr double kAskEvery_s = 0.5;
// Between asking and the member's look at its list, and its answer's way back.
constexpr double kSlack_s = 1;

double exact_bound(const settings::Workers& workers) {
  return (workers.cancel_s - workers.lease_s) / (1 + 2 * kDrift) - kMargin_s;
}

}  // namespace

double staleness_bound(const settings::Workers& workers) {
  return std::max(exact_bound(workers), kLeastBound_s);
}

bool bound_holds(const settings::Workers& workers) { return exact_bound(workers) >= kLeastBound_s; }

ReadFreshness::ReadFreshness(const settings::Workers& workers, std::size_t members, double known_to)
    : bound_s_(staleness_bound(workers)),
      jobs_read_until_(known_to),
      members_known_until_(members, known_to) {}

void ReadFreshness::on_jobs_read(double asked_at) {
  jobs_read_until_ = std::max(jobs_read_until_, asked_at);
  for (double& heard : members_known_until_) heard = std::max(heard, jobs_read_until_);
}

// The member looked at its list after it was asked and before its answer came. So what it listed
// began, at the latest, the covered time before the answer came.
bool ReadFreshness::apply(const CancellationDigest& word) {
  if (word.member >= members_known_until_.size()) return false;
  double& heard = members_known_until_[word.member];
  const double covered = std::min(word.window_s, word.covered_s) / (1 + 2 * kDrift);
  if (word.received_at < word.asked_at || word.received_at - covered > heard) return false;
  heard = std::max(heard, word.asked_at);
  return true;
}

double ReadFreshness::cancellations_known_until() const {
  return members_known_until_.empty()
             ? jobs_read_until_
             : *std::min_element(members_known_until_.begin(), members_known_until_.end());
}

bool ReadFreshness::may_answer(double now) const {
  return now < cancellations_known_until() + bound_s_;
}

bool ReadFreshness::should_poll_members(double now) {
  if (now - jobs_read_until_ < std::min(kAskAfter_s, bound_s_ / 2) ||
      now - asked_at_ < kAskEvery_s) {
    return false;
  }
  asked_at_ = now;
  return true;
}

std::vector<double> ReadFreshness::query_windows(double now) const {
  std::vector<double> windows;
  for (const double heard : members_known_until_) windows.push_back(now - heard + kSlack_s);
  return windows;
}

}  // namespace reachramp::leadership
