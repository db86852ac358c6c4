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
#include "drains/policy_file_watcher.h"
#include "jobs/job_service.h"
#include "kv/client.h"
#include "leadership/leader_election.h"
#include "peers/heartbeat_forwarder.h"
#include "peers/members.h"
#include "peers/readiness.h"
#include "schema/schema_version_tracker.h"
#include "settings/settings.h"
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
  // Commands to the owner. Results of what an earlier lead asked for carry its fencing token and
  // are dropped.
  struct TookLead {
    std::unique_ptr<Leader> leader;
  };
  struct ReportIn {
    workers::Heartbeat report;
    std::shared_ptr<std::promise<wire::Reply>> reply;
  };
  struct DirectIn {
    workers::Heartbeat report;
  };
  struct JobsChanged {
    std::vector<kv::KeyChange> changes;
    double asked_at = 0;
  };
  struct JobsRead {
    std::vector<kv::Entry> entries;
    double asked_at = 0;
  };
  struct WordsIn {
    std::vector<leadership::CancellationDigest> words;
  };
  struct EndRead {
    std::string id;
    kv::ReadResult found;
  };
  struct ReadBack {
    kv::ReadResult found;
    kv::ReadResult leader;  // read after it
  };
  struct ClaimsRead {
    std::vector<kv::Entry> entries;
  };
  struct StaleRead {
    std::vector<kv::Entry> entries;
  };
  struct DrainsRead {
    std::optional<kv::Entry> entry;
  };
  struct Settled {
    kv::CommitResult committed;
  };
  struct CatalogRead {
    cloud::Catalog catalog;
  };
  struct ListRead {
    std::vector<cloud::ListedMachine> machines;
    double asked_at = 0;
  };
  struct HireAnswered {
    cloud::ScaleOutRequest hire;
    cloud::ScaleOutResult hired;
  };
  struct Returned {
    std::vector<std::string> machines;
  };
  struct Command {
    std::uint64_t fencing_token = 0;
    std::variant<TookLead, ReportIn, DirectIn, JobsChanged, JobsRead, WordsIn, EndRead, ReadBack,
                 ClaimsRead, StaleRead, DrainsRead, Settled, CatalogRead, ListRead, HireAnswered,
                 Returned>
        what;
  };
  struct Commit {
    std::uint64_t fencing_token = 0;
    kv::Transaction transaction;
  };
  struct AskTold {
    std::uint64_t fencing_token = 0;
    std::vector<double> windows;
  };
  struct LookUp {
    enum class What { end, back, claims, stale, drains } what = What::end;
    std::uint64_t fencing_token = 0;
    std::string name{};  // of the job, or the key to be read back
  };
  // What a worker is told at its own address: with a body, stops that cannot wait for its report;
  // else nothing but our fencing token.
  struct Greeting {
    std::uint64_t fencing_token = 0;
    std::string address;
    wire::Json body{};
  };

  wire::Reply serve(const wire::Request& request);
  wire::Reply serve_peer(const wire::Request& request);
  // Where a report comes from decides how far it may still be carried.
  enum class Origin { worker, onward, relay };
  wire::Reply report(const std::string& body, Origin origin);
  wire::Reply ask_owner(std::uint64_t fencing_token, const workers::Heartbeat& report);
  std::shared_ptr<const cloud::Catalog> catalog();
  void learn_catalog(const cloud::Catalog& catalog);

  void own();
  void obey(Command& command, double now);
  void hand_out(Effects outbox);
  void watch_jobs();
  std::optional<LeaderSnapshot> load(double jobs_asked_at);
  std::optional<std::vector<kv::Entry>> read_all(const std::string& prefix,
                                                 std::uint64_t* store_revision);
  void commit();
  void look_up();
  void look_for_stale(std::uint64_t fencing_token);
  void deal_with_cloud();
  void read_machines(std::uint64_t fencing_token);
  void cloud_turn();
  void greet();
  void ask_told();

  settings::Platform platform_;
  settings::Policy policy_;
  kv::Client state_;
  cloud::Client cloud_;
  schema::SupportedVersions speech_;
  schema::SchemaVersionTracker book_;
  std::optional<drains::PolicyFileWatcher> desk_;
  leadership::LeaderElection campaign_;
  peers::Members members_;
  peers::HeartbeatForwarder relay_;
  peers::RecentCancellations told_;
  peers::NodeHealth health_;
  jobs::JobService door_;
  std::mutex catalog_mutex_;
  std::shared_ptr<const cloud::Catalog> catalog_;
  double catalog_looked_at_ = -1e9;  // in the key-value store, while it is not known

  std::unique_ptr<Leader> leader_;             // the owner's
  std::atomic<bool> read_jobs_again_ = false;  // for the watch: the owner has lost a change
  Queue<Command> commands_;
  Queue<Commit> commits_;
  Queue<LookUp> look_ups_;
  Queue<QueuedCloudRequest> cloud_work_;
  Queue<Greeting> greetings_;
  Queue<AskTold> ask_told_;
  kv::TokenBucket cloud_bucket_;
};

}  // namespace reachramp::controller
