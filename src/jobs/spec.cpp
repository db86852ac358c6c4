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

constexpr std::uint32_t kMaxTasksPerJob = 100000;
constexpr std::size_t kMaxMachineTypesPerJob = 64;

constexpr std::pair<Shape, const char*> kShapeNames[] = {
    {Shape::array, "array"}, {Shape::gang, "ensemble"}, {Shape::service, "service"}};
constexpr std::pair<Priority, const char*> kPriorityNames[] = {{Priority::production, "prod"},
                                                               {Priority::high, "urgent"},
                                                               {Priority::normal, "normal"},
                                                               {Priority::low, "best_effort"}};

// The value whose name the field holds. Throws wire::BadMessage if there is none.
template <class Value, std::size_t n>
Value parse_enum(const std::pair<Value, const char*> (&names)[n], const Json& body,
                 const char* field) {
  const std::string text = wire::text(body, field);
  for (const auto& [value, name] : names) {
    if (text == name) return value;
  }
  throw wire::BadMessage(std::string(field) + ": unknown value");
}

template <class Value, std::size_t n>
const char* enum_name(const std::pair<Value, const char*> (&names)[n], Value value) {
  return std::find_if(std::begin(names), std::end(names),
                      [&](const auto& pair) { return pair.first == value; })
      ->second;
}

std::vector<std::string> decode_dependencies(const Json& body, const std::string& id) {
  std::vector<std::string> dependencies;
  for (const Json& item : wire::list(body, "waits_on")) {
    if (!item.is_string() || !is_job_id(item.get_ref<const std::string&>())) {
      throw wire::BadMessage("waits_on: not a job id");
    }
    dependencies.push_back(item.get<std::string>());
    if (dependencies.back() == id) throw wire::BadMessage("waits_on: the job itself");
  }
  std::sort(dependencies.begin(), dependencies.end());
  dependencies.erase(std::unique(dependencies.begin(), dependencies.end()), dependencies.end());
  return dependencies;
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
  spec.shape = parse_enum(kShapeNames, body, "shape");
  spec.priority = parse_enum(kPriorityNames, body, "urgency");
  spec.tasks = static_cast<std::uint32_t>(wire::count(body, "pieces", kMaxTasksPerJob));
  if (spec.tasks == 0) throw wire::BadMessage("pieces: zero");
  spec.cpus = wire::amount(body, "vcpus", 1e6);
  spec.gpus = wire::amount(body, "accelerators", 1e6);
  spec.ram_gb = wire::amount(body, "ram_gb", 1e6);
  spec.image = wire::text(body, "bundle");
  spec.image_gb = wire::amount(body, "pull_gb", 1e6);
  if (wire::find(body, "rigs") != nullptr) {
    const Json& types = wire::list(body, "rigs");
    if (types.empty() || types.size() > kMaxMachineTypesPerJob)
      throw wire::BadMessage("rigs: bad length");
    spec.types.emplace();
    for (const Json& type : types) {
      if (!type.is_string()) throw wire::BadMessage("rigs: not text");
      spec.types->push_back(type.get<std::string>());
    }
  }
  spec.zone = wire::optional_text(body, "hall");
  spec.single_zone = wire::flag(body, "together");
  spec.spread_over_zones = wire::flag(body, "scatter");
  spec.allow_spot = wire::flag(body, "loaner");
  spec.estimated_duration_s = wire::amount(body, "expected_s");
  spec.checkpoint_interval_s = wire::amount(body, "snapshot_every_s");
  spec.checkpoint_duration_s = wire::amount(body, "snapshot_cost_s");
  spec.deadline_s = wire::optional_amount(body, "due_s");
  if (wire::find(body, "waits_on") != nullptr) spec.depends_on = decode_dependencies(body, spec.id);
  return spec;
}

Json encode_spec(const Spec& spec) {
  Json body{{"ref", spec.id},
            {"jobclass", spec.job_class},
            {"owner", spec.team},
            {"shape", enum_name(kShapeNames, spec.shape)},
            {"urgency", enum_name(kPriorityNames, spec.priority)},
            {"pieces", spec.tasks},
            {"vcpus", spec.cpus},
            {"accelerators", spec.gpus},
            {"ram_gb", spec.ram_gb},
            {"bundle", spec.image},
            {"pull_gb", spec.image_gb},
            {"together", spec.single_zone},
            {"scatter", spec.spread_over_zones},
            {"loaner", spec.allow_spot},
            {"expected_s", spec.estimated_duration_s},
            {"snapshot_every_s", spec.checkpoint_interval_s},
            {"snapshot_cost_s", spec.checkpoint_duration_s}};
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

std::optional<std::string> unsatisfiable_reason(const Spec& spec, const cloud::Catalog& catalog,
                                                const std::vector<settings::Team>& teams) {
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const settings::Team& t) { return t.name == spec.team; });
  if (team == teams.end()) return "unknown team";
  if (std::none_of(catalog.begin(), catalog.end(),
                   [&](const cloud::MachineType& type) { return fits_type(spec, type); })) {
    return "a task fits no allowed machine type";
  }
  const double tasks = spec.shape == Shape::array ? 1 : spec.tasks;
  const auto exceeds = [&](double per_task, double limit) {
    return limit > 0 && per_task * tasks > limit * (1 + 1e-9);
  };
  if (exceeds(spec.cpus, team->max_cpus) || exceeds(spec.gpus, team->max_gpus)) {
    return "needs more than the team's limit";
  }
  return std::nullopt;
}

