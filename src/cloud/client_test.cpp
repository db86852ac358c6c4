#include "cloud/client.h"

#include <gtest/gtest.h>

namespace reachramp::cloud {
namespace {

// Found with the lab's cloud, which had no address for a machine that was still starting: the whole
// list was dropped for it, for as long as the machine was listed.
TEST(CloudClient, AMachineWithoutAnAddressIsListedAllTheSame) {
  const Json machine{{"ref", "n-1"},   {"rig", "small"},      {"hall", "a"},
                     {"loaner", true}, {"phase", "starting"}, {"held_s", 3}};
  for (const Json& address : {Json(), Json(""), Json(7), Json(std::string(300, 'x'))}) {
    Json listed = machine;
    listed["address"] = address;
    EXPECT_EQ(decode_listed_machine(listed).name, "n-1");
  }
  EXPECT_EQ(decode_listed_machine(machine).address, "");
  Json nameless = machine;
  nameless["ref"] = "";
  EXPECT_THROW(decode_listed_machine(nameless), wire::BadMessage)
      << "whatever it is, it cannot be told";
}

}  // namespace
}  // namespace reachramp::cloud
