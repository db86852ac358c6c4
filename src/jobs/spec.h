// What a user submits, and the records in which a job lives in the key-value store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cloud/client.h"
#include "settings/settings.h"
#include "wire/message.h"

namespace reachramp::jobs {

using wire::Json;

enum class Shape { array, gang, service };
enum class Priority { low, normal, high, production };

struct Spec {
  std::string id;
  std::string job_class;
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool single_zone = false;
  bool spread_over_zones = false;
  bool allow_spot = false;
  double estimated_duration_s = 0;
  double checkpoint_interval_s = 0;
  double checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string>
      depends_on;  // jobs that have to be done before any task of this one starts
};

bool is_job_id(const std::string& text);
Spec decode_spec(const Json& body);
Json encode_spec(const Spec& spec);

// Whether a machine type could ever hold one task of the job.
bool fits_type(const Spec& spec, const cloud::MachineType& type);
// Why the job can never run, or nothing if it can.
std::optional<std::string> unsatisfiable_reason(const Spec& spec, const cloud::Catalog& catalog,
                                                const std::vector<settings::Team>& teams);

// job/<id>: while the job lives. The counts are for display and may lag.
struct Header {
  Spec spec;
  bool cancelled = false;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  std::uint64_t accepted_revision = 0;  // 0: the record's own revision
};

// end/<id>: for ever.
struct FinalState {
  bool cancelled = false;
  std::uint32_t done = 0;
};

Json encode_header(const Header& header);
// Without what only placing needs: a cancelled job's header that would otherwise be longer than a
// value may be.
Json encode_cancelled_header(Header header);
Header decode_header(const Json& record);
Json encode_final_state(const FinalState& final_state);
FinalState decode_final_state(const Json& record);

// task/<id>/...: what is done of a range of a job's tasks, and where attempts may be. A task has at
// most one. Where ranges overlap, the record that was written last is the one that counts.
struct Placement {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string host;
};

struct TaskRangeRecord {
  std::uint32_t first = 0;          // task of the chunk
  std::vector<std::uint32_t> done;  // ascending
  std::uint64_t last_attempt = 0;
  std::vector<Placement> placements;
};

// How task records are written. `whole` is what version 0.2.0 writes and reads; `compact` is read
// by later ones only.
enum class TaskRecordFormat { legacy, compact };

// JSON bytes that a record takes at most: without placements, for a machine that holds tasks of one
// attempt, and for each placement. `shared`: letters with which all machines' names begin.
std::size_t max_empty_range_bytes(TaskRecordFormat format, std::size_t tasks,
                                  std::size_t common_prefix_length);
std::size_t max_machine_bytes(TaskRecordFormat format, const std::string& host,
                              std::uint64_t attempt, std::size_t common_prefix_length);
std::size_t max_placement_bytes(TaskRecordFormat format, std::uint32_t task, std::uint32_t first,
                                std::uint64_t attempt);

// The key tells the format: task/<id>/<number of the chunk> or task/<id>/<first>-<end>.
struct TaskRangeKey {
  std::string job;
  TaskRecordFormat format = TaskRecordFormat::legacy;
  std::uint32_t first = 0;  // compact only
  std::uint32_t end = 0;
};

Json encode_legacy_task_range(const TaskRangeRecord& chunk);
Json encode_compact_task_range(const TaskRangeRecord& chunk);
TaskRangeRecord decode_task_range(const TaskRangeKey& key, const Json& record);

std::string job_key(const std::string& id);
std::string end_key(const std::string& id);
std::string legacy_task_range_key(const std::string& id, std::size_t range_number);
std::string compact_task_range_key(const std::string& id, std::uint32_t first, std::uint32_t end);
std::optional<TaskRangeKey> parse_task_range_key(const std::string& key);
// Whether it is a record of this slice that the level does not have, or has in another form.
bool is_stale(const std::string& key, const wire::Json& value, std::uint32_t level);

}  // namespace reachramp::jobs
