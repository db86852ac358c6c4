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
  std::string cause;
  double until = 0;
};

struct SimulatedMachine {
  std::string name, type, zone;
  bool spot = false;
  double up_at = 0, dead_at = 1e18, made_at = 0;
  std::uint64_t incarnation = 1, sequence_number = 0, fencing_token = 0;
  double leased_at = 0;  // when the last answered report was sent
  double report_at = 0;
  std::map<std::pair<std::string, std::uint64_t>, SimulatedTask> tasks;  // (job/task, try)
  std::optional<std::uint64_t> awaiting;  // tick of the report in flight
  double give_up_at = 0;
  double deaf_until = 0;  // its reports arrive, answers and commands do not
  double mute_until = 0;  // its reports do not arrive, commands at its own address do
  double hung_until = 0;  // nothing of it goes on
  int life = 0;           // it may be back at once under its name, with a new worker
};

// A controller node, as far as the levels go: version 0.3.0 speaks two and claims nothing.
struct SimulatedNode {
  std::uint32_t newest = schema::kCompact;
  std::uint32_t hold_at = 0;
  bool alive = true;
  double back_at = 0;
  double change_at = 0;  // when a later version is started here
  std::uint64_t lease_id = 0;
  // Of the claim of the process that died here, and until when it lasts if nobody renews it.
  std::uint64_t left_lease_id = 0;
  double left_until = 0;
  int processes = 0;  // that have run here
  // What the process there has told users as cancelled.
  std::unique_ptr<peers::RecentCancellations> told;
  kv::RevisionClock timeline;  // what the process there has seen of the key-value store
  // What it last claimed, and when that process was last alive.
  std::uint32_t claimed = 0;
  double claimed_until = 0;
};

struct Message {
  double at = 0;
  std::function<void()> deliver;
};

// Simulated time begins here.
inline constexpr double kBeginsAt_s = 100;

// What kind of cluster and users a simulation has.
struct SimulatedWorld {
  // Two teams, of which one has a limit; three nodes.
  static settings::Platform default_platform();

  settings::Platform platform = default_platform();
  double upgraded_after_s = -1;  // until all nodes know the compact records; negative: drawn
  double slow_links = 1;         // delays of messages, times so much
  double boot_least_s = 0.5, boot_most_s = 8;
  int machines_per_pool = 3;   // of a type, zone and kind
  double late_writes = 0.04;   // share of transactions that get no answer
  double rental_answer_s = 0;  // until the cloud's answer to a rental request arrives
  double kept_reports = 0.02;  // share of reports of which a copy waits for the next leader
  double task_run_s = 0;       // of all tasks; 0: by the job
};

cloud::Catalog simulated_catalog();

class SimulatedCluster {
 public:
  explicit SimulatedCluster(std::uint64_t seed, const SimulatedWorld& world = {});

  // From now on; the recorder outlives the cluster.
  void record_to(BehaviourRecorder& recorder) { recorder_ = &recorder; }

  // As the door does it: nobody needs others before all nodes are new, and a job that needs a
  // cancelled one is cancelled from the first.
  void submit(jobs::Spec spec);

  void cancel(const std::string& id);

  void run(double seconds);
  void calm();
  // First the key-value store refuses the leader alone, some time later everybody; users cancel in
  // between.
  void refuse(double gap_s, double outage_s);
  // The lead passes to another node; the leader before may go on for a while, not knowing.
  void change_leader();
  // Users call off every job that has tasks on machines, and these machines hang for so long.
  void cancel_running(double hang_s);
  // The team uses its limit to the last core.
  bool is_at_limit(const std::string& team) const;
  // Of jobs that have been cancelled, how many tasks are on machines.
  std::size_t cancelled_tasks() const;
  // Copies of reports that wait for the next leader.
  std::size_t kept_reports() const { return kept_.size(); }
  double between(double low, double high);
  // The last step is through and nothing older is left.
  bool settled() const;
  bool all_over() const;
  std::string unfinished() const;
  std::vector<std::string> broken;

 private:
  bool chance(double p);
  void break_rule(const std::string& what);

  void later(double delay, std::function<void()> deliver);
  // Mostly soon; sometimes much later, as a cut holds packets.
  double delay() { return chance(0.03) ? between(2, 25) : world_.slow_links * between(0.01, 0.15); }

  bool upgraded() const { return now_ >= upgraded_at_; }
  bool is_out() const { return now_ >= out_from_ && now_ < out_until_; }
  // The leader, by the key-value store.
  bool is_refused() const { return now_ < refused_until_ || is_out(); }

  // Each member's word has a way there and back.
  void ask_told(std::uint64_t fencing_token, const std::vector<double>& windows);

  void step();

  // ---- nodes

  std::string name_of(const SimulatedNode& node) const {
    return "node-" + std::to_string(&node - nodes_);
  }

