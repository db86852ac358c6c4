// Keeps the stored form of the record `zones` unchanged, so that other versions can read it.
#include "encoding_assertions.h"
#include "zones/zone_monitor.h"

namespace reachramp::zones {
namespace {

TEST(ZonesRecordBytes, RecordIsReadAndWrittenAsLiteral) {
  constexpr const char* kRecord =
      R"({"zones":[{"name":"a","state":0,"flaps":2},{"name":"b","state":1,"flaps":0},
                   {"name":"c","state":2,"flaps":1},{"name":"d","state":3,"flaps":4}]})";
  const settings::Platform platform;
  Cluster cluster(platform, 1, jobs::TaskRecordFormat::compact);
  ZoneMonitor zones;
  zones.restore(test::wire_round_trip(kRecord), cluster, 5, 10);
  EXPECT_EQ(zones.state(cluster.zones.find("a")), ZoneState::healthy);
  EXPECT_EQ(zones.state(cluster.zones.find("b")), ZoneState::suspected);
  EXPECT_EQ(zones.state(cluster.zones.find("c")), ZoneState::lost);
  EXPECT_EQ(zones.state(cluster.zones.find("d")), ZoneState::recovering);
  EXPECT_TRUE(test::is_encoded_as(zones.encode(cluster), kRecord));
  EXPECT_TRUE(test::is_encoded_as(ZoneMonitor().encode(cluster), R"({"zones":[]})"));
  EXPECT_STREQ(kZonesKey, "zones");
}

}  // namespace
}  // namespace reachramp::zones
