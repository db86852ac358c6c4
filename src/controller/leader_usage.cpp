// The leader's accounts: what it logs of teams, classes and waiting jobs, and what it stores for
// its successors of their shares and of when revisions were given.
#include <spdlog/spdlog.h>

#include "controller/leader.h"
#include "placement/waits.h"
#include "zones/zone_loss_estimate.h"

namespace reachramp::controller {

namespace {

// What a leader that has seen nothing yet will not know of: at most this much of every job's age,
// and the time in which nobody led.
constexpr double kStoreTimeline_s = 5;
constexpr double kLogShares_s = 60;
constexpr std::size_t kLogWaiting = 3;  // of the jobs that wait longest, each with its reason
constexpr double kStoreShares_s = 30;
constexpr double kPassShares_s = 1;

}  // namespace

// One write every few seconds, while there are jobs whose age it tells.
void Leader::store_revision_clock(double now) {
  if (!schema::has(schema_, schema::kAges) || now - revision_clock_stored_at_ < kStoreTimeline_s ||
      cluster_.job_index.empty()) {
    return;
  }
  revision_clock_stored_at_ = now;
  const kv::Json value = revision_clock_.encode(now);
  if (kv::fits(value, platform_.lasting().value_kb)) {
    transaction_builder_.write({kv::kTimelineKey, value});
  }
}

void Leader::update_usage(double now) {
  if (now - usage_updated_at_ < kPassShares_s) return;
  usage_updated_at_ = now;
  usage_.advance(cluster_, now);
  if (now >= next_usage_log_at_) log_usage(now);
  store_usage(now);
}

void Leader::log_usage(double now) {
  next_usage_log_at_ = now + kLogShares_s;
  spdlog::info("served: {}", shares::describe(usage_.report(cluster_, now)));
  for (const Index job : placement::longest_waiting(cluster_, kLogWaiting, now)) {
    spdlog::info("job {} waits after {:.0f} s: {}", cluster_.jobs[job]->spec.id,
                 now - cluster_.jobs[job]->unblocked_at, placement::why_waits(cluster_, job, now));
  }
  const auto losses =
      zones::estimate_zone_loss(cluster_, placement::service_order(cluster_, now), now);
  for (const zones::ZoneLossEstimate& loss : losses) {
    if (losses.size() > 1) spdlog::info("{}", zones::describe(cluster_, loss));
  }
}

void Leader::store_usage(double now) {
  if (!schema::has(schema_, schema::kShares) || usage_unreadable_ ||
      now - usage_stored_at_ < kStoreShares_s || cluster_.job_index.empty()) {
    return;
  }
  usage_stored_at_ = now;
  const kv::Json value = usage_.encode();
  if (kv::fits(value, platform_.lasting().value_kb))
    transaction_builder_.write({shares::kSharesKey, value});
}

}  // namespace reachramp::controller