bool is_waiting(const Header& header) {
  return !header.cancelled && header.done == 0 && header.running == 0 &&
         !header.spec.depends_on.empty();
}

Json encode_header(const Header& header) {
  return {{"spec", encode_spec(header.spec)},
          {"cancelled", header.cancelled},
          {"done", header.done},
          {"running", header.running},
          {"born", header.accepted_revision}};
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
  header.spec = decode_spec(wire::require(record, "spec"));
  header.cancelled = wire::flag(record, "cancelled");
  header.done = static_cast<std::uint32_t>(wire::count(record, "done", kMaxTasksPerJob));
  header.running = static_cast<std::uint32_t>(wire::count(record, "running", kMaxTasksPerJob));
  header.accepted_revision = wire::count(record, "born");
  return header;
}

Json encode_final_state(const FinalState& final_state) {
  return {{"cancelled", final_state.cancelled}, {"done", final_state.done}};
}

FinalState decode_final_state(const Json& record) {
  return {wire::flag(record, "cancelled"),
          static_cast<std::uint32_t>(wire::count(record, "done", kMaxTasksPerJob))};
}

namespace {

std::size_t decimal_digit_count(std::uint64_t number) { return std::to_string(number).size(); }

constexpr const char* kHexDigits = "0123456789abcdef";

}  // namespace

std::size_t max_empty_range_bytes(TaskRecordFormat format, std::size_t tasks,
                                  std::size_t common_prefix_length) {
  return (format == TaskRecordFormat::legacy ? 72 : 60 + common_prefix_length) + tasks / 4;
}

std::size_t max_machine_bytes(TaskRecordFormat format, const std::string& host,
                              std::uint64_t attempt, std::size_t common_prefix_length) {
  return format == TaskRecordFormat::legacy
             ? host.size() + 5
             : host.size() - common_prefix_length + decimal_digit_count(attempt) + 4;
}

std::size_t max_placement_bytes(TaskRecordFormat format, std::uint32_t task, std::uint32_t first,
                                std::uint64_t attempt) {
  return format == TaskRecordFormat::legacy
             ? decimal_digit_count(task) + decimal_digit_count(attempt) + 2
             : decimal_digit_count(task - first) + 1;
}

