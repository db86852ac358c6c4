#include "shares/usage_accounts.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "schema/schema_levels.h"

namespace reachramp::shares {

using placement::Job;

namespace {

constexpr double kUsageHalfLife_s = 600;
// A job without start deadlines is late if it has waited this long without beginning.
constexpr double kLateAfterWaiting_s = 60;
// Limits the number of teams, and the number of job classes, in a record that is read.
constexpr std::size_t kMaxNamesInRecord = 1000;

bool has_begun(const Job& job) { return job.done_count > 0 || !job.attempts.empty(); }

bool is_late(const Job& job, double now) {
  if (job.is_blocked()) return false;
  if (job.latest_starts.empty())
    return !has_begun(job) && now - job.unblocked_at > kLateAfterWaiting_s;
  // Once all tasks are placed, no further share of the cluster would make the job end earlier.
  const bool placed = job.attempts.size() + job.done_count >= job.spec.tasks;
  return !placed && job.next_latest_start(now) == placement::kNever;
}

ServiceSummary& find_or_add(std::vector<ServiceSummary>& summaries, const std::string& name) {
  const auto at = std::lower_bound(
      summaries.begin(), summaries.end(), name,
      [](const ServiceSummary& one, const std::string& n) { return one.name < n; });
  if (at != summaries.end() && at->name == name) return *at;
  ServiceSummary added;
  added.name = name;
  return *summaries.insert(at, added);
}

void add_job(ServiceSummary& summary, const Job& job, double now) {
  summary.cores_in_use += job.resources_per_task.cpus * static_cast<double>(job.attempts.size());
  summary.late += is_late(job, now) ? 1 : 0;
  if (has_begun(job) || job.is_blocked()) return;
  ++summary.waiting;
  summary.longest_wait_s = std::max(summary.longest_wait_s, now - job.unblocked_at);
}

// Adds the stored totals. `uncancelled_jobs` counts live jobs that are not cancelled; all other
// submitted jobs are either cancelled or done.
std::vector<ServiceSummary> add_account_counts(
    std::vector<ServiceSummary> summaries, const std::map<std::string, UsageAccount>& accounts,
    const std::map<std::string, std::uint64_t>& uncancelled_jobs) {
  for (const auto& [name, account] : accounts) {
    ServiceSummary& summary = find_or_add(summaries, name);
    const auto at = uncancelled_jobs.find(name);
    const std::uint64_t not_done =
        account.cancelled + (at == uncancelled_jobs.end() ? 0 : at->second);
    summary.submitted = account.submitted;
    summary.done = account.submitted - std::min(account.submitted, not_done);
  }
  return summaries;
}

std::map<std::string, UsageAccount> decode_accounts(const wire::Json& record, const char* field) {
  std::map<std::string, UsageAccount> accounts;
  for (const wire::Json& item : wire::list(record, field)) {
    UsageAccount account;
    account.submitted = wire::count(item, "came");
    account.cancelled = wire::count(item, "cancelled", account.submitted);
    account.recent_core_s = wire::amount(item, "core_s");
    account.recent_gpu_s = wire::amount(item, "gpu_s");
    accounts[wire::text(item, "name")] = account;
  }
  if (accounts.size() > kMaxNamesInRecord) throw wire::BadMessage("shares: too many names");
  return accounts;
}

wire::Json encode_accounts(const std::map<std::string, UsageAccount>& accounts) {
  wire::Json list = wire::Json::array();
  for (const auto& [name, account] : accounts) {
    list.push_back({{"name", name},
                    {"came", account.submitted},
                    {"cancelled", account.cancelled},
                    {"core_s", std::round(account.recent_core_s)},
                    {"gpu_s", std::round(account.recent_gpu_s)}});
  }
  return list;
}

}  // namespace

double ServiceSummary::done_share() const {
  return done + late == 0 ? 1 : static_cast<double>(done) / static_cast<double>(done + late);
}

void UsageAccounts::note_submitted(const Job& job) {
  ++teams_[job.spec.team].submitted;
  ++classes_[job.spec.job_class].submitted;
}

void UsageAccounts::note_cancelled(const Job& job) {
  ++teams_[job.spec.team].cancelled;
  ++classes_[job.spec.job_class].cancelled;
}

void UsageAccounts::advance(const placement::Cluster& cluster, double now) {
  const double elapsed_s = advanced_at_ < 0 ? 0 : std::max(0.0, now - advanced_at_);
  advanced_at_ = now;
  const double decay_factor = std::exp2(-elapsed_s / kUsageHalfLife_s);
  for (auto* accounts : {&teams_, &classes_}) {
    for (auto& [name, account] : *accounts) {
      account.recent_core_s *= decay_factor;
      account.recent_gpu_s *= decay_factor;
    }
  }
  if (elapsed_s <= 0) return;
  for (const auto& job : cluster.jobs) {
    if (!job || job->attempts.empty()) continue;
    const double task_s = elapsed_s * static_cast<double>(job->attempts.size());
    for (UsageAccount* account : {&teams_[job->spec.team], &classes_[job->spec.job_class]}) {
      account->recent_core_s += task_s * job->resources_per_task.cpus;
      account->recent_gpu_s += task_s * job->resources_per_task.gpus;
    }
  }
}

UsageReport UsageAccounts::report(const placement::Cluster& cluster, double now) const {
  UsageReport report;
  std::map<std::string, std::uint64_t> live_teams, live_classes;
  for (const auto& job : cluster.jobs) {
    if (!job || job->cancelled) continue;
    ++live_teams[job->spec.team];
    ++live_classes[job->spec.job_class];
    add_job(find_or_add(report.teams, job->spec.team), *job, now);
    add_job(find_or_add(report.classes, job->spec.job_class), *job, now);
  }
  report.teams = add_account_counts(std::move(report.teams), teams_, live_teams);
  report.classes = add_account_counts(std::move(report.classes), classes_, live_classes);
  return report;
}

wire::Json UsageAccounts::encode() const {
  return {{"teams", encode_accounts(teams_)}, {"classes", encode_accounts(classes_)}};
}

void UsageAccounts::restore(const wire::Json& record) {
  if (!record.is_object()) throw wire::BadMessage("shares: not a map");
  auto teams = decode_accounts(record, "teams");
  auto classes = decode_accounts(record, "classes");
  teams_ = std::move(teams);
  classes_ = std::move(classes);
}

double UsageAccounts::recent_core_s(const std::string& team) const {
  const auto at = teams_.find(team);
  return at == teams_.end() ? 0 : at->second.recent_core_s;
}

std::string describe(const UsageReport& report) {
  std::string line;
  const ServiceSummary* worst = nullptr;
  const char* worst_kind = "";
  const auto append = [&](const char* kind, const std::vector<ServiceSummary>& summaries) {
    for (const ServiceSummary& summary : summaries) {
      line += fmt::format(
          "{} {} {:.2f} ({} came, {} done, {} wait up to {:.0f} s, {} late, {:.0f} cores); ", kind,
          summary.name, summary.done_share(), summary.submitted, summary.done, summary.waiting,
          summary.longest_wait_s, summary.late, summary.cores_in_use);
      if (worst != nullptr && summary.done_share() >= worst->done_share()) continue;
      worst = &summary;
      worst_kind = kind;
    }
  };
  append("team", report.teams);
  append("class", report.classes);
  if (worst != nullptr)
    line += fmt::format("worst: {} {} {:.2f}", worst_kind, worst->name, worst->done_share());
  return line;
}

bool is_obsolete(const std::string& key, const wire::Json&, std::uint32_t level) {
  return key == kSharesKey && level < schema::kShares;
}

}  // namespace reachramp::shares
