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

// All from PROTOCOL.
constexpr std::uint64_t kMostPerHire = 50;
constexpr std::uint64_t kMostPerList = 500;
constexpr double kBurst_s = 2;
constexpr double kQuickBoot = 0.6, kLongBoot = 1.5;
constexpr double kPriceMoves = 1.0 / 3;
constexpr double kLeastCharge_s = 60;
constexpr double kDeathShowsAfter_s = 30;
constexpr double kNoticeSpread = 0.5;  // half as long to half as long again
// Ours: how fast prices swing, and how often a list is older than its lag.
constexpr double kPricePeriod_s = 900;
constexpr double kOldLists = 0.2;
constexpr double kForever = std::numeric_limits<double>::infinity();

}  // namespace

Cloud::Cloud(CloudSpec spec, std::uint64_t seed)
    : spec_(std::move(spec)),
      requests_(spec_.limits.rps, spec_.limits.rps * kBurst_s),
      random_(seed),
      phase_(between(0, 2 * std::numbers::pi)) {}

double Cloud::between(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

Response Cloud::ask(const Request& request, double now) {
  if (stopped_) return {503, {{"error", "trouble"}}};
  if (requests_.take(1, now) > 0) return {429, {{"error", "too many requests"}}};
  try {
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (get && request.path == "/catalog") {
      cloud::Catalog catalog = spec_.catalog;
      for (auto& type : catalog) type.spot_price_per_hour = spot_price(type, now);
      return {200, cloud::encode_catalog(catalog)};
    }
    if (post && request.path == "/hosts") return hire(wire::decode_map(request.body), now);
    if (post && request.path == "/hosts/return") {
      return give_back(wire::decode_map(request.body), now);
    }
    if (get && request.path == "/hosts") return list(request, now);
  } catch (const wire::BadMessage& bad) {
    return {400, {{"error", bad.what()}}};
  }
  return {400, {{"error", "no such request"}}};
}

double Cloud::spot_price(const cloud::MachineType& type, double now) const {
  // Types move one after another, so that some rise while others fall.
  const auto place = std::find_if(spec_.catalog.begin(), spec_.catalog.end(),
                                  [&](const auto& other) { return other.name == type.name; });
  const double shift = static_cast<double>(place - spec_.catalog.begin());
  return type.spot_price_per_hour *
         (1 + kPriceMoves * std::sin(phase_ + shift + 2 * std::numbers::pi * now / kPricePeriod_s));
}

const cloud::MachineType* Cloud::type_of(const std::string& name) const {
  const auto at = std::find_if(spec_.catalog.begin(), spec_.catalog.end(),
                               [&](const auto& type) { return type.name == name; });
  return at == spec_.catalog.end() ? nullptr : &*at;
}

int Cloud::rented(const PoolName& pool, double now) const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const Machine& machine = entry.second;
    return PoolName{machine.type, machine.zone, machine.spot} == pool &&
           std::min(machine.gone_at, machine.died_at) > now;
  }));
}

Response Cloud::hire(const Json& body, double now) {
  const std::string name = wire::text(body, "hire");
  const auto known = hires_.find(name);
  if (known != hires_.end()) return {200, {{"hosts", known->second}}};
  const PoolName pool{wire::text(body, "rig"), wire::text(body, "hall"),
                      wire::flag(body, "loaner")};
  const std::uint64_t wanted = wire::count(body, "how_many");
  const auto* type = type_of(std::get<0>(pool));
  if (wanted < 1 || wanted > kMostPerHire || type == nullptr ||
      std::find(type->zones.begin(), type->zones.end(), std::get<1>(pool)) == type->zones.end()) {
    return {400, {{"error", "no such machines"}}};
  }
  const auto capacity = spec_.capacity.find(pool);
  const int room = capacity == spec_.capacity.end() ? 0 : capacity->second - rented(pool, now);
  // Not remembered: the same request can be sent again.
  if (room <= 0) return {503, {{"error", "no capacity"}}};
  std::vector<std::string> names;
  for (int i = 0; i < std::min(room, static_cast<int>(wanted)); ++i) {
    names.push_back(rent(*type, pool, now).name);
  }
  hires_[name] = names;
  return {200, {{"hosts", std::move(names)}}};
}

Cloud::Machine& Cloud::rent(const cloud::MachineType& type, const PoolName& pool, double now) {
  const std::string digits = std::to_string(machines_.size() + 1);
  Machine machine;
  machine.name = "n-" + std::string(digits.size() < 6 ? 6 - digits.size() : 0, '0') + digits;
  if (spec_.address) machine.address = spec_.address(machine.name);
  std::tie(machine.type, machine.zone, machine.spot) = pool;
  machine.rented_at = now;
  double boot = type.boot_s * between(kQuickBoot, kLongBoot);
  if (chance(spec_.slow_boots)) boot *= spec_.slow_boot_times;
  machine.up_at = chance(spec_.never_boots) ? kForever : now + boot;
  machine.taken_at = machine.died_at = machine.gone_at = kForever;
  if (machine.spot && spec_.spot_per_hour > 0) {
    machine.taken_at =
        now + std::exponential_distribution<double>(spec_.spot_per_hour / 3600)(random_);
    machine.noticed = chance(spec_.silent);  // as good as told: none will come
  }
  return machines_[machine.name] = machine;
}

