#include "controller/cloud_worker.h"

#include <chrono>
#include <thread>

#include "kv/steady_clock.h"

namespace reachramp::controller {

namespace {

using kv::steady_now;

constexpr double kCatalogInterval_s = 10;
constexpr double kCatalogRetryDelay_s = 2;
constexpr double kMachineListInterval_s = 2;
constexpr double kCloudRetryDelay_s = 0.3;

}  // namespace

CloudWorker::CloudWorker(const settings::Platform& platform, leadership::LeaderElection& election,
                         CatalogCache& catalog, EventQueue& events)
    : election_(election),
      catalog_(catalog),
      events_(events),
      cloud_(platform.cloud_address),
      rate_limit_(platform.cloud_limits.rps * 0.8, platform.cloud_limits.rps) {}

void CloudWorker::run() {
  for (;;) {
    take_requests();
    // The token is read after the wait, so that requests which a new leader has just made are not
    // dropped as those of an earlier one.
    const std::uint64_t fencing_token = election_.status().fencing_token;
    std::erase_if(waiting_, [&](const QueuedCloudRequest& request) {
      return request.fencing_token != fencing_token;
    });
    if (fencing_token == 0) {
      run_as_follower();
      continue;
    }
    refresh_catalog(fencing_token);
    send_next_request(fencing_token);
    refresh_machines(fencing_token);
  }
}

void CloudWorker::take_requests() {
  for (QueuedCloudRequest& request :
       requests_.take(std::chrono::duration<double>(waiting_.empty() ? 0.5 : 0.05))) {
    waiting_.push_back(std::move(request));
  }
}

// Nodes that are not the leader need the machine types too, to reject jobs that can never run. They
// read them from the key-value store, and from the cloud only while no leader has stored them.
void CloudWorker::run_as_follower() {
  machines_listed_at_ = catalog_read_at_ = std::nullopt;
  if (catalog_.get()) return;
  wait_for_rate_limit();
  if (const auto read = cloud_.catalog()) catalog_.set(*read);
}

void CloudWorker::refresh_catalog(std::uint64_t fencing_token) {
  const double now = steady_now();
  if (catalog_read_at_ && now - *catalog_read_at_ <= kCatalogInterval_s) return;
  wait_for_rate_limit();
  catalog_read_at_ = now;
  if (const auto read = cloud_.catalog()) {
    catalog_.set(*read);
    events_.push({fencing_token, CatalogRead{*read}});
  } else {
    catalog_read_at_ = now - kCatalogInterval_s + kCatalogRetryDelay_s;
  }
}

void CloudWorker::send_next_request(std::uint64_t fencing_token) {
  // If this process was suspended, another node may be the leader. Machines are not rented or
  // returned on outdated information, except for the sake of a cancellation.
  if (!has_urgent_request(waiting_) &&
      (waiting_.empty() || !election_.is_leadership_certain(fencing_token))) {
    return;
  }
  const QueuedCloudRequest next = take_next_request(waiting_);
  wait_for_rate_limit();
  if (next.request.kind == CloudRequest::Kind::scale_out) {
    const cloud::ScaleOutResult result = cloud_.scale_out(next.request.scale_out);
    if (result.outcome == cloud::CloudOutcome::retry_later) {
      retry_later(next);
    } else {
      events_.push({fencing_token, ScaleOutCompleted{next.request.scale_out, result}});
    }
  } else if (cloud_.scale_in(next.request.scale_in_machines)) {
    events_.push({fencing_token, ScaleInCompleted{next.request.scale_in_machines}});
  } else {
    retry_later(next);
  }
}

void CloudWorker::retry_later(const QueuedCloudRequest& request) {
  waiting_.push_back(request);
  std::this_thread::sleep_for(kv::jittered(kCloudRetryDelay_s));
}

void CloudWorker::refresh_machines(std::uint64_t fencing_token) {
  const double now = steady_now();
  if (machines_listed_at_ && now - *machines_listed_at_ <= kMachineListInterval_s) return;
  machines_listed_at_ = now;
  list_machines(fencing_token);
}

void CloudWorker::list_machines(std::uint64_t fencing_token) {
  const double requested_at = steady_now();
  std::vector<cloud::ListedMachine> machines;
  for (;;) {
    wait_for_rate_limit();
    cloud::ListPage page = cloud_.list_machines(machines.empty() ? "" : machines.back().name);
    if (page.outcome != cloud::CloudOutcome::ok) return;
    const bool more = page.has_more && !page.machines.empty();
    for (auto& machine : page.machines) machines.push_back(std::move(machine));
    if (!more) break;
  }
  events_.push({fencing_token, MachinesListed{std::move(machines), requested_at}});
}

void CloudWorker::wait_for_rate_limit() {
  double wait;
  while ((wait = rate_limit_.take(1, steady_now())) > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(wait));
  }
}

}  // namespace reachramp::controller
