// Emulator of the worker on one machine. Callers pass in commands, the responses to its heartbeats
// and the current time; it returns heartbeats and responses. It reads no clock and opens no socket.
// Its specification is PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers";
// docs/design/lab.md says which part of the code implements which paragraph.
//
// On the wire and in names here, a heartbeat is a report and a command is an order.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cloud/client.h"
#include "model/shared_task_state.h"
#include "settings/settings.h"
#include "wire/http.h"

namespace reachramp::lab {

// Runs tasks as a worker does: fetches images, starts, saves and stops tasks, reports to the
// leader, and ends all tasks when its lease expires.
//
// Not safe to share between threads, nor is the SharedTaskState that it uses. `now` is in seconds
// of any clock, the same one in every call.
class Worker {
 public:
  // The machine that the worker runs on.
  struct Machine {
    std::string name;
    std::string address;
    cloud::MachineType type;
    std::string zone;
    bool spot = false;
    double speed = 1;     // seconds of run time that a task gains per second
    bool faulty = false;  // every task that starts on it fails
  };
  // A report to send to the node at once. on_report_answer() takes the result.
  struct OutgoingReport {
    std::string node;
    wire::Json report;
  };

  // `nodes`: the names of all controllers. The worker's first lease starts at `now`.
  Worker(Machine machine, const settings::WorkerTimings& timings, std::vector<std::string> nodes,
         SharedTaskState& shared_state, std::uint64_t seed, double now);

  // Ends and forgets all tasks if the lease has expired by `now`. advance(), on_report_answer() and
  // handle_request() do so first; code that checks held_tasks() between them has to call it.
  void expire_lease(double now);
  // Executes everything that is due by `now`. Returns the report to send, if one is due.
  std::optional<OutgoingReport> advance(double now);
  // Takes the result of the report in flight: a response, or none because the connection failed or
  // none came within 4 s.
  void on_report_answer(const wire::CallResult& answer, double now);
  // Answers the leader's direct requests, /orders and /status.
  wire::Response handle_request(const wire::Request& request, double now);
  // The latest time by which advance() has to be called again; infinite while it is hung or gone.
  double next_event_at() const;

  // ---- fault injection
  // Tells the worker that the cloud takes its machine in `remaining_s`; its reports say so.
  void on_reclaim_notice(double remaining_s, double now) { reclaim_at_ = now + remaining_s; }
  // Until resume(), the worker neither reports nor executes tasks, and its lease doesn't end them.
  void hang(double now);
  void resume(double now);
  bool is_hung() const { return hung_; }
  // Changes the machine's speed, and whether it fails the tasks that it starts.
  void set_condition(double speed, bool faulty);
  // The machine disappears, and all tasks with it.
  void terminate(double now);

  // The tasks that occupy the machine and their attempt numbers: from the moment their image is
  // there until they exit.
  std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>> held_tasks() const;
  std::uint64_t incarnation() const { return incarnation_; }
  std::uint64_t fencing_token() const { return fencing_token_; }
  // When the report was sent whose response last renewed the lease.
  double lease_starts_at() const { return lease_starts_at_; }
  // When the worker ends its tasks unless a response renews the lease; infinite while it is hung or
  // gone.
  double lease_ends_at() const;

 private:
  enum class State { fetching, waiting, running, saving, exited };
  // An attempt at a task on this machine.
  struct Attempt {
    State state = State::fetching;
    std::string exit_cause;  // as reported; set once exited
    bool progress_saved = false;
    double state_time = 0;  // running: since when `progress_s` grows; saving: when the save ends
    double progress_s = 0;  // running: at `state_time`; saving: what is saved
  };
  // A task's image in the machine's cache.
  struct Image {
    double remaining_gb = 0;  // still to fetch; 0: complete
    double last_used_at = 0;
  };
  using AttemptKey = std::pair<SharedTaskState::TaskId, std::uint64_t>;

  void execute_order(const wire::Json& order, double now);
  void start_task(const AttemptKey& key, double now);
  void stop_task(const AttemptKey& key, Attempt& attempt, double grace_period_s, double now);
  void exit_task(const AttemptKey& key, Attempt& attempt, const std::string& cause,
                 bool progress_saved = false);
  // Continues all downloads until `now`.
  void advance_fetches(double now);
  // Removes images that no task uses, least recently used first, until `need_gb` fits.
  void evict_images(double need_gb);
  // Starts the attempt, or ends it if there is nothing to run.
  void on_image_ready(const AttemptKey& key, Attempt& attempt, double now);
  // Updates the state of all attempts to `now`.
  void advance_tasks(double now);
  // Forgets all tasks because the lease has expired, and starts a new lease.
  void begin_next_incarnation(double now);
  // Progress of a running attempt in seconds of run time at speed 1.
  double progress_at(const AttemptKey& key, const Attempt& attempt, double now) const;
  bool lease_has_ended(double now) const;
  // The machine's state and all attempts as the body of a report.
  wire::Json make_report(double now);
  // Makes the next node the one that gets the reports, after a pause.
  void switch_node(double now);
  bool is_gang_task(const AttemptKey& key) const;

  Machine machine_;
  settings::WorkerTimings timings_;
  std::vector<std::string> nodes_;
  SharedTaskState& shared_state_;
  std::mt19937_64 random_;
  std::map<AttemptKey, Attempt> attempts_;
  std::map<std::string, Image> images_;
  double fetches_advanced_at_;
  std::uint64_t incarnation_ = 1, tick_ = 0, fencing_token_ = 0;
  double lease_starts_at_;
  double reclaim_at_ = kInfinity_s;
  std::size_t current_node_ = 0;  // index in nodes_ of the node that gets the reports
  bool report_in_flight_ = false;
  std::uint64_t sent_incarnation_ = 0;  // of the report in flight
  double report_sent_at_ = 0;           // of the report in flight
  double next_report_at_;
  double no_report_before_ = -kInfinity_s;  // pause set by switch_node()
  double last_report_at_ = -kInfinity_s;
  double fencing_token_reported_at_ = -kInfinity_s;
  bool unreported_change_ = false;  // something changed since the last report
  bool hung_ = false;
  bool terminated_ = false;
};

}  // namespace reachramp::lab
