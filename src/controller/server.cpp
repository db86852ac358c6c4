#include "controller/server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <deque>

#include "controller/obsolete_records.h"
#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

using kv::Outcome;
using kv::steady_now;
using namespace std::chrono_literals;

constexpr auto kReportLimit = 3s;
// Less than the 4 s that a worker waits, and long enough for a silent leader to be replaced.
constexpr double kCarryFor_s = 3.4;
constexpr double kCarryAgain_s = 0.5;
constexpr double kOwnerTick_s = 0.1;
constexpr auto kFollowFor = 1000ms;
constexpr double kCatalogEvery_s = 10;
constexpr double kCatalogLookAgain_s = 0.5;
constexpr double kListEvery_s = 2;
constexpr auto kGreetingLimit = 1000ms;
constexpr int kGreeters = 3;

// This node leads, and may not answer workers now. Final: whoever carries a report passes it on.
constexpr int kMayNotAnswer = peers::kMisdirected;

constexpr const char* kReportPath = "/v1/report";

wire::Reply no_path() { return {404, {{"error", "no such path"}}}; }
wire::Reply no_method() { return {405, {{"error", "no such method here"}}}; }

wire::ClientKind sender(const wire::Request& request) {
  return request.path == kReportPath ? wire::ClientKind::worker : wire::ClientKind::user;
}

}  // namespace

Node::Node(const settings::Platform& platform, const settings::Policy& policy,
           const std::string& policy_path)
    : platform_(platform),
      policy_(policy),
      state_(platform_.state, platform_.state_limits.rps * 0.6),
      cloud_(platform_.cloud),
      speech_{schema::kOldest, schema::kNewest, policy_.hold_at, REACHRAMP_VERSION},
      book_(state_, platform_, speech_),
      campaign_(
          state_, platform_, [this] { return book_.defers_leadership(); },
          [this](double silent_s, double lease_duration_s, std::uint64_t fencing_token) {
            return health_.cut_off(silent_s, lease_duration_s, fencing_token);
          }),
      members_(state_, platform_),
      relay_(platform_),
      told_(platform_.workers.cancel_s, steady_now()),
      health_(state_, platform_, told_),
      door_(state_, platform_, members_, book_, told_, [this] { return catalog(); }),
      cloud_bucket_(platform_.cloud_limits.rps * 0.8, platform_.cloud_limits.rps) {
  if (!policy_path.empty()) desk_.emplace(state_, book_, platform_, policy_path);
}

// The doors first: whoever has not got them is a second process of this name, or there are too few
// ports, and must not have said a word to the key-value store in its node's name.
void Node::run() {
  wire::ConnectionLimiter budget(
      wire::connections_for({platform_.fd_limit, platform_.ram_mb, platform_.thread_limit}));
  wire::Server peers(
      platform_.cluster_listen, budget, wire::ClientKind::peer,
      [](const wire::Request&) { return wire::ClientKind::peer; },
      [this](const wire::Request& request) { return serve_peer(request); });
  wire::Server server(platform_.serve_on, budget, wire::ClientKind::fresh, sender,
                      [this](const wire::Request& request) { return serve(request); });
  std::vector<std::thread> threads;
  threads.emplace_back([this] { own(); });
  threads.emplace_back([this] { members_.run(); });
  threads.emplace_back(
      [this] { book_.run([this](bool locked) { campaign_.set_disabled(locked); }); });
  if (desk_) threads.emplace_back([this] { desk_->run(); });
  threads.emplace_back([this] { commit(); });
  threads.emplace_back([this] { look_up(); });
  threads.emplace_back([this] { watch_jobs(); });
  threads.emplace_back([this] { deal_with_cloud(); });
  threads.emplace_back([this] { ask_told(); });
  for (int i = 0; i < kGreeters; ++i) threads.emplace_back([this] { greet(); });
  spdlog::info("{} serves on {}:{}", platform_.node_name, platform_.serve_on.host,
               platform_.serve_on.port);
  campaign_.run();
  std::terminate();  // run() does not return
}

// ---- doors

