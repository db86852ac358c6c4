// A simulation of a cluster around the real decision code of the leader, with random faults. The
// rules must hold throughout. In particular, a process that knows schema levels never writes a
// record in a form older than that of the current level. After the faults end, all jobs must end
// and the newest level must be settled. A report is a worker's heartbeat, as in the protocol.
//
// The faults and events are:
// - Messages are lost, duplicated late and reordered. A copy of a report may come much later, or
//   only when the next leader starts.
// - Transactions are applied late, or their response is lost.
// - Machines die, hang and resume, lose their leases, or restart under their names with new
//   workers. For a while a machine's reports may arrive while nothing reaches it, or its reports
//   may be lost while commands reach it.
// - Leaders change. Users cancel jobs, also just as a job ends. Jobs depend on other jobs.
// - The nodes are upgraded one by one from version 0.2.0, and until the last one is, the leader
//   writes records that this version can read. Some time later the key-value store lowers its
//   limits.
// - The nodes are upgraded further, through the schema levels. Each process supports some levels
//   and announces them in a claim while it lives. Processes die or restart as older versions, and
//   operators limit the level. Claims outlive their processes; a process that restarts at once
//   adopts the claim of its predecessor and ends the predecessor's leadership.
// - Operators drain machines and end the drains.
// - The key-value store refuses the leader and some time later all nodes, while users cancel jobs
//   at other nodes.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "behaviour_recorder.h"
#include "controller/leader.h"
#include "jobs/dependency_graph.h"
#include "leadership/holder.h"
#include "model/state_service.h"
#include "peers/recent_cancellations.h"

namespace reachramp::test {

using controller::CloudRequest;
using controller::Effects;
using controller::Leader;
using wire::Json;

// A task on a simulated machine.
struct SimulatedTask {
  std::string state = "running";
  std::string exit_reason;
  double ends_at = 0;
};

// A rented machine and the worker that runs on it.
struct SimulatedMachine {
  std::string name, type, zone;
  bool spot = false;
  double up_at = 0, dead_at = 1e18, created_at = 0;
  std::uint64_t incarnation = 1, sequence_number = 0, fencing_token = 0;
  double lease_renewed_at = 0;  // when the last report that got a response was sent
  double next_report_at = 0;
  // By name (job/task) and attempt.
  std::map<std::pair<std::string, std::uint64_t>, SimulatedTask> tasks;
  // Of the report in flight; none: no report is in flight.
  std::optional<std::uint64_t> awaited_sequence_number;
  double response_timeout_at = 0;
  // Until then the machine receives nothing, though its reports arrive.
  double inbound_blocked_until = 0;
  // Until then the machine's reports are lost, though commands to its own address arrive.
  double outbound_blocked_until = 0;
  double hung_until = 0;  // until then the machine does nothing
  int generation = 0;     // grows when the machine restarts under its name with a new worker
};

// A controller node, as far as schema levels matter. Version 0.3.0 supports levels 1 and 2 and
// writes no claim.
struct SimulatedNode {
  std::uint32_t newest_level = schema::kCompact;
  std::uint32_t hold_at = 0;  // its operator wants the level at or below this; 0: no limit
  bool alive = true;
  double restarts_at = 0;
  double upgrades_at = 0;  // when a later version is started here; 0: no upgrade is planned
  std::uint64_t lease_id = 0;
  // The lease of the claim that the previous process on this node left behind, and when that lease
  // ends if no process renews it.
  std::uint64_t predecessor_lease_id = 0;
  double predecessor_lease_ends_at = 0;
  int process_count = 0;  // processes that have run here
  // The cancellations that the current process has confirmed to users.
  std::unique_ptr<peers::RecentCancellations> recent_cancellations;
  // When the current process observed each revision of the key-value store.
  kv::RevisionClock revision_clock;
  // The newest level in this node's last claim, and when the process that wrote it was last alive.
  std::uint32_t claimed_level = 0;
  double last_alive_at = 0;
};

// A function that is called at a simulated time, for example the delivery of a message.
struct ScheduledCall {
  double due_at = 0;
  std::function<void()> call;
};

// The simulated time at which each simulation starts.
inline constexpr double kSimulationStart_s = 100;

// Parameters of a simulation: the cluster, its users and the frequency of some faults.
struct SimulationOptions {
  // Three nodes and two teams, one of which has a limit.
  static settings::Platform default_platform();

