// Workers' heartbeats, what they prove about the tasks on a machine, and the commands that answer
// them.
#pragma once

#include <string>
#include <vector>

#include "placement/cluster.h"
#include "wire/message.h"

namespace reachramp::workers {

using placement::Cluster;
using placement::Index;
using wire::Json;

// A task's state on its machine. waiting: it is not running and has not ended, for example because
// the other members of its gang are not ready. saving: it writes its last checkpoint after a stop.
enum class TaskState { fetching, waiting, running, saving, exited };
// Why a task ended, as its worker states it. none: no reason is given.
enum class ExitReason {
  none,
  done,
  stopped,                // by a stop command
  gang_member_lost,       // another task of its gang was lost
  incomplete,             // its gang did not become complete in time
  error,                  // the task failed
  insufficient_capacity,  // the machine had no room for it
  task_already_present,   // the machine still lists another attempt at the task
  unknown_task            // the worker does not know the job, or the job has no such task
};

// One attempt at a task as a worker lists it.
struct TaskStatus {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::running;
  ExitReason exit_reason = ExitReason::none;
};

// The message with which a worker reports its machine's state. The response to it carries commands
// and renews the worker's lease, within which the worker keeps its tasks running.
struct Heartbeat {
  std::string host;  // the machine's name
  std::string address;
  std::string type;  // the machine's type
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;       // starts at 1, increases when the worker's lease expires
  std::uint64_t sequence_number = 0;   // grows with each message of an incarnation
  std::uint64_t fencing_token = 0;     // the newest that the worker has seen
  std::optional<double> reclaim_in_s;  // until the cloud takes the machine back, if it will
  std::vector<TaskStatus> tasks;
};

// clear: the worker need not list an ended task any longer.
enum class CommandType { start, stop, clear };

// What a worker is told to do with one attempt at a task.
struct Command {
  CommandType type = CommandType::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_period_s = 0;  // stop only: time for a last checkpoint
};

// Throws wire::BadMessage if a field is missing or invalid. Task states and exit reasons that only
// newer workers know are accepted: as waiting and as error.
Heartbeat decode_heartbeat(const Json& body);
// The body that answers a heartbeat: the leader's fencing token and commands for the worker.
Json encode_response(std::uint64_t fencing_token, const std::vector<Command>& commands);

// How a worker's state arrived: as a heartbeat, which asks for commands (/v1/report), or directly,
// as the body of a response to the leader's own request (/orders or /status). Only a heartbeat can
// prove that a start command in an earlier response was lost: a direct body may have been written
// while that response was still on its way.
enum class Channel { heartbeat, direct };

// A machine counts as unreachable for responses once its heartbeats have shown this many signs in a
// row that a response was lost (Host::ignored_responses).
inline constexpr std::uint32_t kUnreachableAfterIgnoredResponses = 2;

// Updates the cluster with what the heartbeat proves about its machine and the attempts on it.
// Returns the machine's index; none if the heartbeat is not newer than the last one, and so proves
// nothing.
std::optional<Index> reconcile(Cluster& cluster, const Heartbeat& heartbeat, Channel channel,
                               double now);

// The commands that answer the newest heartbeat of a machine. Start commands are included, and
// marked as sent, only if `starts_allowed`: the leader must recently have confirmed that it knows
// of all cancellations.
std::vector<Command> commands_for(Cluster& cluster, Index host, bool starts_allowed, double now);

// The stop commands for attempts on the machine that are to end and may have been started. They do
// no harm if they are repeated, arrive late, or are sent without a heartbeat.
std::vector<Command> stop_commands_for(const Cluster& cluster, Index host);

// The stop commands that answer a heartbeat which is not newer than the last one: those above for
// its machine, and one for each listed task that has not ended and has no matching attempt in the
// cluster. If the machine is not known (any longer), all listed tasks that have not ended are
// stopped.
std::vector<Command> stop_commands_for(const Cluster& cluster, const Heartbeat& heartbeat);

}  // namespace reachramp::workers
