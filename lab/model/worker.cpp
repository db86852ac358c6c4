#include "model/worker.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace reachramp::lab {

using wire::Json;
using wire::Response;

namespace {

// All from PROTOCOL.
constexpr double kReportSpread = 0.25;
constexpr double kReportAtMostEvery_s = 0.5;
constexpr double kNextNodeAfter_s = 1;
constexpr double kFollowWithin_s = 0.5;
constexpr double kTokenChangesPerLease = 0.5;
constexpr double kCrumb = 1e-9;

Field::TaskId task_of(const std::string& name) {
  const auto slash = name.rfind('/');
  Field::TaskId task{name.substr(0, slash), 0};
  const char* end = name.data() + name.size();
  if (slash == std::string::npos ||
      std::from_chars(name.data() + slash + 1, end, task.task).ptr != end) {
    throw wire::BadMessage("piece: not a task");
  }
  return task;
}

}  // namespace

Worker::Worker(Machine machine, const settings::WorkerTimings& rules,
               std::vector<std::string> nodes, Field& field, std::uint64_t seed, double now)
    : machine_(std::move(machine)),
      rules_(rules),
      nodes_(std::move(nodes)),
      field_(field),
      random_(seed),
      moved_at_(now),
      leased_at_(now),
      report_at_(now) {
  node_ = random_() % nodes_.size();
}

bool Worker::is_gang(const Key& key) const {
  const Field::Job* job = field_.find(key.first.job);
  return job != nullptr && job->spec.shape == jobs::Shape::gang;
}

// ---- tasks

void Worker::execute(const Json& order, double now) {
  const std::string verb = wire::text(order, "verb");
  const Key key{task_of(wire::text(order, "piece")), wire::count(order, "try")};
  const auto at = pieces_.find(key);
  if (verb == "start") {
    if (at == pieces_.end()) start(key, now);
  } else if (verb == "clear") {
    if (at != pieces_.end() && at->second.state == State::exited) pieces_.erase(at);
  } else if (verb == "stop") {
    if (at != pieces_.end()) stop(key, at->second, wire::amount(order, "wind_down_s"), now);
  } else {
    throw wire::BadMessage("verb: unknown");
  }
}

void Worker::start(const Key& key, double now) {
  changed_ = true;
  const Field::Job* job = field_.find(key.first.job);
  Piece& piece = pieces_[key];
  if (job == nullptr || key.first.task >= job->spec.tasks) return exit(key, piece, "no_such");
  double cpus = job->spec.cpus, gpus = job->spec.gpus, ram = job->spec.ram_gb;
  for (const auto& [other, held] : pieces_) {
    if (held.state == State::exited || &held == &piece) continue;
    if (other.first == key.first) return exit(key, piece, "in_use");
    const jobs::Spec& spec = field_.find(other.first.job)->spec;
    cpus += spec.cpus;
    gpus += spec.gpus;
    ram += spec.ram_gb;
  }
  if (cpus > machine_.type.cpus + 1e-6 || gpus > machine_.type.gpus + 1e-6 ||
      ram > machine_.type.ram_gb + 1e-6) {
    return exit(key, piece, "full");
  }
  const auto [image, fresh] = images_.try_emplace(job->spec.image);
  if (fresh) {
    drop_images(job->spec.image_gb);
    image->second.left_gb = job->spec.image_gb;
  }
  image->second.used_at = now;
  if (image->second.left_gb <= kCrumb) has_image(key, piece, now);
}

// The most recently used images stay, as far as the cache holds them.
void Worker::drop_images(double need_gb) {
  const auto size = [&](const std::string& image) {
    for (const auto& [key, piece] : pieces_) {
      const Field::Job* job = field_.find(key.first.job);
      if (job != nullptr && job->spec.image == image) return job->spec.image_gb;
    }
    return 0.0;
  };
  const auto in_use = [&](const std::string& image) {
    return std::any_of(pieces_.begin(), pieces_.end(), [&](const auto& entry) {
      const Field::Job* job = field_.find(entry.first.first.job);
      return entry.second.state != State::exited && job != nullptr && job->spec.image == image;
    });
  };
  double held = need_gb;
  for (const auto& [name, image] : images_) held += size(name);
  while (held > machine_.type.cache_gb) {
    auto oldest = images_.end();
    for (auto at = images_.begin(); at != images_.end(); ++at) {
      if (!in_use(at->first) &&
          (oldest == images_.end() || at->second.used_at < oldest->second.used_at)) {
        oldest = at;
      }
    }
    if (oldest == images_.end()) return;
    held -= size(oldest->first);
    images_.erase(oldest);
  }
}

