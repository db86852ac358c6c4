#include "simulated_cluster.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "controller/obsolete_records.h"
#include "drains/drains.h"

namespace reachramp::test {

settings::Platform SimulatedWorld::default_platform() {
  settings::Platform p;
  p.node_name = "node-0";
  p.members = {{"node-1", "a", {}}, {"node-2", "b", {}}};
  p.teams = {{"red", 4, 10, 0, 0}, {"blue", 0, 0, 0, 0}};
  p.worker_timings = {1, 10, 15, 4, 30};
  p.store_limits = {1000, 200, 3, 8};
  p.upcoming_store_limits = {1000, 100, 1, 4};
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
      accepted_(platform_.store_limits.write_rps, platform_.store_limits.write_rps),
      store_(platform_.store_limits, seed) {
  store_.commit({{}, {{"catalog", cloud::encode_catalog(simulated_catalog()), std::nullopt}}});
  for (SimulatedNode& node : nodes_) {
    node.change_at = upgraded_at_ + between(5, 60);
    node.told =
        std::make_unique<peers::RecentCancellations>(platform_.worker_timings.cancel_s, now_);
  }
}

void SimulatedCluster::submit(jobs::Spec spec) {
  if (now_ < upgraded_at_) spec.depends_on.clear();
  jobs::Header header;
  header.spec = spec;
  for (const std::string& need : spec.depends_on) {
    const auto live = store_.items().find(jobs::job_key(need));
    header.cancelled =
        header.cancelled ||
        (live != store_.items().end()
             ? jobs::decode_header(live->second.value).cancelled
             : jobs::decode_final_state(store_.items().at(jobs::end_key(need)).value).cancelled);
  }
  specs_[spec.id] = spec;
  const auto stored =
      store_.commit({{{jobs::job_key(spec.id), 0}, {jobs::end_key(spec.id), 0}},
                     {{jobs::job_key(spec.id), jobs::encode_header(header), std::nullopt}}});
  record(BehaviourRecorder::kSubmitted,
         {spec.id, header.cancelled, stored.outcome == kv::Outcome::ok});
}

void SimulatedCluster::cancel(const std::string& id) {
  const auto at = store_.items().find(jobs::job_key(id));
  const bool is_live = at != store_.items().end();
  record(BehaviourRecorder::kCancelled, {id, is_live, is_out()});
  if (!is_live || is_out()) return;
  jobs::Header header = jobs::decode_header(at->second.value);
  header.cancelled = true;
  store_.commit({{{jobs::job_key(id), at->second.revision}},
                 {{jobs::job_key(id), jobs::encode_header(header), std::nullopt}}});
  cancelled_at_.try_emplace(id, now_);
  std::vector<SimulatedNode*> up;
  for (SimulatedNode& node : nodes_) {
    if (node.alive && !(is_refused() && &node == seat_)) up.push_back(&node);
  }
  const bool by_mute = is_refused() && mute_ != nullptr && mute_->alive && mute_ != seat_;
  if (!up.empty()) {
    (by_mute && chance(0.5) ? mute_ : up[random_() % up.size()])->told->record(id, now_);
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
    node.newest = schema::kNewestLevel;
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
    if (live && chance(spec.estimated_duration_s > 30 ? 0.7 : 0.2)) {
      later(between(0, gap_s), [this, id = id] { cancel(id); });
    }
  }
}

bool SimulatedCluster::settled() const {
  const auto at = store_.items().find(schema::kLevelKey);
  if (at == store_.items().end()) return false;
  const schema::StoredSchema stored = schema::decode_stored(at->second.value);
  return stored == schema::StoredSchema{schema::kNewestLevel, schema::kNewestLevel, true} &&
         std::none_of(store_.items().begin(), store_.items().end(), [](const auto& item) {
           return controller::is_obsolete(item.first, item.second.value, schema::kNewestLevel);
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

void SimulatedCluster::ask_told(std::uint64_t fencing_token, const std::vector<double>& windows) {
  for (std::size_t i = 0; i < windows.size(); ++i) {
    SimulatedNode& member = nodes_[i];
    const bool mute = &member == mute_ && is_refused();
    if (!member.alive || mute || chance(0.05)) continue;
    const double asked_at = now_;
    const double back = chance(0.05) ? between(1, 5) : 0.1;
    later(0.1, [this, fencing_token, asked_at, back, i, window = windows[i]] {
      if (!nodes_[i].alive) return;
      const peers::RecentCancellations::Confirmed told =
          nodes_[i].told->confirmed_within(window, now_);
      leadership::CancellationDigest word{i, window, told.covered_s, asked_at, 0, told.jobs};
      later(back, [this, fencing_token, word]() mutable {
        word.received_at = now_;
        record(BehaviourRecorder::kToldByNode,
               {fencing_token, word.member, word.window_s, word.covered_s, Json(word.cancelled)});
        if (leader_ && leader_->cluster().fencing_token == fencing_token)
          leader_->on_cancellation_digests({word}, now_);
      });
    });
  }
}

void SimulatedCluster::step() {
  if (now_ >= lowered_at_ && !lowered_) {
    lowered_ = true;
    store_.limit(platform_.upcoming_store_limits);
    accepted_ = kv::TokenBucket(platform_.upcoming_store_limits.write_rps,
                                platform_.upcoming_store_limits.write_rps);
  }
  for (SimulatedNode& node : nodes_) live(node);
  for (SimulatedNode& node : nodes_) {
    const bool refused = is_out() || (is_refused() && &node == seat_);
    if (node.alive && !refused) node.timeline.observe(store_.store_revision(), now_);
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
  if (node.newest < schema::kTimeline || at == store_.items().end() ||
      leadership::holder_of(at->second.value, identity(node), 0) !=
          leadership::Holder::predecessor) {
    return;
  }
  if (leader_ && seat_ == &node) break_rule("the lead of a living process is ended");
  store_.commit({{{"leader", at->second.revision}}, {{"leader", std::nullopt, std::nullopt}}});
  elect_at_ = std::min(elect_at_, now_ + 0.1);
}

void SimulatedCluster::claim(SimulatedNode& node) {
  if (node.lease_id != 0) store_.release(node.lease_id);
  node.lease_id = 0;
  if (node.newest < schema::kTimeline) return;
  const schema::Claim claim{name_of(node), REACHRAMP_VERSION, 1, node.newest, node.hold_at, 0, 0};
  const auto at = store_.items().find(schema::claim_key(claim.node));
  if (at != store_.items().end() &&
      schema::disposition_of(
          {at->first, at->second.value, at->second.revision, at->second.lease_id}, claim) ==
          schema::PredecessorClaim::adopt) {
    node.lease_id = std::exchange(node.left_lease_id, 0);
    return;
  }
  node.lease_id = store_.hold(1e9, now_);
  store_.commit(
      {{}, {{schema::claim_key(claim.node), schema::encode_claim(claim), node.lease_id}}});
  node.claimed = node.newest;
}

void SimulatedCluster::live(SimulatedNode& node) {
  if (now_ < upgraded_at_) return;
  if (node.left_lease_id != 0 && now_ >= node.left_until) {
    store_.release(std::exchange(node.left_lease_id, 0));
  }
  if (!node.alive && now_ >= node.back_at) {
    node.alive = true;
    node.told =
        std::make_unique<peers::RecentCancellations>(platform_.worker_timings.cancel_s, now_);
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
    node.change_at = node.newest == schema::kCompact && chance(0.5) ? now_ + between(5, 60) : 0;
    node.newest = node.change_at == 0 ? schema::kNewestLevel : schema::kTimeline;
  } else if (chance(0.2)) {
    node.newest = schema::kCompact;  // it comes back old
    node.change_at = now_ + between(5, 60);
  } else if (node.newest > schema::kCompact) {
    node.hold_at = chance(0.5) ? static_cast<std::uint32_t>(between(2, 6)) : 0;
  }
  node.alive = false;
  node.back_at = now_ + (chance(0.4) ? between(0, 0.5) : between(1, chance(0.1) ? 60 : 6));
  if (node.left_lease_id != 0) store_.release(node.left_lease_id);
  node.left_lease_id = std::exchange(node.lease_id, 0);
  node.left_until = now_ + between(0, schema::kClaimLease_s);
  if (leader_ && seat_ == &node) {
    leader_.reset();
    const std::uint64_t lead = std::exchange(lease_id_, 0);
    later(between(0.5, 4), [this, lead] { store_.release(lead); });
    elect_at_ = now_ + 4.2;
  }
}

void SimulatedCluster::check_levels(const kv::Transaction& transaction) {
  const auto at = store_.items().find(schema::kLevelKey);
  const schema::StoredSchema before = schema::decode_stored(
      at == store_.items().end() ? std::nullopt : std::optional(at->second.value));
  const bool knows =
      std::any_of(transaction.preconditions.begin(), transaction.preconditions.end(),
                  [](const auto& condition) { return condition.first == schema::kLevelKey; });
  for (const kv::Write& write : transaction.writes) {
    if (knows && write.value &&
        controller::is_obsolete(write.key, *write.value, before.written_level)) {
      break_rule("an older form: " + write.key);
    }
    if (write.key != schema::kLevelKey) continue;
    const schema::StoredSchema after = schema::decode_stored(write.value);
    if (after.settled) {
      for (const auto& [key, item] : store_.items()) {
        if (controller::is_obsolete(key, item.value, after.written_level) && !old_led_) {
          break_rule("settled over " + key);
        }
      }
    }
    if (after.level <= before.level) continue;
    for (const SimulatedNode& node : nodes_) {
      const bool speaks = node.alive ? node.newest >= after.level : node.claimed >= after.level;
      const bool just_gone = now_ - node.claimed_until <= schema::kClaimLease_s;
      if (!speaks && !(just_gone && node.claimed >= after.level)) {
        break_rule("stepped to " + std::to_string(after.level) + " without " + name_of(node));
      }
    }
  }
}

std::optional<kv::Entry> SimulatedCluster::found(const std::string& key) const {
  const auto at = store_.items().find(key);
  if (at == store_.items().end()) return std::nullopt;
  return kv::Entry{key, at->second.value, at->second.revision};
}

void SimulatedCluster::operate() {
  static const char* const kEntries[] = {"", "(machines (zone a))", "(replace (older-than-s 30))",
                                         "(replace (before 1)) (machines (type large) (spot yes))",
                                         "(budget (down 0)) (machines (zone b))"};
  const auto level = found(schema::kLevelKey);
  if (!level || !schema::has_level(schema::decode_stored(level->value), schema::kDrains)) return;
  const auto record = found(drains::kPolicyKey);
  std::optional<drains::AcceptedPolicy> stored;
  if (record) stored = drains::decode_accepted_policy(record->value);
  const std::uint64_t serial = random_() % 4 == 0 ? serial_ : ++serial_;
  const std::string text = "(drains (serial " + std::to_string(serial) +
                           ") (attrition-s 3) (soon-s 1) (steps (first 2) (settle-s 2)) " +
                           kEntries[random_() % std::size(kEntries)] + ")";
  const auto next =
      drains::next_accepted_policy(stored, record ? record->revision : 0, serial, text);
  if (!next) return;
  apply(
      {{{drains::kPolicyKey, record ? record->revision : 0}, {schema::kLevelKey, level->revision}},
       {{drains::kPolicyKey, drains::encode_accepted_policy(*next), std::nullopt}}});
}

void SimulatedCluster::read_back(std::uint64_t fencing_token, const std::string& key) {
  later(0.05, [this, fencing_token, key] {
    const auto read = [this](const std::string& name) {
      kv::ReadResult answer;
      if (is_refused() || chance(0.1)) return answer;
      const auto entry = found(name);
      answer.outcome = entry ? kv::Outcome::ok : kv::Outcome::absent;
      if (entry) answer.entry = *entry;
      return answer;
    };
    const kv::ReadResult answer = read(key);
    const kv::ReadResult leader = read("leader");
    if (leader_ && leader_->cluster().fencing_token == fencing_token) {
      leader_->on_transaction_verified(answer, leader, now_);
    }
  });
}

void SimulatedCluster::told(std::uint64_t fencing_token, const std::string& address,
                            const Json& body) {
  const auto at = machines_.find(address);
  if (at == machines_.end() || !alive(at->second)) return;
  SimulatedMachine& machine = at->second;
  if (now_ < machine.deaf_until) return;
  if (now_ < machine.hung_until) {
    later(machine.hung_until - now_, [=, this] { told(fencing_token, address, body); });
    return;
  }
  if (body.at("baton").get<std::uint64_t>() >= machine.fencing_token &&
      body.at("tenure").get<std::uint64_t>() == machine.incarnation) {
    machine.fencing_token = body.at("baton");
    for (const Json& order : body.at("orders")) {
      const auto piece = machine.tasks.find({order.at("piece"), order.at("try")});
      if (order.at("verb") != "stop") break_rule("more than stops at a worker's own address");
      if (piece != machine.tasks.end() && piece->second.state != "exited") {
        piece->second = {"exited", "halted", 0};
      }
    }
  }
  ++machine.sequence_number;
  const workers::Heartbeat report =
      workers::decode_heartbeat(wire::decode_map(wire::encode(report_of(machine))));
  later(delay(), [this, fencing_token, report] {
    if (leader_ && leader_->cluster().fencing_token == fencing_token)
      leader_->on_direct_status(report, now_);
  });
}

void SimulatedCluster::greet(std::uint64_t fencing_token, const std::string& address) {
  const auto at = machines_.find(address);
  if (at == machines_.end() || !alive(at->second) || now_ < at->second.hung_until) return;
  const Json body{
      {"baton", fencing_token}, {"tenure", at->second.incarnation}, {"orders", Json::array()}};
  later(delay(), [=, this] { told(fencing_token, address, body); });
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
  if (lease_id_ == 0) return;
  // The old leader may go on for a while, not knowing.
  store_.release(lease_id_);
  lease_id_ = 0;
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
  const auto level = store_.list(schema::kLevelKey);
  const std::uint32_t present =
      level.empty() ? schema::kCompact : schema::decode_stored(level.front().value).level;
  for (SimulatedNode& node : nodes_) {
    // 0.3.0 knows of no level and is not locked out; the levels so far do it no harm.
    if (node.alive && (node.newest >= present || node.newest == schema::kCompact)) {
      able.push_back(&node);
    }
  }
  if (able.empty()) return;
  seat_ = able[random_() % able.size()];
  const bool old = seat_->newest == schema::kCompact;
  old_led_ = old_led_ || (old && present > schema::kCompact);
  lease_id_ = store_.hold(1e9, now_);
  const auto won = store_.commit(
      {{{"leader", 0}},
       {{"leader", leadership::encode_holder(identity(*seat_), lease_id_), lease_id_}}});
  ASSERT_EQ(won.outcome, kv::Outcome::ok);
  controller::LeaderSnapshot snapshot;
  snapshot.jobs = store_.list("job/");
  snapshot.tasks = store_.list("task/");
  snapshot.pools = store_.list("pool/");
  snapshot.catalog = store_.list("catalog").front();
  snapshot.all_upgraded = upgraded();
  const auto told = store_.list(kv::kTimelineKey);
  if (!told.empty()) snapshot.stored_revision_clock = told.front();
  const auto shares = store_.list(shares::kSharesKey);
  if (!shares.empty()) snapshot.shares = shares.front();
  if (!old) {
    snapshot.drains = found(drains::kPolicyKey);
    snapshot.drain_budgets = found(drains::kUsageKey);
    snapshot.zones = found(zones::kZonesKey);
  }
  if (!old && !level.empty()) snapshot.stored_schema = level.front();
  snapshot.revision_clock = seat_->timeline;
  snapshot.revision_clock.observe(store_.store_revision(), now_);
  record(BehaviourRecorder::kElected, {won.store_revision, name_of(*seat_)});
  led_since_ = now_;
  position_ = store_.store_revision();
  schema::SupportedLevels speech;
  speech.newest = seat_->newest;
  leader_ = std::make_unique<Leader>(platform_, settings::Policy{}, won.store_revision, snapshot,
                                     now_, speech);
  for (const workers::Heartbeat& report : std::exchange(kept_, {})) {
    for (const auto* controller : {&leader_, &former_}) {
      later(between(0, 0.5), [this, report, controller] {
        const auto no_answer = [](const Json&) {};
        if (!*controller) return;
        (*controller)->on_heartbeat(report, recorded(**controller, report, no_answer), now_);
      });
    }
  }
}

void SimulatedCluster::follow_jobs() {
  if (chance(0.2)) return;
  auto changes = *store_.changes("job/", position_);
  position_ = store_.store_revision();
  // The watch may lag behind what the leader has been told of its own writes.
  if (!changes.empty() && chance(0.3)) {
    const std::uint64_t until = changes[changes.size() / 2].revision;
    std::erase_if(changes, [&](const auto& change) { return change.revision > until; });
    position_ = until;
  }
  leader_->on_job_changes(changes, now_);
  leader_->on_jobs_read_until(now_);
}

void SimulatedCluster::hand_out(const Effects& outbox) {
  const std::uint64_t fencing_token = leader_->cluster().fencing_token;
  const bool old = seat_->newest == schema::kCompact;
  record_outbox(*leader_, outbox);
  if (!outbox.cancellation_poll_windows_s.empty())
    ask_told(fencing_token, outbox.cancellation_poll_windows_s);
  if (outbox.read_claims && !old && !is_refused()) {
    later(delay(), [this, fencing_token] {
      const auto claims = store_.list(schema::kClaimPrefix);
      later(delay(), [this, fencing_token, claims] {
        if (leader_ && leader_->cluster().fencing_token == fencing_token)
          leader_->on_claims(claims);
      });
    });
  }
  if (outbox.verify_key) read_back(fencing_token, *outbox.verify_key);
  if (outbox.read_drains && !is_refused()) {
    later(delay(), [this, fencing_token] {
      const auto record = found(drains::kPolicyKey);
      later(delay(), [this, fencing_token, record] {
        if (leader_ && leader_->cluster().fencing_token == fencing_token)
          leader_->on_drains(record, now_);
      });
    });
  }
  for (const auto& [address, body] : outbox.urgent_stops) {
    later(delay(),
          [=, this, address = address, body = body] { told(fencing_token, address, body); });
  }
  for (const std::string& address : outbox.probes) {
    later(delay(), [=, this] { greet(fencing_token, address); });
  }
  if (outbox.read_obsolete_records && !is_refused()) {
    std::vector<kv::Entry> stale;
    for (const auto& [key, item] : store_.items()) {
      const auto prefixes = controller::obsolete_record_prefixes();
      const bool read = std::any_of(prefixes.begin(), prefixes.end(),
                                    [&](const auto& prefix) { return key.starts_with(prefix); });
      if (read && controller::is_obsolete_at_any_level(key, item.value)) {
        stale.push_back({key, item.value, item.revision});
      }
    }
    later(delay(), [this, fencing_token, stale] {
      if (leader_ && leader_->cluster().fencing_token == fencing_token)
        leader_->on_obsolete_records(stale, now_);
    });
  }
  if (outbox.transaction) {
    kv::Transaction transaction = outbox.transaction->transaction;
    if (old) {
      std::erase_if(transaction.preconditions,
                    [](const auto& condition) { return condition.first == schema::kLevelKey; });
    }
    check_form(transaction);
    if (!is_refused() && chance(world_.late_writes)) {  // no answer, but applied, perhaps late
      later(chance(0.5) ? delay() : between(0.5, 12), [this, transaction] { apply(transaction); });
      later(1.5, [this, fencing_token] { settled(fencing_token, {}); });
    } else if (is_refused() || chance(0.03)) {
      kv::CommitResult refused;
      refused.outcome = kv::Outcome::refused;
      later(0.05, [this, fencing_token, refused] { settled(fencing_token, refused); });
    } else {
      later(0.02, [this, fencing_token, transaction] {
        const kv::CommitResult committed = commit(transaction);
        later(0.02, [this, fencing_token, committed] { settled(fencing_token, committed); });
      });
    }
  }
  for (const std::string& id : outbox.read_job_ends) {
    later(delay(), [this, fencing_token, id] { look_up(fencing_token, id); });
  }
  for (const CloudRequest& order : outbox.cloud_requests)
    later(0.2, [this, fencing_token, order] { cloud(fencing_token, order); });
  if (outbox.step_down) depose();
}

void SimulatedCluster::check_form(const kv::Transaction& transaction) {
  for (const kv::Write& write : transaction.writes) {
    const auto key = jobs::parse_task_range_key(write.key);
    if (!key || !write.value) continue;
    if (!upgraded() && key->format != jobs::TaskRecordFormat::legacy)
      break_rule("written for new nodes only");
  }
}

kv::CommitResult SimulatedCluster::apply(const kv::Transaction& transaction) {
  const bool applies = std::all_of(
      transaction.preconditions.begin(), transaction.preconditions.end(),
      [&](const auto& condition) {
        const auto at = store_.items().find(condition.first);
        return (at == store_.items().end() ? 0 : at->second.revision) == condition.second;
      });
  if (applies) check_levels(transaction);
  return store_.commit(transaction);
}

kv::CommitResult SimulatedCluster::commit(const kv::Transaction& transaction) {
  if (accepted_.take(static_cast<double>(transaction.writes.size()), now_) > 0) {
    kv::CommitResult refused;
    refused.outcome = kv::Outcome::refused;
    refused.throttle_count = 5;
    return refused;
  }
  kv::CommitResult committed = apply(transaction);
  // One that was put together before the limits fell may be sent again for a while.
  if (committed.outcome == kv::Outcome::malformed && now_ > lowered_at_ + 10) {
    break_rule("a transaction too large");
  }
  return committed;
}

void SimulatedCluster::look_up(std::uint64_t fencing_token, const std::string& id) {
  if (!leader_ || leader_->cluster().fencing_token != fencing_token) return;
  kv::ReadResult found;
  const auto at = store_.items().find(jobs::end_key(id));
  if (at == store_.items().end()) {
    found.outcome = kv::Outcome::absent;
  } else if (!chance(0.2)) {
    found = {kv::Outcome::ok, {at->first, at->second.value, at->second.revision}, 0};
  }
  leader_->on_job_end_read(id, found, now_);
}

void SimulatedCluster::record(BehaviourRecorder::Kind kind, const Json& values) const {
  if (recorder_ != nullptr) recorder_->record(kind, now_, values);
}

void SimulatedCluster::record_outbox(const Leader& leader, const Effects& outbox) const {
  if (recorder_ != nullptr) recorder_->record_outbox(now_, leader.cluster().fencing_token, outbox);
}

Leader::HeartbeatResponder SimulatedCluster::recorded(const Leader& leader,
                                                      const workers::Heartbeat& report,
                                                      Leader::HeartbeatResponder answer) const {
  if (recorder_ == nullptr) return answer;
  return [this, token = leader.cluster().fencing_token, report, answer](const Json& body) {
    recorder_->record_response(now_, token, report, body);
    answer(body);
  };
}

void SimulatedCluster::settled(std::uint64_t fencing_token, const kv::CommitResult& committed) {
  if (leader_ && leader_->cluster().fencing_token == fencing_token)
    leader_->on_transaction_completed(committed, now_);
}

}  // namespace reachramp::test
