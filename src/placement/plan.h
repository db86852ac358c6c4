// First fit: which pending tasks go where. A pure function of the cluster and the time.
#pragma once

#include "placement/preempt.h"

namespace reachramp::placement {

// Whether the machine can be given tasks now.
bool is_usable(const Cluster& cluster, const Host& host, double now);

// Whether its worker ought to report: it has been up, or the cloud has listed it as running for so
// long that it must be. An earlier leader's machines are such before they are heard.
bool is_expected_to_report(const Cluster& cluster, const Host& host, double now);

// Whether the job may run on such machines, in their zone, and on the machine.
bool may_run_on(const Cluster& cluster, const Job& job, Index type, bool spot);
bool is_zone_allowed(const Job& job, Index zone);
bool may_run_on(const Cluster& cluster, const Job& job, const Host& host);

// Lends an idle machine that large tasks do not need, and that would go back, to small ones that
// wait. Once: if none takes it, or when they are through, it does go back.
bool try_backfill(Cluster& cluster, Index host);

// Of the cores that a team can use, what those of its jobs that have waited longest get before
// others of their rank.
inline constexpr double kLongWaitingShare = 0.1;

// Places what fits, marks machines to be drained, stops what must leave them. Returns how many
// attempts were placed.
int plan(Cluster& cluster, double now, const DisruptionApprover& gate = {},
         double share_of_waiting = kLongWaitingShare);

}  // namespace reachramp::placement
