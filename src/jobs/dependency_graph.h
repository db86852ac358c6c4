// Which live jobs wait for others, and which of them can never start because a job that they need,
// directly or through others, is cancelled. A job's own record says so only once a leader has
// stored its end, which may take longer than its user may be left in the dark: there may be
// thousands of such jobs, the key-value store may be out, or no leader may work.
//
// Dependencies never change once a job is accepted, a cancelled job stays cancelled, and a job that
// is done or has started needs no other job any more. So each cancellation is passed on once to the
// jobs that wait for the cancelled one, and a question about any job takes one look-up, however
// long its pipeline is.
//
// Pure state, without I/O. Not thread-safe.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jobs/spec.h"

namespace reachramp::jobs {

// Holds all live jobs, and ended ones for as long as a waiting job names them.
class DependencyGraph {
 public:
  // The job's header was stored with this revision. Ignored if a newer one is known.
  void apply_header(const Header& header, std::uint64_t revision);
  // The job's header was removed with this revision, in the transaction that stored its end.
  void apply_removal(const std::string& id, std::uint64_t revision);
  // The job without a header has ended, as cancelled or done. A job without any record counts as
  // done: its dependents must not be left without an answer for ever.
  void apply_end(const std::string& id, bool cancelled);

  // Whether the job's header is known.
  bool is_live(const std::string& id) const;
  // Whether the job waits by its header (is_waiting), also behind a cancelled one.
  bool is_waiting(const std::string& id) const;
  // Whether the job is cancelled, or waits for one that is, directly or through others.
  bool is_cancelled(const std::string& id) const;
  // The same of any of the jobs.
  bool any_cancelled(const std::vector<std::string>& ids) const;
  // The jobs that a waiting job names and that have neither a known header nor a known end. As long
  // as there are any, a job that is not known to be cancelled may be.
  const std::set<std::string>& undetermined_ends() const { return undetermined_ends_; }
  std::size_t size() const { return jobs_.size(); }

 private:
  struct Job {
    std::uint64_t revision = 0;  // of the header
    bool live = false;           // the header is known
    bool waiting = false;        // by the header
    bool ended = false;          // the final state is known
    bool cancelled = false;      // itself, or a job that it waits for
    // The jobs that it waits for; empty once it is cancelled.
    std::vector<std::string> depends_on;
    // The waiting jobs that name this one and are not known to be cancelled.
    std::unordered_set<std::string> dependents;
  };

  void begin_waiting(const std::string& id, const std::vector<std::string>& depends_on);
  void stop_waiting(const std::string& id);
  // Marks the job and all that wait for it, directly or through others.
  void mark_cancelled(const std::string& id);
  // Forgets the job if it is not live and no job waits for it; if one does, notes whether its end
  // must be read.
  void update_ended_job(const std::string& id);

  std::unordered_map<std::string, Job> jobs_;
  std::set<std::string> undetermined_ends_;
};

}  // namespace reachramp::jobs
