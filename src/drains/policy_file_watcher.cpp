#include "drains/policy_file_watcher.h"

#include <spdlog/spdlog.h>
#include <sys/stat.h>

#include <thread>
#include <utility>

#include "kv/steady_clock.h"

namespace reachramp::drains {

namespace {

using kv::Outcome;

constexpr double kLookEvery_s = 1;
constexpr int kCheckEvery = 30;  // looks; the record may have gone with a step back of the levels

}  // namespace

std::atomic<bool> PolicyFileWatcher::hurried_{false};

PolicyFileWatcher::PolicyFileWatcher(kv::Client& state, schema::SchemaVersionTracker& book,
                                     const settings::Platform& platform, std::string path)
    : state_(state), book_(book), platform_(platform), path_(std::move(path)) {}

void PolicyFileWatcher::say(const std::string& what, bool wrong) {
  if (what == said_) return;
  said_ = what;
  if (wrong) {
    spdlog::error("drains: {}", what);
  } else {
    spdlog::info("drains: {}", what);
  }
}

bool PolicyFileWatcher::is_new() {
  struct stat found {};
  const bool there = ::stat(path_.c_str(), &found) == 0;
  const std::pair<std::int64_t, std::int64_t> now{
      there ? found.st_mtim.tv_sec * 1'000'000'000LL + found.st_mtim.tv_nsec : 0,
      there ? found.st_size : 0};
  return std::exchange(seen_, now) != now;
}

// A file that is wrong is refused whole; what was read before goes on.
void PolicyFileWatcher::read() {
  try {
    const settings::Policy policy = settings::load_policy(path_);
    if (policy.drains) {
      const Rules rules = read_rules(*policy.drains, platform_, path_);
      text_ = settings::to_text(*policy.drains);
      serial_ = rules.serial;
    } else {
      serial_ = 0;
    }
  } catch (const std::exception& error) {
    say(std::string(error.what()) + ": the file is refused", true);
  }
}

bool PolicyFileWatcher::submit() {
  const std::optional<schema::SchemaView> view = book_.view();
  if (!view) return false;
  if (!schema::has(view->stored, schema::kDrains)) {
    say(fmt::format("serial {} waits for level {}", serial_, schema::kDrains), false);
    return false;
  }
  const kv::ReadResult found = state_.get(kRulesKey);
  if (found.outcome != Outcome::ok && found.outcome != Outcome::absent) return false;
  std::optional<Accepted> stored;
  try {
    if (found.outcome == Outcome::ok) stored = decode_accepted(found.entry.value);
  } catch (const std::exception& error) {
    say(fmt::format("record {}: {}: left alone", kRulesKey, error.what()), true);
    return true;
  }
  const std::uint64_t revision = stored ? found.entry.revision : 0;
  const auto next = accept(stored, revision, serial_, text_);
  if (!next) {
    if (stored->serial > serial_) {
      say(fmt::format("serial {} of this file is older than {}, which is in force", serial_,
                      stored->serial),
          true);
    } else if (stored->text != text_) {
      say(fmt::format("serial {} is in force with another content: give this one a new number",
                      serial_),
          true);
    }
    return true;
  }
  const kv::Json value = encode_accepted(*next);
  if (!kv::fits(value, platform_.lasting().value_kb)) {
    say(fmt::format("serial {} is longer than a value may be: refused", serial_), true);
    return true;
  }
  kv::Transaction transaction;
  transaction.preconditions = {{kRulesKey, revision}, {schema::kLevelKey, view->revision}};
  transaction.writes.push_back({kRulesKey, value, std::nullopt});
  if (state_.commit(transaction).outcome != Outcome::ok) {
    book_.read_revision();  // the level may have changed behind our back
    return false;
  }
  say(fmt::format("serial {} is accepted", serial_), false);
  return true;
}

void PolicyFileWatcher::run() {
  bool settled = false;
  for (int turn = 0;; ++turn) {
    const bool hurried = hurried_.exchange(false);
    if (is_new() || hurried) {
      said_.clear();
      read();
      settled = false;
    }
    if (serial_ > 0 && (!settled || turn % kCheckEvery == 0)) settled = submit();
    std::this_thread::sleep_for(std::chrono::duration<double>(kLookEvery_s));
  }
}

}  // namespace reachramp::drains
