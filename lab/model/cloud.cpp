#include "model/cloud.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

#include "model/query.h"

namespace reachramp::lab {

using wire::Json;
using wire::Request;
using wire::Response;

namespace {

// PROTOCOL sets these values.
constexpr std::uint64_t kMaxMachinesPerRent = 50;
constexpr std::uint64_t kMaxMachinesPerListPage = 500;
// The number of requests that the rate limit allows at once, in seconds of its rate.
constexpr double kRequestBurst_s = 2;
// Boot times vary between these multiples of the type's nominal one.
constexpr double kMinBootFactor = 0.6, kMaxBootFactor = 1.5;
// Spot prices move by this share around the catalog's price, up and down.
constexpr double kSpotPriceAmplitude = 1.0 / 3;
// A machine that is returned is charged for at least this long.
constexpr double kMinCharge_s = 60;
// Lists show a crashed machine as running for this long after the crash.
constexpr double kCrashListedAfter_s = 30;
// A reclaim notice varies by this share: 0.5 to 1.5 times the nominal one.
constexpr double kNoticeJitter = 0.5;

// PROTOCOL leaves these values open; they are choices of the emulator.
// Period of the sine along which spot prices move.
constexpr double kSpotPricePeriod_s = 900;
// Share of lists that lag by more than the nominal list_lag_s, up to twice as much.
constexpr double kStaleListShare = 0.2;
constexpr double kInfinity_s = std::numeric_limits<double>::infinity();

}  // namespace

Cloud::Cloud(CloudSpec spec, std::uint64_t seed)
    : spec_(std::move(spec)),
      request_bucket_(spec_.limits.rps, spec_.limits.rps * kRequestBurst_s),
      random_(seed),
      price_phase_(random_between(0, 2 * std::numbers::pi)) {}

double Cloud::random_between(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

Response Cloud::handle_request(const Request& request, double now) {
  if (in_outage_) return {503, {{"error", "trouble"}}};
  if (request_bucket_.take(1, now) > 0) return {429, {{"error", "too many requests"}}};
  try {
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (get && request.path == "/catalog") {
      cloud::Catalog catalog = spec_.catalog;
      for (auto& type : catalog) type.spot_price_per_hour = spot_price(type, now);
      return {200, cloud::encode_catalog(catalog)};
    }
    if (post && request.path == "/hosts")
      return handle_rent_request(wire::decode_map(request.body), now);
    if (post && request.path == "/hosts/return") {
      return handle_return_request(wire::decode_map(request.body), now);
    }
    if (get && request.path == "/hosts") return handle_list_request(request, now);
  } catch (const wire::BadMessage& bad) {
    return {400, {{"error", bad.what()}}};
  }
  return {400, {{"error", "no such request"}}};
}

double Cloud::spot_price(const cloud::MachineType& type, double now) const {
  // Each type's price is shifted in phase, so that some rise while others fall.
  const auto entry = std::find_if(spec_.catalog.begin(), spec_.catalog.end(),
                                  [&](const auto& other) { return other.name == type.name; });
  const double shift = static_cast<double>(entry - spec_.catalog.begin());
  return type.spot_price_per_hour *
         (1 + kSpotPriceAmplitude *
                  std::sin(price_phase_ + shift + 2 * std::numbers::pi * now / kSpotPricePeriod_s));
}

const cloud::MachineType* Cloud::find_type(const std::string& name) const {
  const auto at = std::find_if(spec_.catalog.begin(), spec_.catalog.end(),
                               [&](const auto& type) { return type.name == name; });
  return at == spec_.catalog.end() ? nullptr : &*at;
}

int Cloud::rented_count(const PoolKey& pool, double now) const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const Machine& machine = entry.second;
    return PoolKey{machine.type, machine.zone, machine.spot} == pool &&
           std::min(machine.terminated_at, machine.crashed_at) > now;
  }));
}

