#include "workers/heartbeat.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <unordered_map>

#include "quarantine/fault_attribution.h"

namespace reachramp::workers {

using placement::Attempt;
using placement::ExitedTask;
using placement::Host;
using placement::HostPhase;
using placement::Job;
using placement::kNone;
using placement::ObservedState;
using placement::TaskRef;

namespace {

constexpr std::size_t kMaxTasksPerHeartbeat = 2000;
constexpr std::size_t kMaxCommandsPerResponse = 400;
// A worker drops a response that arrives later than this after its heartbeat.
constexpr double kWorkerResponseTimeout_s = 4;

constexpr std::pair<TaskState, const char*> kTaskStateNames[] = {{TaskState::fetching, "fetching"},
                                                                 {TaskState::waiting, "waiting"},
                                                                 {TaskState::running, "running"},
                                                                 {TaskState::saving, "flushing"},
                                                                 {TaskState::exited, "exited"}};
constexpr std::pair<ExitReason, const char*> kExitReasonNames[] = {
    {ExitReason::done, "done"},
    {ExitReason::stopped, "halted"},
    {ExitReason::gang_member_lost, "mates_gone"},
    {ExitReason::incomplete, "incomplete"},
    {ExitReason::error, "error"},
    {ExitReason::insufficient_capacity, "full"},
    {ExitReason::task_already_present, "in_use"},
    {ExitReason::unknown_task, "no_such"}};

std::string task_name(const std::string& job, std::uint32_t task) {
  return job + "/" + std::to_string(task);
}

TaskStatus decode_task_status(const Json& item) {
  TaskStatus status;
  const std::string name = wire::text(item, "piece");
  const auto slash = name.rfind('/');
  const char* end = name.data() + name.size();
  if (slash == std::string::npos || slash == 0) throw wire::BadMessage("piece: not a task");
  const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, status.task);
  if (error != std::errc() || stop != end) throw wire::BadMessage("piece: not a task");
  status.job = name.substr(0, slash);
  status.attempt = wire::count(item, "try");
  const std::string state = wire::text(item, "phase");
  bool known = false;
  for (const auto& [value, text] : kTaskStateNames) {
    if (state == text) {
      status.state = value;
      known = true;
    }
  }
  // A state that only newer workers have: all that is known is that the task has not ended. If the
  // heartbeat were refused, its worker would try one node after another until its lease expired.
  if (!known) status.state = TaskState::waiting;
  if (const auto reason = wire::optional_text(item, "cause")) {
    // An exit reason that only newer workers have counts as a failure of the task.
    status.exit_reason = ExitReason::error;
    for (const auto& [value, text] : kExitReasonNames) {
      if (*reason == text) status.exit_reason = value;
    }
  }
  return status;
}

// The state to record for a task that has not exited.
ObservedState observed_state(TaskState state) {
  switch (state) {
    case TaskState::fetching:
      return ObservedState::fetching;
    case TaskState::waiting:
      return ObservedState::waiting;
    case TaskState::saving:
      return ObservedState::saving;
    default:
      return ObservedState::running;
  }
}

// Ends the attempt that the heartbeat lists as exited, and records its outcome.
void apply_exit(Cluster& cluster, Index job_index, Index host_index, const TaskStatus& status,
                double now) {
  Job& job = *cluster.jobs[job_index];
  Host& host = *cluster.hosts[host_index];
  switch (status.exit_reason) {
    case ExitReason::done:
      if (job.spec.shape == jobs::Shape::service) {
        // A service is never done: the ended replica is started again.
      } else if (job.spec.shape == jobs::Shape::gang) {
        // A gang's tasks complete together: if one is done, all are.
        for (std::uint32_t task = 0; task < job.spec.tasks; ++task) {
          cluster.mark_done(job_index, task, now);
        }
      } else {
        cluster.mark_done(job_index, status.task, now);
      }
      quarantine::note_success(cluster, job_index, host_index);
      break;
    case ExitReason::error:
    case ExitReason::none:
      quarantine::note_failure(cluster, job_index, host_index, now);
      break;
    case ExitReason::unknown_task:
      job.retry_not_before = now + 2;
      break;
    case ExitReason::insufficient_capacity:
    case ExitReason::task_already_present:
    case ExitReason::stopped:
    case ExitReason::gang_member_lost:
    case ExitReason::incomplete:
      break;
  }
  spdlog::debug("task {}/{} attempt {} exited on machine {}: exit reason {}", status.job,
                status.task, status.attempt, host.name, static_cast<int>(status.exit_reason));
  cluster.end_attempt(job_index, status.task, now);
}

// The cluster's attempt on this machine that the listed task belongs to; null if there is none.
const Attempt* find_attempt(const Cluster& cluster, Index host_index, const TaskStatus& status) {
  const auto found = cluster.job_index.find(status.job);
  if (found == cluster.job_index.end()) return nullptr;
  const auto& attempts = cluster.jobs[found->second]->attempts;
  const auto at = attempts.find(status.task);
  if (at == attempts.end()) return nullptr;
  const bool matches = at->second.number == status.attempt && at->second.host == host_index;
  return matches ? &at->second : nullptr;
}

// The listed tasks that have not ended and that no attempt in the cluster belongs to. Stopping them
// is safe even if the heartbeat is old, since attempt numbers are never reused.
std::vector<ExitedTask> tasks_without_attempt(const Cluster& cluster, Index host_index,
                                              const Heartbeat& heartbeat) {
  std::vector<ExitedTask> tasks;
  for (const TaskStatus& status : heartbeat.tasks) {
    if (status.state == TaskState::exited) continue;
    if (find_attempt(cluster, host_index, status) != nullptr) continue;
    tasks.push_back({status.job, status.task, status.attempt});
  }
  return tasks;
}

void append_stop_commands(const std::vector<ExitedTask>& tasks, std::vector<Command>& commands) {
  for (const ExitedTask& task : tasks) {
    if (commands.size() >= kMaxCommandsPerResponse) return;
    commands.push_back({CommandType::stop, task.job, task.task, task.attempt, 0});
  }
}

// Adds an attempt for a task that runs without one, already marked to be stopped. Until it has
// ended, it keeps the task from being started elsewhere. Returns false if the job has no such task
// or the task has another attempt.
bool adopt_running_task(Cluster& cluster, Index job_index, Index host_index,
                        const TaskStatus& status, double now) {
  Job& job = *cluster.jobs[job_index];
  if (status.task >= job.spec.tasks || job.attempts.contains(status.task)) return false;
  cluster.place(job_index, status.task, status.attempt, host_index, now);
  Attempt& attempt = job.attempts[status.task];
  attempt.start_sent = true;
  attempt.stopping = true;
  attempt.reconciled = true;
  attempt.observed_state = observed_state(status.state);
  return true;
}

// Updates the cluster with one task that the heartbeat lists.
void apply_task_status(Cluster& cluster, Index host_index, const TaskStatus& status, double now) {
  Host& host = *cluster.hosts[host_index];
  const ExitedTask listed_task{status.job, status.task, status.attempt};
  const auto found = cluster.job_index.find(status.job);
  Job* job = found == cluster.job_index.end() ? nullptr : cluster.jobs[found->second].get();
  const bool placed_here = find_attempt(cluster, host_index, status) != nullptr;
  Attempt* attempt = placed_here ? &job->attempts.at(status.task) : nullptr;
  if (status.state == TaskState::exited) {
    host.exited_tasks.push_back(listed_task);
    if (attempt != nullptr) {
      apply_exit(cluster, found->second, host_index, status, now);
    } else if (job != nullptr && status.exit_reason == ExitReason::done &&
               status.task < job->spec.tasks && job->spec.shape == jobs::Shape::array) {
      cluster.mark_done(found->second, status.task, now);
    }
    return;
  }
  if (attempt == nullptr) {
    if (job != nullptr && adopt_running_task(cluster, found->second, host_index, status, now))
      return;
    host.orphaned_tasks.push_back(listed_task);
    return;
  }
  const ObservedState observed = observed_state(status.state);
  if (attempt->from_previous_leader || attempt->observed_state != observed)
    cluster.jobs_with_changed_counts.insert(found->second);
  // The task may have begun to run under an earlier leader. Its placement time, which is stored, is
  // then the best estimate of when that was.
  const bool ran_before =
      attempt->from_previous_leader && attempt->observed_state == ObservedState::unobserved;
  if (attempt->start_sent && !attempt->from_previous_leader &&
      attempt->observed_state == ObservedState::unobserved) {
    host.ignored_responses = 0;  // the worker received the response with the start command
  }
  attempt->from_previous_leader = false;
  attempt->start_sent = true;
  attempt->observed_state = observed;
  if (attempt->observed_state == ObservedState::running) {
    cluster.mark_running(*job, status.task, ran_before ? attempt->placed_at : now);
  }
  if (attempt->observed_state == ObservedState::running ||
      attempt->observed_state == ObservedState::saving)
    job->gang_started = true;
  if (attempt->observed_state != ObservedState::fetching)
    host.cached_images.insert(job->spec.image);
}

// Detects machines whose heartbeats arrive but which do not receive the responses. Signs of lost
// responses, at most one per heartbeat: started tasks never appear, the worker's fencing token
// stays old, or its lease expires although it was answered, which suffices alone. A started task
// that appears, an updated fencing token, or an incarnation that outlasts a lease shows that
// responses do arrive.
void update_ignored_responses(Cluster& cluster, Host& host, const Heartbeat& heartbeat,
                              bool new_incarnation, bool had_acknowledged_token, double now) {
  const settings::WorkerTimings& workers = cluster.platform.worker_timings;
  const bool answered_recently = now - host.last_response_at < workers.lease_s;
  if (heartbeat.fencing_token != cluster.fencing_token) {
    // Without a recent response this is no sign: the first response may still be on its way.
    host.ignored_responses += answered_recently ? 1 : 0;
  } else if (!had_acknowledged_token) {
    host.ignored_responses = 0;
  } else if (new_incarnation &&
             now - host.last_response_at < workers.lease_s - kWorkerResponseTimeout_s) {
    host.ignored_responses += kUnreachableAfterIgnoredResponses;
  } else if (host.report_missed_start) {
    ++host.ignored_responses;
  } else if (now - std::max(host.incarnation_started_at, host.unreachable_since) >
             workers.lease_s + kWorkerResponseTimeout_s) {
    host.ignored_responses = 0;
  }
  if (new_incarnation) host.last_response_at = -1e9;
}

// Updates an attempt on the machine that the heartbeat does not list: ends it if the absence proves
// that it is not running, and repeats its start command if that one was lost.
void apply_task_absence(Cluster& cluster, Index host_index, const TaskRef& ref, Channel channel,
                        bool new_incarnation, double now) {
  Host& host = *cluster.hosts[host_index];
  Attempt& attempt = cluster.jobs[ref.job]->attempts.at(ref.task);
  if (attempt.from_previous_leader) {
    // The attempt is not started again here: the records also hold attempts that an earlier leader
    // had stopped to make room for other tasks of the team, and all together may exceed its limit.
    cluster.end_attempt(ref.job, ref.task, now);
    return;
  }
  if (!attempt.start_sent) return;
  if (!new_incarnation) {
    if (channel != Channel::heartbeat || host.sequence_number <= attempt.start_sent_sequence_number)
      return;
    if (attempt.observed_state == ObservedState::unobserved && !attempt.stopping) {
      attempt.start_sent = false;  // the response with the start command was lost: send it again
      host.report_missed_start = true;
      return;
    }
  }
  cluster.end_attempt(ref.job, ref.task, now);
}

}  // namespace

