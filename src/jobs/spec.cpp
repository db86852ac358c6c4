#include "jobs/spec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

namespace reachramp::jobs {

namespace {

constexpr std::uint32_t kMostTasks = 100000;
constexpr std::size_t kMostTypes = 64;

constexpr std::pair<Shape, const char*> kShapes[] = {
    {Shape::array, "array"}, {Shape::gang, "ensemble"}, {Shape::service, "service"}};
constexpr std::pair<Priority, const char*> kPriorities[] = {{Priority::production, "prod"},
                                                            {Priority::high, "urgent"},
                                                            {Priority::normal, "normal"},
                                                            {Priority::low, "best_effort"}};

template <class Value, std::size_t n>
Value by_name(const std::pair<Value, const char*> (&names)[n], const Json& body,
              const char* field) {
  const std::string given = wire::text(body, field);
  for (const auto& [value, name] : names) {
    if (given == name) return value;
  }
  throw wire::BadMessage(std::string(field) + ": unknown value");
}

template <class Value, std::size_t n>
const char* name_of(const std::pair<Value, const char*> (&names)[n], Value value) {
  return std::find_if(std::begin(names), std::end(names),
                      [&](const auto& pair) { return pair.first == value; })
      ->second;
}

}  // namespace

bool is_job_id(const std::string& text) {
  return text.size() > 2 && text.size() <= 64 && text.starts_with("j-") &&
         std::all_of(text.begin() + 2, text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

Spec decode_spec(const Json& body) {
  Spec spec;
  spec.id = wire::text(body, "ref");
  if (!is_job_id(spec.id)) throw wire::BadMessage("ref: not a job id");
  spec.job_class = wire::text(body, "jobclass");
  spec.team = wire::text(body, "owner");
  spec.shape = by_name(kShapes, body, "shape");
  spec.priority = by_name(kPriorities, body, "urgency");
  spec.tasks = static_cast<std::uint32_t>(wire::count(body, "pieces", kMostTasks));
  if (spec.tasks == 0) throw wire::BadMessage("pieces: zero");
  spec.cpus = wire::amount(body, "vcpus", 1e6);
  spec.gpus = wire::amount(body, "accelerators", 1e6);
  spec.ram_gb = wire::amount(body, "ram_gb", 1e6);
  spec.image = wire::text(body, "bundle");
  spec.image_gb = wire::amount(body, "pull_gb", 1e6);
  if (wire::find(body, "rigs") != nullptr) {
    const Json& types = wire::list(body, "rigs");
    if (types.empty() || types.size() > kMostTypes) throw wire::BadMessage("rigs: bad length");
    spec.types.emplace();
    for (const Json& type : types) {
      if (!type.is_string()) throw wire::BadMessage("rigs: not text");
      spec.types->push_back(type.get<std::string>());
    }
  }
  spec.zone = wire::maybe_text(body, "hall");
  spec.one_zone = wire::flag(body, "together");
  spec.spread = wire::flag(body, "scatter");
  spec.spot = wire::flag(body, "loaner");
  spec.estimate_s = wire::amount(body, "expected_s");
  spec.checkpoint_s = wire::amount(body, "snapshot_every_s");
  spec.save_s = wire::amount(body, "snapshot_cost_s");
  spec.deadline_s = wire::maybe_amount(body, "due_s");
  return spec;
}

Json encode_spec(const Spec& spec) {
  Json body{{"ref", spec.id},
            {"jobclass", spec.job_class},
            {"owner", spec.team},
            {"shape", name_of(kShapes, spec.shape)},
            {"urgency", name_of(kPriorities, spec.priority)},
            {"pieces", spec.tasks},
            {"vcpus", spec.cpus},
            {"accelerators", spec.gpus},
            {"ram_gb", spec.ram_gb},
            {"bundle", spec.image},
            {"pull_gb", spec.image_gb},
            {"together", spec.one_zone},
            {"scatter", spec.spread},
            {"loaner", spec.spot},
            {"expected_s", spec.estimate_s},
            {"snapshot_every_s", spec.checkpoint_s},
            {"snapshot_cost_s", spec.save_s}};
  if (spec.types) body["rigs"] = *spec.types;
  if (spec.zone) body["hall"] = *spec.zone;
  if (spec.deadline_s) body["due_s"] = *spec.deadline_s;
  return body;
}

bool fits_type(const Spec& spec, const cloud::MachineType& type) {
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) {
    return false;
  }
  if (spec.zone &&
      std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end()) {
    return false;
  }
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.ram_gb <= type.ram_gb;
}

std::optional<std::string> never_runs(const Spec& spec, const cloud::Catalog& catalog,
                                      const std::vector<settings::Team>& teams) {
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const settings::Team& t) { return t.name == spec.team; });
  if (team == teams.end()) return "unknown team";
  if (std::none_of(catalog.begin(), catalog.end(),
                   [&](const cloud::MachineType& type) { return fits_type(spec, type); })) {
    return "a task fits no allowed machine type";
  }
  const double tasks = spec.shape == Shape::array ? 1 : spec.tasks;
  const auto over = [&](double need, double most) {
    return most > 0 && need * tasks > most * (1 + 1e-9);
  };
  if (over(spec.cpus, team->cpus_max) || over(spec.gpus, team->gpus_max)) {
    return "needs more than the team's limit";
  }
  return std::nullopt;
}