Response Cloud::handle_rent_request(const Json& body, double now) {
  const std::string name = wire::text(body, "hire");
  const auto known = granted_requests_.find(name);
  if (known != granted_requests_.end()) return {200, {{"hosts", known->second}}};
  const PoolKey pool{wire::text(body, "rig"), wire::text(body, "hall"), wire::flag(body, "loaner")};
  const std::uint64_t wanted = wire::count(body, "how_many");
  const auto* type = find_type(std::get<0>(pool));
  if (wanted < 1 || wanted > kMaxMachinesPerRent || type == nullptr ||
      std::find(type->zones.begin(), type->zones.end(), std::get<1>(pool)) == type->zones.end()) {
    return {400, {{"error", "no such machines"}}};
  }
  const auto capacity = spec_.capacity.find(pool);
  const int available =
      capacity == spec_.capacity.end() ? 0 : capacity->second - rented_count(pool, now);
  // A refusal is not recorded, so the same request may succeed later.
  if (available <= 0) return {503, {{"error", "no capacity"}}};
  std::vector<std::string> names;
  for (int i = 0; i < std::min(available, static_cast<int>(wanted)); ++i) {
    names.push_back(create_machine(*type, pool, now).name);
  }
  granted_requests_[name] = names;
  return {200, {{"hosts", std::move(names)}}};
}

Cloud::Machine& Cloud::create_machine(const cloud::MachineType& type, const PoolKey& pool,
                                      double now) {
  const std::string digits = std::to_string(machines_.size() + 1);
  Machine machine;
  machine.name = "n-" + std::string(digits.size() < 6 ? 6 - digits.size() : 0, '0') + digits;
  if (spec_.worker_address) machine.address = spec_.worker_address(machine.name);
  std::tie(machine.type, machine.zone, machine.spot) = pool;
  machine.rented_at = now;
  double boot = type.boot_s * random_between(kMinBootFactor, kMaxBootFactor);
  if (random_chance(spec_.slow_boot_share)) boot *= spec_.slow_boot_factor;
  machine.up_at = random_chance(spec_.failed_boot_share) ? kInfinity_s : now + boot;
  machine.reclaimed_at = machine.crashed_at = machine.terminated_at = kInfinity_s;
  if (machine.spot && spec_.spot_reclaims_per_hour > 0) {
    machine.reclaimed_at =
        now + std::exponential_distribution<double>(spec_.spot_reclaims_per_hour / 3600)(random_);
    machine.notice_settled =
        random_chance(spec_.unannounced_reclaim_share);  // counts as sent, so that none is sent
  }
  return machines_[machine.name] = machine;
}

Response Cloud::handle_return_request(const Json& body, double now) {
  const Json& names = wire::list(body, "hosts");
  if (names.size() > cloud::kMaxMachinesPerReturn) return {400, {{"error", "hosts: too many"}}};
  for (const Json& name : names) {
    if (!name.is_string()) return {400, {{"error", "hosts: not text"}}};
  }
  for (const Json& name : names) {
    const auto at = machines_.find(name.get<std::string>());
    if (at != machines_.end()) at->second.terminated_at = std::min(at->second.terminated_at, now);
  }
  return {200, Json::object()};
}