Heartbeat decode_heartbeat(const Json& body) {
  Heartbeat heartbeat;
  heartbeat.host = wire::text(body, "host");
  heartbeat.address = wire::optional_text(body, "address").value_or("");
  heartbeat.type = wire::text(body, "rig");
  heartbeat.zone = wire::text(body, "hall");
  heartbeat.spot = wire::flag(body, "loaner");
  heartbeat.incarnation = wire::count(body, "tenure");
  heartbeat.sequence_number = wire::count(body, "tick");
  heartbeat.fencing_token = wire::count(body, "baton");
  heartbeat.reclaim_in_s = wire::optional_amount(body, "reclaim_in_s");
  const Json& tasks = wire::list(body, "pieces");
  if (tasks.size() > kMaxTasksPerHeartbeat) throw wire::BadMessage("pieces: too many");
  for (const Json& item : tasks) heartbeat.tasks.push_back(decode_task_status(item));
  return heartbeat;
}

Json encode_response(std::uint64_t fencing_token, const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) {
    Json item{{"verb", command.type == CommandType::start  ? "start"
                       : command.type == CommandType::stop ? "stop"
                                                           : "clear"},
              {"piece", task_name(command.job, command.task)},
              {"try", command.attempt}};
    if (command.type == CommandType::stop) item["wind_down_s"] = command.grace_period_s;
    list.push_back(std::move(item));
  }
  return {{"baton", fencing_token}, {"orders", std::move(list)}};
}

