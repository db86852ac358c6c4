#include <algorithm>

#include "simulated_cluster.h"

namespace reachramp::test {

void SimulatedCluster::cloud(std::uint64_t fencing_token, const CloudRequest& order) {
  const bool answered =
      leader_ && leader_->cluster().fencing_token == fencing_token && !chance(0.05);
  if (order.kind == CloudRequest::Kind::scale_in) {
    for (const std::string& name : order.scale_in_machines) machines_.erase(name);
    if (answered) {
      leader_->on_scale_in_completed(order.scale_in_machines, now_);
    } else if (leader_) {
      later(1, [this, fencing_token, order] { cloud(fencing_token, order); });
    }
    return;
  }
  auto [at, fresh] = hires_.try_emplace(order.scale_out.name);
  if (fresh) {
    int alike = 0;
    for (const auto& [name, machine] : machines_) {
      alike += now_ < machine.dead_at && machine.type == order.scale_out.type &&
               machine.zone == order.scale_out.zone && machine.spot == order.scale_out.spot;
    }
    for (int i = alike; i < world_.machines_per_pool &&
                        static_cast<int>(at->second.size()) < order.scale_out.count;
         ++i) {
      SimulatedMachine machine;
      machine.name = "n-" + std::to_string(++made_);
      machine.type = order.scale_out.type;
      machine.zone = order.scale_out.zone;
      machine.spot = order.scale_out.spot;
      machine.made_at = now_;
      machine.up_at = now_ + between(world_.boot_least_s, world_.boot_most_s);
      machine.leased_at = machine.up_at;
      at->second.push_back(machine.name);
      machines_[machine.name] = machine;
    }
  }
  cloud::ScaleOutResult hired;
  hired.outcome = at->second.empty() ? cloud::CloudOutcome::no_capacity : cloud::CloudOutcome::ok;
  hired.machines = at->second;
  if (hired.machines.empty()) hires_.erase(at);
  if (answered) {
    later(world_.rental_answer_s, [this, fencing_token, hire = order.scale_out, hired] {
      if (leader_ && leader_->cluster().fencing_token == fencing_token)
        leader_->on_scale_out_completed(hire, hired, now_);
    });
  } else {
    later(1, [this, fencing_token, order] { cloud(fencing_token, order); });
  }
}

void SimulatedCluster::list() {
  list_at_ = now_ + 2;
  const double lag = between(0, 2 * platform_.cloud_limits.list_lag_s);
  const double as_of = now_ - lag;
  std::vector<cloud::ListedMachine> listed;
  for (const auto& [name, machine] : machines_) {
    if (machine.made_at > as_of || (machine.spot && machine.dead_at < as_of)) continue;
    listed.push_back(
        {name, name, machine.type, machine.zone, machine.spot,
         machine.dead_at < as_of ? cloud::MachinePhase::failed : cloud::MachinePhase::running,
         as_of - machine.made_at});
  }
  leader_->on_host_list(listed, now_, now_);
}

bool SimulatedCluster::alive(const SimulatedMachine& machine) const {
  return now_ >= machine.up_at && now_ < machine.dead_at;
}

// Its tasks lose the time.
void SimulatedCluster::hang(SimulatedMachine& machine, double seconds) {
  machine.hung_until = now_ + seconds;
  for (auto& [key, task] : machine.tasks) task.until += seconds;
}

void SimulatedCluster::work(SimulatedMachine& machine) {
  if (!alive(machine)) return;
  if (chance(0.0005)) {
    machine.dead_at = now_;
    return;
  }
  if (now_ < machine.hung_until) return;
  if (chance(0.0004)) machine.deaf_until = now_ + between(3, 60);
  if (chance(0.0004)) machine.mute_until = now_ + between(3, 60);
  if (chance(0.001)) {
    hang(machine, between(1, chance(0.3) ? 70 : 25));
    return;
  }
  if (chance(0.0003)) {
    machine.tasks.clear();
    machine.incarnation = 1;
    machine.sequence_number = machine.fencing_token = 0;
    machine.leased_at = now_;
    machine.awaiting.reset();
    ++machine.life;
  }
  if (now_ - machine.leased_at > platform_.worker_timings.lease_s) {
    machine.tasks.clear();
    ++machine.incarnation;
    machine.leased_at = now_;
  }
  for (auto& [key, piece] : machine.tasks) {
    if (piece.state == "running" && now_ >= piece.until) {
      piece.state = "exited";
      piece.cause = chance(0.03) ? "error" : "done";
      if (piece.cause == "done") complete(key.first);
      if (chance(0.03)) {
        later(between(0, 3),
              [this, id = key.first.substr(0, key.first.rfind('/'))] { cancel(id); });
      }
    }
  }
  if (machine.awaiting && now_ >= machine.give_up_at) machine.awaiting.reset();
  if (machine.awaiting || now_ < machine.report_at) return;
  machine.report_at = now_ + between(0.75, 1.25);
  machine.awaiting = ++machine.sequence_number;
  machine.give_up_at = now_ + 4;
  if (now_ < machine.mute_until || chance(0.05)) return;  // lost
  const std::string name = machine.name;
  const double sent_at = now_;
  const workers::Heartbeat report =
      workers::decode_heartbeat(wire::decode_map(wire::encode(report_of(machine))));
  const int life = machine.life;
  later(delay(), [this, name, life, report, sent_at] { receive(name, life, report, sent_at); });
  if (chance(world_.kept_reports)) kept_.push_back(report);
  // Copies come from seconds to well over a lease later; their answers reach nobody.
  while (chance(0.05)) {
    later(between(1, 30), [this, report] {
      Leader* to = former_ && chance(0.5) ? former_.get() : leader_.get();
      if (to != nullptr) to->on_heartbeat(report, recorded(*to, report, [](const Json&) {}), now_);
    });
  }
}

void SimulatedCluster::complete(const std::string& name) {
  const std::string id = name.substr(0, name.rfind('/'));
  const jobs::Spec& spec = specs_.at(id);
  done_.insert(name);
  if (spec.shape != jobs::Shape::gang) return;
  for (std::uint32_t task = 0; task < spec.tasks; ++task) {
    done_.insert(id + "/" + std::to_string(task));
  }
  for (auto& [other, machine] : machines_) {
    for (auto& [key, piece] : machine.tasks) {
      if (key.first.starts_with(id + "/") && piece.state == "running") {
        piece = {"exited", "done", 0};
      }
    }
  }
}

Json SimulatedCluster::report_of(const SimulatedMachine& machine) const {
  Json pieces = Json::array();
  for (const auto& [key, piece] : machine.tasks) {
    Json item{{"piece", key.first}, {"try", key.second}, {"phase", piece.state}};
    if (!piece.cause.empty()) item["cause"] = piece.cause;
    pieces.push_back(item);
  }
  return {{"host", machine.name},
          {"address", machine.name},
          {"rig", machine.type},
          {"hall", machine.zone},
          {"loaner", machine.spot},
          {"tenure", machine.incarnation},
          {"tick", machine.sequence_number},
          {"baton", machine.fencing_token},
          {"reclaim_in_s", nullptr},
          {"pieces", std::move(pieces)}};
}

void SimulatedCluster::receive(const std::string& name, int life, const workers::Heartbeat& report,
                               double sent_at) {
  // A former leader that has not noticed yet still gets some reports.
  Leader* to = former_ && chance(0.5) ? former_.get() : leader_.get();
  if (to == nullptr) return;
  const auto answer = [this, name, life, report, sent_at](const Json& body) {
    if (body.is_null() || chance(0.04)) return;
    later(delay(), [this, name, life, report, sent_at, body] {
      execute(name, life, report, sent_at, body);
    });
  };
  const auto verdict = to->on_heartbeat(report, recorded(*to, report, answer), now_);
  const bool accepted = verdict != controller::HeartbeatResult::deposed;
  if (!accepted)
    record(BehaviourRecorder::kDeposed,
           {to->cluster().fencing_token, name, report.sequence_number});
  if (to == former_.get()) {
    if (accepted) record_outbox(*former_, former_->advance(now_));
    if (!accepted || chance(0.1)) former_.reset();
  }
}

void SimulatedCluster::execute(const std::string& name, int life, const workers::Heartbeat& report,
                               double sent_at, const Json& body) {
  const auto at = machines_.find(name);
  if (at == machines_.end() || !alive(at->second)) return;
  SimulatedMachine& machine = at->second;
  if (now_ < machine.hung_until) {
    later(machine.hung_until - now_, [=, this] { execute(name, life, report, sent_at, body); });
    return;
  }
  if (machine.awaiting != report.sequence_number || now_ >= machine.give_up_at ||
      machine.incarnation != report.incarnation || machine.life != life ||
      now_ < machine.deaf_until) {
    return;
  }
  machine.awaiting.reset();
  const auto fencing_token = body.at("baton").get<std::uint64_t>();
  if (fencing_token < machine.fencing_token) return;
  machine.fencing_token = fencing_token;
  machine.leased_at = sent_at;
  for (const Json& order : body.at("orders")) {
    const std::string verb = order.at("verb");
    const std::pair key{order.at("piece").get<std::string>(), order.at("try").get<std::uint64_t>()};
    if (verb == "clear") {
      const auto piece = machine.tasks.find(key);
      if (piece != machine.tasks.end() && piece->second.state == "exited") {
        machine.tasks.erase(piece);
      }
    } else if (verb == "stop") {
      const auto piece = machine.tasks.find(key);
      if (piece != machine.tasks.end() && piece->second.state != "exited") {
        piece->second = {"exited", "halted", 0};
      }
    } else if (!machine.tasks.contains(key)) {
      start(machine, key);
    }
  }
}

void SimulatedCluster::start(SimulatedMachine& machine,
                             const std::pair<std::string, std::uint64_t>& key) {
  const std::string id = key.first.substr(0, key.first.rfind('/'));
  const jobs::Spec& spec = specs_.at(id);
  for (const auto& [name, other] : machines_) {
    if (!alive(other)) continue;
    for (const auto& [held, piece] : other.tasks) {
      if (held.first == key.first && piece.state != "exited") {
        break_rule("ran_twice " + key.first);
      }
      if (spec.single_zone && held.first.starts_with(id + "/") && piece.state != "exited" &&
          other.zone != machine.zone) {
        break_rule("wrong_place " + key.first);
      }
    }
  }
  const cloud::Catalog types = simulated_catalog();
  const auto type = std::find_if(types.begin(), types.end(),
                                 [&](const auto& t) { return t.name == machine.type; });
  if ((machine.spot && !spec.allow_spot) || !jobs::fits_type(spec, *type)) {
    break_rule("wrong_place " + key.first);
  }
  for (const std::string& need : spec.depends_on) {
    const auto end = store_.items().find(jobs::end_key(need));
    if (end == store_.items().end() || jobs::decode_final_state(end->second.value).cancelled) {
      break_rule("too_early " + key.first);
    }
  }
  double used = 0;
  for (const auto& [held, piece] : machine.tasks) {
    if (piece.state != "exited") {
      used += specs_.at(held.first.substr(0, held.first.rfind('/'))).cpus;
    }
  }
  if (used + spec.cpus > type->cpus + 1e-6) {
    machine.tasks[key] = {"exited", "full", 0};
    return;
  }
  const double runs = world_.task_run_s > 0            ? world_.task_run_s
                      : spec.estimated_duration_s > 30 ? between(40, 80)
                      : spec.checkpoint_interval_s > 0 ? between(10, 30)
                                                       : between(1, 8);
  machine.tasks[key] = {"running", "", now_ + runs};
}

}  // namespace reachramp::test