Json encode_header(const Header& header) {
  return {{"spec", encode_spec(header.spec)},
          {"cancelled", header.cancelled},
          {"done", header.done},
          {"running", header.running},
          {"born", header.born}};
}

Header decode_header(const Json& record) {
  Header header;
  header.spec = decode_spec(wire::need(record, "spec"));
  header.cancelled = wire::flag(record, "cancelled");
  header.done = static_cast<std::uint32_t>(wire::count(record, "done", kMostTasks));
  header.running = static_cast<std::uint32_t>(wire::count(record, "running", kMostTasks));
  header.born = wire::count(record, "born");
  return header;
}

Json encode_ending(const Ending& ending) {
  return {{"cancelled", ending.cancelled}, {"done", ending.done}};
}

Ending decode_ending(const Json& record) {
  return {wire::flag(record, "cancelled"),
          static_cast<std::uint32_t>(wire::count(record, "done", kMostTasks))};
}

namespace {

std::size_t digits(std::uint64_t number) { return std::to_string(number).size(); }

constexpr const char* kHex = "0123456789abcdef";

}  // namespace

std::size_t empty_chunk_bytes(std::size_t tasks) { return 72 + tasks / 4; }
std::size_t machine_bytes(const std::string& host) { return host.size() + 5; }
std::size_t placement_bytes(std::uint32_t task, std::uint64_t attempt) {
  return digits(task) + digits(attempt) + 2;
}

// Done tasks are hexadecimal digits of four tasks each, lowest bit first; placements are lists of a
// machine, then task and attempt for each of its tasks. Records are small and writes few: written
// task by task, with a machine's name for each, an array of 2,000 tasks took thirty records.
Json encode_chunk(const ChunkRecord& chunk) {
  std::string done;
  for (const std::uint32_t task : chunk.done) {
    const std::size_t digit = (task - chunk.first) / 4;
    if (done.size() <= digit) done.resize(digit + 1, '0');
    const std::size_t value = std::string_view(kHex).find(done[digit]);
    done[digit] = kHex[value | (1u << ((task - chunk.first) % 4))];
  }
  std::map<std::string, Json> by_machine;
  for (const Placement& placement : chunk.placements) {
    Json& list =
        by_machine.try_emplace(placement.host, Json::array({placement.host})).first->second;
    list.push_back(placement.task);
    list.push_back(placement.attempt);
  }
  Json placements = Json::array();
  for (auto& [machine, list] : by_machine) placements.push_back(std::move(list));
  return {{"f", chunk.first},
          {"d", std::move(done)},
          {"t", chunk.last_attempt},
          {"p", std::move(placements)}};
}

ChunkRecord decode_chunk(const Json& record) {
  ChunkRecord chunk;
  chunk.first = static_cast<std::uint32_t>(wire::count(record, "f", kMostTasks));
  const Json& done = wire::need(record, "d");
  if (!done.is_string()) throw wire::BadMessage("d: not text");
  std::uint32_t task = chunk.first;
  for (const char digit : done.get_ref<const std::string&>()) {
    const std::size_t value = std::string_view(kHex).find(digit);
    if (value == std::string_view::npos || task >= kMostTasks)
      throw wire::BadMessage("d: not done");
    for (std::uint32_t bit = 0; bit < 4; ++bit, ++task) {
      if ((value >> bit & 1) != 0) chunk.done.push_back(task);
    }
  }
  chunk.last_attempt = wire::count(record, "t");
  for (const Json& item : wire::list(record, "p")) {
    if (!item.is_array() || item.size() % 2 != 1) throw wire::BadMessage("p: bad length");
    const auto host = item.at(0).get<std::string>();
    for (std::size_t i = 1; i < item.size(); i += 2) {
      chunk.placements.push_back(
          {item[i].get<std::uint32_t>(), item[i + 1].get<std::uint64_t>(), host});
    }
  }
  return chunk;
}

std::string job_key(const std::string& id) { return "job/" + id; }
std::string end_key(const std::string& id) { return "end/" + id; }
std::string chunk_key(const std::string& id, std::size_t chunk) {
  return "task/" + id + "/" + std::to_string(chunk);
}

std::optional<std::pair<std::string, std::size_t>> parse_chunk_key(const std::string& key) {
  const auto slash = key.rfind('/');
  if (!key.starts_with("task/") || slash < 5) return std::nullopt;
  std::size_t chunk = 0;
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data() + slash + 1, end, chunk);
  if (error != std::errc() || stop != end) return std::nullopt;
  return std::pair{key.substr(5, slash - 5), chunk};
}

}  // namespace reachramp::jobs