  leadership::Identity identity(const SimulatedNode& node) const;

  // Whoever is back while the key of the process before it stands ends that one's lead; 0.3.0 knows
  // nothing of it.
  void bury_predecessor(const SimulatedNode& node);

  void claim(SimulatedNode& node);

  void live(SimulatedNode& node);

  // Of every transaction that is applied, as it is: no step without all nodes, and nothing written
  // by who knows of levels in a form older than the present one.
  void check_levels(const kv::Transaction& transaction);

  // ---- operators

  std::optional<kv::Entry> found(const std::string& key) const;

  // As a node does with a file that is newer than what is in force.
  void operate();

  // Answered, or not to be had for a while.
  void read_back(std::uint64_t fencing_token, const std::string& key);

  // A worker is told at its own address, perhaps much later, and answers with its report.
  void told(std::uint64_t fencing_token, const std::string& address, const Json& body);

  // Asked for its session, then told who leads.
  void greet(std::uint64_t fencing_token, const std::string& address);

  // ---- leadership

  void depose();

  void elect();

  void follow_jobs();

  void hand_out(const Effects& outbox);

  // While an old node may still lead, nothing is written that it would not read.
  void check_form(const kv::Transaction& transaction);

  kv::CommitResult apply(const kv::Transaction& transaction);

  kv::CommitResult commit(const kv::Transaction& transaction);

  void look_up(std::uint64_t fencing_token, const std::string& id);

  void settled(std::uint64_t fencing_token, const kv::CommitResult& committed);

  // ---- cloud

  void cloud(std::uint64_t fencing_token, const CloudRequest& order);

  void list();

  // ---- machines

  bool alive(const SimulatedMachine& machine) const;

  void hang(SimulatedMachine& machine, double seconds);
  void work(SimulatedMachine& machine);

  // Gangs complete together: if one task is done, all are.
  void complete(const std::string& name);

  Json report_of(const SimulatedMachine& machine) const;

  void receive(const std::string& name, int life, const workers::Heartbeat& report, double sent_at);

  void execute(const std::string& name, int life, const workers::Heartbeat& report, double sent_at,
               const Json& body);

  void start(SimulatedMachine& machine, const std::pair<std::string, std::uint64_t>& key);

  // ---- recording, if anybody records

  void record(BehaviourRecorder::Kind kind, const Json& values) const;
  void record_outbox(const Leader& leader, const Effects& outbox) const;
  // Passes the leader's response on, recorded.
  Leader::HeartbeatResponder recorded(const Leader& leader, const workers::Heartbeat& report,
                                      Leader::HeartbeatResponder answer) const;

  // ---- rules

  void check_everything();
  std::map<std::string, double> used_cpus() const;  // by team

  // Which cancellations the leader, if there is one, does not know of now.
  void note_unknown_cancellations();

  // Whether somebody has led for long enough, and known of the cancellation, to have a machine that
  // hangs returned before its time was over. Without a leader, or with one that nobody who knows
  // of the cancellation can reach, nothing can be done about such a machine.
  bool could_return_machines(const std::string& id, double cancelled_at) const;

  // When the first was cancelled of it and of all that it needs, directly or through others.
  std::optional<double> falls(const std::string& id) const;

  BehaviourRecorder* recorder_ = nullptr;
  std::mt19937_64 random_;
  bool calm_ = false;
  const SimulatedWorld world_;
  settings::Platform platform_;
  double upgraded_at_, lowered_at_;
  bool lowered_ = false;
  kv::TokenBucket accepted_;
  lab::StateService store_;
  double now_ = kBeginsAt_s;
  std::unique_ptr<Leader> leader_, former_;
  SimulatedNode nodes_[3];
  SimulatedNode* seat_ = nullptr;  // where the leader is
  std::uint64_t serial_ = 1;       // of the operators' file
  bool old_led_ = false;           // a process of 0.3.0 has led after the first step
  std::uint64_t lease_id_ = 0, position_ = 0;
  double elect_at_ = 0, list_at_ = 0, calm_at_ = 0;
  SimulatedNode* mute_ = nullptr;  // meanwhile the others cannot reach it; users can
  double refused_until_ = 0, out_from_ = 0, out_until_ = 0;  // by the key-value store
  std::map<std::string, SimulatedMachine> machines_;
  std::map<std::string, std::vector<std::string>> hires_;
  int made_ = 0;
  std::vector<Message> mail_;
  std::vector<workers::Heartbeat> kept_;  // copies for the next leader
  std::map<std::string, jobs::Spec> specs_;
  std::map<std::string, double> cancelled_at_;
  std::map<std::string, double> unknown_at_;  // cancelled jobs: when the leader last did not know
  double led_since_ = 0;
  std::map<std::string, bool> endings_;
  std::set<std::string> done_, seen_;
};

}  // namespace reachramp::test
