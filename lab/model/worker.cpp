#include "model/worker.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace reachramp::lab {

using wire::Json;
using wire::Response;

namespace {

// PROTOCOL sets these values.
// Report intervals vary by up to this share, up or down.
constexpr double kReportIntervalJitter = 0.25;
// Minimum time between two reports, however often the state changes.
constexpr double kMinReportGap_s = 0.5;
// Pause before reporting to another node because one did not answer.
constexpr double kNodeSwitchDelay_s = 1;
// After a 421 the worker reports to the node named there, with a random delay up to this.
constexpr double kMaxRedirectDelay_s = 0.5;
// A new fencing token causes an early report at most once in this many lease times.
constexpr double kMinTokenReportGapInLeases = 0.5;

// Differences up to this count as rounding errors: GB of an image, seconds of progress.
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

Worker::Worker(Machine machine, const settings::WorkerTimings& timings,
               std::vector<std::string> nodes, SharedTaskState& shared_state, std::uint64_t seed,
               double now)
    : machine_(std::move(machine)),
      timings_(timings),
      nodes_(std::move(nodes)),
      shared_state_(shared_state),
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
  Attempt& attempt = attempts_[key];
  if (job == nullptr || key.first.task >= job->spec.tasks)
    return exit_task(key, attempt, "no_such");
  double cpus = job->spec.cpus, gpus = job->spec.gpus, ram = job->spec.ram_gb;
  for (const auto& [other, other_attempt] : attempts_) {
    if (other_attempt.state == State::exited || &other_attempt == &attempt) continue;
    if (other.first == key.first) return exit_task(key, attempt, "in_use");
    const jobs::Spec& spec = shared_state_.find_job(other.first.job)->spec;
    cpus += spec.cpus;
    gpus += spec.gpus;
    ram += spec.ram_gb;
  }
  if (cpus > machine_.type.cpus + 1e-6 || gpus > machine_.type.gpus + 1e-6 ||
      ram > machine_.type.ram_gb + 1e-6) {
    return exit_task(key, attempt, "full");
  }
  const auto [image, fresh] = images_.try_emplace(job->spec.image);
  if (fresh) {
    evict_images(job->spec.image_gb);
    image->second.remaining_gb = job->spec.image_gb;
  }
  image->second.last_used_at = now;
  if (image->second.remaining_gb <= kRoundingTolerance) on_image_ready(key, attempt, now);
}

