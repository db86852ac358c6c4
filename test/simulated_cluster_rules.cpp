#include <algorithm>

#include "simulated_cluster.h"
#include "workers/cancelled_tasks.h"

namespace reachramp::test {

namespace {

// The time until a leader has checked its machines again and the cloud has responded, also if the
// cloud's first response is lost.
constexpr double kMachineReturnDelay_s = 3;

}  // namespace

std::map<std::string, double> SimulatedCluster::used_cpus() const {
  std::map<std::string, double> used;
  for (const auto& [name, machine] : machines_) {
    if (!is_alive(machine)) continue;
    for (const auto& [key, task] : machine.tasks) {
      if (task.state == "exited") continue;
      const jobs::Spec& spec = specs_.at(key.first.substr(0, key.first.rfind('/')));
      used[spec.team] += spec.cpus;
    }
  }
  return used;
}

bool SimulatedCluster::is_team_at_limit(const std::string& name) const {
  const auto team = std::find_if(platform_.teams.begin(), platform_.teams.end(),
                                 [&](const settings::Team& one) { return one.name == name; });
  return team != platform_.teams.end() && team->max_cpus > 0 &&
         used_cpus()[name] > team->max_cpus - 0.5;
}

std::size_t SimulatedCluster::running_cancelled_task_count() const {
  std::size_t count = 0;
  for (const auto& [name, machine] : machines_) {
    if (!is_alive(machine)) continue;
    for (const auto& [key, task] : machine.tasks) {
      const bool cancelled = cancelled_at_.contains(key.first.substr(0, key.first.rfind('/')));
      count += cancelled && task.state != "exited" ? 1 : 0;
    }
  }
  return count;
}

void SimulatedCluster::check_rules() {
  note_unknown_cancellations();
  std::map<std::string, double> used = used_cpus();
  for (const auto& [name, machine] : machines_) {
    if (!is_alive(machine)) continue;
    for (const auto& [key, task] : machine.tasks) {
      if (task.state == "exited") continue;
      const std::string id = key.first.substr(0, key.first.rfind('/'));
      const auto cancelled = cancelled_at_.find(id);
      if (cancelled != cancelled_at_.end() &&
          now_ - cancelled->second > platform_.worker_timings.cancel_s &&
          (now_ >= machine.hung_until || could_have_returned_machines(id, cancelled->second))) {
        report_violation("ran_cancelled " + key.first);
      }
    }
  }
  for (const settings::Team& team : platform_.teams) {
    if (team.max_cpus > 0 && used[team.name] > team.max_cpus + 1e-6) {
      report_violation("quota " + team.name);
    }
  }
  std::optional<jobs::DependencyGraph> dependencies;  // of this step, once it is needed
  for (const auto& [id, spec] : specs_) {
    const auto end = store_.items().find(jobs::end_key(id));
    const bool is_live = store_.items().contains(jobs::job_key(id));
    if (is_live == (end != store_.items().end())) report_violation("forgotten " + id);
    const auto cancelled_since = effective_cancellation_time(id);
    if (faults_ended_ && is_live && cancelled_since &&
        now_ - std::max(*cancelled_since, faults_ended_at_) > platform_.worker_timings.cancel_s &&
        !is_stored_as_cancelled(id)) {
      report_violation("orphaned " + id);
    }
    if (is_live && cancelled_since && now_ - *cancelled_since > platform_.worker_timings.cancel_s &&
        !is_stored_as_cancelled(id)) {
      if (!dependencies) dependencies = stored_dependencies();
      if (!dependencies->is_cancelled(id)) {
        report_violation("orphaned " + id + ": users are told that it waits");
      }
    }
    if (end == store_.items().end()) continue;
    const jobs::FinalState ending = jobs::decode_final_state(end->second.value);
    const auto [known, is_new] = ended_as_cancelled_.try_emplace(id, ending.cancelled);
    if (known->second != ending.cancelled) report_violation("went_back " + id);
    if (ending.cancelled != effective_cancellation_time(id).has_value())
      report_violation("went_back " + id);
    for (std::uint32_t task = 0; !ending.cancelled && task < spec.tasks; ++task) {
      if (!done_tasks_.contains(id + "/" + std::to_string(task)))
        report_violation("not_done " + id);
    }
  }
}

bool SimulatedCluster::is_stored_as_cancelled(const std::string& id) const {
  return jobs::decode_header(store_.items().at(jobs::job_key(id)).value).cancelled;
}

jobs::DependencyGraph SimulatedCluster::stored_dependencies() const {
  jobs::DependencyGraph graph;
  for (const kv::Entry& entry : store_.list("job/")) {
    graph.apply_header(jobs::decode_header(entry.value), entry.revision);
  }
  const std::set<std::string> undetermined_ends = graph.undetermined_ends();
  for (const std::string& job : undetermined_ends) {
    const auto end = store_.items().find(jobs::end_key(job));
    const bool cancelled =
        end != store_.items().end() && jobs::decode_final_state(end->second.value).cancelled;
    graph.apply_end(job, cancelled);
  }
  return graph;
}

void SimulatedCluster::note_unknown_cancellations() {
  for (const auto& [id, at] : cancelled_at_) {
    bool knows = leader_ != nullptr;
    if (leader_) {
      const placement::Cluster& cluster = leader_->cluster();
      const auto job = cluster.job_index.find(id);
      knows = job == cluster.job_index.end() || cluster.jobs[job->second]->cancelled;
    }
    if (!knows) unknown_to_leader_at_[id] = now_;
  }
}

bool SimulatedCluster::could_have_returned_machines(const std::string& id,
                                                    double cancelled_at) const {
  const double deadline = cancelled_at + platform_.worker_timings.cancel_s;
  const double observation_s = 2 * workers::max_heartbeat_delay_s(platform_.worker_timings);
  const auto unknown = unknown_to_leader_at_.find(id);
  return leader_ && led_since_ + observation_s + kMachineReturnDelay_s < deadline &&
         (unknown == unknown_to_leader_at_.end() ||
          unknown->second + kMachineReturnDelay_s < deadline);
}

std::optional<double> SimulatedCluster::effective_cancellation_time(const std::string& id) const {
  std::optional<double> at;
  const auto own_cancellation = cancelled_at_.find(id);
  if (own_cancellation != cancelled_at_.end()) at = own_cancellation->second;
  for (const std::string& dependency : specs_.at(id).depends_on) {
    if (const auto dependency_time = effective_cancellation_time(dependency))
      at = std::min(at.value_or(*dependency_time), *dependency_time);
  }
  return at;
}

}  // namespace reachramp::test
