// What to rent and what to give back: Tributary over the cluster as the leader knows it.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "acquire/tributary.h"
#include "placement/cluster.h"

namespace reachramp::acquire {

using placement::Cluster;
using placement::Index;
using placement::Pool;

struct ScaleOutRequest {
  Pool pool;
  int machines = 0;
};

// Work that may use the same pools and needs machines of the same make.
struct DemandGroup {
  std::vector<Pool> pools;
  std::vector<std::vector<double>> price_correlation;  // how the pools' prices move together
  placement::Resources mean_task_resources;            // of a mean task
  double tasks = 0;  // that should run at the same time for their jobs to be in time
  double ordinary_machine_tasks = 0;  // of these, what ordinary machines may be rented for
  Amounts total_amounts() const;
  // Slots for such tasks on the machines that more particular groups leave, by pool.
  std::vector<int> slots_by_pool;
  std::vector<int> machines_by_pool;
};

class Autoscaler {
 public:
  Autoscaler(const settings::Policy& policy);

  void record_prices(const Cluster& cluster, double now);
  // A machine of the pool, still among the cluster's, is gone.
  void record_reclaim(const Cluster& cluster, const Pool& pool);
  void update_exposure(const Cluster& cluster, double now);
  void record_refusal(const Pool& pool, double now);
  void reset_refusals(const Pool& pool);
  // A request that is out counts as if it were filled, and its pool is asked for nothing more.
  void set_pending_request(const Pool& pool, int machines);
  void clear_pending_request(const Pool& pool);

  // Nothing is rented there while they are closed.
  void set_closed_pools(std::set<Pool> pools);
  // The cloud has had none there of late.
  bool recently_refused(const Pool& pool, double now) const;
  bool may_request(const Pool& pool, double now) const;
  std::vector<ScaleOutRequest> scale_out_requests(const Cluster& cluster, double now) const;
  // Idle machines to return now, safest first.
  std::vector<Index> scale_in_candidates(const Cluster& cluster, double now) const;

  double reclaim_probability(const Pool& pool) const;
  // Of a machine, for an hour.
  double hourly_price(const Cluster& cluster, const Pool& pool) const;

 private:
  struct PoolHistory {
    std::deque<std::pair<double, double>> prices;
    double decayed_reclaims = 0;
    double exposure_horizons = 0;
    double refused_until = 0;
    int refusals = 0;
    int requested_machines = 0;
  };

  // Jobs that will be freed within a boot: machines are kept for them, but none are rented;
  // measured, that cost more than it gained.
  enum class BlockedJobs { excluded, included };
  // The work to rent for, the most particular first.
  std::vector<DemandGroup> demand_groups(const Cluster& cluster, double now,
                                         BlockedJobs waiting) const;
  // What the machines at hand, some left out, and those asked for hold of each group.
  void count_slots(const Cluster& cluster, double now, const std::vector<bool>& without,
                   std::vector<DemandGroup>& groups) const;
  std::vector<PoolOffer> pool_offers(const Cluster& cluster, const DemandGroup& group,
                                     double now) const;
  std::vector<std::vector<double>> price_correlations(const std::vector<Pool>& pools) const;
  // The least V of each group as covered.
  std::vector<double> lowest_utilities(const Cluster& cluster, double now,
                                       const std::vector<DemandGroup>& groups) const;

  settings::Policy policy_;
  std::map<Pool, PoolHistory> pool_histories_;
  std::set<Pool> closed_pools_;
  double exposure_updated_at_ = -1;
};

}  // namespace reachramp::acquire
