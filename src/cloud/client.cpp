#include "cloud/client.h"

#include <spdlog/spdlog.h>

namespace reachramp::cloud {

namespace {

constexpr auto kCloudTimeout = std::chrono::milliseconds(4000);
constexpr std::size_t kMaxCloudResponse_bytes = 1024 * 1024;

}  // namespace

Catalog decode_catalog(const Json& body) {
  Catalog catalog;
  for (const Json& item : wire::list(body, "rigs")) {
    MachineType type;
    type.name = wire::text(item, "label");
    type.cpus = wire::amount(item, "vcpus");
    type.gpus = wire::optional_amount(item, "accelerators").value_or(0);
    type.ram_gb = wire::amount(item, "ram_gb");
    type.cache_gb = wire::optional_amount(item, "cache_gb").value_or(0);
    type.fetch_gb_per_s = wire::optional_amount(item, "pull_gb_per_s").value_or(1);
    type.price_per_hour = wire::amount(item, "rate");
    type.spot_price_per_hour =
        wire::optional_amount(item, "low_price").value_or(type.price_per_hour);
    type.boot_s = wire::optional_amount(item, "boot_s").value_or(60);
    for (const Json& zone : wire::list(item, "halls")) {
      if (!zone.is_string()) throw wire::BadMessage("halls: not text");
      type.zones.push_back(zone.get<std::string>());
    }
    catalog.push_back(std::move(type));
  }
  if (catalog.empty()) throw wire::BadMessage("rigs: empty");
  return catalog;
}

Json encode_catalog(const Catalog& catalog) {
  Json rigs = Json::array();
  for (const MachineType& type : catalog) {
    rigs.push_back({{"label", type.name},
                    {"vcpus", type.cpus},
                    {"accelerators", type.gpus},
                    {"ram_gb", type.ram_gb},
                    {"cache_gb", type.cache_gb},
                    {"pull_gb_per_s", type.fetch_gb_per_s},
                    {"rate", type.price_per_hour},
                    {"low_price", type.spot_price_per_hour},
                    {"boot_s", type.boot_s},
                    {"halls", type.zones}});
  }
  return {{"rigs", std::move(rigs)}};
}

Json encode_scale_out(const ScaleOutRequest& request) {
  return {{"hire", request.name},
          {"rig", request.type},
          {"hall", request.zone},
          {"loaner", request.spot},
          {"how_many", request.count}};
}

ListedMachine decode_listed_machine(const Json& body) {
  ListedMachine listed;
  listed.name = wire::text(body, "ref");
  // A machine without one that can be used is there all the same. To drop the list for it would be
  // worse: nothing would be rented and nothing given back any more.
  const Json* address = wire::find(body, "address");
  if (address != nullptr && address->is_string()) listed.address = address->get<std::string>();
  listed.type = wire::text(body, "rig");
  listed.zone = wire::text(body, "hall");
  listed.spot = wire::flag(body, "loaner");
  const std::string phase = wire::text(body, "phase");
  listed.phase = phase == "failed"    ? MachinePhase::failed
                 : phase == "running" ? MachinePhase::running
                                      : MachinePhase::starting;
  listed.rented_for_s = wire::optional_amount(body, "held_s").value_or(0);
  return listed;
}

Client::Client(const wire::Address& address) : http_(address, 1, kMaxCloudResponse_bytes) {}

std::optional<Catalog> Client::catalog() {
  const wire::CallResult answer = http_.call("GET", "/catalog", nullptr, kCloudTimeout);
  if (answer.status != 200) return std::nullopt;
  try {
    return decode_catalog(answer.body);
  } catch (const std::exception& error) {
    spdlog::error("cloud catalog: {}", error.what());
    return std::nullopt;
  }
}

ScaleOutResult Client::scale_out(const ScaleOutRequest& request) {
  const Json body = encode_scale_out(request);
  const wire::CallResult answer = http_.call("POST", "/hosts", &body, kCloudTimeout);
  ScaleOutResult result;
  try {
    if (answer.status == 200) {
      for (const Json& name : wire::list(answer.body, "hosts")) {
        result.machines.push_back(name.get<std::string>());
      }
      result.outcome = CloudOutcome::ok;
    } else if (answer.status == 503 && answer.body.value("error", "") == "no capacity") {
      result.outcome = CloudOutcome::no_capacity;
    } else if (answer.status == 400) {
      result.outcome = CloudOutcome::malformed;
    }
  } catch (const std::exception& error) {
    spdlog::error("cloud hire {}: {}", request.name, error.what());
    result = {};
  }
  return result;
}

bool Client::scale_in(const std::vector<std::string>& machines) {
  const Json body{{"hosts", machines}};
  return http_.call("POST", "/hosts/return", &body, kCloudTimeout).status == 200;
}

ListPage Client::list_machines(const std::string& after) {
  std::string target = "/hosts?limit=500";
  if (!after.empty()) target += "&after=" + after;
  const wire::CallResult answer = http_.call("GET", target, nullptr, kCloudTimeout);
  ListPage page;
  if (answer.status != 200) return page;
  try {
    for (const Json& item : wire::list(answer.body, "hosts")) {
      page.machines.push_back(decode_listed_machine(item));
    }
    const Json* more = wire::find(answer.body, "truncated");
    page.has_more = more != nullptr && more->get<bool>();
    page.outcome = CloudOutcome::ok;
  } catch (const std::exception& error) {
    spdlog::error("cloud list: {}", error.what());
    page = {};
  }
  return page;
}

}  // namespace reachramp::cloud
