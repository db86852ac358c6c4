// One controller process: its doors, its owner thread, and the threads at its edges.
#pragma once

#include <atomic>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

#include "cloud/client.h"
#include "controller/leader.h"
#include "controller/queue.h"
#include "drains/desk.h"
#include "jobs/door.h"
#include "leadership/campaign.h"
#include "levels/book.h"
#include "peers/members.h"
#include "peers/readiness.h"
#include "peers/relay.h"
#include "settings/settings.h"
#include "state/client.h"
#include "wire/http.h"

namespace reachramp::controller {

class Node {
 public:
  // `policy_path`: empty if there is no file.
  Node(const settings::Platform& platform, const settings::Policy& policy,
       const std::string& policy_path);
  // Serves until the process ends.
  [[noreturn]] void run();

 private:
  // Commands to the owner. Results of what an earlier lead asked for carry its baton and are
  // dropped.
  struct TookLead {
    std::unique_ptr<Leader> leader;
  };
  struct ReportIn {
    workers::Report report;
    std::shared_ptr<std::promise<wire::Reply>> reply;
  };
  struct DirectIn {
    workers::Report report;
  };
  struct JobsChanged {
    std::vector<state::Change> changes;
    double asked_at = 0;
  };
  struct JobsRead {
    std::vector<state::Entry> entries;
    double asked_at = 0;
  };
  struct WordsIn {
    std::vector<leadership::Word> words;
  };
  struct EndRead {
    std::string id;
    state::Found found;
  };
  struct ReadBack {
    state::Found found;
    state::Found leader;  // read after it
  };
  struct ClaimsRead {
    std::vector<state::Entry> entries;
  };
  struct StaleRead {
    std::vector<state::Entry> entries;
  };
  struct DrainsRead {
    std::optional<state::Entry> entry;
  };
  struct Settled {
    state::Committed committed;
  };
  struct CatalogRead {
    cloud::Catalog catalog;
  };
  struct ListRead {
    std::vector<cloud::Listed> machines;
    double asked_at = 0;
  };
  struct HireAnswered {
    cloud::Hire hire;
    cloud::Hired hired;
  };
  struct Returned {
    std::vector<std::string> machines;
  };
  struct Command {
    std::uint64_t baton = 0;
    std::variant<TookLead, ReportIn, DirectIn, JobsChanged, JobsRead, WordsIn, EndRead, ReadBack,
                 ClaimsRead, StaleRead, DrainsRead, Settled, CatalogRead, ListRead, HireAnswered,
                 Returned>
        what;
  };
  struct Commit {
    std::uint64_t baton = 0;
    state::Transaction transaction;
  };
  struct AskTold {
    std::uint64_t baton = 0;
    std::vector<double> windows;
  };
  struct LookUp {
    enum class What { end, back, claims, stale, drains } what = What::end;
    std::uint64_t baton = 0;
    std::string name{};  // of the job, or the key to be read back
  };
  // What a worker is told at its own address: with a body, stops that cannot wait for its report;
  // else nothing but our baton.
  struct Greeting {
    std::uint64_t baton = 0;
    std::string address;
    wire::Json body{};
  };

  wire::Reply serve(const wire::Request& request);
  wire::Reply serve_peer(const wire::Request& request);
  // Where a report comes from decides how far it may still be carried.
  enum class Origin { worker, onward, relay };
  wire::Reply report(const std::string& body, Origin origin);
  wire::Reply ask_owner(std::uint64_t baton, const workers::Report& report);
  std::shared_ptr<const cloud::Catalog> catalog();
  void learn_catalog(const cloud::Catalog& catalog);

  void own();
  void obey(Command& command, double now);
  void hand_out(Outbox outbox);
  void watch_jobs();
  std::optional<Snapshot> load(double jobs_asked_at);
  std::optional<std::vector<state::Entry>> read_all(const std::string& prefix,
                                                    std::uint64_t* epoch);
  void commit();
  void look_up();
  void look_for_stale(std::uint64_t baton);
  void deal_with_cloud();
  void read_machines(std::uint64_t baton);
  void cloud_turn();
  void greet();
  void ask_told();

  settings::Platform platform_;
  settings::Policy policy_;
  state::Client state_;
  cloud::Client cloud_;
  levels::Speech speech_;
  levels::Book book_;
  std::optional<drains::Desk> desk_;
  leadership::Campaign campaign_;
  peers::Members members_;
  peers::Relay relay_;
  peers::Told told_;
  peers::Health health_;
  jobs::Door door_;
  std::mutex catalog_mutex_;
  std::shared_ptr<const cloud::Catalog> catalog_;
  double catalog_looked_at_ = -1e9;  // in the state service, while it is not known

  std::unique_ptr<Leader> leader_;             // the owner's
  std::atomic<bool> read_jobs_again_ = false;  // for the watch: the owner has lost a change
  Queue<Command> commands_;
  Queue<Commit> commits_;
  Queue<LookUp> look_ups_;
  Queue<CloudCall> cloud_work_;
  Queue<Greeting> greetings_;
  Queue<AskTold> ask_told_;
  state::Bucket cloud_bucket_;
};

}  // namespace reachramp::controller
