// A simulated cluster round the leader's decisions: messages are lost, repeated late and reordered,
// transactions are applied late, machines die, sessions end, leaders change, users cancel, jobs
// wait for others. Copies of reports come much later; machines hear nothing for a while though
// their reports arrive, or reach no leader though commands reach them, hang and go on, and are back
// under their names with new workers; copies of reports wait for the next leader; users cancel at
// the very end of a job. At first nodes are changed
// one by one from version 0.2.0, whose records the leader keeps to meanwhile, and some time later
// the key-value store lowers its limits. Then they are changed on, over the levels of the stored
// state: each node's process speaks some levels and claims so for as long as it lives; processes
// die, come back as older ones, hold the fleet back; claims outlive them, and a process that is
// back at once goes on with its predecessor's claim and ends its lead. Operators drain machines and
// take it back. The key-value store refuses the leader, and some time later everybody, while users
// cancel at other nodes. Whatever happens, the rules hold, and nobody who knows of levels writes a
// form that is older than the present one; when the trouble ends, all work is done and the last
// step is settled.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "behaviour_recorder.h"
#include "controller/leader.h"
#include "leadership/holder.h"
#include "model/state_service.h"
#include "peers/recent_cancellations.h"

namespace reachramp::test {

using controller::CloudRequest;
using controller::Effects;
using controller::Leader;
using wire::Json;

struct SimulatedTask {
  std::string state = "running";
  std::string exit_reason;
  double ends_at = 0;
};

struct SimulatedMachine {
  std::string name, type, zone;
  bool spot = false;
  double up_at = 0, dead_at = 1e18, created_at = 0;
  std::uint64_t incarnation = 1, sequence_number = 0, fencing_token = 0;
  double lease_renewed_at = 0;  // when the last answered report was sent
  double next_report_at = 0;
  std::map<std::pair<std::string, std::uint64_t>, SimulatedTask> tasks;  // (job/task, try)
  std::optional<std::uint64_t> awaited_sequence_number;  // tick of the report in flight
  double response_timeout_at = 0;
  double inbound_blocked_until = 0;   // its reports arrive, answers and commands do not
  double outbound_blocked_until = 0;  // its reports do not arrive, commands at its own address do
  double hung_until = 0;              // nothing of it goes on
  int generation = 0;                 // it may be back at once under its name, with a new worker
};

// A controller node, as far as the levels go: version 0.3.0 speaks two and claims nothing.
struct SimulatedNode {
  std::uint32_t newest_level = schema::kCompact;
  std::uint32_t hold_at = 0;
  bool alive = true;
  double restarts_at = 0;
  double upgrades_at = 0;  // when a later version is started here
  std::uint64_t lease_id = 0;
  // Of the claim of the process that died here, and until when it lasts if nobody renews it.
  std::uint64_t predecessor_lease_id = 0;
  double predecessor_lease_ends_at = 0;
  int process_count = 0;  // that have run here
  // What the process there has told users as cancelled.
  std::unique_ptr<peers::RecentCancellations> recent_cancellations;
  kv::RevisionClock revision_clock;  // what the process there has seen of the key-value store
  // What it last claimed, and when that process was last alive.
  std::uint32_t claimed_level = 0;
  double last_alive_at = 0;
};

struct ScheduledCall {
  double due_at = 0;
  std::function<void()> call;
};

// Simulated time begins here.
inline constexpr double kSimulationStart_s = 100;

// What kind of cluster and users a simulation has.
struct SimulationOptions {
  // Two teams, of which one has a limit; three nodes.
  static settings::Platform default_platform();

  settings::Platform platform = default_platform();
  double all_upgraded_after_s = -1;  // until all nodes know the compact records; negative: drawn
  double message_delay_factor = 1;   // delays of messages, times so much
  double min_boot_s = 0.5, max_boot_s = 8;
  int machines_per_pool = 3;                   // of a type, zone and kind
  double unanswered_transaction_share = 0.04;  // share of transactions that get no answer
  double rental_response_delay_s = 0;  // until the cloud's answer to a rental request arrives
  double replayed_report_share =
      0.02;                    // share of reports of which a copy waits for the next leader
  double task_duration_s = 0;  // of all tasks; 0: by the job
};

cloud::Catalog simulated_catalog();

class SimulatedCluster {
 public:
  explicit SimulatedCluster(std::uint64_t seed, const SimulationOptions& options = {});

  // From now on; the recorder outlives the cluster.
  void set_recorder(BehaviourRecorder& recorder) { recorder_ = &recorder; }

  // As the door does it: nobody needs others before all nodes are new, and a job that needs a
  // cancelled one is cancelled from the first.
  void submit(jobs::Spec spec);

  void cancel(const std::string& id);

  void run_for(double seconds);
  void end_faults();
  // First the key-value store refuses the leader alone, some time later everybody; users cancel in
  // between.
  void start_store_outage(double leader_only_s, double outage_s);
  // The lead passes to another node; the leader before may go on for a while, not knowing.
  void change_leader();
  // Users call off every job that has tasks on machines, and these machines hang for so long.
  void cancel_running_jobs(double hang_s);
  // The team uses its limit to the last core.
  bool is_team_at_limit(const std::string& team) const;
  // Of jobs that have been cancelled, how many tasks are on machines.
  std::size_t running_cancelled_task_count() const;
  // Copies of reports that wait for the next leader.
  std::size_t pending_report_copy_count() const { return report_copies_.size(); }
  double random_between(double low, double high);
  // The last step is through and nothing older is left.
  bool settled() const;
  bool all_jobs_ended() const;
  std::string unfinished_jobs() const;
  std::vector<std::string> violations;

