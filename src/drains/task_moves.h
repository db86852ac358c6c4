// Moves of running tasks to other machines. Room on the new machine is reserved from the moment
// that a task is told to stop until it is placed there.
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

// Finds a machine for each of these tasks of the job, as if all of them had ended. Considers only
// machines that are not to be replaced and that the job allows, in zones that the job's zone rules
// allow beside its other tasks. Returns machines by task number, or nothing if there is no room for
// all tasks.
std::map<std::uint32_t, Index> find_places(const Cluster& cluster, Index job,
                                           const std::vector<std::uint32_t>& tasks, double now);

// Tracks the moves of all jobs; a job has at most one move at a time.
class TaskMoves {
 public:
  // Starts a move and reserves the room that is already free. The caller stops the tasks.
  void start(Cluster& cluster, Index job, const std::map<std::uint32_t, Index>& places, double now);
  bool is_moving(const std::string& job) const { return moves_.contains(job); }
  std::size_t size() const { return moves_.size(); }
  // Called before each placement pass. Places the tasks of moves whose old attempts have ended,
  // reserves room that old attempts have freed, and releases reservations that cannot be used any
  // more or have timed out. Returns the number of tasks placed.
  int advance(Cluster& cluster, double now);

 private:
  struct NextPlace {
    std::string host;          // by name, since an index can be reused by another machine
    bool is_reserved = false;  // else the task's old attempt still takes up the room
  };
  struct Move {
    std::map<std::uint32_t, NextPlace> places;
    // Kept here because the job can end before the reservations are released.
    placement::Resources resources_per_task;
    double began_at = 0;
  };

  void try_reserve(Cluster& cluster, const Move& move, NextPlace& place);
  void release(Cluster& cluster, Move& move);
  std::optional<int> try_place(Cluster& cluster, Index job, Move& move, double now);
  bool is_still_possible(const Cluster& cluster, const Job& job, const Move& move,
                         double now) const;

  std::map<std::string, Move> moves_;  // by job id
};

}  // namespace reachramp::drains
