#include "drains/policy_file_watcher.h"

#include <spdlog/spdlog.h>
#include <sys/stat.h>

#include <thread>
#include <utility>

#include "kv/steady_clock.h"

namespace reachramp::drains {

namespace {

using kv::Outcome;

constexpr double kFileCheckInterval_s = 1;
// Checks that a published record is still there this often, because a downgrade of the schema
// level removes it.
constexpr int kFileChecksPerRecordCheck = 30;

}  // namespace

std::atomic<bool> PolicyFileWatcher::reload_requested_{false};

PolicyFileWatcher::PolicyFileWatcher(kv::Client& store,
                                     schema::SchemaVersionTracker& version_tracker,
                                     const settings::Platform& platform, std::string path)
    : store_(store),
      version_tracker_(version_tracker),
      platform_(platform),
      path_(std::move(path)) {}

void PolicyFileWatcher::log_once(const std::string& message, bool is_error) {
  if (message == last_logged_) return;
  last_logged_ = message;
  if (is_error) {
    spdlog::error("drains: {}", message);
  } else {
    spdlog::info("drains: {}", message);
  }
}

bool PolicyFileWatcher::has_file_changed() {
  struct stat found {};
  const bool exists = ::stat(path_.c_str(), &found) == 0;
  const std::pair<std::int64_t, std::int64_t> mtime_and_size{
      exists ? found.st_mtim.tv_sec * 1'000'000'000LL + found.st_mtim.tv_nsec : 0,
      exists ? found.st_size : 0};
  return std::exchange(last_mtime_and_size_, mtime_and_size) != mtime_and_size;
}

// If the file is invalid, none of it is used and the section that was read before stays in use.
void PolicyFileWatcher::load_file() {
  try {
    const settings::Policy policy = settings::load_policy(path_);
    if (policy.drains) {
      const DrainPolicy rules = parse_drain_policy(*policy.drains, platform_, path_);
      text_ = settings::to_text(*policy.drains);
      serial_ = rules.serial;
    } else {
      serial_ = 0;
    }
  } catch (const std::exception& error) {
    log_once(std::string(error.what()) + ": the file is refused", true);
  }
}

bool PolicyFileWatcher::try_publish() {
  const std::optional<schema::SchemaView> view = version_tracker_.view();
  if (!view) return false;
  if (!schema::has_level(view->stored, schema::kDrains)) {
    log_once(fmt::format("serial {} waits for level {}", serial_, schema::kDrains), false);
    return false;
  }
  const kv::ReadResult found = store_.get(kPolicyKey);
  if (found.outcome != Outcome::ok && found.outcome != Outcome::absent) return false;
  std::optional<AcceptedPolicy> stored;
  try {
    if (found.outcome == Outcome::ok) stored = decode_accepted_policy(found.entry.value);
  } catch (const std::exception& error) {
    log_once(fmt::format("record {}: {}: left alone", kPolicyKey, error.what()), true);
    return true;
  }
  const std::uint64_t revision = stored ? found.entry.revision : 0;
  const auto next = next_accepted_policy(stored, revision, serial_, text_);
  if (!next) {
    if (stored->serial > serial_) {
      log_once(fmt::format("serial {} of this file is older than {}, which is in force", serial_,
                           stored->serial),
               true);
    } else if (stored->text != text_) {
      log_once(fmt::format("serial {} is in force with another content: give this one a new number",
                           serial_),
               true);
    }
    return true;
  }
  const kv::Json value = encode_accepted_policy(*next);
  if (!kv::fits(value, platform_.strictest_store_limits().value_kb)) {
    log_once(fmt::format("serial {} is longer than a value may be: refused", serial_), true);
    return true;
  }
  kv::Transaction transaction;
  transaction.preconditions = {{kPolicyKey, revision}, {schema::kLevelKey, view->revision}};
  transaction.writes.push_back({kPolicyKey, value, std::nullopt});
  if (store_.commit(transaction).outcome != Outcome::ok) {
    version_tracker_.read_revision();  // another process may have changed the schema level
    return false;
  }
  log_once(fmt::format("serial {} is accepted", serial_), false);
  return true;
}

void PolicyFileWatcher::run() {
  bool is_published = false;
  for (int check = 0;; ++check) {
    const bool reload_requested = reload_requested_.exchange(false);
    if (has_file_changed() || reload_requested) {
      last_logged_.clear();
      load_file();
      is_published = false;
    }
    if (serial_ > 0 && (!is_published || check % kFileChecksPerRecordCheck == 0))
      is_published = try_publish();
    std::this_thread::sleep_for(std::chrono::duration<double>(kFileCheckInterval_s));
  }
}

}  // namespace reachramp::drains
