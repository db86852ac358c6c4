#include "model/shared_task_state.h"

#include <algorithm>
#include <cmath>

namespace reachramp::lab {

namespace {

// A gang has a single progress for all members, stored under its first task.
SharedTaskState::TaskId gang_progress_key(const std::string& job) { return {job, 0}; }

}  // namespace

void SharedTaskState::upload(const Job& job) { jobs_.try_emplace(job.spec.id, job); }

const SharedTaskState::Job* SharedTaskState::find_job(const std::string& job) const {
  const auto at = jobs_.find(job);
  return at == jobs_.end() ? nullptr : &at->second;
}

std::size_t SharedTaskState::done_count(const std::string& job) const {
  return static_cast<std::size_t>(
      std::distance(done_tasks_.lower_bound({job, 0}),
                    done_tasks_.upper_bound({job, std::numeric_limits<std::uint32_t>::max()})));
}

double SharedTaskState::saved_progress_s(const TaskId& task) const {
  const auto at = saved_progress_s_.find(task);
  return at == saved_progress_s_.end() ? 0 : at->second;
}

void SharedTaskState::save_progress(const TaskId& task, double progress_s) {
  double& saved = saved_progress_s_[task];
  saved = std::max(saved, progress_s);
}

const SharedTaskState::Gang* SharedTaskState::find_gang(const TaskId& task,
                                                        std::uint64_t attempt) const {
  const auto at = gangs_.find({task.job, attempt});
  return at == gangs_.end() ? nullptr : &at->second;
}

void SharedTaskState::join_gang(const TaskId& task, std::uint64_t attempt, double speed,
                                double now) {
  Gang& gang = gangs_[{task.job, attempt}];
  apply_elapsed_time(gang, task.job, now);
  GangMember member;
  member.speed = speed;
  member.waiting_since = now;
  gang.members[task.task] = member;
  const Job& job = jobs_.at(task.job);
  if (gang.started_at != kInfinity_s || gang.members.size() < job.spec.tasks ||
      !std::all_of(gang.members.begin(), gang.members.end(),
                   [](const auto& entry) { return entry.second.present; })) {
    return;
  }
  gang.started_at = now;
  gang.initial_progress_s = saved_progress_s(gang_progress_key(task.job));
  for (const auto& [number, one] : gang.members) gang.speed = std::min(gang.speed, one.speed);
}

double SharedTaskState::gang_progress_at(const Gang& gang, double now) const {
  if (gang.started_at == kInfinity_s) return 0;
  const double until = std::min({now, gang.first_stop_at, gang.member_lost_at});
  return gang.initial_progress_s + gang.speed * std::max(0.0, until - gang.started_at);
}

double SharedTaskState::gang_done_at(const Gang& gang, const Job& job) const {
  if (gang.started_at == kInfinity_s || job.spec.shape == jobs::Shape::service) return kInfinity_s;
  const double at =
      gang.started_at + std::max(0.0, job.run_time_s - gang.initial_progress_s) / gang.speed;
  return at <= std::min(gang.first_stop_at, gang.member_lost_at) ? at : kInfinity_s;
}

double SharedTaskState::all_saved_at(const Gang& gang, const Job& job) const {
  double last = -kInfinity_s;
  for (const auto& [task, member] : gang.members) {
    if (!member.present || member.stop_ordered_at > gang.first_stop_at + timings_.gang_peer_s)
      return kInfinity_s;
    last = std::max(last, member.stop_ordered_at + job.spec.checkpoint_duration_s);
  }
  return last;
}

// The progress since the last periodic checkpoint is lost.
void SharedTaskState::record_lost_member(Gang& gang, const std::string& id, double now) {
  if (gang.started_at == kInfinity_s || gang.member_lost_at != kInfinity_s) return;
  const double interval_s = jobs_.at(id).spec.checkpoint_interval_s;
  if (interval_s > 0)
    save_progress(gang_progress_key(id),
                  std::floor(gang_progress_at(gang, now) / interval_s) * interval_s);
  gang.member_lost_at = now;
}

void SharedTaskState::apply_elapsed_time(Gang& gang, const std::string& id, double now) {
  const Job& job = jobs_.at(id);
  if (gang_done_at(gang, job) <= now) {
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) mark_done({id, task});
    return;
  }
  if (gang.first_stop_at == kInfinity_s || gang.member_lost_at != kInfinity_s ||
      gang.progress_saved)
    return;
  const double at = all_saved_at(gang, job);
  if (at <= now) {
    save_progress(gang_progress_key(id), gang_progress_at(gang, now));
    gang.progress_saved = true;
  } else if (at == kInfinity_s && now > gang.first_stop_at + timings_.gang_peer_s) {
    record_lost_member(gang, id, now);  // a member got its stop order too late: the save fails
  }
}