std::optional<Index> reconcile(Cluster& cluster, const Heartbeat& heartbeat, Channel channel,
                               double now) {
  const bool already_known = cluster.host_index.contains(heartbeat.host);
  const Index index = cluster.add_host(heartbeat.host, now);
  cluster.set_host_type(index, heartbeat.type, heartbeat.zone, heartbeat.spot);
  Host& host = *cluster.hosts[index];
  if (!already_known) host.identity_unconfirmed = true;
  if (std::pair(heartbeat.incarnation, heartbeat.sequence_number) <=
      std::pair(host.incarnation, host.sequence_number)) {
    return std::nullopt;
  }
  const bool new_incarnation = host.incarnation != 0 && heartbeat.incarnation > host.incarnation;
  if (new_incarnation)
    spdlog::info("machine {}: lease expired, new incarnation {}", host.name, heartbeat.incarnation);
  if (heartbeat.incarnation != host.incarnation) host.incarnation_started_at = now;
  host.incarnation = heartbeat.incarnation;
  host.sequence_number = heartbeat.sequence_number;
  host.last_heartbeat_at = now;
  if (!heartbeat.address.empty()) host.address = heartbeat.address;
  const bool had_acknowledged_token = host.acknowledged_token;
  if (heartbeat.fencing_token == cluster.fencing_token) {
    host.acknowledged_token = true;
    host.identity_unconfirmed = false;
  }
  if (host.phase == HostPhase::booting) {
    host.phase = HostPhase::up;
    host.idle_since = now;
    spdlog::info("machine {} is up after {:.1f} s", host.name, now - host.rented_at);
  }
  if (heartbeat.reclaim_in_s && host.reclaim_at == placement::kNever) {
    spdlog::info("machine {} will be reclaimed in {:.0f} s", host.name, *heartbeat.reclaim_in_s);
  }
  host.reclaim_at = heartbeat.reclaim_in_s ? now + *heartbeat.reclaim_in_s : placement::kNever;

  host.exited_tasks.clear();
  host.orphaned_tasks.clear();
  host.report_missed_start = false;
  // A heartbeat without this leader's fencing token may be of any age. Delayed by a network
  // partition since before this leader was elected, it may list a task as exited, or not list it,
  // although an earlier leader has started the task again since (in a simulated cluster this ran a
  // task twice). It only shows that the machine is alive; the next heartbeat, with this leader's
  // token, shows its tasks. Tasks that must not run there are stopped at once, since the response
  // renews the lease.
  if (heartbeat.fencing_token != cluster.fencing_token) {
    host.orphaned_tasks = tasks_without_attempt(cluster, index, heartbeat);
    if (channel == Channel::heartbeat) {
      update_ignored_responses(cluster, host, heartbeat, new_incarnation, had_acknowledged_token,
                               now);
    }
    return index;
  }
  const std::set<TaskRef> attempts_before = host.attempts;
  std::unordered_map<std::string, std::uint64_t> listed_attempts;
  for (const TaskStatus& status : heartbeat.tasks) {
    listed_attempts[task_name(status.job, status.task)] = status.attempt;
    apply_task_status(cluster, index, status, now);
  }
  for (const TaskRef& ref : attempts_before) {
    if (!host.attempts.contains(ref)) continue;
    const Job& job = *cluster.jobs[ref.job];
    const auto at = listed_attempts.find(task_name(job.spec.id, ref.task));
    if (at != listed_attempts.end() && at->second == job.attempts.at(ref.task).number) continue;
    apply_task_absence(cluster, index, ref, channel, new_incarnation, now);
  }
  if (channel == Channel::heartbeat) {
    update_ignored_responses(cluster, host, heartbeat, new_incarnation, had_acknowledged_token,
                             now);
  }
  return index;
}

