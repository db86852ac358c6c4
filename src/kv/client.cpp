#include "kv/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

#include "kv/steady_clock.h"

namespace reachramp::kv {

namespace {

using namespace std::chrono_literals;

constexpr auto kLimit = 1500ms;
constexpr std::size_t kResponseLimit = 8 * 1024 * 1024;

Outcome outcome_of(const wire::Answer& answer) {
  if (!answer.answered) return answer.sent ? Outcome::unknown : Outcome::refused;
  switch (answer.status) {
    case 200:
      return Outcome::ok;
    case 400:
      return Outcome::malformed;
    case 404:
    case 410:
      return Outcome::absent;
    case 409:
      return Outcome::conflict;
    default:
      return Outcome::refused;
  }
}

// Runs a decoder; an answer that makes no sense tells nothing about what happened.
template <class Result, class Decode>
Result sensible(const wire::Answer& answer, Decode decode) {
  Result result;
  result.outcome = outcome_of(answer);
  try {
    decode(result);
  } catch (const std::exception& error) {
    spdlog::error("state service: {}", error.what());
    result = Result{};
  }
  return result;
}

}  // namespace

bool fits(const Json& value, double value_kb, std::size_t more) {
  return static_cast<double>(wire::json_size(value) + more) <= value_kb * 1024;
}

Json encode_transaction(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const auto& [key, revision] : transaction.preconditions) {
    conditions.push_back({{"k", key}, {"stamp", revision}});
  }
  Json then = Json::array();
  for (const Write& write : transaction.writes) {
    if (!write.value) {
      then.push_back({{"remove", write.key}});
      continue;
    }
    Json put{{"write", write.key}, {"value", *write.value}};
    if (write.lease_id) put["permit"] = *write.lease_id;
    then.push_back(std::move(put));
  }
  Json body{{"if", std::move(conditions)}};
  if (!then.empty()) body["then"] = std::move(then);  // without it, it only compares
  return body;
}

CommitResult decode_committed(const wire::Answer& answer) {
  return sensible<CommitResult>(answer, [&](CommitResult& result) {
    if (result.outcome == Outcome::ok) result.store_revision = wire::count(answer.body, "epoch");
    if (result.outcome == Outcome::conflict) {
      for (const Json& key : wire::list(answer.body, "failed")) {
        result.failed_keys.push_back(key.get<std::string>());
      }
    }
    if (result.outcome == Outcome::malformed && answer.body.value("error", "") == "no such lease") {
      result.outcome = Outcome::unknown_lease;
    }
  });
}

ListResult decode_page(const wire::Answer& answer) {
  return sensible<ListResult>(answer, [&](ListResult& page) {
    if (page.outcome != Outcome::ok) return;
    page.store_revision = wire::count(answer.body, "epoch");
    const Json* more = wire::find(answer.body, "truncated");
    page.more = more != nullptr && more->get<bool>();
    for (const Json& item : wire::list(answer.body, "entries")) {
      page.entries.push_back(
          {wire::text(item, "k"), wire::need(item, "value"), wire::count(item, "stamp")});
    }
  });
}

WatchResult decode_changes(const wire::Answer& answer) {
  return sensible<WatchResult>(answer, [&](WatchResult& result) {
    if (result.outcome != Outcome::ok) return;
    result.store_revision = wire::count(answer.body, "epoch");
    for (const Json& item : wire::list(answer.body, "log")) {
      KeyChange change;
      change.revision = wire::count(item, "stamp");
      if (const auto removed = wire::maybe_text(item, "remove")) {
        change.key = *removed;
      } else {
        change.key = wire::text(item, "write");
        change.value = wire::need(item, "value");
      }
      result.changes.push_back(std::move(change));
    }
  });
}

ReadResult decode_found(const wire::Answer& answer) {
  return sensible<ReadResult>(answer, [&](ReadResult& found) {
    if (found.outcome == Outcome::ok) {
      found.entry = {wire::text(answer.body, "k"), wire::need(answer.body, "value"),
                     wire::count(answer.body, "stamp")};
      if (wire::find(answer.body, "permit") != nullptr) {
        found.entry.lease_id = wire::count(answer.body, "permit");
      }
    } else if (found.outcome == Outcome::absent) {
      found.store_revision = wire::count(answer.body, "epoch");
    }
  });
}

