#include "placement/order.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <tuple>

#include "placement/plan.h"

namespace reachramp::placement {

namespace {

// A job that is late goes first again after this many times what was expected of it.
constexpr double kPatience = 3;

double urgency(const Job& job, double now) {
  const double next = job.next_start_by(now);
  if (next != kNever || job.start_by.empty()) return next;
  const double expected = job.start_by.back() - job.unblocked_at;
  return now - job.unblocked_at > kPatience * std::max(expected, 1.0) ? -kNever : kNever;
}

// Cores that arrays can count on: machines that are kept for larger tasks are not theirs.
double common_cores(const Cluster& cluster, double now) {
  double cores = 0;
  for (const auto& host : cluster.hosts) {
    if (!host || !usable(cluster, *host, now)) continue;
    const auto* type = cluster.type_of(*host);
    if (type != nullptr && !cluster.reserved_for_large.contains({host->type, host->spot})) {
      cores += type->cpus;
    }
  }
  return cores;
}

// Cores, by team, that its arrays can count on: what its limit leaves beside gangs and services, or
// all of the common ones. Measured against all machines alone, a team behind its limit seemed to
// have room for its largest jobs, and all of its jobs were late with them.
std::vector<double> cores_by_team(const Cluster& cluster, double common) {
  std::vector<double> beside(cluster.used.size());
  for (const auto& job : cluster.jobs) {
    if (!job || job->team == kNone || job->spec.shape == jobs::Shape::array) continue;
    beside[job->team] += job->resources_per_task.cpus * static_cast<double>(job->attempts.size());
  }
  std::vector<double> cores(beside.size(), common);
  for (Index team = 0; team < cores.size(); ++team) {
    const double limit = cluster.platform.teams[team].cpus_max;
    if (limit > 0) cores[team] = std::clamp(limit - beside[team], 1.0, std::max(1.0, common));
  }
  return cores;
}

// Aims count jobs, whatever their size: where arrays cannot all be in time, the largest wait.
// `order` is sorted by guarantee, priority and urgency.
void favour_the_many(const Cluster& cluster, std::vector<Index>& order,
                     const std::vector<bool>& guaranteed, double now) {
  const double cores = common_cores(cluster, now);
  if (cores <= 0) return;
  const std::vector<double> by_team = cores_by_team(cluster, cores);
  const auto rank = [&](Index i) {
    const Job& job = *cluster.jobs[i];
    return std::tuple(job.fails_everywhere(), !guaranteed[i], -static_cast<int>(job.priority));
  };
  for (auto begin = order.begin(); begin != order.end();) {
    const auto end =
        std::find_if(begin, order.end(), [&](Index i) { return rank(i) != rank(*begin); });
    std::vector<Index> arrays;
    for (auto at = begin; at != end; ++at) {
      const Job& job = *cluster.jobs[*at];
      if (job.spec.shape == jobs::Shape::array && urgency(job, now) != kNever)
        arrays.push_back(*at);
    }
    // First what each team's limit does not let through in time, then of the rest what all machines
    // do not.
    std::vector<bool> later(cluster.jobs.size());
    const auto drop = [&](double of, std::optional<Index> team) {
      std::vector<Index> of_these;
      std::vector<Claim> claims;
      for (const Index i : arrays) {
        const Job& job = *cluster.jobs[i];
        if (later[i] || (team && job.team != *team)) continue;
        const double tasks = job.spec.tasks - job.done_count;
        of_these.push_back(i);
        claims.push_back(
            {tasks * job.resources_per_task.cpus * job.spec.estimate_s / of, urgency(job, now)});
      }
      const std::vector<bool> dropped = dropped_for_the_rest(claims, now);
      for (std::size_t i = 0; i < of_these.size(); ++i) later[of_these[i]] = dropped[i];
    };
    for (Index team = 0; team < by_team.size(); ++team) {
      if (by_team[team] < cores) drop(by_team[team], team);
    }
    drop(cores, std::nullopt);
    // Before those that are late already, which have no due at all.
    const auto late =
        std::find_if(begin, end, [&](Index i) { return urgency(*cluster.jobs[i], now) == kNever; });
    std::stable_partition(begin, late, [&](Index i) { return !later[i]; });
    begin = end;
  }
}

}  // namespace

std::vector<bool> dropped_for_the_rest(const std::vector<Claim>& claims, double now) {
  std::vector<bool> dropped(claims.size());
  std::priority_queue<std::pair<double, std::size_t>> longest;
  double end = now;
  for (std::size_t i = 0; i < claims.size(); ++i) {
    end += claims[i].length;
    longest.push({claims[i].length, i});
    if (end <= claims[i].due || claims[i].due == -kNever) continue;
    end -= longest.top().first;
    dropped[longest.top().second] = true;
    longest.pop();
  }
  return dropped;
}

Service service_order(const Cluster& cluster, double now) {
  std::vector<Index> order;
  for (Index i = 0; i < cluster.jobs.size(); ++i) {
    const auto& job = cluster.jobs[i];
    if (job && !job->cancelled && !job->complete() && job->team != kNone && !job->waits()) {
      order.push_back(i);
    }
  }
  std::sort(order.begin(), order.end(), [&](Index a, Index b) {
    return cluster.jobs[a]->accepted_revision < cluster.jobs[b]->accepted_revision;
  });
  std::vector<Usage> claimed(cluster.used.size());
  std::vector<bool> guaranteed(cluster.jobs.size());
  for (const Index i : order) {
    const Job& job = *cluster.jobs[i];
    if (job.fails_everywhere()) continue;
    const settings::Team& team = cluster.platform.teams[job.team];
    Usage& sum = claimed[job.team];
    const double left = job.spec.tasks - job.done_count;
    sum.cpus += left * job.resources_per_task.cpus;
    sum.gpus += left * job.resources_per_task.gpus;
    guaranteed[i] = (team.cpus > 0 || team.gpus > 0) && sum.cpus <= team.cpus + 1e-6 &&
                    (job.resources_per_task.gpus <= 0 || sum.gpus <= team.gpus + 1e-6);
  }
  std::stable_sort(order.begin(), order.end(), [&](Index a, Index b) {
    const Job& x = *cluster.jobs[a];
    const Job& y = *cluster.jobs[b];
    if (x.fails_everywhere() != y.fails_everywhere()) return y.fails_everywhere();
    if (guaranteed[a] != guaranteed[b]) return bool(guaranteed[a]);
    if (x.priority != y.priority) return x.priority > y.priority;
    return urgency(x, now) < urgency(y, now);
  });
  favour_the_many(cluster, order, guaranteed, now);
  return {std::move(order), std::move(guaranteed)};
}

}  // namespace reachramp::placement