wire::Reply Node::serve(const wire::Request& request) {
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  static const std::string jobs = "/submissions";
  static const std::string withdraw = "/withdraw";
  if (request.path == "/ready") {
    if (!get) return no_method();
    const bool ready = !book_.incompatible() && health_.ready();
    return {ready ? 200 : 503, {{"ready", ready}}};
  }
  if (book_.incompatible()) return {503, {{"error", "the stored state is of another version"}}, 5};
  if (request.path == kReportPath) {
    return post ? report(request.body, Origin::worker) : no_method();
  }
  if (request.path == jobs) return post ? door_.submit(request.body) : no_method();
  if (request.path.starts_with(jobs + "/")) {
    std::string id = request.path.substr(jobs.size() + 1);
    if (id.ends_with(withdraw)) {
      id.resize(id.size() - withdraw.size());
      if (id.find('/') != std::string::npos) return no_path();
      return post ? door_.withdraw(id) : no_method();
    }
    if (id.find('/') != std::string::npos) return no_path();
    return get ? door_.query(id) : no_method();
  }
  return no_path();
}

wire::Reply Node::serve_peer(const wire::Request& request) {
  if (request.path == peers::kServedPath) {
    return request.method == "GET"
               ? health_.served(request.body, campaign_.status().highest_seen_revision)
               : no_method();
  }
  if (book_.incompatible()) return {503, {{"error", "the stored state is of another version"}}};
  const bool onward = request.path == peers::kOnwardPath;
  if (!onward && request.path != peers::kRelayPath) return no_path();
  if (request.method != "POST") return no_method();
  return report(request.body, onward ? Origin::onward : Origin::relay);
}

wire::Reply Node::report(const std::string& body, Origin origin) {
  const wire::Json message = wire::decode_map(body);
  const workers::Heartbeat report = workers::decode_heartbeat(message);
  const double give_up = steady_now() + kCarryFor_s;
  for (;;) {
    const leadership::LeadershipStatus standing = campaign_.status();
    const bool detour = origin == Origin::worker;
    if (standing.fencing_token != 0) {
      wire::Reply reply = ask_owner(standing.fencing_token, report);
      if (reply.status != kMayNotAnswer || !detour) return reply;
    }
    if (origin == Origin::relay) break;
    if (standing.fencing_token != 0 || standing.isolated) {
      // It may answer no longer, or has let the lead go. Refused by the key-value store alone it
      // still has the other nodes, who know of a leader: its workers need not move. Cut off from
      // all, or where they all know of none but this one, it sends them on at once.
      if (auto answer = relay_.forward("", message, detour, give_up)) return *answer;
      break;
    }
    if (!standing.leader.empty() && standing.leader != platform_.node_name) {
      if (auto answer = relay_.forward(standing.leader, message, detour, give_up)) return *answer;
    }
    // A leader that has just died is replaced well within the time that a worker waits for an
    // answer. Turned away, it would try the next node, which may be gone as well: workers lost
    // their leases to two dead nodes in a row.
    const double left = give_up - steady_now();
    if (!detour || left <= 0) break;
    campaign_.wait_for_change(standing, std::min(left, kCarryAgain_s));
  }
  return {503, {{"error", "no leader answers"}}};
}

wire::Reply Node::ask_owner(std::uint64_t fencing_token, const workers::Heartbeat& report) {
  auto reply = std::make_shared<std::promise<wire::Reply>>();
  std::future<wire::Reply> answer = reply->get_future();
  commands_.push({fencing_token, ReportIn{report, reply}});
  if (answer.wait_for(kReportLimit) == std::future_status::ready) return answer.get();
  return {503, {{"error", "busy"}}};
}

// A process that has just started is asked for it before it has had time to fetch it: half a second
// of 503 each time, when all nodes were back at once.
std::shared_ptr<const cloud::Catalog> Node::catalog() {
  {
    std::lock_guard lock(catalog_mutex_);
    const double now = steady_now();
    if (catalog_ || now - catalog_looked_at_ < kCatalogLookAgain_s) return catalog_;
    catalog_looked_at_ = now;
  }
  const kv::ReadResult found = state_.get(kCatalogKey);
  try {
    if (found.outcome == Outcome::ok) learn_catalog(cloud::decode_catalog(found.entry.value));
  } catch (const std::exception& error) {
    spdlog::error("stored catalog: {}", error.what());
  }
  std::lock_guard lock(catalog_mutex_);
  return catalog_;
}

