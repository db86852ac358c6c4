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

enum class TaskState { fetching, waiting, running, saving, exited };
enum class ExitReason {
  none,
  done,
  stopped,
  gang_member_lost,
  incomplete,
  error,
  insufficient_capacity,
  task_already_present,
  unknown_task
};

struct TaskStatus {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::running;
  ExitReason exit_reason = ExitReason::none;
};

struct Heartbeat {
  std::string host;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  std::uint64_t fencing_token = 0;
  std::optional<double> reclaim_in_s;
  std::vector<TaskStatus> tasks;
};

enum class CommandType { start, stop, clear };

struct Command {
  CommandType type = CommandType::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_period_s = 0;
};

Heartbeat decode_heartbeat(const Json& body);
Json encode_response(std::uint64_t fencing_token, const std::vector<Command>& commands);

// Whether the message asked for orders (/v1/report) or only shows the worker's state (the body of
// /orders or /status). Only the former proves that an earlier answer's start was not taken: the
// latter may have been written while that answer was still on its way.
enum class Channel { heartbeat, direct };

// Signs in a row from which a machine counts as one that our answers do not reach.
inline constexpr std::uint32_t kUnreachableAfterIgnoredResponses = 2;

// Takes in what a report proves. Returns the host, or nothing if the report is older than what is
// known already.
std::optional<Index> reconcile(Cluster& cluster, const Heartbeat& heartbeat, Channel channel,
                               double now);

// The orders that answer the newest report of a host. Starts are included only if `may_start`:
// the leader has lately confirmed that no job was cancelled behind its back.
std::vector<Command> commands_for(Cluster& cluster, Index host, bool starts_allowed, double now);

// The stops alone, for tasks that were started there: may be sent at once, again, and late.
std::vector<Command> stop_commands_for(const Cluster& cluster, Index host);

// The stops that answer a report which is not newer than what is known: those for its machine, and
// one for each task that it lists and that no attempt of ours is for; of a machine that is gone,
// for each task that it lists.
std::vector<Command> stop_commands_for(const Cluster& cluster, const Heartbeat& heartbeat);

}  // namespace reachramp::workers