  settings::Platform platform = default_platform();
  double all_upgraded_after_s = -1;  // until all nodes support compact records; negative: random
  double message_delay_factor = 1;   // multiplies the usual delays of messages
  double min_boot_s = 0.5, max_boot_s = 8;
  // Machines that the cloud has of each type, zone and kind (spot or not).
  int machines_per_pool = 3;
  // Share of transactions that are applied without a response.
  double unanswered_transaction_share = 0.04;
  double rental_response_delay_s = 0;  // until the cloud's response to a scale-out request arrives
  // Share of reports of which a copy is kept for the next leader.
  double replayed_report_share = 0.02;
  double task_duration_s = 0;  // of every task; 0: depends on the job
  // Probability, for each machine and step of 0.1 s, that its worker restarts under its name.
  double worker_restart_probability = 0.0003;
  // Share of direct commands of which a copy arrives 1 to 30 s later.
  double repeated_direct_command_share = 0;
};

// The machine types that the simulated cloud rents out.
cloud::Catalog simulated_catalog();

// One simulation. Equal seeds, options and calls give equal simulations.
class SimulatedCluster {
 public:
  // `seed` determines all random choices.
  explicit SimulatedCluster(std::uint64_t seed, const SimulationOptions& options = {});

  // Records all events from now on. `recorder` must outlive the cluster.
  void set_recorder(BehaviourRecorder& recorder) { recorder_ = &recorder; }

  // Stores a job as the controllers' API does, already cancelled if it depends on a cancelled job.
  // Until all nodes are upgraded its dependencies are dropped: version 0.2.0 does not know them.
  void submit(jobs::Spec spec);

  // Cancels a job as a user at a random node. Without effect if the job has ended or the store is
  // down.
  void cancel(const std::string& id);

  // Advances the simulated time, in steps of 0.1 s.
  void run_for(double seconds);
  // Ends all faults for good. From then on every node runs the newest version.
  void end_faults();
  // Makes the key-value store refuse the leader, and `leader_only_s` later all nodes for
  // `outage_s`. Users cancel jobs in the first of these two periods.
  void start_store_outage(double leader_only_s, double outage_s);
  // Ends the leader's lease, so that a node is elected anew. The former leader may continue for a
  // while without knowing that its lease has ended.
  void change_leader();
  // Cancels every job that has unfinished tasks on machines, and hangs these machines for `hang_s`.
  void cancel_running_jobs(double hang_s);
  // Whether the team's running tasks use all cores that its limit allows.
  bool is_team_at_limit(const std::string& team) const;
  // The number of unfinished tasks on machines that belong to cancelled jobs.
  std::size_t running_cancelled_task_count() const;
  // How often a worker has restarted under its machine's name so far.
  int worker_restart_count() const { return worker_restart_count_; }
  // The number of copies of reports that wait for the next leader.
  std::size_t pending_report_copy_count() const { return report_copies_.size(); }
  // A uniformly distributed number from the random generator of the simulation.
  double random_between(double low, double high);
  // Whether the newest schema level is settled and no obsolete record remains.
  bool is_schema_settled() const;
  // Whether all submitted jobs are done or cancelled for good.
  bool all_jobs_ended() const;
  // The stored records of the jobs that have not ended, one a line.
  std::string unfinished_jobs() const;
  // The broken rules, each with the time of its first violation.
  std::vector<std::string> violations;

 private:
  // True with the given probability; always false once the faults have ended.
  bool happens(double probability);
  // Adds a broken rule to `violations` when it is reported for the first time.
  void report_violation(const std::string& what);

  // Calls a function after `delay` seconds of simulated time.
  void schedule(double delay, std::function<void()> call);
  // A random delay. Most are short; 3% are 2 to 25 s, like that of packets which a network
  // partition holds back.
  double random_message_delay() {
    return happens(0.03) ? random_between(2, 25)
                         : options_.message_delay_factor * random_between(0.01, 0.15);
  }

