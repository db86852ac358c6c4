// Workers' reports and the orders that answer them.
#pragma once

#include <string>
#include <vector>

#include "placement/cluster.h"
#include "wire/message.h"

namespace reachramp::workers {

using placement::Cluster;
using placement::Index;
using wire::Json;

enum class PieceState { fetching, waiting, running, saving, exited };
enum class Cause { none, done, halted, mates_gone, incomplete, error, full, in_use, no_such };

struct Piece {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  PieceState state = PieceState::running;
  Cause cause = Cause::none;
};

struct Report {
  std::string host;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t tenure = 0;
  std::uint64_t tick = 0;
  std::uint64_t baton = 0;
  std::optional<double> reclaim_in_s;
  std::vector<Piece> pieces;
};

enum class Verb { start, stop, clear };

struct Order {
  Verb verb = Verb::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double wind_down_s = 0;
};

Report decode_report(const Json& body);
Json encode_response(std::uint64_t baton, const std::vector<Order>& orders);

// Whether the message asked for orders (/v1/report) or only shows the worker's state (the body of
// /orders or /status). Only the former proves that an earlier answer's start was not taken: the
// latter may have been written while that answer was still on its way.
enum class Channel { report, direct };

// Signs in a row from which a machine counts as one that our answers do not reach.
inline constexpr std::uint32_t kDeafFrom = 2;

// Takes in what a report proves. Returns the host, or nothing if the report is older than what is
// known already.
std::optional<Index> absorb(Cluster& cluster, const Report& report, Channel channel, double now);

// The orders that answer the newest report of a host. Starts are included only if `may_start`:
// the leader has lately confirmed that no job was cancelled behind its back.
std::vector<Order> orders_for(Cluster& cluster, Index host, bool may_start, double now);

// The stops alone, for tasks that were started there: may be sent at once, again, and late.
std::vector<Order> stops_for(const Cluster& cluster, Index host);

// The stops that answer a report which is not newer than what is known: those for its machine, and
// one for each task that it lists and that no attempt of ours is for; of a machine that is gone,
// for each task that it lists.
std::vector<Order> stops_for(const Cluster& cluster, const Report& report);

}  // namespace reachramp::workers
