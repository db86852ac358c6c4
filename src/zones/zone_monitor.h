// Detects lost zones by the missing heartbeats of their machines, and decides which machines of a
// lost zone are returned to the cloud, and when.
//
// A task on an unreachable machine may be placed again only when it is proven to have ended, either
// by a report of its worker or because the machine was returned. So the order in which machines are
// returned decides which jobs continue. Machines are returned as other zones have room for their
// tasks, those with the most urgent jobs first, and never all at once.
//
// The states are stored in the record `zones`, which is written when a state changes. So the next
// leader need not detect the loss again and does not rent in the zone; it returns no machine before
// it has listened for longer than a working machine's heartbeat ever takes. The progress of the
// returns is not stored, because it follows from the machines that are left.
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
// Whether the key belongs to a record of this directory that the schema level does not have, or has
// in another format.
bool is_obsolete(const std::string& key, const wire::Json& value, std::uint32_t level);

// The order is that of the numbers in the stored record.
enum class ZoneState { healthy, suspected, lost, recovering };
// The name of the state, for logs.
const char* name_of(ZoneState state);

// Numbers of machines of one zone at one moment, by their heartbeats.
struct ZoneObservation {
  std::size_t machines = 0;  // that should send heartbeats
  std::size_t overdue = 0;   // without a heartbeat for longer than a working machine ever takes
  std::size_t heard = 0;     // heard by this leader, and not overdue
};

// State of all zones. Used by the leader only.
class ZoneMonitor {
 public:
  // Returns the numbers for each zone, indexed by zone. `listening_since` is the time at which this
  // leader began to receive heartbeats, here and below.
  static std::vector<ZoneObservation> observe(const Cluster& cluster, double listening_since,
                                              double now);

  // Updates the states and sets Host::zone_suspected and Host::zone_lost. Called twice a second.
  void advance(Cluster& cluster, double listening_since, double now);
  // The state of the zone; healthy if it is not known.
  ZoneState state(Index zone) const;
  // When the zone last became reachable again. Silence of a machine before this time was caused by
  // its zone.
  double reachable_since(Index zone) const;
  // Returns the machines of lost zones that are to be returned to the cloud now.
  std::vector<Index> hosts_to_return(const Cluster& cluster, double listening_since, double now);
  // The record `zones`.
  wire::Json encode(const Cluster& cluster) const;
  // Restores the record of an earlier leader, which wrote it at `written_at` by the clock of this
  // leader. Throws wire::BadMessage and then changes nothing.
  void restore(const wire::Json& record, Cluster& cluster, double written_at, double now);
  bool has_unwritten_changes() const { return has_unwritten_changes_; }
  void note_written() { has_unwritten_changes_ = false; }
  // Pools in zones that are not healthy; no machine is rented there.
  std::set<Pool> closed_pools(const Cluster& cluster) const;

 private:
  struct ZoneStatus {
    ZoneState state = ZoneState::healthy;
    double state_since = 0;      // when the state was entered
    double suspected_since = 0;  // when the current outage was first suspected
    double reachable_since = -1e9;
    double silent_alone_since = 0;  // since when this zone is silent and the others are not
    int flaps = 0;
    // The state is an earlier leader's, and this leader has not heard the zone since.
    bool inherited = false;
  };
  double silence_s(const Cluster& cluster, const placement::Host& host, double listening_since,
                   double now) const;
  void update_state(const Cluster& cluster, Index zone, const ZoneObservation& observation,
                    const ZoneObservation& others, double listening_since, double now);
  void set_state(const Cluster& cluster, Index zone, ZoneState state, const std::string& reason,
                 double now);

  std::map<Index, ZoneStatus> zones_;
  double return_allowance_ = 0;  // how many machines may be returned now; fractions accumulate
  double returns_computed_at_ = -1;
  bool has_unwritten_changes_ = false;
};

}  // namespace reachramp::zones