void SharedTaskState::stop_gang_task(const TaskId& task, std::uint64_t attempt, bool saves,
                                     double now) {
  const auto at = gangs_.find({task.job, attempt});
  if (at == gangs_.end()) return;
  Gang& gang = at->second;
  apply_elapsed_time(gang, task.job, now);
  if (saves && gang.started_at != kInfinity_s) {
    gang.first_stop_at = std::min(gang.first_stop_at, now);
    GangMember& member = gang.members.at(task.task);
    member.stop_ordered_at = std::min(member.stop_ordered_at, now);
  } else {
    lose_gang_task(task, attempt, now);
  }
}

void SharedTaskState::lose_gang_task(const TaskId& task, std::uint64_t attempt, double now) {
  const auto at = gangs_.find({task.job, attempt});
  if (at == gangs_.end()) return;
  Gang& gang = at->second;
  apply_elapsed_time(gang, task.job, now);
  const auto member = gang.members.find(task.task);
  if (member == gang.members.end()) return;
  // If the gang has not started yet, the other members go on waiting, and a replacement for the
  // lost one can complete the gang.
  if (gang.started_at == kInfinity_s) {
    gang.members.erase(member);
    return;
  }
  member->second.present = false;
  if (!is_done({task.job, 0}) && !gang.progress_saved) record_lost_member(gang, task.job, now);
}

SharedTaskState::GangTaskState SharedTaskState::gang_task_state(const TaskId& task,
                                                                std::uint64_t attempt, double now) {
  Gang& gang = gangs_[{task.job, attempt}];
  apply_elapsed_time(gang, task.job, now);
  if (is_done(task)) return GangTaskState::done;
  if (gang.progress_saved) return GangTaskState::stopped_and_saved;
  if (gang.member_lost_at != kInfinity_s) {
    return now >= gang.member_lost_at + timings_.gang_peer_s / 2 ? GangTaskState::peers_lost
                                                                 : GangTaskState::running;
  }
  if (gang.started_at != kInfinity_s) return GangTaskState::running;
  const auto member = gang.members.find(task.task);
  const double since = member == gang.members.end() ? now : member->second.waiting_since;
  return now - since >= timings_.gang_wait_s ? GangTaskState::incomplete : GangTaskState::waiting;
}

bool SharedTaskState::is_progress_saved(const TaskId& task, std::uint64_t attempt) const {
  const Gang* found = find_gang(task, attempt);
  return found != nullptr && found->progress_saved;
}

double SharedTaskState::next_gang_change_at(const TaskId& task, std::uint64_t attempt) const {
  const Gang* found = find_gang(task, attempt);
  if (found == nullptr) return kInfinity_s;
  const Job& job = jobs_.at(task.job);
  if (found->member_lost_at != kInfinity_s) return found->member_lost_at + timings_.gang_peer_s / 2;
  if (found->first_stop_at != kInfinity_s) {
    return std::min(all_saved_at(*found, job), found->first_stop_at + timings_.gang_peer_s + 0.001);
  }
  if (found->started_at != kInfinity_s) return gang_done_at(*found, job);
  const auto member = found->members.find(task.task);
  return member == found->members.end() ? kInfinity_s
                                        : member->second.waiting_since + timings_.gang_wait_s;
}

}  // namespace reachramp::lab