std::vector<Command> stop_commands_for(const Cluster& cluster, Index host_index) {
  std::vector<Command> commands;
  for (const TaskRef& ref : cluster.hosts[host_index]->attempts) {
    const Job& job = *cluster.jobs[ref.job];
    const Attempt& attempt = job.attempts.at(ref.task);
    if (!attempt.stopping || !(attempt.from_previous_leader || attempt.start_sent)) continue;
    if (commands.size() >= kMaxCommandsPerResponse) break;
    commands.push_back(
        {CommandType::stop, job.spec.id, ref.task, attempt.number, attempt.grace_period_s});
  }
  return commands;
}

std::vector<Command> stop_commands_for(const Cluster& cluster, const Heartbeat& heartbeat) {
  const auto host = cluster.host_index.find(heartbeat.host);
  const bool known = host != cluster.host_index.end();
  const Index index = known ? host->second : kNone;
  std::vector<Command> commands;
  if (known) commands = stop_commands_for(cluster, index);
  append_stop_commands(tasks_without_attempt(cluster, index, heartbeat), commands);
  return commands;
}

std::vector<Command> commands_for(Cluster& cluster, Index host_index, bool starts_allowed,
                                  double now) {
  Host& host = *cluster.hosts[host_index];
  // Stop commands come first: if the limit is reached, the others wait for the next heartbeat.
  std::vector<Command> commands = stop_commands_for(cluster, host_index);
  append_stop_commands(host.orphaned_tasks, commands);
  // The worker lists an exited task until it is told to clear it, which must not happen before the
  // outcome is stored.
  for (const ExitedTask& exited : host.exited_tasks) {
    if (commands.size() >= kMaxCommandsPerResponse) break;
    const Job* job = cluster.find_job(exited.job);
    if (job == nullptr || exited.task >= job->spec.tasks ||
        (cluster.range_is_stored(*job, exited.task) &&
         !host.attempts.contains({cluster.job_index[exited.job], exited.task}))) {
      commands.push_back({CommandType::clear, exited.job, exited.task, exited.attempt, 0});
    }
  }
  std::vector<TaskRef> unsent;
  for (const TaskRef& ref : host.attempts) {
    const Job& job = *cluster.jobs[ref.job];
    Attempt& attempt = cluster.jobs[ref.job]->attempts.at(ref.task);
    if (attempt.stopping) {
      if (!attempt.from_previous_leader && !attempt.start_sent) unsent.push_back(ref);
      continue;
    }
    if (attempt.observed_state != ObservedState::unobserved || !attempt.persisted ||
        attempt.from_previous_leader || attempt.start_sent || !starts_allowed ||
        host.unreachable_since >= 0 || commands.size() >= kMaxCommandsPerResponse) {
      continue;
    }
    commands.push_back({CommandType::start, job.spec.id, ref.task, attempt.number, 0});
    attempt.start_sent = true;
    attempt.start_sent_sequence_number = host.sequence_number;
  }
  for (const TaskRef& ref : unsent) cluster.end_attempt(ref.job, ref.task, now);
  host.last_response_at = now;
  return commands;
}

}  // namespace reachramp::workers
