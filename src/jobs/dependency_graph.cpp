#include "jobs/dependency_graph.h"

#include <algorithm>
#include <utility>

namespace reachramp::jobs {

void DependencyGraph::apply_header(const Header& header, std::uint64_t revision) {
  const std::string& id = header.spec.id;
  Job& job = jobs_[id];
  if (job.live && revision <= job.revision) return;
  job.live = true;
  job.ended = false;
  job.revision = revision;
  undetermined_ends_.erase(id);
  const bool was_waiting = std::exchange(job.waiting, jobs::is_waiting(header));
  if (header.cancelled) {
    mark_cancelled(id);
  } else if (was_waiting && !job.waiting) {
    stop_waiting(id);
  } else if (!was_waiting && job.waiting && !job.cancelled) {
    begin_waiting(id, header.spec.depends_on);
  }
}

void DependencyGraph::apply_removal(const std::string& id, std::uint64_t revision) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || !at->second.live || revision <= at->second.revision) return;
  at->second.live = false;
  at->second.waiting = false;
  stop_waiting(id);
  update_ended_job(id);
}

void DependencyGraph::apply_end(const std::string& id, bool cancelled) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || at->second.live) return;
  at->second.ended = true;
  undetermined_ends_.erase(id);
  if (cancelled) mark_cancelled(id);
}

void DependencyGraph::begin_waiting(const std::string& id,
                                    const std::vector<std::string>& depends_on) {
  if (any_cancelled(depends_on)) {
    mark_cancelled(id);
    return;
  }
  jobs_[id].depends_on = depends_on;
  for (const std::string& needed : depends_on) {
    jobs_[needed].dependents.insert(id);
    update_ended_job(needed);
  }
}

void DependencyGraph::stop_waiting(const std::string& id) {
  const std::vector<std::string> depends_on = std::exchange(jobs_.at(id).depends_on, {});
  for (const std::string& needed : depends_on) {
    jobs_.at(needed).dependents.erase(id);
    update_ended_job(needed);
  }
}

void DependencyGraph::mark_cancelled(const std::string& id) {
  std::vector<std::string> to_mark{id};
  while (!to_mark.empty()) {
    const std::string next = std::move(to_mark.back());
    to_mark.pop_back();
    Job& job = jobs_.at(next);
    if (std::exchange(job.cancelled, true)) continue;
    to_mark.insert(to_mark.end(), job.dependents.begin(), job.dependents.end());
    undetermined_ends_.erase(next);
    stop_waiting(next);
  }
}

void DependencyGraph::update_ended_job(const std::string& id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || at->second.live) return;
  if (at->second.dependents.empty()) {
    undetermined_ends_.erase(id);
    jobs_.erase(at);
  } else if (!at->second.ended && !at->second.cancelled) {
    undetermined_ends_.insert(id);
  }
}

bool DependencyGraph::is_live(const std::string& id) const {
  const auto at = jobs_.find(id);
  return at != jobs_.end() && at->second.live;
}

bool DependencyGraph::is_waiting(const std::string& id) const {
  const auto at = jobs_.find(id);
  return at != jobs_.end() && at->second.waiting;
}

bool DependencyGraph::is_cancelled(const std::string& id) const {
  const auto at = jobs_.find(id);
  return at != jobs_.end() && at->second.cancelled;
}

bool DependencyGraph::any_cancelled(const std::vector<std::string>& ids) const {
  return std::any_of(ids.begin(), ids.end(),
                     [this](const std::string& id) { return is_cancelled(id); });
}

}  // namespace reachramp::jobs