  // Whether no node runs version 0.2.0 any longer.
  bool all_upgraded() const { return now_ >= all_upgraded_at_; }
  // Whether the key-value store refuses all nodes.
  bool is_store_down() const { return now_ >= outage_starts_at_ && now_ < outage_ends_at_; }
  // Whether the key-value store refuses the leader.
  bool is_leader_refused() const { return now_ < leader_refused_until_ || is_store_down(); }

  // Asks each node for the cancellations that it has confirmed. Requests may be lost and responses
  // may be late.
  void poll_cancellations(std::uint64_t fencing_token, const std::vector<double>& windows);

  // Simulates the next 0.1 s.
  void step();

  // ---- nodes

  // The name of a node in stored records.
  std::string node_name(const SimulatedNode& node) const {
    return "node-" + std::to_string(&node - nodes_);
  }

  // The identity of the process that runs on the node.
  leadership::Identity identity(const SimulatedNode& node) const;

  // Deletes the leader's record if an earlier process on this node wrote it, which ends that
  // process's leadership. Version 0.3.0 does not do that.
  void end_predecessor_leadership(const SimulatedNode& node);

  // Announces the levels that the process on the node supports, or adopts an equal claim of its
  // predecessor.
  void write_claim(SimulatedNode& node);

  // Simulates the upgrades, deaths and restarts of a node.
  void update_node(SimulatedNode& node);

  // Checks a transaction before it is applied: the schema level is raised only if all nodes support
  // the new one, and a process that knows levels writes no record in a form older than that of the
  // current level.
  void check_schema_levels(const kv::Transaction& transaction);

  // ---- operators

  // Reads a key of the store; empty if it is absent.
  std::optional<kv::Entry> read_entry(const std::string& key) const;

  // Stores a random drain policy, as a node does whose policy file is newer than the accepted
  // policy.
  void change_drain_policy();

  // Reads a key for the leader, to find out whether a transaction was applied. The read sometimes
  // fails, and always while the leader is refused.
  void verify_transaction(std::uint64_t fencing_token, const std::string& key);

  // Delivers stop commands at a worker's own address, to which it responds with its report. A hung
  // machine receives them when it resumes, perhaps much later.
  void deliver_direct_commands(std::uint64_t fencing_token, const std::string& address,
                               const Json& body);

  // Reads a worker's incarnation, then sends it the leader's fencing token.
  void probe_worker(std::uint64_t fencing_token, const std::string& address);

  // ---- leadership

  // Ends the leader's lease. The leader either stops at once or continues as former_leader_.
  void depose();

  // Once the leader's key is free and a pause is over, elects a random node and starts a leader
  // there.
  void elect();

  // Delivers the changes of jobs since the last call to the leader, as its watch would.
  void deliver_job_changes();

  // Carries out what the leader requests, with random delays and losses.
  void execute_effects(const Effects& effects);

  // Checks that only records in the format of version 0.2.0 are written while a node of that
  // version may still lead.
  void check_record_formats(const kv::Transaction& transaction);

  // Checks a transaction against the rules and commits it.
  kv::CommitResult apply_transaction(const kv::Transaction& transaction);

  // Applies a transaction, or refuses it when the store's write limit is exceeded.
  kv::CommitResult commit_transaction(const kv::Transaction& transaction);

  // Reads the record of a job's end for the leader. Some reads fail.
  void read_job_end(std::uint64_t fencing_token, const std::string& id);

  // Delivers the outcome of a transaction to the leader that requested it.
  void deliver_commit_result(std::uint64_t fencing_token, const kv::CommitResult& committed);

  // ---- cloud

  // Carries out a scale-out or scale-in request in the simulated cloud. If the response is lost,
  // the request is repeated 1 s later.
  void send_cloud_request(std::uint64_t fencing_token, const CloudRequest& request);

  // Delivers the cloud's list of machines to the leader. The list is out of date by up to twice
  // list_lag_s.
  void list_machines();

  // ---- machines

  // Whether the machine has booted and has not died.
  bool is_alive(const SimulatedMachine& machine) const;

  // Makes the machine hang, without any progress, for `seconds`.
  void hang(SimulatedMachine& machine, double seconds);
  // Simulates a machine's faults, the ends of its tasks and its reports.
  void update_machine(SimulatedMachine& machine);

  // Marks a task as done. Gangs complete together: if one task is done, all are.
  void complete_task(const std::string& name);

