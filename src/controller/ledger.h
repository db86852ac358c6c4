// Turns what has changed in the cluster into conditional transactions, and their results back.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "placement/cluster.h"
#include "state/client.h"

namespace reachramp::controller {

using placement::ChunkRef;
using placement::Cluster;
using placement::Index;

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kCatalogKey = "catalog";

// A record beside jobs and tasks: what a pool was last asked for, the machine types.
struct Note {
  std::string key;
  std::optional<state::Json> value;  // none: remove
  // Only while these keys are as they were; if one is not, the note is dropped.
  std::vector<std::pair<std::string, std::uint64_t>> given{};
};

struct Batch {
  struct StoredChunk {
    ChunkRef ref;
    std::string job;
    std::uint32_t changed = 0;
    std::vector<jobs::Placement> placements;
  };
  struct ToldHeader {
    std::string job;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
  };

  state::Transaction transaction;
  std::vector<StoredChunk> chunks;
  std::vector<ToldHeader> headers;
  std::vector<std::pair<std::string, placement::Fate>> ended;
  // Chunks of ended jobs that did not fit: to be removed once the end is durable, not before.
  std::vector<std::pair<std::string, std::uint64_t>> leftovers;
  std::vector<Note> notes;
};

enum class Settlement { done, again, too_large, deposed, confused };

class Ledger {
 public:
  // What the state service held of notes and strays when the leader took over.
  void know(const std::string& key, std::uint64_t stamp) { stamps_[key] = stamp; }
  void write(Note note);
  // What is yet to be written takes the form of the level: records that it no longer has go.
  void step_to(std::uint32_t level);
  bool is_stored(const std::string& key) const;
  std::optional<std::uint64_t> stamp_of(const std::string& key) const;
  bool is_pending(const std::string& key) const { return notes_.contains(key); }

  // The next batch of at most `most` writes, if anything has changed. `spare` is false while writes
  // are scarce: counts for display then wait.
  std::optional<Batch> next(Cluster& cluster, int most, bool spare, double now);
  // Leaves the records of a refused batch alone for a while, so that the others are not held up.
  void avoid(const Batch& batch, double now);
  Settlement settle(Cluster& cluster, const Batch& batch, const state::Committed& committed,
                    double now);

 private:
  struct Builder;

  void add_end(Cluster& cluster, Index job, Builder& builder);
  void add_chunk(Cluster& cluster, const ChunkRef& ref, double now, Builder& builder);
  bool drop_given(const std::string& key);
  bool avoids(const std::string& key, double now) const;
  void add_headers(Cluster& cluster, double now, Builder& builder);

  std::map<std::string, std::uint64_t> stamps_;
  std::map<std::string, Note> notes_;
  std::map<std::string, double> avoided_;  // until when
  double not_before_ = 0;
};

}  // namespace reachramp::controller
