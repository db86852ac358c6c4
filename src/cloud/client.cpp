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
  ListedMachine machine;
  machine.name = wire::text(body, "ref");
  // A machine without a usable address exists nevertheless. If it made the whole list invalid, no
  // machine would be rented or returned any more.
  const Json* address = wire::find(body, "address");
  if (address != nullptr && address->is_string()) machine.address = address->get<std::string>();
  machine.type = wire::text(body, "rig");
  machine.zone = wire::text(body, "hall");
  machine.spot = wire::flag(body, "loaner");
  const std::string phase = wire::text(body, "phase");
  machine.phase = phase == "failed"    ? MachinePhase::failed
                  : phase == "running" ? MachinePhase::running
                                       : MachinePhase::starting;
  machine.rented_for_s = wire::optional_amount(body, "held_s").value_or(0);
  return machine;
}

Client::Client(const wire::Address& address) : http_(address, 1, kMaxCloudResponse_bytes) {}

std::optional<Catalog> Client::catalog() {
  const wire::CallResult response = http_.call("GET", "/catalog", nullptr, kCloudTimeout);
  if (response.status != 200) return std::nullopt;
  try {
    return decode_catalog(response.body);
  } catch (const std::exception& error) {
    spdlog::error("cloud: cannot decode the catalog: {}", error.what());
    return std::nullopt;
  }
}

ScaleOutResult Client::scale_out(const ScaleOutRequest& request) {
  const Json body = encode_scale_out(request);
  const wire::CallResult response = http_.call("POST", "/hosts", &body, kCloudTimeout);
  ScaleOutResult result;
  try {
    if (response.status == 200) {
      for (const Json& name : wire::list(response.body, "hosts")) {
        result.machines.push_back(name.get<std::string>());
      }
      result.outcome = CloudOutcome::ok;
    } else if (response.status == 503 && response.body.value("error", "") == "no capacity") {
      result.outcome = CloudOutcome::no_capacity;
    } else if (response.status == 400) {
      result.outcome = CloudOutcome::malformed;
    }
  } catch (const std::exception& error) {
    spdlog::error("cloud: cannot decode the response to scale-out request {}: {}", request.name,
                  error.what());
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
  const wire::CallResult response = http_.call("GET", target, nullptr, kCloudTimeout);
  ListPage page;
  if (response.status != 200) return page;
  try {
    for (const Json& item : wire::list(response.body, "hosts")) {
      page.machines.push_back(decode_listed_machine(item));
    }
    const Json* more = wire::find(response.body, "truncated");
    page.has_more = more != nullptr && more->get<bool>();
    page.outcome = CloudOutcome::ok;
  } catch (const std::exception& error) {
    spdlog::error("cloud: cannot decode the list of machines: {}", error.what());
    page = {};
  }
  return page;
}

}  // namespace reachramp::cloud
