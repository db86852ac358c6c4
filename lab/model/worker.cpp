#include "model/worker.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace reachramp::lab {

using wire::Json;
using wire::Response;

namespace {

// All from PROTOCOL.
constexpr double kReportIntervalJitter = 0.25;
constexpr double kMinReportGap_s = 0.5;
constexpr double kNodeSwitchDelay_s = 1;
constexpr double kMaxRedirectDelay_s = 0.5;
constexpr double kMinTokenReportGapInLeases = 0.5;
constexpr double kRoundingTolerance = 1e-9;

SharedTaskState::TaskId parse_task_id(const std::string& name) {
  const auto slash = name.rfind('/');
  SharedTaskState::TaskId task{name.substr(0, slash), 0};
  const char* end = name.data() + name.size();
  if (slash == std::string::npos ||
      std::from_chars(name.data() + slash + 1, end, task.task).ptr != end) {
    throw wire::BadMessage("piece: not a task");
  }
  return task;
}

}  // namespace

Worker::Worker(Machine machine, const settings::WorkerTimings& rules,
               std::vector<std::string> nodes, SharedTaskState& field, std::uint64_t seed,
               double now)
    : machine_(std::move(machine)),
      timings_(rules),
      nodes_(std::move(nodes)),
      shared_state_(field),
      random_(seed),
      fetches_advanced_at_(now),
      lease_starts_at_(now),
      next_report_at_(now) {
  current_node_ = random_() % nodes_.size();
}

bool Worker::is_gang_task(const AttemptKey& key) const {
  const SharedTaskState::Job* job = shared_state_.find_job(key.first.job);
  return job != nullptr && job->spec.shape == jobs::Shape::gang;
}

// ---- tasks

void Worker::execute_order(const Json& order, double now) {
  const std::string verb = wire::text(order, "verb");
  const AttemptKey key{parse_task_id(wire::text(order, "piece")), wire::count(order, "try")};
  const auto at = attempts_.find(key);
  if (verb == "start") {
    if (at == attempts_.end()) start_task(key, now);
  } else if (verb == "clear") {
    if (at != attempts_.end() && at->second.state == State::exited) attempts_.erase(at);
  } else if (verb == "stop") {
    if (at != attempts_.end()) stop_task(key, at->second, wire::amount(order, "wind_down_s"), now);
  } else {
    throw wire::BadMessage("verb: unknown");
  }
}

void Worker::start_task(const AttemptKey& key, double now) {
  unreported_change_ = true;
  const SharedTaskState::Job* job = shared_state_.find_job(key.first.job);
  Attempt& piece = attempts_[key];
  if (job == nullptr || key.first.task >= job->spec.tasks) return exit_task(key, piece, "no_such");
  double cpus = job->spec.cpus, gpus = job->spec.gpus, ram = job->spec.ram_gb;
  for (const auto& [other, held] : attempts_) {
    if (held.state == State::exited || &held == &piece) continue;
    if (other.first == key.first) return exit_task(key, piece, "in_use");
    const jobs::Spec& spec = shared_state_.find_job(other.first.job)->spec;
    cpus += spec.cpus;
    gpus += spec.gpus;
    ram += spec.ram_gb;
  }
  if (cpus > machine_.type.cpus + 1e-6 || gpus > machine_.type.gpus + 1e-6 ||
      ram > machine_.type.ram_gb + 1e-6) {
    return exit_task(key, piece, "full");
  }
  const auto [image, fresh] = images_.try_emplace(job->spec.image);
  if (fresh) {
    evict_images(job->spec.image_gb);
    image->second.remaining_gb = job->spec.image_gb;
  }
  image->second.last_used_at = now;
  if (image->second.remaining_gb <= kRoundingTolerance) on_image_ready(key, piece, now);
}

// The most recently used images stay, as far as the cache holds them.
void Worker::evict_images(double need_gb) {
  const auto size = [&](const std::string& image) {
    for (const auto& [key, piece] : attempts_) {
      const SharedTaskState::Job* job = shared_state_.find_job(key.first.job);
      if (job != nullptr && job->spec.image == image) return job->spec.image_gb;
    }
    return 0.0;
  };
  const auto in_use = [&](const std::string& image) {
    return std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& entry) {
      const SharedTaskState::Job* job = shared_state_.find_job(entry.first.first.job);
      return entry.second.state != State::exited && job != nullptr && job->spec.image == image;
    });
  };
  double held = need_gb;
  for (const auto& [name, image] : images_) held += size(name);
  while (held > machine_.type.cache_gb) {
    auto oldest = images_.end();
    for (auto at = images_.begin(); at != images_.end(); ++at) {
      if (!in_use(at->first) &&
          (oldest == images_.end() || at->second.last_used_at < oldest->second.last_used_at)) {
        oldest = at;
      }
    }
    if (oldest == images_.end()) return;
    held -= size(oldest->first);
    images_.erase(oldest);
  }
}