Response Cloud::give_back(const Json& body, double now) {
  const Json& names = wire::list(body, "hosts");
  if (names.size() > cloud::kMaxMachinesPerReturn) return {400, {{"error", "hosts: too many"}}};
  for (const Json& name : names) {
    if (!name.is_string()) return {400, {{"error", "hosts: not text"}}};
  }
  for (const Json& name : names) {
    const auto at = machines_.find(name.get<std::string>());
    if (at != machines_.end()) at->second.gone_at = std::min(at->second.gone_at, now);
  }
  return {200, Json::object()};
}

Response Cloud::list(const Request& request, double now) {
  const std::string after = parameter(request.query, "after");
  const std::uint64_t most =
      std::min(number_or(parameter(request.query, "limit"), "limit", kMostPerList), kMostPerList);
  const double lag =
      spec_.limits.list_lag_s * (chance(kOldLists) ? between(1, 2) : between(0.5, 1));
  const double as_of = now - lag;
  Json hosts = Json::array();
  bool truncated = false;
  for (auto at = machines_.upper_bound(after); at != machines_.end(); ++at) {
    Machine& machine = at->second;
    // Once listed, a machine stays listed until it is gone.
    if ((machine.rented_at > as_of && !machine.listed) || machine.gone_at <= as_of) continue;
    if (hosts.size() == most) {
      truncated = true;
      break;
    }
    machine.listed = true;
    const char* phase = machine.died_at + kDeathShowsAfter_s <= as_of ? "failed"
                        : machine.up_at <= as_of                      ? "running"
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

void Cloud::kill(const std::string& name, double now) {
  Machine& machine = machines_.at(name);
  machine.died_at = std::min(machine.died_at, now);
}

void Cloud::take_back(const std::string& name, double notice_s, double now) {
  Machine& machine = machines_.at(name);
  machine.taken_at = std::min(machine.taken_at, now + notice_s);
  machine.noticed = notice_s <= 0;
}

std::vector<Cloud::Event> Cloud::pass(double now) {
  std::vector<Event> events;
  for (auto& [name, machine] : machines_) {
    if (machine.told_gone) continue;
    const double warn_at = machine.taken_at - spec_.notice_s;
    if (!machine.noticed && warn_at <= now) {
      machine.noticed = true;
      const double left =
          std::max(machine.taken_at - now, 0.0) * between(1 - kNoticeSpread, 1 + kNoticeSpread);
      machine.taken_at = now + left;
      if (machine.told_up) events.push_back({What::notice, name, now, left});
    }
    if (machine.taken_at <= now) machine.gone_at = std::min(machine.gone_at, machine.taken_at);
    const double end = std::min(machine.gone_at, machine.died_at);
    if (!machine.told_up && machine.up_at <= now && machine.up_at < end) {
      machine.told_up = true;
      events.push_back({What::up, name, machine.up_at, 0});
    }
    if (end > now) continue;
    machine.told_gone = true;
    if (machine.told_up) events.push_back({What::gone, name, end, 0});
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  return events;
}

double Cloud::due() const {
  double due = kForever;
  for (const auto& [name, machine] : machines_) {
    if (machine.told_gone) continue;
    if (!machine.told_up) due = std::min(due, machine.up_at);
    due = std::min({due, machine.gone_at, machine.died_at, machine.taken_at});
    if (!machine.noticed) due = std::min(due, machine.taken_at - spec_.notice_s);
  }
  return due;
}

double Cloud::charge(const Machine& machine, double now) const {
  const auto* type = type_of(machine.type);
  const double end = std::min({machine.gone_at, machine.died_at, now});
  double seconds = std::max(0.0, end - machine.rented_at);
  if (machine.gone_at <= now) seconds = std::max(seconds, kLeastCharge_s);
  if (!machine.spot) return seconds * type->price_per_hour / 3600;
  // Spot machines are charged the current price all along: its mean over the time.
  constexpr int kSteps = 16;
  double mean = 0;
  for (int i = 0; i < kSteps; ++i) {
    mean += spot_price(*type, machine.rented_at + seconds * (i + 0.5) / kSteps) / kSteps;
  }
  return seconds * mean / 3600;
}

double Cloud::spent(double now) const {
  double money = 0;
  for (const auto& [name, machine] : machines_) money += charge(machine, now);
  return money;
}

}  // namespace reachramp::lab
