// Emptying machines by the operators' rules, within each team's budget of disruption, and replacing
// them in steps. Every voluntary stop of running work is decided here, or asked of the budgets that
// stand here; notices, cancellations and broken gangs never wait, and are counted.
//
// What the rules say of a machine follows from its age, name and pool, so a new leader marks the
// same machines. It forgets which of them the last step had begun to empty (it begins with the
// emptiest, which are these) and for how long a machine has been emptying (attrition begins anew:
// less is stopped). Sizes of steps and halts are kept in `drains/used` beside the budgets.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "drains/budgets.h"
#include "drains/moves.h"
#include "drains/rules.h"

namespace reachramp::drains {

using placement::Host;
using placement::Pool;

// How the fleet stands, as far as it bears on what is voluntary.
struct Conditions {
  bool rolling = false;                      // controllers are being changed, or their levels are
  std::function<bool(const Pool&)> refused;  // the cloud has none there of late
  std::function<double(const Pool&)> hour_price;  // of a machine
};

struct DrainActions {
  std::vector<Index> scale_in;  // machines to be returned
  std::vector<Index>
      urgent_stops;  // machines to be told of stops at once: a gang's must come together
};

class Drains {
 public:
  // Takes over what is in force, and when serials were accepted, by the leader's clock.
  void rule(Rules rules, std::map<std::uint64_t, double> accepted, double now);
  void end_all(Cluster& cluster);
  bool in_force() const { return rules_.serial > 0; }
  std::uint64_t serial() const { return rules_.serial; }

  // Before each plan. Returns how many tasks were placed.
  int settle(Cluster& cluster, double now) { return moves_.settle(cluster, now); }
  // Marks machines, stops what may be stopped, takes steps on; twice a second.
  DrainActions advance(Cluster& cluster, const Conditions& conditions, double now);
  // Whether these jobs may be stopped for other work's sake; they are then.
  bool may_yield(const Cluster& cluster, const std::vector<Index>& jobs, double now);
  // Pools that are to be left: nothing is rented there.
  std::set<Pool> closed(const Cluster& cluster) const;

  wire::Json encode(const Cluster& cluster, double now) const;
  // Throws wire::BadMessage and is as it was.
  void restore(const wire::Json& record, double now);
  // Whether encode() would say something new.
  bool has_changed() const { return changed_; }
  void note_written() { changed_ = false; }

 private:
  enum class Phase { idle, renting, emptying, settling };
  // Pools of one type and kind: one zone of them at a time.
  struct RuleLine {
    Phase phase = Phase::idle;
    Index zone = placement::kNone;
    std::set<std::string> old;    // machines of the step
    std::set<std::string> fresh;  // rented in its pool since it began
    std::size_t failed = 0;       // of these
    double since = 0;             // of the phase
    double began = 0;             // of the step
    std::uint32_t size = 0;
    bool refused = false;    // the cloud had none in its pool while it went on
    double starved_at = -1;  // when a step ended of which nothing came back; -1: not so
    int halts = 0;
    double halted_until = 0;
    double told_at = -1e9;
  };
  using LineKey = std::pair<Index, bool>;  // type, spot

  const Entry* entry_of(const Cluster& cluster, const Host& host, double now) const;
  void mark(Cluster& cluster, double now);
  void step(Cluster& cluster, const Conditions& conditions, double now);
  bool misses_deadline(const Cluster& cluster, const LineKey& key, RuleLine& line,
                       double now) const;
  void begin_step(Cluster& cluster, const LineKey& key, RuleLine& line, double now);
  void watch_step(Cluster& cluster, const LineKey& key, RuleLine& line,
                  const Conditions& conditions, double now);
  void empty(Cluster& cluster, Index host, DrainActions& wishes, double now);
  void stop(Cluster& cluster, Index job, const std::vector<std::uint32_t>& tasks,
            DrainActions& wishes, double now);
  double price_left(const Cluster& cluster, const Conditions& conditions, double now) const;
  void tell(const Cluster& cluster, const Conditions& conditions, double now);
  std::string name_of(const Cluster& cluster, const LineKey& key) const;

  Rules rules_;
  std::map<std::uint64_t, double> accepted_;
  Budgets budgets_;
  Moves moves_;
  std::map<LineKey, RuleLine> lines_;
  std::map<std::string, std::pair<std::uint32_t, int>> inherited_;   // size and halts, by line
  std::map<std::string, double> going_since_;                        // machines
  std::map<std::string, std::size_t> matched_;                       // by entry, of late
  std::map<std::string, std::map<std::string, std::size_t>> waits_;  // by team, why, of late
  std::vector<DisruptionCounts> tolls_;                              // in a pass
  std::set<std::pair<Index, BudgetRejection>>
      full_;          // teams that were refused in this pass, and why
  int searches_ = 0;  // for places, left to this pass
  std::size_t gone_ = 0;
  bool dear_ = false;
  bool calm_ = false;
  std::string unrest_;  // why nothing is stopped, as last logged
  bool changed_ = false;
  double told_at_ = -1e9;
  double told_teams_at_ = -1e9;
};

}  // namespace reachramp::drains
