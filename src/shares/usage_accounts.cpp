#include "shares/usage_accounts.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "schema/schema_levels.h"

namespace reachramp::shares {

using placement::Job;

namespace {

constexpr double kHalfLife_s = 600;
// Where no time is expected of a job's class, one that has not begun for so long is late.
constexpr double kPatience_s = 60;
// Teams and classes that a record can name.
constexpr std::size_t kMostNames = 1000;

bool begun(const Job& job) { return job.done_count > 0 || !job.attempts.empty(); }

bool is_late(const Job& job, double now) {
  if (job.waits()) return false;
  if (job.start_by.empty()) return !begun(job) && now - job.unblocked_at > kPatience_s;
  // All of it runs: whether it ends in time is no longer a matter of shares.
  const bool placed = job.attempts.size() + job.done_count >= job.spec.tasks;
  return !placed && job.next_start_by(now) == placement::kNever;
}

Standing& standing_of(std::vector<Standing>& all, const std::string& name) {
  const auto at =
      std::lower_bound(all.begin(), all.end(), name,
                       [](const Standing& one, const std::string& n) { return one.name < n; });
  if (at != all.end() && at->name == name) return *at;
  Standing fresh;
  fresh.name = name;
  return *all.insert(at, fresh);
}

void add(Standing& standing, const Job& job, double now) {
  standing.cores += job.resources_per_task.cpus * static_cast<double>(job.attempts.size());
  standing.late += is_late(job, now) ? 1 : 0;
  if (begun(job) || job.waits()) return;
  ++standing.waiting;
  standing.longest_wait_s = std::max(standing.longest_wait_s, now - job.unblocked_at);
}

// `live` counts jobs that are not cancelled: the rest of those that came is done.
std::vector<Standing> close(std::vector<Standing> standings,
                            const std::map<std::string, Account>& accounts,
                            const std::map<std::string, std::uint64_t>& live) {
  for (const auto& [name, account] : accounts) {
    Standing& standing = standing_of(standings, name);
    const auto at = live.find(name);
    const std::uint64_t open = account.cancelled + (at == live.end() ? 0 : at->second);
    standing.came = account.came;
    standing.done = account.came - std::min(account.came, open);
  }
  return standings;
}

std::map<std::string, Account> decode(const wire::Json& record, const char* field) {
  std::map<std::string, Account> accounts;
  for (const wire::Json& item : wire::list(record, field)) {
    Account account;
    account.came = wire::count(item, "came");
    account.cancelled = wire::count(item, "cancelled", account.came);
    account.core_s = wire::amount(item, "core_s");
    account.gpu_s = wire::amount(item, "gpu_s");
    accounts[wire::text(item, "name")] = account;
  }
  if (accounts.size() > kMostNames) throw wire::BadMessage("shares: too many names");
  return accounts;
}

wire::Json encode_all(const std::map<std::string, Account>& accounts) {
  wire::Json list = wire::Json::array();
  for (const auto& [name, account] : accounts) {
    list.push_back({{"name", name},
                    {"came", account.came},
                    {"cancelled", account.cancelled},
                    {"core_s", std::round(account.core_s)},
                    {"gpu_s", std::round(account.gpu_s)}});
  }
  return list;
}

}  // namespace

double Standing::share() const {
  return done + late == 0 ? 1 : static_cast<double>(done) / static_cast<double>(done + late);
}

void UsageAccounts::came(const Job& job) {
  ++teams_[job.spec.team].came;
  ++classes_[job.spec.job_class].came;
}

void UsageAccounts::cancelled(const Job& job) {
  ++teams_[job.spec.team].cancelled;
  ++classes_[job.spec.job_class].cancelled;
}

void UsageAccounts::advance(const placement::Cluster& cluster, double now) {
  const double passed = passed_at_ < 0 ? 0 : std::max(0.0, now - passed_at_);
  passed_at_ = now;
  const double kept = std::exp2(-passed / kHalfLife_s);
  for (auto* accounts : {&teams_, &classes_}) {
    for (auto& [name, account] : *accounts) {
      account.core_s *= kept;
      account.gpu_s *= kept;
    }
  }
  if (passed <= 0) return;
  for (const auto& job : cluster.jobs) {
    if (!job || job->attempts.empty()) continue;
    const double use = passed * static_cast<double>(job->attempts.size());
    for (Account* account : {&teams_[job->spec.team], &classes_[job->spec.job_class]}) {
      account->core_s += use * job->resources_per_task.cpus;
      account->gpu_s += use * job->resources_per_task.gpus;
    }
  }
}

Report UsageAccounts::report(const placement::Cluster& cluster, double now) const {
  Report report;
  std::map<std::string, std::uint64_t> live_teams, live_classes;
  for (const auto& job : cluster.jobs) {
    if (!job || job->cancelled) continue;
    ++live_teams[job->spec.team];
    ++live_classes[job->spec.job_class];
    add(standing_of(report.teams, job->spec.team), *job, now);
    add(standing_of(report.classes, job->spec.job_class), *job, now);
  }
  report.teams = close(std::move(report.teams), teams_, live_teams);
  report.classes = close(std::move(report.classes), classes_, live_classes);
  return report;
}

wire::Json UsageAccounts::encode() const {
  return {{"teams", encode_all(teams_)}, {"classes", encode_all(classes_)}};
}

void UsageAccounts::restore(const wire::Json& record) {
  if (!record.is_object()) throw wire::BadMessage("shares: not a map");
  auto teams = decode(record, "teams");
  auto classes = decode(record, "classes");
  teams_ = std::move(teams);
  classes_ = std::move(classes);
}

double UsageAccounts::core_s(const std::string& team) const {
  const auto at = teams_.find(team);
  return at == teams_.end() ? 0 : at->second.core_s;
}

std::string describe(const Report& report) {
  std::string line;
  const Standing* worst = nullptr;
  const char* worst_kind = "";
  const auto tell = [&](const char* kind, const std::vector<Standing>& standings) {
    for (const Standing& one : standings) {
      line += fmt::format(
          "{} {} {:.2f} ({} came, {} done, {} wait up to {:.0f} s, {} late, {:.0f} cores); ", kind,
          one.name, one.share(), one.came, one.done, one.waiting, one.longest_wait_s, one.late,
          one.cores);
      if (worst != nullptr && one.share() >= worst->share()) continue;
      worst = &one;
      worst_kind = kind;
    }
  };
  tell("team", report.teams);
  tell("class", report.classes);
  if (worst != nullptr)
    line += fmt::format("worst: {} {} {:.2f}", worst_kind, worst->name, worst->share());
  return line;
}

bool is_stale(const std::string& key, const wire::Json&, std::uint32_t level) {
  return key == kSharesKey && level < schema::kShares;
}

}  // namespace reachramp::shares