 private:
  bool happens(double probability);
  void report_violation(const std::string& what);

  void schedule(double delay, std::function<void()> deliver);
  // Mostly soon; sometimes much later, as a cut holds packets.
  double random_message_delay() {
    return happens(0.03) ? random_between(2, 25)
                         : options_.message_delay_factor * random_between(0.01, 0.15);
  }

  bool all_upgraded() const { return now_ >= all_upgraded_at_; }
  bool is_store_down() const { return now_ >= outage_starts_at_ && now_ < outage_ends_at_; }
  // The leader, by the key-value store.
  bool is_leader_refused() const { return now_ < leader_refused_until_ || is_store_down(); }

  // Each member's word has a way there and back.
  void poll_cancellations(std::uint64_t fencing_token, const std::vector<double>& windows);

  void step();

  // ---- nodes

  std::string node_name(const SimulatedNode& node) const {
    return "node-" + std::to_string(&node - nodes_);
  }

  leadership::Identity identity(const SimulatedNode& node) const;

  // Whoever is back while the key of the process before it stands ends that one's lead; 0.3.0 knows
  // nothing of it.
  void end_predecessor_leadership(const SimulatedNode& node);

  void write_claim(SimulatedNode& node);

  void update_node(SimulatedNode& node);

  // Of every transaction that is applied, as it is: no step without all nodes, and nothing written
  // by who knows of levels in a form older than the present one.
  void check_schema_levels(const kv::Transaction& transaction);

  // ---- operators

  std::optional<kv::Entry> read_entry(const std::string& key) const;

  // As a node does with a file that is newer than what is in force.
  void change_drain_policy();

  // Answered, or not to be had for a while.
  void verify_transaction(std::uint64_t fencing_token, const std::string& key);

  // A worker is told at its own address, perhaps much later, and answers with its report.
  void deliver_direct_commands(std::uint64_t fencing_token, const std::string& address,
                               const Json& body);

  // Asked for its session, then told who leads.
  void probe_worker(std::uint64_t fencing_token, const std::string& address);

  // ---- leadership

  void depose();

  void elect();

  void deliver_job_changes();

  void execute_effects(const Effects& effects);

  // While an old node may still lead, nothing is written that it would not read.
  void check_record_formats(const kv::Transaction& transaction);

  kv::CommitResult apply_transaction(const kv::Transaction& transaction);

  kv::CommitResult commit_transaction(const kv::Transaction& transaction);

  void read_job_end(std::uint64_t fencing_token, const std::string& id);

  void settled(std::uint64_t fencing_token, const kv::CommitResult& committed);

  // ---- cloud

  void send_cloud_request(std::uint64_t fencing_token, const CloudRequest& request);

  void list_machines();

  // ---- machines

  bool is_alive(const SimulatedMachine& machine) const;

  void hang(SimulatedMachine& machine, double seconds);
  void update_machine(SimulatedMachine& machine);

  // Gangs complete together: if one task is done, all are.
  void complete_task(const std::string& name);

  Json make_report(const SimulatedMachine& machine) const;

  void deliver_report(const std::string& name, int life, const workers::Heartbeat& report,
                      double sent_at);

  void execute_response(const std::string& name, int life, const workers::Heartbeat& report,
                        double sent_at, const Json& body);

  void start_task(SimulatedMachine& machine, const std::pair<std::string, std::uint64_t>& key);

  // ---- recording, if anybody records

  void record(BehaviourRecorder::Kind kind, const Json& values) const;
  void record_effects(const Leader& leader, const Effects& effects) const;
  // Passes the leader's response on, recorded.
  Leader::HeartbeatResponder recording_responder(const Leader& leader,
                                                 const workers::Heartbeat& report,
                                                 Leader::HeartbeatResponder responder) const;

  // ---- rules

  void check_rules();
  std::map<std::string, double> used_cpus() const;  // by team

  // Which cancellations the leader, if there is one, does not know of now.
  void note_unknown_cancellations();

  // Whether somebody has led for long enough, and known of the cancellation, to have a machine that
  // hangs returned before its time was over. Without a leader, or with one that nobody who knows
  // of the cancellation can reach, nothing can be done about such a machine.
  bool could_have_returned_machines(const std::string& id, double cancelled_at) const;

  // When the first was cancelled of it and of all that it needs, directly or through others.
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
  SimulatedNode* leader_node_ = nullptr;  // where the leader is
  std::uint64_t policy_serial_ = 1;       // of the operators' file
  bool old_version_led_ = false;          // a process of 0.3.0 has led after the first step
  std::uint64_t leader_lease_id_ = 0, job_watch_revision_ = 0;
  double election_at_ = 0, next_listing_at_ = 0, faults_ended_at_ = 0;
  SimulatedNode* unreachable_node_ = nullptr;  // meanwhile the others cannot reach it; users can
  double leader_refused_until_ = 0, outage_starts_at_ = 0,
         outage_ends_at_ = 0;  // by the key-value store
  std::map<std::string, SimulatedMachine> machines_;
  std::map<std::string, std::vector<std::string>> rentals_;
  int created_machines_ = 0;
  std::vector<ScheduledCall> scheduled_calls_;
  std::vector<workers::Heartbeat> report_copies_;  // copies for the next leader
  std::map<std::string, jobs::Spec> specs_;
  std::map<std::string, double> cancelled_at_;
  std::map<std::string, double>
      unknown_to_leader_at_;  // cancelled jobs: when the leader last did not know
  double led_since_ = 0;
  std::map<std::string, bool> ended_as_cancelled_;
  std::set<std::string> done_tasks_, reported_violations_;
};

}  // namespace reachramp::test
