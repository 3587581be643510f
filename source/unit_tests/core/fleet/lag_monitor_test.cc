#include "core/fleet/lag_monitor.h"

#include <CppUTest/TestHarness.h>

#include "core/fleet/queue_owner.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::milliseconds;

TEST_GROUP(LagMonitor) {
  core::lag_monitor monitor{{}};
  common::time_point now{std::chrono::seconds(100)};

  /// @return whether the state changed at any of the ticks
  bool Ticks(int count, int64_t lag_ms) {
    bool changed = false;
    for (int i = 0; i < count; ++i) {
      now += milliseconds(100 + lag_ms);
      changed = monitor.OnTick(milliseconds(lag_ms), now) || changed;
    }
    return changed;
  }
};

TEST(LagMonitor, LastingLagIsDetected) {
  CHECK_FALSE(Ticks(50, 5));
  CHECK(Ticks(8, 150));
  CHECK(monitor.slow());
}

TEST(LagMonitor, ASinglePauseIsIgnored) {
  CHECK_FALSE(Ticks(50, 5));
  CHECK_FALSE(Ticks(1, 5000));
  CHECK_FALSE(Ticks(50, 5));
}

TEST(LagMonitor, TheStateDoesNotFlap) {
  CHECK(Ticks(8, 150));
  CHECK_FALSE(Ticks(20, 1));
  CHECK(monitor.slow());
  CHECK(Ticks(30, 1));
  CHECK_FALSE(monitor.slow());
}

TEST_GROUP(QueueOwner){};

TEST(QueueOwner, ASlowGatewayOwnsNoQueueUnlessAllAreSlow) {
  const std::vector<core::owner_candidate> usual = {
      {"g1", 0.2, false}, {"g2", 0.2, false}, {"g3", 0.2, false}};
  const std::string owner = core::ChooseQueueOwner(usual, "sketches");
  std::vector<core::owner_candidate> slow = usual;
  for (core::owner_candidate& each : slow) each.slow = each.name == owner;
  const std::string other = core::ChooseQueueOwner(slow, "sketches");
  CHECK(!other.empty());
  CHECK(other != owner);
  for (core::owner_candidate& each : slow) each.slow = true;
  STRCMP_EQUAL(owner.c_str(), core::ChooseQueueOwner(slow, "sketches").c_str());
}

TEST(QueueOwner, SmallGatewaysOwnNoQueue) {
  const std::vector<core::owner_candidate> candidates = {{"small", 0.09, false},
                                                         {"large", 0.5, false}};
  for (const char* service : {"a", "b", "c", "d", "e", "f"}) {
    STRCMP_EQUAL("large", core::ChooseQueueOwner(candidates, service).c_str());
  }
}