void Worker::has_image(const Key& key, Piece& piece, double now) {
  const Field::Job& job = *field_.find(key.first.job);
  changed_ = true;
  if (field_.done(key.first)) return exit(key, piece, "done");
  if (machine_.faulty || job.fails) return exit(key, piece, "error");
  if (is_gang(key)) {
    piece.state = State::waiting;
    field_.join(key.first, key.second, machine_.speed, now);
    return;
  }
  piece.state = State::running;
  piece.since = now;
  piece.progress = field_.saved(key.first);
}

double Worker::progress(const Key& key, const Piece& piece, double now) const {
  const double run_s = field_.find(key.first.job)->run_s;
  const double gained = piece.progress + machine_.speed * std::max(0.0, now - piece.since);
  const bool service = field_.find(key.first.job)->spec.shape == jobs::Shape::service;
  return service ? gained : std::min(run_s, gained);
}

void Worker::stop(const Key& key, Piece& piece, double wind_down_s, double now) {
  if (piece.state == State::exited) return;
  const jobs::Spec& spec = field_.find(key.first.job)->spec;
  const bool saves = spec.checkpoint_interval_s > 0 && wind_down_s >= spec.checkpoint_duration_s;
  changed_ = true;
  if (piece.state == State::running && saves) {
    if (is_gang(key)) {
      field_.stop(key.first, key.second, true, now);
    } else {
      piece.progress = progress(key, piece, now);
    }
    piece.state = State::saving;
    piece.since = now + spec.checkpoint_duration_s;
    return;
  }
  // A task that is saving goes on, unless it is told to end at once.
  if (piece.state == State::saving && wind_down_s > 0) return;
  if (is_gang(key)) field_.stop(key.first, key.second, false, now);
  exit(key, piece, "halted");
}

void Worker::exit(const Key&, Piece& piece, const std::string& cause, bool kept) {
  piece.state = State::exited;
  piece.cause = cause;
  piece.kept = kept;
  changed_ = true;
}

// Images that are fetched at the same time share the rate; one that no task waits for is given up.
void Worker::fetch(double now) {
  double passed = now - std::exchange(moved_at_, now);
  for (;;) {
    std::map<std::string, double> wanted;
    for (const auto& [key, piece] : pieces_) {
      if (piece.state != State::fetching) continue;
      const std::string& image = field_.find(key.first.job)->spec.image;
      wanted[image] = images_[image].left_gb;
    }
    std::erase_if(images_, [&](const auto& entry) {
      return entry.second.left_gb > kCrumb && !wanted.contains(entry.first);
    });
    if (wanted.empty()) return;
    const double each = machine_.type.fetch_gb_per_s / static_cast<double>(wanted.size());
    double step = passed;
    for (const auto& [image, left] : wanted) step = std::min(step, left / each);
    passed -= step;
    const double at = now - passed;
    for (const auto& [image, left] : wanted) images_[image].left_gb = left - step * each;
    for (auto& [key, piece] : pieces_) {
      if (piece.state != State::fetching) continue;
      Image& image = images_[field_.find(key.first.job)->spec.image];
      if (image.left_gb > kCrumb) continue;
      image.left_gb = 0;
      image.used_at = at;
      has_image(key, piece, at);
    }
    if (passed <= 0) return;
  }
}

