#include <algorithm>

#include "simulated_cluster.h"

namespace reachramp::test {

void SimulatedCluster::send_cloud_request(std::uint64_t fencing_token,
                                          const CloudRequest& request) {
  const bool gets_response =
      leader_ && leader_->cluster().fencing_token == fencing_token && !happens(0.05);
  if (request.kind == CloudRequest::Kind::scale_in) {
    for (const std::string& name : request.scale_in_machines) machines_.erase(name);
    if (gets_response) {
      leader_->on_scale_in_completed(request.scale_in_machines, now_);
    } else if (leader_) {
      schedule(1, [this, fencing_token, request] { send_cloud_request(fencing_token, request); });
    }
    return;
  }
  auto [at, is_new] = rentals_.try_emplace(request.scale_out.name);
  if (is_new) {
    int machines_in_pool = 0;
    for (const auto& [name, machine] : machines_) {
      machines_in_pool += now_ < machine.dead_at && machine.type == request.scale_out.type &&
                          machine.zone == request.scale_out.zone &&
                          machine.spot == request.scale_out.spot;
    }
    for (int i = machines_in_pool; i < options_.machines_per_pool &&
                                   static_cast<int>(at->second.size()) < request.scale_out.count;
         ++i) {
      SimulatedMachine machine;
      machine.name = "n-" + std::to_string(++created_machines_);
      machine.type = request.scale_out.type;
      machine.zone = request.scale_out.zone;
      machine.spot = request.scale_out.spot;
      machine.created_at = now_;
      machine.up_at = now_ + random_between(options_.min_boot_s, options_.max_boot_s);
      machine.lease_renewed_at = machine.up_at;
      at->second.push_back(machine.name);
      machines_[machine.name] = machine;
    }
  }
  cloud::ScaleOutResult result;
  result.outcome = at->second.empty() ? cloud::CloudOutcome::no_capacity : cloud::CloudOutcome::ok;
  result.machines = at->second;
  if (result.machines.empty()) rentals_.erase(at);
  if (gets_response) {
    schedule(options_.rental_response_delay_s,
             [this, fencing_token, scale_out = request.scale_out, result] {
               if (leader_ && leader_->cluster().fencing_token == fencing_token)
                 leader_->on_scale_out_completed(scale_out, result, now_);
             });
  } else {
    schedule(1, [this, fencing_token, request] { send_cloud_request(fencing_token, request); });
  }
}

void SimulatedCluster::list_machines() {
  next_listing_at_ = now_ + 2;
  const double lag_s = random_between(0, 2 * platform_.cloud_limits.list_lag_s);
  const double as_of = now_ - lag_s;
  std::vector<cloud::ListedMachine> listed;
  for (const auto& [name, machine] : machines_) {
    if (machine.created_at > as_of || (machine.spot && machine.dead_at < as_of)) continue;
    listed.push_back(
        {name, name, machine.type, machine.zone, machine.spot,
         machine.dead_at < as_of ? cloud::MachinePhase::failed : cloud::MachinePhase::running,
         as_of - machine.created_at});
  }
  leader_->on_host_list(listed, now_, now_);
}

bool SimulatedCluster::is_alive(const SimulatedMachine& machine) const {
  return now_ >= machine.up_at && now_ < machine.dead_at;
}

// The tasks of a hung machine make no progress, so they end later, by the duration of the hang.
void SimulatedCluster::hang(SimulatedMachine& machine, double seconds) {
  machine.hung_until = now_ + seconds;
  for (auto& [key, task] : machine.tasks) task.ends_at += seconds;
}

void SimulatedCluster::update_machine(SimulatedMachine& machine) {
  if (!is_alive(machine)) return;
  if (happens(0.0005)) {
    machine.dead_at = now_;
    return;
  }
  if (now_ < machine.hung_until) return;
  if (happens(0.0004)) machine.inbound_blocked_until = now_ + random_between(3, 60);
  if (happens(0.0004)) machine.outbound_blocked_until = now_ + random_between(3, 60);
  if (happens(0.001)) {
    hang(machine, random_between(1, happens(0.3) ? 70 : 25));
    return;
  }
  if (happens(options_.worker_restart_probability)) {
    ++worker_restart_count_;
    machine.tasks.clear();
    machine.incarnation = 1;
    machine.sequence_number = machine.fencing_token = 0;
    machine.lease_renewed_at = now_;
    machine.awaited_sequence_number.reset();
    ++machine.generation;
  }
  if (now_ - machine.lease_renewed_at > platform_.worker_timings.lease_s) {
    machine.tasks.clear();
    ++machine.incarnation;
    machine.lease_renewed_at = now_;
  }
  for (auto& [key, task] : machine.tasks) {
    if (task.state == "running" && now_ >= task.ends_at) {
      task.state = "exited";
      task.exit_reason = happens(0.03) ? "error" : "done";
      if (task.exit_reason == "done") complete_task(key.first);
      if (happens(0.03)) {
        schedule(random_between(0, 3),
                 [this, id = key.first.substr(0, key.first.rfind('/'))] { cancel(id); });
      }
    }
  }
  if (machine.awaited_sequence_number && now_ >= machine.response_timeout_at)
    machine.awaited_sequence_number.reset();
  if (machine.awaited_sequence_number || now_ < machine.next_report_at) return;
  machine.next_report_at = now_ + random_between(0.75, 1.25);
  machine.awaited_sequence_number = ++machine.sequence_number;
  machine.response_timeout_at = now_ + 4;
  if (now_ < machine.outbound_blocked_until || happens(0.05)) return;  // the report is lost
  const std::string name = machine.name;
  const double sent_at = now_;
  const workers::Heartbeat report =
      workers::decode_heartbeat(wire::decode_map(wire::encode(make_report(machine))));
  const int generation = machine.generation;
  schedule(random_message_delay(), [this, name, generation, report, sent_at] {
    deliver_report(name, generation, report, sent_at);
  });
  if (happens(options_.replayed_report_share)) report_copies_.push_back(report);
  // Copies arrive 1 to 30 s later, which may be well after the end of the lease. Responses to them
  // reach nobody.
  while (happens(0.05)) {
    schedule(random_between(1, 30), [this, report] {
      Leader* leader = former_leader_ && happens(0.5) ? former_leader_.get() : leader_.get();
      if (leader != nullptr)
        leader->on_heartbeat(report, recording_responder(*leader, report, [](const Json&) {}),
                             now_);
    });
  }
}

void SimulatedCluster::complete_task(const std::string& name) {
  const std::string id = name.substr(0, name.rfind('/'));
  const jobs::Spec& spec = specs_.at(id);
  done_tasks_.insert(name);
  if (spec.shape != jobs::Shape::gang) return;
  for (std::uint32_t task = 0; task < spec.tasks; ++task) {
    done_tasks_.insert(id + "/" + std::to_string(task));
  }
  for (auto& [other, machine] : machines_) {
    for (auto& [key, task] : machine.tasks) {
      if (key.first.starts_with(id + "/") && task.state == "running") {
        task = {"exited", "done", 0};
      }
    }
  }
}

Json SimulatedCluster::make_report(const SimulatedMachine& machine) const {
  Json tasks = Json::array();
  for (const auto& [key, task] : machine.tasks) {
    Json item{{"piece", key.first}, {"try", key.second}, {"phase", task.state}};
    if (!task.exit_reason.empty()) item["cause"] = task.exit_reason;
    tasks.push_back(item);
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
          {"pieces", std::move(tasks)}};
}

void SimulatedCluster::deliver_report(const std::string& name, int generation,
                                      const workers::Heartbeat& report, double sent_at) {
  // A former leader that does not know yet that it was replaced still receives some reports.
  Leader* leader = former_leader_ && happens(0.5) ? former_leader_.get() : leader_.get();
  if (leader == nullptr) return;
  const auto respond = [this, name, generation, report, sent_at](const Json& body) {
    if (body.is_null() || happens(0.04)) return;
    schedule(random_message_delay(), [this, name, generation, report, sent_at, body] {
      execute_response(name, generation, report, sent_at, body);
    });
  };
  const auto result =
      leader->on_heartbeat(report, recording_responder(*leader, report, respond), now_);
  const bool accepted = result != controller::HeartbeatResult::deposed;
  if (!accepted)
    record(BehaviourRecorder::kHeartbeatToDeposedLeader,
           {leader->cluster().fencing_token, name, report.sequence_number});
  if (leader == former_leader_.get()) {
    if (accepted) record_effects(*former_leader_, former_leader_->advance(now_));
    if (!accepted || happens(0.1)) former_leader_.reset();
  }
}

void SimulatedCluster::execute_response(const std::string& name, int generation,
                                        const workers::Heartbeat& report, double sent_at,
                                        const Json& body) {
  const auto at = machines_.find(name);
  if (at == machines_.end() || !is_alive(at->second)) return;
  SimulatedMachine& machine = at->second;
  if (now_ < machine.hung_until) {
    schedule(machine.hung_until - now_,
             [=, this] { execute_response(name, generation, report, sent_at, body); });
    return;
  }
  if (machine.awaited_sequence_number != report.sequence_number ||
      now_ >= machine.response_timeout_at || machine.incarnation != report.incarnation ||
      machine.generation != generation || now_ < machine.inbound_blocked_until) {
    return;
  }
  machine.awaited_sequence_number.reset();
  const auto fencing_token = body.at("baton").get<std::uint64_t>();
  if (fencing_token < machine.fencing_token) return;
  machine.fencing_token = fencing_token;
  machine.lease_renewed_at = sent_at;
  for (const Json& order : body.at("orders")) {
    const std::string verb = order.at("verb");
    const std::pair key{order.at("piece").get<std::string>(), order.at("try").get<std::uint64_t>()};
    if (verb == "clear") {
      const auto task = machine.tasks.find(key);
      if (task != machine.tasks.end() && task->second.state == "exited") {
        machine.tasks.erase(task);
      }
    } else if (verb == "stop") {
      const auto task = machine.tasks.find(key);
      if (task != machine.tasks.end() && task->second.state != "exited") {
        task->second = {"exited", "halted", 0};
      }
    } else if (!machine.tasks.contains(key)) {
      start_task(machine, key);
    }
  }
}

void SimulatedCluster::start_task(SimulatedMachine& machine,
                                  const std::pair<std::string, std::uint64_t>& key) {
  const std::string id = key.first.substr(0, key.first.rfind('/'));
  const jobs::Spec& spec = specs_.at(id);
  for (const auto& [name, other] : machines_) {
    if (!is_alive(other)) continue;
    for (const auto& [held_key, task] : other.tasks) {
      if (held_key.first == key.first && task.state != "exited") {
        report_violation("ran_twice " + key.first);
      }
      if (spec.single_zone && held_key.first.starts_with(id + "/") && task.state != "exited" &&
          other.zone != machine.zone) {
        report_violation("wrong_place " + key.first);
      }
    }
  }
  const cloud::Catalog types = simulated_catalog();
  const auto type = std::find_if(types.begin(), types.end(),
                                 [&](const auto& t) { return t.name == machine.type; });
  if ((machine.spot && !spec.allow_spot) || !jobs::fits_type(spec, *type)) {
    report_violation("wrong_place " + key.first);
  }
  for (const std::string& dependency : spec.depends_on) {
    const auto end = store_.items().find(jobs::end_key(dependency));
    if (end == store_.items().end() || jobs::decode_final_state(end->second.value).cancelled) {
      report_violation("too_early " + key.first);
    }
  }
  double used = 0;
  for (const auto& [held_key, task] : machine.tasks) {
    if (task.state != "exited") {
      used += specs_.at(held_key.first.substr(0, held_key.first.rfind('/'))).cpus;
    }
  }
  if (used + spec.cpus > type->cpus + 1e-6) {
    machine.tasks[key] = {"exited", "full", 0};
    return;
  }
  const double duration_s = options_.task_duration_s > 0     ? options_.task_duration_s
                            : spec.estimated_duration_s > 30 ? random_between(40, 80)
                            : spec.checkpoint_interval_s > 0 ? random_between(10, 30)
                                                             : random_between(1, 8);
  machine.tasks[key] = {"running", "", now_ + duration_s};
}

}  // namespace reachramp::test