namespace {

// Encodes done tasks as hexadecimal digits, one for four tasks, the lowest bit first.
std::string encode_done(const TaskRangeRecord& range) {
  std::string done;
  for (const std::uint32_t task : range.done) {
    const std::size_t digit = (task - range.first) / 4;
    if (done.size() <= digit) done.resize(digit + 1, '0');
    const std::size_t value = std::string_view(kHexDigits).find(done[digit]);
    done[digit] = kHexDigits[value | (1u << ((task - range.first) % 4))];
  }
  return done;
}

// Like wire::text, but the text may be empty.
const std::string& possibly_empty_text(const Json& record, const char* field) {
  const Json& value = wire::require(record, field);
  if (!value.is_string()) throw wire::BadMessage(std::string(field) + ": not text");
  return value.get_ref<const std::string&>();
}

std::vector<std::uint32_t> decode_done(const Json& record, std::uint32_t first) {
  std::vector<std::uint32_t> tasks;
  std::uint32_t task = first;
  for (const char digit : possibly_empty_text(record, "d")) {
    const std::size_t value = std::string_view(kHexDigits).find(digit);
    if (value == std::string_view::npos || task >= kMaxTasksPerJob)
      throw wire::BadMessage("d: not done");
    for (std::uint32_t bit = 0; bit < 4; ++bit, ++task) {
      if ((value >> bit & 1) != 0) tasks.push_back(task);
    }
  }
  return tasks;
}

// Legacy format: one list per machine, which holds the machine's name and then the number and the
// attempt of each of its tasks.
std::vector<Placement> decode_legacy_placements(const Json& list) {
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

// Compact format: a single list. For each pair of machine and attempt it holds the machine's name
// without the common prefix, the attempt, and the tasks, counted from the first task of the range.
std::vector<Placement> decode_compact_placements(const Json& record, std::uint32_t first) {
  const std::string& common_prefix = possibly_empty_text(record, "m");
  std::vector<Placement> placements;
  enum class Next { machine, attempt, task } next = Next::machine;
  std::string host;
  std::uint64_t attempt = 0;
  for (const Json& item : wire::list(record, "p")) {
    if (item.is_string()) {
      host = common_prefix + item.get<std::string>();
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
    } else if (number < kMaxTasksPerJob) {
      placements.push_back({first + static_cast<std::uint32_t>(number), attempt, host});
    } else {
      throw wire::BadMessage("p: not a task");
    }
  }
  return placements;
}

}  // namespace

// Tasks are grouped by machine since values in the store must be short and writes are rate-limited:
// with the machine's name repeated for each task, an array of 2,000 tasks took thirty records.
Json encode_legacy_task_range(const TaskRangeRecord& range) {
  std::map<std::string, Json> by_machine;
  for (const Placement& placement : range.placements) {
    Json& list =
        by_machine.try_emplace(placement.host, Json::array({placement.host})).first->second;
    list.push_back(placement.task);
    list.push_back(placement.attempt);
  }
  Json placements = Json::array();
  for (auto& [machine, list] : by_machine) placements.push_back(std::move(list));
  return {{"f", range.first},
          {"d", encode_done(range)},
          {"t", range.last_attempt},
          {"p", std::move(placements)}};
}

Json encode_compact_task_range(const TaskRangeRecord& range) {
  std::map<std::pair<std::string_view, std::uint64_t>, std::vector<std::uint32_t>> groups;
  for (const Placement& placement : range.placements) {
    groups[{placement.host, placement.attempt}].push_back(placement.task - range.first);
  }
  std::string_view common_prefix;
  if (!groups.empty()) {  // sorted by name: a prefix that the first and last share is common to all
    const std::string_view low = groups.begin()->first.first;
    const std::string_view high = groups.rbegin()->first.first;
    const auto differ = std::mismatch(low.begin(), low.end(), high.begin(), high.end()).first;
    common_prefix = low.substr(0, static_cast<std::size_t>(differ - low.begin()));
  }
  Json placements = Json::array();
  for (const auto& [machine, tasks] : groups) {
    placements.push_back(machine.first.substr(common_prefix.size()));
    placements.push_back(machine.second);
    for (const std::uint32_t task : tasks) placements.push_back(task);
  }
  return {{"d", encode_done(range)},
          {"t", range.last_attempt},
          {"m", common_prefix},
          {"p", std::move(placements)}};
}

TaskRangeRecord decode_task_range(const TaskRangeKey& key, const Json& record) {
  const bool is_legacy = key.format == TaskRecordFormat::legacy;
  TaskRangeRecord range;
  range.first =
      is_legacy ? static_cast<std::uint32_t>(wire::count(record, "f", kMaxTasksPerJob)) : key.first;
  range.done = decode_done(record, range.first);
  range.last_attempt = wire::count(record, "t");
  range.placements = is_legacy ? decode_legacy_placements(wire::list(record, "p"))
                               : decode_compact_placements(record, range.first);
  return range;
}

std::string job_key(const std::string& id) { return "job/" + id; }
std::string end_key(const std::string& id) { return "end/" + id; }
std::string legacy_task_range_key(const std::string& id, std::size_t range_number) {
  return "task/" + id + "/" + std::to_string(range_number);
}

std::string compact_task_range_key(const std::string& id, std::uint32_t first, std::uint32_t end) {
  return "task/" + id + "/" + std::to_string(first) + "-" + std::to_string(end);
}

std::optional<TaskRangeKey> parse_task_range_key(const std::string& key) {
  const auto slash = key.rfind('/');
  if (!key.starts_with("task/") || slash < 5) return std::nullopt;
  TaskRangeKey found;
  found.job = key.substr(5, slash - 5);
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(key.data() + slash + 1, end, found.first);
  if (error != std::errc()) return std::nullopt;
  if (stop == end) return found;
  const auto [last, end_error] = std::from_chars(stop + 1, end, found.end);
  if (*stop != '-' || end_error != std::errc() || last != end || found.end <= found.first ||
      found.end > kMaxTasksPerJob) {
    return std::nullopt;
  }
  found.format = TaskRecordFormat::compact;
  return found;
}

bool is_obsolete(const std::string& key, const wire::Json&, std::uint32_t level) {
  const auto range = level >= schema::kTimeline ? parse_task_range_key(key) : std::nullopt;
  return range && range->format == TaskRecordFormat::legacy;
}

}  // namespace reachramp::jobs