void Worker::work(double now) {
  fetch(now);
  for (auto& [key, piece] : pieces_) {
    if (piece.state == State::exited || piece.state == State::fetching) continue;
    const Field::Job& job = *field_.find(key.first.job);
    if (is_gang(key)) {
      switch (field_.fate(key.first, key.second, now)) {
        case Field::Fate::wait:
          break;
        case Field::Fate::run:
          if (piece.state == State::waiting) {
            piece.state = State::running;
            changed_ = true;
          }
          break;
        case Field::Fate::done:
          exit(key, piece, "done");
          break;
        case Field::Fate::halted:
          exit(key, piece, "halted", true);
          break;
        case Field::Fate::mates_gone:
          exit(key, piece, "mates_gone");
          break;
        case Field::Fate::incomplete:
          field_.vanish(key.first, key.second, now);
          exit(key, piece, "incomplete");
          break;
      }
      continue;
    }
    if (piece.state == State::saving) {
      if (now < piece.since) continue;
      field_.save(key.first, piece.progress);
      exit(key, piece, "halted", true);
      continue;
    }
    const double reached = progress(key, piece, now);
    const double every = job.spec.checkpoint_interval_s;
    if (every > 0) field_.save(key.first, std::floor(reached / every) * every);
    if (job.spec.shape != jobs::Shape::service && reached >= job.run_s - kCrumb) {
      field_.finish(key.first);
      exit(key, piece, "done");
    }
  }
}

// ---- leases, reports, direct orders

void Worker::lose_lease(double now) {
  for (auto& [key, piece] : pieces_) {
    if (piece.state != State::exited && is_gang(key)) field_.vanish(key.first, key.second, now);
  }
  pieces_.clear();
  ++incarnation_;
  leased_at_ = now;
  in_flight_ = false;  // its answer belongs to the session before
  changed_ = true;
}

double Worker::lease_ends_at() const {
  return over_ || hangs_ ? kForever : leased_at_ + rules_.lease_s;
}

bool Worker::lease_has_ended(double now) const {
  return !over_ && !hangs_ && now - leased_at_ > rules_.lease_s;
}

void Worker::expire_lease(double now) {
  if (!lease_has_ended(now)) return;
  work(std::max(moved_at_, lease_ends_at()));
  lose_lease(now);
}

std::optional<Worker::Sending> Worker::pass(double now) {
  if (over_ || hangs_) return std::nullopt;
  expire_lease(now);
  work(now);
  if (changed_) {
    report_at_ = std::min(report_at_, std::max(now, last_report_at_ + kReportAtMostEvery_s));
  }
  if (in_flight_ || now < std::max(report_at_, not_before_)) return std::nullopt;
  changed_ = false;
  in_flight_ = true;
  sent_incarnation_ = incarnation_;
  sent_at_ = last_report_at_ = now;
  report_at_ = now + rules_.report_interval_s * std::uniform_real_distribution<double>(
                                                    1 - kReportSpread, 1 + kReportSpread)(random_);
  return Sending{nodes_[node_], report(now)};
}

