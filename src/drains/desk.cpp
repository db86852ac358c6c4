#include "drains/desk.h"

#include <spdlog/spdlog.h>
#include <sys/stat.h>

#include <thread>
#include <utility>

#include "state/clock.h"

namespace reachramp::drains {

namespace {

using state::Outcome;

constexpr double kLookEvery_s = 1;
constexpr int kCheckEvery = 30;  // looks; the record may have gone with a step back of the levels

}  // namespace

std::atomic<bool> Desk::hurried_{false};

Desk::Desk(state::Client& state, levels::Book& book, const settings::Platform& platform,
           std::string path)
    : state_(state), book_(book), platform_(platform), path_(std::move(path)) {}

void Desk::say(const std::string& what, bool wrong) {
  if (what == said_) return;
  said_ = what;
  if (wrong) {
    spdlog::error("drains: {}", what);
  } else {
    spdlog::info("drains: {}", what);
  }
}

bool Desk::is_new() {
  struct stat found {};
  const bool there = ::stat(path_.c_str(), &found) == 0;
  const std::pair<std::int64_t, std::int64_t> now{
      there ? found.st_mtim.tv_sec * 1'000'000'000LL + found.st_mtim.tv_nsec : 0,
      there ? found.st_size : 0};
  return std::exchange(seen_, now) != now;
}

// A file that is wrong is refused whole; what was read before goes on.
void Desk::read() {
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

bool Desk::submit() {
  const std::optional<levels::View> view = book_.view();
  if (!view) return false;
  if (!levels::has(view->stored, levels::kDrains)) {
    say(fmt::format("serial {} waits for level {}", serial_, levels::kDrains), false);
    return false;
  }
  const state::Found found = state_.get(kRulesKey);
  if (found.outcome != Outcome::ok && found.outcome != Outcome::absent) return false;
  std::optional<Accepted> stored;
  try {
    if (found.outcome == Outcome::ok) stored = decode_accepted(found.entry.value);
  } catch (const std::exception& error) {
    say(fmt::format("record {}: {}: left alone", kRulesKey, error.what()), true);
    return true;
  }
  const std::uint64_t stamp = stored ? found.entry.stamp : 0;
  const auto next = accept(stored, stamp, serial_, text_);
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
  const state::Json value = encode_accepted(*next);
  if (!state::fits(value, platform_.lasting().value_kb)) {
    say(fmt::format("serial {} is longer than a value may be: refused", serial_), true);
    return true;
  }
  state::Transaction transaction;
  transaction.conditions = {{kRulesKey, stamp}, {levels::kLevelKey, view->stamp}};
  transaction.writes.push_back({kRulesKey, value, std::nullopt});
  if (state_.commit(transaction).outcome != Outcome::ok) {
    book_.look();  // the level may have changed behind our back
    return false;
  }
  say(fmt::format("serial {} is accepted", serial_), false);
  return true;
}

void Desk::run() {
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
