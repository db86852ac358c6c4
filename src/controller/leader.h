// The leader's decisions: what every command changes, and what is to be done about it. Pure but for
// the time passed in; the edges carry out what stands in the outbox.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acquire/buyer.h"
#include "controller/cloud_calls.h"
#include "controller/ledger.h"
#include "controller/pending_transaction.h"
#include "controller/write_budget.h"
#include "drains/drains.h"
#include "leadership/staleness.h"
#include "levels/levels.h"
#include "placement/cluster.h"
#include "settings/settings.h"
#include "shares/accounts.h"
#include "workers/report.h"
#include "zones/zones.h"

namespace reachramp::controller {

// What becomes of a worker's report.
enum class ReportVerdict {
  taken,    // its response goes to the answerer, now or later
  deposed,  // the worker has seen a higher token: this leader's time is over
};

// What the edges are to do. Taken and emptied by the owner after each batch of commands.
struct Outbox {
  std::optional<Batch> commit;
  std::vector<CloudOrder> cloud;
  std::optional<std::string> read_back;  // a key that tells whether a transaction was applied
  std::vector<std::string> look_up;      // jobs whose ends are to be read
  std::vector<std::string> greet;        // machines to be sent empty orders that carry our baton
  std::vector<std::pair<std::string, state::Json>> stop_now;  // addresses, bodies of /orders
  std::vector<double>
      ask_told;  // members for the cancellations they told: one window each; or none
  bool resign = false;
  bool read_jobs = false;    // all of them: a change that the watch brought was not taken in
  bool read_drains = false;  // the record of what is to be drained
  bool read_claims = false;  // what the processes on all nodes speak
  bool read_stale = false;   // records that are not of the level's form, by strong reads
};

struct Snapshot {
  std::vector<state::Entry> jobs;
  std::vector<state::Entry> tasks;
  std::vector<state::Entry> pools;
  std::optional<state::Entry> catalog;
  std::optional<state::Entry> level;
  std::optional<state::Entry> shares;
  std::optional<state::Entry> drains;
  std::optional<state::Entry> drains_used;
  std::optional<state::Entry> zones;
  std::optional<double> asked_at;  // when the jobs were asked for (steady seconds); else now
  bool all_upgraded = false;       // no node runs a version that knows whole records only
  state::Timeline timeline;        // what this node knows of when stamps were given
  std::optional<state::Entry> told_timeline;  // what earlier leaders wrote of it
};

class Leader {
 public:
  // Throws where the stored level is not one that `speech` has.
  Leader(const settings::Platform& platform, const settings::Policy& policy, std::uint64_t baton,
         const Snapshot& snapshot, double now, const levels::Speech& speech = {});

  // A worker's report; `answer` is called with the response, now or as soon as intents that it
  // should carry are durable, or with null: this leader may not answer now
  // (leadership/staleness.h).
  using Answerer = std::function<void(const wire::Json&)>;
  ReportVerdict on_report(const workers::Report& report, Answerer answer, double now);
  void on_direct(const workers::Report& report, double now);
  void on_jobs(const std::vector<state::Change>& changes, double now);
  // All jobs as read anew after the watch lost its place.
  void on_job_list(const std::vector<state::Entry>& entries, double now);
  void on_end_read(const std::string& id, const state::Found& found, double now);
  void on_all_upgraded() { all_upgraded_ = true; }
  // All changes of jobs until then were passed in; they count as known if all were taken in.
  void on_jobs_current(double asked_at);
  // What members have told users as cancelled, each for itself.
  void on_words(const std::vector<leadership::Word>& words, double now);
  void on_claims(const std::vector<state::Entry>& entries);
  // All stale records that strong reads showed, which began after this leader had asked for them.
  void on_stale(const std::vector<state::Entry>& entries, double now);
  // The record of what is to be drained; nothing: there is none.
  void on_drains(const std::optional<state::Entry>& entry, double now);
  const drains::Drains& drains() const { return drains_; }
  const levels::Stored& level() const { return level_; }
  void on_settled(const state::Committed& committed, double now);
  // The key that was to be read back, and the leader's key, by strong reads in this order: while
  // the latter has our baton, nobody else can have written the former.
  void on_read_back(const state::Found& found, const state::Found& leader, double now);
  void on_catalog(const cloud::Catalog& catalog, double now);
  void on_list(const std::vector<cloud::Listed>& listed, double asked_at, double now);
  void on_hired(const cloud::Hire& hire, const cloud::Hired& hired, double now);
  void on_returned(const std::vector<std::string>& machines, double now);

  // Lets time pass: plans, rents, returns, commits, answers.
  Outbox advance(double now);
  bool deposed() const { return deposed_; }
  const Cluster& cluster() const { return cluster_; }

 private:
  struct Parked {
    std::string host;
    Answerer answer;
    double since = 0;
  };

