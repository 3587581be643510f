#include "core/limits/cold_targets.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>

#include "unit_tests/core/limits/limit_cluster.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using fakes::limit_cluster;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kColdPerSecond = 9;
constexpr milliseconds kColdTime(3000);

/// The bound that a cold target bears in a window of a second.
size_t Allowed(double per_second) {
  return static_cast<size_t>(1.5 * per_second + 5);
}

}  // namespace

TEST_GROUP(ColdTargets) {
  fakes::virtual_time time;
  core::target_directory targets;
  core::route_holder routes;
  core::target_limits limits{time};
  core::cold_targets cold{targets, routes, limits, time, time};
  core::target_entry entry;

  void setup() override {
    entry.id = "t1";
    entry.service = "engine";
    entry.address = "10.0.0.1:1";
    entry.started_ms = 1;
    UseRate(kColdPerSecond);
  }
  void UseRate(double per_second) {
    core::route_document document;
    document.version = ++version;
    core::service_spec service;
    service.name = "engine";
    service.cold_time = kColdTime;
    service.cold_per_second = per_second;
    document.services.push_back(service);
    routes.ReplaceIfNewer(
        std::make_shared<const core::route_table>(std::move(document)), 1);
    cold.OnRoutesChanged();
  }
  void Read(milliseconds remaining) {
    entry.warm_up_remaining = remaining;
    targets.Update(entry);
  }
  bool Limited() { return limits.LimitOf("t1", entry.started_ms).has_value(); }
  uint64_t version = 0;
};

TEST(ColdTargets, AreLimitedUntilTheyAreWarm) {
  Read(kColdTime);
  DOUBLES_EQUAL(kColdPerSecond, limits.LimitOf("t1", 1).value_or(0), 0.01);
  time.Advance(milliseconds(2900));
  CHECK(Limited());
  time.Advance(milliseconds(500));
  CHECK(!Limited());
  CHECK(limits.empty());
}

TEST(ColdTargets, ATargetTurnsColdAtAnyMoment) {
  Read(milliseconds(0));
  time.Advance(seconds(20));
  CHECK(!Limited());
  Read(milliseconds(1500));
  CHECK(Limited());
  Read(milliseconds(0));
  CHECK(!Limited());
}

TEST(ColdTargets, EntriesReadBeforeTheRoutesCount) {
  core::route_holder unknown;
  core::target_directory others;
  core::target_limits their_limits{time};
  core::cold_targets theirs{others, unknown, their_limits, time, time};
  entry.warm_up_remaining = kColdTime;
  others.Update(entry);
  CHECK(their_limits.empty());
  unknown.ReplaceIfNewer(routes.current(), 1);
  theirs.OnRoutesChanged();
  CHECK(!their_limits.empty());
}

TEST(ColdTargets, AColdTimeWithoutEndIsCut) {
  Read(milliseconds(24 * 3600 * 1000));
  time.Advance(2 * kColdTime + milliseconds(500));
  CHECK(!Limited());
}

TEST(ColdTargets, AServiceWithoutARateIsNotLimited) {
  UseRate(0);
  Read(kColdTime);
  CHECK(!Limited());
  UseRate(kColdPerSecond);
  CHECK(Limited());
}

TEST(ColdTargets, ALimitThatTheTargetNamesHoldsBeside) {
  Read(kColdTime);
  limits.Merge({"t1", 1, false, 2, milliseconds(0)}, "g2");
  DOUBLES_EQUAL(2, limits.LimitOf("t1", 1).value_or(0), 0.01);
  time.Advance(kColdTime + milliseconds(500));
  DOUBLES_EQUAL(2, limits.LimitOf("t1", 1).value_or(0), 0.01);
}

TEST_GROUP(ColdCluster){
    /// Lets gateways that prefer a target turn busy, and the target cold.
    /// @param body what happens next; the rate has to be kept all the while
    static void Play(uint64_t seed, size_t gateways, double demand_per_s,
                     const std::function<void(limit_cluster&)>& body){
        limit_cluster cluster(seed, gateways, limit_cluster::demand::kPrefers);
cluster.limit = -1;
cluster.demand_per_s = demand_per_s;
cluster.time.Advance(seconds(4));
cluster.SetCold(kColdPerSecond, seconds(20));
const common::time_point from = cluster.time.Now();
body(cluster);
CHECK(cluster.BusiestWindow(from, seconds(1)) <= Allowed(kColdPerSecond));
}
}
;

TEST(ColdCluster, GatewaysTogetherKeepTheRateAndUseIt) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    Play(seed, 21, 3, [](limit_cluster& cluster) {
      cluster.time.Advance(seconds(10));
      CHECK(cluster.arrivals().size() > 0.4 * kColdPerSecond * 10);
    });
  }
}

TEST(ColdCluster, AKillOfAllDoesNotForgetTheRate) {
  for (const uint64_t seed : {11, 12, 13, 14, 15}) {
    Play(seed, 12, 5, [](limit_cluster& cluster) {
      cluster.time.Advance(seconds(3));
      for (size_t i = 0; i < cluster.size(); ++i) cluster.Kill(i);
      for (size_t i = 0; i < cluster.size(); ++i) {
        cluster.time.Advance(milliseconds(cluster.random.Below(60)));
        cluster.Start(i);
      }
      cluster.time.Advance(seconds(8));
    });
  }
}

// A cut through the gateways, the owner of the target's slots on one side.
TEST(ColdCluster, ACutDoesNotDoubleTheRate) {
  for (const uint64_t seed : {21, 22, 23, 24, 25}) {
    Play(seed, 10, 5, [](limit_cluster& cluster) {
      cluster.time.Advance(seconds(2));
      for (size_t left = 0; left < 4; ++left) {
        for (size_t right = 4; right < 10; ++right) {
          cluster.SetCut(left, right, true);
        }
      }
      cluster.time.Advance(seconds(8));
    });
  }
}
