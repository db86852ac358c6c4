#include "jobs/spec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

#include "schema/schema_levels.h"

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

std::vector<std::string> decode_needs(const Json& body, const std::string& id) {
  std::vector<std::string> needs;
  for (const Json& item : wire::list(body, "waits_on")) {
    if (!item.is_string() || !is_job_id(item.get_ref<const std::string&>())) {
      throw wire::BadMessage("waits_on: not a job id");
    }
    needs.push_back(item.get<std::string>());
    if (needs.back() == id) throw wire::BadMessage("waits_on: the job itself");
  }
  std::sort(needs.begin(), needs.end());
  needs.erase(std::unique(needs.begin(), needs.end()), needs.end());
  return needs;
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
  if (wire::find(body, "waits_on") != nullptr) spec.depends_on = decode_needs(body, spec.id);
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
  if (!spec.depends_on.empty()) body["waits_on"] = spec.depends_on;
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

Json encode_cancelled_header(Header header) {
  header.cancelled = true;
  header.spec.types.reset();
  header.spec.depends_on.clear();
  header.spec.job_class = header.spec.image = "-";
  return encode_header(header);
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

Json encode_ending(const FinalState& ending) {
  return {{"cancelled", ending.cancelled}, {"done", ending.done}};
}

FinalState decode_ending(const Json& record) {
  return {wire::flag(record, "cancelled"),
          static_cast<std::uint32_t>(wire::count(record, "done", kMostTasks))};
}

namespace {

std::size_t digits(std::uint64_t number) { return std::to_string(number).size(); }

constexpr const char* kHex = "0123456789abcdef";

}  // namespace

std::size_t empty_chunk_bytes(Format format, std::size_t tasks, std::size_t shared) {
  return (format == Format::whole ? 72 : 60 + shared) + tasks / 4;
}

std::size_t machine_bytes(Format format, const std::string& host, std::uint64_t attempt,
                          std::size_t shared) {
  return format == Format::whole ? host.size() + 5 : host.size() - shared + digits(attempt) + 4;
}

std::size_t placement_bytes(Format format, std::uint32_t task, std::uint32_t first,
                            std::uint64_t attempt) {
  return format == Format::whole ? digits(task) + digits(attempt) + 2 : digits(task - first) + 1;
}

namespace {

// Done tasks are hexadecimal digits of four tasks each, lowest bit first.
std::string encode_done(const ChunkRecord& chunk) {
  std::string done;
  for (const std::uint32_t task : chunk.done) {
    const std::size_t digit = (task - chunk.first) / 4;
    if (done.size() <= digit) done.resize(digit + 1, '0');
    const std::size_t value = std::string_view(kHex).find(done[digit]);
    done[digit] = kHex[value | (1u << ((task - chunk.first) % 4))];
  }
  return done;
}

const std::string& maybe_empty(const Json& record, const char* field) {
  const Json& value = wire::need(record, field);
  if (!value.is_string()) throw wire::BadMessage(std::string(field) + ": not text");
  return value.get_ref<const std::string&>();
}

std::vector<std::uint32_t> decode_done(const Json& record, std::uint32_t first) {
  std::vector<std::uint32_t> tasks;
  std::uint32_t task = first;
  for (const char digit : maybe_empty(record, "d")) {
    const std::size_t value = std::string_view(kHex).find(digit);
    if (value == std::string_view::npos || task >= kMostTasks)
      throw wire::BadMessage("d: not done");
    for (std::uint32_t bit = 0; bit < 4; ++bit, ++task) {
      if ((value >> bit & 1) != 0) tasks.push_back(task);
    }
  }
  return tasks;
}

// A list of a machine, then task and attempt for each of its tasks, per machine.
std::vector<Placement> decode_whole_placements(const Json& list) {
  std::vector<Placement> placements;
  for (const Json& item : list) {
    if (!item.is_array() || item.size() % 2 != 1) throw wire::BadMessage("p: bad length");
    const auto host = item.at(0).get<std::string>();
    for (std::size_t i = 1; i < item.size(); i += 2) {
      placements.push_back({item[i].get<std::uint32_t>(), item[i + 1].get<std::uint64_t>(), host});
    }
  }
  return placements;
}

// One list: what follows the common letters in a machine's name, an attempt, its tasks there
// counted from the first of the record, the next machine.
std::vector<Placement> decode_compact_placements(const Json& record, std::uint32_t first) {
  const std::string& shared = maybe_empty(record, "m");
  std::vector<Placement> placements;
  enum class Next { machine, attempt, task } next = Next::machine;
  std::string host;
  std::uint64_t attempt = 0;
  for (const Json& item : wire::list(record, "p")) {
    if (item.is_string()) {
      host = shared + item.get<std::string>();
      next = Next::attempt;
      continue;
    }
    if (!item.is_number_unsigned() || next == Next::machine) {
      throw wire::BadMessage("p: not a placement");
    }
    const auto number = item.get<std::uint64_t>();
    if (next == Next::attempt) {
      attempt = number;
      next = Next::task;
    } else if (number < kMostTasks) {
      placements.push_back({first + static_cast<std::uint32_t>(number), attempt, host});
    } else {
      throw wire::BadMessage("p: not a task");
    }
  }
  return placements;
}

}  // namespace

// Records are small and writes few: written task by task, with a machine's name for each, an array
// of 2,000 tasks took thirty records.
Json encode_chunk(const ChunkRecord& chunk) {
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
          {"d", encode_done(chunk)},
          {"t", chunk.last_attempt},
          {"p", std::move(placements)}};
}

Json encode_compact(const ChunkRecord& chunk) {
  std::map<std::pair<std::string_view, std::uint64_t>, std::vector<std::uint32_t>> groups;
  for (const Placement& placement : chunk.placements) {
    groups[{placement.host, placement.attempt}].push_back(placement.task - chunk.first);
  }
  std::string_view shared;
  if (!groups.empty()) {  // sorted by name: what the first and the last share, all share
    const std::string_view low = groups.begin()->first.first;
    const std::string_view high = groups.rbegin()->first.first;
    const auto differ = std::mismatch(low.begin(), low.end(), high.begin(), high.end()).first;
    shared = low.substr(0, static_cast<std::size_t>(differ - low.begin()));
  }
  Json placements = Json::array();
  for (const auto& [machine, tasks] : groups) {
    placements.push_back(machine.first.substr(shared.size()));
    placements.push_back(machine.second);
    for (const std::uint32_t task : tasks) placements.push_back(task);
  }
  return {{"d", encode_done(chunk)},
          {"t", chunk.last_attempt},
          {"m", shared},
          {"p", std::move(placements)}};
}

ChunkRecord decode_chunk(const ChunkKey& key, const Json& record) {
  const bool whole = key.format == Format::whole;
  ChunkRecord chunk;
  chunk.first =
      whole ? static_cast<std::uint32_t>(wire::count(record, "f", kMostTasks)) : key.first;
  chunk.done = decode_done(record, chunk.first);
  chunk.last_attempt = wire::count(record, "t");
  chunk.placements = whole ? decode_whole_placements(wire::list(record, "p"))
                           : decode_compact_placements(record, chunk.first);
  return chunk;
}

std::string job_key(const std::string& id) { return "job/" + id; }
std::string end_key(const std::string& id) { return "end/" + id; }
std::string chunk_key(const std::string& id, std::size_t chunk) {
  return "task/" + id + "/" + std::to_string(chunk);
}

std::string compact_key(const std::string& id, std::uint32_t first, std::uint32_t end) {
  return "task/" + id + "/" + std::to_string(first) + "-" + std::to_string(end);
}

std::optional<ChunkKey> parse_chunk_key(const std::string& key) {
  const auto slash = key.rfind('/');
  if (!key.starts_with("task/") || slash < 5) return std::nullopt;
  ChunkKey found;
  found.job = key.substr(5, slash - 5);
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data() + slash + 1, end, found.first);
  if (error != std::errc()) return std::nullopt;
  if (stop == end) return found;
  const auto [last, wrong] = std::from_chars(stop + 1, end, found.end);
  if (*stop != '-' || wrong != std::errc() || last != end || found.end <= found.first ||
      found.end > kMostTasks) {
    return std::nullopt;
  }
  found.format = Format::compact;
  return found;
}

bool is_stale(const std::string& key, const wire::Json&, std::uint32_t level) {
  const auto chunk = level >= schema::kAges ? parse_chunk_key(key) : std::nullopt;
  return chunk && chunk->format == Format::whole;
}

}  // namespace reachramp::jobs
