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
  struct Sending {
    std::string node;
    wire::Json report;
  };

  // `nodes`: the names of all controllers.
  Worker(Machine machine, const settings::WorkerTimings& rules, std::vector<std::string> nodes,
         Field& field, std::uint64_t seed, double now);

  // Kills and forgets all tasks if the lease has ended by now. pass(), answered() and ask() do so
  // first; whoever judges what is on a machine between them has to.
  void expire_lease(double now);
  std::optional<Sending> pass(double now);
  // The answer to the report in flight; not answered: none within 4 s, or no connection.
  void answered(const wire::CallResult& answer, double now);
  // /orders and /status.
  wire::Response ask(const wire::Request& request, double now);
  double due() const;

  // Troubles.
  void notice(double left_s, double now) { reclaim_at_ = now + left_s; }
  void hang(double now);
  void go_on(double now);
  bool hangs() const { return hangs_; }
  void be(double speed, bool faulty);
  // The machine and all on it are gone.
  void end(double now);

  // Tasks that are on the machine: from the image on until they exit.
  std::vector<std::pair<Field::TaskId, std::uint64_t>> holds() const;
  std::uint64_t incarnation() const { return incarnation_; }
  std::uint64_t fencing_token() const { return fencing_token_; }
  // When the report was sent that its lease counts from.
  double lease_since() const { return leased_at_; }
  // By then tasks are lost, if no answer comes; the infinite future while it hangs or is gone.
  double lease_ends_at() const;

 private:
  enum class State { fetching, waiting, running, saving, exited };
  struct Piece {
    State state = State::fetching;
    std::string cause;
    bool kept = false;
    double since = 0;     // running: progress counts from here; saving: it ends then
    double progress = 0;  // at `since`
  };
  struct Image {
    double left_gb = 0;  // 0: it is here
    double used_at = 0;
  };
  using Key = std::pair<Field::TaskId, std::uint64_t>;

  void execute(const wire::Json& order, double now);
  void start(const Key& key, double now);
  void stop(const Key& key, Piece& piece, double wind_down_s, double now);
  void exit(const Key& key, Piece& piece, const std::string& cause, bool kept = false);
  void fetch(double now);
  void drop_images(double need_gb);
  void has_image(const Key& key, Piece& piece, double now);
  void work(double now);
  void lose_lease(double now);
  double progress(const Key& key, const Piece& piece, double now) const;
  bool lease_has_ended(double now) const;
  wire::Json report(double now);
  void next_node(double now);
  bool is_gang(const Key& key) const;

  Machine machine_;
  settings::WorkerTimings rules_;
  std::vector<std::string> nodes_;
  Field& field_;
  std::mt19937_64 random_;
  std::map<Key, Piece> pieces_;
  std::map<std::string, Image> images_;
  double moved_at_;
  std::uint64_t incarnation_ = 1, tick_ = 0, fencing_token_ = 0;
  double leased_at_;
  double reclaim_at_ = kForever;
  std::size_t node_ = 0;
  bool in_flight_ = false;
  std::uint64_t sent_incarnation_ = 0;
  double sent_at_ = 0;
  double report_at_;
  double not_before_ = -kForever;  // after a node that did not answer
  double last_report_at_ = -kForever;
  double told_fencing_token_at_ = -kForever;
  bool changed_ = false;
  bool hangs_ = false;
  bool over_ = false;
};

}  // namespace reachramp::lab
