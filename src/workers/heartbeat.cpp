#include "workers/heartbeat.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <unordered_map>

#include "quarantine/fault_attribution.h"

namespace reachramp::workers {

using placement::Attempt;
using placement::Exited;
using placement::Host;
using placement::HostPhase;
using placement::Job;
using placement::kNone;
using placement::ObservedState;
using placement::TaskRef;

namespace {

constexpr std::size_t kMostPieces = 2000;
constexpr std::size_t kMostOrders = 400;
// A worker drops an answer that comes later than this.
constexpr double kAnswerWithin_s = 4;

constexpr std::pair<TaskState, const char*> kStates[] = {{TaskState::fetching, "fetching"},
                                                         {TaskState::waiting, "waiting"},
                                                         {TaskState::running, "running"},
                                                         {TaskState::saving, "flushing"},
                                                         {TaskState::exited, "exited"}};
constexpr std::pair<ExitReason, const char*> kCauses[] = {
    {ExitReason::done, "done"},
    {ExitReason::stopped, "halted"},
    {ExitReason::gang_member_lost, "mates_gone"},
    {ExitReason::incomplete, "incomplete"},
    {ExitReason::error, "error"},
    {ExitReason::full, "full"},
    {ExitReason::in_use, "in_use"},
    {ExitReason::no_such, "no_such"}};

std::string piece_name(const std::string& job, std::uint32_t task) {
  return job + "/" + std::to_string(task);
}

TaskStatus decode_piece(const Json& item) {
  TaskStatus piece;
  const std::string name = wire::text(item, "piece");
  const auto slash = name.rfind('/');
  const char* end = name.data() + name.size();
  if (slash == std::string::npos || slash == 0) throw wire::BadMessage("piece: not a task");
  const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, piece.task);
  if (error != std::errc() || stop != end) throw wire::BadMessage("piece: not a task");
  piece.job = name.substr(0, slash);
  piece.attempt = wire::count(item, "try");
  const std::string state = wire::text(item, "phase");
  bool known = false;
  for (const auto& [value, text] : kStates) {
    if (state == text) {
      piece.state = value;
      known = true;
    }
  }
  // A phase of a newer version: the task is there, and that is all that is known. Refused, its
  // worker would go from node to node until its lease ended.
  if (!known) piece.state = TaskState::waiting;
  if (const auto cause = wire::maybe_text(item, "cause")) {
    // A cause of a newer version is taken for a fault.
    piece.cause = ExitReason::error;
    for (const auto& [value, text] : kCauses) {
      if (*cause == text) piece.cause = value;
    }
  }
  return piece;
}

ObservedState seen_as(TaskState state) {
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

void take_exit(Cluster& cluster, Index job_index, Index host_index, const TaskStatus& piece,
               double now) {
  Job& job = *cluster.jobs[job_index];
  Host& host = *cluster.hosts[host_index];
  switch (piece.cause) {
    case ExitReason::done:
      if (job.spec.shape == jobs::Shape::service) {
        // a replica that ends is started anew
      } else if (job.spec.shape == jobs::Shape::gang) {
        // A gang completes together: if one task is done, all are.
        for (std::uint32_t task = 0; task < job.spec.tasks; ++task) {
          cluster.mark_done(job_index, task, now);
        }
      } else {
        cluster.mark_done(job_index, piece.task, now);
      }
      quarantine::note_success(cluster, job_index, host_index);
      break;
    case ExitReason::error:
    case ExitReason::none:
      quarantine::note_failure(cluster, job_index, host_index, now);
      break;
    case ExitReason::no_such:
      job.not_before = now + 2;
      break;
    case ExitReason::full:
    case ExitReason::in_use:
    case ExitReason::stopped:
    case ExitReason::gang_member_lost:
    case ExitReason::incomplete:
      break;
  }
  spdlog::debug("task {}/{} try {} exited on {}: cause {}", piece.job, piece.task, piece.attempt,
                host.name, static_cast<int>(piece.cause));
  cluster.end_attempt(job_index, piece.task, now);
}

// The attempt that the worker lists, if it is one that may be there.
const Attempt* listed_attempt(const Cluster& cluster, Index host_index, const TaskStatus& piece) {
  const auto found = cluster.job_index.find(piece.job);
  if (found == cluster.job_index.end()) return nullptr;
  const auto& attempts = cluster.jobs[found->second]->attempts;
  const auto at = attempts.find(piece.task);
  if (at == attempts.end()) return nullptr;
  const bool same = at->second.number == piece.attempt && at->second.host == host_index;
  return same ? &at->second : nullptr;
}

// Tasks that the report lists as not yet ended and that no attempt of ours is for. To stop one is
// harmless however old the report is: no attempt gets its number again.
std::vector<Exited> unknown_tasks(const Cluster& cluster, Index host_index,
                                  const Heartbeat& report) {
  std::vector<Exited> unknown;
  for (const TaskStatus& piece : report.tasks) {
    if (piece.state == TaskState::exited) continue;
    if (listed_attempt(cluster, host_index, piece) != nullptr) continue;
    unknown.push_back({piece.job, piece.task, piece.attempt});
  }
  return unknown;
}

void add_stops(const std::vector<Exited>& tasks, std::vector<Command>& orders) {
  for (const Exited& task : tasks) {
    if (orders.size() >= kMostOrders) return;
    orders.push_back({CommandType::stop, task.job, task.task, task.attempt, 0});
  }
}

// A task runs that we hold no attempt for. It blocks its task until it is gone.
bool adopt(Cluster& cluster, Index job_index, Index host_index, const TaskStatus& piece,
           double now) {
  Job& job = *cluster.jobs[job_index];
  if (piece.task >= job.spec.tasks || job.attempts.contains(piece.task)) return false;
  cluster.place(job_index, piece.task, piece.attempt, host_index, now);
  Attempt& attempt = job.attempts[piece.task];
  attempt.start_sent = true;
  attempt.stopping = true;
  attempt.reconciled = true;
  attempt.observed = seen_as(piece.state);
  return true;
}

void absorb_piece(Cluster& cluster, Index host_index, const TaskStatus& piece, double now) {
  Host& host = *cluster.hosts[host_index];
  const Exited entry{piece.job, piece.task, piece.attempt};
  const auto found = cluster.job_index.find(piece.job);
  Job* job = found == cluster.job_index.end() ? nullptr : cluster.jobs[found->second].get();
  const bool placed_here = listed_attempt(cluster, host_index, piece) != nullptr;
  Attempt* attempt = placed_here ? &job->attempts.at(piece.task) : nullptr;
  if (piece.state == TaskState::exited) {
    host.exited.push_back(entry);
    if (attempt != nullptr) {
      take_exit(cluster, found->second, host_index, piece, now);
    } else if (job != nullptr && piece.cause == ExitReason::done && piece.task < job->spec.tasks &&
               job->spec.shape == jobs::Shape::array) {
      cluster.mark_done(found->second, piece.task, now);
    }
    return;
  }
  if (attempt == nullptr) {
    if (job != nullptr && adopt(cluster, found->second, host_index, piece, now)) return;
    host.orphaned_tasks.push_back(entry);
    return;
  }
  const ObservedState seen = seen_as(piece.state);
  if (attempt->from_previous_leader || attempt->observed != seen)
    cluster.jobs_with_changed_counts.insert(found->second);
  // Whoever led when it began to run knew; from its record we know when it was placed.
  const bool ran_before =
      attempt->from_previous_leader && attempt->observed == ObservedState::unobserved;
  if (attempt->start_sent && !attempt->from_previous_leader &&
      attempt->observed == ObservedState::unobserved) {
    host.ignored_responses = 0;  // it has taken what we told it
  }
  attempt->from_previous_leader = false;
  attempt->start_sent = true;
  attempt->observed = seen;
  if (attempt->observed == ObservedState::running) {
    cluster.note_running(*job, piece.task, ran_before ? attempt->placed_at : now);
  }
  if (attempt->observed == ObservedState::running || attempt->observed == ObservedState::saving)
    job->gang_started = true;
  if (attempt->observed != ObservedState::fetching) host.images.insert(job->spec.image);
}

// A machine whose reports arrive, but which our answers do not reach: what is placed there never
// appears, its fencing token does not move, its sessions run out although we answered. Each report
// may show one such sign; a start that is taken, a fencing token that moves, or a session that
// outlasts a lease shows that it does hear us.
void note_whether_heeded(Cluster& cluster, Host& host, const Heartbeat& report,
                         bool new_incarnation, bool was_ours, double now) {
  const settings::Workers& workers = cluster.platform.workers;
  const bool answered = now - host.last_response_at < workers.lease_s;
  if (report.fencing_token != cluster.fencing_token) {
    // The first answer may still be on its way.
    host.ignored_responses += answered ? 1 : 0;
  } else if (!was_ours) {
    host.ignored_responses = 0;
  } else if (new_incarnation && now - host.last_response_at < workers.lease_s - kAnswerWithin_s) {
    host.ignored_responses += kUnreachableAfter;
  } else if (host.dropped) {
    ++host.ignored_responses;
  } else if (now - std::max(host.incarnation_started_at, host.unreachable_since) >
             workers.lease_s + kAnswerWithin_s) {
    host.ignored_responses = 0;
  }
  if (new_incarnation) host.last_response_at = -1e9;
}

// What the absence of an attempt from the report proves.
void absorb_absence(Cluster& cluster, Index host_index, const TaskRef& ref, Channel channel,
                    bool new_incarnation, double now) {
  Host& host = *cluster.hosts[host_index];
  Attempt& attempt = cluster.jobs[ref.job]->attempts.at(ref.task);
  if (attempt.from_previous_leader) {
    // Not started here in its stead: the records hold attempts that an earlier leader had given up
    // to make room for others of the team, and together they may exceed its limit.
    cluster.end_attempt(ref.job, ref.task, now);
    return;
  }
  if (!attempt.start_sent) return;
  if (!new_incarnation) {
    if (channel != Channel::heartbeat || host.sequence_number <= attempt.start_sent_sequence_number)
      return;
    if (attempt.observed == ObservedState::unobserved && !attempt.stopping) {
      attempt.start_sent = false;  // the answer that carried the start was dropped: send it again
      host.dropped = true;
      return;
    }
  }
  cluster.end_attempt(ref.job, ref.task, now);
}

}  // namespace

Heartbeat decode_heartbeat(const Json& body) {
  Heartbeat report;
  report.host = wire::text(body, "host");
  report.address = wire::maybe_text(body, "address").value_or("");
  report.type = wire::text(body, "rig");
  report.zone = wire::text(body, "hall");
  report.spot = wire::flag(body, "loaner");
  report.incarnation = wire::count(body, "tenure");
  report.sequence_number = wire::count(body, "tick");
  report.fencing_token = wire::count(body, "baton");
  report.reclaim_in_s = wire::maybe_amount(body, "reclaim_in_s");
  const Json& pieces = wire::list(body, "pieces");
  if (pieces.size() > kMostPieces) throw wire::BadMessage("pieces: too many");
  for (const Json& item : pieces) report.tasks.push_back(decode_piece(item));
  return report;
}

Json encode_response(std::uint64_t fencing_token, const std::vector<Command>& orders) {
  Json list = Json::array();
  for (const Command& order : orders) {
    Json item{{"verb", order.type == CommandType::start  ? "start"
                       : order.type == CommandType::stop ? "stop"
                                                         : "clear"},
              {"piece", piece_name(order.job, order.task)},
              {"try", order.attempt}};
    if (order.type == CommandType::stop) item["wind_down_s"] = order.grace_period_s;
    list.push_back(std::move(item));
  }
  return {{"baton", fencing_token}, {"orders", std::move(list)}};
}

std::optional<Index> reconcile(Cluster& cluster, const Heartbeat& report, Channel channel,
                               double now) {
  const bool known = cluster.host_index.contains(report.host);
  const Index index = cluster.add_host(report.host, now);
  cluster.describe_host(index, report.type, report.zone, report.spot);
  Host& host = *cluster.hosts[index];
  if (!known) host.unconfirmed = true;
  if (std::pair(report.incarnation, report.sequence_number) <=
      std::pair(host.incarnation, host.sequence_number)) {
    return std::nullopt;
  }
  const bool new_incarnation = host.incarnation != 0 && report.incarnation > host.incarnation;
  if (new_incarnation)
    spdlog::info("machine {} lost its lease: session {}", host.name, report.incarnation);
  if (report.incarnation != host.incarnation) host.incarnation_started_at = now;
  host.incarnation = report.incarnation;
  host.sequence_number = report.sequence_number;
  host.last_heartbeat_at = now;
  if (!report.address.empty()) host.address = report.address;
  const bool was_ours = host.acknowledged_token;
  if (report.fencing_token == cluster.fencing_token) {
    host.acknowledged_token = true;
    host.unconfirmed = false;
  }
  if (host.phase == HostPhase::booting) {
    host.phase = HostPhase::up;
    host.idle_since = now;
    spdlog::info("machine {} is up after {:.1f} s", host.name, now - host.rented_at);
  }
  if (report.reclaim_in_s && host.reclaim_at == placement::kNever) {
    spdlog::info("machine {} will be reclaimed in {:.0f} s", host.name, *report.reclaim_in_s);
  }
  host.reclaim_at = report.reclaim_in_s ? now + *report.reclaim_in_s : placement::kNever;

  host.exited.clear();
  host.orphaned_tasks.clear();
  host.dropped = false;
  // A report without our fencing token may be of any age: held back by a cut since long before we
  // led, it can list as exited, or lack, what an earlier leader has started again since (a
  // simulated cluster ran a task twice that way). It shows that the machine lives; the next one,
  // which carries our fencing token, shows what is on it. What must not run there is stopped at
  // once: the answer extends its lease.
  if (report.fencing_token != cluster.fencing_token) {
    host.orphaned_tasks = unknown_tasks(cluster, index, report);
    if (channel == Channel::heartbeat) {
      note_whether_heeded(cluster, host, report, new_incarnation, was_ours, now);
    }
    return index;
  }
  const std::set<TaskRef> before = host.attempts;
  std::unordered_map<std::string, std::uint64_t> listed;
  for (const TaskStatus& piece : report.tasks) {
    listed[piece_name(piece.job, piece.task)] = piece.attempt;
    absorb_piece(cluster, index, piece, now);
  }
  for (const TaskRef& ref : before) {
    if (!host.attempts.contains(ref)) continue;
    const Job& job = *cluster.jobs[ref.job];
    const auto at = listed.find(piece_name(job.spec.id, ref.task));
    if (at != listed.end() && at->second == job.attempts.at(ref.task).number) continue;
    absorb_absence(cluster, index, ref, channel, new_incarnation, now);
  }
  if (channel == Channel::heartbeat) {
    note_whether_heeded(cluster, host, report, new_incarnation, was_ours, now);
  }
  return index;
}

std::vector<Command> stops_for(const Cluster& cluster, Index host_index) {
  std::vector<Command> orders;
  for (const TaskRef& ref : cluster.hosts[host_index]->attempts) {
    const Job& job = *cluster.jobs[ref.job];
    const Attempt& attempt = job.attempts.at(ref.task);
    if (!attempt.stopping || !(attempt.from_previous_leader || attempt.start_sent)) continue;
    if (orders.size() >= kMostOrders) break;
    orders.push_back(
        {CommandType::stop, job.spec.id, ref.task, attempt.number, attempt.grace_period_s});
  }
  return orders;
}

std::vector<Command> stops_for(const Cluster& cluster, const Heartbeat& report) {
  const auto host = cluster.host_index.find(report.host);
  const bool known = host != cluster.host_index.end();
  const Index index = known ? host->second : kNone;
  std::vector<Command> orders;
  if (known) orders = stops_for(cluster, index);
  add_stops(unknown_tasks(cluster, index, report), orders);
  return orders;
}

std::vector<Command> commands_for(Cluster& cluster, Index host_index, bool may_start, double now) {
  Host& host = *cluster.hosts[host_index];
  // Stops first: of many orders some may have to wait for the next report, but these.
  std::vector<Command> orders = stops_for(cluster, host_index);
  add_stops(host.orphaned_tasks, orders);
  // What has ended is forgotten by the worker only once its outcome is durable.
  for (const Exited& exited : host.exited) {
    if (orders.size() >= kMostOrders) break;
    const Job* job = cluster.job(exited.job);
    if (job == nullptr || exited.task >= job->spec.tasks ||
        (cluster.chunk_is_stored(*job, exited.task) &&
         !host.attempts.contains({cluster.job_index[exited.job], exited.task}))) {
      orders.push_back({CommandType::clear, exited.job, exited.task, exited.attempt, 0});
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
    if (attempt.observed != ObservedState::unobserved || !attempt.persisted ||
        attempt.from_previous_leader || attempt.start_sent || !may_start ||
        host.unreachable_since >= 0 || orders.size() >= kMostOrders) {
      continue;
    }
    orders.push_back({CommandType::start, job.spec.id, ref.task, attempt.number, 0});
    attempt.start_sent = true;
    attempt.start_sent_sequence_number = host.sequence_number;
  }
  for (const TaskRef& ref : unsent) cluster.end_attempt(ref.job, ref.task, now);
  host.last_response_at = now;
  return orders;
}

}  // namespace reachramp::workers
