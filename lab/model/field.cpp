#include "model/field.h"

#include <algorithm>
#include <cmath>

namespace reachramp::lab {

namespace {

// A gang has one progress, kept under its first task.
Field::TaskId whole(const std::string& job) { return {job, 0}; }

}  // namespace

void Field::upload(const Job& job) { jobs_.try_emplace(job.spec.id, job); }

const Field::Job* Field::find(const std::string& job) const {
  const auto at = jobs_.find(job);
  return at == jobs_.end() ? nullptr : &at->second;
}

std::size_t Field::done_of(const std::string& job) const {
  return static_cast<std::size_t>(
      std::distance(done_.lower_bound({job, 0}),
                    done_.upper_bound({job, std::numeric_limits<std::uint32_t>::max()})));
}

double Field::saved(const TaskId& task) const {
  const auto at = saved_.find(task);
  return at == saved_.end() ? 0 : at->second;
}

void Field::save(const TaskId& task, double progress) {
  double& kept = saved_[task];
  kept = std::max(kept, progress);
}

const Field::Gang* Field::gang(const TaskId& task, std::uint64_t attempt) const {
  const auto at = gangs_.find({task.job, attempt});
  return at == gangs_.end() ? nullptr : &at->second;
}

void Field::join(const TaskId& task, std::uint64_t attempt, double speed, double now) {
  Gang& gang = gangs_[{task.job, attempt}];
  settle(gang, task.job, now);
  Member member;
  member.speed = speed;
  member.joined_at = now;
  gang.members[task.task] = member;
  const Job& job = jobs_.at(task.job);
  if (gang.started_at != kForever || gang.members.size() < job.spec.tasks ||
      !std::all_of(gang.members.begin(), gang.members.end(),
                   [](const auto& entry) { return entry.second.present; })) {
    return;
  }
  gang.started_at = now;
  gang.progress = saved(whole(task.job));
  for (const auto& [number, one] : gang.members) gang.speed = std::min(gang.speed, one.speed);
}

double Field::progress(const Gang& gang, double now) const {
  if (gang.started_at == kForever) return 0;
  const double until = std::min({now, gang.stopped_at, gang.broken_at});
  return gang.progress + gang.speed * std::max(0.0, until - gang.started_at);
}

double Field::done_at(const Gang& gang, const Job& job) const {
  if (gang.started_at == kForever || job.spec.shape == jobs::Shape::service) return kForever;
  const double at = gang.started_at + std::max(0.0, job.run_s - gang.progress) / gang.speed;
  return at <= std::min(gang.stopped_at, gang.broken_at) ? at : kForever;
}

double Field::saved_at(const Gang& gang, const Job& job) const {
  double last = -kForever;
  for (const auto& [task, member] : gang.members) {
    if (!member.present || member.told_at > gang.stopped_at + rules_.gang_peer_s) return kForever;
    last = std::max(last, member.told_at + job.spec.checkpoint_duration_s);
  }
  return last;
}

// Progress since the last checkpoint is lost.
void Field::break_up(Gang& gang, const std::string& id, double now) {
  if (gang.started_at == kForever || gang.broken_at != kForever) return;
  const double every = jobs_.at(id).spec.checkpoint_interval_s;
  if (every > 0) save(whole(id), std::floor(progress(gang, now) / every) * every);
  gang.broken_at = now;
}

void Field::settle(Gang& gang, const std::string& id, double now) {
  const Job& job = jobs_.at(id);
  if (done_at(gang, job) <= now) {
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) finish({id, task});
    return;
  }
  if (gang.stopped_at == kForever || gang.broken_at != kForever || gang.kept) return;
  const double at = saved_at(gang, job);
  if (at <= now) {
    save(whole(id), progress(gang, now));
    gang.kept = true;
  } else if (at == kForever && now > gang.stopped_at + rules_.gang_peer_s) {
    break_up(gang, id, now);  // not all were told in time: the save fails
  }
}

void Field::stop(const TaskId& task, std::uint64_t attempt, bool saves, double now) {
  const auto at = gangs_.find({task.job, attempt});
  if (at == gangs_.end()) return;
  Gang& gang = at->second;
  settle(gang, task.job, now);
  if (saves && gang.started_at != kForever) {
    gang.stopped_at = std::min(gang.stopped_at, now);
    Member& member = gang.members.at(task.task);
    member.told_at = std::min(member.told_at, now);
  } else {
    vanish(task, attempt, now);
  }
}

void Field::vanish(const TaskId& task, std::uint64_t attempt, double now) {
  const auto at = gangs_.find({task.job, attempt});
  if (at == gangs_.end()) return;
  Gang& gang = at->second;
  settle(gang, task.job, now);
  const auto member = gang.members.find(task.task);
  if (member == gang.members.end()) return;
  // Before the gang has started the rest keep waiting, and a replacement completes it.
  if (gang.started_at == kForever) {
    gang.members.erase(member);
    return;
  }
  member->second.present = false;
  if (!done({task.job, 0}) && !gang.kept) break_up(gang, task.job, now);
}

Field::Fate Field::fate(const TaskId& task, std::uint64_t attempt, double now) {
  Gang& gang = gangs_[{task.job, attempt}];
  settle(gang, task.job, now);
  if (done(task)) return Fate::done;
  if (gang.kept) return Fate::halted;
  if (gang.broken_at != kForever) {
    return now >= gang.broken_at + rules_.gang_peer_s / 2 ? Fate::mates_gone : Fate::run;
  }
  if (gang.started_at != kForever) return Fate::run;
  const auto member = gang.members.find(task.task);
  const double since = member == gang.members.end() ? now : member->second.joined_at;
  return now - since >= rules_.gang_wait_s ? Fate::incomplete : Fate::wait;
}

bool Field::kept(const TaskId& task, std::uint64_t attempt) const {
  const Gang* found = gang(task, attempt);
  return found != nullptr && found->kept;
}

double Field::due(const TaskId& task, std::uint64_t attempt) const {
  const Gang* found = gang(task, attempt);
  if (found == nullptr) return kForever;
  const Job& job = jobs_.at(task.job);
  if (found->broken_at != kForever) return found->broken_at + rules_.gang_peer_s / 2;
  if (found->stopped_at != kForever) {
    return std::min(saved_at(*found, job), found->stopped_at + rules_.gang_peer_s + 0.001);
  }
  if (found->started_at != kForever) return done_at(*found, job);
  const auto member = found->members.find(task.task);
  return member == found->members.end() ? kForever : member->second.joined_at + rules_.gang_wait_s;
}

}  // namespace reachramp::lab