void Worker::on_image_ready(const AttemptKey& key, Attempt& piece, double now) {
  const SharedTaskState::Job& job = *shared_state_.find_job(key.first.job);
  unreported_change_ = true;
  if (shared_state_.is_done(key.first)) return exit_task(key, piece, "done");
  if (machine_.faulty || job.fails) return exit_task(key, piece, "error");
  if (is_gang_task(key)) {
    piece.state = State::waiting;
    shared_state_.join_gang(key.first, key.second, machine_.speed, now);
    return;
  }
  piece.state = State::running;
  piece.state_time = now;
  piece.progress_s = shared_state_.saved_progress_s(key.first);
}

double Worker::progress_at(const AttemptKey& key, const Attempt& piece, double now) const {
  const double run_s = shared_state_.find_job(key.first.job)->run_time_s;
  const double gained = piece.progress_s + machine_.speed * std::max(0.0, now - piece.state_time);
  const bool service = shared_state_.find_job(key.first.job)->spec.shape == jobs::Shape::service;
  return service ? gained : std::min(run_s, gained);
}

void Worker::stop_task(const AttemptKey& key, Attempt& piece, double wind_down_s, double now) {
  if (piece.state == State::exited) return;
  const jobs::Spec& spec = shared_state_.find_job(key.first.job)->spec;
  const bool saves = spec.checkpoint_interval_s > 0 && wind_down_s >= spec.checkpoint_duration_s;
  unreported_change_ = true;
  if (piece.state == State::running && saves) {
    if (is_gang_task(key)) {
      shared_state_.stop_gang_task(key.first, key.second, true, now);
    } else {
      piece.progress_s = progress_at(key, piece, now);
    }
    piece.state = State::saving;
    piece.state_time = now + spec.checkpoint_duration_s;
    return;
  }
  // A task that is saving goes on, unless it is told to end at once.
  if (piece.state == State::saving && wind_down_s > 0) return;
  if (is_gang_task(key)) shared_state_.stop_gang_task(key.first, key.second, false, now);
  exit_task(key, piece, "halted");
}

void Worker::exit_task(const AttemptKey&, Attempt& piece, const std::string& cause, bool kept) {
  piece.state = State::exited;
  piece.exit_cause = cause;
  piece.progress_saved = kept;
  unreported_change_ = true;
}

// Images that are fetched at the same time share the rate; one that no task waits for is given up.
void Worker::advance_fetches(double now) {
  double passed = now - std::exchange(fetches_advanced_at_, now);
  for (;;) {
    std::map<std::string, double> wanted;
    for (const auto& [key, piece] : attempts_) {
      if (piece.state != State::fetching) continue;
      const std::string& image = shared_state_.find_job(key.first.job)->spec.image;
      wanted[image] = images_[image].remaining_gb;
    }
    std::erase_if(images_, [&](const auto& entry) {
      return entry.second.remaining_gb > kRoundingTolerance && !wanted.contains(entry.first);
    });
    if (wanted.empty()) return;
    const double each = machine_.type.fetch_gb_per_s / static_cast<double>(wanted.size());
    double step = passed;
    for (const auto& [image, left] : wanted) step = std::min(step, left / each);
    passed -= step;
    const double at = now - passed;
    for (const auto& [image, left] : wanted) images_[image].remaining_gb = left - step * each;
    for (auto& [key, piece] : attempts_) {
      if (piece.state != State::fetching) continue;
      Image& image = images_[shared_state_.find_job(key.first.job)->spec.image];
      if (image.remaining_gb > kRoundingTolerance) continue;
      image.remaining_gb = 0;
      image.last_used_at = at;
      on_image_ready(key, piece, at);
    }
    if (passed <= 0) return;
  }
}

void Worker::advance_tasks(double now) {
  advance_fetches(now);
  for (auto& [key, piece] : attempts_) {
    if (piece.state == State::exited || piece.state == State::fetching) continue;
    const SharedTaskState::Job& job = *shared_state_.find_job(key.first.job);
    if (is_gang_task(key)) {
      switch (shared_state_.gang_task_state(key.first, key.second, now)) {
        case SharedTaskState::GangTaskState::waiting:
          break;
        case SharedTaskState::GangTaskState::running:
          if (piece.state == State::waiting) {
            piece.state = State::running;
            unreported_change_ = true;
          }
          break;
        case SharedTaskState::GangTaskState::done:
          exit_task(key, piece, "done");
          break;
        case SharedTaskState::GangTaskState::stopped_and_saved:
          exit_task(key, piece, "halted", true);
          break;
        case SharedTaskState::GangTaskState::peers_lost:
          exit_task(key, piece, "mates_gone");
          break;
        case SharedTaskState::GangTaskState::incomplete:
          shared_state_.lose_gang_task(key.first, key.second, now);
          exit_task(key, piece, "incomplete");
          break;
      }
      continue;
    }
    if (piece.state == State::saving) {
      if (now < piece.state_time) continue;
      shared_state_.save_progress(key.first, piece.progress_s);
      exit_task(key, piece, "halted", true);
      continue;
    }
    const double reached = progress_at(key, piece, now);
    const double every = job.spec.checkpoint_interval_s;
    if (every > 0) shared_state_.save_progress(key.first, std::floor(reached / every) * every);
    if (job.spec.shape != jobs::Shape::service && reached >= job.run_time_s - kRoundingTolerance) {
      shared_state_.mark_done(key.first);
      exit_task(key, piece, "done");
    }
  }
}

