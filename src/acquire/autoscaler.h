// Decides which machines to rent and which to return, from the leader's cluster model. The choice
// of spot pools follows the Tributary algorithm (acquire/tributary.h).
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

// A number of machines to rent from one pool.
struct ScaleOutRequest {
  Pool pool;
  int machines = 0;
};

// The tasks of all jobs that may run on the same pools.
struct DemandGroup {
  std::vector<Pool> pools;
  std::vector<std::vector<double>> price_correlation;  // of the pools' spot prices
  placement::Resources mean_task_resources;
  double tasks = 0;  // tasks that have to run in parallel for their jobs to be in time
  double ordinary_machine_tasks = 0;  // of these, how many justify the price of ordinary machines
  // The resources that `tasks` mean tasks take.
  Amounts total_amounts() const;
  // For each of `pools`: the mean tasks that existing and requested machines have room for, after
  // groups with fewer pools have claimed theirs, and the machines with room for at least one.
  std::vector<int> slots_by_pool;
  std::vector<int> machines_by_pool;
};

// Chooses machines to rent and to return. Keeps the history of each pool that the choice needs:
// prices, reclaims, refused requests and pending requests.
class Autoscaler {
 public:
  Autoscaler(const settings::Policy& policy);

  // Records the current spot prices and drops those older than the price window.
  void record_prices(const Cluster& cluster, double now);
  // Records that a spot machine of the pool was reclaimed. The machine must still be in the
  // cluster.
  void record_reclaim(const Cluster& cluster, const Pool& pool);
  // Adds the time since the last call to the exposure of each spot pool that has machines, and
  // decays older reclaims and exposure.
  void update_exposure(const Cluster& cluster, double now);
  // Records that the cloud did not provide all requested machines. Nothing is requested from
  // the pool during a pause that grows with the number of refusals in a row.
  void record_refusal(const Pool& pool, double now);
  // Resets the count of refusals after a request was filled.
  void reset_refusals(const Pool& pool);
  // Records a request without an answer. Its machines count as if they were rented, and the pool
  // gets no further request until clear_pending_request().
  void set_pending_request(const Pool& pool, int machines);
  void clear_pending_request(const Pool& pool);

  // Replaces the set of pools from which no machines may be rented.
  void set_closed_pools(std::set<Pool> pools);
  // Whether the pool is in the pause that follows a refused request.
  bool recently_refused(const Pool& pool, double now) const;
  // Whether machines of the pool may be requested now.
  bool may_request(const Pool& pool, double now) const;
  // Returns the machines to rent now, at most one request for each pool.
  std::vector<ScaleOutRequest> scale_out_requests(const Cluster& cluster, double now) const;
  // Returns the idle machines that are not needed, those with the lowest probability of a reclaim
  // first.
  std::vector<Index> scale_in_candidates(const Cluster& cluster, double now) const;

  // The estimated probability that a machine of the pool is reclaimed within one horizon.
  double reclaim_probability(const Pool& pool) const;
  // The price of one machine of the pool for an hour; 1 if its type is not in the catalog.
  double hourly_price(const Cluster& cluster, const Pool& pool) const;

 private:
  // What is known of one pool.
  struct PoolHistory {
    std::deque<std::pair<double, double>> prices;  // time and spot price, oldest first
    double decayed_reclaims = 0;                   // each as a fraction of the pool's machines
    double exposure_horizons = 0;                  // time with machines in the pool, decayed
    double refused_until = 0;
    int refusals = 0;  // in a row
    int requested_machines = 0;
  };

  // Whether the demand includes blocked jobs that are expected to be unblocked within one boot
  // time. Idle machines are kept for such jobs, but none are rented: in measurements, renting for
  // them cost more than it gained.
  enum class BlockedJobs { excluded, included };
  // Groups the tasks that need machines by the pools they may use, groups with the fewest pools
  // first.
  std::vector<DemandGroup> demand_groups(const Cluster& cluster, double now,
                                         BlockedJobs blocked_jobs) const;
  // Sets the slots and machines of each group. Counts the machines that are not `excluded` (by host
  // index) and the requested ones.
  void count_slots(const Cluster& cluster, double now, const std::vector<bool>& excluded,
                   std::vector<DemandGroup>& groups) const;
  // Describes the group's pools for choose_purchases().
  std::vector<PoolOffer> pool_offers(const Cluster& cluster, const DemandGroup& group,
                                     double now) const;
  // The matrix of correlations between the spot prices of the pools.
  std::vector<std::vector<double>> price_correlations(const std::vector<Pool>& pools) const;
  // For each group, the expected utility of its current machines for the kind of resource for which
  // that is lowest.
  std::vector<double> lowest_utilities(const Cluster& cluster, double now,
                                       const std::vector<DemandGroup>& groups) const;

  settings::Policy policy_;
  std::map<Pool, PoolHistory> pool_histories_;
  std::set<Pool> closed_pools_;
  double exposure_updated_at_ = -1;
};

}  // namespace reachramp::acquire
