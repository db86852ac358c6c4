// A job's specification as users submit it, and the records that the key-value store holds of a
// job: its header (job/<id>), its final state (end/<id>) and its task ranges (task/<id>/...).
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

// How a job's tasks belong together: an array's tasks run independently, a gang's all at the same
// time, and a service's are replicas that are restarted whenever one ends.
enum class Shape { array, gang, service };
// The priority that the user asked for, ascending.
enum class Priority { low, normal, high, production };

// What a user submits. Resources and times are for one task unless stated otherwise.
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
  std::optional<std::vector<std::string>> types;  // machine types it may run on; none: all
  std::optional<std::string> zone;                // none: any
  bool single_zone = false;                       // all tasks must be in the same zone
  bool spread_over_zones = false;                 // at most half of the tasks in one zone
  bool allow_spot = false;  // spot machines may be used, which the cloud may reclaim
  double estimated_duration_s = 0;
  double checkpoint_interval_s = 0;
  double checkpoint_duration_s = 0;  // how long writing one checkpoint takes
  std::optional<double> deadline_s;  // since the job was accepted
  // Jobs that must be done before any task of this one starts. Sorted, without duplicates.
  std::vector<std::string> depends_on;
};

// Whether the text is a valid job id: "j-", then at least one letter, digit, '-', '_' or '.'; at
// most 64 characters.
bool is_job_id(const std::string& text);
// Reads a submission. Throws wire::BadMessage if a field is missing or invalid.
Spec decode_spec(const Json& body);
// The inverse of decode_spec, for the header record. Optional fields that are unset are left out.
Json encode_spec(const Spec& spec);

// Whether an empty machine of the type can hold one task of the job in a zone that the job allows.
bool fits_type(const Spec& spec, const cloud::MachineType& type);
// The reason, for the user, why the job can never run with this catalog and these team limits; none
// if it can.
std::optional<std::string> unsatisfiable_reason(const Spec& spec, const cloud::Catalog& catalog,
                                                const std::vector<settings::Team>& teams);

// The record job/<id>, which exists from the job's acceptance until its final state is stored.
struct Header {
  Spec spec;
  bool cancelled = false;
  std::uint32_t done = 0;     // tasks; for display only, may lag behind
  std::uint32_t running = 0;  // tasks; for display only, may lag behind
  // The store revision at which the job was accepted. 0: the record has not been rewritten since,
  // so the revision of its key is the revision of the acceptance.
  std::uint64_t accepted_revision = 0;
};

// Whether the job may still wait for others: it is not cancelled and nothing shows that it has
// started. A job that has started needs no other any more.
bool is_waiting(const Header& header);

// The record end/<id>, which replaces the header when the job has ended and is never removed.
struct FinalState {
  bool cancelled = false;
  std::uint32_t done = 0;  // tasks
};

Json encode_header(const Header& header);
// Encodes the header as cancelled and without the fields that only placement needs, for a header
// that would otherwise exceed the store's limit on the length of a value.
Json encode_cancelled_header(Header header);
// Throws wire::BadMessage if the record is malformed, like the other decode functions below.
Header decode_header(const Json& record);
Json encode_final_state(const FinalState& final_state);
FinalState decode_final_state(const Json& record);

// An attempt at a task that may be running on a machine.
struct Placement {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string host;
};

// A record task/<id>/...: which tasks of a range of a job's tasks are done, and the placements of
// the others, at most one per task. Where ranges overlap, the record that was written last counts.
struct TaskRangeRecord {
  std::uint32_t first = 0;          // the range's first task
  std::vector<std::uint32_t> done;  // ascending
  std::uint64_t last_attempt = 0;   // Job::last_attempt (placement/cluster.h) when it was written
  std::vector<Placement> placements;
};

// How task range records are encoded. Version 0.2.0 reads and writes `legacy` only; `compact` is
// shorter and is read by later versions only.
enum class TaskRecordFormat { legacy, compact };

// Upper bounds on the JSON size of a task range record: of a record of `tasks` tasks without
// placements; of each distinct machine in it (compact: of each pair of machine and attempt); and of
// each placement. `common_prefix_length`: number of leading characters that all machine names
// share, which the compact format stores once.
std::size_t max_empty_range_bytes(TaskRecordFormat format, std::size_t tasks,
                                  std::size_t common_prefix_length);
std::size_t max_machine_bytes(TaskRecordFormat format, const std::string& host,
                              std::uint64_t attempt, std::size_t common_prefix_length);
std::size_t max_placement_bytes(TaskRecordFormat format, std::uint32_t task, std::uint32_t first,
                                std::uint64_t attempt);

// A parsed key of a task range record: task/<id>/<range number> in the legacy format,
// task/<id>/<first>-<end> in the compact format.
struct TaskRangeKey {
  std::string job;
  TaskRecordFormat format = TaskRecordFormat::legacy;
  std::uint32_t first = 0;  // legacy: the range number; compact: the range's first task
  std::uint32_t end = 0;    // compact only: one past the range's last task
};

Json encode_legacy_task_range(const TaskRangeRecord& range);
Json encode_compact_task_range(const TaskRangeRecord& range);
// Decodes the record in the format that its key has.
TaskRangeRecord decode_task_range(const TaskRangeKey& key, const Json& record);

std::string job_key(const std::string& id);
std::string end_key(const std::string& id);
std::string legacy_task_range_key(const std::string& id, std::size_t range_number);
std::string compact_task_range_key(const std::string& id, std::uint32_t first, std::uint32_t end);
// None if the key is not one of a task range record.
std::optional<TaskRangeKey> parse_task_range_key(const std::string& key);
// Whether the key belongs to a task range record in a format that the schema level has replaced.
bool is_obsolete(const std::string& key, const wire::Json& value, std::uint32_t level);

}  // namespace reachramp::jobs