// ---- leases, reports, direct orders

void Worker::begin_next_incarnation(double now) {
  for (auto& [key, piece] : attempts_) {
    if (piece.state != State::exited && is_gang_task(key))
      shared_state_.lose_gang_task(key.first, key.second, now);
  }
  attempts_.clear();
  ++incarnation_;
  lease_starts_at_ = now;
  report_in_flight_ = false;  // its answer belongs to the session before
  unreported_change_ = true;
}

double Worker::lease_ends_at() const {
  return terminated_ || hung_ ? kInfinity_s : lease_starts_at_ + timings_.lease_s;
}

bool Worker::lease_has_ended(double now) const {
  return !terminated_ && !hung_ && now - lease_starts_at_ > timings_.lease_s;
}

void Worker::expire_lease(double now) {
  if (!lease_has_ended(now)) return;
  advance_tasks(std::max(fetches_advanced_at_, lease_ends_at()));
  begin_next_incarnation(now);
}

std::optional<Worker::OutgoingReport> Worker::advance(double now) {
  if (terminated_ || hung_) return std::nullopt;
  expire_lease(now);
  advance_tasks(now);
  if (unreported_change_) {
    next_report_at_ = std::min(next_report_at_, std::max(now, last_report_at_ + kMinReportGap_s));
  }
  if (report_in_flight_ || now < std::max(next_report_at_, no_report_before_)) return std::nullopt;
  unreported_change_ = false;
  report_in_flight_ = true;
  sent_incarnation_ = incarnation_;
  report_sent_at_ = last_report_at_ = now;
  next_report_at_ = now + timings_.report_interval_s *
                              std::uniform_real_distribution<double>(
                                  1 - kReportIntervalJitter, 1 + kReportIntervalJitter)(random_);
  return OutgoingReport{nodes_[current_node_], make_report(now)};
}

Json Worker::make_report(double now) {
  static const std::map<State, const char*> kPhases{{State::fetching, "fetching"},
                                                    {State::waiting, "waiting"},
                                                    {State::running, "running"},
                                                    {State::saving, "flushing"},
                                                    {State::exited, "exited"}};
  Json pieces = Json::array();
  for (const auto& [key, piece] : attempts_) {
    Json item{{"piece", key.first.job + "/" + std::to_string(key.first.task)},
              {"try", key.second},
              {"phase", kPhases.at(piece.state)}};
    if (piece.state == State::exited) item["cause"] = piece.exit_cause;
    if (piece.progress_saved) item["kept"] = true;
    pieces.push_back(std::move(item));
  }
  Json made{{"host", machine_.name},
            {"address", machine_.address.empty() ? Json() : Json(machine_.address)},
            {"rig", machine_.type.name},
            {"hall", machine_.zone},
            {"loaner", machine_.spot},
            {"tenure", incarnation_},
            {"tick", ++tick_},
            {"baton", fencing_token_},
            {"reclaim_in_s", nullptr},
            {"pieces", std::move(pieces)}};
  if (reclaim_at_ != kInfinity_s) made["reclaim_in_s"] = std::max(0.0, reclaim_at_ - now);
  return made;
}

void Worker::switch_node(double now) {
  current_node_ = (current_node_ + 1) % nodes_.size();
  next_report_at_ = no_report_before_ = now + kNodeSwitchDelay_s;
}

