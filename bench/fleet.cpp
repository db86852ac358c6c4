#include "fleet.h"

namespace reachramp::bench {

using placement::Index;

namespace {

constexpr std::size_t kMachinesPerLargeMachine = 10;
constexpr const char* kZones[] = {"a", "b", "c"};

std::string machine_name(std::size_t i) {
  const std::string digits = std::to_string(i);
  return "n-" + std::string(6 - digits.size(), '0') + digits;
}

jobs::Header make_array_job(std::size_t number, std::size_t tasks) {
  jobs::Header made;
  made.spec.id = "j-" + std::to_string(100000 + number);
  made.spec.job_class = "render";
  made.spec.team = "red";
  made.spec.tasks = static_cast<std::uint32_t>(tasks);
  made.spec.cpus = 1;
  made.spec.ram_gb = 2;
  made.spec.image = "img-" + std::to_string(number % 18);
  made.spec.allow_spot = true;
  made.spec.estimated_duration_s = 30;
  made.spec.deadline_s = 300;
  return made;
}

jobs::Header make_gang_job(std::size_t number) {
  jobs::Header made = make_array_job(number, 1 + number % 3);
  made.spec.job_class = "tally";
  made.spec.shape = jobs::Shape::gang;
  made.spec.priority = jobs::Priority::normal;
  made.spec.cpus = 30;
  made.spec.ram_gb = 100;
  made.spec.single_zone = true;
  made.spec.checkpoint_interval_s = 15;
  made.spec.checkpoint_duration_s = 4;
  made.spec.estimated_duration_s = 150;
  made.spec.deadline_s = std::nullopt;
  return made;
}

}  // namespace

settings::Platform platform() {
  settings::Platform p;
  p.teams = {{"red", 0, 0, 0, 0}};
  p.objectives = {{settings::ServiceLevelObjective::Kind::wait, "tally", 90, 1},
                  {settings::ServiceLevelObjective::Kind::finished, "render", 150, 1}};
  p.worker_timings = {4, 24, 30, 5, 45};
  p.store_limits = {500, 60, 4, 8};
  p.upcoming_store_limits = p.store_limits;
  p.cloud_limits = {5, 5};
  return p;
}

cloud::Catalog catalog() {
  return {{"small", 4, 0, 16, 35, 0.5, 0.2, 0.06, 40, {"a", "b", "c"}},
          {"large", 32, 0, 128, 40, 0.5, 1.4, 0.5, 30, {"a", "b", "c"}}};
}

void fill_cluster(placement::Cluster& cluster, const FleetSize& size, double now) {
  cluster.set_catalog(catalog());
  const std::size_t busy = static_cast<std::size_t>(size.busy_share * size.machines);
  std::size_t number = 0;
  Index array_job = placement::kNone;
  std::uint32_t task = 0;
  for (std::size_t i = 0; i < size.machines; ++i) {
    const Index host = cluster.add_host(machine_name(i), now);
    const bool large = i % kMachinesPerLargeMachine == 0;
    cluster.set_host_type(host, large ? "large" : "small", kZones[i % 3], i % 2 == 0);
    cluster.hosts[host]->phase = placement::HostPhase::up;
    cluster.hosts[host]->last_heartbeat_at = now;
    if (i >= busy) continue;
    if (large) {
      jobs::Header header = make_gang_job(number);
      header.spec.tasks = 1;
      cluster.place(cluster.add_job(header, ++number, now), 0, 1, host, now);
      continue;
    }
    for (int core = 0; core < 4; ++core) {
      if (array_job == placement::kNone || task == size.tasks_per_array) {
        array_job = cluster.add_job(make_array_job(number, size.tasks_per_array), number + 1, now);
        ++number;
        task = 0;
      }
      cluster.place(array_job, task++, 1, host, now);
    }
  }
  for (auto& job : cluster.jobs) {
    for (auto& [placed, attempt] : job->attempts) {
      cluster.mark_persisted(*job, placed);
      attempt.start_sent = true;
      attempt.observed_state = placement::ObservedState::running;
      attempt.running_since = now;
    }
  }
  for (std::size_t i = 0; i < size.waiting_jobs; ++i, ++number) {
    cluster.add_job(
        i % 2 == 0 ? make_array_job(number, size.tasks_per_array) : make_gang_job(number),
        number + 1, now);
  }
}

FleetSnapshot::FleetSnapshot(const FleetSize& size) {
  const settings::Platform p = platform();
  placement::Cluster cluster(p, kFencingToken, jobs::TaskRecordFormat::compact);
  fill_cluster(cluster, size, 0);
  for (const auto& job : cluster.jobs) {
    snapshot.jobs.push_back({jobs::job_key(job->spec.id),
                             jobs::encode_header({job->spec, false, 0, 0, job->revision}),
                             job->revision});
    for (std::size_t i = 0; i < job->task_ranges.size(); ++i) {
      const jobs::TaskRangeRecord record = cluster.make_range_record(*job, i);
      if (record.placements.empty()) continue;
      snapshot.tasks.push_back(
          {cluster.task_range_key(*job, i), cluster.encode_task_range(record), job->revision});
    }
  }
  snapshot.catalog = kv::Entry{controller::kCatalogKey, cloud::encode_catalog(catalog()), 1};
  snapshot.all_upgraded = true;
  for (const auto& host : cluster.hosts) {
    const std::string& type = cluster.types[host->type];
    const std::string& zone = cluster.zones[host->zone];
    listed_machines.push_back(
        {host->name, "", type, zone, host->spot, cloud::MachinePhase::running, 100});
    workers::Heartbeat heartbeat{host->name, "", type,          zone, host->spot,
                                 1,          0,  kFencingToken, {},   {}};
    for (const auto& ref : host->attempts) {
      heartbeat.tasks.push_back({cluster.jobs[ref.job]->spec.id, ref.task, 1,
                                 workers::TaskState::running, workers::ExitReason::none});
    }
    heartbeats.push_back(std::move(heartbeat));
  }
}

}  // namespace reachramp::bench
