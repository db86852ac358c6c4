#include "drains/task_moves.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "placement/plan.h"
#include "placement/zone_rules.h"

namespace reachramp::drains {

namespace {

using placement::Host;
using placement::Resources;

// Enough for a checkpoint, a heartbeat and a start. After this time, other jobs make better use of
// the room.
constexpr double kReservationTimeout_s = 45;

struct CandidateHost {
  Index host = placement::kNone;
  std::uint32_t moving_tasks = 0;  // tasks of this move that run on the machine now
  bool has_image = false;
  std::uint32_t task_capacity = 0;
};

std::vector<CandidateHost> find_candidates(const Cluster& cluster, const Job& job,
                                           const std::map<Index, std::uint32_t>& tasks_by_host,
                                           double now) {
  std::vector<CandidateHost> candidates;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || host->to_be_replaced || !is_usable(cluster, *host, now) ||
        !may_run_on(cluster, job, *host)) {
      continue;
    }
    const auto failed = job.failed_on.find(i);
    if (failed != job.failed_on.end() && now < failed->second) continue;
    const auto at = tasks_by_host.find(i);
    const std::uint32_t moving_tasks = at == tasks_by_host.end() ? 0 : at->second;
    Resources available = host->free;
    available += job.resources_per_task.scaled(moving_tasks);
    const std::uint32_t task_capacity = available.capacity_for(job.resources_per_task);
    if (task_capacity > 0)
      candidates.push_back(
          {i, moving_tasks, host->cached_images.contains(job.spec.image), task_capacity});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const CandidateHost& a, const CandidateHost& b) {
                     if (a.moving_tasks != b.moving_tasks) return a.moving_tasks > b.moving_tasks;
                     if (a.has_image != b.has_image) return a.has_image;
                     return a.task_capacity < b.task_capacity;
                   });
  return candidates;
}

}  // namespace

std::map<std::uint32_t, Index> find_places(const Cluster& cluster, Index index,
                                           const std::vector<std::uint32_t>& tasks, double now) {
  const Job& job = *cluster.jobs[index];
  const std::set<std::uint32_t> moving(tasks.begin(), tasks.end());
  std::map<Index, std::uint32_t> tasks_by_host;
  std::map<Index, std::uint32_t> remaining_by_zone;  // number of tasks that do not move
  for (const auto& [task, attempt] : job.attempts) {
    if (moving.contains(task)) {
      ++tasks_by_host[attempt.host];
    } else if (cluster.hosts[attempt.host]->zone == placement::kNone) {
      return {};
    } else {
      ++remaining_by_zone[cluster.hosts[attempt.host]->zone];
    }
  }
  const std::vector<CandidateHost> candidates = find_candidates(cluster, job, tasks_by_host, now);
  std::set<Index> zones;
  for (const CandidateHost& candidate : candidates)
    zones.insert(cluster.hosts[candidate.host]->zone);
  // A job that must run in one zone needs a zone that holds all its tasks. For other jobs `kNone`
  // stands for all zones.
  std::vector<Index> zone_choices(zones.begin(), zones.end());
  if (!job.spec.single_zone) zone_choices = {placement::kNone};
  for (const Index zone : zone_choices) {
    placement::ZoneRules zone_rules(job, remaining_by_zone);
    std::map<std::uint32_t, Index> places;
    auto task = moving.begin();
    for (const CandidateHost& candidate : candidates) {
      const Index host_zone = cluster.hosts[candidate.host]->zone;
      if (zone != placement::kNone && host_zone != zone) continue;
      for (std::uint32_t i = 0;
           i < candidate.task_capacity && task != moving.end() && zone_rules.allows(host_zone);
           ++i) {
        zone_rules.add_task(host_zone);
        places[*task++] = candidate.host;
      }
    }
    if (task == moving.end()) return places;
  }
  return {};
}

void TaskMoves::try_reserve(Cluster& cluster, const Move& move, NextPlace& place) {
  Host& host = *cluster.find_host(place.host);
  if (!host.free.holds(move.resources_per_task)) return;
  host.free -= move.resources_per_task;
  ++host.reserved_tasks;
  place.is_reserved = true;
}

void TaskMoves::release(Cluster& cluster, Move& move) {
  for (auto& [task, place] : move.places) {
    Host* host = cluster.find_host(place.host);
    if (!std::exchange(place.is_reserved, false) || host == nullptr) continue;
    host->free += move.resources_per_task;
    --host->reserved_tasks;
  }
}

void TaskMoves::start(Cluster& cluster, Index index, const std::map<std::uint32_t, Index>& places,
                      double now) {
  const Job& job = *cluster.jobs[index];
  Move move{{}, job.resources_per_task, now};
  for (const auto& [task, host] : places) {
    move.places[task] = {cluster.hosts[host]->name, false};
    try_reserve(cluster, move, move.places[task]);
  }
  moves_[job.spec.id] = std::move(move);
}

// Whether the job still needs the move and all its new machines are still usable.
bool TaskMoves::is_still_possible(const Cluster& cluster, const Job& job, const Move& move,
                                  double now) const {
  if (job.cancelled || job.is_complete() || now - move.began_at > kReservationTimeout_s)
    return false;
  return std::all_of(move.places.begin(), move.places.end(), [&](const auto& one) {
    const auto at = cluster.host_index.find(one.second.host);
    return at != cluster.host_index.end() && is_usable(cluster, *cluster.hosts[at->second], now);
  });
}

// Places the tasks once all old attempts have ended and all room is reserved. Returns the number of
// tasks placed, or nothing if the move has to wait.
std::optional<int> TaskMoves::try_place(Cluster& cluster, Index index, Move& move, double now) {
  Job& job = *cluster.jobs[index];
  bool ready = now >= job.retry_not_before;
  for (auto& [task, place] : move.places) {
    // Room that an old attempt has freed is reserved before the next placement pass can use it.
    if (!place.is_reserved) try_reserve(cluster, move, place);
    ready = ready && place.is_reserved && !job.attempts.contains(task);
  }
  if (!ready) return std::nullopt;
  release(cluster, move);
  const std::uint64_t attempt = job.last_attempt + 1;
  const auto host_of = [&](const NextPlace& place) { return cluster.host_index.at(place.host); };
  const bool has_room =
      cluster.within_team_limit(job, static_cast<double>(move.places.size())) &&
      std::all_of(move.places.begin(), move.places.end(), [&](const auto& one) {
        return cluster.record_has_room(index, one.first, attempt, host_of(one.second));
      });
  if (!has_room) return 0;  // the job waits for placement like any other
  int placed = 0;
  for (const auto& [task, place] : move.places) {
    if (job.done[task]) continue;
    cluster.place(index, task, attempt, host_of(place), now);
    ++placed;
  }
  spdlog::info("job {}: {} tasks placed on other machines after {:.1f} s", job.spec.id, placed,
               now - move.began_at);
  return placed;
}

int TaskMoves::advance(Cluster& cluster, double now) {
  int placed = 0;
  for (auto at = moves_.begin(); at != moves_.end();) {
    Move& move = at->second;
    const auto job = cluster.job_index.find(at->first);
    std::optional<int> move_placed = 0;
    if (job != cluster.job_index.end() &&
        is_still_possible(cluster, *cluster.jobs[job->second], move, now)) {
      move_placed = try_place(cluster, job->second, move, now);
    } else {
      release(cluster, move);
    }
    placed += move_placed.value_or(0);
    at = move_placed ? moves_.erase(at) : std::next(at);
  }
  return placed;
}

}  // namespace reachramp::drains
