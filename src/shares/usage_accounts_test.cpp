#include "shares/usage_accounts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace reachramp::shares {
namespace {

class AccountsTest : public ::testing::Test {
 protected:
  AccountsTest() : cluster_(platform_, 1, jobs::TaskRecordFormat::compact) {}

  placement::Index job(const std::string& team, const std::string& job_class, double seen_at,
                       std::optional<double> due_s = std::nullopt) {
    jobs::Header header;
    header.spec.id = "j-" + std::to_string(++job_count_);
    header.spec.team = team;
    header.spec.job_class = job_class;
    header.spec.tasks = 2;
    header.spec.cpus = 3;
    header.spec.deadline_s = due_s;
    const auto index = cluster_.add_job(header, static_cast<std::uint64_t>(job_count_), seen_at);
    accounts_.note_submitted(*cluster_.jobs[index]);
    return index;
  }
  void end(placement::Index index, bool cancelled) {
    if (cancelled) accounts_.note_cancelled(*cluster_.jobs[index]);
    cluster_.remove_job(index);
  }
  const ServiceSummary& team(const UsageReport& report, const std::string& name) {
    return *std::find_if(report.teams.begin(), report.teams.end(),
                         [&](const ServiceSummary& summary) { return summary.name == name; });
  }

  settings::Platform platform_ = [] {
    settings::Platform p;
    p.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
    return p;
  }();
  placement::Cluster cluster_;
  UsageAccounts accounts_;
  int job_count_ = 0;
};

TEST_F(AccountsTest, CountsDoneAndLateJobs) {
  end(job("red", "a", 0), false);
  end(job("red", "a", 0), true);
  job("red", "a", 90);     // has waited for 10 s, so it is not late yet
  job("red", "b", 0, 50);  // its deadline has passed
  job("blue", "b", 0, 500);
  const UsageReport report = accounts_.report(cluster_, 100);
  const ServiceSummary& red = team(report, "red");
  EXPECT_EQ(red.submitted, 4u);
  EXPECT_EQ(red.done, 1u);
  EXPECT_EQ(red.waiting, 2u);
  EXPECT_EQ(red.late, 1u);
  EXPECT_EQ(red.longest_wait_s, 100);
  EXPECT_EQ(red.done_share(), 0.5);
  EXPECT_EQ(team(report, "blue").done_share(), 1) << "its deadline can still be met";
  EXPECT_NE(describe(report).find("worst: class b 0.00"), std::string::npos) << describe(report);
}

TEST_F(AccountsTest, UseDecaysWithAHalfLife) {
  const auto index = job("red", "a", 0);
  const auto host = cluster_.add_host("n-1", 0);
  cluster_.place(index, 0, 1, host, 0);
  accounts_.advance(cluster_, 10);
  accounts_.advance(cluster_, 30);
  EXPECT_NEAR(accounts_.recent_core_s("red"), 60, 1e-6);
  cluster_.end_attempt(index, 0, 30);
  accounts_.advance(cluster_, 630);
  EXPECT_NEAR(accounts_.recent_core_s("red"), 30, 1e-6);
}

TEST_F(AccountsTest, RecordIsRestoredAndMalformedInputRejected) {
  end(job("red", "a", 0), false);
  job("blue", "b", 0);
  UsageAccounts restored;
  restored.restore(accounts_.encode());
  EXPECT_EQ(restored.encode(), accounts_.encode());
  for (const char* bad :
       {"[]", "{}", R"({"teams":[],"classes":7})", R"({"teams":[7],"classes":[]})",
        R"({"teams":[{"name":"x","came":1,"cancelled":2,"core_s":0,"gpu_s":0}],"classes":[]})",
        R"({"teams":[{"name":"x","came":-1,"cancelled":0,"core_s":0,"gpu_s":0}],"classes":[]})",
        R"({"teams":[{"name":"x","came":1,"cancelled":0,"core_s":"1","gpu_s":0}],"classes":[]})"}) {
    EXPECT_THROW(restored.restore(wire::Json::parse(bad)), std::exception) << bad;
    EXPECT_EQ(restored.encode(), accounts_.encode()) << bad;
  }
}

}  // namespace
}  // namespace reachramp::shares
