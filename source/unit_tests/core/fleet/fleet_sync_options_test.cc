#include <CppUTest/TestHarness.h>

#include "core/fleet/fleet_sync.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::milliseconds kResponseLimit{800};
constexpr common::milliseconds kHeartbeat{1200};

}  // namespace

TEST_GROUP(FleetSyncOptions){};

TEST(FleetSyncOptions, ALostResponseIsRequestedAgainWithinTheLimits) {
  for (const int limit_ms : {1500, 2000, 3000, 10000}) {
    const common::milliseconds limit(limit_ms);
    const core::fleet_sync_options options =
        core::MakeSyncOptions(limit, limit, kResponseLimit, kHeartbeat);
    CHECK(options.routes_wait + kResponseLimit <= limit);
    CHECK(options.targets_period + kResponseLimit + options.retry_delay <
          limit);
  }
}

TEST(FleetSyncOptions, ALongPollIsNoLongerThanStoresAllow) {
  const core::fleet_sync_options options =
      core::MakeSyncOptions(std::chrono::minutes(2), std::chrono::minutes(2),
                            kResponseLimit, kHeartbeat);
  CHECK(options.routes_wait == std::chrono::seconds(30));
}

TEST(FleetSyncOptions, LimitsShorterThanAResponseStillLeaveAPause) {
  const core::fleet_sync_options options = core::MakeSyncOptions(
      common::milliseconds(200), common::milliseconds(200), kResponseLimit,
      kHeartbeat);
  CHECK(options.routes_wait.count() > 0);
  CHECK(options.targets_period.count() > 0);
}
