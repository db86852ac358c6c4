// Keeps the stored form of the record `shares` unchanged, so that other versions can read it.
#include "encoding_assertions.h"
#include "shares/usage_accounts.h"

namespace reachramp::shares {
namespace {

using placement::Cluster;

settings::Platform platform() {
  settings::Platform made;
  made.teams = {{"red", 0, 0, 0, 0}};
  return made;
}

TEST(SharesRecordBytes, RecordIsWrittenAsLiteral) {
  const settings::Platform settings = platform();
  Cluster cluster(settings, 1, jobs::TaskRecordFormat::compact);
  UsageAccounts accounts;
  for (int i = 1; i <= 2; ++i) {
    jobs::Header header;
    header.spec.id = "j-" + std::to_string(i);
    header.spec.team = "red";
    header.spec.job_class = "train";
    const auto index = cluster.add_job(header, static_cast<std::uint64_t>(i), 0);
    accounts.note_submitted(*cluster.jobs[index]);
    if (i == 2) accounts.note_cancelled(*cluster.jobs[index]);
  }
  EXPECT_TRUE(test::is_encoded_as(
      accounts.encode(),
      R"({"teams":[{"name":"red","came":2,"cancelled":1,"core_s":0.0,"gpu_s":0.0}],
          "classes":[{"name":"train","came":2,"cancelled":1,"core_s":0.0,"gpu_s":0.0}]})"));
}

// Version 0.4.0 writes the same record.
TEST(SharesRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord =
      R"({"teams":[{"name":"blue","came":7,"cancelled":2,"core_s":120.0,"gpu_s":30.0},
                   {"name":"red","came":3,"cancelled":0,"core_s":0.0,"gpu_s":5.0}],
          "classes":[{"name":"train","came":10,"cancelled":2,"core_s":120.0,"gpu_s":35.0}]})";
  UsageAccounts accounts;
  accounts.restore(test::wire_round_trip(kRecord));
  EXPECT_EQ(accounts.recent_core_s("blue"), 120);
  EXPECT_TRUE(test::is_encoded_as(accounts.encode(), kRecord));
  EXPECT_STREQ(kSharesKey, "shares");
}

}  // namespace
}  // namespace reachramp::shares
