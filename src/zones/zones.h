// What state each zone is in, told from the silence of its machines, and which machines of a lost
// one go back, in which order.
//
// Work on a lost machine is placed again only with proof, and the proof is its return (or its
// worker's report); so which machines are returned, and when, is the decision. They go as other
// zones can take their work in, the most urgent first, and never all at once.
//
// Forgotten at a change of leaders: that a zone was lost. The next leader sees its machines unheard
// and finds it lost anew, a lease later at most; meanwhile it returns nothing there.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "placement/cluster.h"

namespace reachramp::zones {

using placement::Cluster;
using placement::Index;
using placement::Pool;

enum class State { well, doubtful, lost, returning };
const char* name_of(State state);

// How a zone looks at one moment.
struct Sight {
  std::size_t machines = 0;  // that should be heard
  std::size_t overdue = 0;   // that are silent for longer than reports lie apart
};

class Zones {
 public:
  // By zone. `since`: when this leader began to listen.
  static std::vector<Sight> look(const Cluster& cluster, double since, double now);

  // Lets time pass, twice a second: tells states and marks machines (Host::cut, Host::lost).
  void pass(Cluster& cluster, double since, double now);
  State state(Index zone) const;
  // When the zone was last heard again; a machine's silence before it is not its own.
  double heard_again_at(Index zone) const;
  // Machines of lost zones to be returned now.
  std::vector<Index> to_return(const Cluster& cluster, double since, double now);
  // Pools in zones that are not well: nothing is rented there.
  std::set<Pool> closed(const Cluster& cluster) const;

 private:
  struct Zone {
    State state = State::well;
    double since = 0;       // of the state
    double lost_since = 0;  // when it was first doubted, this time
    double heard_again_at = -1e9;
    int flaps = 0;
  };
  void judge(const Cluster& cluster, Index zone, const Sight& sight, const Sight& others,
             double now);
  void enter(const Cluster& cluster, Index zone, State state, const std::string& why, double now);

  std::map<Index, Zone> zones_;
  double allowance_ = 0;  // machines that may be returned, fractions kept
  double passed_at_ = -1;
};

}  // namespace reachramp::zones
