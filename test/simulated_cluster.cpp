#include "simulated_cluster.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "controller/stale.h"
#include "drains/drains.h"

namespace reachramp::test {

settings::Platform SimulatedWorld::default_platform() {
  settings::Platform p;
  p.node_name = "node-0";
  p.members = {{"node-1", "a", {}}, {"node-2", "b", {}}};
  p.teams = {{"red", 4, 10, 0, 0}, {"blue", 0, 0, 0, 0}};
  p.workers = {1, 10, 15, 4, 30};
  p.state_limits = {1000, 200, 3, 8};
  p.state_next = {1000, 100, 1, 4};
  p.cloud_limits = {10, 2};
  return p;
}

cloud::Catalog simulated_catalog() {
  return {{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a", "b"}},
          {"large", 16, 0, 64, 50, 1, 1.6, 0.4, 5, {"a", "b"}}};
}

SimulatedCluster::SimulatedCluster(std::uint64_t seed, const SimulatedWorld& world)
    : random_(seed),
      world_(world),
      platform_(world_.platform),
      upgraded_at_(world_.upgraded_after_s < 0 ? between(90, 150)
                                               : kBeginsAt_s + world_.upgraded_after_s),
      lowered_at_(upgraded_at_ + between(0, 50)),
      accepted_(platform_.state_limits.write_rps, platform_.state_limits.write_rps),
      store_(platform_.state_limits, seed) {
  store_.commit({{}, {{"catalog", cloud::encode_catalog(simulated_catalog()), std::nullopt}}});
  for (SimulatedNode& node : nodes_) {
    node.change_at = upgraded_at_ + between(5, 60);
    node.told = std::make_unique<peers::Told>(platform_.workers.cancel_s, now_);
  }
}

void SimulatedCluster::submit(jobs::Spec spec) {
  if (now_ < upgraded_at_) spec.needs.clear();
  jobs::Header header;
  header.spec = spec;
  for (const std::string& need : spec.needs) {
    const auto live = store_.items().find(jobs::job_key(need));
    header.cancelled =
        header.cancelled ||
        (live != store_.items().end()
             ? jobs::decode_header(live->second.value).cancelled
             : jobs::decode_ending(store_.items().at(jobs::end_key(need)).value).cancelled);
  }
  specs_[spec.id] = spec;
  const auto stored =
      store_.commit({{{jobs::job_key(spec.id), 0}, {jobs::end_key(spec.id), 0}},
                     {{jobs::job_key(spec.id), jobs::encode_header(header), std::nullopt}}});
  record(BehaviourRecorder::kSubmitted,
         {spec.id, header.cancelled, stored.outcome == state::Outcome::ok});
}

void SimulatedCluster::cancel(const std::string& id) {
  const auto at = store_.items().find(jobs::job_key(id));
  const bool is_live = at != store_.items().end();
  record(BehaviourRecorder::kCancelled, {id, is_live, is_out()});
  if (!is_live || is_out()) return;
  jobs::Header header = jobs::decode_header(at->second.value);
  header.cancelled = true;
  store_.commit({{{jobs::job_key(id), at->second.stamp}},
                 {{jobs::job_key(id), jobs::encode_header(header), std::nullopt}}});
  cancelled_at_.try_emplace(id, now_);
  std::vector<SimulatedNode*> up;
  for (SimulatedNode& node : nodes_) {
    if (node.alive && !(is_refused() && &node == seat_)) up.push_back(&node);
  }
  const bool by_mute = is_refused() && mute_ != nullptr && mute_->alive && mute_ != seat_;
  if (!up.empty()) {
    (by_mute && chance(0.5) ? mute_ : up[random_() % up.size()])->told->note(id, now_);
  }
}

void SimulatedCluster::run(double seconds) {
  const double end = now_ + seconds;
  for (; now_ < end; now_ += 0.1) step();
}

void SimulatedCluster::calm() {
  calm_ = true;
  calm_at_ = refused_until_ = out_until_ = now_;
  for (auto& [name, machine] : machines_) {
    machine.deaf_until = machine.mute_until = machine.hung_until = 0;
  }
  for (SimulatedNode& node : nodes_) {
    node.hold_at = 0;
    node.newest = levels::kNewest;
    node.alive = true;
    claim(node);
  }
}

void SimulatedCluster::refuse(double gap_s, double outage_s) {
  out_from_ = now_ + gap_s;
  refused_until_ = now_ + std::max(gap_s, between(0, 20));
  out_until_ = out_from_ + outage_s;
  mute_ = chance(0.5) ? &nodes_[random_() % std::size(nodes_)] : nullptr;
  for (const auto& [id, spec] : specs_) {
    const bool live = store_.items().contains(jobs::job_key(id));
    if (live && chance(spec.estimate_s > 30 ? 0.7 : 0.2)) {
      later(between(0, gap_s), [this, id = id] { cancel(id); });
    }
  }
}

bool SimulatedCluster::settled() const {
  const auto at = store_.items().find(levels::kLevelKey);
  if (at == store_.items().end()) return false;
  const levels::Stored stored = levels::decode_stored(at->second.value);
  return stored == levels::Stored{levels::kNewest, levels::kNewest, true} &&
         std::none_of(store_.items().begin(), store_.items().end(), [](const auto& item) {
           return controller::is_stale(item.first, item.second.value, levels::kNewest);
         });
}

bool SimulatedCluster::all_over() const {
  return std::all_of(specs_.begin(), specs_.end(), [&](const auto& spec) {
    return store_.items().contains(jobs::end_key(spec.first));
  });
}

std::string SimulatedCluster::unfinished() const {
  std::string found;
  for (const auto& [id, spec] : specs_) {
    const auto at = store_.items().find(jobs::job_key(id));
    if (at != store_.items().end()) found += at->second.value.dump() + "\n";
  }
  return found;
}

bool SimulatedCluster::chance(double p) {
  return !calm_ && std::uniform_real_distribution<double>(0, 1)(random_) < p;
}

double SimulatedCluster::between(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void SimulatedCluster::break_rule(const std::string& what) {
  if (seen_.insert(what).second) broken.push_back(what + " at " + std::to_string(now_));
}

void SimulatedCluster::later(double delay, std::function<void()> deliver) {
  mail_.push_back({now_ + delay, std::move(deliver)});
}

void SimulatedCluster::ask_told(std::uint64_t baton, const std::vector<double>& windows) {
  for (std::size_t i = 0; i < windows.size(); ++i) {
    SimulatedNode& member = nodes_[i];
    const bool mute = &member == mute_ && is_refused();
    if (!member.alive || mute || chance(0.05)) continue;
    const double asked_at = now_;
    const double back = chance(0.05) ? between(1, 5) : 0.1;
    later(0.1, [this, baton, asked_at, back, i, window = windows[i]] {
      if (!nodes_[i].alive) return;
      const peers::Told::Since told = nodes_[i].told->since(window, now_);
      leadership::Word word{i, window, told.complete_s, asked_at, 0, told.jobs};
      later(back, [this, baton, word]() mutable {
        word.received_at = now_;
        record(BehaviourRecorder::kToldByNode,
               {baton, word.member, word.window_s, word.complete_s, Json(word.cancelled)});
        if (leader_ && leader_->cluster().baton == baton) leader_->on_words({word}, now_);
      });
    });
  }
}

void SimulatedCluster::step() {
  if (now_ >= lowered_at_ && !lowered_) {
    lowered_ = true;
    store_.limit(platform_.state_next);
    accepted_ = state::Bucket(platform_.state_next.write_rps, platform_.state_next.write_rps);
  }
  for (SimulatedNode& node : nodes_) live(node);
  for (SimulatedNode& node : nodes_) {
    const bool refused = is_out() || (is_refused() && &node == seat_);
    if (node.alive && !refused) node.timeline.note(store_.epoch(), now_);
  }
  if (chance(0.01)) operate();
  if (chance(0.002) && !is_refused()) refuse(between(0, 6), chance(0.3) ? 0 : between(0, 70));
  if (!is_refused() && chance(0.004)) depose();
  if (!leader_ && !is_out()) elect();
  std::vector<Message> due;
  std::erase_if(mail_, [&](Message& message) {
    if (message.at > now_) return false;
    due.push_back(std::move(message));
    return true;
  });
  std::shuffle(due.begin(), due.end(), random_);
  for (Message& message : due) message.deliver();
  for (auto& [name, machine] : machines_) work(machine);
  check_everything();
  if (leader_ && !is_refused()) follow_jobs();
  if (leader_ && upgraded()) leader_->on_all_upgraded();
  if (leader_) hand_out(leader_->advance(now_));
  if (leader_ && leader_->deposed()) leader_.reset();
  if (leader_ && now_ >= list_at_) list();
}

leadership::Identity SimulatedCluster::identity(const SimulatedNode& node) const {
  return {name_of(node), "127.0.0.1:1", std::to_string(node.processes) + "-"};
}

void SimulatedCluster::bury_predecessor(const SimulatedNode& node) {
  const auto at = store_.items().find("leader");
  if (node.newest < levels::kAges || at == store_.items().end() ||
      leadership::holder_of(at->second.value, identity(node), 0) !=
          leadership::Holder::predecessor) {
    return;
  }
  if (leader_ && seat_ == &node) break_rule("the lead of a living process is ended");
  store_.commit({{{"leader", at->second.stamp}}, {{"leader", std::nullopt, std::nullopt}}});
  elect_at_ = std::min(elect_at_, now_ + 0.1);
}

void SimulatedCluster::claim(SimulatedNode& node) {
  if (node.permit != 0) store_.release(node.permit);
  node.permit = 0;
  if (node.newest < levels::kAges) return;
  const levels::Claim claim{name_of(node), REACHRAMP_VERSION, 1, node.newest, node.hold_at, 0, 0};
  const auto at = store_.items().find(levels::claim_key(claim.node));
  if (at != store_.items().end() &&
      levels::heir_of({at->first, at->second.value, at->second.stamp, at->second.permit}, claim) ==
          levels::Heir::goes_on) {
    node.permit = std::exchange(node.left_permit, 0);
    return;
  }
  node.permit = store_.hold(1e9, now_);
  store_.commit({{}, {{levels::claim_key(claim.node), levels::encode_claim(claim), node.permit}}});
  node.claimed = node.newest;
}

void SimulatedCluster::live(SimulatedNode& node) {
  if (now_ < upgraded_at_) return;
  if (node.left_permit != 0 && now_ >= node.left_until) {
    store_.release(std::exchange(node.left_permit, 0));
  }
  if (!node.alive && now_ >= node.back_at) {
    node.alive = true;
    node.told = std::make_unique<peers::Told>(platform_.workers.cancel_s, now_);
    node.timeline = {};
    ++node.processes;
    claim(node);
    bury_predecessor(node);
  }
  if (!node.alive) return;
  node.claimed_until = now_;
  const bool changes = node.change_at != 0 && now_ >= node.change_at;
  if (!changes && !chance(0.002)) return;
  if (changes) {  // versions may be skipped
    node.change_at = node.newest == levels::kCompact && chance(0.5) ? now_ + between(5, 60) : 0;
    node.newest = node.change_at == 0 ? levels::kNewest : levels::kAges;
  } else if (chance(0.2)) {
    node.newest = levels::kCompact;  // it comes back old
    node.change_at = now_ + between(5, 60);
  } else if (node.newest > levels::kCompact) {
    node.hold_at = chance(0.5) ? static_cast<std::uint32_t>(between(2, 6)) : 0;
  }
  node.alive = false;
  node.back_at = now_ + (chance(0.4) ? between(0, 0.5) : between(1, chance(0.1) ? 60 : 6));
  if (node.left_permit != 0) store_.release(node.left_permit);
  node.left_permit = std::exchange(node.permit, 0);
  node.left_until = now_ + between(0, levels::kClaimLife_s);
  if (leader_ && seat_ == &node) {
    leader_.reset();
    const std::uint64_t lead = std::exchange(permit_, 0);
    later(between(0.5, 4), [this, lead] { store_.release(lead); });
    elect_at_ = now_ + 4.2;
  }
}

void SimulatedCluster::check_levels(const state::Transaction& transaction) {
  const auto at = store_.items().find(levels::kLevelKey);
  const levels::Stored before = levels::decode_stored(
      at == store_.items().end() ? std::nullopt : std::optional(at->second.value));
  const bool knows =
      std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                  [](const auto& condition) { return condition.first == levels::kLevelKey; });
  for (const state::Write& write : transaction.writes) {
    if (knows && write.value && controller::is_stale(write.key, *write.value, before.writes)) {
      break_rule("an older form: " + write.key);
    }
    if (write.key != levels::kLevelKey) continue;
    const levels::Stored after = levels::decode_stored(write.value);
    if (after.settled) {
      for (const auto& [key, item] : store_.items()) {
        if (controller::is_stale(key, item.value, after.writes) && !old_led_) {
          break_rule("settled over " + key);
        }
      }
    }
    if (after.level <= before.level) continue;
    for (const SimulatedNode& node : nodes_) {
      const bool speaks = node.alive ? node.newest >= after.level : node.claimed >= after.level;
      const bool just_gone = now_ - node.claimed_until <= levels::kClaimLife_s;
      if (!speaks && !(just_gone && node.claimed >= after.level)) {
        break_rule("stepped to " + std::to_string(after.level) + " without " + name_of(node));
      }
    }
  }
}

std::optional<state::Entry> SimulatedCluster::found(const std::string& key) const {
  const auto at = store_.items().find(key);
  if (at == store_.items().end()) return std::nullopt;
  return state::Entry{key, at->second.value, at->second.stamp};
}

void SimulatedCluster::operate() {
  static const char* const kEntries[] = {"", "(machines (zone a))", "(replace (older-than-s 30))",
                                         "(replace (before 1)) (machines (type large) (spot yes))",
                                         "(budget (down 0)) (machines (zone b))"};
  const auto level = found(levels::kLevelKey);
  if (!level || !levels::has(levels::decode_stored(level->value), levels::kDrains)) return;
  const auto record = found(drains::kRulesKey);
  std::optional<drains::Accepted> stored;
  if (record) stored = drains::decode_accepted(record->value);
  const std::uint64_t serial = random_() % 4 == 0 ? serial_ : ++serial_;
  const std::string text = "(drains (serial " + std::to_string(serial) +
                           ") (attrition-s 3) (soon-s 1) (steps (first 2) (settle-s 2)) " +
                           kEntries[random_() % std::size(kEntries)] + ")";
  const auto next = drains::accept(stored, record ? record->stamp : 0, serial, text);
  if (!next) return;
  apply({{{drains::kRulesKey, record ? record->stamp : 0}, {levels::kLevelKey, level->stamp}},
         {{drains::kRulesKey, drains::encode_accepted(*next), std::nullopt}}});
}

void SimulatedCluster::read_back(std::uint64_t baton, const std::string& key) {
  later(0.05, [this, baton, key] {
    const auto read = [this](const std::string& name) {
      state::Found answer;
      if (is_refused() || chance(0.1)) return answer;
      const auto entry = found(name);
      answer.outcome = entry ? state::Outcome::ok : state::Outcome::absent;
      if (entry) answer.entry = *entry;
      return answer;
    };
    const state::Found answer = read(key);
    const state::Found leader = read("leader");
    if (leader_ && leader_->cluster().baton == baton) {
      leader_->on_read_back(answer, leader, now_);
    }
  });
}

void SimulatedCluster::told(std::uint64_t baton, const std::string& address, const Json& body) {
  const auto at = machines_.find(address);
  if (at == machines_.end() || !alive(at->second)) return;
  SimulatedMachine& machine = at->second;
  if (now_ < machine.deaf_until) return;
  if (now_ < machine.hung_until) {
    later(machine.hung_until - now_, [=, this] { told(baton, address, body); });
    return;
  }
  if (body.at("baton").get<std::uint64_t>() >= machine.baton &&
      body.at("tenure").get<std::uint64_t>() == machine.tenure) {
    machine.baton = body.at("baton");
    for (const Json& order : body.at("orders")) {
      const auto piece = machine.tasks.find({order.at("piece"), order.at("try")});
      if (order.at("verb") != "stop") break_rule("more than stops at a worker's own address");
      if (piece != machine.tasks.end() && piece->second.state != "exited") {
        piece->second = {"exited", "halted", 0};
      }
    }
  }
  ++machine.tick;
  const workers::Report report =
      workers::decode_report(wire::decode_map(wire::encode(report_of(machine))));
  later(delay(), [this, baton, report] {
    if (leader_ && leader_->cluster().baton == baton) leader_->on_direct(report, now_);
  });
}

void SimulatedCluster::greet(std::uint64_t baton, const std::string& address) {
  const auto at = machines_.find(address);
  if (at == machines_.end() || !alive(at->second) || now_ < at->second.hung_until) return;
  const Json body{{"baton", baton}, {"tenure", at->second.tenure}, {"orders", Json::array()}};
  later(delay(), [=, this] { told(baton, address, body); });
}

void SimulatedCluster::change_leader() {
  if (leader_) depose();
}

void SimulatedCluster::cancel_running(double hang_s) {
  std::set<std::string> cancelled;
  for (auto& [name, machine] : machines_) {
    if (!alive(machine)) continue;
    bool holds = false;
    for (const auto& [key, task] : machine.tasks) {
      if (task.state == "exited") continue;
      cancelled.insert(key.first.substr(0, key.first.rfind('/')));
      holds = true;
    }
    if (holds && hang_s > 0) hang(machine, hang_s);
  }
  for (const std::string& id : cancelled) cancel(id);
}

void SimulatedCluster::depose() {
  if (permit_ == 0) return;
  // The old leader may go on for a while, not knowing.
  store_.release(permit_);
  permit_ = 0;
  if (chance(0.5)) {
    leader_.reset();
  } else {
    former_ = std::move(leader_);
  }
  elect_at_ = now_ + 2;
}

void SimulatedCluster::elect() {
  if (now_ < elect_at_ || store_.items().contains("leader")) return;
  std::vector<SimulatedNode*> able;
  const auto level = store_.list(levels::kLevelKey);
  const std::uint32_t present =
      level.empty() ? levels::kCompact : levels::decode_stored(level.front().value).level;
  for (SimulatedNode& node : nodes_) {
    // 0.3.0 knows of no level and is not locked out; the levels so far do it no harm.
    if (node.alive && (node.newest >= present || node.newest == levels::kCompact)) {
      able.push_back(&node);
    }
  }
  if (able.empty()) return;
  seat_ = able[random_() % able.size()];
  const bool old = seat_->newest == levels::kCompact;
  old_led_ = old_led_ || (old && present > levels::kCompact);
  permit_ = store_.hold(1e9, now_);
  const auto won =
      store_.commit({{{"leader", 0}},
                     {{"leader", leadership::encode_holder(identity(*seat_), permit_), permit_}}});
  ASSERT_EQ(won.outcome, state::Outcome::ok);
  controller::Snapshot snapshot;
  snapshot.jobs = store_.list("job/");
  snapshot.tasks = store_.list("task/");
  snapshot.pools = store_.list("pool/");
  snapshot.catalog = store_.list("catalog").front();
  snapshot.all_upgraded = upgraded();
  const auto told = store_.list(state::kTimelineKey);
  if (!told.empty()) snapshot.told_timeline = told.front();
  const auto shares = store_.list(shares::kSharesKey);
  if (!shares.empty()) snapshot.shares = shares.front();
  if (!old) {
    snapshot.drains = found(drains::kRulesKey);
    snapshot.drains_used = found(drains::kUsedKey);
    snapshot.zones = found(zones::kZonesKey);
  }
  if (!old && !level.empty()) snapshot.level = level.front();
  snapshot.timeline = seat_->timeline;
  snapshot.timeline.note(store_.epoch(), now_);
  record(BehaviourRecorder::kElected, {won.epoch, name_of(*seat_)});
  led_since_ = now_;
  position_ = store_.epoch();
  levels::Speech speech;
  speech.newest = seat_->newest;
  leader_ =
      std::make_unique<Leader>(platform_, settings::Policy{}, won.epoch, snapshot, now_, speech);
  for (const workers::Report& report : std::exchange(kept_, {})) {
    for (const auto* controller : {&leader_, &former_}) {
      later(between(0, 0.5), [this, report, controller] {
        const auto no_answer = [](const Json&) {};
        if (!*controller) return;
        (*controller)->on_report(report, recorded(**controller, report, no_answer), now_);
      });
    }
  }
}

void SimulatedCluster::follow_jobs() {
  if (chance(0.2)) return;
  auto changes = *store_.changes("job/", position_);
  position_ = store_.epoch();
  // The watch may lag behind what the leader has been told of its own writes.
  if (!changes.empty() && chance(0.3)) {
    const std::uint64_t until = changes[changes.size() / 2].stamp;
    std::erase_if(changes, [&](const auto& change) { return change.stamp > until; });
    position_ = until;
  }
  leader_->on_jobs(changes, now_);
  leader_->on_jobs_current(now_);
}

void SimulatedCluster::hand_out(const Outbox& outbox) {
  const std::uint64_t baton = leader_->cluster().baton;
  const bool old = seat_->newest == levels::kCompact;
  record_outbox(*leader_, outbox);
  if (!outbox.ask_told.empty()) ask_told(baton, outbox.ask_told);
  if (outbox.read_claims && !old && !is_refused()) {
    later(delay(), [this, baton] {
      const auto claims = store_.list(levels::kClaims);
      later(delay(), [this, baton, claims] {
        if (leader_ && leader_->cluster().baton == baton) leader_->on_claims(claims);
      });
    });
  }
  if (outbox.read_back) read_back(baton, *outbox.read_back);
  if (outbox.read_drains && !is_refused()) {
    later(delay(), [this, baton] {
      const auto record = found(drains::kRulesKey);
      later(delay(), [this, baton, record] {
        if (leader_ && leader_->cluster().baton == baton) leader_->on_drains(record, now_);
      });
    });
  }
  for (const auto& [address, body] : outbox.stop_now) {
    later(delay(), [=, this, address = address, body = body] { told(baton, address, body); });
  }
  for (const std::string& address : outbox.greet) {
    later(delay(), [=, this] { greet(baton, address); });
  }
  if (outbox.read_stale && !is_refused()) {
    std::vector<state::Entry> stale;
    for (const auto& [key, item] : store_.items()) {
      const auto prefixes = controller::stale_prefixes();
      const bool read = std::any_of(prefixes.begin(), prefixes.end(),
                                    [&](const auto& prefix) { return key.starts_with(prefix); });
      if (read && controller::is_stale_at_any(key, item.value)) {
        stale.push_back({key, item.value, item.stamp});
      }
    }
    later(delay(), [this, baton, stale] {
      if (leader_ && leader_->cluster().baton == baton) leader_->on_stale(stale, now_);
    });
  }
  if (outbox.commit) {
    state::Transaction transaction = outbox.commit->transaction;
    if (old) {
      std::erase_if(transaction.conditions,
                    [](const auto& condition) { return condition.first == levels::kLevelKey; });
    }
    check_form(transaction);
    if (!is_refused() && chance(world_.late_writes)) {  // no answer, but applied, perhaps late
      later(chance(0.5) ? delay() : between(0.5, 12), [this, transaction] { apply(transaction); });
      later(1.5, [this, baton] { settled(baton, {}); });
    } else if (is_refused() || chance(0.03)) {
      state::Committed refused;
      refused.outcome = state::Outcome::refused;
      later(0.05, [this, baton, refused] { settled(baton, refused); });
    } else {
      later(0.02, [this, baton, transaction] {
        const state::Committed committed = commit(transaction);
        later(0.02, [this, baton, committed] { settled(baton, committed); });
      });
    }
  }
  for (const std::string& id : outbox.look_up) {
    later(delay(), [this, baton, id] { look_up(baton, id); });
  }
  for (const CloudOrder& order : outbox.cloud)
    later(0.2, [this, baton, order] { cloud(baton, order); });
  if (outbox.resign) depose();
}

void SimulatedCluster::check_form(const state::Transaction& transaction) {
  for (const state::Write& write : transaction.writes) {
    const auto key = jobs::parse_chunk_key(write.key);
    if (!key || !write.value) continue;
    if (!upgraded() && key->format != jobs::Format::whole) break_rule("written for new nodes only");
  }
}

state::Committed SimulatedCluster::apply(const state::Transaction& transaction) {
  const bool applies = std::all_of(
      transaction.conditions.begin(), transaction.conditions.end(), [&](const auto& condition) {
        const auto at = store_.items().find(condition.first);
        return (at == store_.items().end() ? 0 : at->second.stamp) == condition.second;
      });
  if (applies) check_levels(transaction);
  return store_.commit(transaction);
}

state::Committed SimulatedCluster::commit(const state::Transaction& transaction) {
  if (accepted_.take(static_cast<double>(transaction.writes.size()), now_) > 0) {
    state::Committed refused;
    refused.outcome = state::Outcome::refused;
    refused.throttled = 5;
    return refused;
  }
  state::Committed committed = apply(transaction);
  // One that was put together before the limits fell may be sent again for a while.
  if (committed.outcome == state::Outcome::bad && now_ > lowered_at_ + 10) {
    break_rule("a transaction too large");
  }
  return committed;
}

void SimulatedCluster::look_up(std::uint64_t baton, const std::string& id) {
  if (!leader_ || leader_->cluster().baton != baton) return;
  state::Found found;
  const auto at = store_.items().find(jobs::end_key(id));
  if (at == store_.items().end()) {
    found.outcome = state::Outcome::absent;
  } else if (!chance(0.2)) {
    found = {state::Outcome::ok, {at->first, at->second.value, at->second.stamp}, 0};
  }
  leader_->on_end_read(id, found, now_);
}

void SimulatedCluster::record(BehaviourRecorder::Kind kind, const Json& values) const {
  if (recorder_ != nullptr) recorder_->record(kind, now_, values);
}

void SimulatedCluster::record_outbox(const Leader& leader, const Outbox& outbox) const {
  if (recorder_ != nullptr) recorder_->record_outbox(now_, leader.cluster().baton, outbox);
}

Leader::Answerer SimulatedCluster::recorded(const Leader& leader, const workers::Report& report,
                                            Leader::Answerer answer) const {
  if (recorder_ == nullptr) return answer;
  return [this, token = leader.cluster().baton, report, answer](const Json& body) {
    recorder_->record_response(now_, token, report, body);
    answer(body);
  };
}

void SimulatedCluster::settled(std::uint64_t baton, const state::Committed& committed) {
  if (leader_ && leader_->cluster().baton == baton) leader_->on_settled(committed, now_);
}

}  // namespace reachramp::test
