#include <CppUTest/TestHarness.h>

#include "core/fleet/fleet_sync.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::milliseconds kAnswer{800};

}  // namespace

TEST_GROUP(FleetWatchOptions){};

TEST(FleetWatchOptions, ALostAnswerIsAskedForAgainWithinTheBounds) {
  for (const int bound_ms : {1500, 2000, 3000, 10000}) {
    const common::milliseconds bound(bound_ms);
    const core::fleet_sync_options options =
        core::MakeSyncOptions(bound, bound, kAnswer);
    CHECK(options.routes_wait + kAnswer <= bound);
    CHECK(options.targets_period + kAnswer + options.retry_delay < bound);
  }
}

TEST(FleetWatchOptions, AQuestionWaitsNoLongerThanStoresLetIt) {
  const core::fleet_sync_options options = core::MakeSyncOptions(
      std::chrono::minutes(2), std::chrono::minutes(2), kAnswer);
  CHECK(options.routes_wait == std::chrono::seconds(30));
}

TEST(FleetWatchOptions, BoundsShorterThanAnAnswerStillGiveAPace) {
  const core::fleet_sync_options options = core::MakeSyncOptions(
      common::milliseconds(200), common::milliseconds(200), kAnswer);
  CHECK(options.routes_wait.count() > 0);
  CHECK(options.targets_period.count() > 0);
}