void Node::learn_catalog(const cloud::Catalog& catalog) {
  std::lock_guard lock(catalog_mutex_);
  catalog_ = std::make_shared<const cloud::Catalog>(catalog);
}

// ---- the owner

void Node::own() {
  for (;;) {
    std::vector<Command> commands =
        commands_.take(std::chrono::duration<double>(leader_ ? kOwnerTick_s : 1.0));
    const double now = steady_now();
    for (Command& command : commands) {
      try {
        obey(command, now);
      } catch (const std::exception& error) {
        spdlog::error("command dropped: {}", error.what());
      }
    }
    if (!leader_) continue;
    if (members_.all_upgraded()) leader_->on_all_upgraded();
    const std::uint64_t fencing_token = leader_->cluster().fencing_token;
    if (leader_->deposed()) {
      campaign_.on_deposed(fencing_token);
      leader_.reset();
    } else if (campaign_.status().fencing_token != fencing_token) {
      leader_.reset();
    } else {
      hand_out(leader_->advance(now));
    }
  }
}

void Node::obey(Command& command, double now) {
  if (auto* took = std::get_if<TookLead>(&command.what)) {
    leader_ = std::move(took->leader);
    return;
  }
  if (auto* in = std::get_if<ReportIn>(&command.what)) {
    const auto reply = in->reply;
    const auto answer = [reply](const wire::Json& body) {
      reply->set_value(body.is_null() ? wire::Reply{kMayNotAnswer, {{"error", "not current"}}}
                                      : wire::Reply{200, body});
    };
    const bool ours = leader_ && leader_->cluster().fencing_token == command.fencing_token;
    const HeartbeatVerdict verdict =
        ours ? leader_->on_heartbeat(in->report, answer, now) : HeartbeatVerdict::deposed;
    if (verdict == HeartbeatVerdict::deposed) {
      reply->set_value({503, {{"error", "not leading"}}});
    }
    return;
  }
  if (!leader_ || leader_->cluster().fencing_token != command.fencing_token) return;
  struct Visitor {
    Leader& leader;
    double now;
    void operator()(TookLead&) const {}
    void operator()(ReportIn&) const {}
    void operator()(DirectIn& in) const { leader.on_direct_status(in.report, now); }
    void operator()(JobsChanged& in) const {
      leader.on_job_changes(in.changes, now);
      leader.on_jobs_read_until(in.asked_at);
    }
    void operator()(JobsRead& in) const {
      leader.on_job_list(in.entries, now);
      leader.on_jobs_read_until(in.asked_at);
    }
    void operator()(WordsIn& in) const { leader.on_cancellation_digests(in.words, now); }
    void operator()(EndRead& in) const { leader.on_job_end_read(in.id, in.found, now); }
    void operator()(ReadBack& in) const {
      leader.on_transaction_verified(in.found, in.leader, now);
    }
    void operator()(ClaimsRead& in) const { leader.on_claims(in.entries); }
    void operator()(StaleRead& in) const { leader.on_obsolete_records(in.entries, now); }
    void operator()(DrainsRead& in) const { leader.on_drains(in.entry, now); }
    void operator()(Settled& in) const { leader.on_transaction_completed(in.committed, now); }
    void operator()(CatalogRead& in) const { leader.on_catalog(in.catalog, now); }
    void operator()(ListRead& in) const { leader.on_host_list(in.machines, in.asked_at, now); }
    void operator()(HireAnswered& in) const {
      leader.on_scale_out_completed(in.hire, in.hired, now);
    }
    void operator()(Returned& in) const { leader.on_scale_in_completed(in.machines, now); }
  };
  std::visit(Visitor{*leader_, now}, command.what);
}

