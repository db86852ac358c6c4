// The leader's accounting: it logs how teams, classes and waiting jobs are served, and stores for
// its successors the usage accounts and the revision clock.
#include <spdlog/spdlog.h>

#include "controller/leader.h"
#include "placement/wait_reasons.h"
#include "zones/zone_loss_estimate.h"

namespace reachramp::controller {

namespace {

// A new leader underestimates the age of jobs by at most this interval plus the time without a
// leader.
constexpr double kStoreRevisionClockInterval_s = 5;
constexpr double kLogUsageInterval_s = 60;
// How many jobs are logged, of those that have waited longest, each with the reason.
constexpr std::size_t kMaxLoggedWaitingJobs = 3;
constexpr double kStoreUsageInterval_s = 30;
constexpr double kUpdateUsageInterval_s = 1;
// The end of a job is stored within about a second in normal operation of the key-value store.
constexpr double kLogUnstoredEndsAfter_s = 3;
constexpr double kLogUnstoredEndsInterval_s = 5;

}  // namespace

// Writes the revision clock every few seconds while there are jobs: their ages are computed from
// it.
void Leader::store_revision_clock(double now) {
  if (!schema::has_level(schema_, schema::kTimeline) ||
      now - revision_clock_stored_at_ < kStoreRevisionClockInterval_s ||
      cluster_.job_index.empty()) {
    return;
  }
  revision_clock_stored_at_ = now;
  const kv::Json value = revision_clock_.encode(now);
  if (kv::fits(value, platform_.strictest_store_limits().value_kb)) {
    transaction_builder_.queue_write({kv::kTimelineKey, value});
  }
}

void Leader::update_usage(double now) {
  if (now - usage_updated_at_ < kUpdateUsageInterval_s) return;
  usage_updated_at_ = now;
  usage_.advance(cluster_, now);
  if (now >= next_usage_log_at_) log_usage(now);
  store_usage(now);
}

void Leader::log_unstored_ends(double now) {
  if (cluster_.finished_jobs.empty()) {
    unstored_ends_since_.reset();
    return;
  }
  if (!unstored_ends_since_) unstored_ends_since_ = now;
  const double since = std::max(*unstored_ends_since_ + kLogUnstoredEndsAfter_s,
                                unstored_ends_logged_at_.value_or(0) + kLogUnstoredEndsInterval_s);
  if (now < since) return;
  unstored_ends_logged_at_ = now;
  spdlog::info("the ends of {} jobs are not stored yet, of some for {:.1f} s",
               cluster_.finished_jobs.size(), now - *unstored_ends_since_);
}

void Leader::log_usage(double now) {
  next_usage_log_at_ = now + kLogUsageInterval_s;
  spdlog::info("served: {}", shares::describe(usage_.report(cluster_, now)));
  for (const Index job : placement::longest_waiting_jobs(cluster_, kMaxLoggedWaitingJobs, now)) {
    spdlog::info("job {} has waited for {:.0f} s: {}", cluster_.jobs[job]->spec.id,
                 now - cluster_.jobs[job]->unblocked_at,
                 placement::wait_reason(cluster_, job, now));
  }
  const auto losses =
      zones::estimate_zone_loss(cluster_, placement::service_order(cluster_, now), now);
  for (const zones::ZoneLossEstimate& loss : losses) {
    if (losses.size() > 1) spdlog::info("{}", zones::describe(cluster_, loss));
  }
}

void Leader::store_usage(double now) {
  if (!schema::has_level(schema_, schema::kShares) || usage_unreadable_ ||
      now - usage_stored_at_ < kStoreUsageInterval_s || cluster_.job_index.empty()) {
    return;
  }
  usage_stored_at_ = now;
  const kv::Json value = usage_.encode();
  if (kv::fits(value, platform_.strictest_store_limits().value_kb))
    transaction_builder_.queue_write({shares::kSharesKey, value});
}

}  // namespace reachramp::controller
