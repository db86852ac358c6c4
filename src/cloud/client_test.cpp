#include "cloud/client.h"

#include <gtest/gtest.h>

namespace reachramp::cloud {
namespace {

// Guards against one malformed entry that makes the whole list of machines invalid. The emulated
// cloud listed a machine that was still starting without an address, and the list was dropped for
// as long as that machine was in it.
TEST(CloudClient, MachineWithoutAnAddressIsStillListed) {
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
      << "a machine without a name cannot be identified";
}

}  // namespace
}  // namespace reachramp::cloud
