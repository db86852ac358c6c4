#include "simulated_cluster.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "controller/obsolete_records.h"
#include "drains/drains.h"

namespace reachramp::test {

settings::Platform SimulationOptions::default_platform() {
  settings::Platform platform;
  platform.node_name = "node-0";
  platform.members = {{"node-1", "a", {}}, {"node-2", "b", {}}};
  platform.teams = {{"red", 4, 10, 0, 0}, {"blue", 0, 0, 0, 0}};
  platform.worker_timings = {1, 10, 15, 4, 30};
  platform.store_limits = {1000, 200, 3, 8};
  platform.upcoming_store_limits = {1000, 100, 1, 4};
  platform.cloud_limits = {10, 2};
  return platform;
}

cloud::Catalog simulated_catalog() {
  return {{"small", 4, 0, 16, 50, 1, 0.4, 0.1, 5, {"a", "b"}},
          {"large", 16, 0, 64, 50, 1, 1.6, 0.4, 5, {"a", "b"}}};
}

SimulatedCluster::SimulatedCluster(std::uint64_t seed, const SimulationOptions& options)
    : random_(seed),
      options_(options),
      platform_(options_.platform),
      all_upgraded_at_(options_.all_upgraded_after_s < 0
                           ? random_between(90, 150)
                           : kSimulationStart_s + options_.all_upgraded_after_s),
      limits_lowered_at_(all_upgraded_at_ + random_between(0, 50)),
      write_limiter_(platform_.store_limits.write_rps, platform_.store_limits.write_rps),
      store_(platform_.store_limits, seed) {
  store_.commit({{}, {{"catalog", cloud::encode_catalog(simulated_catalog()), std::nullopt}}});
  for (SimulatedNode& node : nodes_) {
    node.upgrades_at = all_upgraded_at_ + random_between(5, 60);
    node.recent_cancellations =
        std::make_unique<peers::RecentCancellations>(platform_.worker_timings.cancel_s, now_);
  }
}

void SimulatedCluster::submit(jobs::Spec spec) {
  if (now_ < all_upgraded_at_) spec.depends_on.clear();
  jobs::Header header;
  header.spec = spec;
  for (const std::string& dependency : spec.depends_on) {
    const auto job_record = store_.items().find(jobs::job_key(dependency));
    header.cancelled =
        header.cancelled ||
        (job_record != store_.items().end()
             ? jobs::decode_header(job_record->second.value).cancelled
             : jobs::decode_final_state(store_.items().at(jobs::end_key(dependency)).value)
                   .cancelled);
  }
  specs_[spec.id] = spec;
  const auto committed =
      store_.commit({{{jobs::job_key(spec.id), 0}, {jobs::end_key(spec.id), 0}},
                     {{jobs::job_key(spec.id), jobs::encode_header(header), std::nullopt}}});
  record(BehaviourRecorder::kSubmitted,
         {spec.id, header.cancelled, committed.outcome == kv::Outcome::ok});
}

void SimulatedCluster::cancel(const std::string& id) {
  const auto at = store_.items().find(jobs::job_key(id));
  const bool is_live = at != store_.items().end();
  record(BehaviourRecorder::kCancelled, {id, is_live, is_store_down()});
  if (!is_live || is_store_down()) return;
  jobs::Header header = jobs::decode_header(at->second.value);
  header.cancelled = true;
  store_.commit({{{jobs::job_key(id), at->second.revision}},
                 {{jobs::job_key(id), jobs::encode_header(header), std::nullopt}}});
  cancelled_at_.try_emplace(id, now_);
  std::vector<SimulatedNode*> reachable_nodes;
  for (SimulatedNode& node : nodes_) {
    if (node.alive && !(is_leader_refused() && &node == leader_node_))
      reachable_nodes.push_back(&node);
  }
  const bool at_unreachable_node = is_leader_refused() && unreachable_node_ != nullptr &&
                                   unreachable_node_->alive && unreachable_node_ != leader_node_;
  if (!reachable_nodes.empty()) {
    (at_unreachable_node && happens(0.5) ? unreachable_node_
                                         : reachable_nodes[random_() % reachable_nodes.size()])
        ->recent_cancellations->record(id, now_);
  }
}

void SimulatedCluster::run_for(double seconds) {
  const double end = now_ + seconds;
  for (; now_ < end; now_ += 0.1) step();
}

void SimulatedCluster::end_faults() {
  faults_ended_ = true;
  faults_ended_at_ = leader_refused_until_ = outage_ends_at_ = now_;
  for (auto& [name, machine] : machines_) {
    machine.inbound_blocked_until = machine.outbound_blocked_until = machine.hung_until = 0;
  }
  for (SimulatedNode& node : nodes_) {
    node.hold_at = 0;
    node.newest_level = schema::kNewestLevel;
    node.alive = true;
    write_claim(node);
  }
}

void SimulatedCluster::start_store_outage(double leader_only_s, double outage_s) {
  outage_starts_at_ = now_ + leader_only_s;
  leader_refused_until_ = now_ + std::max(leader_only_s, random_between(0, 20));
  outage_ends_at_ = outage_starts_at_ + outage_s;
  unreachable_node_ = happens(0.5) ? &nodes_[random_() % std::size(nodes_)] : nullptr;
  for (const auto& [id, spec] : specs_) {
    const bool is_live = store_.items().contains(jobs::job_key(id));
    if (is_live && happens(spec.estimated_duration_s > 30 ? 0.7 : 0.2)) {
      schedule(random_between(0, leader_only_s), [this, id = id] { cancel(id); });
    }
  }
}

bool SimulatedCluster::is_schema_settled() const {
  const auto at = store_.items().find(schema::kLevelKey);
  if (at == store_.items().end()) return false;
  const schema::StoredSchema stored = schema::decode_stored(at->second.value);
  return stored == schema::StoredSchema{schema::kNewestLevel, schema::kNewestLevel, true} &&
         std::none_of(store_.items().begin(), store_.items().end(), [](const auto& item) {
           return controller::is_obsolete(item.first, item.second.value, schema::kNewestLevel);
         });
}

bool SimulatedCluster::all_jobs_ended() const {
  return std::all_of(specs_.begin(), specs_.end(), [&](const auto& spec) {
    return store_.items().contains(jobs::end_key(spec.first));
  });
}

std::string SimulatedCluster::unfinished_jobs() const {
  std::string records;
  for (const auto& [id, spec] : specs_) {
    const auto at = store_.items().find(jobs::job_key(id));
    if (at != store_.items().end()) records += at->second.value.dump() + "\n";
  }
  return records;
}

bool SimulatedCluster::happens(double probability) {
  return !faults_ended_ && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

double SimulatedCluster::random_between(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void SimulatedCluster::report_violation(const std::string& what) {
  if (reported_violations_.insert(what).second)
    violations.push_back(what + " at " + std::to_string(now_));
}

void SimulatedCluster::schedule(double delay, std::function<void()> call) {
  scheduled_calls_.push_back({now_ + delay, std::move(call)});
}

void SimulatedCluster::poll_cancellations(std::uint64_t fencing_token,
                                          const std::vector<double>& windows) {
  for (std::size_t i = 0; i < windows.size(); ++i) {
    SimulatedNode& member = nodes_[i];
    const bool is_unreachable = &member == unreachable_node_ && is_leader_refused();
    if (!member.alive || is_unreachable || happens(0.05)) continue;
    const double asked_at = now_;
    const double response_delay = happens(0.05) ? random_between(1, 5) : 0.1;
    schedule(0.1, [this, fencing_token, asked_at, response_delay, i, window = windows[i]] {
      if (!nodes_[i].alive) return;
      const peers::RecentCancellations::Confirmed confirmed =
          nodes_[i].recent_cancellations->confirmed_within(window, now_);
      leadership::CancellationDigest digest{i,        window, confirmed.covered_s,
                                            asked_at, 0,      confirmed.jobs};
      schedule(response_delay, [this, fencing_token, digest]() mutable {
        digest.received_at = now_;
        record(BehaviourRecorder::kCancellationDigest,
               {fencing_token, digest.member, digest.window_s, digest.covered_s,
                Json(digest.cancelled)});
        if (leader_ && leader_->cluster().fencing_token == fencing_token)
          leader_->on_cancellation_digests({digest}, now_);
      });
    });
  }
}

void SimulatedCluster::step() {
  if (now_ >= limits_lowered_at_ && !limits_lowered_) {
    limits_lowered_ = true;
    store_.set_limits(platform_.upcoming_store_limits);
    write_limiter_ = kv::TokenBucket(platform_.upcoming_store_limits.write_rps,
                                     platform_.upcoming_store_limits.write_rps);
  }
  for (SimulatedNode& node : nodes_) update_node(node);
  for (SimulatedNode& node : nodes_) {
    const bool refused = is_store_down() || (is_leader_refused() && &node == leader_node_);
    if (node.alive && !refused) node.revision_clock.observe(store_.store_revision(), now_);
  }
  if (happens(0.01)) change_drain_policy();
  if (happens(0.002) && !is_leader_refused())
    start_store_outage(random_between(0, 6), happens(0.3) ? 0 : random_between(0, 70));
  if (!is_leader_refused() && happens(0.004)) depose();
  if (!leader_ && !is_store_down()) elect();
  std::vector<ScheduledCall> due;
  std::erase_if(scheduled_calls_, [&](ScheduledCall& scheduled) {
    if (scheduled.due_at > now_) return false;
    due.push_back(std::move(scheduled));
    return true;
  });
  std::shuffle(due.begin(), due.end(), random_);
  for (ScheduledCall& scheduled : due) scheduled.call();
  for (auto& [name, machine] : machines_) update_machine(machine);
  check_rules();
  if (leader_ && !is_leader_refused()) deliver_job_changes();
  if (leader_ && all_upgraded()) leader_->on_all_upgraded();
  if (leader_) execute_effects(leader_->advance(now_));
  if (leader_ && leader_->deposed()) leader_.reset();
  if (leader_ && now_ >= next_listing_at_) list_machines();
}

leadership::Identity SimulatedCluster::identity(const SimulatedNode& node) const {
  return {node_name(node), "127.0.0.1:1", std::to_string(node.process_count) + "-"};
}

void SimulatedCluster::end_predecessor_leadership(const SimulatedNode& node) {
  const auto at = store_.items().find("leader");
  if (node.newest_level < schema::kTimeline || at == store_.items().end() ||
      leadership::holder_of(at->second.value, identity(node), 0) !=
          leadership::Holder::predecessor) {
    return;
  }
  if (leader_ && leader_node_ == &node) report_violation("the lead of a living process is ended");
  store_.commit({{{"leader", at->second.revision}}, {{"leader", std::nullopt, std::nullopt}}});
  election_at_ = std::min(election_at_, now_ + 0.1);
}

void SimulatedCluster::write_claim(SimulatedNode& node) {
  if (node.lease_id != 0) store_.revoke_lease(node.lease_id);
  node.lease_id = 0;
  if (node.newest_level < schema::kTimeline) return;
  const schema::Claim claim{
      node_name(node), REACHRAMP_VERSION, 1, node.newest_level, node.hold_at, 0, 0};
  const auto at = store_.items().find(schema::claim_key(claim.node));
  if (at != store_.items().end() &&
      schema::disposition_of(
          {at->first, at->second.value, at->second.revision, at->second.lease_id}, claim) ==
          schema::PredecessorClaim::adopt) {
    node.lease_id = std::exchange(node.predecessor_lease_id, 0);
    return;
  }
  node.lease_id = store_.grant_lease(1e9, now_);
  store_.commit(
      {{}, {{schema::claim_key(claim.node), schema::encode_claim(claim), node.lease_id}}});
  node.claimed_level = node.newest_level;
}

void SimulatedCluster::update_node(SimulatedNode& node) {
  if (now_ < all_upgraded_at_) return;
  if (node.predecessor_lease_id != 0 && now_ >= node.predecessor_lease_ends_at) {
    store_.revoke_lease(std::exchange(node.predecessor_lease_id, 0));
  }
  if (!node.alive && now_ >= node.restarts_at) {
    node.alive = true;
    node.recent_cancellations =
        std::make_unique<peers::RecentCancellations>(platform_.worker_timings.cancel_s, now_);
    node.revision_clock = {};
    ++node.process_count;
    write_claim(node);
    end_predecessor_leadership(node);
  }
  if (!node.alive) return;
  node.last_alive_at = now_;
  const bool upgrades_now = node.upgrades_at != 0 && now_ >= node.upgrades_at;
  if (!upgrades_now && !happens(0.002)) return;
  if (upgrades_now) {  // an upgrade may skip versions
    node.upgrades_at =
        node.newest_level == schema::kCompact && happens(0.5) ? now_ + random_between(5, 60) : 0;
    node.newest_level = node.upgrades_at == 0 ? schema::kNewestLevel : schema::kTimeline;
  } else if (happens(0.2)) {
    node.newest_level = schema::kCompact;  // the node restarts with an older version
    node.upgrades_at = now_ + random_between(5, 60);
  } else if (node.newest_level > schema::kCompact) {
    node.hold_at = happens(0.5) ? static_cast<std::uint32_t>(random_between(2, 6)) : 0;
  }
  node.alive = false;
  node.restarts_at =
      now_ + (happens(0.4) ? random_between(0, 0.5) : random_between(1, happens(0.1) ? 60 : 6));
  if (node.predecessor_lease_id != 0) store_.revoke_lease(node.predecessor_lease_id);
  node.predecessor_lease_id = std::exchange(node.lease_id, 0);
  node.predecessor_lease_ends_at = now_ + random_between(0, schema::kClaimLease_s);
  if (leader_ && leader_node_ == &node) {
    leader_.reset();
    const std::uint64_t ended_lease_id = std::exchange(leader_lease_id_, 0);
    schedule(random_between(0.5, 4),
             [this, ended_lease_id] { store_.revoke_lease(ended_lease_id); });
    election_at_ = now_ + 4.2;
  }
}

void SimulatedCluster::check_schema_levels(const kv::Transaction& transaction) {
  const auto at = store_.items().find(schema::kLevelKey);
  const schema::StoredSchema before = schema::decode_stored(
      at == store_.items().end() ? std::nullopt : std::optional(at->second.value));
  const bool writer_knows_levels =
      std::any_of(transaction.preconditions.begin(), transaction.preconditions.end(),
                  [](const auto& condition) { return condition.first == schema::kLevelKey; });
  for (const kv::Write& write : transaction.writes) {
    if (writer_knows_levels && write.value &&
        controller::is_obsolete(write.key, *write.value, before.written_level)) {
      report_violation("an older form: " + write.key);
    }
    if (write.key != schema::kLevelKey) continue;
    const schema::StoredSchema after = schema::decode_stored(write.value);
    if (after.settled) {
      for (const auto& [key, item] : store_.items()) {
        if (controller::is_obsolete(key, item.value, after.written_level) && !old_version_led_) {
          report_violation("settled over " + key);
        }
      }
    }
    if (after.level <= before.level) continue;
    for (const SimulatedNode& node : nodes_) {
      const bool supports_level =
          node.alive ? node.newest_level >= after.level : node.claimed_level >= after.level;
      const bool claim_may_remain = now_ - node.last_alive_at <= schema::kClaimLease_s;
      if (!supports_level && !(claim_may_remain && node.claimed_level >= after.level)) {
        report_violation("stepped to " + std::to_string(after.level) + " without " +
                         node_name(node));
      }
    }
  }
}

std::optional<kv::Entry> SimulatedCluster::read_entry(const std::string& key) const {
  const auto at = store_.items().find(key);
  if (at == store_.items().end()) return std::nullopt;
  return kv::Entry{key, at->second.value, at->second.revision};
}

void SimulatedCluster::change_drain_policy() {
  static const char* const kEntries[] = {"", "(machines (zone a))", "(replace (older-than-s 30))",
                                         "(replace (before 1)) (machines (type large) (spot yes))",
                                         "(budget (down 0)) (machines (zone b))"};
  const auto level = read_entry(schema::kLevelKey);
  if (!level || !schema::has_level(schema::decode_stored(level->value), schema::kDrains)) return;
  const auto record = read_entry(drains::kPolicyKey);
  std::optional<drains::AcceptedPolicy> stored;
  if (record) stored = drains::decode_accepted_policy(record->value);
  const std::uint64_t serial = random_() % 4 == 0 ? policy_serial_ : ++policy_serial_;
  const std::string text = "(drains (serial " + std::to_string(serial) +
                           ") (attrition-s 3) (soon-s 1) (steps (first 2) (settle-s 2)) " +
                           kEntries[random_() % std::size(kEntries)] + ")";
  const auto next =
      drains::next_accepted_policy(stored, record ? record->revision : 0, serial, text);
  if (!next) return;
  apply_transaction(
      {{{drains::kPolicyKey, record ? record->revision : 0}, {schema::kLevelKey, level->revision}},
       {{drains::kPolicyKey, drains::encode_accepted_policy(*next), std::nullopt}}});
}

void SimulatedCluster::verify_transaction(std::uint64_t fencing_token, const std::string& key) {
  schedule(0.05, [this, fencing_token, key] {
    const auto read = [this](const std::string& name) {
      kv::ReadResult result;
      if (is_leader_refused() || happens(0.1)) return result;
      const auto entry = read_entry(name);
      result.outcome = entry ? kv::Outcome::ok : kv::Outcome::absent;
      if (entry) result.entry = *entry;
      return result;
    };
    const kv::ReadResult transaction_key = read(key);
    const kv::ReadResult leader_key = read("leader");
    if (leader_ && leader_->cluster().fencing_token == fencing_token) {
      leader_->on_transaction_verified(transaction_key, leader_key, now_);
    }
  });
}

void SimulatedCluster::deliver_direct_commands(std::uint64_t fencing_token,
                                               const std::string& address, const Json& body) {
  const auto at = machines_.find(address);
  if (at == machines_.end() || !is_alive(at->second)) return;
  SimulatedMachine& machine = at->second;
  if (now_ < machine.inbound_blocked_until) return;
  if (now_ < machine.hung_until) {
    schedule(machine.hung_until - now_,
             [=, this] { deliver_direct_commands(fencing_token, address, body); });
    return;
  }
  if (body.at("baton").get<std::uint64_t>() >= machine.fencing_token &&
      body.at("tenure").get<std::uint64_t>() == machine.incarnation) {
    machine.fencing_token = body.at("baton");
    for (const Json& order : body.at("orders")) {
      const auto task = machine.tasks.find({order.at("piece"), order.at("try")});
      if (order.at("verb") != "stop") report_violation("more than stops at a worker's own address");
      if (task != machine.tasks.end() && task->second.state != "exited") {
        task->second = {"exited", "halted", 0};
      }
    }
  }
  if (options_.repeated_direct_command_share > 0 &&
      happens(options_.repeated_direct_command_share)) {
    schedule(random_between(1, 30),
             [=, this] { deliver_direct_commands(fencing_token, address, body); });
  }
  ++machine.sequence_number;
  const workers::Heartbeat report =
      workers::decode_heartbeat(wire::decode_map(wire::encode(make_report(machine))));
  schedule(random_message_delay(), [this, fencing_token, report] {
    if (leader_ && leader_->cluster().fencing_token == fencing_token)
      leader_->on_direct_status(report, now_);
  });
}

void SimulatedCluster::probe_worker(std::uint64_t fencing_token, const std::string& address) {
  const auto at = machines_.find(address);
  if (at == machines_.end() || !is_alive(at->second) || now_ < at->second.hung_until) return;
  const Json body{
      {"baton", fencing_token}, {"tenure", at->second.incarnation}, {"orders", Json::array()}};
  schedule(random_message_delay(),
           [=, this] { deliver_direct_commands(fencing_token, address, body); });
}

void SimulatedCluster::change_leader() {
  if (leader_) depose();
}

void SimulatedCluster::cancel_running_jobs(double hang_s) {
  std::set<std::string> cancelled;
  for (auto& [name, machine] : machines_) {
    if (!is_alive(machine)) continue;
    bool runs_tasks = false;
    for (const auto& [key, task] : machine.tasks) {
      if (task.state == "exited") continue;
      cancelled.insert(key.first.substr(0, key.first.rfind('/')));
      runs_tasks = true;
    }
    if (runs_tasks && hang_s > 0) hang(machine, hang_s);
  }
  for (const std::string& id : cancelled) cancel(id);
}

void SimulatedCluster::depose() {
  if (leader_lease_id_ == 0) return;
  // The former leader may continue for a while because it does not know that its lease has ended.
  store_.revoke_lease(leader_lease_id_);
  leader_lease_id_ = 0;
  if (happens(0.5)) {
    leader_.reset();
  } else {
    former_leader_ = std::move(leader_);
  }
  election_at_ = now_ + 2;
}

void SimulatedCluster::elect() {
  if (now_ < election_at_ || store_.items().contains("leader")) return;
  std::vector<SimulatedNode*> candidates;
  const auto level = store_.list(schema::kLevelKey);
  const std::uint32_t current_level =
      level.empty() ? schema::kCompact : schema::decode_stored(level.front().value).level;
  for (SimulatedNode& node : nodes_) {
    // Version 0.3.0 knows no schema levels, so the stored level does not exclude it from leading.
    // The levels defined so far do not disturb it.
    if (node.alive &&
        (node.newest_level >= current_level || node.newest_level == schema::kCompact)) {
      candidates.push_back(&node);
    }
  }
  if (candidates.empty()) return;
  leader_node_ = candidates[random_() % candidates.size()];
  const bool is_old_version = leader_node_->newest_level == schema::kCompact;
  old_version_led_ = old_version_led_ || (is_old_version && current_level > schema::kCompact);
  leader_lease_id_ = store_.grant_lease(1e9, now_);
  const auto committed = store_.commit(
      {{{"leader", 0}},
       {{"leader", leadership::encode_holder(identity(*leader_node_), leader_lease_id_),
         leader_lease_id_}}});
  ASSERT_EQ(committed.outcome, kv::Outcome::ok);
  controller::LeaderSnapshot snapshot;
  snapshot.jobs = store_.list("job/");
  snapshot.tasks = store_.list("task/");
  snapshot.pools = store_.list("pool/");
  snapshot.catalog = store_.list("catalog").front();
  snapshot.all_upgraded = all_upgraded();
  const auto stored_clock = store_.list(kv::kTimelineKey);
  if (!stored_clock.empty()) snapshot.stored_revision_clock = stored_clock.front();
  const auto shares = store_.list(shares::kSharesKey);
  if (!shares.empty()) snapshot.shares = shares.front();
  if (!is_old_version) {
    snapshot.drains = read_entry(drains::kPolicyKey);
    snapshot.drain_budgets = read_entry(drains::kUsageKey);
    snapshot.zones = read_entry(zones::kZonesKey);
  }
  if (!is_old_version && !level.empty()) snapshot.stored_schema = level.front();
  snapshot.revision_clock = leader_node_->revision_clock;
  snapshot.revision_clock.observe(store_.store_revision(), now_);
  record(BehaviourRecorder::kElected, {committed.store_revision, node_name(*leader_node_)});
  led_since_ = now_;
  job_watch_revision_ = store_.store_revision();
  schema::SupportedLevels supported_levels;
  supported_levels.newest = leader_node_->newest_level;
  leader_ = std::make_unique<Leader>(platform_, settings::Policy{}, committed.store_revision,
                                     snapshot, now_, supported_levels);
  for (const workers::Heartbeat& report : std::exchange(report_copies_, {})) {
    for (const auto* controller : {&leader_, &former_leader_}) {
      schedule(random_between(0, 0.5), [this, report, controller] {
        const auto no_answer = [](const Json&) {};
        if (!*controller) return;
        (*controller)
            ->on_heartbeat(report, recording_responder(**controller, report, no_answer), now_);
      });
    }
  }
}

void SimulatedCluster::deliver_job_changes() {
  if (happens(0.2)) return;
  auto changes = *store_.changes_after("job/", job_watch_revision_);
  job_watch_revision_ = store_.store_revision();
  // The watch may lag behind the writes that the leader already knows to be committed.
  if (!changes.empty() && happens(0.3)) {
    const std::uint64_t until = changes[changes.size() / 2].revision;
    std::erase_if(changes, [&](const auto& change) { return change.revision > until; });
    job_watch_revision_ = until;
  }
  leader_->on_job_changes(changes, now_);
  leader_->on_jobs_read_until(now_);
}

void SimulatedCluster::execute_effects(const Effects& effects) {
  const std::uint64_t fencing_token = leader_->cluster().fencing_token;
  const bool is_old_version = leader_node_->newest_level == schema::kCompact;
  record_effects(*leader_, effects);
  if (!effects.cancellation_poll_windows_s.empty())
    poll_cancellations(fencing_token, effects.cancellation_poll_windows_s);
  if (effects.read_claims && !is_old_version && !is_leader_refused()) {
    schedule(random_message_delay(), [this, fencing_token] {
      const auto claims = store_.list(schema::kClaimPrefix);
      schedule(random_message_delay(), [this, fencing_token, claims] {
        if (leader_ && leader_->cluster().fencing_token == fencing_token)
          leader_->on_claims(claims);
      });
    });
  }
  if (effects.verify_key) verify_transaction(fencing_token, *effects.verify_key);
  if (effects.read_drains && !is_leader_refused()) {
    schedule(random_message_delay(), [this, fencing_token] {
      const auto record = read_entry(drains::kPolicyKey);
      schedule(random_message_delay(), [this, fencing_token, record] {
        if (leader_ && leader_->cluster().fencing_token == fencing_token)
          leader_->on_drains(record, now_);
      });
    });
  }
  for (const auto& [address, body] : effects.urgent_stops) {
    schedule(random_message_delay(), [=, this, address = address, body = body] {
      deliver_direct_commands(fencing_token, address, body);
    });
  }
  for (const std::string& address : effects.probes) {
    schedule(random_message_delay(), [=, this] { probe_worker(fencing_token, address); });
  }
  if (effects.read_obsolete_records && !is_leader_refused()) {
    std::vector<kv::Entry> obsolete;
    for (const auto& [key, item] : store_.items()) {
      const auto prefixes = controller::obsolete_record_prefixes();
      const bool is_listed = std::any_of(prefixes.begin(), prefixes.end(), [&](const auto& prefix) {
        return key.starts_with(prefix);
      });
      if (is_listed && controller::is_obsolete_at_any_level(key, item.value)) {
        obsolete.push_back({key, item.value, item.revision});
      }
    }
    schedule(random_message_delay(), [this, fencing_token, obsolete] {
      if (leader_ && leader_->cluster().fencing_token == fencing_token)
        leader_->on_obsolete_records(obsolete, now_);
    });
  }
  if (effects.transaction) {
    kv::Transaction transaction = effects.transaction->transaction;
    if (is_old_version) {
      std::erase_if(transaction.preconditions,
                    [](const auto& condition) { return condition.first == schema::kLevelKey; });
    }
    check_record_formats(transaction);
    if (!is_leader_refused() && happens(options_.unanswered_transaction_share)) {
      // The transaction is applied, perhaps late, and its response is lost.
      schedule(happens(0.5) ? random_message_delay() : random_between(0.5, 12),
               [this, transaction] { apply_transaction(transaction); });
      schedule(1.5, [this, fencing_token] { deliver_commit_result(fencing_token, {}); });
    } else if (is_leader_refused() || happens(0.03)) {
      kv::CommitResult refused;
      refused.outcome = kv::Outcome::refused;
      schedule(0.05,
               [this, fencing_token, refused] { deliver_commit_result(fencing_token, refused); });
    } else {
      schedule(0.02, [this, fencing_token, transaction] {
        const kv::CommitResult committed = commit_transaction(transaction);
        schedule(0.02, [this, fencing_token, committed] {
          deliver_commit_result(fencing_token, committed);
        });
      });
    }
  }
  for (const std::string& id : effects.read_job_ends) {
    schedule(random_message_delay(),
             [this, fencing_token, id] { read_job_end(fencing_token, id); });
  }
  for (const CloudRequest& request : effects.cloud_requests)
    schedule(0.2, [this, fencing_token, request] { send_cloud_request(fencing_token, request); });
  if (effects.step_down) depose();
}

void SimulatedCluster::check_record_formats(const kv::Transaction& transaction) {
  for (const kv::Write& write : transaction.writes) {
    const auto key = jobs::parse_task_range_key(write.key);
    if (!key || !write.value) continue;
    if (!all_upgraded() && key->format != jobs::TaskRecordFormat::legacy)
      report_violation("written for new nodes only");
  }
}

kv::CommitResult SimulatedCluster::apply_transaction(const kv::Transaction& transaction) {
  const bool applies = std::all_of(
      transaction.preconditions.begin(), transaction.preconditions.end(),
      [&](const auto& condition) {
        const auto at = store_.items().find(condition.first);
        return (at == store_.items().end() ? 0 : at->second.revision) == condition.second;
      });
  if (applies) check_schema_levels(transaction);
  return store_.commit(transaction);
}

kv::CommitResult SimulatedCluster::commit_transaction(const kv::Transaction& transaction) {
  if (write_limiter_.take(static_cast<double>(transaction.writes.size()), now_) > 0) {
    kv::CommitResult refused;
    refused.outcome = kv::Outcome::refused;
    refused.throttle_count = 5;
    return refused;
  }
  kv::CommitResult committed = apply_transaction(transaction);
  // A transaction that was built before the limits were lowered may be retried for a while.
  if (committed.outcome == kv::Outcome::malformed && now_ > limits_lowered_at_ + 10) {
    report_violation("a transaction too large");
  }
  return committed;
}

void SimulatedCluster::read_job_end(std::uint64_t fencing_token, const std::string& id) {
  if (!leader_ || leader_->cluster().fencing_token != fencing_token) return;
  kv::ReadResult result;
  const auto at = store_.items().find(jobs::end_key(id));
  if (at == store_.items().end()) {
    result.outcome = kv::Outcome::absent;
  } else if (!happens(0.2)) {
    result = {kv::Outcome::ok, {at->first, at->second.value, at->second.revision}, 0};
  }
  leader_->on_job_end_read(id, result, now_);
}

void SimulatedCluster::record(BehaviourRecorder::Kind kind, const Json& values) const {
  if (recorder_ != nullptr) recorder_->record(kind, now_, values);
}

void SimulatedCluster::record_effects(const Leader& leader, const Effects& effects) const {
  if (recorder_ != nullptr)
    recorder_->record_effects(now_, leader.cluster().fencing_token, effects);
}

Leader::HeartbeatResponder SimulatedCluster::recording_responder(
    const Leader& leader, const workers::Heartbeat& report,
    Leader::HeartbeatResponder responder) const {
  if (recorder_ == nullptr) return responder;
  return
      [this, fencing_token = leader.cluster().fencing_token, report, responder](const Json& body) {
        recorder_->record_response(now_, fencing_token, report, body);
        responder(body);
      };
}

void SimulatedCluster::deliver_commit_result(std::uint64_t fencing_token,
                                             const kv::CommitResult& committed) {
  if (leader_ && leader_->cluster().fencing_token == fencing_token)
    leader_->on_transaction_completed(committed, now_);
}

}  // namespace reachramp::test
