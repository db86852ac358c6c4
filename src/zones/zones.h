// What state each zone is in, told from the silence of its machines, and which machines of a lost
// one go back, in which order.
//
// Work on a lost machine is placed again only with proof, and the proof is its return (or its
// worker's report); so which machines are returned, and when, is the decision. They go as other
// zones can take their work in, the most urgent first, and never all at once.
//
// Kept across leaders in one record, `zones`, written when a state changes: the next leader neither
// waits for the silence anew nor rents there, and returns nothing before it has listened for as
// long as reports may take. Forgotten: how far a return in order had come, which follows from what
// is left.
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

inline constexpr const char* kZonesKey = "zones";
// Whether it is a record of this slice that the level does not have, or has in another form.
bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level);

enum class State { healthy, suspected, lost, recovering };
const char* name_of(State state);

// How a zone looks at one moment.
struct ZoneObservation {
  std::size_t machines = 0;  // that should be heard
  std::size_t overdue = 0;   // that are silent for longer than reports lie apart
  std::size_t heard = 0;     // by this leader, and not overdue
};

class Zones {
 public:
  // By zone. `since`: when this leader began to listen.
  static std::vector<ZoneObservation> look(const Cluster& cluster, double since, double now);

  // Lets time pass, twice a second: tells states and marks machines (Host::cut, Host::lost).
  void advance(Cluster& cluster, double since, double now);
  State state(Index zone) const;
  // When the zone was last heard again; a machine's silence before it is not its own.
  double reachable_since(Index zone) const;
  // Machines of lost zones to be returned now.
  std::vector<Index> to_return(const Cluster& cluster, double since, double now);
  wire::Json encode(const Cluster& cluster) const;
  // What an earlier leader wrote, at `at` by our clock. Throws wire::BadMessage and is as it was.
  void restore(const wire::Json& record, Cluster& cluster, double at, double now);
  bool has_changed() const { return changed_; }
  void note_written() { changed_ = false; }
  // Pools in zones that are not well: nothing is rented there.
  std::set<Pool> closed(const Cluster& cluster) const;

 private:
  struct Zone {
    State state = State::healthy;
    double since = 0;       // of the state
    double lost_since = 0;  // when it was first doubted, this time
    double heard_again_at = -1e9;
    double apart_since = 0;  // silent while the others are not
    int flaps = 0;
    bool inherited = false;  // and this leader has not heard of it otherwise
  };
  double silence(const Cluster& cluster, const placement::Host& host, double since,
                 double now) const;
  void judge(const Cluster& cluster, Index zone, const ZoneObservation& sight,
             const ZoneObservation& others, double since, double now);
  void enter(const Cluster& cluster, Index zone, State state, const std::string& why, double now);

  std::map<Index, Zone> zones_;
  double allowance_ = 0;  // machines that may be returned, fractions kept
  double passed_at_ = -1;
  bool changed_ = false;
};

}  // namespace reachramp::zones
