#include "drains/moves.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "placement/plan.h"
#include "placement/zone_rules.h"

namespace reachramp::drains {

namespace {

using placement::Host;
using placement::Resources;

// Saving, a report and a start; longer than that the room is better used by others.
constexpr double kKeepFor_s = 45;

struct Room {
  Index host = placement::kNone;
  std::uint32_t own = 0;  // of the tasks are there now
  bool image = false;
  std::uint32_t copies = 0;
};

std::vector<Room> rooms_for(const Cluster& cluster, const Job& job,
                            const std::map<Index, std::uint32_t>& own, double now) {
  std::vector<Room> rooms;
  for (Index i = 0; i < cluster.hosts.size(); ++i) {
    const auto& host = cluster.hosts[i];
    if (!host || host->to_be_replaced || !usable(cluster, *host, now) ||
        !allows(cluster, job, *host)) {
      continue;
    }
    const auto failed = job.failed_on.find(i);
    if (failed != job.failed_on.end() && now < failed->second) continue;
    const auto at = own.find(i);
    const std::uint32_t here = at == own.end() ? 0 : at->second;
    Resources room = host->free;
    room += job.resources_per_task.times(here);
    const std::uint32_t copies = room.copies(job.resources_per_task);
    if (copies > 0) rooms.push_back({i, here, host->images.contains(job.spec.image), copies});
  }
  std::stable_sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) {
    if (a.own != b.own) return a.own > b.own;
    if (a.image != b.image) return a.image;
    return a.copies < b.copies;
  });
  return rooms;
}

}  // namespace

std::map<std::uint32_t, Index> places_for(const Cluster& cluster, Index index,
                                          const std::vector<std::uint32_t>& tasks, double now) {
  const Job& job = *cluster.jobs[index];
  const std::set<std::uint32_t> moving(tasks.begin(), tasks.end());
  std::map<Index, std::uint32_t> own;
  std::map<Index, std::uint32_t> in_use;  // by zone, of the tasks that stay
  for (const auto& [task, attempt] : job.attempts) {
    if (moving.contains(task)) {
      ++own[attempt.host];
    } else if (cluster.hosts[attempt.host]->zone == placement::kNone) {
      return {};
    } else {
      ++in_use[cluster.hosts[attempt.host]->zone];
    }
  }
  const std::vector<Room> rooms = rooms_for(cluster, job, own, now);
  std::set<Index> zones;
  for (const Room& room : rooms) zones.insert(cluster.hosts[room.host]->zone);
  // A job that must share a zone goes to one that holds all of it; else any machine will do.
  std::vector<Index> tries(zones.begin(), zones.end());
  if (!job.spec.one_zone) tries = {placement::kNone};
  for (const Index zone : tries) {
    placement::ZoneRules zone_rules(job, in_use);
    std::map<std::uint32_t, Index> places;
    auto task = moving.begin();
    for (const Room& room : rooms) {
      const Index there = cluster.hosts[room.host]->zone;
      if (zone != placement::kNone && there != zone) continue;
      for (std::uint32_t i = 0; i < room.copies && task != moving.end() && zone_rules.allow(there);
           ++i) {
        zone_rules.take(there);
        places[*task++] = room.host;
      }
    }
    if (task == moving.end()) return places;
  }
  return {};
}

void Moves::keep(Cluster& cluster, const Move& move, Place& place) {
  Host& host = *cluster.host(place.host);
  if (!host.free.holds(move.need)) return;
  host.free -= move.need;
  ++host.reserved;
  place.kept = true;
}

void Moves::let_go(Cluster& cluster, Move& move) {
  for (auto& [task, place] : move.places) {
    Host* host = cluster.host(place.host);
    if (!std::exchange(place.kept, false) || host == nullptr) continue;
    host->free += move.need;
    --host->reserved;
  }
}

void Moves::begin(Cluster& cluster, Index index, const std::map<std::uint32_t, Index>& places,
                  double now) {
  const Job& job = *cluster.jobs[index];
  Move move{{}, job.resources_per_task, now};
  for (const auto& [task, host] : places) {
    move.places[task] = {cluster.hosts[host]->name, false};
    keep(cluster, move, move.places[task]);
  }
  moves_[job.spec.id] = std::move(move);
}

// Each of its places can still be had.
bool Moves::goes_on(const Cluster& cluster, const Job& job, const Move& move, double now) const {
  if (job.cancelled || job.complete() || now - move.began > kKeepFor_s) return false;
  return std::all_of(move.places.begin(), move.places.end(), [&](const auto& one) {
    const auto at = cluster.host_index.find(one.second.host);
    return at != cluster.host_index.end() && usable(cluster, *cluster.hosts[at->second], now);
  });
}

// Nothing yet: its old attempts are not all over, or have not given up all of its room.
std::optional<int> Moves::arrive(Cluster& cluster, Index index, Move& move, double now) {
  Job& job = *cluster.jobs[index];
  bool ready = now >= job.not_before;
  for (auto& [task, place] : move.places) {
    // What they give up is kept before anybody else sees it.
    if (!place.kept) keep(cluster, move, place);
    ready = ready && place.kept && !job.attempts.contains(task);
  }
  if (!ready) return std::nullopt;
  let_go(cluster, move);
  const std::uint64_t attempt = job.last_attempt + 1;
  const auto host_of = [&](const Place& place) { return cluster.host_index.at(place.host); };
  const bool fits = cluster.within_limit(job, static_cast<double>(move.places.size())) &&
                    std::all_of(move.places.begin(), move.places.end(), [&](const auto& one) {
                      return cluster.has_room(index, one.first, attempt, host_of(one.second));
                    });
  if (!fits) return 0;  // it waits like others
  int placed = 0;
  for (const auto& [task, place] : move.places) {
    if (job.done[task]) continue;
    cluster.place(index, task, attempt, host_of(place), now);
    ++placed;
  }
  spdlog::info("job {}: {} tasks go on elsewhere after {:.1f} s", job.spec.id, placed,
               now - move.began);
  return placed;
}

int Moves::settle(Cluster& cluster, double now) {
  int placed = 0;
  for (auto at = moves_.begin(); at != moves_.end();) {
    Move& move = at->second;
    const auto job = cluster.job_index.find(at->first);
    std::optional<int> arrived = 0;
    if (job != cluster.job_index.end() && goes_on(cluster, *cluster.jobs[job->second], move, now)) {
      arrived = arrive(cluster, job->second, move, now);
    } else {
      let_go(cluster, move);
    }
    placed += arrived.value_or(0);
    at = arrived ? moves_.erase(at) : std::next(at);
  }
  return placed;
}

}  // namespace reachramp::drains
