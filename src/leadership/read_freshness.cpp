#include "leadership/read_freshness.h"

#include <algorithm>

namespace reachramp::leadership {

namespace {

// For the time that a worker needs to end a task, and for what clock drift adds to durations.
constexpr double kTaskEndMargin_s = 1;
// A leader would exceed a shorter bound even in normal operation of the key-value store: watches
// return every second, and a response may take a few hundred milliseconds.
constexpr double kMinStalenessBound_s = 3;
// Members are polled once the latest read of the jobs is older than this, or than half of a short
// bound. In normal operation of the key-value store no read gets that old.
constexpr double kPollAfter_s = 3;
constexpr double kPollInterval_s = 0.5;
// Added to each window for the time that request and response take on the network.
constexpr double kWindowSlack_s = 1;

// Returns the bound with which tasks end within cancel_s; it may be too short for normal operation,
// or negative.
double exact_bound(const settings::WorkerTimings& workers) {
  return (workers.cancel_s - workers.lease_s) / (1 + 2 * kMaxClockDrift) - kTaskEndMargin_s;
}

}  // namespace

double staleness_bound(const settings::WorkerTimings& workers) {
  return std::max(exact_bound(workers), kMinStalenessBound_s);
}

bool staleness_bound_holds(const settings::WorkerTimings& workers) {
  return exact_bound(workers) >= kMinStalenessBound_s;
}

ReadFreshness::ReadFreshness(const settings::WorkerTimings& workers, std::size_t members,
                             double known_until)
    : bound_s_(staleness_bound(workers)),
      jobs_read_until_(known_until),
      members_known_until_(members, known_until) {}

void ReadFreshness::on_jobs_read(double asked_at) {
  jobs_read_until_ = std::max(jobs_read_until_, asked_at);
  for (double& known_until : members_known_until_) {
    known_until = std::max(known_until, jobs_read_until_);
  }
}

// The member compiled its list after it was asked and before its response came. So the time that
// the list covers began, at the latest, `covered` before the response came.
bool ReadFreshness::apply_digest(const CancellationDigest& digest) {
  if (digest.member >= members_known_until_.size()) return false;
  double& known_until = members_known_until_[digest.member];
  const double covered = std::min(digest.window_s, digest.covered_s) / (1 + 2 * kMaxClockDrift);
  if (digest.received_at < digest.asked_at || digest.received_at - covered > known_until) {
    return false;
  }
  known_until = std::max(known_until, digest.asked_at);
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
  if (now - jobs_read_until_ < std::min(kPollAfter_s, bound_s_ / 2)) return false;
  if (polled_at_ && now - *polled_at_ < kPollInterval_s) return false;
  polled_at_ = now;
  return true;
}

std::vector<double> ReadFreshness::query_windows(double now) const {
  std::vector<double> windows;
  for (const double known_until : members_known_until_) {
    windows.push_back(now - known_until + kWindowSlack_s);
  }
  return windows;
}

}  // namespace reachramp::leadership