// Images that an unfinished attempt uses always stay, even if the cache is too small for them.
void Worker::evict_images(double need_gb) {
  const auto size = [&](const std::string& image) {
    for (const auto& [key, attempt] : attempts_) {
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
  double used_gb = need_gb;
  for (const auto& [name, image] : images_) used_gb += size(name);
  while (used_gb > machine_.type.cache_gb) {
    auto oldest = images_.end();
    for (auto at = images_.begin(); at != images_.end(); ++at) {
      if (!in_use(at->first) &&
          (oldest == images_.end() || at->second.last_used_at < oldest->second.last_used_at)) {
        oldest = at;
      }
    }
    if (oldest == images_.end()) return;
    used_gb -= size(oldest->first);
    images_.erase(oldest);
  }
}

void Worker::on_image_ready(const AttemptKey& key, Attempt& attempt, double now) {
  const SharedTaskState::Job& job = *shared_state_.find_job(key.first.job);
  unreported_change_ = true;
  if (shared_state_.is_done(key.first)) return exit_task(key, attempt, "done");
  if (machine_.faulty || job.fails) return exit_task(key, attempt, "error");
  if (is_gang_task(key)) {
    attempt.state = State::waiting;
    shared_state_.join_gang(key.first, key.second, machine_.speed, now);
    return;
  }
  attempt.state = State::running;
  attempt.state_time = now;
  attempt.progress_s = shared_state_.saved_progress_s(key.first);
}

double Worker::progress_at(const AttemptKey& key, const Attempt& attempt, double now) const {
  const double run_s = shared_state_.find_job(key.first.job)->run_time_s;
  const double gained =
      attempt.progress_s + machine_.speed * std::max(0.0, now - attempt.state_time);
  const bool service = shared_state_.find_job(key.first.job)->spec.shape == jobs::Shape::service;
  return service ? gained : std::min(run_s, gained);
}

void Worker::stop_task(const AttemptKey& key, Attempt& attempt, double grace_period_s, double now) {
  if (attempt.state == State::exited) return;
  const jobs::Spec& spec = shared_state_.find_job(key.first.job)->spec;
  const bool saves = spec.checkpoint_interval_s > 0 && grace_period_s >= spec.checkpoint_duration_s;
  unreported_change_ = true;
  if (attempt.state == State::running && saves) {
    if (is_gang_task(key)) {
      shared_state_.stop_gang_task(key.first, key.second, true, now);
    } else {
      attempt.progress_s = progress_at(key, attempt, now);
    }
    attempt.state = State::saving;
    attempt.state_time = now + spec.checkpoint_duration_s;
    return;
  }
  // A save that has begun continues, unless the new order demands an immediate end.
  if (attempt.state == State::saving && grace_period_s > 0) return;
  if (is_gang_task(key)) shared_state_.stop_gang_task(key.first, key.second, false, now);
  exit_task(key, attempt, "halted");
}

void Worker::exit_task(const AttemptKey&, Attempt& attempt, const std::string& cause,
                       bool progress_saved) {
  attempt.state = State::exited;
  attempt.exit_cause = cause;
  attempt.progress_saved = progress_saved;
  unreported_change_ = true;
}

// Images that are fetched at the same time share the machine's rate equally. An incomplete image
// that no task waits for any more is dropped.
void Worker::advance_fetches(double now) {
  double passed = now - std::exchange(fetches_advanced_at_, now);
  for (;;) {
    std::map<std::string, double> wanted;
    for (const auto& [key, attempt] : attempts_) {
      if (attempt.state != State::fetching) continue;
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
    for (auto& [key, attempt] : attempts_) {
      if (attempt.state != State::fetching) continue;
      Image& image = images_[shared_state_.find_job(key.first.job)->spec.image];
      if (image.remaining_gb > kRoundingTolerance) continue;
      image.remaining_gb = 0;
      image.last_used_at = at;
      on_image_ready(key, attempt, at);
    }
    if (passed <= 0) return;
  }
}

void Worker::advance_tasks(double now) {
  advance_fetches(now);
  for (auto& [key, attempt] : attempts_) {
    if (attempt.state == State::exited || attempt.state == State::fetching) continue;
    const SharedTaskState::Job& job = *shared_state_.find_job(key.first.job);
    if (is_gang_task(key)) {
      switch (shared_state_.gang_task_state(key.first, key.second, now)) {
        case SharedTaskState::GangTaskState::waiting:
          break;
        case SharedTaskState::GangTaskState::running:
          if (attempt.state == State::waiting) {
            attempt.state = State::running;
            unreported_change_ = true;
          }
          break;
        case SharedTaskState::GangTaskState::done:
          exit_task(key, attempt, "done");
          break;
        case SharedTaskState::GangTaskState::stopped_and_saved:
          exit_task(key, attempt, "halted", true);
          break;
        case SharedTaskState::GangTaskState::peers_lost:
          exit_task(key, attempt, "mates_gone");
          break;
        case SharedTaskState::GangTaskState::incomplete:
          shared_state_.lose_gang_task(key.first, key.second, now);
          exit_task(key, attempt, "incomplete");
          break;
      }
      continue;
    }
    if (attempt.state == State::saving) {
      if (now < attempt.state_time) continue;
      shared_state_.save_progress(key.first, attempt.progress_s);
      exit_task(key, attempt, "halted", true);
      continue;
    }
    const double reached = progress_at(key, attempt, now);
    const double interval_s = job.spec.checkpoint_interval_s;
    if (interval_s > 0)
      shared_state_.save_progress(key.first, std::floor(reached / interval_s) * interval_s);
    if (job.spec.shape != jobs::Shape::service && reached >= job.run_time_s - kRoundingTolerance) {
      shared_state_.mark_done(key.first);
      exit_task(key, attempt, "done");
    }
  }
}

// ---- leases, reports, direct orders

void Worker::begin_next_incarnation(double now) {
  for (auto& [key, attempt] : attempts_) {
    if (attempt.state != State::exited && is_gang_task(key))
      shared_state_.lose_gang_task(key.first, key.second, now);
  }
  attempts_.clear();
  ++incarnation_;
  lease_starts_at_ = now;
  report_in_flight_ = false;  // its response belongs to the previous incarnation
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
  for (const auto& [key, attempt] : attempts_) {
    Json item{{"piece", key.first.job + "/" + std::to_string(key.first.task)},
              {"try", key.second},
              {"phase", kPhases.at(attempt.state)}};
    if (attempt.state == State::exited) item["cause"] = attempt.exit_cause;
    if (attempt.progress_saved) item["kept"] = true;
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
    // A response with a lower fencing token or none comes from a deposed leader: its commands are
    // ignored, and it doesn't renew the lease.
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
  // Unlike the response to a report, a direct order does not renew the lease.
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
  for (const auto& [key, attempt] : attempts_) {
    const SharedTaskState::Job* job = shared_state_.find_job(key.first.job);
    switch (attempt.state) {
      case State::exited:
        break;
      case State::fetching:
        due = std::min(due, fetches_advanced_at_ + images_.at(job->spec.image).remaining_gb *
                                                       fetching / machine_.type.fetch_gb_per_s);
        break;
      default:
        if (is_gang_task(key)) {
          due = std::min(due, shared_state_.next_gang_change_at(key.first, key.second));
        } else if (attempt.state == State::saving) {
          due = std::min(due, attempt.state_time);
        } else if (job->spec.shape != jobs::Shape::service) {
          due = std::min(
              due, attempt.state_time + (job->run_time_s - attempt.progress_s) / machine_.speed);
        }
    }
  }
  return due;
}

// ---- fault injection

// While the worker hangs, its tasks make no progress. A gang loses the member; a task of an array
// only loses the time.
void Worker::hang(double now) {
  if (terminated_ || hung_) return;
  advance_tasks(now);
  hung_ = true;
  for (auto& [key, attempt] : attempts_) {
    if (attempt.state == State::exited) continue;
    if (is_gang_task(key)) {
      shared_state_.lose_gang_task(key.first, key.second, now);
    } else if (attempt.state == State::running) {
      attempt.progress_s = progress_at(key, attempt, now);
    }
  }
}

void Worker::resume(double now) {
  if (terminated_ || !std::exchange(hung_, false)) return;
  fetches_advanced_at_ = now;
  report_in_flight_ = false;
  for (auto& [key, attempt] : attempts_) {
    if (attempt.state == State::running && !is_gang_task(key)) attempt.state_time = now;
  }
}

void Worker::set_condition(double speed, bool faulty) {
  machine_.speed = speed;
  machine_.faulty = faulty;
}

void Worker::terminate(double now) {
  if (terminated_) return;
  for (auto& [key, attempt] : attempts_) {
    if (attempt.state != State::exited && is_gang_task(key))
      shared_state_.lose_gang_task(key.first, key.second, now);
  }
  attempts_.clear();
  terminated_ = true;
}

std::vector<std::pair<SharedTaskState::TaskId, std::uint64_t>> Worker::held_tasks() const {
  std::vector<AttemptKey> found;
  for (const auto& [key, attempt] : attempts_) {
    if (attempt.state != State::exited && attempt.state != State::fetching) found.push_back(key);
  }
  return found;
}

}  // namespace reachramp::lab
