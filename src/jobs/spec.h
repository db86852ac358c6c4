// What a user submits, and the records in which a job lives in the state service.
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
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;
};

bool is_job_id(const std::string& text);
Spec decode_spec(const Json& body);
Json encode_spec(const Spec& spec);

// Whether a machine type could ever hold one task of the job.
bool fits_type(const Spec& spec, const cloud::MachineType& type);
// Why the job can never run, or nothing if it can.
std::optional<std::string> never_runs(const Spec& spec, const cloud::Catalog& catalog,
                                      const std::vector<settings::Team>& teams);

// job/<id>: while the job lives. The counts are for display and may lag.
struct Header {
  Spec spec;
  bool cancelled = false;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  std::uint64_t born = 0;  // 0: the record's own stamp
};

// end/<id>: for ever.
struct Ending {
  bool cancelled = false;
  std::uint32_t done = 0;
};

Json encode_header(const Header& header);
Header decode_header(const Json& record);
Json encode_ending(const Ending& ending);
Ending decode_ending(const Json& record);

// task/<id>/<chunk>: what is done, and where attempts may be. A task has at most one.
struct Placement {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string host;
};

struct ChunkRecord {
  std::uint32_t first = 0;          // task of the chunk
  std::vector<std::uint32_t> done;  // ascending
  std::uint64_t last_attempt = 0;
  std::vector<Placement> placements;
};

// JSON bytes that a chunk's record takes: without placements, for a machine that holds some of its
// tasks, and for each placement.
std::size_t empty_chunk_bytes(std::size_t tasks);
std::size_t machine_bytes(const std::string& host);
std::size_t placement_bytes(std::uint32_t task, std::uint64_t attempt);

Json encode_chunk(const ChunkRecord& chunk);
ChunkRecord decode_chunk(const Json& record);

std::string job_key(const std::string& id);
std::string end_key(const std::string& id);
std::string chunk_key(const std::string& id, std::size_t chunk);
// The job and chunk that a chunk's key names.
std::optional<std::pair<std::string, std::size_t>> parse_chunk_key(const std::string& key);

}  // namespace reachramp::jobs
