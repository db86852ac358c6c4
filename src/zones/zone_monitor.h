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

enum class ZoneState { healthy, suspected, lost, recovering };
const char* name_of(ZoneState state);

// How a zone looks at one moment.
struct ZoneObservation {
  std::size_t machines = 0;  // that should be heard
  std::size_t overdue = 0;   // that are silent for longer than reports lie apart
  std::size_t heard = 0;     // by this leader, and not overdue
};

class ZoneMonitor {
 public:
  // By zone. `since`: when this leader began to listen.
  static std::vector<ZoneObservation> observe(const Cluster& cluster, double since, double now);

  // Lets time pass, twice a second: tells states and marks machines (Host::cut, Host::lost).
  void advance(Cluster& cluster, double since, double now);
  ZoneState state(Index zone) const;
  // When the zone was last heard again; a machine's silence before it is not its own.
  double reachable_since(Index zone) const;
  // Machines of lost zones to be returned now.
  std::vector<Index> hosts_to_return(const Cluster& cluster, double since, double now);
  wire::Json encode(const Cluster& cluster) const;
  // What an earlier leader wrote, at `at` by our clock. Throws wire::BadMessage and is as it was.
  void restore(const wire::Json& record, Cluster& cluster, double at, double now);
  bool has_unwritten_changes() const { return has_unwritten_changes_; }
  void note_written() { has_unwritten_changes_ = false; }
  // Pools in zones that are not well: nothing is rented there.
  std::set<Pool> closed_pools(const Cluster& cluster) const;

 private:
  struct ZoneStatus {
    ZoneState state = ZoneState::healthy;
    double state_since = 0;      // of the state
    double suspected_since = 0;  // when it was first doubted, this time
    double reachable_since = -1e9;
    double silent_alone_since = 0;  // silent while the others are not
    int flaps = 0;
    bool inherited = false;  // and this leader has not heard of it otherwise
  };
  double silence_s(const Cluster& cluster, const placement::Host& host, double since,
                   double now) const;
  void update_state(const Cluster& cluster, Index zone, const ZoneObservation& sight,
                    const ZoneObservation& others, double since, double now);
  void set_state(const Cluster& cluster, Index zone, ZoneState state, const std::string& why,
                 double now);

  std::map<Index, ZoneStatus> zones_;
  double return_allowance_ = 0;  // machines that may be returned, fractions kept
  double returns_computed_at_ = -1;
  bool has_unwritten_changes_ = false;
};

}  // namespace reachramp::zones