Client::Client(const wire::Address& at, double rps)
    : http_(at, 8, kResponseLimit), bucket_(rps, rps) {}

wire::Answer Client::call(const char* method, const std::string& target, const Json* body,
                          std::chrono::milliseconds limit, int* throttled) {
  for (int attempt = 0;; ++attempt) {
    double wait = 0;
    {
      std::lock_guard lock(mutex_);
      wait = bucket_.take(1, steady_now());
    }
    if (wait > 0.5) return {};
    if (wait > 0) {
      std::this_thread::sleep_for(std::chrono::duration<double>(wait));
      continue;
    }
    wire::Answer answer = http_.call(method, target, body, limit);
    if (answer.answered) note(answer);
    if (answer.status == 429 && throttled != nullptr) ++*throttled;
    if (answer.status != 429 || attempt >= 4) return answer;
    std::this_thread::sleep_for(jittered(0.04 * (1 << attempt)));
  }
}

void Client::note(const wire::Answer& answer) {
  const Json* store_revision = answer.body.is_object() ? wire::find(answer.body, "epoch") : nullptr;
  const double now = steady_now();
  std::lock_guard lock(mutex_);
  if (answer.status != 503) {
    refused_since_ = -1;
    served_at_ = now;
  } else if (refused_since_ < 0) {
    refused_since_ = now;
  }
  if (store_revision != nullptr && store_revision->is_number_unsigned()) {
    timeline_.observe(store_revision->get<std::uint64_t>(), now);
  }
}

RevisionClock Client::revision_clock() const {
  std::lock_guard lock(mutex_);
  return timeline_;
}

double Client::refused_duration_s(double now) const {
  std::lock_guard lock(mutex_);
  return refused_since_ < 0 ? 0 : std::max(now - refused_since_, 1e-3);
}

double Client::seconds_since_served(double now) const {
  std::lock_guard lock(mutex_);
  return now - served_at_;
}

ReadResult Client::get(const std::string& key) {
  return decode_found(call("GET", "/keys/" + key, nullptr, kLimit));
}

ListResult Client::list(const std::string& prefix, const std::string& after) {
  std::string target = "/keys?starts=" + prefix;
  if (!after.empty()) target += "&after=" + after;
  return decode_page(call("GET", target + "&limit=1000", nullptr, 2 * kLimit));
}

CommitResult Client::commit(const Transaction& transaction) {
  const Json body = encode_transaction(transaction);
  int throttled = 0;
  CommitResult committed = decode_committed(call("POST", "/multi", &body, kLimit, &throttled));
  committed.throttle_count = throttled;
  return committed;
}

LeaseGrant Client::grant_lease(std::chrono::milliseconds life) {
  const Json body{{"life_ms", life.count()}};
  const wire::Answer answer = call("POST", "/holds", &body, kLimit);
  return sensible<LeaseGrant>(answer, [&](LeaseGrant& lease_id) {
    if (lease_id.outcome == Outcome::ok) lease_id.id = wire::count(answer.body, "permit");
  });
}

Outcome Client::renew_lease(std::uint64_t lease_id) {
  const Json body = Json::object();
  return outcome_of(call("POST", "/holds/" + std::to_string(lease_id) + "/renew", &body, kLimit));
}

void Client::revoke_lease(std::uint64_t lease_id) {
  call("DELETE", "/holds/" + std::to_string(lease_id), nullptr, kLimit);
}

WatchResult Client::watch(const std::string& prefix, std::uint64_t after,
                          std::chrono::milliseconds hold) {
  return decode_changes(call("GET",
                             "/follow?starts=" + prefix + "&after=" + std::to_string(after) +
                                 "&hold_ms=" + std::to_string(hold.count()),
                             nullptr, hold + kLimit));
}

}  // namespace reachramp::kv