  // The body of the report that the machine would send now.
  Json make_report(const SimulatedMachine& machine) const;

  // Delivers a report to the leader or the former leader, and schedules the response.
  void deliver_report(const std::string& name, int generation, const workers::Heartbeat& report,
                      double sent_at);

  // Carries out the commands of a response to a report, unless the response comes too late.
  void execute_response(const std::string& name, int generation, const workers::Heartbeat& report,
                        double sent_at, const Json& body);

  // Starts a task on a machine, after checks of the rules about its placement.
  void start_task(SimulatedMachine& machine, const std::pair<std::string, std::uint64_t>& key);

  // ---- recording, without effect while there is no recorder

  void record(BehaviourRecorder::Kind kind, const Json& values) const;
  void record_effects(const Leader& leader, const Effects& effects) const;
  // Wraps `responder` so that the leader's response is recorded before it is passed on.
  Leader::HeartbeatResponder recording_responder(const Leader& leader,
                                                 const workers::Heartbeat& report,
                                                 Leader::HeartbeatResponder responder) const;

  // ---- rules

  // Checks the rules that must hold at all times.
  void check_rules();
  std::map<std::string, double> used_cpus() const;  // cores by team

  // Sets unknown_to_leader_at_ to the present time for every cancelled job that the leader, if
  // there is one, does not know to be cancelled.
  void note_unknown_cancellations();

  // Whether the current leader has led, and known of the cancellation, for long enough to have
  // returned a hung machine within cancel_s after the cancellation. Without a leader, or with one
  // that no node that knows of the cancellation can reach, nothing can be done about such a
  // machine.
  bool could_have_returned_machines(const std::string& id, double cancelled_at) const;

  // Whether the live job's own record says that it is cancelled.
  bool is_stored_as_cancelled(const std::string& id) const;
  // The live jobs as any node finds them in the store, and which of them it calls cancelled.
  jobs::DependencyGraph stored_dependencies() const;

  // The earliest time at which the job or one that it depends on, directly or indirectly, was
  // cancelled; none if none was.
  std::optional<double> effective_cancellation_time(const std::string& id) const;

  BehaviourRecorder* recorder_ = nullptr;
  std::mt19937_64 random_;
  bool faults_ended_ = false;
  const SimulationOptions options_;
  settings::Platform platform_;
  double all_upgraded_at_, limits_lowered_at_;
  bool limits_lowered_ = false;
  kv::TokenBucket write_limiter_;
  lab::StateService store_;
  double now_ = kSimulationStart_s;
  std::unique_ptr<Leader> leader_, former_leader_;
  SimulatedNode nodes_[3];
  SimulatedNode* leader_node_ = nullptr;  // on which the leader runs
  std::uint64_t policy_serial_ = 1;       // of the newest drain policy
  // A process of version 0.3.0 has led after the level was first raised.
  bool old_version_led_ = false;
  std::uint64_t leader_lease_id_ = 0, job_watch_revision_ = 0;
  double election_at_ = 0, next_listing_at_ = 0, faults_ended_at_ = 0;
  // A node that the other nodes cannot reach while the leader is refused; users can reach it.
  SimulatedNode* unreachable_node_ = nullptr;
  // When the key-value store stops refusing the leader, and when its refusal of all nodes starts
  // and ends.
  double leader_refused_until_ = 0, outage_starts_at_ = 0, outage_ends_at_ = 0;
  std::map<std::string, SimulatedMachine> machines_;
  std::map<std::string, std::vector<std::string>> rentals_;
  int created_machines_ = 0;
  int worker_restart_count_ = 0;
  std::vector<ScheduledCall> scheduled_calls_;
  // Copies of reports that wait for the next leader.
  std::vector<workers::Heartbeat> report_copies_;
  std::map<std::string, jobs::Spec> specs_;
  std::map<std::string, double> cancelled_at_;
  // For each cancelled job, the last time at which no leader knew of the cancellation.
  std::map<std::string, double> unknown_to_leader_at_;
  double led_since_ = 0;
  std::map<std::string, bool> ended_as_cancelled_;
  std::set<std::string> done_tasks_, reported_violations_;
};

}  // namespace reachramp::test
