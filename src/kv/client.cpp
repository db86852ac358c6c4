#include "kv/client.h"

#include <algorithm>
#include <thread>

#include "kv/steady_clock.h"

namespace reachramp::kv {

namespace {

using namespace std::chrono_literals;

constexpr auto kStoreTimeout = 1500ms;
// Bounds the memory that a response takes here: the store limits a page to 512 KiB, but does not
// limit the response to a watch.
constexpr std::size_t kMaxStoreResponse_bytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxIdleConnections = 8;

// A caller that would have to wait longer for our own rate limit gets `refused` at once, so that it
// can decide anew.
constexpr double kMaxRateWait_s = 0.5;
// Of a request that the store throttles. Waits for this client's own rate limit count as well.
constexpr int kMaxRetries = 4;
constexpr double kFirstRetry_s = 0.04;  // doubles with each attempt
// Stands for the time of the last response if there was none: longer ago than any limit.
constexpr double kNeverServedAt_s = -1e9;

constexpr int kThrottled = 429;
constexpr int kOutage = 503;

}  // namespace

Client::Client(const wire::Address& address, double rps)
    : http_(address, kMaxIdleConnections, kMaxStoreResponse_bytes), bucket_(rps, rps) {}

wire::CallResult Client::call(const char* method, const std::string& target, const Json* body,
                              std::chrono::milliseconds timeout, int* throttle_count) {
  for (int attempt = 0;; ++attempt) {
    double wait = 0;
    {
      std::lock_guard lock(mutex_);
      wait = bucket_.take(1, steady_now());
    }
    if (wait > kMaxRateWait_s) return {};
    if (wait > 0) {
      std::this_thread::sleep_for(std::chrono::duration<double>(wait));
      continue;
    }
    wire::CallResult response = http_.call(method, target, body, timeout);
    if (response.received_response) record_response(response);
    if (response.status == kThrottled && throttle_count != nullptr) ++*throttle_count;
    if (response.status != kThrottled || attempt >= kMaxRetries) return response;
    std::this_thread::sleep_for(jittered(kFirstRetry_s * (1 << attempt)));
  }
}

void Client::record_response(const wire::CallResult& response) {
  const std::optional<std::uint64_t> store_revision = decode_store_revision(response);
  const double now = steady_now();
  std::lock_guard lock(mutex_);
  if (response.status != kOutage) {
    refused_since_.reset();
    last_served_at_ = now;
  } else if (!refused_since_) {
    refused_since_ = now;
  }
  if (store_revision) revision_clock_.observe(*store_revision, now);
}

RevisionClock Client::revision_clock() const {
  std::lock_guard lock(mutex_);
  return revision_clock_;
}

double Client::refused_duration_s(double now) const {
  std::lock_guard lock(mutex_);
  return refused_since_ ? std::max(now - *refused_since_, 1e-3) : 0;
}

double Client::seconds_since_served(double now) const {
  std::lock_guard lock(mutex_);
  return now - last_served_at_.value_or(kNeverServedAt_s);
}

ReadResult Client::get(const std::string& key) {
  return decode_read_result(call("GET", encode_key_target(key), nullptr, kStoreTimeout));
}

ListResult Client::list(const std::string& prefix, const std::string& after) {
  return decode_list_result(
      call("GET", encode_list_target(prefix, after), nullptr, 2 * kStoreTimeout));
}

CommitResult Client::commit(const Transaction& transaction) {
  const Json body = encode_transaction(transaction);
  int throttle_count = 0;
  CommitResult committed =
      decode_commit_result(call("POST", kTransactionTarget, &body, kStoreTimeout, &throttle_count));
  committed.throttle_count = throttle_count;
  return committed;
}

LeaseGrant Client::grant_lease(std::chrono::milliseconds lifetime) {
  const Json body = encode_lease_request(lifetime);
  return decode_lease_grant(call("POST", kLeasesTarget, &body, kStoreTimeout));
}

Outcome Client::renew_lease(std::uint64_t lease_id) {
  const Json body = Json::object();
  return decode_outcome(call("POST", encode_lease_renewal_target(lease_id), &body, kStoreTimeout));
}

void Client::revoke_lease(std::uint64_t lease_id) {
  call("DELETE", encode_lease_target(lease_id), nullptr, kStoreTimeout);
}

WatchResult Client::watch(const std::string& prefix, std::uint64_t after,
                          std::chrono::milliseconds max_wait) {
  return decode_watch_result(
      call("GET", encode_watch_target(prefix, after, max_wait), nullptr, max_wait + kStoreTimeout));
}

}  // namespace reachramp::kv
