// Tests that the emulated cloud behaves as PROTOCOL says. Requests and responses go through the
// controller's own codecs.
#include "model/cloud.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace reachramp::lab {
namespace {

using wire::Json;

const PoolKey kSpot{"small", "a", true};
const PoolKey kOrdinary{"small", "a", false};

CloudSpec spec() {
  CloudSpec made;
  made.catalog = {{"small", 4, 0, 16, 50, 1, 3.6, 0.9, 40, {"a", "b"}}};
  made.capacity = {{kSpot, 12}, {kOrdinary, 5}};
  made.limits = {1e6, 4};
  return made;
}

wire::Response post(Cloud& model, const std::string& path, const Json& body, double now) {
  return model.handle_request({"POST", path, "", wire::encode(body)}, now);
}

wire::Response hire(Cloud& model, const std::string& name, int count, const PoolKey& pool,
                    double now) {
  const auto& [type, zone, spot] = pool;
  return post(model, "/hosts", cloud::encode_scale_out({name, type, zone, spot, count}), now);
}

std::vector<std::string> names(const wire::Response& reply) {
  return reply.body.at("hosts").get<std::vector<std::string>>();
}

std::vector<cloud::ListedMachine> list(Cloud& model, double now, int limit = 500) {
  std::vector<cloud::ListedMachine> found;
  for (bool more = true; more;) {
    const std::string after = found.empty() ? "" : found.back().name;
    const wire::Response reply = model.handle_request(
        {"GET", "/hosts", "after=" + after + "&limit=" + std::to_string(limit), ""}, now);
    for (const Json& item : reply.body.at("hosts"))
      found.push_back(cloud::decode_listed_machine(item));
    more = reply.body.at("truncated").get<bool>();
  }
  return found;
}

// For any sequence of requests: the pool never has more machines than its capacity, a repeated rent
// request always gets the same answer, and lists may lag and go back in time but never lose a
// machine that they have shown, until it is returned.
RC_GTEST_PROP(CloudModel, RespectsCapacityAndNeverRevokesGrants, ()) {
  Cloud model(spec(), *rc::gen::arbitrary<std::uint64_t>());
  std::map<std::string, std::vector<std::string>> granted;
  std::map<std::string, double> rented, returned;
  std::set<std::string> shown;
  double now = 0;
  for (int step = 0; step < 60; ++step) {
    now += *rc::gen::inRange(0, 30) / 10.0;
    const std::string request = "r-" + std::to_string(*rc::gen::inRange(0, 25));
    if (*rc::gen::inRange(0, 3) > 0) {
      const wire::Response reply = hire(model, request, *rc::gen::inRange(1, 8), kSpot, now);
      if (granted.contains(request)) {
        RC_ASSERT(reply.status == 200 && names(reply) == granted[request]);
      } else if (reply.status == 200) {
        granted[request] = names(reply);
        for (const std::string& name : names(reply)) {
          RC_ASSERT(rented.try_emplace(name, now).second);
        }
      } else {
        RC_ASSERT(reply.status == 503 && reply.body.at("error") == "no capacity");
        RC_ASSERT(rented.size() - returned.size() == 12);
      }
    } else if (!rented.empty()) {
      const std::string name =
          std::next(rented.begin(), *rc::gen::inRange<int>(0, static_cast<int>(rented.size())))
              ->first;
      RC_ASSERT(post(model, "/hosts/return", {{"hosts", {name, "n-never"}}}, now).status == 200);
      returned.try_emplace(name, now);
    }
    RC_ASSERT(rented.size() - returned.size() <= 12);
    std::set<std::string> listed;
    std::string last;
    for (const auto& machine : list(model, now, 3)) {
      RC_ASSERT(machine.name > last);
      last = machine.name;
      listed.insert(machine.name);
    }
    for (const auto& [name, at] : rented) {
      const auto back = returned.find(name);
      const bool here = back == returned.end();
      const bool long_gone = !here && now - back->second > 8;
      RC_ASSERT(!here || now - at <= 8 || listed.contains(name));
      RC_ASSERT(!here || !shown.contains(name) || listed.contains(name));
      RC_ASSERT(!long_gone || !listed.contains(name));
    }
    shown.insert(listed.begin(), listed.end());
  }
}

TEST(CloudModel, MachinesBootWithinTheirBoundsAndSpotMachinesAreReclaimed) {
  CloudSpec harsh = spec();
  harsh.capacity[kSpot] = 50;
  harsh.spot_reclaims_per_hour = 30;
  harsh.unannounced_reclaim_share = 0.4;
  Cloud model(harsh, 7);
  ASSERT_EQ(names(hire(model, "r-1", 50, kSpot, 0)).size(), 50u);
  std::map<std::string, double> up, noticed, gone;
  for (double now = 0; now < 2000; now = std::max(now + 0.001, model.next_event_at())) {
    for (const Cloud::Event& event : model.advance(now)) {
      if (event.kind == Cloud::EventKind::up) up[event.machine] = event.at;
      if (event.kind == Cloud::EventKind::reclaim_notice)
        noticed[event.machine] = event.at + event.reclaim_in_s;
      if (event.kind == Cloud::EventKind::gone) gone[event.machine] = event.at;
    }
    if (!std::isfinite(model.next_event_at())) break;
  }
  EXPECT_GT(up.size(), 30u) << "all except those reclaimed while they boot";
  for (const auto& [machine, at] : up) {
    EXPECT_GE(at, 0.6 * 40);
    EXPECT_LE(at, 1.5 * 40);
    ASSERT_TRUE(gone.contains(machine));
    if (noticed.contains(machine)) {
      EXPECT_NEAR(gone[machine], noticed[machine], 1e-6);
    }
  }
  EXPECT_GT(noticed.size(), 10u);
  EXPECT_LT(noticed.size(), up.size()) << "some are reclaimed without notice";
}

// A crashed machine is listed as running for 30 s, then as failed until it is returned.
TEST(CloudModel, ListsACrashedMachineAsFailedOnlyAfterADelay) {
  Cloud model(spec(), 1);
  const std::string name = names(hire(model, "r-1", 1, kOrdinary, 0)).front();
  model.advance(100);
  model.crash_machine(name, 100);
  EXPECT_EQ(list(model, 120).front().phase, cloud::MachinePhase::running);
  EXPECT_EQ(list(model, 140).front().phase, cloud::MachinePhase::failed);
  const double spent = model.total_cost(140);
  EXPECT_NEAR(spent, 0.1, 1e-6) << "100 s at 3.6 an hour";
  EXPECT_NEAR(model.total_cost(1000), spent, 1e-9) << "no longer charged";
  post(model, "/hosts/return", {{"hosts", {name}}}, 150);
  EXPECT_TRUE(list(model, 170).empty());
}

TEST(CloudModel, ChargesAtLeastAMinuteForAReturnedMachine) {
  Cloud model(spec(), 1);
  const std::string name = names(hire(model, "r-1", 1, kOrdinary, 0)).front();
  EXPECT_NEAR(model.total_cost(10), 0.01, 1e-6);
  post(model, "/hosts/return", {{"hosts", {name}}}, 10);
  EXPECT_NEAR(model.total_cost(10), 0.06, 1e-6);
}

TEST(CloudModel, RejectsInvalidRequestsAndThrottlesAboveTheRate) {
  CloudSpec slow = spec();
  slow.limits.rps = 5;
  Cloud model(slow, 1);
  EXPECT_EQ(hire(model, "r-1", 51, kSpot, 0).status, 400);
  EXPECT_EQ(hire(model, "r-1", 0, kSpot, 0).status, 400);
  EXPECT_EQ(hire(model, "r-1", 1, {"none", "a", true}, 0).status, 400);
  EXPECT_EQ(hire(model, "r-1", 1, {"small", "c", true}, 0).status, 400);
  EXPECT_EQ(hire(model, "r-1", 1, {"small", "b", true}, 0).status, 503);
  EXPECT_EQ(post(model, "/hosts/return", {{"hosts", std::vector<std::string>(101, "n")}}, 0).status,
            400);
  EXPECT_EQ(post(model, "/hosts/return", {{"hosts", {7}}}, 0).status, 400);
  EXPECT_EQ(model.handle_request({"GET", "/hosts", "limit=x", ""}, 0).status, 400);
  EXPECT_EQ(model.handle_request({"POST", "/hosts", "", "no map"}, 0).status, 400);
  EXPECT_EQ(model.handle_request({"GET", "/catalog", "", ""}, 0).status, 200);
  EXPECT_EQ(model.handle_request({"GET", "/catalog", "", ""}, 0).status, 429)
      << "the burst of two seconds' worth is used up";
  EXPECT_EQ(model.handle_request({"GET", "/catalog", "", ""}, 1).status, 200);
  model.begin_outage();
  const wire::Response out = model.handle_request({"GET", "/catalog", "", ""}, 9);
  EXPECT_EQ(out.status, 503);
  EXPECT_EQ(out.body.at("error"), "trouble");
}

TEST(CloudModel, SpotPricesMoveByAThirdAtMost) {
  Cloud model(spec(), 3);
  double low = 9, high = 0;
  for (double now = 0; now < 3000; now += 10) {
    const auto reply = model.handle_request({"GET", "/catalog", "", ""}, now);
    const double price = cloud::decode_catalog(reply.body).front().spot_price_per_hour;
    low = std::min(low, price);
    high = std::max(high, price);
  }
  EXPECT_GE(low, 0.9 * 2 / 3 - 1e-9);
  EXPECT_LE(high, 0.9 * 4 / 3 + 1e-9);
  EXPECT_GT(high - low, 0.3);
}

}  // namespace
}  // namespace reachramp::lab