Response Cloud::handle_list_request(const Request& request, double now) {
  const std::string after = query_parameter(request.query, "after");
  const std::uint64_t max_machines = std::min(
      parse_count_or(query_parameter(request.query, "limit"), "limit", kMaxMachinesPerListPage),
      kMaxMachinesPerListPage);
  const double lag =
      spec_.limits.list_lag_s *
      (random_chance(kStaleListShare) ? random_between(1, 2) : random_between(0.5, 1));
  const double as_of = now - lag;
  Json hosts = Json::array();
  bool truncated = false;
  for (auto at = machines_.upper_bound(after); at != machines_.end(); ++at) {
    Machine& machine = at->second;
    // Lists may lag and go back in time, but a machine that was listed once stays listed until it
    // is returned or reclaimed.
    if ((machine.rented_at > as_of && !machine.was_listed) || machine.terminated_at <= as_of)
      continue;
    if (hosts.size() == max_machines) {
      truncated = true;
      break;
    }
    machine.was_listed = true;
    const char* phase = machine.crashed_at + kCrashListedAfter_s <= as_of ? "failed"
                        : machine.up_at <= as_of                          ? "running"
                                                                          : "starting";
    hosts.push_back({{"ref", machine.name},
                     {"address", machine.address.empty() ? Json() : Json(machine.address)},
                     {"rig", machine.type},
                     {"hall", machine.zone},
                     {"loaner", machine.spot},
                     {"phase", phase},
                     {"held_s", std::max(0.0, as_of - machine.rented_at)}});
  }
  return {200, {{"hosts", std::move(hosts)}, {"truncated", truncated}}};
}

void Cloud::crash_machine(const std::string& name, double now) {
  Machine& machine = machines_.at(name);
  machine.crashed_at = std::min(machine.crashed_at, now);
}

void Cloud::reclaim_machine(const std::string& name, double notice_s, double now) {
  Machine& machine = machines_.at(name);
  machine.reclaimed_at = std::min(machine.reclaimed_at, now + notice_s);
  machine.notice_settled = notice_s <= 0;
}

std::vector<Cloud::Event> Cloud::advance(double now) {
  std::vector<Event> events;
  for (auto& [name, machine] : machines_) {
    if (machine.gone_reported) continue;
    const double notice_at = machine.reclaimed_at - spec_.nominal_notice_s;
    if (!machine.notice_settled && notice_at <= now) {
      machine.notice_settled = true;
      const double left = std::max(machine.reclaimed_at - now, 0.0) *
                          random_between(1 - kNoticeJitter, 1 + kNoticeJitter);
      machine.reclaimed_at = now + left;
      if (machine.up_reported) events.push_back({EventKind::reclaim_notice, name, now, left});
    }
    if (machine.reclaimed_at <= now)
      machine.terminated_at = std::min(machine.terminated_at, machine.reclaimed_at);
    const double end = std::min(machine.terminated_at, machine.crashed_at);
    if (!machine.up_reported && machine.up_at <= now && machine.up_at < end) {
      machine.up_reported = true;
      events.push_back({EventKind::up, name, machine.up_at, 0});
    }
    if (end > now) continue;
    machine.gone_reported = true;
    if (machine.up_reported) events.push_back({EventKind::gone, name, end, 0});
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  return events;
}

double Cloud::next_event_at() const {
  double due = kInfinity_s;
  for (const auto& [name, machine] : machines_) {
    if (machine.gone_reported) continue;
    if (!machine.up_reported) due = std::min(due, machine.up_at);
    due = std::min({due, machine.terminated_at, machine.crashed_at, machine.reclaimed_at});
    if (!machine.notice_settled) due = std::min(due, machine.reclaimed_at - spec_.nominal_notice_s);
  }
  return due;
}

double Cloud::cost_of(const Machine& machine, double now) const {
  const auto* type = find_type(machine.type);
  const double end = std::min({machine.terminated_at, machine.crashed_at, now});
  double seconds = std::max(0.0, end - machine.rented_at);
  if (machine.terminated_at <= now) seconds = std::max(seconds, kMinCharge_s);
  if (!machine.spot) return seconds * type->price_per_hour / 3600;
  // A spot machine is charged the price of each moment. The mean of samples approximates this.
  constexpr int kSteps = 16;
  double mean = 0;
  for (int i = 0; i < kSteps; ++i) {
    mean += spot_price(*type, machine.rented_at + seconds * (i + 0.5) / kSteps) / kSteps;
  }
  return seconds * mean / 3600;
}

double Cloud::total_cost(double now) const {
  double money = 0;
  for (const auto& [name, machine] : machines_) money += cost_of(machine, now);
  return money;
}

}  // namespace reachramp::lab