void Node::hand_out(Effects outbox) {
  const std::uint64_t fencing_token = leader_->cluster().fencing_token;
  if (outbox.step_down) {
    campaign_.resign(fencing_token);
    leader_.reset();
    return;
  }
  if (outbox.read_jobs) read_jobs_again_ = true;
  if (outbox.transaction) commits_.push({fencing_token, outbox.transaction->transaction});
  if (!outbox.cancellation_poll_windows.empty())
    ask_told_.push({fencing_token, std::move(outbox.cancellation_poll_windows)});
  using What = LookUp::What;
  if (outbox.verify_key) look_ups_.push({What::back, fencing_token, std::move(*outbox.verify_key)});
  for (std::string& job : outbox.read_job_ends)
    look_ups_.push({What::end, fencing_token, std::move(job)});
  if (outbox.read_claims) look_ups_.push({What::claims, fencing_token});
  if (outbox.read_obsolete_records) look_ups_.push({What::stale, fencing_token});
  if (outbox.read_drains) look_ups_.push({What::drains, fencing_token});
  for (CloudRequest& order : outbox.cloud_requests)
    cloud_work_.push({fencing_token, std::move(order)});
  for (auto& [address, body] : outbox.urgent_stops) {
    greetings_.push({fencing_token, std::move(address), std::move(body)});
  }
  for (std::string& address : outbox.probes) greetings_.push({fencing_token, std::move(address)});
}

// ---- edges: the key-value store

std::optional<std::vector<kv::Entry>> Node::read_all(const std::string& prefix,
                                                     std::uint64_t* store_revision) {
  std::vector<kv::Entry> entries;
  for (;;) {
    kv::ListResult page = state_.list(prefix, entries.empty() ? "" : entries.back().key);
    if (page.outcome != Outcome::ok) return std::nullopt;
    // Later pages may show later changes; the watch begins where the first one stood.
    if (store_revision != nullptr && *store_revision == 0) *store_revision = page.store_revision;
    const bool more = page.more && !page.entries.empty();
    for (auto& entry : page.entries) entries.push_back(std::move(entry));
    if (!more) return entries;
  }
}

std::optional<LeaderSnapshot> Node::load(double jobs_asked_at) {
  LeaderSnapshot snapshot;
  auto tasks = read_all("task/", nullptr);
  auto pools = tasks ? read_all("pool/", nullptr) : std::nullopt;
  const kv::ReadResult found = pools ? state_.get(kCatalogKey) : kv::ReadResult{};
  if (!pools || (found.outcome != Outcome::ok && found.outcome != Outcome::absent)) {
    return std::nullopt;
  }
  // No level is stored without our fencing token from now on.
  const kv::ReadResult level = state_.get(schema::kLevelKey);
  if (level.outcome != Outcome::ok && level.outcome != Outcome::absent) return std::nullopt;
  if (level.outcome == Outcome::ok) snapshot.level = level.entry;
  const kv::ReadResult shares = state_.get(shares::kSharesKey);
  if (shares.outcome != Outcome::ok && shares.outcome != Outcome::absent) return std::nullopt;
  if (shares.outcome == Outcome::ok) snapshot.shares = shares.entry;
  for (const auto& [key, into] : {std::pair{drains::kRulesKey, &snapshot.drains},
                                  std::pair{drains::kUsedKey, &snapshot.drains_used},
                                  std::pair{zones::kZonesKey, &snapshot.zones}}) {
    const kv::ReadResult record = state_.get(key);
    if (record.outcome != Outcome::ok && record.outcome != Outcome::absent) return std::nullopt;
    if (record.outcome == Outcome::ok) *into = record.entry;
  }
  const kv::ReadResult timeline = state_.get(kv::kTimelineKey);
  if (timeline.outcome != Outcome::ok && timeline.outcome != Outcome::absent) return std::nullopt;
  if (timeline.outcome == Outcome::ok) snapshot.stored_revision_clock = timeline.entry;
  // An old node may have led until now: only a look tells in which form the records may go on.
  const auto upgraded = members_.look();
  if (!upgraded) return std::nullopt;
  snapshot.all_upgraded = *upgraded;
  snapshot.tasks = std::move(*tasks);
  snapshot.pools = std::move(*pools);
  if (found.outcome == Outcome::ok) snapshot.catalog = found.entry;
  snapshot.revision_clock = state_.revision_clock();
  snapshot.asked_at = jobs_asked_at;
  return snapshot;
}

