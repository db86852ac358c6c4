// A worker as a model: orders, answers and the time in; reports and replies out. It reads no clock
// and opens no socket. PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers",
// is its specification; docs/design/lab.md maps the paragraphs to what is here.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cloud/client.h"
#include "model/field.h"
#include "settings/settings.h"
#include "wire/http.h"

namespace reachramp::lab {

class Worker {
 public:
  struct Machine {
    std::string name;
    std::string address;
    cloud::MachineType type;
    std::string zone;
    bool spot = false;
    double speed = 1;
    bool faulty = false;  // fails every task that it starts
  };
  // A report that is to be sent now to that node; answered() tells what came of it.
  struct OutgoingReport {
    std::string node;
    wire::Json report;
  };

  // `nodes`: the names of all controllers.
  Worker(Machine machine, const settings::WorkerTimings& rules, std::vector<std::string> nodes,
         SharedTaskState& field, std::uint64_t seed, double now);

  // Kills and forgets all tasks if the lease has ended by now. pass(), answered() and ask() do so
  // first; whoever judges what is on a machine between them has to.
  void expire_lease(double now);
  std::optional<OutgoingReport> advance(double now);
  // The answer to the report in flight; not answered: none within 4 s, or no connection.
  void on_report_answer(const wire::CallResult& answer, double now);
  // /orders and /status.
  wire::Response handle_request(const wire::Request& request, double now);
  double next_event_at() const;

  // Troubles.
  void on_reclaim_notice(double left_s, double now) { reclaim_at_ = now + left_s; }
  void hang(double now);
  void resume(double now);
  bool is_hung() const { return hung_; }
  void set_condition(double speed, bool faulty);
  // The machine and all on it are gone.
  void terminate(double now);

  // Tasks that are on the machine: from the image on until they exit.
  std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>> held_tasks() const;
  std::uint64_t incarnation() const { return incarnation_; }
  std::uint64_t fencing_token() const { return fencing_token_; }
  // When the report was sent that its lease counts from.
  double lease_starts_at() const { return lease_starts_at_; }
  // By then tasks are lost, if no answer comes; the infinite future while it hangs or is gone.
  double lease_ends_at() const;

 private:
  enum class State { fetching, waiting, running, saving, exited };
  struct Attempt {
    State state = State::fetching;
    std::string exit_cause;
    bool progress_saved = false;
    double state_time = 0;  // running: progress counts from here; saving: it ends then
    double progress_s = 0;  // at `since`
  };
  struct Image {
    double remaining_gb = 0;  // 0: it is here
    double last_used_at = 0;
  };
  using AttemptKey = std::pair<SharedTaskState::TaskId, std::uint64_t>;

  void execute_order(const wire::Json& order, double now);
  void start_task(const AttemptKey& key, double now);
  void stop_task(const AttemptKey& key, Attempt& piece, double wind_down_s, double now);
  void exit_task(const AttemptKey& key, Attempt& piece, const std::string& cause,
                 bool kept = false);
  void advance_fetches(double now);
  void evict_images(double need_gb);
  void on_image_ready(const AttemptKey& key, Attempt& piece, double now);
  void advance_tasks(double now);
  void begin_next_incarnation(double now);
  double progress_at(const AttemptKey& key, const Attempt& piece, double now) const;
  bool lease_has_ended(double now) const;
  wire::Json make_report(double now);
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
  std::size_t current_node_ = 0;
  bool report_in_flight_ = false;
  std::uint64_t sent_incarnation_ = 0;
  double report_sent_at_ = 0;
  double next_report_at_;
  double no_report_before_ = -kInfinity_s;  // after a node that did not answer
  double last_report_at_ = -kInfinity_s;
  double fencing_token_reported_at_ = -kInfinity_s;
  bool unreported_change_ = false;
  bool hung_ = false;
  bool terminated_ = false;
};

}  // namespace reachramp::lab
