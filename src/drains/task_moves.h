// Work that is stopped so that it goes on elsewhere: its next place is kept for it from the moment
// it is told to stop until it is there.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::drains {

using placement::Cluster;
using placement::Index;
using placement::Job;

// Where these tasks of a job could go on if they all ended now: machines for each, that stay, that
// the job allows, in zones that its rules allow beside its other tasks. Empty if there is no room
// for all of them.
std::map<std::uint32_t, Index> find_places(const Cluster& cluster, Index job,
                                           const std::vector<std::uint32_t>& tasks, double now);

class TaskMoves {
 public:
  // Keeps the places. The tasks are to be stopped by the caller.
  void start(Cluster& cluster, Index job, const std::map<std::uint32_t, Index>& places, double now);
  bool is_moving(const std::string& job) const { return moves_.contains(job); }
  std::size_t size() const { return moves_.size(); }
  // Before each plan: places what has ended, keeps what its old machines have given up, and lets
  // places go that can be used no more or were kept too long. Returns how many tasks were placed.
  int advance(Cluster& cluster, double now);

 private:
  struct NextPlace {
    std::string host;          // an index may be another machine's by then
    bool is_reserved = false;  // its room; else the task's own attempt still takes it
  };
  struct Move {
    std::map<std::uint32_t, NextPlace> places;
    placement::Resources resources_per_task;  // of each, also when the job is gone
    double began_at = 0;
  };

  void try_reserve(Cluster& cluster, const Move& move, NextPlace& place);
  void release(Cluster& cluster, Move& move);
  std::optional<int> try_place(Cluster& cluster, Index job, Move& move, double now);
  bool is_still_possible(const Cluster& cluster, const Job& job, const Move& move,
                         double now) const;

  std::map<std::string, Move> moves_;  // by job
};

}  // namespace reachramp::drains