void Node::watch_jobs() {
  std::uint64_t fencing_token = 0;
  for (;;) {
    fencing_token = campaign_.wait_until_leader(fencing_token);
    std::uint64_t position = 0;
    bool loaded = false;
    while (campaign_.status().fencing_token == fencing_token) {
      if (read_jobs_again_.exchange(false)) position = 0;
      if (position == 0) {
        const double asked_at = steady_now();
        auto jobs = read_all("job/", &position);
        std::optional<LeaderSnapshot> snapshot = jobs && !loaded ? load(asked_at) : std::nullopt;
        if (!jobs || (!loaded && !snapshot)) {
          position = 0;
          std::this_thread::sleep_for(kv::jittered(0.2));
          continue;
        }
        if (loaded) {
          commands_.push({fencing_token, JobsRead{std::move(*jobs), asked_at}});
          continue;
        }
        try {
          snapshot->jobs = std::move(*jobs);
          commands_.push({fencing_token,
                          TookLead{std::make_unique<Leader>(platform_, policy_, fencing_token,
                                                            *snapshot, steady_now(), speech_)}});
          loaded = true;
        } catch (const std::exception& error) {
          spdlog::error("records cannot be read: {}", error.what());
          position = 0;
          std::this_thread::sleep_for(kv::jittered(1));
        }
        continue;
      }
      // Answers say what was when they were asked for, at the least: a process that stood still
      // finds one that has waited for it as long.
      const double asked_at = steady_now();
      kv::WatchResult changes = state_.watch("job/", position, kFollowFor);
      if (changes.outcome == Outcome::absent) {
        position = 0;
      } else if (changes.outcome == Outcome::ok) {
        position = changes.store_revision;
        commands_.push({fencing_token, JobsChanged{std::move(changes.changes), asked_at}});
      } else {
        std::this_thread::sleep_for(kv::jittered(0.3));
      }
    }
  }
}

void Node::commit() {
  for (;;) {
    for (const Commit& work : commits_.take(std::chrono::hours(1))) {
      if (campaign_.status().fencing_token != work.fencing_token) continue;
      commands_.push({work.fencing_token, Settled{state_.commit(work.transaction)}});
    }
  }
}

void Node::look_up() {
  for (;;) {
    for (const LookUp& work : look_ups_.take(std::chrono::hours(1))) {
      if (campaign_.status().fencing_token != work.fencing_token) continue;
      if (work.what == LookUp::What::end) {
        commands_.push(
            {work.fencing_token, EndRead{work.name, state_.get(jobs::end_key(work.name))}});
      } else if (work.what == LookUp::What::back) {
        kv::ReadResult found = state_.get(work.name);
        commands_.push({work.fencing_token, ReadBack{std::move(found), state_.get(kLeaderKey)}});
      } else if (work.what == LookUp::What::drains) {
        const kv::ReadResult found = state_.get(drains::kRulesKey);
        if (found.outcome == Outcome::ok) {
          commands_.push({work.fencing_token, DrainsRead{found.entry}});
        } else if (found.outcome == Outcome::absent) {
          commands_.push({work.fencing_token, DrainsRead{}});
        }
      } else if (work.what == LookUp::What::stale) {
        look_for_stale(work.fencing_token);
      } else if (auto claims = read_all(schema::kClaims, nullptr)) {
        commands_.push({work.fencing_token, ClaimsRead{std::move(*claims)}});
      }
    }
  }
}

// Everything that a level may find stale, page by page. The owner tells which of it is.
void Node::look_for_stale(std::uint64_t fencing_token) {
  std::vector<kv::Entry> found;
  for (const std::string& prefix : obsolete_record_prefixes()) {
    auto entries = read_all(prefix, nullptr);
    if (!entries) return;
    for (kv::Entry& entry : *entries) {
      if (is_stale_at_any(entry.key, entry.value)) found.push_back(std::move(entry));
    }
  }
  commands_.push({fencing_token, StaleRead{std::move(found)}});
}

// ---- edges: cloud and workers

void Node::cloud_turn() {
  double wait;
  while ((wait = cloud_bucket_.take(1, steady_now())) > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(wait));
  }
}

void Node::read_machines(std::uint64_t fencing_token) {
  const double asked_at = steady_now();
  std::vector<cloud::ListedMachine> machines;
  for (;;) {
    cloud_turn();
    cloud::ListPage page = cloud_.list(machines.empty() ? "" : machines.back().name);
    if (page.verdict != cloud::CloudOutcome::ok) return;
    const bool more = page.more && !page.machines.empty();
    for (auto& machine : page.machines) machines.push_back(std::move(machine));
    if (!more) break;
  }
  commands_.push({fencing_token, ListRead{std::move(machines), asked_at}});
}