void Worker::on_report_answer(const wire::CallResult& answer, double now) {
  expire_lease(now);
  if (terminated_ || hung_ || !report_in_flight_ || sent_incarnation_ != incarnation_) return;
  report_in_flight_ = false;
  if (answer.received_response && answer.status == 421) {
    const auto upstream =
        answer.body.is_object() ? wire::optional_text(answer.body, "upstream") : std::nullopt;
    const auto named = std::find(nodes_.begin(), nodes_.end(), upstream.value_or(""));
    if (named == nodes_.end() || *named == nodes_[current_node_]) return switch_node(now);
    current_node_ = static_cast<std::size_t>(named - nodes_.begin());
    next_report_at_ = now + std::uniform_real_distribution<double>(0, kMaxRedirectDelay_s)(random_);
    return;
  }
  if (!answer.received_response || answer.status != 200) return switch_node(now);
  try {
    // A lower token or none: dropped, and the lease is not renewed.
    const Json* fencing_token = wire::find(answer.body, "baton");
    if (fencing_token == nullptr || wire::count(answer.body, "baton") < fencing_token_) return;
    const std::uint64_t token = wire::count(answer.body, "baton");
    if (token > std::exchange(fencing_token_, token) &&
        now - fencing_token_reported_at_ >= timings_.lease_s * kMinTokenReportGapInLeases) {
      fencing_token_reported_at_ = now;
      unreported_change_ = true;
    }
    lease_starts_at_ = report_sent_at_;
    for (const Json& order : wire::list(answer.body, "orders")) execute_order(order, now);
  } catch (const wire::BadMessage&) {
    switch_node(now);
  }
}

Response Worker::handle_request(const wire::Request& request, double now) {
  expire_lease(now);
  if (request.method == "GET" && request.path == "/status") return {200, make_report(now)};
  if (request.method != "POST" || request.path != "/orders") return {404, Json::object()};
  const Json body = wire::decode_map(request.body);
  if (wire::find(body, "baton") == nullptr || wire::find(body, "tenure") == nullptr) {
    return {400, {{"error", "baton and tenure are needed"}}};
  }
  const std::uint64_t token = wire::count(body, "baton");
  if (token < fencing_token_ || wire::count(body, "tenure") != incarnation_)
    return {409, make_report(now)};
  if (token > std::exchange(fencing_token_, token)) unreported_change_ = true;
  // Direct orders do not renew the lease.
  for (const Json& order : wire::list(body, "orders")) execute_order(order, now);
  advance_tasks(now);
  return {200, make_report(now)};
}

double Worker::next_event_at() const {
  if (terminated_ || hung_) return kInfinity_s;
  double due = lease_starts_at_ + timings_.lease_s + 0.001;
  if (!report_in_flight_) {
    const double next = unreported_change_ ? last_report_at_ + kMinReportGap_s : next_report_at_;
    due = std::min(due, std::max(next, no_report_before_));
  }
  const auto fetching =
      static_cast<double>(std::count_if(images_.begin(), images_.end(), [](const auto& i) {
        return i.second.remaining_gb > kRoundingTolerance;
      }));
  for (const auto& [key, piece] : attempts_) {
    const SharedTaskState::Job* job = shared_state_.find_job(key.first.job);
    switch (piece.state) {
      case State::exited:
        break;
      case State::fetching:
        due = std::min(due, fetches_advanced_at_ + images_.at(job->spec.image).remaining_gb *
                                                       fetching / machine_.type.fetch_gb_per_s);
        break;
      default:
        if (is_gang_task(key)) {
          due = std::min(due, shared_state_.next_gang_change_at(key.first, key.second));
        } else if (piece.state == State::saving) {
          due = std::min(due, piece.state_time);
        } else if (job->spec.shape != jobs::Shape::service) {
          due = std::min(due,
                         piece.state_time + (job->run_time_s - piece.progress_s) / machine_.speed);
        }
    }
  }
  return due;
}

// ---- troubles

// It does not execute its tasks meanwhile; gangs notice, arrays just lose the time.
void Worker::hang(double now) {
  if (terminated_ || hung_) return;
  advance_tasks(now);
  hung_ = true;
  for (auto& [key, piece] : attempts_) {
    if (piece.state == State::exited) continue;
    if (is_gang_task(key)) {
      shared_state_.lose_gang_task(key.first, key.second, now);
    } else if (piece.state == State::running) {
      piece.progress_s = progress_at(key, piece, now);
    }
  }
}

void Worker::resume(double now) {
  if (terminated_ || !std::exchange(hung_, false)) return;
  fetches_advanced_at_ = now;
  report_in_flight_ = false;
  for (auto& [key, piece] : attempts_) {
    if (piece.state == State::running && !is_gang_task(key)) piece.state_time = now;
  }
}

void Worker::set_condition(double speed, bool faulty) {
  machine_.speed = speed;
  machine_.faulty = faulty;
}

void Worker::terminate(double now) {
  if (terminated_) return;
  for (auto& [key, piece] : attempts_) {
    if (piece.state != State::exited && is_gang_task(key))
      shared_state_.lose_gang_task(key.first, key.second, now);
  }
  attempts_.clear();
  terminated_ = true;
}

std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>> Worker::held_tasks() const {
  std::vector<AttemptKey> found;
  for (const auto& [key, piece] : attempts_) {
    if (piece.state != State::exited && piece.state != State::fetching) found.push_back(key);
  }
  return found;
}

}  // namespace reachramp::lab