Json Worker::report(double now) {
  static const std::map<State, const char*> kPhases{{State::fetching, "fetching"},
                                                    {State::waiting, "waiting"},
                                                    {State::running, "running"},
                                                    {State::saving, "flushing"},
                                                    {State::exited, "exited"}};
  Json pieces = Json::array();
  for (const auto& [key, piece] : pieces_) {
    Json item{{"piece", key.first.job + "/" + std::to_string(key.first.task)},
              {"try", key.second},
              {"phase", kPhases.at(piece.state)}};
    if (piece.state == State::exited) item["cause"] = piece.cause;
    if (piece.kept) item["kept"] = true;
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
  if (reclaim_at_ != kForever) made["reclaim_in_s"] = std::max(0.0, reclaim_at_ - now);
  return made;
}

void Worker::next_node(double now) {
  node_ = (node_ + 1) % nodes_.size();
  report_at_ = not_before_ = now + kNextNodeAfter_s;
}

void Worker::answered(const wire::CallResult& answer, double now) {
  expire_lease(now);
  if (over_ || hangs_ || !in_flight_ || sent_incarnation_ != incarnation_) return;
  in_flight_ = false;
  if (answer.received_response && answer.status == 421) {
    const auto upstream =
        answer.body.is_object() ? wire::optional_text(answer.body, "upstream") : std::nullopt;
    const auto named = std::find(nodes_.begin(), nodes_.end(), upstream.value_or(""));
    if (named == nodes_.end() || *named == nodes_[node_]) return next_node(now);
    node_ = static_cast<std::size_t>(named - nodes_.begin());
    report_at_ = now + std::uniform_real_distribution<double>(0, kFollowWithin_s)(random_);
    return;
  }
  if (!answer.received_response || answer.status != 200) return next_node(now);
  try {
    // A lower token or none: dropped, and the lease is not renewed.
    const Json* fencing_token = wire::find(answer.body, "baton");
    if (fencing_token == nullptr || wire::count(answer.body, "baton") < fencing_token_) return;
    const std::uint64_t token = wire::count(answer.body, "baton");
    if (token > std::exchange(fencing_token_, token) &&
        now - told_fencing_token_at_ >= rules_.lease_s * kTokenChangesPerLease) {
      told_fencing_token_at_ = now;
      changed_ = true;
    }
    leased_at_ = sent_at_;
    for (const Json& order : wire::list(answer.body, "orders")) execute(order, now);
  } catch (const wire::BadMessage&) {
    next_node(now);
  }
}

Response Worker::ask(const wire::Request& request, double now) {
  expire_lease(now);
  if (request.method == "GET" && request.path == "/status") return {200, report(now)};
  if (request.method != "POST" || request.path != "/orders") return {404, Json::object()};
  const Json body = wire::decode_map(request.body);
  if (wire::find(body, "baton") == nullptr || wire::find(body, "tenure") == nullptr) {
    return {400, {{"error", "baton and tenure are needed"}}};
  }
  const std::uint64_t token = wire::count(body, "baton");
  if (token < fencing_token_ || wire::count(body, "tenure") != incarnation_)
    return {409, report(now)};
  if (token > std::exchange(fencing_token_, token)) changed_ = true;
  // Direct orders do not renew the lease.
  for (const Json& order : wire::list(body, "orders")) execute(order, now);
  work(now);
  return {200, report(now)};
}

double Worker::due() const {
  if (over_ || hangs_) return kForever;
  double due = leased_at_ + rules_.lease_s + 0.001;
  if (!in_flight_) {
    const double next = changed_ ? last_report_at_ + kReportAtMostEvery_s : report_at_;
    due = std::min(due, std::max(next, not_before_));
  }
  const auto fetching = static_cast<double>(std::count_if(
      images_.begin(), images_.end(), [](const auto& i) { return i.second.left_gb > kCrumb; }));
  for (const auto& [key, piece] : pieces_) {
    const Field::Job* job = field_.find(key.first.job);
    switch (piece.state) {
      case State::exited:
        break;
      case State::fetching:
        due = std::min(due, moved_at_ + images_.at(job->spec.image).left_gb * fetching /
                                            machine_.type.fetch_gb_per_s);
        break;
      default:
        if (is_gang(key)) {
          due = std::min(due, field_.due(key.first, key.second));
        } else if (piece.state == State::saving) {
          due = std::min(due, piece.since);
        } else if (job->spec.shape != jobs::Shape::service) {
          due = std::min(due, piece.since + (job->run_s - piece.progress) / machine_.speed);
        }
    }
  }
  return due;
}

// ---- troubles

// It does not execute its tasks meanwhile; gangs notice, arrays just lose the time.
void Worker::hang(double now) {
  if (over_ || hangs_) return;
  work(now);
  hangs_ = true;
  for (auto& [key, piece] : pieces_) {
    if (piece.state == State::exited) continue;
    if (is_gang(key)) {
      field_.vanish(key.first, key.second, now);
    } else if (piece.state == State::running) {
      piece.progress = progress(key, piece, now);
    }
  }
}

void Worker::go_on(double now) {
  if (over_ || !std::exchange(hangs_, false)) return;
  moved_at_ = now;
  in_flight_ = false;
  for (auto& [key, piece] : pieces_) {
    if (piece.state == State::running && !is_gang(key)) piece.since = now;
  }
}

void Worker::be(double speed, bool faulty) {
  machine_.speed = speed;
  machine_.faulty = faulty;
}

void Worker::end(double now) {
  if (over_) return;
  for (auto& [key, piece] : pieces_) {
    if (piece.state != State::exited && is_gang(key)) field_.vanish(key.first, key.second, now);
  }
  pieces_.clear();
  over_ = true;
}

std::vector<std::pair<Field::TaskId, std::uint64_t>> Worker::holds() const {
  std::vector<Key> found;
  for (const auto& [key, piece] : pieces_) {
    if (piece.state != State::exited && piece.state != State::fetching) found.push_back(key);
  }
  return found;
}

}  // namespace reachramp::lab