void Node::deal_with_cloud() {
  double catalog_at = -1e9;
  double list_at = -1e9;
  std::deque<QueuedCloudRequest> waiting;
  for (;;) {
    for (QueuedCloudRequest& work :
         cloud_work_.take(std::chrono::duration<double>(waiting.empty() ? 0.5 : 0.05))) {
      waiting.push_back(std::move(work));
    }
    // Read after the wait: what a new lead asks for at once must not be taken for an old one's.
    const std::uint64_t fencing_token = campaign_.status().fencing_token;
    std::erase_if(waiting, [&](const QueuedCloudRequest& call) {
      return call.fencing_token != fencing_token;
    });
    double now = steady_now();
    // Nodes that do not lead need the machine types too, to tell what can never run; they take
    // them from the key-value store, and from the cloud only while nobody has stored them.
    if (fencing_token == 0) {
      list_at = catalog_at = -1e9;
      if (!catalog()) {
        cloud_turn();
        if (const auto read = cloud_.catalog()) learn_catalog(*read);
      }
      continue;
    }
    if (now - catalog_at > kCatalogEvery_s) {
      cloud_turn();
      catalog_at = now;
      if (const auto read = cloud_.catalog()) {
        learn_catalog(*read);
        commands_.push({fencing_token, CatalogRead{*read}});
      } else {
        catalog_at = now - kCatalogEvery_s + 2;
      }
    }
    // After standing still it may be another's: nothing is rented or returned on a view from
    // before, but for the sake of a cancellation.
    if (has_urgent_request(waiting) ||
        (!waiting.empty() && campaign_.is_leadership_certain(fencing_token))) {
      const QueuedCloudRequest work = take_next_request(waiting);
      cloud_turn();
      if (work.request.kind == CloudRequest::Kind::scale_out) {
        const cloud::ScaleOutResult hired = cloud_.scale_out(work.request.scale_out);
        if (hired.verdict == cloud::CloudOutcome::later) {
          waiting.push_back(work);
          std::this_thread::sleep_for(kv::jittered(0.3));
        } else {
          commands_.push({fencing_token, HireAnswered{work.request.scale_out, hired}});
        }
      } else if (cloud_.scale_in(work.request.machines)) {
        commands_.push({fencing_token, Returned{work.request.machines}});
      } else {
        waiting.push_back(work);
        std::this_thread::sleep_for(kv::jittered(0.3));
      }
    }
    now = steady_now();
    if (now - list_at > kListEvery_s) {
      list_at = now;
      read_machines(fencing_token);
    }
  }
}

void Node::ask_told() {
  for (;;) {
    for (const AskTold& ask : ask_told_.take(std::chrono::hours(1))) {
      if (campaign_.status().fencing_token != ask.fencing_token) continue;
      commands_.push({ask.fencing_token, WordsIn{health_.poll_cancellations(ask.windows)}});
    }
  }
}

void Node::greet() {
  for (;;) {
    for (const Greeting& greeting : greetings_.take(std::chrono::hours(1))) {
      if (campaign_.status().fencing_token != greeting.fencing_token) continue;
      try {
        wire::Client worker(wire::parse_address(greeting.address), 0, 2 * wire::kBodyLimit);
        wire::Json body = greeting.body;
        if (body.is_null()) {
          const wire::Answer status = worker.call("GET", "/status", nullptr, kGreetingLimit);
          if (status.status != 200) continue;
          body = {{"baton", greeting.fencing_token},
                  {"tenure", workers::decode_heartbeat(status.body).incarnation},
                  {"orders", wire::Json::array()}};
        }
        const wire::Answer answer = worker.call("POST", "/orders", &body, kGreetingLimit);
        if (answer.status == 200 || answer.status == 409) {
          commands_.push(
              {greeting.fencing_token, DirectIn{workers::decode_heartbeat(answer.body)}});
        }
      } catch (const std::exception& error) {
        spdlog::info("greeting {}: {}", greeting.address, error.what());
      }
    }
  }
}

}  // namespace reachramp::controller
