#include "workers/report.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <unordered_map>

#include "quarantine/blame.h"

namespace reachramp::workers {

using placement::Attempt;
using placement::Exited;
using placement::Host;
using placement::HostPhase;
using placement::Job;
using placement::kNone;
using placement::Seen;
using placement::TaskRef;

namespace {

constexpr std::size_t kMostPieces = 2000;
constexpr std::size_t kMostOrders = 400;
// A worker drops an answer that comes later than this.
constexpr double kAnswerWithin_s = 4;

constexpr std::pair<PieceState, const char*> kStates[] = {{PieceState::fetching, "fetching"},
                                                          {PieceState::waiting, "waiting"},
                                                          {PieceState::running, "running"},
                                                          {PieceState::saving, "flushing"},
                                                          {PieceState::exited, "exited"}};
constexpr std::pair<Cause, const char*> kCauses[] = {{Cause::done, "done"},
                                                     {Cause::halted, "halted"},
                                                     {Cause::mates_gone, "mates_gone"},
                                                     {Cause::incomplete, "incomplete"},
                                                     {Cause::error, "error"},
                                                     {Cause::full, "full"},
                                                     {Cause::in_use, "in_use"},
                                                     {Cause::no_such, "no_such"}};

std::string piece_name(const std::string& job, std::uint32_t task) {
  return job + "/" + std::to_string(task);
}

Piece decode_piece(const Json& item) {
  Piece piece;
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
  if (!known) piece.state = PieceState::waiting;
  if (const auto cause = wire::maybe_text(item, "cause")) {
    // A cause of a newer version is taken for a fault.
    piece.cause = Cause::error;
    for (const auto& [value, text] : kCauses) {
      if (*cause == text) piece.cause = value;
    }
  }
  return piece;
}

Seen seen_as(PieceState state) {
  switch (state) {
    case PieceState::fetching:
      return Seen::fetching;
    case PieceState::waiting:
      return Seen::waiting;
    case PieceState::saving:
      return Seen::saving;
    default:
      return Seen::running;
  }
}

void take_exit(Cluster& cluster, Index job_index, Index host_index, const Piece& piece,
               double now) {
  Job& job = *cluster.jobs[job_index];
  Host& host = *cluster.hosts[host_index];
  switch (piece.cause) {
    case Cause::done:
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
    case Cause::error:
    case Cause::none:
      quarantine::note_failure(cluster, job_index, host_index, now);
      break;
    case Cause::no_such:
      job.not_before = now + 2;
      break;
    case Cause::full:
    case Cause::in_use:
    case Cause::halted:
    case Cause::mates_gone:
    case Cause::incomplete:
      break;
  }
  spdlog::debug("task {}/{} try {} exited on {}: cause {}", piece.job, piece.task, piece.attempt,
                host.name, static_cast<int>(piece.cause));
  cluster.end_attempt(job_index, piece.task, now);
}

// The attempt that the worker lists, if it is one that may be there.
const Attempt* listed_attempt(const Cluster& cluster, Index host_index, const Piece& piece) {
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
std::vector<Exited> unknown_tasks(const Cluster& cluster, Index host_index, const Report& report) {
  std::vector<Exited> unknown;
  for (const Piece& piece : report.pieces) {
    if (piece.state == PieceState::exited) continue;
    if (listed_attempt(cluster, host_index, piece) != nullptr) continue;
    unknown.push_back({piece.job, piece.task, piece.attempt});
  }
  return unknown;
}

void add_stops(const std::vector<Exited>& tasks, std::vector<Order>& orders) {
  for (const Exited& task : tasks) {
    if (orders.size() >= kMostOrders) return;
    orders.push_back({Verb::stop, task.job, task.task, task.attempt, 0});
  }
}

// A task runs that we hold no attempt for. It blocks its task until it is gone.
bool adopt(Cluster& cluster, Index job_index, Index host_index, const Piece& piece, double now) {
  Job& job = *cluster.jobs[job_index];
  if (piece.task >= job.spec.tasks || job.attempts.contains(piece.task)) return false;
  cluster.place(job_index, piece.task, piece.attempt, host_index, now);
  Attempt& attempt = job.attempts[piece.task];
  attempt.sent = true;
  attempt.stopping = true;
  attempt.adopted = true;
  attempt.seen = seen_as(piece.state);
  return true;
}

void absorb_piece(Cluster& cluster, Index host_index, const Piece& piece, double now) {
  Host& host = *cluster.hosts[host_index];
  const Exited entry{piece.job, piece.task, piece.attempt};
  const auto found = cluster.job_index.find(piece.job);
  Job* job = found == cluster.job_index.end() ? nullptr : cluster.jobs[found->second].get();
  const bool placed_here = listed_attempt(cluster, host_index, piece) != nullptr;
  Attempt* attempt = placed_here ? &job->attempts.at(piece.task) : nullptr;
  if (piece.state == PieceState::exited) {
    host.exited.push_back(entry);
    if (attempt != nullptr) {
      take_exit(cluster, found->second, host_index, piece, now);
    } else if (job != nullptr && piece.cause == Cause::done && piece.task < job->spec.tasks &&
               job->spec.shape == jobs::Shape::array) {
      cluster.mark_done(found->second, piece.task, now);
    }
    return;
  }
  if (attempt == nullptr) {
    if (job != nullptr && adopt(cluster, found->second, host_index, piece, now)) return;
    host.strangers.push_back(entry);
    return;
  }
  const Seen seen = seen_as(piece.state);
  if (attempt->inherited || attempt->seen != seen) cluster.news.insert(found->second);
  // Whoever led when it began to run knew; from its record we know when it was placed.
  const bool ran_before = attempt->inherited && attempt->seen == Seen::nowhere;
  if (attempt->sent && !attempt->inherited && attempt->seen == Seen::nowhere) {
    host.unheeded = 0;  // it has taken what we told it
  }
  attempt->inherited = false;
  attempt->sent = true;
  attempt->seen = seen;
  if (attempt->seen == Seen::running) {
    cluster.note_running(*job, piece.task, ran_before ? attempt->placed_at : now);
  }
  if (attempt->seen == Seen::running || attempt->seen == Seen::saving) job->gang_started = true;
  if (attempt->seen != Seen::fetching) host.images.insert(job->spec.image);
}

// A machine whose reports arrive, but which our answers do not reach: what is placed there never
// appears, its baton does not move, its sessions run out although we answered. Each report may show
// one such sign; a start that is taken, a baton that moves, or a session that outlasts a lease
// shows that it does hear us.
void note_whether_heeded(Cluster& cluster, Host& host, const Report& report, bool new_tenure,
                         bool was_ours, double now) {
  const settings::Workers& workers = cluster.platform.workers;
  const bool answered = now - host.answered_at < workers.lease_s;
  if (report.baton != cluster.baton) {
    // The first answer may still be on its way.
    host.unheeded += answered ? 1 : 0;
  } else if (!was_ours) {
    host.unheeded = 0;
  } else if (new_tenure && now - host.answered_at < workers.lease_s - kAnswerWithin_s) {
    host.unheeded += kDeafFrom;
  } else if (host.dropped) {
    ++host.unheeded;
  } else if (now - std::max(host.session_at, host.deaf_since) > workers.lease_s + kAnswerWithin_s) {
    host.unheeded = 0;
  }
  if (new_tenure) host.answered_at = -1e9;
}

// What the absence of an attempt from the report proves.
void absorb_absence(Cluster& cluster, Index host_index, const TaskRef& ref, Channel channel,
                    bool new_tenure, double now) {
  Host& host = *cluster.hosts[host_index];
  Attempt& attempt = cluster.jobs[ref.job]->attempts.at(ref.task);
  if (attempt.inherited) {
    // Not started here in its stead: the records hold attempts that an earlier leader had given up
    // to make room for others of the team, and together they may exceed its limit.
    cluster.end_attempt(ref.job, ref.task, now);
    return;
  }
  if (!attempt.sent) return;
  if (!new_tenure) {
    if (channel != Channel::report || host.tick <= attempt.sent_tick) return;
    if (attempt.seen == Seen::nowhere && !attempt.stopping) {
      attempt.sent = false;  // the answer that carried the start was dropped: send it again
      host.dropped = true;
      return;
    }
  }
  cluster.end_attempt(ref.job, ref.task, now);
}

}  // namespace

Report decode_report(const Json& body) {
  Report report;
  report.host = wire::text(body, "host");
  report.address = wire::maybe_text(body, "address").value_or("");
  report.type = wire::text(body, "rig");
  report.zone = wire::text(body, "hall");
  report.spot = wire::flag(body, "loaner");
  report.tenure = wire::count(body, "tenure");
  report.tick = wire::count(body, "tick");
  report.baton = wire::count(body, "baton");
  report.reclaim_in_s = wire::maybe_amount(body, "reclaim_in_s");
  const Json& pieces = wire::list(body, "pieces");
  if (pieces.size() > kMostPieces) throw wire::BadMessage("pieces: too many");
  for (const Json& item : pieces) report.pieces.push_back(decode_piece(item));
  return report;
}

Json encode_response(std::uint64_t baton, const std::vector<Order>& orders) {
  Json list = Json::array();
  for (const Order& order : orders) {
    Json item{{"verb", order.verb == Verb::start  ? "start"
                       : order.verb == Verb::stop ? "stop"
                                                  : "clear"},
              {"piece", piece_name(order.job, order.task)},
              {"try", order.attempt}};
    if (order.verb == Verb::stop) item["wind_down_s"] = order.wind_down_s;
    list.push_back(std::move(item));
  }
  return {{"baton", baton}, {"orders", std::move(list)}};
}

std::optional<Index> absorb(Cluster& cluster, const Report& report, Channel channel, double now) {
  const bool known = cluster.host_index.contains(report.host);
  const Index index = cluster.add_host(report.host, now);
  cluster.describe_host(index, report.type, report.zone, report.spot);
  Host& host = *cluster.hosts[index];
  if (!known) host.hearsay = true;
  if (std::pair(report.tenure, report.tick) <= std::pair(host.tenure, host.tick)) {
    return std::nullopt;
  }
  const bool new_tenure = host.tenure != 0 && report.tenure > host.tenure;
  if (new_tenure) spdlog::info("machine {} lost its lease: session {}", host.name, report.tenure);
  if (report.tenure != host.tenure) host.session_at = now;
  host.tenure = report.tenure;
  host.tick = report.tick;
  host.heard_at = now;
  if (!report.address.empty()) host.address = report.address;
  const bool was_ours = host.ours;
  if (report.baton == cluster.baton) {
    host.ours = true;
    host.hearsay = false;
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
  host.strangers.clear();
  host.dropped = false;
  // A report without our baton may be of any age: held back by a cut since long before we led, it
  // can list as exited, or lack, what an earlier leader has started again since (a simulated
  // cluster ran a task twice that way). It shows that the machine lives; the next one, which
  // carries our baton, shows what is on it. What must not run there is stopped at once: the answer
  // extends its lease.
  if (report.baton != cluster.baton) {
    host.strangers = unknown_tasks(cluster, index, report);
    if (channel == Channel::report) {
      note_whether_heeded(cluster, host, report, new_tenure, was_ours, now);
    }
    return index;
  }
  const std::set<TaskRef> before = host.attempts;
  std::unordered_map<std::string, std::uint64_t> listed;
  for (const Piece& piece : report.pieces) {
    listed[piece_name(piece.job, piece.task)] = piece.attempt;
    absorb_piece(cluster, index, piece, now);
  }
  for (const TaskRef& ref : before) {
    if (!host.attempts.contains(ref)) continue;
    const Job& job = *cluster.jobs[ref.job];
    const auto at = listed.find(piece_name(job.spec.id, ref.task));
    if (at != listed.end() && at->second == job.attempts.at(ref.task).number) continue;
    absorb_absence(cluster, index, ref, channel, new_tenure, now);
  }
  if (channel == Channel::report) {
    note_whether_heeded(cluster, host, report, new_tenure, was_ours, now);
  }
  return index;
}

std::vector<Order> stops_for(const Cluster& cluster, Index host_index) {
  std::vector<Order> orders;
  for (const TaskRef& ref : cluster.hosts[host_index]->attempts) {
    const Job& job = *cluster.jobs[ref.job];
    const Attempt& attempt = job.attempts.at(ref.task);
    if (!attempt.stopping || !(attempt.inherited || attempt.sent)) continue;
    if (orders.size() >= kMostOrders) break;
    orders.push_back({Verb::stop, job.spec.id, ref.task, attempt.number, attempt.wind_down_s});
  }
  return orders;
}

std::vector<Order> stops_for(const Cluster& cluster, const Report& report) {
  const auto host = cluster.host_index.find(report.host);
  const bool known = host != cluster.host_index.end();
  const Index index = known ? host->second : kNone;
  std::vector<Order> orders;
  if (known) orders = stops_for(cluster, index);
  add_stops(unknown_tasks(cluster, index, report), orders);
  return orders;
}

std::vector<Order> orders_for(Cluster& cluster, Index host_index, bool may_start, double now) {
  Host& host = *cluster.hosts[host_index];
  // Stops first: of many orders some may have to wait for the next report, but these.
  std::vector<Order> orders = stops_for(cluster, host_index);
  add_stops(host.strangers, orders);
  // What has ended is forgotten by the worker only once its outcome is durable.
  for (const Exited& exited : host.exited) {
    if (orders.size() >= kMostOrders) break;
    const Job* job = cluster.job(exited.job);
    if (job == nullptr || exited.task >= job->spec.tasks ||
        (cluster.chunk_is_stored(*job, exited.task) &&
         !host.attempts.contains({cluster.job_index[exited.job], exited.task}))) {
      orders.push_back({Verb::clear, exited.job, exited.task, exited.attempt, 0});
    }
  }
  std::vector<TaskRef> unsent;
  for (const TaskRef& ref : host.attempts) {
    const Job& job = *cluster.jobs[ref.job];
    Attempt& attempt = cluster.jobs[ref.job]->attempts.at(ref.task);
    if (attempt.stopping) {
      if (!attempt.inherited && !attempt.sent) unsent.push_back(ref);
      continue;
    }
    if (attempt.seen != Seen::nowhere || !attempt.durable || attempt.inherited || attempt.sent ||
        !may_start || host.deaf_since >= 0 || orders.size() >= kMostOrders) {
      continue;
    }
    orders.push_back({Verb::start, job.spec.id, ref.task, attempt.number, 0});
    attempt.sent = true;
    attempt.sent_tick = host.tick;
  }
  for (const TaskRef& ref : unsent) cluster.end_attempt(ref.job, ref.task, now);
  host.answered_at = now;
  return orders;
}

}  // namespace reachramp::workers
