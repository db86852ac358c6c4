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
void Leader::store_timeline(double now) {
  if (!schema::has(level_, schema::kAges) || now - stored_timeline_at_ < kStoreTimeline_s ||
      cluster_.job_index.empty()) {
    return;
  }
  stored_timeline_at_ = now;
  const kv::Json value = timeline_.encode(now);
  if (kv::fits(value, platform_.lasting().value_kb)) {
    ledger_.write({kv::kTimelineKey, value});
  }
}

void Leader::pass_shares(double now) {
  if (now - shares_passed_at_ < kPassShares_s) return;
  shares_passed_at_ = now;
  accounts_.advance(cluster_, now);
  if (now >= log_shares_at_) log_shares(now);
  store_shares(now);
}

void Leader::log_shares(double now) {
  log_shares_at_ = now + kLogShares_s;
  spdlog::info("served: {}", shares::describe(accounts_.report(cluster_, now)));
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

void Leader::store_shares(double now) {
  if (!schema::has(level_, schema::kShares) || shares_unreadable_ ||
      now - stored_shares_at_ < kStoreShares_s || cluster_.job_index.empty()) {
    return;
  }
  stored_shares_at_ = now;
  const kv::Json value = accounts_.encode();
  if (kv::fits(value, platform_.lasting().value_kb)) ledger_.write({shares::kSharesKey, value});
}

}  // namespace reachramp::controller