  void upkeep(double now);
  void tell_heard(double now);
  void find_deaf(double now);
  void buy(double now);
  // Unless its return has been requested already.
  void give_back(Index host, const char* why);
  void request_return(placement::Host& host, const std::string& why);
  // Machines on which a task of a cancelled job may outlive cancel_s.
  void return_for_cancellations(double now);
  // A leader that stood still has heard nobody meanwhile: it listens anew.
  void note_advance(double now);
  // False, and nothing is answered, while this leader may not answer workers.
  bool entitled_to_answer(const Answerer& answer, double now);
  // With the orders for the host, if it is known.
  void answer(const Answerer& answer, std::optional<Index> host, double now);
  void answer_parked(double now);
  bool waits_for_commit(const placement::Host& host) const;
  void gone(const std::string& name, double now);
  void commit(double now);
  void resume_transaction(double now);
  void settle(const PendingTransaction::Resolution& resolution, double now);
  void note_committed(const Batch& batch, std::uint64_t epoch, double now);
  void note_too_large(const Batch& batch, double now);
  void note_rejected(state::Outcome outcome, double now);
  void store_timeline(double now);
  void pass_shares(double now);
  void log_shares(double now);
  void store_shares(double now);
  void drain(double now);
  void end_drains();
  void close_pools();
  void watch_levels(double now);
  void write_level(const levels::Stored& to,
                   std::vector<std::pair<std::string, std::uint64_t>> given);
  void renew_record(const std::string& key, std::uint64_t stamp, double now);
  // Whether all that the record says is in the state now.
  bool take_header(const std::string& key, const state::Json& value, std::uint64_t stamp,
                   placement::CancellationTime told_at, double now);
  // Of a change that the watch brings now, and of a record that was there when this leader began.
  placement::CancellationTime told_lately(double now) const;
  placement::CancellationTime told_before(std::uint64_t stamp, double now) const;
  bool may_start(double now) const;
  std::string pool_key(const placement::Pool& pool) const;

  settings::Platform platform_;
  settings::Policy policy_;
  Cluster cluster_;
  acquire::Buyer buyer_;
  Ledger ledger_;
  WriteBudget writes_;
  zones::Zones zones_;
  double zones_stored_at_ = -1e9;
  drains::Drains drains_;
  std::string bad_drains_;          // why the record is not in force, as last logged
  std::uint64_t drains_stamp_ = 0;  // of the record in force
  bool rolling_ = true;             // until claims show that it is not
  double drains_asked_at_ = -1e9;
  double drained_at_ = -1e9;
  double drains_stored_at_ = -1e9;
  levels::Speech speech_;
  levels::Stored level_;
  std::string refused_step_;       // as last logged
  std::set<std::string> renewed_;  // records of tasks that the step has removed
  double claims_asked_at_ = -1e9;
  double stale_asked_at_ = -1e9;
  shares::Accounts accounts_;
  std::uint64_t accounted_to_ = 0;  // jobs born up to here are in the accounts that were read
  bool shares_unreadable_ = false;
  double shares_passed_at_ = -1e9;
  double log_shares_at_;
  double stored_shares_at_;
  state::Timeline timeline_;
  double stored_timeline_at_;
  Outbox out_;
  PendingTransaction transaction_;
  int conflicts_ = 0;  // in a row
  int most_ops_;       // of one transaction
  std::map<std::string, double> looked_up_at_;
  std::vector<Parked> parked_;                // the longest waiting first
  bool look_at_parked_ = false;               // something has changed that may let answers go
  std::vector<std::string> unknown_;          // jobs that others need and nothing is known of
  std::map<std::string, double> tombstones_;  // machines
  // Jobs whose end was settled under this lead, with its stamp. The watch may yet bring headers
  // from before.
  std::map<std::string, std::uint64_t> ended_;
  std::uint64_t watched_to_ = 0;  // the newest stamp that the watch has brought
  // Requests whose pool record is on its way, then those that are out.
  std::vector<std::pair<std::string, cloud::Hire>> to_hire_;
  std::map<std::string, double> asked_at_;
  std::uint64_t hires_ = 0;
  double since_;
  double listening_since_;  // the same, or since this process last stood still
  double advanced_at_;
  leadership::Staleness staleness_;
  bool jobs_complete_ = true;  // every change that the watch brought was taken in
  bool answers_ = true;        // as last logged
  double planned_at_ = -1e9;
  double bought_at_ = -1e9;
  double upkeep_at_ = -1e9;
  double cancellations_checked_at_ = -1e9;
  double jobs_asked_at_ = -1e9;
  bool told_heard_ = false;
  double half_heard_s_ = -1, most_heard_s_ = -1;  // since taking over; not yet: -1
  bool listed_ = false;                           // the machines have been listed under this lead
  bool all_upgraded_ = false;
  bool reurge_ = true;
  bool replan_ = true;
  bool rebuy_ = true;
  bool deposed_ = false;
};

}  // namespace reachramp::controller
